#include "limits/admission.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally
{

namespace
{

constexpr Duration sweepPeriod = std::chrono::seconds{1};

} // namespace

Admission::Admission(AdmissionSettings settings)
    : m_settings(settings)
{
}

std::optional<Failure> Admission::admit(const CallAttributes &call, Instant now)
{
    removeIdle(now);
    auto &customer = m_customers[call.customer];
    customer.lastCall = now;
    const double limit = bound(call.serviceClass);
    if (m_outstanding + 1 > limit)
        return refuse(ErrorCode::Overloaded, "too many calls are outstanding", m_outstanding + 1 - limit, now);
    const double share = fairShare(call.serviceClass, now);
    if (m_outstanding >= limit * m_settings.fairShareThreshold && customer.outstanding + 1 > share)
        return refuse(ErrorCode::QuotaExceeded, "the customer is over its fair share", customer.outstanding + 1 - share,
                      now);
    ++customer.outstanding;
    ++m_outstanding;
    ++m_byClass[static_cast<std::size_t>(call.serviceClass)];
    m_calls.emplace(call.id, Entry{call.customer, call.serviceClass});
    return std::nullopt;
}

void Admission::finished(CallId call, Instant now)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    --m_customers[it->second.customer].outstanding;
    --m_byClass[static_cast<std::size_t>(it->second.serviceClass)];
    --m_outstanding;
    m_calls.erase(it);
    m_completions.count(now);
}

void Admission::setMaxOutstanding(std::uint32_t calls)
{
    m_settings.maxOutstanding = calls;
}

std::uint32_t Admission::outstanding() const
{
    return m_outstanding;
}

std::uint32_t Admission::outstandingOf(const CustomerId &customer) const
{
    const auto it = m_customers.find(customer);
    return it == m_customers.end() ? 0 : it->second.outstanding;
}

double Admission::bound(ServiceClass serviceClass) const
{
    const auto own = static_cast<std::size_t>(serviceClass);
    double left = m_settings.maxOutstanding;
    for (std::size_t index = 0; index < m_byClass.size(); ++index) {
        if (index != own)
            left -= std::max(0.0, reserved(index) - m_byClass[index]);
    }
    if (m_byClass[own] + 1 <= reserved(own))
        return left;
    return std::min(left, m_settings.maxOutstanding * m_settings.classFractions[own]);
}

double Admission::reserved(std::size_t index) const
{
    return m_settings.maxOutstanding * m_settings.reservedFractions[index];
}

double Admission::fairShare(ServiceClass serviceClass, Instant now)
{
    const auto active = std::count_if(m_customers.begin(), m_customers.end(), [&](const auto &item) {
        return item.second.outstanding > 0 || now - item.second.lastCall <= m_settings.activeTime;
    });
    const double equal = bound(serviceClass) / static_cast<double>(std::max<std::ptrdiff_t>(active, 1));
    return std::max(1.0, equal * m_settings.shareSlack);
}

Failure Admission::refuse(ErrorCode code, const char *message, double excess, Instant now) const
{
    const double seconds = std::max(excess, 1.0) / std::max(m_completions.perSecond(now), 0.1);
    const Duration wait{static_cast<Duration::rep>(seconds * 1e6)};
    return {Verdict::NotRun, code, message, std::clamp(wait, m_settings.minRetryAfter, m_settings.maxRetryAfter)};
}

void Admission::removeIdle(Instant now)
{
    if (now - m_lastSweep < sweepPeriod)
        return;
    m_lastSweep = now;
    std::erase_if(m_customers, [&](const auto &item) {
        return item.second.outstanding == 0 && now - item.second.lastCall > m_settings.activeTime;
    });
}

} // namespace Gypsumtally
