#include "gateway/adapterplacer.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration wantLifetime = std::chrono::milliseconds{600}; ///< Nodes repeat their demand more often than this.
constexpr Duration reinspectionDelay = std::chrono::milliseconds{250}; ///< A report is about 200 ms old on arrival.
constexpr Duration maxReportLag = std::chrono::milliseconds{800}; ///< Several times the usual lag of reports.
constexpr Duration baseModelLoadTimeout = std::chrono::seconds{20}; ///< After this, a base model is ordered again.
constexpr Duration inspectionInterval = std::chrono::seconds{8}; ///< Detects lost changes; each call is billed.
/// Idle time before an adapter may be evicted to load another one. Longer than usage reports take to arrive.
constexpr Duration minIdleForWanted = std::chrono::milliseconds{400};
/// Idle time before an adapter may be evicted to keep spare slots free.
constexpr Duration minIdleForSpareSlot = std::chrono::milliseconds{1500};
constexpr double crowdedFactor = 1.4; ///< Multiple of the mean load; a more loaded engine gets no new adapters.
constexpr double crowdedSlackShare = 1.0 / 16; ///< Fraction of the slots, added to the crowded load.
constexpr double unfitPreference = 0.01; ///< Weight of engines that have failed the waiting request.
/// Weight of engines that cache the adapter: such loads are fast and not billed.
constexpr double cachedPreference = 4;
constexpr double newRegionPreference = 6; ///< Weight of regions without a copy: callers there avoid cross-region calls.
constexpr double minFurtherCopyRate = 1; ///< Requests per second below which an adapter gets no further copy.
/// Value of furtherCopyNeed() from which an adapter gets a copy out of turn, as a multiple of the request rate that its
/// copies are meant for.
constexpr double urgentNeed = 2;
constexpr double minWantedRate = 0.1; ///< Requests per second assumed at least for an adapter with waiting requests.
constexpr double outdatedNeed = 1000; ///< Gives priority to a hot adapter whose newest version has no copy.
/// Minimum use of the store, as a fraction of the loads that it serves at full speed, for a timely load to show that it
/// has capacity left.
constexpr double minInformativeStoreUse = 0.7;
/// A load delayed by more than this is broadcast again.
constexpr Duration announcementSlack = std::chrono::milliseconds{40};
constexpr int lateLoadDivisor = 4; ///< A late load is assumed to need another 1/4 of the load time.
constexpr Duration storeFactorUpdateInterval = std::chrono::milliseconds{300}; ///< About the duration of one load.
constexpr double maxLateShare = 0.1; ///< Fraction of late loads above which the store is slower than estimated.
constexpr double storeFactorGrowth = 1.08;
constexpr double initialStoreFactorGrowth = 1.3; ///< Used until loads are late for the first time.
constexpr double storeFactorReduction = 0.9;
constexpr double minStoreFactor = 0.25;
constexpr double maxStoreFactor = 8;
constexpr std::size_t maxDemand = 20000; ///< Tracked targets above which those with little demand are dropped.
constexpr double minTrackedRate = 0.01; ///< Requests per second below which a target is dropped.

/// Returns the load, in in-flight requests, above which an engine gets no new adapters. @p mean is the mean load of
/// the service's engines.
double crowdedLoad(double mean, unsigned slots)
{
    return crowdedFactor * mean + crowdedSlackShare * slots;
}

bool isAdapter(const ModelTarget &target)
{
    return !adapterOf(target).empty();
}

} // namespace

AdapterPlacer::AdapterPlacer(PlacerSettings settings)
    : m_settings(settings)
{
}

void AdapterPlacer::setEngines(const std::vector<PlacedEngine> &engines, const std::vector<PlacedModel> &models)
{
    m_models = models;
    std::set<std::string> present;
    for (const auto &placed : engines) {
        present.insert(placed.instance);
        auto &engine = m_engines[placed.instance];
        if (engine.placed.startedAt != placed.startedAt || engine.placed.instance.empty()) {
            engine = Engine{};
            if (placed.cachedAdapters)
                engine.cachedAdapters = *placed.cachedAdapters;
        }
        engine.placed = placed;
    }
    std::erase_if(m_engines, [&](const auto &item) { return !present.contains(item.first); });
}

