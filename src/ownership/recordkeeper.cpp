#include "ownership/recordkeeper.h"

#include <boost/leaf.hpp>

#include <algorithm>

namespace Gypsumtally
{

namespace leaf = boost::leaf;

RecordKeeper::RecordKeeper(std::string key, Predecessor self, const OwnershipSettings &settings,
                           Detail::Safeguards guards)
    : m_key(std::move(key))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_guards(guards)
{
}

void RecordKeeper::setWanted(bool wanted)
{
    m_isWanted = wanted;
}

bool RecordKeeper::isOwner() const
{
    return m_isOwner;
}

bool RecordKeeper::mayUpdate(Instant now) const
{
    return m_isOwner && !m_pending && !m_proposal && now >= m_nextAttempt;
}

bool RecordKeeper::mayChange(Instant now) const
{
    return m_isOwner && now >= m_nextAttempt && !(m_proposal && m_proposal->isLost);
}

bool RecordKeeper::isWriting() const
{
    return m_proposal.has_value();
}

const EngineRecord &RecordKeeper::record() const
{
    return m_record;
}

bool RecordKeeper::mayBeGivenUp(const AdapterVersion &adapter) const
{
    return m_record.givenUp.contains(adapter) || (m_proposal && m_proposal->record.givenUp.contains(adapter));
}

bool RecordKeeper::isConfirmedGivenUp(const AdapterVersion &adapter) const
{
    return m_record.givenUp.contains(adapter) && (!m_proposal || m_proposal->record.givenUp.contains(adapter));
}

void RecordKeeper::update(EngineRecord next, OwnershipActions &actions)
{
    m_proposal = Proposal{std::move(next), m_revision, false};
    sendProposal(actions);
}

void RecordKeeper::onRecord(const KeyValue &stored, Instant now, OwnershipActions &actions)
{
    if (stored.modRevision <= m_revision)
        return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(record, parseEngineRecord(stored.value));
            adopt(std::move(record), stored.modRevision, now, actions);
            return {};
        },
        [&](const RecordError &error) { reportUnreadable(error.place + ": " + error.message, now, actions); },
        [&] { reportUnreadable(": unknown error", now, actions); });
}

void RecordKeeper::supersede(Epoch newEpoch, Instant now, OwnershipActions &actions)
{
    m_supersededBy = std::max(m_supersededBy, newEpoch);
    if (m_record.epoch >= newEpoch)
        return;
    m_isRecordFresh = false;
    setOwner(false, now, actions);
}

bool RecordKeeper::keyReply(std::uint64_t tag, const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    if (!m_pending || m_pending->tag != tag)
        return false;
    const bool isWrite = m_pending->isWrite;
    m_pending.reset();
    if (reply.outcome == KeyOutcome::Applied || reply.outcome == KeyOutcome::Conflict)
        m_unanswered = 0;
    if (isWrite)
        writeReplied(reply, now, actions);
    else
        readReplied(reply, now, actions);
    return true;
}

void RecordKeeper::tick(Instant now, OwnershipActions &actions)
{
    if (m_pending || now < m_nextAttempt)
        return;
    if (m_proposal)
        return sendRead(actions);
    if (m_isOwner || !m_isWanted || now < m_nextAcquisition)
        return;
    if (m_isRecordFresh)
        sendAcquisition(actions);
    else
        sendRead(actions);
}

void RecordKeeper::sendRead(OwnershipActions &actions)
{
    m_pending = PendingCall{m_nextTag++, false};
    actions.push_back(KeyCall{m_pending->tag, KeyRead{m_key}});
}

void RecordKeeper::sendProposal(OwnershipActions &actions)
{
    KeyTransaction transaction;
    if (m_guards.compareAndSwap)
        transaction.compares.push_back({m_key, m_proposal->base});
    transaction.puts.push_back({m_key, toJson(m_proposal->record), KeyLifetime::Durable});
    m_pending = PendingCall{m_nextTag++, true};
    actions.push_back(KeyCall{m_pending->tag, std::move(transaction)});
}

