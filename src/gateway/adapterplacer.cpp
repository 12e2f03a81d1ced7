#include "gateway/adapterplacer.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration wantLifetime = std::chrono::milliseconds{600}; ///< Nodes repeat what they want more often.
constexpr Duration inspectPause = std::chrono::milliseconds{250}; ///< A report is some 200 ms old.
constexpr Duration oldestReport = std::chrono::milliseconds{800}; ///< Several times the usual lag.
constexpr Duration longestWeightLoad = std::chrono::seconds{20}; ///< Until a base model is ordered once more.
constexpr Duration routineInspection = std::chrono::seconds{8}; ///< Finds what was lost otherwise; a priced call.
constexpr Duration wantedVictimIdle = std::chrono::milliseconds{400}; ///< Longer than usage takes to be told.
constexpr Duration routineVictimIdle = std::chrono::milliseconds{1500};
constexpr double crowdedFactor = 1.4; ///< Of the mean load; above this an engine gets no new adapters.
constexpr double crowdedSlackPart = 1.0 / 16; ///< Of the slots.
constexpr double unfitPreference = 0.01; ///< Engines that have failed the request that waits.
constexpr double keptPreference = 4; ///< Loads from what an engine keeps are fast and not priced.
constexpr double newRegionPreference = 6; ///< A further copy spares its region's callers the way to another one.
constexpr double leastRateOfFurtherCopy = 1; ///< Requests a second.
constexpr double pressingNeed = 2; ///< Twice the rate that the copies are meant for.
constexpr double leastRateOfWanted = 0.1; ///< Of an adapter that a request waits for.
constexpr double outdatedNeed = 1000; ///< A hot adapter with a new version and no copy of it comes first.
constexpr double tellingStoreUse = 0.7; ///< Below it a load in time says nothing of what the store can serve.
constexpr Duration toldSlack = std::chrono::milliseconds{40}; ///< A load that ends later by more is told anew.
constexpr int lateLoadParts = 4; ///< Of the time of a load: what one that is late is taken to need still.
constexpr Duration storeJudgingPause = std::chrono::milliseconds{300}; ///< About the time of a load.
constexpr double mostLatePart = 0.1; ///< Of the loads; more of them show that the store is slower than was reckoned.
constexpr double timelyLoadFactor = 1.08;
constexpr double firstTimelyLoadFactor = 1.3; ///< Until loads are late for the first time.
constexpr double lateLoadFactor = 0.9;
constexpr double leastStoreFactor = 0.25;
constexpr double mostStoreFactor = 8;
constexpr std::size_t maxDemand = 20000;
constexpr double forgottenWeight = 0.01;

/// Returns the requests above which an engine of a service with @p mean of them gets no new adapters.
double crowdedLoad(double mean, unsigned slots)
{
    return crowdedFactor * mean + crowdedSlackPart * slots;
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
            if (placed.kept)
                engine.kept = *placed.kept;
        }
        engine.placed = placed;
    }
    std::erase_if(m_engines, [&](const auto &item) { return !present.contains(item.first); });
}

void AdapterPlacer::setSurroundings(PlacerSurroundings surroundings)
{
    m_contextEvents = std::move(surroundings);
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
    return engine.known && !engine.open && engine.placed.takesOrders;
}

unsigned AdapterPlacer::used(const Engine &engine) const
{
    auto count = engine.copies.size();
    const auto add = [&](const EngineOrder &order) {
        if (order.kind == OrderKind::Load && isAdapter(order.target) && !engine.copies.contains(order.target))
            ++count;
    };
    if (engine.open)
        add(*engine.open);
    std::ranges::for_each(engine.late, add);
    return static_cast<unsigned>(count);
}

unsigned AdapterPlacer::usedSlots(const std::string &instance) const
{
    const auto it = m_engines.find(instance);
    return it == m_engines.end() ? 0 : used(it->second);
}

unsigned AdapterPlacer::coming(const Engine &engine, Instant now) const
{
    const auto onTheirWay = std::ranges::count_if(
        engine.copies, [&](const auto &item) { return !item.second.leaving && item.second.usableAt > now; });
    return static_cast<unsigned>(onTheirWay);
}

