#include "gateway/crashledger.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <tuple>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Number of crashes that suffice for a verdict if they did not all happen together. One crash may be a coincidence,
/// and so may two when many upstreams crash at once.
constexpr std::size_t provingCrashes = 3;
/// Number of crashes that suffice if they all happened together, or if the cause has been served before.
constexpr std::size_t provingDoubtfulCrashes = 5;
/// Crashes that are reported within this time of each other may have a common cause outside the requests.
constexpr Duration simultaneousTime = std::chrono::milliseconds{700};
/// Number of different requests that must share a prompt part before it is blocked rather than the request.
constexpr std::size_t provingRequests = 2;
/// Time from a success within which a crash does not count: an upstream that fails otherwise takes requests with it
/// whose causes have just been served elsewhere.
constexpr Duration successTime = std::chrono::seconds{2};
/// Time from proof to proposal, for reports and acquittals that are on their way.
constexpr Duration settlingTime = std::chrono::milliseconds{400};
constexpr Duration objectionTime = std::chrono::milliseconds{350}; ///< Time from proposal to verdict.
/// Time for which requests wait for a verdict: two more ticks, and a verdict on another cause.
constexpr Duration maxVerdictWait = settlingTime + 2 * objectionTime;
/// Longest delay of an acquittal that several nodes could send; the others stay silent once one has.
constexpr Duration contestJitter = std::chrono::milliseconds{120};
/// Time from the end of a verdict in which other nodes may still repeat it.
constexpr Duration liftingTime = std::chrono::seconds{2};
constexpr std::size_t contestedCrashes = 2; ///< Number of crashes from which nodes tell each other of successes.

/// Time for which a crash counts; evidence without a proof may be evicted after a twentieth of that.
constexpr Duration retention = std::chrono::minutes{10};
constexpr Duration pruningInterval = std::chrono::seconds{5};
constexpr std::size_t maxCauses = 20000; ///< Number of causes at which old ones are evicted; about 4 MB.
constexpr std::size_t maxSuccesses = 8192; ///< Number of causes in each of the two generations of last successes.
constexpr std::size_t maxExplained = 1024; ///< Number of explained crashes at which old ones are evicted.
constexpr std::size_t maxVerdicts = 1024; ///< Further causes are not blocked.
constexpr std::size_t maxCrashesOfCause = 16; ///< Further crashes are not kept.

} // namespace

std::string toText(const CrashCause &cause)
{
    char hex[17];
    std::snprintf(hex, sizeof hex, "%llx", static_cast<unsigned long long>(cause.id));
    return std::string(nameOf(cause.kind)) + '/' + hex;
}

std::optional<CrashCause> parseCrashCause(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto kind = valueOf<CauseKind>(text.substr(0, slash));
    const auto hex = text.substr(slash + 1);
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), id, 16);
    if (!kind || error != std::errc{} || end != hex.data() + hex.size())
        return std::nullopt;
    return CrashCause{*kind, id};
}

std::size_t CrashLedger::Hash::operator()(const CrashCause &cause) const
{
    return XXH3_64bits_withSeed(&cause.id, sizeof cause.id, static_cast<XXH64_hash_t>(cause.kind));
}

CrashLedger::CrashLedger(std::string node)
    : m_node(std::move(node))
{
}

void CrashLedger::add(const CrashReport &report, Instant now)
{
    insert(report, now);
}

void CrashLedger::addOwn(const CrashReport &report, Instant now)
{
    if (insert(report, now))
        m_own.push_back({report, now});
}

/// Records a report. Returns true if anything in it is new.
bool CrashLedger::insert(const CrashReport &report, Instant now)
{
    if (m_evidence.size() >= maxCauses)
        evictOld(now);
    explainByBlockedPart(report, now);
    bool isNew = false;
    for (const auto &suspect : report.suspects) {
        isNew |= addSuspect(report.process, {CauseKind::Request, suspect.fingerprint}, suspect, 0, now);
        for (std::size_t i = 0; i < suspect.parts.size(); ++i)
            isNew |= addSuspect(report.process, {CauseKind::PromptPart, suspect.parts[i]}, suspect, i, now);
    }
    return isNew;
}

/// Explains the crash of @p report if one of its suspects has a blocked prompt part.
void CrashLedger::explainByBlockedPart(const CrashReport &report, Instant now)
{
    if (m_verdicts.empty())
        return;
    for (const auto &suspect : report.suspects) {
        for (const auto id : suspect.parts) {
            const CrashCause part{CauseKind::PromptPart, id};
            if (m_verdicts.contains(part))
                return explain(report.process, part, now);
        }
    }
}

