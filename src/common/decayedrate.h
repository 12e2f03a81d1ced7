#pragma once

#include "common/clock.h"

#include <cmath>

namespace Gypsumtally
{

/// The rate of an event, averaged with weights that decay exponentially with a half-life. Not thread-safe.
class DecayedRate
{
public:
    explicit DecayedRate(Duration halfLife)
        : m_halfLifeSeconds(std::chrono::duration<double>(halfLife).count())
    {
    }

    /// Counts @p events. Precondition: @p now is not earlier than in the previous call.
    void count(Instant now, double events = 1)
    {
        m_weight = weightAt(now) + events;
        m_updated = now;
    }

    /// Returns the rate in events per second.
    double perSecond(Instant now) const
    {
        return weightAt(now) * std::log(2.0) / m_halfLifeSeconds;
    }

    /// Returns the sum of all counted events, each decayed until @p now.
    double weightAt(Instant now) const
    {
        return m_weight * std::exp2(-std::chrono::duration<double>(now - m_updated).count() / m_halfLifeSeconds);
    }

    /// Returns weightAt() for the time of the last count(). Cheaper than weightAt(), since it computes no decay.
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
