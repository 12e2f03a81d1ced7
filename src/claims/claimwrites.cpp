// The part of ClaimKeeper that sends groups of writes and processes their replies.
#include "claims/claimkeeper.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

std::size_t sizeOf(const ClaimWrite &write)
{
    return write.record.answer ? write.record.answer->body.size() : 0;
}

} // namespace

void ClaimKeeper::enqueue(const std::string &name, Claim &claim)
{
    if (claim.isQueued || claim.isSending)
        return;
    claim.isQueued = true;
    m_queue.push_back(name);
}

void ClaimKeeper::flush(Instant now, ClaimActions &actions)
{
    if (m_queue.empty())
        return;
    if (!m_window.isKnown()) {
        if (!m_windowTag && now >= m_nextWindowCall)
            callWindow(WindowStep::Read, now, actions);
        return;
    }
    if (now < m_nextSend || m_sent.size() >= m_policy.maxGroupsInFlight)
        return;
    ClaimGroup group{m_window, nextWrites(), m_policy.safeguards};
    if (group.writes().empty())
        return;
    actions.emplace_back(KeyCall{++m_lastTag, group.transaction()});
    m_sent.emplace(m_lastTag, SentGroup{std::move(group), now});
    m_nextSend = now + m_policy.sendInterval;
}

std::vector<ClaimWrite> ClaimKeeper::nextWrites()
{
    std::vector<ClaimWrite> writes;
    std::size_t bytes = 0;
    while (!m_queue.empty() && writes.size() < m_policy.maxGroupWrites) {
        const auto found = m_claims.find(m_queue.front());
        if (found == m_claims.end() || !found->second.isQueued || found->second.stage == Stage::Held) {
            if (found != m_claims.end())
                found->second.isQueued = false;
            m_queue.pop_front();
            continue;
        }
        auto write = writeOf(found->first, found->second);
        bytes += sizeOf(write);
        if (!writes.empty() && bytes > m_policy.maxGroupBytes)
            break;
        found->second.isQueued = false;
        found->second.isSending = true;
        writes.push_back(std::move(write));
        m_queue.pop_front();
    }
    return writes;
}

ClaimWrite ClaimKeeper::writeOf(const std::string &name, const Claim &claim) const
{
    ClaimWrite write{ClaimWriteKind::Create, name, claim.key, claim.revision, claim.record};
    if (claim.stage == Stage::Recording)
        write.kind = ClaimWriteKind::Record;
    else if (claim.stage == Stage::Releasing)
        write.kind = ClaimWriteKind::Release;
    return write;
}

void ClaimKeeper::onGroupReply(const ClaimGroup &group, const KeyReply &reply, Instant now, ClaimActions &actions)
{
    const bool isSettled = reply.outcome == KeyOutcome::Applied || reply.outcome == KeyOutcome::Conflict;
    if (const auto *window = findKey(reply.values, ClaimWindow::key()))
        m_window.adopt(*window, now);
    if (!isSettled)
        m_nextSend = now + m_policy.retryInterval;
    if (reply.outcome == KeyOutcome::Unavailable)
        m_refuseUntil = now + m_policy.retryInterval;
    const auto &writes = group.writes();
    for (std::size_t i = 0; i < writes.size(); ++i) {
        m_claims.at(writes[i].name).isSending = false;
        if (isSettled)
            onSettled(writes[i], group.result(i, reply), actions);
        else
            onFailed(writes[i], reply.outcome, actions);
    }
}

void ClaimKeeper::onSettled(const ClaimWrite &write, const ClaimWriteResult &result, ClaimActions &actions)
{
    auto &claim = m_claims.at(write.name);
    if (result.status == ClaimWriteResult::Status::Retry) {
        enqueue(write.name, claim);
        return;
    }
    claim.isUncertain = false;
    if (write.kind != ClaimWriteKind::Create)
        onHeldWritten(write.name, claim);
    else if (result.status == ClaimWriteResult::Status::Done)
        onCreated(write.name, claim, result, actions);
    else
        onCreateLost(write.name, claim, result, actions);
}