void AdapterPlacer::setFleetView(FleetView view)
{
    m_fleet = std::move(view);
}

double AdapterPlacer::rateOf(const ModelTarget &target, Instant now) const
{
    const auto it = m_demand.find(target);
    if (it == m_demand.end())
        return 0;
    return it->second.requests.perSecond(now);
}

void AdapterPlacer::count(const std::string &service, const ModelTarget &target, double requests, Instant now)
{
    auto &demand = m_demand[target];
    demand.requests.count(now, requests);
    demand.service = service;
}

void AdapterPlacer::onWanted(const std::string &service, const ModelTarget &target, unsigned requests,
                             const std::vector<std::string> &unfit, Instant now)
{
    auto &demand = m_demand[target];
    if (now - demand.wantedAt > wantLifetime)
        count(service, target, requests, now);
    demand.unfit = {unfit.begin(), unfit.end()};
    demand.service = service;
    demand.wantedAt = now;
}

void AdapterPlacer::onUsed(const std::string &service, const ModelTarget &target, double requests, Instant now)
{
    count(service, target, requests, now);
    for (auto &[instance, engine] : m_engines) {
        if (const auto copy = engine.copies.find(target); copy != engine.copies.end())
            copy->second.lastUsed = now;
    }
}

void AdapterPlacer::onVersionDeclared(const ModelTarget &target, std::uint64_t version)
{
    auto &declared = m_declared[target];
    declared = std::max(declared, version);
}

std::uint64_t AdapterPlacer::newestVersion(const ModelTarget &target) const
{
    const auto it = m_declared.find(target);
    return it == m_declared.end() ? 0 : it->second;
}

bool AdapterPlacer::canOrder(const Engine &engine) const
{
    return engine.isSynced && !engine.pendingOrder && engine.placed.takesOrders;
}

unsigned AdapterPlacer::used(const Engine &engine) const
{
    auto count = engine.copies.size();
    const auto add = [&](const EngineOrder &order) {
        if (order.kind == OrderKind::Load && isAdapter(order.target) && !engine.copies.contains(order.target))
            ++count;
    };
    if (engine.pendingOrder)
        add(*engine.pendingOrder);
    std::ranges::for_each(engine.unansweredOrders, add);
    return static_cast<unsigned>(count);
}

unsigned AdapterPlacer::usedSlots(const std::string &instance) const
{
    const auto it = m_engines.find(instance);
    return it == m_engines.end() ? 0 : used(it->second);
}

unsigned AdapterPlacer::loadingCount(const Engine &engine, Instant now) const
{
    const auto loading = std::ranges::count_if(
        engine.copies, [&](const auto &item) { return !item.second.unloading && item.second.usableAt > now; });
    return static_cast<unsigned>(loading);
}

unsigned AdapterPlacer::loadingOnAllEngines(Instant now) const
{
    unsigned sum = 0;
    for (const auto &[instance, engine] : m_engines)
        sum += loadingCount(engine, now);
    return sum;
}

void AdapterPlacer::restoreStoreFactor(double factor)
{
    if (!(factor > 0))
        return;
    m_storeFactor = std::clamp(factor, minStoreFactor, maxStoreFactor);
    m_storeLimitReached = true;
}

double AdapterPlacer::loadsAtFullSpeed() const
{
    const auto engines = std::max(m_engines.size(), m_fleet.engines);
    const double all = std::max<double>(m_settings.minLoadsAtFullSpeed,
                                        m_settings.loadsAtFullSpeedPerEngine * static_cast<double>(engines));
    return all * m_fleet.storeShare * m_storeFactor;
}