unsigned AdapterPlacer::comingEverywhere(Instant now) const
{
    unsigned sum = 0;
    for (const auto &[instance, engine] : m_engines)
        sum += coming(engine, now);
    return sum;
}

void AdapterPlacer::rememberStore(double factor)
{
    if (!(factor > 0))
        return;
    m_storeFactor = std::clamp(factor, leastStoreFactor, mostStoreFactor);
    m_storeLimitMet = true;
}

double AdapterPlacer::loadsAtFullSpeed() const
{
    const auto engines = std::max(m_engines.size(), m_contextEvents.engines);
    const double all = std::max<double>(m_settings.leastLoadsAtFullSpeed,
                                        m_settings.loadsAtFullSpeedPerEngine * static_cast<double>(engines));
    return all * m_contextEvents.shareOfStore * m_storeFactor;
}

/// Corrects what the store is taken to serve: loads that have ended while it was about as busy as it may be, and that
/// nobody has missed since, were in time.
void AdapterPlacer::judgeLoads(Instant now)
{
    for (auto &[instance, engine] : m_engines) {
        for (auto &[target, copy] : engine.copies) {
            if (copy.storeUse > 0 && now - copy.usableAt >= inspectPause
                && std::exchange(copy.storeUse, 0) >= tellingStoreUse)
                ++m_timelyLoads;
        }
    }
    if (now - m_storeJudged < storeJudgingPause)
        return;
    m_storeJudged = now;
    const auto late = std::exchange(m_lateLoads, 0);
    const auto timely = std::exchange(m_timelyLoads, 0);
    if (late > mostLatePart * (late + timely)) {
        m_storeFactor = std::max(leastStoreFactor, m_storeFactor * lateLoadFactor);
        m_storeLimitMet = true;
    } else if (timely > 0) {
        m_storeFactor
            = std::min(mostStoreFactor, m_storeFactor * (m_storeLimitMet ? timelyLoadFactor : firstTimelyLoadFactor));
    }
}

/// Loads share what the store serves: each that begins delays all that are under way. Nodes are told where that shows.
void AdapterPlacer::advanceLoads(Instant now)
{
    const auto passed = now - std::exchange(m_loadsAdvanced, now);
    unsigned underWay = 0;
    for (const auto &[instance, engine] : m_engines)
        underWay += static_cast<unsigned>(
            std::ranges::count_if(engine.copies, [](const auto &item) { return item.second.work > Duration{}; }));
    if (underWay == 0)
        return;
    const double speed = std::min(1.0, loadsAtFullSpeed() / underWay);
    for (auto &[instance, engine] : m_engines) {
        for (auto &[target, copy] : engine.copies) {
            if (copy.work == Duration{})
                continue;
            copy.work = std::max(Duration{}, copy.work - std::chrono::duration_cast<Duration>(passed * speed));
            copy.usableAt = now + std::chrono::duration_cast<Duration>(copy.work / speed);
            if (copy.usableAt > copy.told + toldSlack && !copy.leaving) {
                copy.told = copy.usableAt;
                m_news.push_back({instance, target, copy.version, false, copy.usableAt});
            }
        }
    }
}

void AdapterPlacer::overview(Instant now)
{
    m_overview = {};
    std::unordered_map<std::string, unsigned> engines;
    for (const auto &[instance, engine] : m_engines) {
        const auto comingHere = coming(engine, now);
        m_overview.comingTo[instance] = comingHere;
        m_overview.coming += comingHere;
        if (!engine.placed.takesOrders)
            continue;
        m_overview.meanLoads[engine.placed.service] += engine.placed.load;
        ++engines[engine.placed.service];
        for (const auto &[target, copy] : engine.copies) {
            if (isCurrent(target, copy))
                ++m_overview.copies[target];
        }
        if (engine.open && engine.open->kind == OrderKind::Load && !serves(engine, engine.open->target)) {
            ++m_overview.copies[engine.open->target];
            ++m_overview.coming;
        }
    }
    for (auto &[service, load] : m_overview.meanLoads) {
        load /= engines[service];
        if (const auto all = m_contextEvents.meanLoads.find(service); all != m_contextEvents.meanLoads.end())
            load = all->second;
    }
}

bool AdapterPlacer::isCurrent(const ModelTarget &target, const Copy &copy) const
{
    return !copy.leaving && copy.version >= newestVersion(target);
}

