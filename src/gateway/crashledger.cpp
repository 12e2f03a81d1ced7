#include "gateway/crashledger.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// Number of crashed upstreams at which a request is blocked. One crash may be a coincidence, and so may two when many
/// upstreams crash at once.
constexpr std::size_t blockingCrashes = 3;

/// Time after a request's last crash report from which its entry may be evicted; a twentieth of that for a request that
/// is not blocked.
constexpr Duration retention = std::chrono::minutes{10};
constexpr std::size_t maxEntries = 20000; ///< Number of entries at which old ones are evicted; about 2 MB.

} // namespace

void CrashLedger::add(const CrashReport &report, Instant now)
{
    insert(report, now);
}

void CrashLedger::addOwn(const CrashReport &report, Instant now)
{
    if (insert(report, now))
        m_own.push_back({report, now});
}

/// Records a report. Returns true if it is new.
bool CrashLedger::insert(const CrashReport &report, Instant now)
{
    if (m_entries.size() >= maxEntries)
        evictOld(now);
    auto &entry = m_entries[report.fingerprint];
    entry.lastReport = now;
    return entry.instances.insert(report.instance).second;
}

bool CrashLedger::isBlocked(Fingerprint fingerprint) const
{
    return crashCount(fingerprint) >= blockingCrashes;
}

std::size_t CrashLedger::crashCount(Fingerprint fingerprint) const
{
    const auto it = m_entries.find(fingerprint);
    return it == m_entries.end() ? 0 : it->second.instances.size();
}

std::vector<CrashReport> CrashLedger::recent(Instant now, Duration age)
{
    while (!m_own.empty() && now - m_own.front().at > age)
        m_own.pop_front();
    std::vector<CrashReport> reports;
    for (const auto &own : m_own)
        reports.push_back(own.report);
    return reports;
}

void CrashLedger::evictOld(Instant now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.lastReport > retention
               || (item.second.instances.size() < blockingCrashes && now - item.second.lastReport > retention / 20);
    });
}

} // namespace Gypsumtally::Gateway