void ClaimKeeper::onCreated(const std::string &name, Claim &claim, const ClaimWriteResult &result,
                            ClaimActions &actions)
{
    claim.key = result.key;
    claim.revision = result.revision;
    if (claim.stage != Stage::Waiting) {
        enqueue(name, claim);
        return;
    }
    if (claim.caller) {
        grant(claim, actions);
        return;
    }
    claim.stage = Stage::Releasing;
    enqueue(name, claim);
}

void ClaimKeeper::onCreateLost(const std::string &name, Claim &claim, const ClaimWriteResult &result,
                               ClaimActions &actions)
{
    const auto present = decodeClaim(result.present);
    const bool takesOver = !m_policy.safeguards.neverTakeOver && present && present->state == ClaimState::Claimed
                           && m_ended.contains(present->token.incarnation);
    if (takesOver) {
        claim.revision = result.revision;
        enqueue(name, claim);
        return;
    }
    if (claim.caller && claim.stage == Stage::Waiting) {
        auto record = present.value_or(claim.record);
        if (!present)
            record.state = ClaimState::Unknown;
        decideFromRecord(record, *claim.caller, claim.record.fingerprint, actions);
    }
    if (claim.stage != Stage::Held)
        forget(name);
}

void ClaimKeeper::onHeldWritten(const std::string &name, Claim &claim)
{
    if (claim.stage == Stage::Recording || !claim.caller) {
        forget(name);
        return;
    }
    // Another call requested the claim while it was being released. That call now creates a claim of its own.
    claim.stage = Stage::Waiting;
    claim.record.token.call = *claim.caller;
    claim.key.clear();
    claim.revision = 0;
    enqueue(name, claim);
}

void ClaimKeeper::onFailed(const ClaimWrite &write, KeyOutcome outcome, ClaimActions &actions)
{
    auto &claim = m_claims.at(write.name);
    if (outcome == KeyOutcome::Unknown) {
        claim.isUncertain = true;
        enqueue(write.name, claim);
        if (!m_policy.safeguards.settleLostReplies && claim.stage == Stage::Waiting && claim.caller)
            grant(claim, actions);
        return;
    }
    onNeverSent(write.name, claim, actions);
}

void ClaimKeeper::onNeverSent(const std::string &name, Claim &claim, ClaimActions &actions)
{
    const bool isWaiting = claim.stage == Stage::Waiting;
    if (claim.caller && (isWaiting || claim.stage == Stage::Releasing)) {
        refuseUnavailable(*claim.caller, actions);
        claim.caller.reset();
    }
    if (isWaiting && !claim.isUncertain) {
        forget(name);
        return;
    }
    enqueue(name, claim);
}

void ClaimKeeper::callWindow(WindowStep step, Instant now, ClaimActions &actions)
{
    m_windowStep = step;
    m_windowTag = ++m_lastTag;
    m_windowSentAt = now;
    if (step == WindowStep::Read)
        actions.emplace_back(KeyCall{*m_windowTag, KeyRead{ClaimWindow::key(), false}});
    else
        actions.emplace_back(
            KeyCall{*m_windowTag, step == WindowStep::Create ? ClaimWindow::create() : m_window.advance()});
}

void ClaimKeeper::onWindowReply(const KeyReply &reply, Instant now, ClaimActions &actions)
{
    if (const auto *value = findKey(reply.values, ClaimWindow::key())) {
        m_window.adopt(*value, now);
        return;
    }
    if (reply.outcome == KeyOutcome::Unavailable) {
        m_nextWindowCall = now + m_policy.retryInterval;
        if (!m_window.isKnown())
            refuseWaiting(now, actions);
        return;
    }
    const bool isAbsent = m_windowStep == WindowStep::Read && reply.outcome == KeyOutcome::Applied;
    callWindow(isAbsent ? WindowStep::Create : WindowStep::Read, now, actions);
}

void ClaimKeeper::refuseWaiting(Instant now, ClaimActions &actions)
{
    m_refuseUntil = now + m_policy.retryInterval;
    for (auto &[name, claim] : m_claims) {
        if (claim.stage == Stage::Waiting && claim.caller)
            refuseUnavailable(*claim.caller, actions);
    }
    std::erase_if(m_claims, [](const auto &entry) { return entry.second.stage == Stage::Waiting; });
}

} // namespace Gypsumtally