bool AdapterPlacer::isLoadOrdered(const Engine &engine, const ModelTarget &target)
{
    return engine.open && engine.open->kind == OrderKind::Load && engine.open->target == target;
}

bool AdapterPlacer::serves(const Engine &engine, const ModelTarget &target) const
{
    const auto copy = engine.copies.find(target);
    return copy != engine.copies.end() && isCurrent(target, copy->second);
}

unsigned AdapterPlacer::copiesOf(const ModelTarget &target) const
{
    const auto it = m_overview.copies.find(target);
    return it == m_overview.copies.end() ? 0 : it->second;
}

std::optional<AdapterPlacer::Overview::Victim> AdapterPlacer::victimOf(const Engine &engine, Duration idleTime,
                                                                       Instant now) const
{
    std::optional<Overview::Victim> victim;
    for (const auto &[target, copy] : engine.copies) {
        if (copy.leaving || copy.usableAt > now || now - std::max(copy.lastUsed, copy.usableAt) < idleTime)
            continue;
        const bool outdated = copy.version < newestVersion(target);
        const auto foreign = m_contextEvents.copies.find(target);
        const auto copies = copiesOf(target) + (foreign == m_contextEvents.copies.end() ? 0 : foreign->second.count);
        const double rate = outdated ? -1 : rateOf(target, now) / std::max(1U, copies);
        if (!victim || rate < victim->rate)
            victim = Overview::Victim{target, rate};
    }
    return victim;
}

const std::optional<AdapterPlacer::Overview::Victim> &AdapterPlacer::wantedVictim(const Engine &engine, Instant now)
{
    const auto [it, isNew] = m_overview.victims.try_emplace(engine.placed.instance);
    if (isNew)
        it->second = victimOf(engine, wantedVictimIdle, now);
    return it->second;
}

void AdapterPlacer::order(Engine &engine, OrderKind kind, const ModelTarget &target, PlacerActions &actions)
{
    EngineOrder order{++m_lastOrder, engine.placed.instance, kind, target, 0, engine.orders};
    if (kind == OrderKind::Load && isAdapter(target))
        order.version = newestVersion(target);
    if (kind == OrderKind::Unload) {
        engine.copies[target].leaving = true;
        m_news.push_back({engine.placed.instance, target, 0, true, {}});
    }
    engine.open = order;
    if (kind == OrderKind::Load) {
        ++m_overview.copies[target];
        ++m_overview.coming;
    }
    actions.orders.push_back(order);
}

void AdapterPlacer::place(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions)
{
    const std::string model(baseOf(target));
    const auto &service = demand.service;
    const double mean = meanLoad(service);
    const bool isWanted = demand.wantedAt != Instant{};
    const bool isHeld = m_contextEvents.copies.contains(target) || copiesOf(target) > 0;
    const double rate = std::max(rateOf(target, now), leastRateOfWanted);
    std::set<std::string> regions; // That have a copy already.
    for (const auto &[instance, engine] : m_engines) {
        if (engine.placed.service == service && serves(engine, target))
            regions.insert(engine.placed.region);
    }
    Engine *best = nullptr;
    double bestScore = 0;
    const auto key = XXH3_64bits(target.data(), target.size());
    for (auto &[instance, engine] : m_engines) {
        if (engine.placed.service != service || !canOrder(engine) || !engine.models.contains(model)
            || m_overview.comingTo[instance] >= m_settings.loadsPerEngine || serves(engine, target))
            continue;
        const bool isBusy = engine.placed.load >= engine.placed.slots;
        if (isBusy && isHeld)
            continue; // A further copy would be as little use there as those that there are.
        if (!hasRoomFor(engine, rate, now))
            continue;
        const bool full = used(engine) >= engine.placed.adapterSlots;
        double score = rendezvousScore(key, instance);
        if (isWanted && demand.unfit.contains(instance))
            score *= unfitPreference;
        else if (engine.kept.contains(target))
            score *= keptPreference;
        if (isBusy)
            score *= 1e-6;
        else if (engine.placed.load > crowdedLoad(mean, engine.placed.slots))
            score *= 0.01;
        if (!regions.contains(engine.placed.region))
            score *= newRegionPreference;
        if (full)
            score *= 0.1;
        if (engine.copies.contains(target))
            score *= 0.001; // It would have to wait for the requests of the older version.
        if (!best || score > bestScore) {
            best = &engine;
            bestScore = score;
        }
    }
    if (best)
        loadOn(*best, target, now, actions);
}

