#pragma once

#include "estimates/recentquantile.h"

namespace Gypsumtally::Estimates
{

/// Estimate of an engine's inter-token latency while it processes no prompt, from the pauses of its streams. Uses a low
/// quantile, as prompts may lengthen most pauses of a busy engine. Not thread-safe; does no I/O.
class StepEstimate
{
public:
    /// Adds a sample from a stream of this node: @p ms between two tokens.
    void add(double ms, Instant now)
    {
        m_own.add(ms, now);
    }

    /// Adds another node's learnt(), in ms.
    void onPeerReport(double ms, Instant now)
    {
        m_reported.add(ms, now);
    }

    /// Returns the estimate in ms, or 0 if there are no samples. Other nodes' estimates are used while there are fewer
    /// than sufficientSamples own samples.
    double value() const
    {
        if (m_own.samples() >= sufficientSamples || m_reported.samples() == 0)
            return m_own.value();
        return m_reported.value();
    }

    /// Returns the estimate in ms from this node's streams alone, or 0 if there are no samples.
    double learnt() const
    {
        return m_own.value();
    }

private:
    static constexpr double stepQuantile = 0.12;
    /// Higher than stepQuantile, as reports already exclude most pauses caused by prompts.
    static constexpr double reportedQuantile = 0.4;
    static constexpr std::size_t capacity = 32;
    static constexpr std::size_t sufficientSamples = 8;
    static constexpr Duration span = std::chrono::seconds{4};

    RecentQuantile m_own{stepQuantile, capacity, span};
    RecentQuantile m_reported{reportedQuantile, capacity, span};
};

} // namespace Gypsumtally::Estimates
