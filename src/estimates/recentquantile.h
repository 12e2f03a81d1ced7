#pragma once

#include "common/clock.h"

#include <cstddef>
#include <deque>

namespace Gypsumtally::Estimates
{

/// Sliding-window quantile of a positive quantity. Robust against outliers, and follows a change once enough of the
/// window consists of new samples. Not thread-safe.
class RecentQuantile
{
public:
    /// Keeps at most the last @p capacity samples, and none that is older than the newest one by more than @p span.
    /// Preconditions: @p quantile lies between 0 and 1, @p capacity is positive.
    RecentQuantile(double quantile, std::size_t capacity, Duration span);

    /// Adds a sample taken at @p now. Ignores a sample that is not positive or not finite.
    void add(double sample, Instant now);

    /// Returns the quantile as of the newest sample, in the unit of the samples, or 0 if there was no sample.
    double value() const
    {
        return m_value;
    }

    /// Returns the number of samples in the window.
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