/// Lets the crash of @p process not count against causes other than the blocked @p cause.
void CrashLedger::explain(const UpstreamProcess &process, const CrashCause &cause, Instant now)
{
    if (m_explained.size() >= maxExplained)
        std::erase_if(m_explained, [now](const auto &item) { return now - item.second.at > retention; });
    if (m_explained.try_emplace(process, Explanation{cause, now}).second)
        updateProofsOf(process, now);
}

void CrashLedger::updateProofsOf(const UpstreamProcess &process, Instant now)
{
    for (auto &[cause, evidence] : m_evidence) {
        if (evidence.crashes.contains(process))
            updateProof(cause, evidence, now);
    }
}

bool CrashLedger::addSuspect(const UpstreamProcess &process, const CrashCause &cause, const CrashSuspect &suspect,
                             std::size_t position, Instant now)
{
    if (m_verdicts.contains(cause))
        return false;
    auto [item, isNewCause] = m_evidence.try_emplace(cause);
    auto &evidence = item->second;
    if (isNewCause) {
        evidence.lastSuccess = recentSuccess(cause);
    }
    evidence.position = std::max(evidence.position, position);
    evidence.lastReport = now;
    if (evidence.crashes.size() >= maxCrashesOfCause && !evidence.crashes.contains(process))
        return false;
    auto &crash = evidence.crashes.try_emplace(process, Crash{now, {}}).first->second;
    const bool isNew = crash.requests.insert(suspect.fingerprint).second;
    if (isNew && evidence.crashes.size() >= contestedCrashes)
        m_contested.try_emplace(cause, Contest{now, false});
    updateProof(cause, evidence, now);
    return isNew;
}

/// Returns the time of this node's last success with @p cause that it remembers.
Instant CrashLedger::recentSuccess(const CrashCause &cause) const
{
    for (const auto *successes : {&m_successes, &m_olderSuccesses}) {
        if (const auto it = successes->find(cause); it != successes->end())
            return it->second;
    }
    return {};
}

/// Returns the weight of the crashes in @p evidence that count against @p cause: no success acquits it of them, and no
/// other blocked part explains them.
CrashLedger::Weight CrashLedger::weightOf(const CrashCause &cause, const Evidence &evidence) const
{
    Weight weight;
    std::set<Fingerprint> requests;
    std::vector<Instant> times;
    for (const auto &[process, crash] : evidence.crashes) {
        const bool isAcquitted = evidence.lastSuccess != Instant{} && crash.at <= evidence.lastSuccess + successTime;
        const auto explanation = m_explained.find(process);
        if (isAcquitted || (explanation != m_explained.end() && explanation->second.cause != cause))
            continue;
        requests.insert(crash.requests.begin(), crash.requests.end());
        times.push_back(crash.at);
    }
    std::ranges::sort(times);
    Instant momentSince{};
    for (const auto at : times) {
        if (weight.moments == 0 || at - momentSince > simultaneousTime) {
            ++weight.moments;
            momentSince = at;
        }
    }
    weight.crashes = times.size();
    weight.requests = requests.size();
    return weight;
}

bool CrashLedger::suffices(const CrashCause &cause, const Evidence &evidence) const
{
    const auto weight = weightOf(cause, evidence);
    if (cause.kind == CauseKind::PromptPart && weight.requests < provingRequests)
        return false;
    const bool isDoubtful = weight.moments <= 1 || evidence.lastSuccess != Instant{};
    return weight.crashes >= (isDoubtful ? provingDoubtfulCrashes : provingCrashes);
}

void CrashLedger::updateProof(const CrashCause &cause, Evidence &evidence, Instant now)
{
    if (!suffices(cause, evidence)) {
        evidence.proposedAt.reset();
        if (std::exchange(evidence.provenSince, std::nullopt))
            m_proven.erase(cause);
    } else if (!evidence.provenSince) {
        evidence.provenSince = now;
        m_proven.insert(cause);
    }
}

void CrashLedger::noteSuccess(const CrashCause &cause, Instant now)
{
    if (cause.kind != CauseKind::PromptPart)
        return; // A request succeeds once; its evidence, if any, is updated by the caller.
    m_successes[cause] = now;
    if (m_successes.size() >= maxSuccesses)
        m_olderSuccesses = std::exchange(m_successes, {});
}

