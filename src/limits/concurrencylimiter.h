#pragma once

#include "common/clock.h"

#include <cstdint>

namespace Gypsumtally
{

/// Settings of ConcurrencyLimiter. Limits are numbers of calls.
struct ConcurrencySettings {
    double initial = 8;
    double minimum = 1;
    double maximum = 256;
    double decrease = 0.8; ///< Factor applied to the limit when the upstream queues or refuses calls.
    double increase = 1; ///< Calls added to the limit when it is reached while the upstream queues none.
    Duration reactionTime = std::chrono::milliseconds{500}; ///< Minimum time between changes, as reports lag.
};

/// Load that an upstream reports, as numbers of calls. It may be stale.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0; ///< Calls that the upstream has accepted but is not running.
    std::uint32_t maxRunning = 0; ///< Maximum that the upstream runs at once; 0 if it does not report one.
};

/// Limits the number of calls dispatched to one upstream at once, by additive increase and multiplicative decrease
/// (AIMD) on its load reports. Not thread-safe; does no I/O.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(ConcurrencySettings settings = {});

    /// Adjusts the limit to a load report. @p dispatched is the number of calls that the owner has at the upstream now.
    void report(const LoadReport &report, std::uint32_t dispatched, Instant now);

    /// Decreases the limit, as the upstream refused a call because of overload.
    void refused(Instant now);

    /// Returns the maximum number of calls dispatched to the upstream at once.
    std::uint32_t limit() const;

private:
    void reduce(Instant now);

    ConcurrencySettings m_settings;
    double m_limit;
    Instant m_nextChange{};
};

} // namespace Gypsumtally
