#pragma once

#include "common/clock.h"

namespace Gypsumtally::Estimates
{

/// A weighted geometric mean of a positive quantity in which samples fade with a time constant of half a second.
/// Consecutive samples that deviate to the same side replace older ones at once, so that a sudden change is followed
/// within a few samples in both directions. Not thread-safe; does no I/O.
class FastEstimate
{
public:
    /// Adds a sample. Ignores figures that are not positive or not finite.
    void add(double sample, double weight, Instant now);

    /// Returns the mean, or 0 if there were no samples.
    double value() const;

    /// Returns the logarithm of value(). Precondition: there were samples.
    double logarithm() const
    {
        return m_mean;
    }

    /// Returns the sum of the samples' weights, faded until @p now; 0 if there were none.
    double weight(Instant now) const;

    /// Returns the fraction of its weight that a sample of @p age has.
    static double faded(Duration age);

    /// Returns the time of the newest sample; Instant{} if there was none.
    Instant lastSampleAt() const
    {
        return m_updated;
    }

private:
    double m_mean = 0; ///< Of the samples' logarithms.
    double m_weight = 0; ///< As of m_updated.
    double m_deviating = 0; ///< Weight of the last samples that all deviate to one side; negative if downwards.
    Instant m_updated{};
};

} // namespace Gypsumtally::Estimates