SuccessEffects CrashLedger::onSuccess(const std::vector<CrashCause> &causes, Instant sentAt, Instant now)
{
    SuccessEffects effects;
    for (const auto &cause : causes) {
        noteSuccess(cause, now);
        if (const auto block = m_blocks.find(cause); block != m_blocks.end()) {
            if (sentAt > block->second.firstCrash && lift(cause, now))
                effects.lifted.push_back(cause);
            continue;
        }
        const auto it = m_evidence.find(cause);
        if (it == m_evidence.end())
            continue;
        auto &evidence = it->second;
        const bool isSuspected = weightOf(cause, evidence).crashes > 0;
        evidence.lastSuccess = now;
        updateProof(cause, evidence, now);
        if (!isSuspected)
            continue;
        evidence.sharedSuccess = now;
        effects.acquittals.push_back({cause, {}});
    }
    return effects;
}

bool CrashLedger::onAcquittal(const CauseAcquittal &acquittal, Instant now)
{
    const auto block = m_blocks.find(acquittal.cause);
    const auto it = m_evidence.find(acquittal.cause);
    if (block == m_blocks.end() && it == m_evidence.end())
        return false;
    auto &evidence = block != m_blocks.end() ? block->second.evidence : it->second;
    evidence.lastSuccess = std::max(evidence.lastSuccess, now - acquittal.age);
    evidence.sharedSuccess = std::max(evidence.sharedSuccess, now - acquittal.age);
    if (block != m_blocks.end())
        return m_verdicts.at(acquittal.cause).node == m_node && !suffices(acquittal.cause, evidence)
               && lift(acquittal.cause, now);
    updateProof(acquittal.cause, evidence, now);
    return false;
}

std::vector<CauseAcquittal> CrashLedger::takeContested(Instant now)
{
    std::vector<CauseAcquittal> acquittals;
    std::erase_if(m_contested, [&](const auto &item) {
        const auto &[cause, contest] = item;
        const auto hash = XXH3_64bits_withSeed(m_node.data(), m_node.size(), cause.id);
        const Duration jitter{static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(contestJitter.count()))};
        if (now - contest.since < jitter)
            return false;
        const auto it = m_evidence.find(cause);
        if (it != m_evidence.end() && isWorthTelling(it->second, contest)) {
            it->second.sharedSuccess = it->second.lastSuccess;
            acquittals.push_back({cause, now - it->second.lastSuccess});
        }
        return true;
    });
    return acquittals;
}

/// Returns true if nodes that do not know the last success of @p evidence could count more crashes than this one.
bool CrashLedger::isWorthTelling(const Evidence &evidence, const Contest &contest) const
{
    if (evidence.lastSuccess <= evidence.sharedSuccess)
        return false;
    const bool isFirst = evidence.sharedSuccess == Instant{};
    return contest.isObjection || isFirst || std::ranges::any_of(evidence.crashes, [&](const auto &item) {
               return item.second.at > evidence.sharedSuccess + successTime
                      && item.second.at <= evidence.lastSuccess + successTime;
           });
}

CrashDecisions CrashLedger::decide(Instant now, std::int64_t wallMs)
{
    prune(now);
    CrashDecisions decisions;
    while (m_verdicts.size() < maxVerdicts) {
        const auto cause = heaviestProven(now);
        if (!cause)
            break;
        auto &evidence = m_evidence.at(*cause);
        if (!evidence.proposedAt) {
            evidence.proposedAt = now;
            decisions.proposals.push_back(*cause);
        }
        if (now - *evidence.proposedAt < objectionTime)
            break;
        decisions.verdicts.push_back(verdictFor(*cause, evidence, wallMs));
        addVerdict(decisions.verdicts.back(), now);
    }
    return decisions;
}

void CrashLedger::onProposal(const CrashCause &cause, Instant now)
{
    static_cast<void>(objectsTo(cause, now));
}

/// Returns true if a success acquits the cause of some of the crashes in @p evidence.
bool CrashLedger::hasAcquittedCrash(const Evidence &evidence)
{
    return evidence.lastSuccess != Instant{} && std::ranges::any_of(evidence.crashes, [&](const auto &item) {
               return item.second.at <= evidence.lastSuccess + successTime;
           });
}

/// Returns true if this node knows of a success for which it would not block @p cause, and prepares to tell the others.
bool CrashLedger::objectsTo(const CrashCause &cause, Instant now)
{
    const auto it = m_evidence.find(cause);
    if (it == m_evidence.end() || suffices(cause, it->second) || !hasAcquittedCrash(it->second))
        return false;
    it->second.sharedSuccess = {};
    m_contested[cause] = {now, true};
    return true;
}