/// Whether @p engine has a place, or an adapter that is asked for less often than @p rate to make way.
bool AdapterPlacer::hasRoomFor(const Engine &engine, double rate, Instant now)
{
    if (used(engine) < engine.placed.adapterSlots)
        return true;
    const auto &victim = wantedVictim(engine, now);
    return victim && victim->rate < rate;
}

void AdapterPlacer::loadOn(Engine &engine, const ModelTarget &target, Instant now, PlacerActions &actions)
{
    if (engine.copies.contains(target) || used(engine) < engine.placed.adapterSlots)
        order(engine, OrderKind::Load, target, actions);
    else
        order(engine, OrderKind::Unload, wantedVictim(engine, now)->target, actions);
}

bool AdapterPlacer::reload(const ModelTarget &target, const Demand &demand, Instant now, PlacerActions &actions)
{
    if (newestVersion(target) > 0)
        return false; // Engines may keep an older one.
    const std::string model(baseOf(target));
    const double rate = std::max(rateOf(target, now), leastRateOfWanted);
    Engine *best = nullptr;
    bool isAwaited = false;
    for (auto &[instance, engine] : m_engines) {
        if (engine.placed.service != demand.service || demand.unfit.contains(instance) || !engine.placed.takesOrders
            || !engine.known || !engine.models.contains(model) || !engine.kept.contains(target)
            || serves(engine, target) || engine.placed.load >= engine.placed.slots || !hasRoomFor(engine, rate, now))
            continue;
        if (!canOrder(engine) || m_overview.comingTo[instance] >= m_settings.loadsPerEngine)
            isAwaited = true;
        else if (!best || engine.placed.load < best->placed.load)
            best = &engine;
    }
    if (best)
        loadOn(*best, target, now, actions);
    return best || isAwaited;
}

bool AdapterPlacer::helps(const ModelTarget &target, const Demand &demand)
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
        if (helps(target, demand)) {
            demand.wantedAt = {};
            continue;
        }
        if (reload(target, demand, now, actions))
            continue;
        // More at once would only make each of them slower; the most wanted ones go first.
        if (static_cast<double>(m_overview.coming) < m_settings.wantedLoads * loadsAtFullSpeed())
            place(target, demand, now, actions);
    }
}

double AdapterPlacer::meanLoad(const std::string &service) const
{
    const auto it = m_overview.meanLoads.find(service);
    return it == m_overview.meanLoads.end() ? 0 : it->second;
}

double AdapterPlacer::needOfFurtherCopy(const ModelTarget &target, const Demand &demand, Instant now) const
{
    if (demand.requests.lastWeight() < leastRateOfFurtherCopy) // Decayed, it is less still.
        return 0;
    const double rate = rateOf(target, now);
    if (rate < leastRateOfFurtherCopy)
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
    if (const auto foreign = m_contextEvents.copies.find(target); foreign != m_contextEvents.copies.end()) {
        copies += foreign->second.count;
        lightest = std::min(lightest, foreign->second.lightestLoad);
    }
    const bool isNext = !m_contextEvents.isNext || m_contextEvents.isNext(target, copies);
    if (copies == 0) // Others are placed when they are wanted.
        return newestVersion(target) > 0 && isNext ? outdatedNeed + rate : 0;
    double need = rate / (m_settings.requestsPerCopy * copies);
    if (lightest > crowdedLoad(meanLoad(demand.service), slots))
        need = std::max(need, 1 + rate);
    // Placers take turns, but for a pressing need, as the one whose turn it is may have no room.
    return isNext || need >= pressingNeed ? need : 0;
}

void AdapterPlacer::placeFurtherCopies(Instant now, PlacerActions &actions)
{
    std::vector<std::pair<double, ModelTarget>> needy;
    for (const auto &[target, demand] : m_demand) {
        if (!isAdapter(target))
            continue;
        if (const double need = needOfFurtherCopy(target, demand, now); need > 1)
            needy.emplace_back(-need, target);
    }
    std::ranges::sort(needy);
    for (const auto &[need, target] : needy) {
        if (static_cast<double>(m_overview.coming) >= m_settings.furtherLoads * loadsAtFullSpeed())
            return;
        place(target, m_demand[target], now, actions);
    }
}

