#pragma once

#include "common/call.h"
#include "common/decayedrate.h"
#include "common/verdict.h"
#include "residency/callqueue.h"
#include "residency/guard.h"
#include "residency/loadbroker.h"
#include "residency/policyweights.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// Requests that the call be sent to the engine now.
struct DispatchCall {
    CallId call = 0;
};

/// Requests a load grant from the load broker, or updates the priority of a pending request. Completed by loadGranted()
/// or loadDenied().
struct RequestLoad {
    AdapterVersion adapter;
    LoadPriority priority;
};

/// Withdraws a request for a load grant, or an unused grant; see LoadBroker::withdraw().
struct WithdrawLoad {
    AdapterVersion adapter;
};

/// Orders the engine to load an adapter for which the broker issued a grant. Completed by loaded() or loadFailed().
struct LoadAdapter {
    AdapterVersion adapter;
};

/// Orders the engine to evict an adapter, as the guard allows. Completed by evicted() or evictFailed().
struct EvictAdapter {
    AdapterVersion adapter;
};

/// Gives the adapter up: it gets no more calls and may then be evicted. Completed by givenUp() or giveUpFailed().
struct GiveUpAdapter {
    AdapterVersion adapter;
};

/// Rejects a call that was not dispatched; its caller is answered at once.
struct RejectCall {
    CallId call = 0;
    Failure failure;
};

using SchedulerAction
    = std::variant<DispatchCall, RequestLoad, WithdrawLoad, LoadAdapter, EvictAdapter, GiveUpAdapter, RejectCall>;
using SchedulerActions = std::vector<SchedulerAction>;

/// Settings of EngineScheduler.
struct SchedulerSettings {
    PolicyWeights weights{};
    QueueSettings queue{};
    std::uint32_t concurrency = 8; ///< Limit of calls in flight at the engine until setConcurrency().
    std::uint32_t spareSlots = 1; ///< Slots kept free for future loads.
    std::uint32_t maxLoads = 2; ///< Limit of loads requested or granted and not yet ordered.
    Duration halfLife = std::chrono::seconds{300}; ///< Half-life of an adapter's use count.
    /// Lifetime of an unused grant. A load ordered later could exceed the rate limit of the weight store.
    Duration grantLifetime = std::chrono::milliseconds{20};
    std::uint32_t maxLoadFailures = 2; ///< Consecutive failures after which the waiting calls are rejected.
    Duration loadBackoff = std::chrono::milliseconds{500}; ///< Delay between attempts to load the same adapter.
    Duration prefetchLifetime = std::chrono::seconds{10}; ///< Time for which a prefetch request is valid.
    Duration strandedTimeout = std::chrono::seconds{1}; ///< Wait until calls are rejected if no slot can be freed.
};

/// The load of an engine as its owner reports it in hints.
struct SchedulerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t waitingLoads = 0;
    std::vector<AdapterVersion> loading;
};

/// Decides, at the owner of one engine, which call is dispatched next and which adapters are loaded, given up and
/// evicted. The methods below report events; pump() then returns the actions to take. The guard must reflect each
/// action before the next pump(). Not thread-safe; does no I/O.
class EngineScheduler
{
public:
    explicit EngineScheduler(SchedulerSettings settings = {});

    /// Queues a call. If the queue is full, rejects it or a waiting call of a lower class; also rejects a call that is
    /// not expected to start before its deadline. Precondition: call.model is set and the id is new.
    void add(const CallAttributes &call, Instant now, SchedulerActions &actions);

    /// Removes a waiting call without answering it; returns false if no such call waits.
    bool cancel(CallId call);

    /// Records the end of a dispatched call, whatever its outcome.
    void finished(CallId call, Instant now);

    /// Sets the loaded adapters after a change of owner or a restart of the engine. Not for load reports, which may be
    /// out of date.
    void setResidents(std::span<const AdapterVersion> adapters, Instant now);

    /// Sets the limit of calls in flight at the engine.
    void setConcurrency(std::uint32_t calls);

    /// Applies changed settings.
    void setSettings(const SchedulerSettings &settings);

    /// Requests that an adapter be prefetched.
    void prefetch(const AdapterVersion &adapter, Instant now);

    /// Records the broker's grant for a load.
    void loadGranted(const AdapterVersion &adapter, Instant now);

    /// Records the broker's denial of a load; it is requested again after @p retryAfter at the earliest.
    void loadDenied(const AdapterVersion &adapter, Duration retryAfter, Instant now);

    /// Records the success of an ordered load.
    void loaded(const AdapterVersion &adapter, Instant now);

    /// Records the failure of an ordered load. With @p isFinal (an unknown adapter), the waiting calls are rejected at
    /// once.
    void loadFailed(const AdapterVersion &adapter, bool isFinal, Instant now, SchedulerActions &actions);

    /// Records the success of an ordered eviction.
    void evicted(const AdapterVersion &adapter, Instant now);

    /// Records the failure of an ordered eviction; it is retried after the load backoff.
    void evictFailed(const AdapterVersion &adapter, Instant now);

    /// Records that an adapter is durably given up.
    void givenUp(const AdapterVersion &adapter, Instant now);

    /// Records that an adapter could not be given up. No adapter is given up before @p retryAfter has passed.
    void giveUpFailed(const AdapterVersion &adapter, Duration retryAfter, Instant now);

