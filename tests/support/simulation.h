#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "support/fakekeyvalue.h"

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace Gypsumtally::Testing
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A discrete-event simulation in virtual time. Runs with the same seed are identical.
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Instant now() const
    {
        return m_now;
    }

    /// Schedules @p event after @p delay. Events due at the same time run in the order of their scheduling.
    void after(Duration delay, std::function<void()> event)
    {
        m_events.push({m_now + delay, ++m_count, std::move(event)});
    }

    /// Runs all events due up to and including @p end.
    void run(Instant end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

    /// Returns a random number in [0, limit).
    std::uint64_t below(std::uint64_t limit)
    {
        return m_random() % limit;
    }

    /// Returns true with the given probability, in steps of 1e-6.
    bool chance(double probability)
    {
        return static_cast<double>(below(1'000'000)) < probability * 1e6;
    }

    /// Returns a random duration in [least, most].
    Duration between(Duration least, Duration most)
    {
        return least
               + Duration{static_cast<Duration::rep>(below(static_cast<std::uint64_t>((most - least).count()) + 1))};
    }

private:
    struct Event {
        Instant at;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair{at, order} > std::pair{other.at, other.order};
        }
    };

    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_count = 0;
    Instant m_now{seconds{1000}};
};

/// A key-value service behind a faulty network with delays, outages and lost replies. A write whose reply is lost may
/// take effect before or long after its caller receives KeyOutcome::Unknown, or not at all.
class FaultyKeyValue
{
public:
    explicit FaultyKeyValue(Simulation &simulation)
        : m_simulation(simulation)
    {
    }

    void call(const KeyCall &call, const std::function<void(const KeyReply &)> &reply)
    {
        const auto toStore = delay();
        if (isDown) {
            m_simulation.after(toStore, [reply] { reply({KeyOutcome::Unavailable, 0, {}}); });
            return;
        }
        if (!m_simulation.chance(lossProbability)) {
            m_simulation.after(toStore, [this, call, reply] {
                m_simulation.after(delay(), [reply, answer = store.apply(call)] { reply(answer); });
            });
            return;
        }
        m_simulation.after(timeout, [reply] { reply({KeyOutcome::Unknown, 0, {}}); });
        if (m_simulation.chance(0.7))
            m_simulation.after(m_simulation.chance(0.7) ? toStore : 4 * timeout, [this, call] { store.apply(call); });
    }

    FakeKeyValue store;
    bool isDown = false;
    double lossProbability = 0;
    Duration mostDelay = milliseconds{4};

private:
    static constexpr milliseconds timeout{250};

    Duration delay()
    {
        return m_simulation.between(Duration{300}, mostDelay);
    }

    Simulation &m_simulation;
};

/// The seeds of a history test: 1 to 1000 unless GYPSUMTALLY_FIRST_SEED and GYPSUMTALLY_SEEDS (the number of seeds) say
/// otherwise.
struct SeedRange {
    std::uint64_t first;
    std::uint64_t count;

    static SeedRange fromEnvironment()
    {
        const auto number = [](const char *name, std::uint64_t fallback) {
            const char *text = std::getenv(name);
            return text ? std::strtoull(text, nullptr, 10) : fallback;
        };
        return {number("GYPSUMTALLY_FIRST_SEED", 1), number("GYPSUMTALLY_SEEDS", 1000)};
    }
};

} // namespace Gypsumtally::Testing
