#include "load/gypsumtallypolicy.h"

namespace Gypsumtally::Load
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration hintPeriod = milliseconds{200};
constexpr Duration prefetchPeriod = seconds{1};
constexpr Duration vmListLag = seconds{5};
constexpr Duration connectTimeout = seconds{1};
constexpr std::uint32_t maxAttempts = 3;
constexpr std::size_t maxPrefetchesPerNode = 2;

} // namespace

PolicySettings settingsFor(const Deployment &deployment)
{
    PolicySettings settings;
    settings.router.weights = deployment.weights;
    settings.router.loadTime = deployment.loadTime;
    settings.scheduler.weights = deployment.weights;
    settings.scheduler.concurrency = deployment.maxRunning;
    settings.broker.weights = deployment.weights;
    settings.broker.loadsPerSecond = deployment.loadsPerSecond;
    settings.broker.maxInFlight = deployment.fullSpeedLoads;
    settings.admission.maxOutstanding = 4 * deployment.engines * deployment.maxRunning / deployment.nodes;
    return settings;
}

bool GypsumtallyPolicy::Guard::mayDispatch(const AdapterVersion &adapter) const
{
    const auto &engine = policy.m_engines[this->engine];
    const auto number = policy.numberOf(adapter);
    return isLoaded(adapter) && !engine.givenUp.contains(number) && !engine.pendingGiveUps.contains(number);
}

bool GypsumtallyPolicy::Guard::mayEvict(const AdapterVersion &adapter) const
{
    return policy.m_engines[engine].givenUp.contains(policy.numberOf(adapter));
}

bool GypsumtallyPolicy::Guard::isLoaded(const AdapterVersion &adapter) const
{
    return policy.m_fleet.engines[engine].loaded.contains(policy.numberOf(adapter));
}

std::uint32_t GypsumtallyPolicy::Guard::freeSlots() const
{
    const auto &model = policy.m_fleet.engines[engine];
    return policy.m_fleet.deployment().slots - static_cast<std::uint32_t>(model.loaded.size() + model.loading.size());
}

GypsumtallyPolicy::GypsumtallyPolicy(Fleet &fleet, PolicySettings settings)
    : m_fleet(fleet)
    , m_settings(settings)
{
    const auto &deployment = fleet.deployment();
    for (AdapterNumber adapter = 0; adapter < deployment.adapters; ++adapter) {
        m_numbers[Workload::adapterName(adapter)] = adapter;
        m_digests.push_back(digestOf(Workload::adapterName(adapter)));
    }
    std::vector<NodeId> members;
    for (std::uint32_t node = 0; node < deployment.nodes; ++node)
        members.push_back({"node" + std::to_string(node)});
    for (std::uint32_t node = 0; node < deployment.nodes; ++node) {
        const auto region = node % deployment.regions;
        m_nodes.push_back({region, members[node],
                           std::make_unique<Router>(members[node], Workload::regionName(region), settings.router),
                           std::make_unique<Admission>(settings.admission), HintTable{}});
        m_nodes.back().router->setMembers(members);
    }
    m_engines.resize(fleet.engines.size());
    for (EngineNumber engine = 0; engine < m_engines.size(); ++engine) {
        m_engines[engine].id = {"engine" + std::to_string(engine)};
        m_engines[engine].owner = engine % deployment.nodes;
        m_engineNumbers[m_engines[engine].id] = engine;
        reset(engine);
    }
    for (auto &broker : m_brokers)
        broker = std::make_unique<LoadBroker>(settings.broker);
    fleet.onArrival = [this](CallState &call) { arrive(call); };
    fleet.onFinished = [this](EngineNumber engine, CallState &call) {
        m_engines[engine].scheduler->finished(call.arrival.call.id, m_fleet.events.now());
        m_fleet.events.after(Duration{0}, [this, engine] { pump(engine); });
    };
    fleet.onEnded = [this](CallState &call) { ended(call); };
    fleet.onLeaving
        = [this](EngineNumber engine) { m_fleet.events.after(vmListLag, [this, engine] { startLeaving(engine); }); };
    fleet.onGone = [this](EngineNumber engine) {
        startLeaving(engine);
        reset(engine);
    };
    fleet.onBack = [this](EngineNumber engine) { m_engines[engine].leaving = false; };
    publish();
    if (settings.prefetches)
        fleet.events.after(prefetchPeriod, [this] { prefetch(); });
}

