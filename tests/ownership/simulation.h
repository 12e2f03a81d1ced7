#pragma once

#include "common/clock.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace Gypsumtally::Testing
{

/// Event queue in virtual time and random generator of one history; the same seed reproduces the history.
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

    /// Schedules @p event for @p due, or for now if that has passed.
    void at(Instant due, std::function<void()> event)
    {
        m_events.emplace(std::max(due, m_now), std::move(event));
    }

    void after(Duration delay, std::function<void()> event)
    {
        at(m_now + delay, std::move(event));
    }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_now = end;
    }

    /// Returns a random number from 0 to @p count - 1.
    std::uint64_t below(std::uint64_t count)
    {
        return m_random() % count;
    }

    /// Returns true with a probability of @p percent.
    bool chance(unsigned percent)
    {
        return below(100) < percent;
    }

    /// Returns a random duration from @p least to @p most.
    Duration between(Duration least, Duration most)
    {
        return least + Duration(below(static_cast<std::uint64_t>((most - least).count()) + 1));
    }

private:
    std::mt19937_64 m_random;
    Instant m_now{};
    std::multimap<Instant, std::function<void()>> m_events;
};

} // namespace Gypsumtally::Testing
