#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"
#include "common/enumtable.h"
#include "gateway/keptadapters.h"
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

/// An order to one engine. It is to be carried out only if the engine's counter of orders is @c expected.
struct EngineOrder {
    std::uint64_t id = 0; ///< Of this process; answers name it.
    std::string instance;
    OrderKind kind = OrderKind::Load;
    ModelTarget target;
    std::uint64_t version = 0; ///< Of an adapter to load; 0: the newest.
    std::uint64_t expected = 0;
};

enum class OrderOutcome {
    Started, ///< Accepted; it is being carried out.
    Done, ///< It holds already.
    Conflict, ///< The engine's counter differs, or another order is under way. It was not accepted.
    Refused, ///< The engine will not carry it out.
    Unknown, ///< No answer: it may be carried out, also later.
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

/// What an engine says of itself when it is asked.
struct EngineReport {
    std::uint64_t orders = 0; ///< Counter of orders accepted.
    bool busy = false; ///< A base model is on its way.
    std::vector<ListedTarget> held;
    std::vector<ListedTarget> coming; ///< Adapters on their way.
};

/// What the placer needs to know of an engine.
struct PlacedEngine {
    std::string instance;
    std::string service;
    std::string region;
    std::int64_t startedAt = 0; ///< Tells processes of one instance apart.
    bool takesOrders = true; ///< False for one that is draining.
    unsigned adapterSlots = 0;
    unsigned slots = 1; ///< Requests that it works on at once.
    double load = 0; ///< Requests at work, of the whole fleet.
    std::set<std::string> storedModels; ///< Loaded from its own disk or memory.
    const KeptAdapters *kept = nullptr; ///< As placers of all nodes have had it load; null: not known.
};

/// A base model that engines of a service are to hold.
struct PlacedModel {
    std::string service;
    std::string model;
    Duration loadTime{};
};

/// What a placer needs to know of engines that other placers order.
struct PlacerSurroundings {
    struct Copies {
        unsigned count = 0;
        double lightestLoad = 0; ///< Of the engines that have one.
    };

    std::unordered_map<ModelTarget, Copies> copies; ///< Of the newest versions.
    std::map<std::string, double> meanLoads; ///< Of engines by service, those of this placer included.
    std::size_t engines = 0; ///< Those of this placer included.
    std::vector<std::string> emptyEngines; ///< That need a base model from the weight store, in order, all placers'.
    double shareOfStore = 1; ///< The part of the weight store that this placer may use.
    /// Whether this placer is the one to load copy number @p copies + 1 of a target.
    std::function<bool(const ModelTarget &target, unsigned copies)> isNext;
};

/// A change of what an engine holds, to be told to all nodes.
struct PlacementNews {
    std::string instance;
    ModelTarget target;
    std::uint64_t version = 0;
    bool dropped = false;
    Instant usableAt{}; ///< Of a load.
};

/// What is to be done now.
struct PlacerActions {
    std::vector<EngineOrder> orders;
    std::vector<std::string> inspections; ///< Engines to ask for a report.
    std::vector<PlacementNews> news;
    std::vector<PlacementNews> answers; ///< Copies of what was wanted, for those who did not know of them.
};

struct PlacerSettings {
    Duration adapterLoadTime = std::chrono::milliseconds{250}; ///< From the weight store; the platform's sheet.
    Duration adapterReloadTime = std::chrono::milliseconds{25}; ///< Of one that the engine held recently: a tenth.
    /// Loads that the weight store serves at full speed over all engines, as far as nothing was learnt of it. It is not
    /// told to nodes: it is raised by loads that end in time, and lowered by requests that come before their adapter.
    unsigned leastLoadsAtFullSpeed = 8;
    double loadsAtFullSpeedPerEngine = 0.4;
    /// Of those: some are counted as on their way for a moment after they have ended, and placers seldom have their
    /// busiest moments together.
    double wantedLoads = 1.75;
    double furtherLoads = 2; ///< Up to here further copies of hot adapters are loaded, somewhat slower.
    unsigned loadsPerEngine = 4; ///< What an engine takes at once; the platform's sheet.
    unsigned spareSlots = 2; ///< Kept free on each engine, so that a miss needs no eviction first.
    double requestsPerCopy = 3; ///< A second; above this an adapter gets a further copy.
    /// Of one placer; within the platform's bound for all of them and a successor of one.
    unsigned weightLoadsPerWindow = 3;
    Duration weightLoadWindow = std::chrono::seconds{5};
};

/// Decides which engine holds which adapters, and orders it. Run by the one holder of the order lease; a new holder
/// starts with an empty one, which asks every engine before it orders anything.
///
/// Answers load that misses: an adapter has a home by rendezvous hashing, hot ones have several, cold ones make way.
/// No engine is ever ordered beyond its slots: an order that was not answered counts as carried out and as not
/// carried out, until the engine's counter settles it. Not thread-safe; does no I/O.
class AdapterPlacer
{
public:
    explicit AdapterPlacer(PlacerSettings settings = {});