/// Corrects the estimated capacity of the weight store. A load counts as timely if the store was near its limit
/// when the load began and the engine has rejected no request for the adapter until reinspectionDelay after its end.
void AdapterPlacer::updateStoreFactor(Instant now)
{
    for (auto &[instance, engine] : m_engines) {
        for (auto &[target, copy] : engine.copies) {
            if (copy.storeUse > 0 && now - copy.usableAt >= reinspectionDelay
                && std::exchange(copy.storeUse, 0) >= minInformativeStoreUse)
                ++m_timelyLoads;
        }
    }
    if (now - m_storeFactorUpdatedAt < storeFactorUpdateInterval)
        return;
    m_storeFactorUpdatedAt = now;
    const auto late = std::exchange(m_lateLoads, 0);
    const auto timely = std::exchange(m_timelyLoads, 0);
    if (late > maxLateShare * (late + timely)) {
        m_storeFactor = std::max(minStoreFactor, m_storeFactor * storeFactorReduction);
        m_storeLimitReached = true;
    } else if (timely > 0) {
        m_storeFactor = std::min(maxStoreFactor,
                                 m_storeFactor * (m_storeLimitReached ? storeFactorGrowth : initialStoreFactorGrowth));
    }
}

/// Advances all loads in progress, which share the store's throughput: each new load delays the others. Adds
/// updates for loads that end noticeably later than last broadcast.
void AdapterPlacer::advanceLoadProgress(Instant now)
{
    const auto passed = now - std::exchange(m_loadsAdvancedAt, now);
    unsigned loadsInProgress = 0;
    for (const auto &[instance, engine] : m_engines)
        loadsInProgress += static_cast<unsigned>(std::ranges::count_if(
            engine.copies, [](const auto &item) { return item.second.remainingLoadTime > Duration{}; }));
    if (loadsInProgress == 0)
        return;
    const double speed = std::min(1.0, loadsAtFullSpeed() / loadsInProgress);
    for (auto &[instance, engine] : m_engines) {
        for (auto &[target, copy] : engine.copies) {
            if (copy.remainingLoadTime == Duration{})
                continue;
            copy.remainingLoadTime
                = std::max(Duration{}, copy.remainingLoadTime - std::chrono::duration_cast<Duration>(passed * speed));
            copy.usableAt = now + std::chrono::duration_cast<Duration>(copy.remainingLoadTime / speed);
            if (copy.usableAt > copy.announcedUsableAt + announcementSlack && !copy.unloading) {
                copy.announcedUsableAt = copy.usableAt;
                m_updates.push_back({instance, target, copy.version, false, copy.usableAt});
            }
        }
    }
}

void AdapterPlacer::buildPlanCache(Instant now)
{
    m_planCache = {};
    std::unordered_map<std::string, unsigned> engines;
    for (const auto &[instance, engine] : m_engines) {
        const auto loadingHere = loadingCount(engine, now);
        m_planCache.loadingByEngine[instance] = loadingHere;
        m_planCache.loading += loadingHere;
        if (!engine.placed.takesOrders)
            continue;
        m_planCache.meanLoads[engine.placed.service] += engine.placed.load;
        ++engines[engine.placed.service];
        for (const auto &[target, copy] : engine.copies) {
            if (isCurrent(target, copy))
                ++m_planCache.copies[target];
        }
        if (engine.pendingOrder && engine.pendingOrder->kind == OrderKind::Load
            && !serves(engine, engine.pendingOrder->target)) {
            ++m_planCache.copies[engine.pendingOrder->target];
            ++m_planCache.loading;
        }
    }
    for (auto &[service, load] : m_planCache.meanLoads) {
        load /= engines[service];
        if (const auto all = m_fleet.meanLoads.find(service); all != m_fleet.meanLoads.end())
            load = all->second;
    }
}

bool AdapterPlacer::isCurrent(const ModelTarget &target, const Copy &copy) const
{
    return !copy.unloading && copy.version >= newestVersion(target);
}

bool AdapterPlacer::isLoadOrdered(const Engine &engine, const ModelTarget &target)
{
    return engine.pendingOrder && engine.pendingOrder->kind == OrderKind::Load && engine.pendingOrder->target == target;
}

bool AdapterPlacer::serves(const Engine &engine, const ModelTarget &target) const
{
    const auto copy = engine.copies.find(target);
    return copy != engine.copies.end() && isCurrent(target, copy->second);
}

unsigned AdapterPlacer::copiesOf(const ModelTarget &target) const
{
    const auto it = m_planCache.copies.find(target);
    return it == m_planCache.copies.end() ? 0 : it->second;
}

