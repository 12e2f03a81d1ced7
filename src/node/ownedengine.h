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

/// How an engine's part of a node speaks to the rest of it.
struct EngineObserver {
    /// Send call @p call to the engine as @p requestId and report its end by requestEnded(). False: it was not sent.
    std::function<bool(CallId call, const std::string &requestId)> onDispatch;
    std::function<void(CallId call, const Failure &failure)> onReject;
    std::function<void(const AskRelease &ask)> onAskRelease;
    std::function<void(const AdapterVersion &adapter, const LoadPriority &priority)> onLoadWanted;
    std::function<void(const AdapterVersion &adapter, LoadEnd end, Duration retryAfter)> onLoadDone;
    std::function<void(bool reachable)> onContact;
    /// The engine does not answer: what runs there is lost.
    std::function<void()> onLost;
    std::function<void(const std::string &event, const std::string &detail)> onNote;
};

/// One engine that this node owns, is to own or owned: its ownership, its queue and its adapters. Not thread-safe.
class OwnedEngine
{
public:
    OwnedEngine(Vm vm, const Predecessor &self, NodeIo &io, const SchedulerSettings &settings, EngineObserver observer);
    OwnedEngine(const OwnedEngine &) = delete;
    OwnedEngine &operator=(const OwnedEngine &) = delete;

    /// Sets whether this node is to own the engine, and whether new work may go there.
    void setWanted(bool wanted, bool takesWork);
    void setVm(const Vm &vm);
    void setSettings(const SchedulerSettings &settings);

    /// Queues a call, or rejects it at once when the node does not own the engine. An isolated call runs with none
    /// beside it.
    void submit(const CallAttributes &call, bool isolated);

    /// Drops a call that waits here; returns false if it does not.
    bool cancelWaiting(CallId call);

    /// Takes the end of a dispatched call.
    void requestEnded(CallId call, SendOutcome outcome);

    void recordSeen(const KeyValue &stored);
    bool releaseAsked(Epoch newEpoch);
    void releaseAnswered(const Incarnation &asked, Epoch newEpoch, bool isFinished);
    void predecessorGone(const Incarnation &incarnation);
    void loadGranted(const AdapterVersion &adapter);
    void foresee(const AdapterVersion &adapter);

    /// Starts what is due. Call every few hundred milliseconds and after nextWake().
    void tick();
    std::optional<Instant> nextWake() const;

    const Vm &vm() const;
    const UpstreamOwner &owner() const;
    UpstreamHint hint() const;

    /// Returns whether the object may be deleted: not wanted, nothing that may still take effect, nothing awaited.
    bool isIdle() const;

private:
    /// What the scheduler may do: what ownership allows, and while a call is to be isolated, one call at a time.
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
    /// Takes back evicted adapters that calls wait for: an adapter that is given up can't be loaded.
    void takeBackWanted(OwnershipActions &actions);
    /// Whether calls for @p adapter have to wait for more than an ordinary load: it is given up, an order on it may
    /// still take effect, or no slot can be freed while former owners are not known to be finished.
    bool isUnservable(const AdapterVersion &adapter) const;
    /// Sends calls elsewhere whose adapter stays unservable.
    void rejectUnservable();
    void settleGivingUp();
    void orderEnded(const SendOrder &order, const OrderEnd &end);
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
    int m_awaited = 0; ///< Replies on their way that refer to this object.
    bool m_polling = false;
    int m_failedPolls = 0;
    Instant m_nextPoll{};
    std::string m_engineIncarnation; ///< As the scheduler knows the engine; empty until a report came.
    std::size_t m_slots = 0;
    mutable std::uint64_t m_hintSequence = 0;
    std::unordered_map<CallId, AdapterVersion> m_waiting; ///< Calls that the scheduler has queued.
    std::unordered_map<CallId, RequestNumber> m_requests; ///< Dispatched calls.
    std::map<CallId, AdapterVersion> m_isolated; ///< Waiting or dispatched.
    std::map<AdapterVersion, Instant> m_unservable; ///< Adapters that calls wait for, with since when.
    std::map<AdapterVersion, Instant> m_givingUp; ///< With when to stop waiting for it.
};

} // namespace Gypsumtally
