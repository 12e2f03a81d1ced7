#pragma once

#include "keyvalue/vmlist.h"
#include "limits/concurrencylimiter.h"
#include "node/nodeio.h"
#include "ownership/upstreamowner.h"
#include "peerprotocol/peermessage.h"
#include "residency/enginescheduler.h"
#include "routing/hinttable.h"
#include "upstream/engineprotocol.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Gypsumtally
{

/// Callbacks of an OwnedEngine to the rest of the node.
struct EngineObserver {
    /// Sends @p call to the engine as @p requestId; its end must be reported by requestEnded(). Returns false if the
    /// call was not sent.
    std::function<bool(CallId call, const std::string &requestId)> onDispatch;
    std::function<void(CallId call, const Failure &failure)> onReject;
    std::function<void(const AskRelease &ask)> onAskRelease;
    std::function<void(const AdapterVersion &adapter, const LoadPriority &priority)> onLoadWanted;
    std::function<void(const AdapterVersion &adapter, LoadEnd end, Duration retryAfter)> onLoadDone;
    std::function<void(bool reachable)> onContact;
    /// Reports that the engine does not answer; requests running there are lost.
    std::function<void()> onLost;
    std::function<void(const std::string &event, const std::string &detail)> onLogEvent;
};

/// An engine that this node owns, is acquiring or has owned: its ownership, queue and adapters. Not thread-safe.
class OwnedEngine
{
public:
    OwnedEngine(Vm vm, const Predecessor &self, NodeIo &io, const SchedulerSettings &settings, EngineObserver observer);
    OwnedEngine(const OwnedEngine &) = delete;
    OwnedEngine &operator=(const OwnedEngine &) = delete;

    /// Sets whether this node should own the engine, and whether the engine accepts new calls; queued calls are
    /// rejected when it no longer does.
    void setWanted(bool wanted, bool takesWork);
    void setVm(const Vm &vm);
    void setSettings(const SchedulerSettings &settings);

    /// Queues a call, or rejects it at once if this node does not own the engine or the engine accepts no new calls. An
    /// isolated call runs while no other call does.
    void submit(const CallAttributes &call, bool isolated);

    /// Removes a queued call; returns false if it is not queued.
    bool cancelWaiting(CallId call);

    /// Records the end of a dispatched call and frees its place.
    void requestEnded(CallId call, SendOutcome outcome);

    /// Handles the engine's ownership record as listed or watched in the key-value service.
    void onRecord(const KeyValue &stored);

    /// Handles the request of the owner at @p newEpoch to release the engine. Returns true if no request or order of
    /// this process may still take effect; otherwise the owner asks again.
    bool releaseAsked(Epoch newEpoch);

    /// Handles the answer of the earlier owner @p asked to a request to release the engine.
    void releaseAnswered(const Incarnation &asked, Epoch newEpoch, bool isFinished);

    /// Records that the process of an earlier owner has ended. Not for a node that merely does not answer.
    void predecessorEnded(const Incarnation &incarnation);

    /// Handles the load broker's grant for @p adapter.
    void loadGranted(const AdapterVersion &adapter);

    /// Requests a prefetch of @p adapter if this node owns the engine.
    void prefetch(const AdapterVersion &adapter);

    /// Performs the timed steps that are due. Call every few hundred milliseconds, and at nextWake().
    void tick();

    /// Returns when the scheduler's next timed step is due; nothing if there is none or this node is not the owner.
    std::optional<Instant> nextWake() const;

    const Vm &vm() const;
    const UpstreamOwner &owner() const;

    /// Returns the state to broadcast, with a new sequence number.
    UpstreamHint hint() const;

    /// Returns true if the object may be deleted: ownership is not wanted, no request, order or write may still take
    /// effect, and no reply is awaited.
    bool isIdle() const;

private:
    /// Permissions of the scheduler: those of ownership, limited to one call at a time while an isolated call is queued
    /// or running.
    struct Guard {
        const OwnedEngine &engine;

        bool mayDispatch(const AdapterVersion &adapter) const;
        bool mayEvict(const AdapterVersion &adapter) const;
        bool isLoaded(const AdapterVersion &adapter) const;
        std::uint32_t freeSlots() const;
    };

    void perform(OwnershipActions &actions);
    void perform(SchedulerActions &actions);
    void perform(const KeyCall &call);
    void perform(const SendOrder &order);
    void pump();
    void dispatch(CallId call);
    void reject(const RejectCall &rejected);
    void giveUp(const AdapterVersion &adapter);
    /// Takes back evicted adapters that queued calls need, since an adapter that is given up can't be loaded.
    void takeBackWanted(OwnershipActions &actions);
    /// Returns true if calls for @p adapter must wait for more than an ordinary load: it is given up, or it is
    /// not loaded and either an order on it has no outcome yet, or no slot is free and none can be freed because
    /// requests or orders of earlier owners may still take effect.
    bool isUnservable(const AdapterVersion &adapter) const;
    /// Rejects queued calls whose adapter stays unservable, so that they are routed to another engine.
    void rejectUnservable();
    /// Reports to the scheduler which adapters have been given up, or have failed to be given up in time.
    void updateGivingUp();
    void orderEnded(const SendOrder &order, const OrderResult &end);
    void gained();
    void lost();
    void poll();
    void polled(const EngineStatus &status);
    void pollFailed();

    Vm m_vm;
    Predecessor m_self;
    NodeIo &m_io;
    EngineObserver m_observer;
    UpstreamOwner m_owner;
    EngineScheduler m_scheduler;
    ConcurrencyLimiter m_limiter;
    bool m_wanted = false;
    bool m_takesWork = true;
    bool m_pumping = false;
    int m_pendingReplies = 0; ///< Number of awaited replies whose callbacks refer to this object.
    bool m_polling = false;
    int m_failedPolls = 0;
    Instant m_nextPoll{};
    std::string m_engineIncarnation; ///< Incarnation whose adapters the scheduler holds; empty before a report.
    std::size_t m_slots = 0;
    mutable std::uint64_t m_hintSequence = 0;
    std::unordered_map<CallId, AdapterVersion> m_waiting; ///< Queued calls.
    std::unordered_map<CallId, RequestNumber> m_requests; ///< Dispatched calls.
    std::map<CallId, AdapterVersion> m_isolated; ///< Isolated calls, queued or dispatched.
    std::map<AdapterVersion, Instant> m_unservable; ///< Unservable adapters of queued calls, and since when.
    std::map<AdapterVersion, Instant> m_givingUp; ///< Adapters being given up, and when to stop waiting.
};

} // namespace Gypsumtally