    /// Rejects the calls that wait for @p adapter. Dispatched calls are not affected.
    void rejectWaiters(const AdapterVersion &adapter, const Failure &failure, SchedulerActions &actions);

    /// Rejects all waiting calls, for example because the engine was removed or has another owner. Dispatched calls are
    /// not affected.
    void rejectAll(const Failure &failure, SchedulerActions &actions);

    /// Appends the actions to take now.
    template<EngineGuard Guard>
    void pump(const Guard &guard, Instant now, SchedulerActions &actions)
    {
        pump(GuardView{guard}, now, actions);
    }
    void pump(const GuardView &guard, Instant now, SchedulerActions &actions);

    /// Returns the time at which pump() must next run even if no event occurs.
    std::optional<Instant> nextWake() const;

    SchedulerLoad load() const;

private:
    /// The progress of a load from request to order.
    enum class LoadStage {
        Requested,
        Granted,
        Ordered,
    };
    struct PendingLoad {
        LoadStage stage = LoadStage::Requested;
        LoadPriority lastSent; ///< The priority last sent to the broker.
        Instant since{}; ///< Start of the stage.
        bool foreseen = false;
    };
    /// The state of a loaded adapter.
    enum class ResidentState {
        Serving,
        Draining, ///< Gets no new calls; is given up once its last call in flight ends.
        GivingUp,
        GivenUp,
        Evicting,
    };
    /// A loaded adapter.
    struct Resident {
        ResidentState state = ResidentState::Serving;
        bool wasDraining = false; ///< Was draining before the current choice of victims.
        Instant noEvictionBefore{}; ///< Backoff after a failed eviction.
        std::uint32_t running = 0; ///< Calls in flight.
        double uses = 0; ///< Exponentially decayed count of dispatched calls, as of `updated`.
        Instant updated{};
    };
    /// Backoff of an adapter's loads.
    struct Retry {
        std::uint32_t failures = 0;
        Instant notBefore{};
    };
    static constexpr Duration loadsHalfLife = std::chrono::seconds{60};
    using Residents = std::unordered_map<AdapterVersion, Resident>;

    /// An adapter that is in demand but not served by this engine, with its priority and due time.
    struct Wanted {
        AdapterVersion adapter;
        LoadPriority priority;
        Instant due{};
    };

    void expire(Instant now, SchedulerActions &actions);
    void dispatch(const GuardView &guard, Instant now, SchedulerActions &actions);
    void evict(const GuardView &guard, Instant now, SchedulerActions &actions);
    void orderLoads(const GuardView &guard, Instant now, SchedulerActions &actions);
    void requestLoads(const GuardView &guard, Instant now, SchedulerActions &actions);
    void freeSlotsInAdvance(const GuardView &guard, Instant now, SchedulerActions &actions);
    void rejectStranded(const GuardView &guard, Instant now, SchedulerActions &actions);
    /// Sets m_nextWake to the earliest deadline or end of a backoff or grant.
    void scheduleWake(Instant now);
    std::vector<Wanted> wanted(const GuardView &guard, Instant now) const;
    void requestLoad(const Wanted &wanted, Instant now, SchedulerActions &actions);
    void startGivingUp(Residents::value_type &resident, SchedulerActions &actions);
    /// Returns the adapter to evict next, to make room for @p wanted if set; end() if there is none.
    Residents::iterator victim(const GuardView &guard, const Wanted *wanted, Instant now);
    /// Returns the value of keeping an adapter loaded; the lowest is evicted first.
    double retentionScoreOf(const Residents::value_type &resident, Instant now) const;
    double decayedUses(const Resident &resident, Instant now) const;
    /// Returns the number of slots that are being freed; with @p onlyGivenUp only those of adapters durably given up.
    std::uint32_t slotsBeingFreed(bool onlyGivenUp = false) const;
    bool mayRetry(const AdapterVersion &adapter, Instant now) const;
    /// Returns the expected queueing time of a new call; 0 if unknown.
    Duration expectedWait(ServiceClass serviceClass, Instant now) const;
    /// Returns the expected time until the adapter of a new call is loaded; 0 if unknown.
    Duration expectedLoadWait(const CallAttributes &call, Instant now) const;

    SchedulerSettings m_settings;
    std::uint32_t m_concurrency;
    CallQueue m_queue;
    std::unordered_map<CallId, AdapterVersion> m_running;
    Residents m_residents;
    std::unordered_map<AdapterVersion, PendingLoad> m_loads;
    std::unordered_map<AdapterVersion, Retry> m_retries;
    std::unordered_map<AdapterVersion, Instant> m_prefetches;
    std::vector<Wanted> m_wanted; ///< As of the last pump(), the highest priority first.
    Instant m_noGiveUpBefore{}; ///< Backoff after an adapter could not be given up.
    DecayedRate m_completions{std::chrono::seconds{5}};
    /// Rate of completed loads, by the highest class that waited for them.
    std::array<DecayedRate, 3> m_loadsDone{DecayedRate{loadsHalfLife}, DecayedRate{loadsHalfLife},
                                           DecayedRate{loadsHalfLife}};
    std::optional<Instant> m_nextWake;
};

} // namespace Gypsumtally