std::optional<AdapterPlacer::PlanCache::Victim> AdapterPlacer::victimOf(const Engine &engine, Duration idleTime,
                                                                        Instant now) const
{
    std::optional<PlanCache::Victim> victim;
    for (const auto &[target, copy] : engine.copies) {
        if (copy.unloading || copy.usableAt > now || now - std::max(copy.lastUsed, copy.usableAt) < idleTime)
            continue;
        const bool outdated = copy.version < newestVersion(target);
        const auto elsewhere = m_fleet.copies.find(target);
        const auto copies = copiesOf(target) + (elsewhere == m_fleet.copies.end() ? 0 : elsewhere->second.count);
        const double rate = outdated ? -1 : rateOf(target, now) / std::max(1U, copies);
        if (!victim || rate < victim->rate)
            victim = PlanCache::Victim{target, rate};
    }
    return victim;
}

const std::optional<AdapterPlacer::PlanCache::Victim> &AdapterPlacer::cachedVictim(const Engine &engine, Instant now)
{
    const auto [it, isNew] = m_planCache.victims.try_emplace(engine.placed.instance);
    if (isNew)
        it->second = victimOf(engine, minIdleForWanted, now);
    return it->second;
}

void AdapterPlacer::order(Engine &engine, OrderKind kind, const ModelTarget &target, PlacerActions &actions)
{
    EngineOrder order{++m_lastOrder, engine.placed.instance, kind, target, 0, engine.orders};
    if (kind == OrderKind::Load && isAdapter(target))
        order.version = newestVersion(target);
    if (kind == OrderKind::Unload) {
        engine.copies[target].unloading = true;
        m_updates.push_back({engine.placed.instance, target, 0, true, {}});
    }
    engine.pendingOrder = order;
    if (kind == OrderKind::Load) {
        ++m_planCache.copies[target];
        ++m_planCache.loading;
    }
    actions.orders.push_back(order);
}

void AdapterPlacer::place(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions)
{
    const std::string model(baseOf(target));
    const auto &service = demand.service;
    const double mean = meanLoad(service);
    const bool isWanted = demand.wantedAt != Instant{};
    const bool isHeld = m_fleet.copies.contains(target) || copiesOf(target) > 0;
    const double rate = std::max(rateOf(target, now), minWantedRate);
    std::set<std::string> regions; // Regions that already have a copy.
    for (const auto &[instance, engine] : m_engines) {
        if (engine.placed.service == service && serves(engine, target))
            regions.insert(engine.placed.region);
    }
    Engine *best = nullptr;
    double bestScore = 0;
    const auto key = XXH3_64bits(target.data(), target.size());
    for (auto &[instance, engine] : m_engines) {
        if (engine.placed.service != service || !canOrder(engine) || !engine.models.contains(model)
            || m_planCache.loadingByEngine[instance] >= m_settings.loadsPerEngine || serves(engine, target))
            continue;
        const bool isBusy = engine.placed.load >= engine.placed.slots;
        if (isBusy && isHeld)
            continue; // A copy on a busy engine would help as little as the existing ones.
        if (!canMakeRoomFor(engine, rate, now))
            continue;
        const bool full = used(engine) >= engine.placed.adapterSlots;
        double score = rendezvousScore(key, instance);
        if (isWanted && demand.unfit.contains(instance))
            score *= unfitPreference;
        else if (engine.cachedAdapters.contains(target))
            score *= cachedPreference;
        if (isBusy)
            score *= 1e-6;
        else if (engine.placed.load > crowdedLoad(mean, engine.placed.slots))
            score *= 0.01;
        if (!regions.contains(engine.placed.region))
            score *= newRegionPreference;
        if (full)
            score *= 0.1;
        if (engine.copies.contains(target))
            score *= 0.001; // The load would have to wait for requests of the older version.
        if (!best || score > bestScore) {
            best = &engine;
            bestScore = score;
        }
    }
    if (best)
        loadOn(*best, target, now, actions);
}

/// Returns true if @p engine has a free adapter slot or can evict an adapter that serves fewer than @p rate requests
/// per second.
bool AdapterPlacer::canMakeRoomFor(const Engine &engine, double rate, Instant now)
{
    if (used(engine) < engine.placed.adapterSlots)
        return true;
    const auto &victim = cachedVictim(engine, now);
    return victim && victim->rate < rate;
}