void GypsumtallyPolicy::arrive(CallState &call)
{
    const auto &deployment = m_fleet.deployment();
    const auto id = call.arrival.call.id;
    const auto inRegion = deployment.nodes / deployment.regions;
    const auto node = call.arrival.region + deployment.regions * static_cast<std::uint32_t>(id % inRegion);
    m_fleet.events.after(deployment.clientHop, [this, id, node] {
        auto *arrived = m_fleet.find(id);
        if (m_nodes[node].admission->admit(arrived->arrival.call, m_fleet.events.now())) {
            m_fleet.reject(*arrived);
            return;
        }
        m_routingHistories[id] = {node, {}, 0};
        route(node, id, false);
    });
}

void GypsumtallyPolicy::route(std::uint32_t number, CallId id, bool atHome)
{
    auto *call = m_fleet.find(id);
    if (!call || call->ended)
        return;
    auto &node = m_nodes[number];
    const RouteQuery query{.call = call->arrival.call, .excluded = m_routingHistories[id].excluded, .atHome = atHome};
    const auto choice = node.router->route(query, node.hints, m_fleet.events.now());
    if (std::holds_alternative<Failure>(choice)) {
        m_fleet.reject(*call);
        return;
    }
    if (const auto *home = std::get_if<RouteToHome>(&choice)) {
        const auto homeNumber = static_cast<std::uint32_t>(std::stoul(home->home.value.substr(4)));
        if (!m_fleet.connected(node.region, m_nodes[homeNumber].region)) {
            route(number, id, true);
            return;
        }
        m_fleet.events.after(m_fleet.hop(node.region, m_nodes[homeNumber].region),
                             [this, homeNumber, id] { route(homeNumber, id, true); });
        return;
    }
    const auto &place = std::get<RouteToUpstream>(choice);
    node.router->sent(id, place.upstream, m_fleet.events.now());
    deliver(number, engineOf(place.upstream), id);
}

void GypsumtallyPolicy::deliver(std::uint32_t from, EngineNumber engine, CallId id)
{
    const auto region = m_fleet.engines[engine].region;
    if (!m_fleet.connected(m_nodes[from].region, region)) {
        m_fleet.events.after(connectTimeout, [this, engine, id] { refused(engine, id, true); });
        return;
    }
    m_fleet.events.after(m_fleet.hop(m_nodes[from].region, region), [this, engine, id] {
        auto *call = m_fleet.find(id);
        if (!call || call->ended)
            return;
        if (!m_fleet.engines[engine].alive || m_engines[engine].leaving)
            refused(engine, id, true);
        else
            add(engine, *call);
    });
}

void GypsumtallyPolicy::add(EngineNumber engine, CallState &call)
{
    if (!Guard{*this, engine}.mayDispatch(*call.arrival.call.model))
        m_fleet.beginStall(call);
    SchedulerActions actions;
    m_engines[engine].scheduler->add(call.arrival.call, m_fleet.events.now(), actions);
    apply(engine, actions);
    pump(engine);
}

void GypsumtallyPolicy::refused(EngineNumber engine, CallId id, bool elsewhere)
{
    auto *call = m_fleet.find(id);
    if (!call || call->ended)
        return;
    auto &history = m_routingHistories[id];
    if (!elsewhere || ++history.attempts >= maxAttempts) {
        m_fleet.reject(*call);
        return;
    }
    for (auto &node : m_nodes)
        node.router->finished(id);
    history.excluded.push_back(m_engines[engine].id);
    route(history.entry, id, false);
}

void GypsumtallyPolicy::ended(CallState &call)
{
    const auto id = call.arrival.call.id;
    const auto history = m_routingHistories.find(id);
    if (history == m_routingHistories.end())
        return;
    m_nodes[history->second.entry].admission->finished(id, m_fleet.events.now());
    for (auto &node : m_nodes)
        node.router->finished(id);
    m_routingHistories.erase(history);
}

void GypsumtallyPolicy::pump(EngineNumber engine)
{
    if (!m_fleet.engines[engine].alive)
        return;
    SchedulerActions actions;
    m_engines[engine].scheduler->pump(Guard{*this, engine}, m_fleet.events.now(), actions);
    apply(engine, actions);
    planWake(engine);
}

