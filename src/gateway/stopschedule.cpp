#include "gateway/stopschedule.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// Expected and longest times of answers, in the usual ones of their service.
constexpr double expectedInAnswerTimes = 4;
constexpr double expectedInStreamTimes = 1.5;
constexpr double longestInStreamTimes = 2;
constexpr Duration minLongestAnswer = std::chrono::seconds{1};
/// Factor and time by which a stream may exceed the estimate for the largest number of its tokens.
constexpr double streamSafetyFactor = 2.5;
constexpr Duration streamSafetyMargin = std::chrono::milliseconds{250};

Duration milliseconds(double count)
{
    return Duration{static_cast<std::int64_t>(count * 1000)};
}

} // namespace

CallLength answerLength(CallLength call, const Estimates::Speed &speed, double longestInAnswerTimes)
{
    call.expected = milliseconds(expectedInAnswerTimes * speed.answerMs);
    call.longest = std::max(minLongestAnswer, milliseconds(longestInAnswerTimes * speed.answerMs));
    return call;
}

CallLength streamLength(CallLength call, const Estimates::Speed &speed, double promptTokens, double outputTokens)
{
    const double tokensMs = promptTokens / speed.promptTokensPerMs + outputTokens * speed.stepMs;
    // Steps are slower than in the estimate while engines are busy, which the usual time shows.
    const double longestMs = std::max(streamSafetyFactor * tokensMs, longestInStreamTimes * speed.streamMs);
    const double usualMs = expectedInStreamTimes * speed.streamMs;
    call.expected = milliseconds(outputTokens > 0 ? std::min(tokensMs, usualMs) : usualMs);
    call.longest = milliseconds(longestMs) + streamSafetyMargin;
    return call;
}

StopSchedule::StopSchedule(Instant earliestStop, Instant noticedAt, Duration grace)
    : m_earliestStop(earliestStop)
    , m_noticedAt(noticedAt)
    , m_endOfCalls(std::max(earliestStop + grace - endMargin,
                            noticedAt + std::chrono::duration_cast<Duration>(minCallShare * grace)))
{
}

bool StopSchedule::takesRequests(Instant now, bool othersTakeCallers) const
{
    if (now < earliestExit())
        return true;
    return !othersTakeCallers && now < m_endOfCalls - closingTime;
}

Instant StopSchedule::latestSend(const CallLength &length, bool othersTakeCalls) const
{
    if (length.deadline < m_endOfCalls)
        return Instant::max();
    const bool isEarly = length.arrival <= m_earliestStop + takingTime;
    if (!isEarly && othersTakeCalls)
        return Instant::min();
    return m_endOfCalls - (length.mayBeRepeated && isEarly ? length.expected : length.longest);
}

} // namespace Gypsumtally::Gateway
