/// Compares strategies for creating claims in virtual time: the wait of a booking for its claim and the calls to the
/// key-value service. Prints a table for docs/MEASUREMENTS.md. Usage: measureclaims [SEED]
#include "claims/claimkeeper.h"
#include "support/simulation.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr std::size_t nodes = 9;
constexpr std::size_t regions = 3;
constexpr Duration hopWithinRegion{1500};
constexpr Duration hopBetweenRegions{8000};
constexpr Duration writeService{2000}; ///< 500 writes per second.
constexpr Duration writeItemService{20}; ///< Added for each key that a transaction writes.
constexpr Duration running = milliseconds{50};
constexpr seconds span{20};

/// A strategy for creating claims.
struct Strategy {
    const char *name;
    std::size_t maxGroupWrites;
    Duration sendInterval;
    std::size_t homes; ///< Number of home nodes that create the claims, by key; 0: the entry node creates them.
    bool isOptimistic; ///< The call is dispatched before its claim is written.
};

const Strategy strategies[] = {
    {"one claim per transaction", 1, Duration{0}, 0, false},
    {"grouped at the node, 10 ms", 40, milliseconds{10}, 0, false},
    {"grouped at the node, 25 ms", 40, milliseconds{25}, 0, false},
    {"grouped at the node, 40 ms", 40, milliseconds{40}, 0, false},
    {"grouped at one of 9 homes, 40 ms", 40, milliseconds{40}, 9, false},
    {"grouped at one of 2 homes, 10 ms", 40, milliseconds{10}, 2, false},
    {"optimistic at one of 9 homes, 40 ms", 40, milliseconds{40}, 9, true},
    {"optimistic at one of 2 homes, 10 ms", 40, milliseconds{10}, 2, true},
};

/// A run of one strategy at one request rate.
class Measurement
{
public:
    Measurement(const Strategy &strategy, double rate, std::uint64_t seed)
        : m_simulation(seed)
        , m_strategy(strategy)
        , m_rate(rate)
    {
        ClaimPolicy policy;
        policy.maxGroupWrites = strategy.maxGroupWrites;
        policy.sendInterval = strategy.sendInterval;
        policy.maxGroupsInFlight = strategy.maxGroupWrites == 1 ? 100'000 : policy.maxGroupsInFlight;
        policy.safeguards.durableBeforeDispatch = !strategy.isOptimistic;
        for (std::size_t i = 0; i < nodes; ++i)
            m_keepers.push_back(std::make_unique<ClaimKeeper>(Incarnation{std::to_string(i)}, policy));
    }

    void run()
    {
        for (std::size_t i = 0; i < nodes; ++i)
            keepTicking(i);
        m_simulation.after(seconds{1}, [this] { keepArriving(); });
        m_simulation.run(m_simulation.now() + span + seconds{2});
        std::ranges::sort(m_waits);
        const auto perSecond = static_cast<double>(m_store.writes()) / std::chrono::duration<double>(span).count();
        std::printf("| %s | %.0f | %.1f | %.1f | %.1f | %.0f | %.1f%% | %.1f |\n", m_strategy.name, m_rate,
                    quantile(0.5), quantile(0.95), quantile(0.99), perSecond, 100.0 * m_refused / std::max(1U, m_begun),
                    m_claimSum / std::max(1U, m_samples));
    }

private:
    static std::size_t regionOf(std::size_t node)
    {
        return node % regions;
    }

    static Duration hop(std::size_t from, std::size_t to)
    {
        if (from == to)
            return Duration{0};
        return regionOf(from) == regionOf(to) ? hopWithinRegion : hopBetweenRegions;
    }

    /// Returns the delay to the key-value service, which is in the first region.
    static Duration hopToStore(std::size_t node)
    {
        return regionOf(node) == 0 ? hopWithinRegion : hopBetweenRegions;
    }

    double quantile(double part) const
    {
        if (m_waits.empty())
            return 0;
        const auto index = static_cast<std::size_t>(part * static_cast<double>(m_waits.size() - 1));
        return std::chrono::duration<double, std::milli>(m_waits[index]).count();
    }