bool CrashLedger::onPeerVerdict(const CrashVerdict &verdict, Instant now)
{
    const auto lifted = m_lifted.find(verdict.cause);
    const bool isOutdated = lifted != m_lifted.end() && now - lifted->second < liftingTime;
    return !isOutdated && !objectsTo(verdict.cause, now) && addVerdict(verdict, now);
}

/// Returns the cause that explains most crashes among those whose proof has settled. Of causes that are always
/// together, it is the last part of the prompt, which fewest other requests share.
std::optional<CrashCause> CrashLedger::heaviestProven(Instant now) const
{
    std::optional<CrashCause> best;
    std::tuple<std::size_t, std::size_t, std::size_t> bestRank;
    for (const auto &cause : m_proven) {
        const auto &evidence = m_evidence.at(cause);
        if (now - *evidence.provenSince < settlingTime)
            continue;
        const auto weight = weightOf(cause, evidence);
        const std::tuple rank{weight.crashes, weight.requests, evidence.position};
        if (!best || rank > bestRank) {
            best = cause;
            bestRank = rank;
        }
    }
    return best;
}

CrashVerdict CrashLedger::verdictFor(const CrashCause &cause, const Evidence &evidence, std::int64_t wallMs) const
{
    const auto weight = weightOf(cause, evidence);
    return {cause, static_cast<std::uint32_t>(weight.crashes), static_cast<std::uint32_t>(weight.requests), wallMs,
            m_node};
}

bool CrashLedger::addVerdict(const CrashVerdict &verdict, Instant now)
{
    if (!m_verdicts.emplace(verdict.cause, verdict).second)
        return false;
    auto &block = m_blocks[verdict.cause];
    block = {now, {}};
    auto evidence = m_evidence.extract(verdict.cause);
    m_proven.erase(verdict.cause);
    if (evidence.empty())
        return true;
    block.evidence = std::move(evidence.mapped());
    for (const auto &[process, crash] : block.evidence.crashes) {
        block.firstCrash = std::min(block.firstCrash, crash.at);
        if (verdict.cause.kind == CauseKind::PromptPart)
            explain(process, verdict.cause, now);
    }
    return true;
}

bool CrashLedger::lift(const CrashCause &cause, Instant now)
{
    if (m_verdicts.erase(cause) == 0)
        return false;
    m_blocks.erase(cause);
    std::erase_if(m_lifted, [now](const auto &item) { return now - item.second > liftingTime; });
    m_lifted[cause] = now;
    std::vector<UpstreamProcess> processes;
    std::erase_if(m_explained, [&](const auto &item) {
        if (item.second.cause != cause)
            return false;
        processes.push_back(item.first);
        return true;
    });
    for (const auto &process : processes)
        updateProofsOf(process, now);
    return true;
}

const CrashVerdict *CrashLedger::verdictOn(const std::vector<CrashCause> &causes) const
{
    if (m_verdicts.empty())
        return nullptr;
    for (const auto &cause : causes) {
        if (const auto it = m_verdicts.find(cause); it != m_verdicts.end())
            return &it->second;
    }
    return nullptr;
}

bool CrashLedger::isUndecided(const std::vector<CrashCause> &causes, Instant now) const
{
    return std::ranges::any_of(causes, [&](const CrashCause &cause) {
        const auto it = m_evidence.find(cause);
        return it != m_evidence.end() && it->second.provenSince && now - *it->second.provenSince < maxVerdictWait;
    });
}

std::size_t CrashLedger::crashCount(const CrashCause &cause) const
{
    const auto it = m_evidence.find(cause);
    return it == m_evidence.end() ? 0 : weightOf(cause, it->second).crashes;
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

/// Removes crashes that are too old to have a cause in common with new ones.
void CrashLedger::prune(Instant now)
{
    if (now - m_prunedAt < pruningInterval)
        return;
    m_prunedAt = now;
    for (auto &[cause, evidence] : m_evidence) {
        if (std::erase_if(evidence.crashes, [&](const auto &item) { return now - item.second.at > retention; }) > 0)
            updateProof(cause, evidence, now);
    }
    std::erase_if(m_evidence, [](const auto &item) { return item.second.crashes.empty(); });
}

void CrashLedger::evictOld(Instant now)
{
    std::erase_if(m_evidence, [&](const auto &item) {
        return !item.second.provenSince && now - item.second.lastReport > retention / 20;
    });
}

} // namespace Gypsumtally::Gateway