    /// Replaces the list of engines and models. Engines that are not in it any more are forgotten.
    void setEngines(const std::vector<PlacedEngine> &engines, const std::vector<PlacedModel> &models);

    /// Replaces what is known of the engines of other placers.
    void setSurroundings(PlacerSurroundings surroundings);

    /// Requests wait for @p target of @p service, which no engine holds as far as their node knows, or none but those
    /// in
    /// @p unfit, which have failed them.
    void onWanted(const std::string &service, const ModelTarget &target, unsigned requests,
                  const std::vector<std::string> &unfit, Instant now);

    /// @p requests were sent for @p target, or are still at work.
    void onUsed(const std::string &service, const ModelTarget &target, double requests, Instant now);

    /// @p version of an adapter was declared; older ones are to go.
    void onVersionDeclared(const ModelTarget &target, std::uint64_t version);

    void onAnswer(const EngineOrder &order, OrderOutcome outcome, Instant now);

    /// An engine has answered an inspection, or has not (no @p report).
    void onReport(const std::string &instance, const std::optional<EngineReport> &report, Instant now);

    /// An engine has refused a request for @p target because it does not hold it.
    void onMissing(const std::string &instance, const ModelTarget &target, Instant now);

    /// Returns what is to be done. Orders are to be sent at once or answered as Conflict.
    PlacerActions plan(Instant now);

    /// Goes on from what an earlier placer has learnt of the weight store: storeFactor(). Call before the first plan.
    void rememberStore(double factor);

    /// Returns what the weight store serves at full speed, as learnt, over what was taken for granted; 0 if nothing was
    /// learnt.
    double storeFactor() const
    {
        return m_storeLimitMet ? m_storeFactor : 0;
    }

    /// Returns how many loads at once the weight store serves at full speed, as far as was learnt, of this placer's
    /// part.
    double loadsAtFullSpeed() const;

    /// Returns how many adapter slots of an engine are used or may be.
    unsigned usedSlots(const std::string &instance) const;

private:
    struct Copy {
        std::uint64_t version = 0;
        Instant usableAt{};
        Instant lastUsed{};
        bool leaving = false; ///< An unload waits for its requests.
        bool isReload = false; ///< Its engine was taken to keep it.
        double storeUse = 0; ///< Of what the store serves at full speed, when its load began; 0 once that was judged.
        Duration work{}; ///< Of its load that is left, as the time that it takes while the store has few.
        Instant told{}; ///< When its load ends, as nodes were told last.
    };

    struct Engine {
        PlacedEngine placed;
        bool known = false; ///< The counter and the lists below are up to date.
        std::uint64_t orders = 0;
        Instant acceptedAt{}; ///< When the last order was.
        std::unordered_map<ModelTarget, Copy> copies; ///< Adapters held or on their way.
        std::set<std::string> models;
        std::optional<EngineOrder> open; ///< The one that an answer is awaited for.
        std::vector<EngineOrder> late; ///< Without an answer: may still be carried out.
        KeptAdapters kept;
        bool inspecting = false;
        Instant inspectAt{};
        Instant busyUntil{}; ///< A base model is on its way.
        Instant emptySince{}; ///< When it was found to need one from the weight store.
    };

    static constexpr Duration demandHalfLife = std::chrono::seconds{4}; ///< It moves to other adapters within seconds.

