#include "quarantine/quarantine.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

const std::string prefix = "/gypsumtally/quarantine/";
const std::string crashPrefix = prefix + "crashes/";

std::string quarantineKey(Fingerprint fingerprint)
{
    return prefix + toText(fingerprint);
}

} // namespace

Quarantine::Quarantine(Incarnation incarnation, const QuarantinePolicy &policy)
    : m_incarnation(std::move(incarnation))
    , m_policy(policy)
    , m_evidence(policy)
    , m_writer(policy.retryInterval)
{
}

std::optional<Failure> Quarantine::check(Fingerprint fingerprint, Instant now) const
{
    const auto suspicion
        = isQuarantined(fingerprint) ? Suspicion::Poison : m_evidence.assess(fingerprint, now, m_viewTime);
    if (suspicion == Suspicion::Poison) {
        return Failure{Verdict::NotRun, ErrorCode::Quarantined,
                       "upstreams that ran this request crashed; an operator can clear it", std::nullopt};
    }
    if (suspicion == Suspicion::Pending) {
        return Failure{Verdict::NotRun, ErrorCode::Quarantined,
                       "an upstream that ran only this request has just crashed; the cause is being settled",
                       m_policy.burstWindow + m_policy.refreshInterval};
    }
    return std::nullopt;
}

bool Quarantine::isQuarantined(Fingerprint fingerprint) const
{
    const auto stored = m_stored.find(fingerprint);
    return stored != m_stored.end() && stored->second.record.state == QuarantineState::Quarantined;
}

Placement Quarantine::placement(Fingerprint fingerprint, std::uint32_t forwardedRank, Instant now)
{
    const auto rank = std::max(forwardedRank, rankOf(fingerprint, now));
    if (!m_policy.safeguards.isolateSuspects || rank == 0)
        return Placement::Anywhere;
    if (m_isolated.contains(fingerprint))
        return Placement::Wait;
    // Another node may have just run the same content in isolation, so the shared records must be up to date.
    m_wantsFreshView = !isViewFresh(now);
    return m_wantsFreshView ? Placement::Wait : Placement::Isolated;
}

bool Quarantine::isViewFresh(Instant now) const
{
    const auto age = now - m_viewTime;
    return !m_policy.safeguards.shareRecords || age <= m_policy.freshness || age >= m_policy.outageAfter;
}

std::set<FailureDomainId> Quarantine::crashedDomains(Instant now) const
{
    return m_evidence.recentDomains(now);
}

std::uint32_t Quarantine::rankOf(Fingerprint fingerprint, Instant now) const
{
    return m_evidence.rankOf(fingerprint, now);
}

void Quarantine::onDispatched(const UpstreamId &upstream, CallId call, Fingerprint fingerprint,
                              std::uint32_t forwardedRank, Instant now)
{
    const Running running{fingerprint, std::max(forwardedRank, rankOf(fingerprint, now))};
    m_running[upstream].insert_or_assign(call, running);
    if (running.rank > 0)
        ++m_isolated[fingerprint];
}

void Quarantine::stopRunning(const Running &running)
{
    if (running.rank == 0)
        return;
    const auto isolated = m_isolated.find(running.fingerprint);
    if (--isolated->second == 0)
        m_isolated.erase(isolated);
}

void Quarantine::onEnded(const UpstreamId &upstream, CallId call, bool isComplete, Instant now)
{
    const auto found = m_running.find(upstream);
    if (found == m_running.end())
        return;
    const auto ended = found->second.extract(call);
    if (ended.empty())
        return;
    stopRunning(ended.mapped());
    if (isComplete)
        m_evidence.onCompleted(ended.mapped().fingerprint, now);
}

void Quarantine::onCrashed(const UpstreamId &upstream, const FailureDomainId &failureDomain, CrashCause cause,
                           Instant now, std::vector<KeyCall> &calls)
{
    const auto running = m_running.extract(upstream);
    if (running.empty() && isKnownCrash(upstream, cause, now))
        return;
    CrashRecord record{upstream, failureDomain, m_incarnation, cause, {}};
    if (!running.empty()) {
        record.suspects = suspectsOf(running.mapped());
        for (const auto &[call, request] : running.mapped())
            stopRunning(request);
    }
    const auto key = crashPrefix + m_incarnation.value + "-" + std::to_string(++m_crashCount);
    if (m_policy.safeguards.shareRecords)
        m_writer.write(key, {encodeCrash(record), 0});
    m_evidence.add(key, std::move(record), 0, now, now);
    send(now, calls);
}

bool Quarantine::isKnownCrash(const UpstreamId &upstream, CrashCause cause, Instant now) const
{
    return std::ranges::any_of(m_evidence.crashes(), [&](const auto &entry) {
        const auto &crash = entry.second;
        return crash.record.upstream == upstream && crash.record.cause == cause
               && crash.record.recorder == m_incarnation && now - crash.firstSeen <= m_policy.burstWindow;
    });
}

std::vector<CrashSuspect> Quarantine::suspectsOf(const std::map<CallId, Running> &running) const
{
    std::map<Fingerprint, std::uint32_t> ranks;
    for (const auto &[call, request] : running) {
        auto &rank = ranks[request.fingerprint];
        rank = std::max(rank, request.rank);
    }
    std::vector<CrashSuspect> suspects;
    for (const auto &[fingerprint, rank] : ranks) {
        if (suspects.size() < m_policy.maxSuspects)
            suspects.push_back({fingerprint, rank, m_evidence.hasCompleted(fingerprint)});
    }
    return suspects;
}

