#pragma once

#include "common/clock.h"
#include "estimates/servicespeed.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

/// What is known about a call before it is sent.
struct CallLength {
    Instant arrival{};
    Instant deadline{}; ///< Its upstream works no longer.
    Duration expected{}; ///< Usual time from the send to the end of the answer.
    Duration longest{}; ///< Time that the answer exceeds only if its upstream is in trouble.
    bool mayBeRepeated = false; ///< Its caller gets the answer elsewhere if this node cuts it.
};

/// Returns the expected and the longest time of a plain request by what answers of its service have taken lately; the
/// longest is @p longestInAnswerTimes usual ones. Thread-safe.
CallLength answerLength(CallLength call, const Estimates::Speed &speed, double longestInAnswerTimes);

/// Returns the expected and the longest time of a stream with @p promptTokens and at most @p outputTokens, by what
/// streams of its service have taken lately. Thread-safe.
CallLength streamLength(CallLength call, const Estimates::Speed &speed, double promptTokens, double outputTokens);

/// What a node may still do between SIGTERM and its exit. Not thread-safe; does no I/O.
class StopSchedule
{
public:
    /// Time after SIGTERM in which new requests are accepted, as callers learn of the stop only by then.
    static constexpr Duration takingTime = std::chrono::milliseconds{3000};
    /// Time before SIGKILL at which the calls in progress are ended.
    static constexpr Duration endMargin = std::chrono::milliseconds{500};
    /// Share of the grace for which calls go on at least, from the notice of SIGTERM.
    static constexpr double minCallShare = 5.0 / 6;
    /// Time between the end of the calls and the exit, in which callers get their answers.
    static constexpr Duration flushTime = std::chrono::milliseconds{150};
    /// Time before the end of the calls in which no requests are accepted, even if no other node takes them.
    static constexpr Duration closingTime = std::chrono::milliseconds{1000};

    /// Of a node that noticed SIGTERM at @p noticedAt and gets SIGKILL @p grace after SIGTERM, which came at
    /// @p earliestStop or later: a process that is short of processor notices it late. If that is so long ago that
    /// calls would not go on for minCallShare, SIGTERM is assumed to have come later. Precondition: @p earliestStop is
    /// not after @p noticedAt.
    StopSchedule(Instant earliestStop, Instant noticedAt, Duration grace);

    /// Returns true if requests on open and new connections are accepted at @p now. That goes on for longer if
    /// @p othersTakeCallers is false, as callers have nowhere else to go.
    bool takesRequests(Instant now, bool othersTakeCallers) const;

    /// Returns the latest time to send a call so that it ends before the node does; Instant::max() for a call whose
    /// deadline is earlier. A call that may be repeated counts with its usual length if it arrived in takingTime from
    /// the earliest SIGTERM, any other one with its longest. One that arrived after takingTime is not to be sent if @p
    /// othersTakeCalls, as no length but its deadline is certain: Instant::min().
    Instant latestSend(const CallLength &length, bool othersTakeCalls) const;

    /// Returns the time at which the node may exit if nothing is in progress.
    Instant earliestExit() const
    {
        return std::min(m_noticedAt + takingTime, m_endOfCalls);
    }

    /// Returns the time at which the calls in progress are ended.
    Instant endOfCalls() const
    {
        return m_endOfCalls;
    }

    /// Returns the time of the exit.
    Instant exitAt() const
    {
        return m_endOfCalls + flushTime;
    }

private:
    Instant m_earliestStop;
    Instant m_noticedAt;
    Instant m_endOfCalls;
};

/// What has become of calls since their node was asked to stop.
struct StopCounts {
    unsigned accepted = 0; ///< Calls that were read.
    unsigned sent = 0; ///< Sends to upstreams and peers.
    unsigned refused = 0; ///< Calls that would not have ended before the exit.
    unsigned cut = 0; ///< Calls that the exit ended.
};

} // namespace Gypsumtally::Gateway
