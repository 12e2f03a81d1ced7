#include "gateway/stopschedule.h"

namespace Gypsumtally::Gateway
{

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
