#include "limits/concurrencylimiter.h"

#include <algorithm>

namespace Gypsumtally
{

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencySettings settings)
    : m_settings(settings)
    , m_limit(settings.initial)
{
}

void ConcurrencyLimiter::report(const LoadReport &report, std::uint32_t dispatched, Instant now)
{
    if (report.waiting > 0) {
        reduce(now);
        return;
    }
    if (now < m_nextChange || dispatched < limit())
        return;
    const double known = report.maxRunning > 0 ? report.maxRunning : m_settings.maximum;
    m_limit = std::min({m_limit + m_settings.increase, known, m_settings.maximum});
    m_nextChange = now + m_settings.reactionTime;
}

void ConcurrencyLimiter::refused(Instant now)
{
    reduce(now);
}

std::uint32_t ConcurrencyLimiter::limit() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void ConcurrencyLimiter::reduce(Instant now)
{
    if (now < m_nextChange)
        return;
    m_limit = std::max(m_settings.minimum, m_limit * m_settings.decrease);
    m_nextChange = now + m_settings.reactionTime;
}

} // namespace Gypsumtally