void AdapterPlacer::loadOn(Engine &engine, const ModelTarget &target, Instant now, PlacerActions &actions)
{
    if (engine.copies.contains(target) || used(engine) < engine.placed.adapterSlots)
        order(engine, OrderKind::Load, target, actions);
    else
        order(engine, OrderKind::Unload, cachedVictim(engine, now)->target, actions);
}

bool AdapterPlacer::reload(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions)
{
    if (newestVersion(target) > 0)
        return false; // An engine may cache an older version.
    const std::string model(baseOf(target));
    const double rate = std::max(rateOf(target, now), minWantedRate);
    Engine *best = nullptr;
    bool isAwaited = false;
    for (auto &[instance, engine] : m_engines) {
        if (engine.placed.service != demand.service || demand.unfit.contains(instance) || !engine.placed.takesOrders
            || !engine.isSynced || !engine.models.contains(model) || !engine.cachedAdapters.contains(target)
            || serves(engine, target) || engine.placed.load >= engine.placed.slots
            || !canMakeRoomFor(engine, rate, now))
            continue;
        if (!canOrder(engine) || m_planCache.loadingByEngine[instance] >= m_settings.loadsPerEngine)
            isAwaited = true;
        else if (!best || engine.placed.load < best->placed.load)
            best = &engine;
    }
    if (best)
        loadOn(*best, target, now, actions);
    return best || isAwaited;
}

bool AdapterPlacer::answerFromCopies(const ModelTarget &target, const Demand &demand)
{
    bool found = false;
    for (const auto &[instance, engine] : m_engines) {
        if (engine.placed.service != demand.service || demand.unfit.contains(instance) || !engine.placed.takesOrders)
            continue;
        if (isLoadOrdered(engine, target))
            return true;
        if (!serves(engine, target))
            continue;
        found = true;
        const auto &copy = engine.copies.at(target);
        m_answers.push_back({instance, target, copy.version, false, copy.usableAt});
    }
    return found;
}

void AdapterPlacer::placeWanted(Instant now, PlacerActions &actions)
{
    std::vector<std::pair<double, ModelTarget>> wanted;
    for (const auto &[target, demand] : m_demand) {
        if (isAdapter(target) && demand.wantedAt != Instant{} && now - demand.wantedAt <= wantLifetime)
            wanted.emplace_back(-rateOf(target, now), target);
    }
    std::ranges::sort(wanted);
    for (const auto &[rate, target] : wanted) {
        auto &demand = m_demand[target];
        if (answerFromCopies(target, demand)) {
            demand.wantedAt = {};
            continue;
        }
        if (reload(target, demand, now, actions))
            continue;
        // Further concurrent loads would slow down all of them; targets with the highest rate go first.
        if (static_cast<double>(m_planCache.loading) < m_settings.wantedLoads * loadsAtFullSpeed())
            place(target, demand, now, actions);
    }
}

double AdapterPlacer::meanLoad(const std::string &service) const
{
    const auto it = m_planCache.meanLoads.find(service);
    return it == m_planCache.meanLoads.end() ? 0 : it->second;
}

double AdapterPlacer::furtherCopyNeed(const ModelTarget &target, const Demand &demand, Instant now) const
{
    if (demand.requests.lastWeight() < minFurtherCopyRate) // An upper bound on the rate.
        return 0;
    const double rate = rateOf(target, now);
    if (rate < minFurtherCopyRate)
        return 0;
    unsigned copies = 0;
    double lightest = std::numeric_limits<double>::infinity();
    unsigned slots = 1;
    for (const auto &[instance, engine] : m_engines) {
        if (engine.placed.service != demand.service || !engine.placed.takesOrders)
            continue;
        const bool isOrdered = isLoadOrdered(engine, target);
        if (!isOrdered && !serves(engine, target))
            continue;
        ++copies;
        slots = std::max(slots, engine.placed.slots);
        lightest = std::min(lightest, isOrdered ? 0 : engine.placed.load);
    }
    if (const auto elsewhere = m_fleet.copies.find(target); elsewhere != m_fleet.copies.end()) {
        copies += elsewhere->second.count;
        lightest = std::min(lightest, elsewhere->second.lightestLoad);
    }
    const bool isNext = !m_fleet.isNext || m_fleet.isNext(target, copies);
    if (copies == 0) // Adapters without a declared version are placed on demand.
        return newestVersion(target) > 0 && isNext ? outdatedNeed + rate : 0;
    double need = rate / (m_settings.requestsPerCopy * copies);
    if (lightest > crowdedLoad(meanLoad(demand.service), slots))
        need = std::max(need, 1 + rate);
    // Placers take turns. An urgent need ignores turns, since the placer whose turn it is may have no room.
    return isNext || need >= urgentNeed ? need : 0;
}

