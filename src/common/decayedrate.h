#pragma once

#include "common/clock.h"

#include <cmath>

namespace Gypsumtally
{

/// How often something happens, as an average that forgets by half in each half-life. Not thread-safe.
class DecayedRate
{
public:
    explicit DecayedRate(Duration halfLife)
        : m_halfLifeSeconds(std::chrono::duration<double>(halfLife).count())
    {
    }

    /// Counts @p events. Precondition: @p now does not go back.
    void count(Instant now, double events = 1)
    {
        m_weight = weightAt(now) + events;
        m_updated = now;
    }

    /// Returns events a second.
    double perSecond(Instant now) const
    {
        return weightAt(now) * std::log(2.0) / m_halfLifeSeconds;
    }

    /// Returns the events that are not forgotten.
    double weightAt(Instant now) const
    {
        return m_weight * std::exp2(-std::chrono::duration<double>(now - m_updated).count() / m_halfLifeSeconds);
    }

    /// Returns weightAt() the last count, without the cost of working out what was forgotten since.
    double lastWeight() const
    {
        return m_weight;
    }

private:
    double m_halfLifeSeconds;
    double m_weight = 0;
    Instant m_updated{};
};

} // namespace Gypsumtally