void RecordKeeper::sendAcquisition(OwnershipActions &actions)
{
    EngineRecord next = m_record;
    std::erase(next.predecessors, m_self);
    const Predecessor previousOwner{m_record.owner, m_record.incarnation};
    const bool isNew = previousOwner != m_self && !previousOwner.node.empty();
    if (isNew && m_guards.predecessorsListed && !std::ranges::count(next.predecessors, previousOwner))
        next.predecessors.push_back(previousOwner);
    next.owner = m_self.node;
    next.incarnation = m_self.incarnation;
    next.epoch = std::max(m_record.epoch, m_supersededBy) + 1;
    m_isRecordFresh = false;
    update(std::move(next), actions);
}

void RecordKeeper::readReplied(const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    if (reply.outcome != KeyOutcome::Applied)
        return startBackoff(now);
    adoptPresent(reply, now, actions);
    // The lost write may still arrive. Only a later write at the same revision makes its compare fail.
    if (m_proposal)
        sendProposal(actions);
}

void RecordKeeper::writeReplied(const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    switch (reply.outcome) {
    case KeyOutcome::Applied:
        if (m_proposal)
            adopt(EngineRecord(m_proposal->record), reply.revision, now, actions);
        return;
    case KeyOutcome::Conflict:
        conflicted(reply, now, actions);
        return;
    case KeyOutcome::Unavailable:
        startBackoff(now);
        if (m_proposal && !m_proposal->isLost)
            m_proposal.reset();
        return;
    case KeyOutcome::Unknown:
        if (!m_guards.lostWritesSettled)
            m_proposal.reset();
        else if (m_proposal)
            m_proposal->isLost = true;
        return;
    }
}

void RecordKeeper::conflicted(const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    const Epoch previousEpoch = m_record.epoch;
    m_proposal.reset();
    adoptPresent(reply, now, actions);
    // After a conflict with a write of the same owner, retry at once. If the owner has changed, wait for reacquireDelay
    // before trying to acquire the record.
    if (m_record.epoch == previousEpoch || m_isOwner)
        return;
    m_isRecordFresh = false;
    m_nextAcquisition = now + m_settings.reacquireDelay;
}

void RecordKeeper::adoptPresent(const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    const KeyValue *stored = findKey(reply.values, m_key);
    m_isRecordFresh = true;
    if (stored)
        onRecord(*stored, now, actions);
    else
        adoptAbsence(now, actions);
}

void RecordKeeper::adopt(EngineRecord record, Revision revision, Instant now, OwnershipActions &actions)
{
    if (revision <= m_revision)
        return;
    m_record = std::move(record);
    m_revision = revision;
    if (m_proposal && m_proposal->base < revision)
        m_proposal.reset();
    const bool isOwn = m_record.incarnation == m_self.incarnation && m_record.epoch > m_supersededBy;
    setOwner(isOwn, now, actions);
}

void RecordKeeper::adoptAbsence(Instant now, OwnershipActions &actions)
{
    if (m_proposal && m_proposal->base != 0)
        m_proposal.reset();
    m_revision = 0;
    setOwner(false, now, actions);
}

/// Starts an exponential backoff. Its jitter keeps retries of many processes from arriving together after an outage.
void RecordKeeper::startBackoff(Instant now)
{
    constexpr unsigned maxShift = 16;
    const auto shift = std::min(m_unanswered++, maxShift);
    const Duration delay = std::min(m_settings.retryDelay * (1 << shift), m_settings.maxRetryDelay);
    const std::size_t jitter = std::hash<std::string>{}(m_key + m_self.incarnation.value) % 512;
    m_nextAttempt = now + delay - delay * static_cast<Duration::rep>(jitter) / 1024;
}

void RecordKeeper::setOwner(bool isOwner, Instant now, OwnershipActions &actions)
{
    if (m_isOwner == isOwner)
        return;
    m_isOwner = isOwner;
    if (isOwner) {
        actions.push_back(OwnershipGained{m_record.epoch});
        return;
    }
    m_isRecordFresh = false;
    m_nextAcquisition = now + m_settings.reacquireDelay;
    actions.push_back(OwnershipLost{m_record.epoch});
}

void RecordKeeper::reportUnreadable(const std::string &reason, Instant now, OwnershipActions &actions)
{
    m_isRecordFresh = false;
    startBackoff(now);
    actions.push_back(RecordUnreadable{m_key + reason});
}

} // namespace Gypsumtally