void Quarantine::onReply(std::uint64_t tag, const KeyReply &reply, Instant now, std::vector<KeyCall> &calls)
{
    if (tag == m_writeTag) {
        m_writeTag.reset();
        m_writer.onReply(reply, now);
    } else if (tag == m_refreshTag) {
        m_refreshTag.reset();
        if (reply.outcome == KeyOutcome::Applied)
            applyRead(reply, now);
    }
    send(now, calls);
}

void Quarantine::tick(Instant now, std::vector<KeyCall> &calls)
{
    writeQuarantines(now);
    removeExpired(now);
    const bool isDue = m_wantsFreshView || now >= m_nextRefresh;
    if (m_policy.safeguards.shareRecords && isDue && !m_refreshTag)
        refresh(now, calls);
    send(now, calls);
}

void Quarantine::send(Instant now, std::vector<KeyCall> &calls)
{
    if (auto transaction = m_writer.next(now)) {
        m_writeTag = ++m_lastTag;
        calls.push_back({*m_writeTag, std::move(*transaction)});
    }
}

void Quarantine::refresh(Instant now, std::vector<KeyCall> &calls)
{
    m_refreshTag = ++m_lastTag;
    m_refreshSent = now;
    m_wantsFreshView = false;
    m_nextRefresh = now + m_policy.refreshInterval;
    calls.push_back({*m_refreshTag, KeyRead{prefix, true}});
}

void Quarantine::applyRead(const KeyReply &reply, Instant now)
{
    if (reply.revision < m_readRevision)
        return;
    m_readRevision = reply.revision;
    const auto before = std::exchange(m_viewTime, m_refreshSent);
    m_stored.clear();
    m_reported.clear();
    std::map<std::string, CrashRecord> crashes;
    for (const auto &value : reply.values) {
        if (value.key.starts_with(crashPrefix)) {
            if (auto crash = decodeCrash(value.value)) {
                m_evidence.add(value.key, *crash, value.modRevision, before, now);
                crashes.emplace(value.key, std::move(*crash));
            }
            continue;
        }
        const auto fingerprint = parseFingerprint(value.key.substr(prefix.size()));
        auto record = decodeQuarantine(value.value);
        if (!fingerprint || !record)
            continue;
        if (record->state == QuarantineState::Cleared)
            m_evidence.onCleared(*fingerprint, value.modRevision);
        m_stored.emplace(*fingerprint, Stored{std::move(*record), value.modRevision});
    }
    m_evidence.retain(crashes);
}

void Quarantine::writeQuarantines(Instant now)
{
    if (!m_policy.safeguards.shareRecords)
        m_viewTime = now;
    for (const auto fingerprint : m_evidence.repeatedSuspects()) {
        const bool isReported = isQuarantined(fingerprint) || m_reported.contains(fingerprint);
        if (isReported || !isResponsible(fingerprint, now))
            continue;
        if (m_evidence.assess(fingerprint, now, m_viewTime) != Suspicion::Poison)
            continue;
        const auto stored = m_stored.find(fingerprint);
        const Revision revision = stored == m_stored.end() ? 0 : stored->second.revision;
        const QuarantineRecord record{QuarantineState::Quarantined, m_evidence.upstreamsOf(fingerprint, now)};
        m_writer.write(quarantineKey(fingerprint), {encodeQuarantine(record), revision});
        m_reported.insert(fingerprint);
    }
}

bool Quarantine::isResponsible(Fingerprint fingerprint, Instant now) const
{
    return std::ranges::any_of(m_evidence.crashes(), [&](const auto &entry) {
        const auto &crash = entry.second;
        const bool isOurs = crash.record.recorder == m_incarnation;
        const auto &suspects = crash.record.suspects;
        return (isOurs || now - crash.firstSeen >= m_policy.takeoverDelay)
               && std::ranges::find(suspects, fingerprint, &CrashSuspect::fingerprint) != suspects.end();
    });
}

void Quarantine::removeExpired(Instant now)
{
    for (const auto &[key, crash] : m_evidence.crashes()) {
        const int lifetimes = crash.record.recorder == m_incarnation ? 1 : 2;
        const bool isExpired = now - crash.firstSeen > m_policy.evidenceLifetime * lifetimes;
        if (isExpired && crash.revision != 0 && !m_writer.isWriting(key))
            m_writer.write(key, {std::nullopt, crash.revision});
    }
}

void Quarantine::setLimits(Duration evidenceLifetime, std::uint32_t inconclusiveLimit)
{
    m_policy.evidenceLifetime = evidenceLifetime;
    m_policy.inconclusiveLimit = inconclusiveLimit;
    m_evidence.setLimits(evidenceLifetime, inconclusiveLimit);
}

std::vector<QuarantinedContent> Quarantine::list() const
{
    std::vector<QuarantinedContent> entries;
    for (const auto &[fingerprint, stored] : m_stored) {
        if (stored.record.state == QuarantineState::Quarantined)
            entries.push_back({fingerprint, stored.record.upstreams});
    }
    return entries;
}

bool Quarantine::clear(Fingerprint fingerprint, Instant now, std::vector<KeyCall> &calls)
{
    if (!isQuarantined(fingerprint))
        return false;
    const auto revision = m_stored.at(fingerprint).revision;
    m_writer.write(quarantineKey(fingerprint), {encodeQuarantine({QuarantineState::Cleared, {}}), revision});
    send(now, calls);
    return true;
}

} // namespace Gypsumtally
