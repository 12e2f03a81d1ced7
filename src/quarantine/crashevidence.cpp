#include "quarantine/crashevidence.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

bool hasSuspect(const CrashRecord &record, Fingerprint fingerprint)
{
    return std::ranges::find(record.suspects, fingerprint, &CrashSuspect::fingerprint) != record.suspects.end();
}

} // namespace

CrashEvidence::CrashEvidence(const QuarantinePolicy &policy)
    : m_policy(policy)
{
}

void CrashEvidence::add(const std::string &key, CrashRecord record, Revision revision, Instant earliest, Instant now)
{
    const auto [crash, isNew] = m_crashes.try_emplace(key, SeenCrash{std::move(record), revision, earliest, now});
    crash->second.revision = std::max(crash->second.revision, revision);
    if (!isNew)
        return;
    for (const auto &suspect : crash->second.record.suspects)
        m_occurrences[suspect.fingerprint].push_back({&crash->second, &suspect});
}

void CrashEvidence::retain(const std::map<std::string, CrashRecord> &keys)
{
    const auto isGone = [&](const auto &entry) { return entry.second.revision != 0 && !keys.contains(entry.first); };
    if (std::erase_if(m_crashes, isGone) != 0)
        reindex();
}

void CrashEvidence::reindex()
{
    m_occurrences.clear();
    for (const auto &[key, crash] : m_crashes) {
        for (const auto &suspect : crash.record.suspects)
            m_occurrences[suspect.fingerprint].push_back({&crash, &suspect});
    }
}

void CrashEvidence::onCompleted(Fingerprint fingerprint, Instant now)
{
    if (!m_completed.insert_or_assign(fingerprint, now).second)
        return;
    if (m_completedOrder.size() < m_policy.maxCompleted) {
        m_completedOrder.push_back(fingerprint);
        return;
    }
    m_completed.erase(std::exchange(m_completedOrder[m_nextCompleted], fingerprint));
    m_nextCompleted = (m_nextCompleted + 1) % m_completedOrder.size();
}

void CrashEvidence::onCleared(Fingerprint fingerprint, Revision revision)
{
    m_cleared[fingerprint] = revision;
}

std::vector<CrashEvidence::Occurrence> CrashEvidence::occurrencesOf(Fingerprint fingerprint, Instant now) const
{
    const auto occurrences = m_occurrences.find(fingerprint);
    if (occurrences == m_occurrences.end())
        return {};
    const auto cleared = m_cleared.find(fingerprint);
    const auto completed = m_completed.find(fingerprint);
    const auto counts = [&](const Occurrence &occurrence) {
        const auto &crash = *occurrence.crash;
        if (now - crash.firstSeen > m_policy.evidenceLifetime)
            return false;
        if (cleared != m_cleared.end() && crash.revision != 0 && crash.revision < cleared->second)
            return false;
        const bool hasCompletedSince = completed != m_completed.end() && completed->second >= crash.firstSeen;
        return !hasCompletedSince || !m_policy.safeguards.clearCompleted;
    };
    std::vector<Occurrence> result;
    std::ranges::copy_if(occurrences->second, std::back_inserter(result), counts);
    return result;
}

std::uint32_t CrashEvidence::rankOf(Fingerprint fingerprint, Instant now) const
{
    std::uint32_t rank = 0;
    for (const auto &occurrence : occurrencesOf(fingerprint, now))
        rank = std::max(rank, occurrence.suspect->rank + 1);
    return rank;
}

Suspicion CrashEvidence::assess(Fingerprint fingerprint, Instant now, Instant viewTime) const
{
    const auto occurrences = occurrencesOf(fingerprint, now);
    if (occurrences.empty())
        return Suspicion::None;
    if (!m_policy.safeguards.separateEvents)
        return occurrences.size() > 1 ? Suspicion::Poison : Suspicion::Suspect;
    if (!m_policy.safeguards.requireIsolation)
        return rankOf(fingerprint, now) > 1 ? Suspicion::Poison : Suspicion::Suspect;
    std::set<std::uint32_t> isolatedRanks;
    bool isPending = false;
    for (const auto &occurrence : occurrences) {
        if (!occurrence.isIsolated())
            continue;
        isolatedRanks.insert(occurrence.suspect->rank);
        const bool isSettled = viewTime >= occurrence.crash->firstSeen + m_policy.burstWindow;
        if (isSettled && !isInconclusive(occurrence))
            return Suspicion::Poison;
        isPending = isPending || !isSettled;
    }
    if (isolatedRanks.size() >= m_policy.inconclusiveLimit || isOnlyCommonSuspect(occurrences))
        return Suspicion::Poison;
    return isPending ? Suspicion::Pending : Suspicion::Suspect;
}

bool CrashEvidence::isInconclusive(const Occurrence &occurrence) const
{
    if (!m_policy.safeguards.discountCorrelated)
        return false;
    const auto &crash = *occurrence.crash;
    if (crash.record.cause == CrashCause::VmLost || occurrence.suspect->hasCompleted)
        return true;
    return std::ranges::any_of(m_crashes, [&](const auto &entry) {
        const auto &other = entry.second;
        const bool isNear = other.earliest <= crash.firstSeen + m_policy.burstWindow
                            && crash.earliest <= other.firstSeen + m_policy.burstWindow;
        return &other != &crash && other.record.failureDomain == crash.record.failureDomain && isNear;
    });
}

bool CrashEvidence::isOnlyCommonSuspect(const std::vector<Occurrence> &occurrences) const
{
    std::map<std::uint32_t, const Occurrence *> byRank;
    for (const auto &occurrence : occurrences) {
        if (occurrence.crash->record.cause == CrashCause::ProcessEnded && !occurrence.suspect->hasCompleted)
            byRank.emplace(occurrence.suspect->rank, &occurrence);
    }
    if (byRank.size() < m_policy.inconclusiveLimit)
        return false;
    const auto isCommon = [&](const CrashSuspect &suspect) {
        return std::ranges::all_of(
            byRank, [&](const auto &entry) { return hasSuspect(entry.second->crash->record, suspect.fingerprint); });
    };
    return std::ranges::count_if(byRank.begin()->second->crash->record.suspects, isCommon) == 1;
}

std::vector<UpstreamId> CrashEvidence::upstreamsOf(Fingerprint fingerprint, Instant now) const
{
    std::vector<UpstreamId> upstreams;
    for (const auto &occurrence : occurrencesOf(fingerprint, now))
        upstreams.push_back(occurrence.crash->record.upstream);
    return upstreams;
}

std::set<FailureDomainId> CrashEvidence::recentDomains(Instant now) const
{
    std::set<FailureDomainId> domains;
    for (const auto &[key, crash] : m_crashes) {
        if (now - crash.firstSeen <= m_policy.burstWindow)
            domains.insert(crash.record.failureDomain);
    }
    return domains;
}

std::vector<Fingerprint> CrashEvidence::repeatedSuspects() const
{
    std::vector<Fingerprint> suspects;
    for (const auto &[fingerprint, occurrences] : m_occurrences) {
        if (occurrences.size() > 1)
            suspects.push_back(fingerprint);
    }
    std::ranges::sort(suspects);
    return suspects;
}

} // namespace Gypsumtally
