#pragma once

#include "ownership/detail/guards.h"
#include "ownership/enginerecord.h"
#include "ownership/ownershipaction.h"
#include "ownership/ownershipsettings.h"

#include <optional>

namespace Gypsumtally
{

/// Acquires one upstream's ownership record and writes its changes, one compare-and-swap at a time. A write whose reply
/// was lost is assumed both applied and not applied until a read or a later write settles it. Not thread-safe.
class RecordKeeper
{
public:
    RecordKeeper(std::string key, Predecessor self, const OwnershipSettings &settings, Detail::Safeguards guards = {});

    /// Sets whether this node should acquire the record when another node holds it.
    void setWanted(bool wanted);

    /// Returns true if the last observed record names this process as the owner and no other owner superseded it.
    bool isOwner() const;

    /// Returns true if this process is the owner, no call is in flight or unsettled and no backoff is active.
    bool mayUpdate(Instant now) const;

    /// Returns true if a change can probably be written soon: this process is the owner, no backoff is active and no
    /// reply to a write was lost.
    bool mayChange(Instant now) const;

    /// Returns true if a write is in flight or unsettled.
    bool isWriting() const;

    /// Returns the last confirmed record; empty (epoch 0) until one was read or written.
    const EngineRecord &record() const;

    /// Returns true if @p adapter is given up in the confirmed record or in an unsettled write.
    bool mayBeGivenUp(const AdapterVersion &adapter) const;

    /// Returns true if @p adapter is given up in the confirmed record and in an unsettled write, if there is one.
    bool isConfirmedGivenUp(const AdapterVersion &adapter) const;

    /// Replaces the confirmed record by @p next. Precondition: mayUpdate().
    void update(EngineRecord next, OwnershipActions &actions);

    /// Processes a record observed by a watch or by another node's read. Ignores revisions up to the confirmed one.
    void onRecord(const KeyValue &stored, Instant now, OwnershipActions &actions);

    /// Ends ownership in favour of another owner at @p newEpoch.
    void supersede(Epoch newEpoch, Instant now, OwnershipActions &actions);

    /// Processes the reply to the call tagged @p tag; returns false if no such call is in flight.
    bool keyReply(std::uint64_t tag, const KeyReply &reply, Instant now, OwnershipActions &actions);

    /// Appends the calls that are due. Must be called after each event and periodically.
    void tick(Instant now, OwnershipActions &actions);

private:
    /// A write that was sent and is not known to have taken effect or failed.
    struct Proposal {
        EngineRecord record;
        Revision base = 0; ///< Revision of the record that the write replaces; 0 if there was none.
        bool isLost = false; ///< The reply to it was lost.
    };

    struct PendingCall {
        std::uint64_t tag = 0;
        bool isWrite = false;
    };

    void sendRead(OwnershipActions &actions);
    void sendProposal(OwnershipActions &actions);
    void sendAcquisition(OwnershipActions &actions);
    void readReplied(const KeyReply &reply, Instant now, OwnershipActions &actions);
    void writeReplied(const KeyReply &reply, Instant now, OwnershipActions &actions);
    void conflicted(const KeyReply &reply, Instant now, OwnershipActions &actions);
    void adoptPresent(const KeyReply &reply, Instant now, OwnershipActions &actions);
    void adopt(EngineRecord record, Revision revision, Instant now, OwnershipActions &actions);
    void adoptAbsence(Instant now, OwnershipActions &actions);
    void startBackoff(Instant now);
    void setOwner(bool isOwner, Instant now, OwnershipActions &actions);
    void reportUnreadable(const std::string &reason, Instant now, OwnershipActions &actions);

    std::string m_key;
    Predecessor m_self;
    OwnershipSettings m_settings;
    Detail::Safeguards m_guards;

    EngineRecord m_record;
    Revision m_revision = 0;
    bool m_isRecordFresh = false; ///< The confirmed record is recent enough for a compare-and-swap without a read.
    bool m_isOwner = false;
    bool m_isWanted = false;
    Epoch m_supersededBy = 0; ///< Highest epoch of another owner that requested release.
    std::optional<Proposal> m_proposal;
    std::optional<PendingCall> m_pending;
    std::uint64_t m_nextTag = 1;
    unsigned m_unanswered = 0; ///< Consecutive calls without an answer.
    Instant m_nextAttempt{}; ///< End of the backoff after unanswered calls.
    Instant m_nextAcquisition{}; ///< Earliest time to acquire the record from another owner.
};

} // namespace Gypsumtally