void AdapterPlacer::placeFurtherCopies(Instant now, PlacerActions &actions)
{
    std::vector<std::pair<double, ModelTarget>> candidates;
    for (const auto &[target, demand] : m_demand) {
        if (!isAdapter(target))
            continue;
        if (const double need = furtherCopyNeed(target, demand, now); need > 1)
            candidates.emplace_back(-need, target);
    }
    std::ranges::sort(candidates);
    for (const auto &[need, target] : candidates) {
        if (static_cast<double>(m_planCache.loading) >= m_settings.furtherLoads * loadsAtFullSpeed())
            return;
        place(target, m_demand[target], now, actions);
    }
}

/// Unloads copies that may not serve any more, so that an engine refuses requests of nodes that do not know so yet.
void AdapterPlacer::unloadSuperseded(Instant now, PlacerActions &actions)
{
    if (!m_fleet.oldestUsable)
        return;
    for (const auto &[target, newest] : m_declared) {
        const auto oldest = m_fleet.oldestUsable(target);
        for (auto &[instance, engine] : m_engines) {
            const auto copy = engine.copies.find(target);
            if (copy == engine.copies.end() || !canOrder(engine))
                continue;
            const auto &held = copy->second;
            if (held.version < oldest && held.usableAt <= now && !held.unloading)
                order(engine, OrderKind::Unload, target, actions);
        }
    }
}

void AdapterPlacer::freeSlots(Instant now, PlacerActions &actions)
{
    for (auto &[instance, engine] : m_engines) {
        if (!canOrder(engine) || used(engine) + m_settings.spareSlots <= engine.placed.adapterSlots)
            continue;
        if (const auto victim = victimOf(engine, minIdleForSpareSlot, now))
            order(engine, OrderKind::Unload, victim->target, actions);
    }
}

bool AdapterPlacer::mayLoadFromStore(Engine &engine, const PlacedModel &model, Instant now)
{
    if (engine.emptySince == Instant{})
        engine.emptySince = now;
    if (m_weightLoads.size() >= m_settings.weightLoadsPerWindow)
        return false;
    // Concurrent loads from the store slow each other down, so empty engines of all placers take turns.
    const auto &empty = m_fleet.emptyEngines;
    const auto turn = std::ranges::find(empty, engine.placed.instance) - empty.begin();
    return now - engine.emptySince >= model.loadTime * turn;
}

void AdapterPlacer::placeModels(Instant now, PlacerActions &actions)
{
    while (!m_weightLoads.empty() && now - m_weightLoads.front() > m_settings.weightLoadWindow)
        m_weightLoads.pop_front();
    for (auto &[instance, engine] : m_engines) {
        if (!canOrder(engine) || !engine.models.empty() || engine.busyUntil > now)
            continue;
        const auto model = std::ranges::find(m_models, engine.placed.service, &PlacedModel::service);
        if (model == m_models.end())
            continue;
        if (!engine.placed.storedModels.contains(model->model)) {
            if (!mayLoadFromStore(engine, *model, now))
                continue;
            m_weightLoads.push_back(now);
        }
        order(engine, OrderKind::Load, model->model, actions);
    }
}

void AdapterPlacer::inspect(Engine &engine, Instant now, PlacerActions &actions)
{
    engine.inspecting = true;
    engine.inspectAt = now + inspectionInterval;
    actions.inspections.push_back(engine.placed.instance);
}