void GypsumtallyPolicy::planWake(EngineNumber number)
{
    auto &engine = m_engines[number];
    const auto wake = engine.scheduler->nextWake();
    if (!wake || (engine.wakeAt && *engine.wakeAt <= *wake && *engine.wakeAt > m_fleet.events.now()))
        return;
    const auto at = std::max(*wake, m_fleet.events.now() + milliseconds{1});
    engine.wakeAt = at;
    m_fleet.events.after(at - m_fleet.events.now(), [this, number] { pump(number); });
}

void GypsumtallyPolicy::publish()
{
    for (EngineNumber engine = 0; engine < m_engines.size(); ++engine) {
        if (!m_fleet.engines[engine].alive)
            continue;
        const auto hint = hintOf(engine);
        const auto region = m_fleet.engines[engine].region;
        for (auto &node : m_nodes) {
            if (!m_fleet.connected(region, node.region))
                continue;
            m_fleet.events.after(m_fleet.hop(region, node.region),
                                 [this, hint, &node] { node.hints.apply(hint, m_fleet.events.now()); });
        }
    }
    for (auto &node : m_nodes)
        node.hints.expire(m_fleet.events.now());
    m_fleet.events.after(hintPeriod, [this] { publish(); });
}

UpstreamHint GypsumtallyPolicy::hintOf(EngineNumber number)
{
    auto &engine = m_engines[number];
    const Guard guard{*this, number};
    const auto load = engine.scheduler->load();
    UpstreamHint hint;
    hint.upstream = engine.id;
    hint.owner = m_nodes[engine.owner].id;
    hint.epoch = engine.epoch;
    hint.sequence = ++engine.sequence;
    hint.region = Workload::regionName(m_fleet.engines[number].region);
    hint.base = "base";
    hint.slots = m_fleet.deployment().slots;
    hint.freeSlots = guard.freeSlots();
    hint.concurrency = m_settings.scheduler.concurrency;
    hint.running = load.running;
    hint.waiting = load.waiting;
    hint.waitingLoads = load.waitingLoads;
    hint.leaving = engine.leaving;
    for (const auto adapter : m_fleet.engines[number].loaded) {
        if (guard.mayDispatch(Workload::adapterName(adapter)))
            hint.loaded.push_back(m_digests[adapter]);
    }
    for (const auto &adapter : load.loading)
        hint.loading.push_back(m_digests[numberOf(adapter)]);
    return hint;
}

void GypsumtallyPolicy::prefetch()
{
    for (auto &node : m_nodes) {
        for (const auto &foreseen :
             node.router->prefetchCandidates(node.hints, maxPrefetchesPerNode, m_fleet.events.now())) {
            const auto engine = engineOf(foreseen.place.upstream);
            const auto region = m_fleet.engines[engine].region;
            if (!m_fleet.connected(node.region, region) || !m_fleet.engines[engine].alive)
                continue;
            m_fleet.events.after(m_fleet.hop(node.region, region), [this, engine, adapter = foreseen.adapter] {
                m_engines[engine].scheduler->prefetch(adapter, m_fleet.events.now());
                pump(engine);
            });
        }
    }
    m_fleet.events.after(prefetchPeriod, [this] { prefetch(); });
}

void GypsumtallyPolicy::reset(EngineNumber number)
{
    auto &engine = m_engines[number];
    engine.scheduler = std::make_unique<EngineScheduler>(m_settings.scheduler);
    engine.givenUp.clear();
    engine.pendingGiveUps.clear();
    engine.wakeAt.reset();
    ++engine.epoch;
    for (auto &broker : m_brokers) {
        if (broker)
            broker->forget(engine.id);
    }
}

void GypsumtallyPolicy::startLeaving(EngineNumber number)
{
    auto &engine = m_engines[number];
    engine.leaving = true;
    SchedulerActions actions;
    engine.scheduler->rejectAll({Verdict::NotRun, ErrorCode::UpstreamLost, "the engine is leaving", {}}, actions);
    apply(number, actions);
}

AdapterNumber GypsumtallyPolicy::numberOf(const AdapterVersion &adapter) const
{
    return m_numbers.at(adapter);
}

EngineNumber GypsumtallyPolicy::engineOf(const UpstreamId &id) const
{
    return m_engineNumbers.at(id);
}

} // namespace Gypsumtally::Load
