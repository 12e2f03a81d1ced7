#include "scheduling/sendwindow.h"

#include <algorithm>

namespace Gypsumtally::Scheduling
{

namespace
{

constexpr double maxQueueTimeFraction = 0.5; ///< Fraction of the time from arrival to deadline.
/// Fraction of the caller's patience, from the arrival or the last event, after which nothing is sent any more; the
/// rest is for the next event.
constexpr double maxPatienceFraction = 0.6;
/// Fraction of the objective after which a call that is sent is presumed to be late; the rest is for its prompt.
constexpr double maxObjectiveFraction = 0.8;
/// Longest Retry-After as a fraction of the request's remaining time: callers ignore more than a third.
constexpr double maxRetryAfterFraction = 0.3;
constexpr Duration minRetryAfter = std::chrono::seconds{1}; ///< Shortest Retry-After, if callers accept it.

} // namespace

Instant SendWindow::latestSend() const
{
    const auto time = deadline - arrival;
    const auto patience = callerPatience > Duration{} ? std::min(time, callerPatience) : time;
    const auto fraction = std::chrono::duration_cast<Duration>(maxPatienceFraction * patience);
    if (lastEventAt)
        return std::min(deadline, *lastEventAt + fraction);
    return arrival + std::min(std::chrono::duration_cast<Duration>(maxQueueTimeFraction * time), fraction);
}

Instant SendWindow::inTimeUntil() const
{
    if (lastEventAt)
        return latestSend();
    return std::min(latestSend(), arrival + std::chrono::duration_cast<Duration>(maxObjectiveFraction * objective)
                                      - longestReservation);
}

Duration SendWindow::acceptableRetryAfter(Duration servedIn, Instant now) const
{
    return std::min(longestRetryAfter(now), std::max(servedIn, minRetryAfter));
}

Duration SendWindow::longestRetryAfter(Instant now) const
{
    return std::chrono::duration_cast<Duration>((deadline - now) * maxRetryAfterFraction);
}

} // namespace Gypsumtally::Scheduling
