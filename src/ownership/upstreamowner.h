#pragma once

#include "ownership/detail/guards.h"
#include "ownership/enginerecord.h"
#include "ownership/enginereport.h"
#include "ownership/ownershipaction.h"
#include "ownership/ownershipsettings.h"
#include "ownership/predecessortable.h"
#include "ownership/recordkeeper.h"
#include "ownership/slottable.h"

#include <optional>
#include <set>
#include <vector>

namespace Gypsumtally
{

/// The kind of an upstream.
enum class UpstreamKind {
    Engine,
    Service, ///< A plain service, without adapters and reports.
};

template<>
inline constexpr EnumTable<UpstreamKind, 2> enumNames<UpstreamKind>{{
    {UpstreamKind::Engine, "engine"},
    {UpstreamKind::Service, "service"},
}};

/// One node's side of the ownership of one upstream: acquires the record, decides what is safe to dispatch, load and
/// evict, and hands over. Doesn't decide which adapters should be loaded.
///
/// The object must be kept, whether owner or not, until isIdle(). Events append the actions to take to `actions`; the
/// tags of key-value calls are unique within one object. Not thread-safe.
class UpstreamOwner
{
public:
    /// Precondition: the incarnation of @p self was never used before and will never be reused.
    UpstreamOwner(const UpstreamId &upstream, UpstreamKind kind, const Predecessor &self,
                  const OwnershipSettings &settings, Detail::Safeguards guards = {});

    // Membership

    /// Starts to acquire ownership, also from another node that holds it.
    void acquire(Instant now, OwnershipActions &actions);

    /// Stops acquiring ownership, as another node should own the upstream. An owner keeps serving until the other node
    /// has acquired the record.
    void handOver();

    /// Starts the actions that are due. Must be called at least every few hundred milliseconds.
    void tick(Instant now, OwnershipActions &actions);

    // Key-value service

    /// Processes the reply to a KeyCall of this object. Ignores replies to other calls.
    void keyReply(std::uint64_t tag, const KeyReply &reply, Instant now, OwnershipActions &actions);

    /// Processes the stored record as observed by a watch. Optional: only reduces latency.
    void onRecord(const KeyValue &stored, Instant now, OwnershipActions &actions);

    // Other owners

    /// Processes a release call from the owner at @p newEpoch: from now on this process acts at no epoch up to
    /// @p newEpoch. Returns true if none of its requests and orders may still take effect; if not, the owner calls
    /// again.
    bool releaseAsked(Epoch newEpoch, Instant now, OwnershipActions &actions);

    /// Processes the answer to AskRelease.
    void releaseAnswered(const Incarnation &incarnation, Epoch newEpoch, bool isFinished, Instant now,
                         OwnershipActions &actions);

    /// Completes AskRelease if the process @p incarnation has ended: its node runs another process, or its VM is no
    /// longer on the VM list. Must not be called for a node that merely doesn't answer.
    void predecessorEnded(const Incarnation &incarnation, Instant now, OwnershipActions &actions);

    // Upstream

    /// Processes an engine's report.
    void engineReported(EngineReport report, Instant now, OwnershipActions &actions);

    /// Records the outcome of an order sent for SendOrder. Precondition for Unknown: its connection is closed.
    void orderEnded(OrderId id, SendOutcome outcome, Instant now, OwnershipActions &actions);

    /// Records a request that is about to be sent and returns its number, or nothing if it must not be sent, see
    /// mayDispatch(). A request to a plain service has no @p adapter. The engine gets engineRequestId() of the number.
    std::optional<RequestNumber> beginRequest(const std::optional<AdapterVersion> &adapter);

    /// Records the outcome of a request. Precondition for Unknown: its connection is closed.
    void endRequest(RequestNumber number, SendOutcome outcome, Instant now, OwnershipActions &actions);

    // Slots, for the scheduler