void AdapterPlacer::freeSlots(Instant now, PlacerActions &actions)
{
    for (auto &[instance, engine] : m_engines) {
        if (!canOrder(engine) || used(engine) + m_settings.spareSlots <= engine.placed.adapterSlots)
            continue;
        if (const auto victim = victimOf(engine, routineVictimIdle, now))
            order(engine, OrderKind::Unload, victim->target, actions);
    }
}

bool AdapterPlacer::mayLoadFromStore(Engine &engine, const PlacedModel &model, Instant now)
{
    if (engine.emptySince == Instant{})
        engine.emptySince = now;
    if (m_weightLoads.size() >= m_settings.weightLoadsPerWindow)
        return false;
    // Loads from the store would only slow each other down: empty engines take turns, whoever orders them.
    const auto &empty = m_contextEvents.emptyEngines;
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
    engine.inspectAt = now + routineInspection;
    actions.inspections.push_back(engine.placed.instance);
}

PlacerActions AdapterPlacer::plan(Instant now)
{
    PlacerActions actions;
    for (auto &[instance, engine] : m_engines) {
        if (!engine.inspecting && now >= engine.inspectAt && engine.placed.takesOrders)
            inspect(engine, now, actions);
    }
    advanceLoads(now);
    judgeLoads(now);
    overview(now);
    placeModels(now, actions);
    placeFurtherCopies(now, actions);
    placeWanted(now, actions);
    freeSlots(now, actions);
    if (m_demand.size() > maxDemand)
        std::erase_if(m_demand, [&](const auto &item) { return rateOf(item.first, now) < forgottenWeight; });
    actions.news = std::exchange(m_news, {});
    actions.answers = std::exchange(m_answers, {});
    return actions;
}

void AdapterPlacer::applyStarted(Engine &engine, const EngineOrder &order, Instant now)
{
    if (order.kind == OrderKind::Unload)
        return;
    if (!isAdapter(order.target)) {
        engine.busyUntil = now + longestWeightLoad;
        return;
    }
    const bool isReload = engine.kept.contains(order.target) && order.version == 0;
    const double storeUse = (comingEverywhere(now) + 1.0) / loadsAtFullSpeed();
    const auto time = isReload ? m_settings.adapterReloadTime : m_settings.adapterLoadTime;
    const double delay = isReload ? 1 : std::max(1.0, storeUse);
    const auto usableAt = now + std::chrono::duration_cast<Duration>(time * delay);
    Copy copy{order.version, usableAt, usableAt, false, isReload, 0, {}, usableAt};
    if (!isReload) {
        copy.storeUse = storeUse;
        copy.work = time;
    }
    engine.copies[order.target] = copy;
    engine.kept.onHeld(order.target);
    m_news.push_back({engine.placed.instance, order.target, order.version, false, usableAt});
}

void AdapterPlacer::settleLate(Engine &engine)
{
    // A late order is carried out only while the counter is what it expects.
    std::erase_if(engine.late, [&](const EngineOrder &order) {
        const bool isVoid = order.expected < engine.orders;
        if (isVoid)
            keepAfterAll(engine, order);
        return isVoid;
    });
}

void AdapterPlacer::keepAfterAll(Engine &engine, const EngineOrder &order)
{
    if (order.kind != OrderKind::Unload)
        return;
    if (const auto copy = engine.copies.find(order.target); copy != engine.copies.end())
        copy->second.leaving = false;
}

