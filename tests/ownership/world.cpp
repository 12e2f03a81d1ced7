#include "ownership/world.h"

#include <algorithm>

namespace Gypsumtally::Testing
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration faultyTime = 15s;
constexpr Duration healedTime = 25s;
constexpr Duration recoveryTime = 12s;
constexpr Duration lateBytesBound = 2s;
constexpr Duration pauseCheck = 50ms;

OwnershipSettings ownershipSettings()
{
    return {.lateBytesBound = lateBytesBound,
            .releaseInterval = 200ms,
            .retryDelay = 100ms,
            .maxRetryDelay = 1s,
            .reacquireDelay = 500ms};
}

} // namespace

World::World(const WorldSettings &settings)
    : m_settings(settings)
    , m_simulation(settings.seed)
    , m_engine(m_simulation, m_history, settings.slots, settings.checksToken)
{
    for (std::size_t i = 0; i < settings.adapters; ++i)
        m_adapters.push_back({"base", "adapter" + std::to_string(i), "1"});
    for (std::size_t i = 0; i < settings.nodes; ++i) {
        m_nodes.emplace_back();
        m_nodes.back().id.value = "node" + std::to_string(i);
        start(m_nodes.back());
    }
    setIntendedOwner(m_nodes.front());
}

std::string World::run()
{
    for (Instant due = Instant{} + 500ms; due < Instant{} + faultyTime; due += m_simulation.between(200ms, 2s))
        m_simulation.at(due, [this] { injectFault(); });
    m_simulation.at(Instant{} + faultyTime, [this] { heal(); });
    m_simulation.runUntil(Instant{} + faultyTime + healedTime);
    return checkHistory(m_history, Instant{} + faultyTime + recoveryTime, m_adapters);
}

const History &World::history() const
{
    return m_history;
}

void World::start(Node &node)
{
    node.incarnation.value = node.id.value + "run" + std::to_string(++node.starts);
    node.owner = std::make_unique<UpstreamOwner>(UpstreamId{"engine"}, UpstreamKind::Engine,
                                                 Predecessor{node.id, node.incarnation}, ownershipSettings(),
                                                 m_settings.guards);
    node.isUp = true;
    node.target.reset();
    node.draining.reset();
    node.pausedUntil = {};
    tick(node);
    poll(node);
    if (node.isWanted)
        deliver(node, [&](OwnershipActions &actions) { node.owner->acquire(m_simulation.now(), actions); });
}

void World::crash(Node &node)
{
    node.isUp = false;
    node.incarnation = {};
}

/// Runs @p event on the node after @p delay and after any pause of the node. Runs @p dropped instead if the node has
/// crashed by then.
void World::onNode(Node &node, Duration delay, std::function<void()> event, std::function<void()> dropped)
{
    m_simulation.after(delay, [this, &node, incarnation = node.incarnation.value, event = std::move(event),
                               dropped = std::move(dropped)] { runOnNode(&node, incarnation, event, dropped); });
}

void World::runOnNode(Node *node, std::string incarnation, std::function<void()> event, std::function<void()> dropped)
{
    if (node->incarnation.value != incarnation) {
        if (dropped)
            dropped();
        return;
    }
    if (m_simulation.now() >= node->pausedUntil)
        return event();
    // Polls until the pause ends, since the unsent data of a process is lost as soon as it crashes.
    const Instant next = std::min(node->pausedUntil, m_simulation.now() + pauseCheck);
    m_simulation.at(next, [this, node, incarnation = std::move(incarnation), event = std::move(event),
                           dropped = std::move(dropped)] { runOnNode(node, incarnation, event, dropped); });
}

void World::tick(Node &node)
{
    deliver(node, [&](OwnershipActions &actions) {
        node.owner->tick(m_simulation.now(), actions);
        schedule(node, actions);
    });
    onNode(node, 50ms, [this, &node] { tick(node); });
}

void World::poll(Node &node)
{
    const Instant asOf = m_simulation.now() - EngineFake::maxReportAge;
    m_simulation.after(networkDelay(), [this, &node, asOf, incarnation = node.incarnation] {
        if (!m_engineUp || isFaulty(5) || node.incarnation != incarnation)
            return;
        EngineReport report = m_engine.report();
        report.asOf = asOf;
        onNode(node, networkDelay(), [this, &node, report] {
            deliver(node, [&](OwnershipActions &actions) {
                node.owner->engineReported(report, m_simulation.now(), actions);
            });
        });
    });
    onNode(node, 150ms, [this, &node] { poll(node); });
}