PlacerActions AdapterPlacer::plan(Instant now)
{
    PlacerActions actions;
    for (auto &[instance, engine] : m_engines) {
        if (!engine.inspecting && now >= engine.inspectAt && engine.placed.takesOrders)
            inspect(engine, now, actions);
    }
    advanceLoadProgress(now);
    updateStoreFactor(now);
    buildPlanCache(now);
    placeModels(now, actions);
    placeFurtherCopies(now, actions);
    placeWanted(now, actions);
    unloadSuperseded(now, actions);
    freeSlots(now, actions);
    if (m_demand.size() > maxDemand)
        std::erase_if(m_demand, [&](const auto &item) { return rateOf(item.first, now) < minTrackedRate; });
    actions.updates = std::exchange(m_updates, {});
    actions.answers = std::exchange(m_answers, {});
    return actions;
}

void AdapterPlacer::applyStarted(Engine &engine, const EngineOrder &order, Instant now)
{
    if (order.kind == OrderKind::Unload)
        return;
    if (!isAdapter(order.target)) {
        engine.busyUntil = now + baseModelLoadTimeout;
        return;
    }
    const bool isReload = engine.cachedAdapters.contains(order.target) && order.version == 0;
    const double storeUse = (loadingOnAllEngines(now) + 1.0) / loadsAtFullSpeed();
    const auto time = isReload ? m_settings.adapterReloadTime : m_settings.adapterLoadTime;
    const double delay = isReload ? 1 : std::max(1.0, storeUse);
    const auto usableAt = now + std::chrono::duration_cast<Duration>(time * delay);
    Copy copy{order.version, usableAt, usableAt, false, isReload, 0, {}, usableAt};
    if (!isReload) {
        copy.storeUse = storeUse;
        copy.remainingLoadTime = time;
    }
    engine.copies[order.target] = copy;
    engine.cachedAdapters.onHeld(order.target);
    m_updates.push_back({engine.placed.instance, order.target, order.version, false, usableAt});
}

void AdapterPlacer::dropVoidOrders(Engine &engine)
{
    // An unanswered order can only be carried out while the engine's counter equals the expected value.
    std::erase_if(engine.unansweredOrders, [&](const EngineOrder &order) {
        const bool isVoid = order.expected < engine.orders;
        if (isVoid)
            cancelUnload(engine, order);
        return isVoid;
    });
}

void AdapterPlacer::cancelUnload(Engine &engine, const EngineOrder &order)
{
    if (order.kind != OrderKind::Unload)
        return;
    if (const auto copy = engine.copies.find(order.target); copy != engine.copies.end())
        copy->second.unloading = false;
}

void AdapterPlacer::onAnswer(const EngineOrder &order, OrderOutcome outcome, Instant now)
{
    const auto it = m_engines.find(order.instance);
    if (it == m_engines.end() || !it->second.pendingOrder || it->second.pendingOrder->id != order.id)
        return;
    auto &engine = it->second;
    engine.pendingOrder.reset();
    switch (outcome) {
    case OrderOutcome::Started:
        engine.orders = order.expected + 1;
        engine.acceptedAt = now;
        dropVoidOrders(engine);
        applyStarted(engine, order, now);
        if (order.kind == OrderKind::Unload || !isAdapter(order.target))
            engine.inspectAt = std::min(engine.inspectAt, now + 4 * reinspectionDelay);
        return;
    case OrderOutcome::Done:
        if (order.kind == OrderKind::Unload) {
            engine.copies.erase(order.target);
            engine.orders = order.expected + 1;
            engine.acceptedAt = now;
            dropVoidOrders(engine);
        } else if (isAdapter(order.target)) {
            engine.copies.try_emplace(order.target, Copy{order.version, now, now, false, false, 0, {}, {}});
            m_updates.push_back({order.instance, order.target, order.version, false, now});
        }
        return;
    case OrderOutcome::Unknown:
        // The order counter in a later answer or report shows whether this order was carried out.
        engine.unansweredOrders.push_back(order);
        engine.inspectAt = std::min(engine.inspectAt, now + reinspectionDelay);
        return;
    case OrderOutcome::Conflict:
        cancelUnload(engine, order);
        engine.inspectAt = now + reinspectionDelay;
        break;
    case OrderOutcome::Refused:
        cancelUnload(engine, order);
        engine.inspectAt = now + 4 * reinspectionDelay;
        break;
    }
    engine.isSynced = false;
}