void AdapterPlacer::onAnswer(const EngineOrder &order, OrderOutcome outcome, Instant now)
{
    const auto it = m_engines.find(order.instance);
    if (it == m_engines.end() || !it->second.open || it->second.open->id != order.id)
        return;
    auto &engine = it->second;
    engine.open.reset();
    switch (outcome) {
    case OrderOutcome::Started:
        engine.orders = order.expected + 1;
        engine.acceptedAt = now;
        settleLate(engine);
        applyStarted(engine, order, now);
        if (order.kind == OrderKind::Unload || !isAdapter(order.target))
            engine.inspectAt = std::min(engine.inspectAt, now + 4 * inspectPause);
        return;
    case OrderOutcome::Done:
        if (order.kind == OrderKind::Unload) {
            engine.copies.erase(order.target);
            engine.orders = order.expected + 1;
            engine.acceptedAt = now;
            settleLate(engine);
        } else if (isAdapter(order.target)) {
            engine.copies.try_emplace(order.target, Copy{order.version, now, now, false, false, 0, {}, {}});
            m_news.push_back({order.instance, order.target, order.version, false, now});
        }
        return;
    case OrderOutcome::Unknown:
        // The counter that the next order expects tells whether this one was carried out.
        engine.late.push_back(order);
        engine.inspectAt = std::min(engine.inspectAt, now + inspectPause);
        return;
    case OrderOutcome::Conflict:
        keepAfterAll(engine, order);
        engine.inspectAt = now + inspectPause;
        break;
    case OrderOutcome::Refused:
        keepAfterAll(engine, order);
        engine.inspectAt = now + 4 * inspectPause;
        break;
    }
    engine.known = false;
}

void AdapterPlacer::onMissing(const std::string &instance, const ModelTarget &target, Instant now)
{
    const auto it = m_engines.find(instance);
    if (it == m_engines.end())
        return;
    auto &engine = it->second;
    const auto copy = engine.copies.find(target);
    const bool isLoading = copy != engine.copies.end() && now - copy->second.usableAt < inspectPause;
    if (isLoading) {
        if (std::exchange(copy->second.storeUse, 0) > 0)
            ++m_lateLoads;
        if (std::exchange(copy->second.isReload, false))
            engine.kept.onNotKept();
        // Others that wait for it are told to wait longer.
        copy->second.work = std::max(copy->second.work, m_settings.adapterLoadTime / lateLoadParts);
    }
    if (copy == engine.copies.end() || isLoading)
        return;
    engine.copies.erase(copy);
    engine.known = false;
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
        engine.inspectAt = now + 2 * inspectPause;
        return;
    }
    // Reports lag; one that goes on telling of fewer orders is right: an order that was under way already is answered
    // like a new one, but not counted.
    const bool isOld = report->orders < engine.orders && now - engine.acceptedAt < oldestReport;
    if (isOld || engine.open) {
        engine.inspectAt = now + inspectPause;
        return;
    }
    engine.orders = report->orders;
    engine.known = true;
    settleLate(engine);
    const auto before = std::exchange(engine.copies, {});
    engine.models.clear();
    const auto take = [&](const ListedTarget &listed, bool isComing) {
        if (!isAdapter(listed.target)) {
            engine.models.insert(listed.target);
            return;
        }
        const auto known = before.find(listed.target);
        engine.kept.onHeld(listed.target);
        Copy copy{listed.version, now, now - routineVictimIdle, false, false, 0, {}, {}};
        if (known != before.end()) {
            copy.lastUsed = known->second.lastUsed;
            copy.leaving = known->second.leaving;
            copy.isReload = known->second.isReload;
            copy.storeUse = known->second.storeUse;
            copy.told = known->second.told;
            if (isComing)
                copy.work = known->second.work;
            if (known->second.version > listed.version)
                copy.version = known->second.version;
        }
        if (isComing)
            copy.usableAt
                = known != before.end() ? std::max(known->second.usableAt, now) : now + m_settings.adapterLoadTime;
        engine.copies[listed.target] = copy;
    };
    for (const auto &listed : report->held)
        take(listed, false);
    for (const auto &listed : report->coming)
        take(listed, true);
    for (const auto &[target, copy] : before) {
        // The report may be from before the last orders took effect.
        if (!copy.leaving && now - copy.usableAt < inspectPause)
            engine.copies.try_emplace(target, copy);
    }
    const bool hasLoaded = !engine.models.empty() || (!report->busy && now - engine.acceptedAt > oldestReport);
    if (hasLoaded)
        engine.busyUntil = now;
    engine.inspectAt = now + routineInspection;
    const bool unsettled = report->busy || engine.models.empty()
                           || std::ranges::any_of(engine.copies, [](const auto &item) { return item.second.leaving; });
    if (unsettled)
        engine.inspectAt = now + 2 * inspectPause;
}

} // namespace Gypsumtally::Gateway