    void keepTicking(std::size_t node)
    {
        ClaimActions actions;
        m_keepers[node]->tick(m_simulation.now(), actions);
        perform(node, actions);
        m_claimSum += static_cast<double>(m_keepers[node]->size()) / nodes;
        m_samples += node == 0 ? 1 : 0;
        m_simulation.after(milliseconds{2}, [this, node] { keepTicking(node); });
    }

    void keepArriving()
    {
        if (m_simulation.now() >= Instant{seconds{1001}} + span)
            return;
        const auto call = ++m_begun;
        const auto entry = m_simulation.below(nodes);
        const auto home = m_strategy.homes > 0 ? m_simulation.below(m_strategy.homes) : entry;
        m_calls[call] = {m_simulation.now(), entry, home};
        m_simulation.after(hop(entry, home), [this, call, home] {
            CallAttributes attributes;
            attributes.id = call;
            attributes.service = "shifts";
            attributes.idempotencyKey = std::to_string(call);
            ClaimActions actions;
            m_keepers[home]->begin(attributes, m_simulation.now(), actions);
            perform(home, actions);
        });
        const auto mean = std::chrono::duration<double, std::micro>(1e6 / m_rate);
        m_simulation.after(m_simulation.between(Duration{0}, std::chrono::duration_cast<Duration>(2 * mean)),
                           [this] { keepArriving(); });
    }

    void perform(std::size_t node, const ClaimActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *decision = std::get_if<ClaimDecision>(&action))
                onDecision(*decision);
            else
                callStore(node, std::get<KeyCall>(action));
        }
    }

    void callStore(std::size_t node, const KeyCall &call)
    {
        const auto *transaction = std::get_if<KeyTransaction>(&call.operation);
        m_simulation.after(hopToStore(node), [this, node, call, items = transaction ? transaction->puts.size() : 0] {
            m_storeFreeAt = std::max(m_storeFreeAt, m_simulation.now()) + writeService + items * writeItemService;
            m_simulation.after(m_storeFreeAt - m_simulation.now(), [this, node, call] {
                const auto reply = m_store.apply(call);
                m_simulation.after(hopToStore(node), [this, node, reply, tag = call.tag] {
                    ClaimActions actions;
                    m_keepers[node]->onReply(tag, reply, m_simulation.now(), actions);
                    perform(node, actions);
                });
            });
        });
    }

    void onDecision(const ClaimDecision &decision)
    {
        if (decision.outcome != ClaimOutcome::Granted) {
            ++m_refused;
            return;
        }
        const auto booking = m_calls.at(decision.call);
        const auto back = hop(booking.home, booking.entry);
        m_waits.push_back(m_simulation.now() + back - booking.arrival);
        m_simulation.after(back + running + back, [this, call = decision.call, home = booking.home] {
            ClaimActions actions;
            m_keepers[home]->finish(call, Verdict::Ran, StoredAnswer{200, "text/plain", "done"}, m_simulation.now(),
                                    actions);
            perform(home, actions);
        });
    }

    struct Booking {
        Instant arrival;
        std::size_t entry;
        std::size_t home;
    };

    Simulation m_simulation;
    Strategy m_strategy;
    double m_rate;
    FakeKeyValue m_store;
    Instant m_storeFreeAt{};
    std::vector<std::unique_ptr<ClaimKeeper>> m_keepers;
    std::map<CallId, Booking> m_calls;
    std::vector<Duration> m_waits;
    unsigned m_begun = 0;
    unsigned m_refused = 0;
    double m_claimSum = 0;
    unsigned m_samples = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::puts("| strategy | bookings/s | added ms, median | 95% | 99% | key-value calls/s | refused | claims in memory "
              "per node |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const auto &strategy : strategies) {
        for (const double rate : {50.0, 400.0, 2000.0})
            Measurement{strategy, rate, seed}.run();
    }
    return 0;
}