void AdapterPlacer::onMissing(const std::string &instance, const ModelTarget &target, Instant now)
{
    const auto it = m_engines.find(instance);
    if (it == m_engines.end())
        return;
    auto &engine = it->second;
    const auto copy = engine.copies.find(target);
    const bool isLoading = copy != engine.copies.end() && now - copy->second.usableAt < reinspectionDelay;
    if (isLoading) {
        if (std::exchange(copy->second.storeUse, 0) > 0)
            ++m_lateLoads;
        if (std::exchange(copy->second.isReload, false))
            engine.cachedAdapters.onCacheMiss();
        // Extends the load time, so that nodes with other waiting requests are notified of the delay.
        copy->second.remainingLoadTime
            = std::max(copy->second.remainingLoadTime, m_settings.adapterLoadTime / lateLoadDivisor);
    }
    if (copy == engine.copies.end() || isLoading)
        return;
    engine.copies.erase(copy);
    engine.isSynced = false;
    engine.inspectAt = now;
}

void AdapterPlacer::onReport(const std::string &instance, const std::optional<EngineReport> &report, Instant now)
{
    const auto it = m_engines.find(instance);
    if (it == m_engines.end())
        return;
    auto &engine = it->second;
    engine.inspecting = false;
    if (!report) {
        engine.inspectAt = now + 2 * reinspectionDelay;
        return;
    }
    // Reports lag behind, so one with a lower counter is ignored at first. If the counter stays lower, it is correct:
    // an engine answers a repeated order that is already in progress like a new one but does not count it.
    const bool isOld = report->orders < engine.orders && now - engine.acceptedAt < maxReportLag;
    if (isOld || engine.pendingOrder) {
        engine.inspectAt = now + reinspectionDelay;
        return;
    }
    engine.orders = report->orders;
    engine.isSynced = true;
    dropVoidOrders(engine);
    const auto before = std::exchange(engine.copies, {});
    engine.models.clear();
    const auto take = [&](const ListedTarget &listed, bool isLoading) {
        if (!isAdapter(listed.target)) {
            engine.models.insert(listed.target);
            return;
        }
        const auto known = before.find(listed.target);
        engine.cachedAdapters.onHeld(listed.target);
        Copy copy{listed.version, now, now - minIdleForSpareSlot, false, false, 0, {}, {}};
        if (known != before.end()) {
            copy.lastUsed = known->second.lastUsed;
            copy.unloading = known->second.unloading;
            copy.isReload = known->second.isReload;
            copy.storeUse = known->second.storeUse;
            copy.announcedUsableAt = known->second.announcedUsableAt;
            if (isLoading)
                copy.remainingLoadTime = known->second.remainingLoadTime;
            if (known->second.version > listed.version)
                copy.version = known->second.version;
        }
        if (isLoading)
            copy.usableAt
                = known != before.end() ? std::max(known->second.usableAt, now) : now + m_settings.adapterLoadTime;
        engine.copies[listed.target] = copy;
    };
    for (const auto &listed : report->held)
        take(listed, false);
    for (const auto &listed : report->coming)
        take(listed, true);
    for (const auto &[target, copy] : before) {
        // The report may predate the effect of the last orders.
        if (!copy.unloading && now - copy.usableAt < reinspectionDelay)
            engine.copies.try_emplace(target, copy);
    }
    const bool hasLoaded = !engine.models.empty() || (!report->busy && now - engine.acceptedAt > maxReportLag);
    if (hasLoaded)
        engine.busyUntil = now;
    engine.inspectAt = now + inspectionInterval;
    const bool unsettled
        = report->busy || engine.models.empty()
          || std::ranges::any_of(engine.copies, [](const auto &item) { return item.second.unloading; });
    if (unsettled)
        engine.inspectAt = now + 2 * reinspectionDelay;
}

} // namespace Gypsumtally::Gateway
