#pragma once

#include "common/clock.h"

#include <cstddef>
#include <deque>

namespace Gypsumtally::Estimates
{

/// A quantile of the last samples of a positive figure. Outliers count no more than other samples, and a change shows
/// within some samples. Not thread-safe.
class RecentQuantile
{
public:
    /// Looks at the last @p capacity samples, and at none that is older than the newest by more than @p span.
    /// Preconditions: @p quantile lies between 0 and 1, @p capacity is positive.
    RecentQuantile(double quantile, std::size_t capacity, Duration span);

    /// Takes in one sample. Those that are not positive are left out.
    void add(double sample, Instant now);

    /// Returns the quantile, or 0 if there was no sample.
    double value() const
    {
        return m_value;
    }

    /// Returns how many samples the quantile rests on.
    std::size_t samples() const
    {
        return m_samples.size();
    }

private:
    struct Sample {
        Instant at{};
        double value = 0;
    };

    double m_quantile;
    std::size_t m_capacity;
    Duration m_span;
    std::deque<Sample> m_samples;
    double m_value = 0;
};

} // namespace Gypsumtally::Estimates
