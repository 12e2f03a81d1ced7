#pragma once

#include "common/clock.h"
#include "estimates/fastestimate.h"
#include "limits/concurrencylimiter.h"

#include <optional>

namespace Gypsumtally::Estimates
{

/// Samples of one node since its last report, as one figure.
struct CapacityReport {
    double ms = 0; ///< Geometric mean.
    double weight = 0; ///< Number of samples; uncertain ones count less.

    friend bool operator==(const CapacityReport &, const CapacityReport &) = default;
};

/// The learnt speed of one upstream and the number of requests that it handles well at once, from samples of this node
/// and of others. Samples are times in ms: of a step for engines, of an answer for plain services. Not thread-safe;
/// does no I/O.
class UpstreamCapacity
{
public:
    /// Adds a sample of this node, of which it is known that it lies between @p lowMs and @p highMs. One whose range
    /// includes the estimate only confirms that, and is not reported, as nodes would confirm each other's estimates.
    void addOwn(double lowMs, double highMs, double weight, Instant now);

    /// Adds another node's report, made @p age ago.
    void addReported(const CapacityReport &report, Duration age, Instant now);

    /// Returns true if this node's samples differ from what the nodes have reported, so that the others should get them
    /// without delay.
    bool hasNews() const;

    /// Returns this node's samples since the last call; nothing if there were none.
    std::optional<CapacityReport> takeReport(Instant now);

    /// Returns the time of this node's newest sample; Instant{} if there was none.
    Instant lastOwnAt() const
    {
        return m_lastOwnAt;
    }

    /// Returns true if there was a sample within fadingTime.
    bool isKnown(Instant now) const;

    /// Returns the ratio of the upstream's time to @p usualMs, that of its service. Without recent samples the ratio
    /// approaches that of @p lastingMs, a slower estimate (0: none), and then 1. Precondition: @p usualMs is positive.
    double slowness(double usualMs, double lastingMs, Instant now) const;

    /// Returns the factor by which the upstream is expected to be slower with @p inFlight requests than it was with
    /// those that it had at the samples.
    double crowding(unsigned inFlight) const;

    /// Adjusts the limit after a sample. @p strain is the slowness as a fraction of the tolerable one, and @p inFlight
    /// the number of requests of all nodes.
    void adjustLimit(double strain, unsigned inFlight, unsigned slots, Instant now);

    /// Returns the number of requests to send to the upstream at once: @p slots, or fewer after strain.
    unsigned limit(unsigned slots, Instant now) const;

private:
    /// Time without samples after which the upstream counts as average, so that it gets requests that sample it.
    static constexpr Duration fadingTime = std::chrono::seconds{3};

    FastEstimate m_estimate;
    double m_pendingLogs = 0; ///< Weighted sum of the logarithms of samples that were not reported.
    double m_pendingWeight = 0;
    Instant m_lastOwnAt{};
    FastEstimate m_reported; ///< From the reports of all nodes, this one included: what the others know.
    std::optional<ConcurrencyLimiter> m_limiter; ///< Nothing before the first strain.
    unsigned m_slots = 0; ///< That the limiter was made for.
    Instant m_strainedAt{};
    double m_sampledInFlight = -1; ///< Moving average of the requests in flight at samples; negative before the first.
};

} // namespace Gypsumtally::Estimates
