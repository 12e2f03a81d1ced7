#include "claims/claimkeeper.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

constexpr std::size_t maxEndedIncarnations = 4096;

} // namespace

ClaimKeeper::ClaimKeeper(Incarnation incarnation, const ClaimPolicy &policy)
    : m_incarnation(std::move(incarnation))
    , m_policy(policy)
{
}

void ClaimKeeper::begin(const CallAttributes &call, Instant now, ClaimActions &actions)
{
    if (call.idempotencyKey.empty()) {
        Failure failure{Verdict::NotRun, ErrorCode::MissingIdempotencyKey,
                        "a call that is not idempotent needs an Idempotency-Key", std::nullopt};
        refuse(call.id, ClaimOutcome::Invalid, std::move(failure), actions);
        return;
    }
    const auto name = claimName(call);
    const auto found = m_claims.find(name);
    if (found == m_claims.end())
        beginNew(name, call, now, actions);
    else
        beginRetry(name, found->second, call, now, actions);
    flush(now, actions);
}

void ClaimKeeper::beginNew(const std::string &name, const CallAttributes &call, Instant now, ClaimActions &actions)
{
    if (isStalled(now) || m_claims.size() >= m_policy.maxClaims) {
        refuseUnavailable(call.id, actions);
        return;
    }
    auto &claim = m_claims[name];
    claim.name = name;
    claim.record = {{m_incarnation, call.id}, call.fingerprint, ClaimState::Claimed, std::nullopt};
    awaitDecision(name, claim, call, now);
    enqueue(name, claim);
    if (!m_policy.safeguards.durableBeforeDispatch)
        grant(claim, actions);
}

void ClaimKeeper::beginRetry(const std::string &name, Claim &claim, const CallAttributes &call, Instant now,
                             ClaimActions &actions)
{
    const bool isFree = claim.stage == Stage::Releasing || claim.stage == Stage::Waiting;
    const bool isReused = m_policy.safeguards.compareFingerprint && claim.record.fingerprint != call.fingerprint;
    if (isReused || claim.caller || !isFree) {
        decideFromRecord(claim.record, call.id, call.fingerprint, actions);
        return;
    }
    // The claim is not yet released in the store and may have expired there, so the call waits for the store's reply.
    awaitDecision(name, claim, call, now);
}

void ClaimKeeper::awaitDecision(const std::string &name, Claim &claim, const CallAttributes &call, Instant now)
{
    claim.caller = call.id;
    claim.deadline = std::min(now + m_policy.claimTimeout, call.deadline.value_or(Instant::max()));
    m_deadlines.emplace(claim.deadline, name);
}

void ClaimKeeper::finish(CallId call, Verdict verdict, std::optional<StoredAnswer> answer, Instant now,
                         ClaimActions &actions)
{
    const auto granted = m_granted.find(call);
    if (granted == m_granted.end())
        return;
    const auto name = granted->second;
    m_granted.erase(granted);
    auto &claim = m_claims.at(name);
    claim.caller.reset();
    const bool isFree = verdict == Verdict::NotRun || (verdict != Verdict::Ran && !m_policy.safeguards.freeOnlyNotRun);
    claim.stage = isFree ? Stage::Releasing : Stage::Recording;
    if (verdict == Verdict::Ran) {
        claim.record.state = ClaimState::Ran;
        if (answer && answer->body.size() <= m_policy.maxAnswerBytes)
            claim.record.answer = std::move(answer);
    } else if (!isFree) {
        claim.record.state = ClaimState::Unknown;
    }
    enqueue(name, claim);
    flush(now, actions);
}

void ClaimKeeper::onReply(std::uint64_t tag, const KeyReply &reply, Instant now, ClaimActions &actions)
{
    if (tag == m_windowTag) {
        m_windowTag.reset();
        onWindowReply(reply, now, actions);
    } else if (const auto sent = m_sent.extract(tag)) {
        onGroupReply(sent.mapped().group, reply, now, actions);
    }
    flush(now, actions);
}

void ClaimKeeper::tick(Instant now, ClaimActions &actions)
{
    expireWaiting(now, actions);
    if (!m_windowTag && now >= m_nextWindowCall) {
        // Reads the window even if this node has no calls. Otherwise no node would remove expired claims after all
        // nodes restarted.
        if (!m_window.isKnown())
            callWindow(WindowStep::Read, now, actions);
        else if (m_window.isDue(now, m_policy.retention))
            callWindow(WindowStep::Advance, now, actions);
    }
    flush(now, actions);
}

