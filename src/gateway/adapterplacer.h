#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"
#include "common/enumtable.h"
#include "gateway/adaptercacheestimate.h"
#include "gateway/residency.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

enum class OrderKind {
    Load,
    Unload,
};

/// An order to load or unload a model on one engine. The engine must carry it out only if its order counter equals
/// @c expected.
struct EngineOrder {
    std::uint64_t id = 0; ///< Unique within this process; matches answers to orders.
    std::string instance;
    OrderKind kind = OrderKind::Load;
    ModelTarget target;
    std::uint64_t version = 0; ///< Version of an adapter to load; 0 selects the newest.
    std::uint64_t expected = 0; ///< Value of the engine's order counter that the order requires.
};

enum class OrderOutcome {
    Started, ///< Accepted; the engine is carrying it out.
    Done, ///< The requested state already exists.
    Conflict, ///< Not accepted: the engine's counter differs, or another order is in progress.
    Refused, ///< Rejected by the engine.
    Unknown, ///< No answer: the order may have been carried out, or may still be.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::OrderKind, 2> enumNames<Gateway::OrderKind>{{
    {Gateway::OrderKind::Load, "load"},
    {Gateway::OrderKind::Unload, "unload"},
}};

template<>
inline constexpr EnumTable<Gateway::OrderOutcome, 5> enumNames<Gateway::OrderOutcome>{{
    {Gateway::OrderOutcome::Started, "started"},
    {Gateway::OrderOutcome::Done, "done"},
    {Gateway::OrderOutcome::Conflict, "conflict"},
    {Gateway::OrderOutcome::Refused, "refused"},
    {Gateway::OrderOutcome::Unknown, "unknown"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// State that an engine reports when it is inspected.
struct EngineReport {
    std::uint64_t orders = 0; ///< Number of orders accepted so far.
    bool busy = false; ///< A base model is loading.
    std::vector<ListedTarget> held; ///< Loaded models and adapters.
    std::vector<ListedTarget> coming; ///< Adapters that are loading.
};

/// Input of the placer for one engine.
struct PlacedEngine {
    std::string instance;
    std::string service;
    std::string region;
    std::int64_t startedAt = 0; ///< Distinguishes successive processes of one instance.
    bool takesOrders = true; ///< False while the engine drains.
    unsigned adapterSlots = 0; ///< Number of adapters that it can hold.
    unsigned slots = 1; ///< Number of requests that it processes concurrently.
    double load = 0; ///< In-flight requests from all nodes.
    std::set<std::string> storedModels; ///< Base models that it can load from its own disk or memory.
    /// Adapters that it likely caches, from the loads of all placers; null if unknown.
    const AdapterCacheEstimate *cachedAdapters = nullptr;
};

/// A base model that the engines of a service must hold.
struct PlacedModel {
    std::string service;
    std::string model;
    Duration loadTime{};
};

/// Aggregate state of the fleet, including engines that other placers control.
struct FleetView {
    struct Copies {
        unsigned count = 0;
        double lightestLoad = 0; ///< Lowest load, in in-flight requests, of an engine with a copy.
    };

    std::unordered_map<ModelTarget, Copies> copies; ///< Copies of the newest versions on engines of other placers.
    std::map<std::string, double> meanLoads; ///< Mean engine load by service, including engines of this placer.
    std::size_t engines = 0; ///< Number of engines, including those of this placer.
    std::vector<std::string> emptyEngines; ///< Engines that need a base model from the weight store, in turn order.
    double storeShare = 1; ///< Fraction of the weight store's throughput that this placer may use.
    /// Returns true if this placer is responsible for loading copy number @p copies + 1 of a target.
    std::function<bool(const ModelTarget &target, unsigned copies)> isNext;
    /// Returns the oldest version of a target that may still serve; 0 if any may. Null if any version of all may.
    std::function<std::uint64_t(const ModelTarget &target)> oldestUsable;
};

/// A change in the models or adapters of one engine, to be broadcast to all nodes.
struct PlacementUpdate {
    std::string instance;
    ModelTarget target;
    std::uint64_t version = 0;
    bool dropped = false;
    Instant usableAt{}; ///< For a load: when the copy becomes usable.
};

/// Result of one plan: the actions to carry out now.
struct PlacerActions {
    std::vector<EngineOrder> orders;
    std::vector<std::string> inspections; ///< Engines to request a report from.
    std::vector<PlacementUpdate> updates;
    std::vector<PlacementUpdate> answers; ///< Existing copies of wanted targets, for the nodes that requested them.
};

struct PlacerSettings {
    /// Time to load an adapter from the weight store; from the platform's data sheet.
    Duration adapterLoadTime = std::chrono::milliseconds{250};
    /// Time to load an adapter that the engine caches: a tenth of adapterLoadTime.
    Duration adapterReloadTime = std::chrono::milliseconds{25};
    /// Initial estimate of how many concurrent loads, over all engines, the weight store serves at full speed. The
    /// store does not publish its limit: loads that end in time raise the estimate, and requests that arrive before
    /// their adapter is usable lower it.
    unsigned minLoadsAtFullSpeed = 8;
    double loadsAtFullSpeedPerEngine = 0.4;
    /// Limit of concurrent loads for waiting requests, as a multiple of loadsAtFullSpeed(). Above 1, since a load still
    /// counts for a moment after it has ended and since placers rarely peak at the same time.
    double wantedLoads = 1.75;
    /// Limit of concurrent loads for further copies of hot adapters, as a multiple of loadsAtFullSpeed(). These loads
    /// may be slower.
    double furtherLoads = 2;
    unsigned loadsPerEngine = 4; ///< Concurrent adapter loads per engine; from the platform's data sheet.
    unsigned spareSlots = 2; ///< Adapter slots kept free on each engine, so that a miss needs no eviction first.
    double requestsPerCopy = 3; ///< Requests per second and copy above which an adapter gets a further copy.
    /// Base models that one placer loads from the weight store per weightLoadWindow. All placers plus a successor of
    /// one of them stay within the platform's limit.
    unsigned weightLoadsPerWindow = 3;
    Duration weightLoadWindow = std::chrono::seconds{5};
};

/// Decides which engines hold which adapters and plans the orders that load and unload them. Only the holder of the
/// order lease runs a placer; a new holder starts with an empty one, which inspects each engine before ordering it.
///
/// Loads adapters on demand: rendezvous hashing selects the engine of an adapter, hot adapters get several copies, and
/// cold ones are evicted. The orders never exceed an engine's adapter slots: an unanswered order reserves the slot of
/// its load and releases none for its unload until the engine's order counter shows whether it was carried out. Not
/// thread-safe; does no I/O.
class AdapterPlacer
{
public:
    explicit AdapterPlacer(PlacerSettings settings = {});

    /// Replaces the lists of engines and models and drops the state of engines that are no longer listed.
    void setEngines(const std::vector<PlacedEngine> &engines, const std::vector<PlacedModel> &models);

    /// Replaces the aggregate state of the fleet.
    void setFleetView(FleetView view);

    /// Records that @p requests requests wait for @p target of @p service: their node sees no engine that holds it
    /// except those in @p unfit, which have failed these requests.
    void onWanted(const std::string &service, const ModelTarget &target, unsigned requests,
                  const std::vector<std::string> &unfit, Instant now);

    /// Records that @p requests requests for @p target were sent or are still in flight.
    void onUsed(const std::string &service, const ModelTarget &target, double requests, Instant now);

    /// Records that @p version of an adapter was declared; copies of older versions are unloaded once they may not
    /// serve any more.
    void onVersionDeclared(const ModelTarget &target, std::uint64_t version);

    /// Records the outcome of an order from plan().
    void onAnswer(const EngineOrder &order, OrderOutcome outcome, Instant now);

    /// Records an engine's answer to an inspection; no @p report means that the inspection failed.
    void onReport(const std::string &instance, const std::optional<EngineReport> &report, Instant now);

    /// Records that an engine rejected a request for @p target because it does not hold it.
    void onMissing(const std::string &instance, const ModelTarget &target, Instant now);

    /// Returns the actions to carry out now. Each order must be sent at once or passed to onAnswer() as Conflict.
    PlacerActions plan(Instant now);

    /// Restores the storeFactor() of an earlier placer. Precondition: plan() has not been called yet.
    void restoreStoreFactor(double factor);

    /// Returns the ratio of the learnt to the initially assumed number of loads that the weight store serves at full
    /// speed; 0 if loads have not reached its limit yet.
    double storeFactor() const
    {
        return m_storeLimitReached ? m_storeFactor : 0;
    }

    /// Returns the estimated number of concurrent loads that the weight store serves at full speed, limited to this
    /// placer's share.
    double loadsAtFullSpeed() const;

    /// Returns the number of adapter slots of an engine that are used or reserved by unanswered loads.
    unsigned usedSlots(const std::string &instance) const;

private:
    struct Copy {
        std::uint64_t version = 0;
        Instant usableAt{};
        Instant lastUsed{};
        bool unloading = false; ///< An unload was ordered and waits for in-flight requests.
        bool isReload = false; ///< Assumed to load from the engine's cache.
        /// Ratio of the loads in progress when this one began to those that the store serves at full speed; 0 once
        /// evaluated.
        double storeUse = 0;
        Duration remainingLoadTime{}; ///< Remaining load time at full speed of the store.
        Instant announcedUsableAt{}; ///< End of its load as last broadcast to nodes.
    };

    struct Engine {
        PlacedEngine placed;
        bool isSynced = false; ///< The order counter and the lists below are up to date.
        std::uint64_t orders = 0; ///< The engine's order counter.
        Instant acceptedAt{}; ///< When the engine accepted its last order.
        std::unordered_map<ModelTarget, Copy> copies; ///< Adapters held or loading.
        std::set<std::string> models; ///< Base models held.
        std::optional<EngineOrder> pendingOrder; ///< The order in flight, which blocks further orders to this engine.
        std::vector<EngineOrder> unansweredOrders; ///< Orders that timed out unanswered and may still be carried out.
        AdapterCacheEstimate cachedAdapters;
        bool inspecting = false;
        Instant inspectAt{};
        Instant busyUntil{}; ///< Latest end of the base model load in progress.
        Instant emptySince{}; ///< When it was first found to need a base model from the weight store.
    };

    static constexpr Duration demandHalfLife = std::chrono::seconds{4}; ///< Demand shifts within seconds.

    struct Demand {
        std::string service;
        DecayedRate requests{demandHalfLife};
        Instant wantedAt{}; ///< When a node last reported waiting requests; zero if none wait.
        std::set<std::string> unfit; ///< Engines that have failed the waiting requests.
    };

    /// Values that one plan looks up often, computed once per plan.
    struct PlanCache {
        struct Victim {
            ModelTarget target;
            double rate = 0; ///< Requests per second that this copy serves; negative for an outdated version.
        };

        std::unordered_map<ModelTarget, unsigned> copies; ///< Current copies, including ordered ones.
        std::unordered_map<std::string, double> meanLoads; ///< Mean engine load by service.
        std::unordered_map<std::string, std::optional<Victim>> victims; ///< To evict for a wanted target, by engine.
        std::unordered_map<std::string, unsigned> loadingByEngine; ///< Number of adapters loading, by engine.
        unsigned loading = 0; ///< Number of adapters loading or ordered, on all engines.
    };

    void buildPlanCache(Instant now);
    double rateOf(const ModelTarget &target, Instant now) const;
    void count(const std::string &service, const ModelTarget &target, double requests, Instant now);
    std::uint64_t newestVersion(const ModelTarget &target) const;
    bool canOrder(const Engine &engine) const;
    unsigned used(const Engine &engine) const;
    unsigned loadingCount(const Engine &engine, Instant now) const;
    unsigned loadingOnAllEngines(Instant now) const;
    void updateStoreFactor(Instant now);
    void advanceLoadProgress(Instant now);
    bool isCurrent(const ModelTarget &target, const Copy &copy) const;
    static bool isLoadOrdered(const Engine &engine, const ModelTarget &target);
    bool serves(const Engine &engine, const ModelTarget &target) const;
    unsigned copiesOf(const ModelTarget &target) const;
    const std::optional<PlanCache::Victim> &cachedVictim(const Engine &engine, Instant now);
    void place(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions);
    bool canMakeRoomFor(const Engine &engine, double rate, Instant now);
    void loadOn(Engine &engine, const ModelTarget &target, Instant now, PlacerActions &actions);
    /// Orders an engine that caches @p target to load it again. Returns true if it did, or if such an engine is only
    /// blocked for a moment by other orders or loads.
    bool reload(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions);
    std::optional<PlanCache::Victim> victimOf(const Engine &engine, Duration idleTime, Instant now) const;
    void order(Engine &engine, OrderKind kind, const ModelTarget &target, PlacerActions &actions);
    void inspect(Engine &engine, Instant now, PlacerActions &actions);
    bool mayLoadFromStore(Engine &engine, const PlacedModel &model, Instant now);
    void placeModels(Instant now, PlacerActions &actions);
    /// Returns true if a copy of @p target that can serve the waiting requests exists or is ordered. Adds existing
    /// copies to the plan's answers.
    bool answerFromCopies(const ModelTarget &target, const Demand &demand);
    void placeWanted(Instant now, PlacerActions &actions);
    void unloadSuperseded(Instant now, PlacerActions &actions);
    double meanLoad(const std::string &service) const;
    double furtherCopyNeed(const ModelTarget &target, const Demand &demand, Instant now) const;
    void placeFurtherCopies(Instant now, PlacerActions &actions);
    void freeSlots(Instant now, PlacerActions &actions);
    void applyStarted(Engine &engine, const EngineOrder &order, Instant now);
    void dropVoidOrders(Engine &engine);
    static void cancelUnload(Engine &engine, const EngineOrder &order);

    PlacerSettings m_settings;
    std::map<std::string, Engine> m_engines;
    std::vector<PlacedModel> m_models;
    std::unordered_map<ModelTarget, Demand> m_demand;
    std::unordered_map<ModelTarget, std::uint64_t> m_declared;
    std::deque<Instant> m_weightLoads; ///< Starts of base model loads from the store within the window.
    FleetView m_fleet;
    PlanCache m_planCache; ///< Valid during one plan.
    std::vector<PlacementUpdate> m_updates;
    std::vector<PlacementUpdate> m_answers;
    std::uint64_t m_lastOrder = 0;
    double m_storeFactor = 1; ///< Ratio of the learnt to the assumed number of loads at full speed.
    bool m_storeLimitReached = false; ///< Loads have been late because the store was overloaded.
    /// Loads, since the last correction of the factor, that an engine had not completed when a request arrived for
    /// them.
    unsigned m_lateLoads = 0;
    /// Loads, since the last correction of the factor, that ended in time although the store was near its limit.
    unsigned m_timelyLoads = 0;
    Instant m_storeFactorUpdatedAt{};
    Instant m_loadsAdvancedAt{};
};

} // namespace Gypsumtally::Gateway