/// Replaces the scheduler: sends a request to a random adapter, or takes the next safe step towards loading the target.
void World::schedule(Node &node, OwnershipActions &actions)
{
    UpstreamOwner &owner = *node.owner;
    const AdapterVersion &adapter = m_adapters[m_simulation.below(m_adapters.size())];
    // Round-robin after the faults, because random choice would leave out an adapter in one of many thousand histories.
    if (!node.target)
        node.target = m_isHealed ? m_adapters[m_nextTarget++ % m_adapters.size()] : adapter;
    if (owner.mayDispatch(*node.target)) {
        dispatch(node, *node.target);
        return node.target.reset();
    }
    if (owner.mayDispatch(adapter) && node.draining != adapter)
        dispatch(node, adapter);
    stepTowardsTarget(node, actions);
}

void World::stepTowardsTarget(Node &node, OwnershipActions &actions)
{
    UpstreamOwner &owner = *node.owner;
    const AdapterVersion &target = *node.target;
    const Instant now = m_simulation.now();
    if (owner.takeBack(target, now, actions) || owner.load(target, actions))
        return;
    const std::vector<AdapterVersion> loaded = owner.loaded();
    for (const auto &candidate : loaded) {
        if (candidate != target && (owner.evict(candidate, actions) || owner.isGivenUp(candidate)))
            return;
    }
    if (loaded.empty())
        return;
    if (!node.draining || !owner.isLoaded(*node.draining))
        node.draining = loaded[m_simulation.below(loaded.size())];
    if (owner.giveUp(*node.draining, now, actions))
        node.draining.reset();
}

void World::dispatch(Node &node, const AdapterVersion &adapter)
{
    const auto number = node.owner->beginRequest(adapter);
    if (!number)
        return;
    const std::string id = engineRequestId(node.incarnation, *number);
    m_history.push_back({HistoryKind::Dispatched, m_simulation.now(), id, adapter, {}, node.incarnation.value});
    const Duration duration = m_simulation.between(20ms, m_simulation.chance(20) ? 700ms : 200ms);
    auto sent = std::make_shared<Transmission>();
    sent->arrive = [this, id, adapter, duration](auto done) { m_engine.request(id, adapter, duration, done); };
    sent->lost = [this, id, adapter] {
        m_history.push_back({HistoryKind::Ended, m_simulation.now(), id, adapter, {}, {}});
    };
    sent->ended = [this, &node, number](SendOutcome outcome) {
        deliver(node, [&](OwnershipActions &actions) {
            node.owner->endRequest(*number, outcome, m_simulation.now(), actions);
        });
    };
    transmit(node, sent);
}

void World::injectFault()
{
    Node &node = randomNode();
    switch (m_simulation.below(8)) {
    case 0:
    case 1:
    case 2:
        node.pausedUntil = m_simulation.now() + m_simulation.between(100ms, 6s);
        return setIntendedOwner(randomNode());
    case 3:
        if (!node.isUp)
            return;
        crash(node);
        node.isGone = m_simulation.chance(40) && &node != &m_nodes.front();
        if (!node.isGone)
            m_simulation.after(m_simulation.between(20ms, 1s), [this, &node] { start(node); });
        return setIntendedOwner(randomNode());
    case 4:
        m_engine.restart();
        m_engineUp = false;
        return m_simulation.after(m_simulation.between(1ms, 500ms), [this] { m_engineUp = true; });
    case 5:
        m_keyValueUp = false;
        return m_simulation.after(m_simulation.between(100ms, 4s), [this] { m_keyValueUp = true; });
    default:
        return setIntendedOwner(node);
    }
}

/// Makes @p node the intended owner; nodes are notified at different times.
void World::setIntendedOwner(Node &node)
{
    for (Node &other : m_nodes) {
        other.isWanted = &other == &node;
        if (!other.isUp)
            continue;
        onNode(other, m_simulation.between(0ms, 500ms), [this, &other] {
            if (!other.isWanted)
                return other.owner->handOver();
            deliver(other, [&](OwnershipActions &actions) { other.owner->acquire(m_simulation.now(), actions); });
        });
    }
}

void World::heal()
{
    m_isHealed = true;
    for (Node &node : m_nodes)
        node.pausedUntil = {};
    m_simulation.after(5s, [this] { setIntendedOwner(m_nodes.front()); });
}

/// Returns a random node, preferring one that considers itself the owner.
World::Node &World::randomNode()
{
    for (Node &node : m_nodes) {
        if (node.isUp && node.owner->isOwner() && m_simulation.chance(60))
            return node;
    }
    return m_nodes[m_simulation.below(m_nodes.size())];
}

} // namespace Gypsumtally::Testing