    /// Gives @p adapter up: it gets no more requests, and may be evicted once the record says so. Returns false and
    /// does nothing unless mayGiveUp().
    bool giveUp(const AdapterVersion &adapter, Instant now, OwnershipActions &actions);

    /// Gives up several adapters with one write, except those that mayGiveUp() refuses. Returns the number given up.
    std::size_t giveUp(const std::vector<AdapterVersion> &adapters, Instant now, OwnershipActions &actions);

    /// Takes back an adapter that was given up, so that it may be loaded and get requests again. Returns false and does
    /// nothing unless mayTakeBack(). Evicted adapters are taken back automatically by the next write.
    bool takeBack(const AdapterVersion &adapter, Instant now, OwnershipActions &actions);

    /// Orders a load into a free slot. Returns nothing unless mayLoad().
    std::optional<OrderId> load(const AdapterVersion &adapter, OwnershipActions &actions);

    /// Orders an eviction. Returns nothing unless mayEvict().
    std::optional<OrderId> evict(const AdapterVersion &adapter, OwnershipActions &actions);

    /// Returns true if this process is the owner according to its last observation of the record. Actions based on this
    /// are safe even if another process has become the owner since.
    bool isOwner() const;

    /// Returns the epoch of the last confirmed record; 0 if there is none.
    Epoch epoch() const;

    /// Returns the last confirmed record; its epoch is 0 if there is none.
    const EngineRecord &record() const;

    /// Returns true if @p adapter is loaded according to the last report and the orders done since.
    bool isLoaded(const AdapterVersion &adapter) const;

    /// Returns true if an order of this process on @p adapter has no outcome yet.
    bool isOrderOpen(const AdapterVersion &adapter) const;

    /// Returns the loaded adapters, sorted.
    std::vector<AdapterVersion> loaded() const;

    /// Returns true if @p adapter is given up or may be, by an unsettled or pending change.
    bool isGivenUp(const AdapterVersion &adapter) const;

    /// Returns true if requests for @p adapter may be sent: owner, loaded and not given up.
    bool mayDispatch(const AdapterVersion &adapter) const;

    /// Returns true if @p adapter may be loaded now: owner, a free slot, neither given up, loaded nor being loaded.
    bool mayLoad(const AdapterVersion &adapter) const;

    /// Returns true if @p adapter may be evicted now: owner, loaded, confirmed as given up and no order on it open.
    bool mayEvict(const AdapterVersion &adapter) const;

    /// Returns true if giveUp() would be accepted: owner, no unfinished predecessors, no request of its own on it.
    bool mayGiveUp(const AdapterVersion &adapter, Instant now) const;

    /// Returns true if takeBack() would be accepted: owner, no unfinished predecessors, no eviction of its own that may
    /// still take effect.
    bool mayTakeBack(const AdapterVersion &adapter, Instant now) const;

    /// Returns the number of free slots; 0 until the engine has reported.
    std::size_t freeSlots() const;

    /// Returns true if some earlier owners are not confirmed to be finished, so that no adapter can be given up or
    /// taken back.
    bool isFrozen() const;

    /// Returns true if no request and no order of this process may still take effect.
    bool isFinished() const;

    /// Returns true if the object may be deleted: not the owner, finished, and no write that may still take effect.
    /// Such a write could change the record after a new object for the same upstream has read it.
    bool isIdle() const;

private:
    void advance(Instant now, OwnershipActions &actions);
    void startOwnership();
    void dropRequestedChanges();
    EngineRecord nextRecord() const;
    std::set<AdapterVersion> nextGivenUp() const;
    bool staysGivenUp(const AdapterVersion &adapter) const;
    bool mayChangeGivenUp(Instant now) const;

    UpstreamKind m_kind;
    Detail::Safeguards m_guards;
    RecordKeeper m_keeper;
    SlotTable m_slots;
    PredecessorTable m_predecessors;
    Epoch m_startedEpoch = 0;
    std::set<AdapterVersion> m_toGiveUp;
    std::set<AdapterVersion> m_toTakeBack;
};

} // namespace Gypsumtally
