#include "residency/loadbroker.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally
{

namespace
{

/// Time after which a granted load whose end was not reported is assumed lost.
constexpr Duration loadTimeout = std::chrono::seconds{30};

template<typename T>
auto matches(const UpstreamId &upstream, const AdapterVersion &adapter)
{
    return [&](const T &item) { return item.upstream == upstream && item.adapter == adapter; };
}

} // namespace

LoadBroker::LoadBroker(LoadBrokerSettings settings)
    : m_settings(settings)
{
}

bool LoadBroker::ask(LoadTicket ticket, Instant now)
{
    const auto known = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return matches<LoadTicket>(ticket.upstream, ticket.adapter)(entry.ticket);
    });
    if (known != m_entries.end()) {
        known->ticket.priority = ticket.priority;
        return true;
    }
    if (m_entries.size() >= m_settings.maxTickets)
        return false;
    m_entries.push_back({std::move(ticket), now});
    return true;
}

void LoadBroker::withdraw(const UpstreamId &upstream, const AdapterVersion &adapter)
{
    std::erase_if(m_entries, [&](const Entry &entry) { return matches<LoadTicket>(upstream, adapter)(entry.ticket); });
    release(upstream, adapter);
}

void LoadBroker::forget(const UpstreamId &upstream)
{
    std::erase_if(m_entries, [&](const Entry &entry) { return entry.ticket.upstream == upstream; });
    std::erase_if(m_inFlight, [&](const InFlight &load) { return load.upstream == upstream; });
}

void LoadBroker::finished(const UpstreamId &upstream, const AdapterVersion &adapter)
{
    release(upstream, adapter);
}

void LoadBroker::refused(const UpstreamId &upstream, const AdapterVersion &adapter, Duration retryAfter, Instant now)
{
    release(upstream, adapter);
    m_blockedUntil = std::max(m_blockedUntil, now + retryAfter);
}

std::vector<LoadTicket> LoadBroker::grants(Instant now)
{
    refillTokens(now);
    std::vector<LoadTicket> granted;
    if (now < m_blockedUntil)
        return granted;
    while (m_inFlight.size() < m_settings.maxInFlight) {
        const auto it = best(now);
        if (it == m_entries.end() || !hasToken(*it, now))
            break;
        const bool anyAged
            = std::any_of(m_entries.begin(), m_entries.end(), [&](const Entry &entry) { return isAged(entry, now); });
        if (isAged(*it, now) && m_agedCredit >= 1)
            m_agedCredit -= 1;
        else if (anyAged)
            m_agedCredit = std::min(1.0, m_agedCredit + m_settings.agedFraction);
        m_used.push_back(now);
        m_inFlight.push_back({it->ticket.upstream, it->ticket.adapter, now + loadTimeout});
        granted.push_back(std::move(it->ticket));
        m_entries.erase(it);
    }
    return granted;
}

std::optional<Instant> LoadBroker::nextWake(Instant now)
{
    if (m_entries.empty())
        return std::nullopt;
    if (now < m_blockedUntil)
        return m_blockedUntil;
    if (m_inFlight.size() >= m_settings.maxInFlight)
        return now + std::chrono::milliseconds{100};
    refillTokens(now);
    if (m_used.empty())
        return now;
    return m_used.front() + tokenPeriod();
}

std::size_t LoadBroker::waiting() const
{
    return m_entries.size();
}

void LoadBroker::refillTokens(Instant now)
{
    while (!m_used.empty() && m_used.front() + tokenPeriod() <= now)
        m_used.pop_front();
    std::erase_if(m_inFlight, [&](const InFlight &load) { return load.until <= now; });
}

bool LoadBroker::hasToken(const Entry &entry, Instant now) const
{
    const auto &priority = entry.ticket.priority;
    double part = 1;
    if (priority.foreseen)
        part = m_settings.prefetchFraction;
    else if (priority.serviceClass != ServiceClass::Urgent && !isAged(entry, now)
             && m_entries.size() < m_settings.reservedBelow)
        part = 1 - m_settings.reservedFraction;
    const double limit = std::floor(static_cast<double>(capacity()) * part);
    return static_cast<double>(m_used.size()) + 1 <= std::max(limit, 1.0);
}

std::size_t LoadBroker::capacity() const
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_settings.loadsPerSecond));
}

Duration LoadBroker::tokenPeriod() const
{
    // Rounding down leaves a fractional load per second unused, so that no one-second window exceeds the rate.
    const double seconds = std::max(1.0, static_cast<double>(capacity()) / m_settings.loadsPerSecond);
    return Duration{static_cast<Duration::rep>(std::ceil(seconds * 1e6))} + m_settings.margin;
}

bool LoadBroker::isAged(const Entry &entry, Instant now) const
{
    const auto &priority = entry.ticket.priority;
    return !priority.foreseen && priority.serviceClass != ServiceClass::Urgent
           && now - entry.requestedAt >= m_settings.ageing;
}

double LoadBroker::urgency(const Entry &entry, Instant now) const
{
    const auto &priority = entry.ticket.priority;
    if (priority.foreseen)
        return -1;
    const double age
        = std::chrono::duration<double>(now - entry.requestedAt) / std::chrono::duration<double>(m_settings.ageing);
    const double classRank = 2.0 - static_cast<double>(priority.serviceClass);
    // Scales with the weight of batch efficiency; with equal weights ten more waiters count as much as one class.
    const double waiters = 0.2 * m_settings.weights.batchFraction() * std::min(priority.waiters, 20U);
    const double agedBonus = isAged(entry, now) && m_agedCredit >= 1 ? 10 : 0;
    return classRank + waiters + 0.5 * std::min(age, 1.0) + agedBonus + 1e-3 * age;
}

std::vector<LoadBroker::Entry>::iterator LoadBroker::best(Instant now)
{
    return std::max_element(m_entries.begin(), m_entries.end(),
                            [&](const Entry &a, const Entry &b) { return urgency(a, now) < urgency(b, now); });
}

void LoadBroker::release(const UpstreamId &upstream, const AdapterVersion &adapter)
{
    const auto it = std::find_if(m_inFlight.begin(), m_inFlight.end(), matches<InFlight>(upstream, adapter));
    if (it != m_inFlight.end())
        m_inFlight.erase(it);
}

} // namespace Gypsumtally