void ClaimKeeper::setRetention(Duration retention)
{
    m_policy.retention = std::max(m_policy.retention, retention);
}

void ClaimKeeper::incarnationEnded(const Incarnation &incarnation)
{
    if (!m_ended.insert(incarnation).second)
        return;
    m_endedByAge.push_back(incarnation);
    if (m_endedByAge.size() <= maxEndedIncarnations)
        return;
    m_ended.erase(m_endedByAge.front());
    m_endedByAge.pop_front();
}

void ClaimKeeper::refuse(CallId call, ClaimOutcome outcome, Failure failure, ClaimActions &actions) const
{
    actions.emplace_back(ClaimDecision{call, outcome, std::nullopt, std::move(failure)});
}

void ClaimKeeper::refuseUnavailable(CallId call, ClaimActions &actions) const
{
    Failure failure{Verdict::NotRun, ErrorCode::PlatformUnavailable,
                    "the key-value service could not record the call in time; this attempt was not dispatched",
                    m_policy.unavailableRetryAfter};
    refuse(call, ClaimOutcome::Unavailable, std::move(failure), actions);
}

void ClaimKeeper::decideFromRecord(const ClaimRecord &record, CallId call, std::uint64_t fingerprint,
                                   ClaimActions &actions) const
{
    if (m_policy.safeguards.compareFingerprint && record.fingerprint != fingerprint) {
        Failure failure{Verdict::NotRun, ErrorCode::KeyReused,
                        "the Idempotency-Key was used before for a request with another content", std::nullopt};
        refuse(call, ClaimOutcome::KeyReused, std::move(failure), actions);
        return;
    }
    if (record.state == ClaimState::Ran && record.answer) {
        actions.emplace_back(ClaimDecision{call, ClaimOutcome::Finished, record.answer, std::nullopt});
        return;
    }
    if (record.state == ClaimState::Ran) {
        Failure failure{Verdict::Ran, ErrorCode::Duplicate, "the call ran before; its answer was not kept",
                        std::nullopt};
        refuse(call, ClaimOutcome::Finished, std::move(failure), actions);
        return;
    }
    const bool isLost = record.state == ClaimState::Unknown || m_ended.contains(record.token.incarnation);
    Failure failure{Verdict::MayHaveRun, ErrorCode::Duplicate,
                    "a former attempt may have run; the call will not be run again under this key", std::nullopt};
    if (!isLost) {
        failure.message = "a former attempt with this key is in progress or its node was lost";
        failure.retryAfter = m_policy.inProgressRetryAfter;
    }
    refuse(call, isLost ? ClaimOutcome::OutcomeUnknown : ClaimOutcome::InProgress, std::move(failure), actions);
}

void ClaimKeeper::grant(Claim &claim, ClaimActions &actions)
{
    claim.stage = Stage::Held;
    m_granted[*claim.caller] = claim.name;
    actions.emplace_back(ClaimDecision{*claim.caller, ClaimOutcome::Granted, std::nullopt, std::nullopt});
}

bool ClaimKeeper::isStalled(Instant now) const
{
    const auto isLate = [&](const auto &sent) { return now - sent.second.sentAt >= m_policy.claimTimeout; };
    const bool isWindowLate = m_windowTag && !m_window.isKnown() && now - m_windowSentAt >= m_policy.claimTimeout;
    return now < m_refuseUntil || isWindowLate || std::ranges::any_of(m_sent, isLate);
}

void ClaimKeeper::expireWaiting(Instant now, ClaimActions &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto [deadline, name] = *m_deadlines.begin();
        m_deadlines.erase(m_deadlines.begin());
        const auto found = m_claims.find(name);
        if (found == m_claims.end() || !found->second.caller || found->second.deadline != deadline)
            continue;
        auto &claim = found->second;
        if (claim.stage != Stage::Waiting && claim.stage != Stage::Releasing)
            continue;
        refuseUnavailable(*claim.caller, actions);
        claim.caller.reset();
        if (claim.stage == Stage::Waiting && !claim.isSending && !claim.isUncertain)
            m_claims.erase(found);
    }
}

void ClaimKeeper::forget(const std::string &name)
{
    m_claims.erase(name);
}

} // namespace Gypsumtally