    struct Demand {
        std::string service;
        DecayedRate requests{demandHalfLife};
        Instant wantedAt{}; ///< Zero: no request waits.
        std::set<std::string> unfit; ///< Engines whose copies do not help those that wait.
    };

    /// What one plan looks up often, worked out once for it.
    struct Overview {
        struct Victim {
            ModelTarget target;
            double rate = 0; ///< Requests a second that its copy serves; negative for one of an older version.
        };

        std::unordered_map<ModelTarget, unsigned> copies; ///< That serve, or are ordered.
        std::unordered_map<std::string, double> meanLoads; ///< By service.
        std::unordered_map<std::string, std::optional<Victim>> victims; ///< Of engines, for a target that is wanted.
        std::unordered_map<std::string, unsigned> comingTo; ///< Engines.
        unsigned coming = 0;
    };

    void overview(Instant now);
    double rateOf(const ModelTarget &target, Instant now) const;
    void count(const std::string &service, const ModelTarget &target, double requests, Instant now);
    std::uint64_t newestVersion(const ModelTarget &target) const;
    bool canOrder(const Engine &engine) const;
    unsigned used(const Engine &engine) const;
    unsigned coming(const Engine &engine, Instant now) const;
    unsigned comingEverywhere(Instant now) const;
    void judgeLoads(Instant now);
    void advanceLoads(Instant now);
    bool isCurrent(const ModelTarget &target, const Copy &copy) const;
    static bool isLoadOrdered(const Engine &engine, const ModelTarget &target);
    bool serves(const Engine &engine, const ModelTarget &target) const;
    unsigned copiesOf(const ModelTarget &target) const;
    const std::optional<Overview::Victim> &wantedVictim(const Engine &engine, Instant now);
    void place(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions);
    bool hasRoomFor(const Engine &engine, double rate, Instant now);
    void loadOn(Engine &engine, const ModelTarget &target, Instant now, PlacerActions &actions);
    /// Has an engine that keeps @p target load it again. Returns whether one does, or will be able to in a moment.
    bool reload(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions);
    std::optional<Overview::Victim> victimOf(const Engine &engine, Duration idleTime, Instant now) const;
    void order(Engine &engine, OrderKind kind, const ModelTarget &target, PlacerActions &actions);
    void inspect(Engine &engine, Instant now, PlacerActions &actions);
    bool mayLoadFromStore(Engine &engine, const PlacedModel &model, Instant now);
    void placeModels(Instant now, PlacerActions &actions);
    /// Whether a copy of @p target serves those that wait for it, or is ordered; tells of it once more if it is there.
    bool helps(const ModelTarget &target, const Demand &demand);
    void placeWanted(Instant now, PlacerActions &actions);
    double meanLoad(const std::string &service) const;
    double needOfFurtherCopy(const ModelTarget &target, const Demand &demand, Instant now) const;
    void placeFurtherCopies(Instant now, PlacerActions &actions);
    void freeSlots(Instant now, PlacerActions &actions);
    void applyStarted(Engine &engine, const EngineOrder &order, Instant now);
    void settleLate(Engine &engine);
    static void keepAfterAll(Engine &engine, const EngineOrder &order);

    PlacerSettings m_settings;
    std::map<std::string, Engine> m_engines;
    std::vector<PlacedModel> m_models;
    std::unordered_map<ModelTarget, Demand> m_demand;
    std::unordered_map<ModelTarget, std::uint64_t> m_declared;
    std::deque<Instant> m_weightLoads; ///< Begun within the window.
    PlacerSurroundings m_contextEvents;
    Overview m_overview; ///< Of the plan under way.
    std::vector<PlacementNews> m_news;
    std::vector<PlacementNews> m_answers;
    std::uint64_t m_lastOrder = 0;
    double m_storeFactor = 1; ///< What the store serves at full speed, as learnt, over what was taken for granted.
    bool m_storeLimitMet = false; ///< Loads were late as the store had too many.
    unsigned m_lateLoads = 0; ///< Since the factor was last corrected: a request had to wait for them.
    unsigned m_timelyLoads = 0; ///< Those that ended in time while the store was as busy as it may be.
    Instant m_storeJudged{};
    Instant m_loadsAdvanced{};
};

} // namespace Gypsumtally::Gateway
