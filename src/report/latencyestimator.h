#pragma once

#include "common/clock.h"

#include <cstdint>
#include <memory>

namespace Gypsumtally
{

/// The distribution of latencies in seconds over one interval.
struct LatencySummary {
    std::uint64_t count = 0;
    double mean = 0;
    double max = 0;
    double p50 = 0; ///< Exact for few samples, else an estimate, like the other quantiles.
    double p95 = 0;
    double p99 = 0;
};

/// Estimates latency quantiles over intervals of five minutes in constant memory. Not thread-safe.
class LatencyEstimator
{
public:
    LatencyEstimator();
    ~LatencyEstimator();
    LatencyEstimator(LatencyEstimator &&) noexcept;
    LatencyEstimator &operator=(LatencyEstimator &&) noexcept;

    /// Adds a latency. Precondition: @p now is not earlier than in the previous call.
    void add(Duration latency, Instant now);

    /// Returns the distribution over the last complete interval, or over the current one if none is complete yet.
    LatencySummary summary(Instant now) const;

private:
    struct Interval;
    std::unique_ptr<Interval> m_current;
    LatencySummary m_previous;
    Instant m_intervalEnd{};
};

} // namespace Gypsumtally
