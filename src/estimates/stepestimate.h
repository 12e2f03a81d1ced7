#pragma once

#include "estimates/recentquantile.h"

namespace Gypsumtally::Estimates
{

/// The time that an engine takes for a token of a stream while it reads no prompt, from the pauses of its streams. Most
/// pauses of a busy engine may be lengthened by a prompt. Not thread-safe; does no I/O.
class StepEstimate
{
public:
    /// A stream of this node had a token after @p ms.
    void add(double ms, Instant now)
    {
        m_own.add(ms, now);
    }

    /// Another node has learnt @p ms from its own streams.
    void onTold(double ms, Instant now)
    {
        m_told.add(ms, now);
    }

    /// Returns the estimate in ms, or 0 if nothing is known.
    double value() const
    {
        if (m_own.samples() >= sufficientSamples || m_told.samples() == 0)
            return m_own.value();
        return m_told.value();
    }

    /// Returns what this node has learnt from its own streams, or 0.
    double learnt() const
    {
        return m_own.value();
    }

private:
    static constexpr double undisturbedQuantile = 0.12;
    static constexpr double toldQuantile = 0.4; ///< What others tell leaves out most of the disturbed pauses.
    static constexpr std::size_t capacity = 32;
    static constexpr std::size_t sufficientSamples = 8;
    static constexpr Duration span = std::chrono::seconds{4};

    RecentQuantile m_own{undisturbedQuantile, capacity, span};
    RecentQuantile m_told{toldQuantile, capacity, span};
};

} // namespace Gypsumtally::Estimates
