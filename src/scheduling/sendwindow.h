#pragma once

#include "common/clock.h"

#include <optional>

namespace Gypsumtally::Scheduling
{

/// The times of a call that decide until when it is worth sending.
struct SendWindow {
    Instant arrival{};
    Instant deadline{};
    Duration callerPatience{}; ///< Time that the caller waits for the next event; zero: until the deadline.
    Duration objective{}; ///< Time from the arrival in which the caller wants the first event.
    Duration longestReservation{}; ///< Time by which a call that gets its turn may reserve capacity ahead.
    std::optional<Instant> lastEventAt; ///< When the caller got the last part of an answer that has begun.

    /// Returns the latest useful time to send the call: the caller must still be waiting when the next event arrives.
    /// Thread-safe.
    Instant latestSend() const;

    /// Returns the latest time at which the call must get its turn to be likely in time. Thread-safe.
    Instant inTimeUntil() const;

    /// Returns the Retry-After for a call that can be served in @p servedIn. It is capped because callers retry at most
    /// once, and not at all if the Retry-After is longer than they accept. Thread-safe.
    Duration acceptableRetryAfter(Duration servedIn, Instant now) const;

    /// Returns the longest Retry-After that callers accept. Thread-safe.
    Duration longestRetryAfter(Instant now) const;
};

} // namespace Gypsumtally::Scheduling
