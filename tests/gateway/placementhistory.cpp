#include "gateway/placementhistory.h"

#include <algorithm>

namespace Gypsumtally::Testing
{

using namespace Gateway;

namespace
{

constexpr Duration stepTime = std::chrono::milliseconds{5};
constexpr Duration roundTrip = std::chrono::milliseconds{16};
constexpr Duration answerTimeout = std::chrono::milliseconds{300};
constexpr Duration reportLag = std::chrono::milliseconds{200};
constexpr Duration adapterLoad = std::chrono::milliseconds{250};
constexpr Duration modelLoad = std::chrono::seconds{2};
constexpr Duration requestTimeout = std::chrono::seconds{2};
constexpr unsigned adapterSlots = 8;
constexpr unsigned engines = 6;
const std::string model = "m";
const std::string hot = "m/hot";

PlacerSettings settingsFor(const AdapterDemand &demand)
{
    PlacerSettings settings;
    settings.spareSlots = demand.spareSlots;
    return settings;
}

} // namespace

PlacementHistory::PlacementHistory(const EngineFaults &faults, std::uint64_t seed, const AdapterDemand &demand)
    : m_faults(faults)
    , m_demand(demand)
    , m_random(seed)
    , m_placer(settingsFor(demand))
{
    for (unsigned i = 0; i < engines; ++i)
        m_engines["e" + std::to_string(i)].state.hasModel = true;
}

bool PlacementHistory::chance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
}

void PlacementHistory::run(Duration time)
{
    for (const auto end = m_now + time; m_now < end; m_now += stepTime)
        step();
}

void PlacementHistory::step()
{
    for (auto &[instance, engine] : m_engines)
        stepEngine(engine);
    listEngines();
    issueRequests();
    for (auto it = m_answers.begin(); it != m_answers.end();) {
        if (it->at > m_now) {
            ++it;
            continue;
        }
        const auto answer = *it;
        it = m_answers.erase(it);
        m_placer.onAnswer(answer.order, answer.outcome, m_now);
    }
    for (auto it = m_inspections.begin(); it != m_inspections.end();) {
        if (it->first > m_now) {
            ++it;
            continue;
        }
        const auto instance = it->second;
        it = m_inspections.erase(it);
        answerInspection(instance);
    }
    perform(m_placer.plan(m_now));
}

void PlacementHistory::stepEngine(Engine &engine)
{
    if (chance(m_faults.restarts)) {
        engine = Engine{};
        engine.startedAt = m_now.time_since_epoch().count();
    }
    if (engine.modelAt != Instant{} && m_now >= engine.modelAt) {
        engine.state.hasModel = true;
        engine.modelAt = {};
    }
    for (auto it = engine.lateOrders.begin(); it != engine.lateOrders.end();) {
        if (it->first > m_now) {
            ++it;
            continue;
        }
        const auto order = it->second;
        it = engine.lateOrders.erase(it);
        carryOut(engine, order);
    }
    engine.recentStates.emplace_back(m_now, engine.state);
    while (engine.recentStates.front().first < m_now - std::chrono::milliseconds{400})
        engine.recentStates.erase(engine.recentStates.begin());
}

void PlacementHistory::listEngines()
{
    std::vector<PlacedEngine> placed;
    for (const auto &[instance, engine] : m_engines)
        placed.push_back({instance, "s", "r", engine.startedAt, true, adapterSlots, 64, 0, {model}});
    m_placer.setEngines(placed, {{"s", model, modelLoad}});
}

void PlacementHistory::issueRequests()
{
    if (chance(m_demand.requestsPerStep)) {
        const auto number = std::min(m_random() % m_demand.adapters, m_random() % m_demand.adapters);
        const auto target = chance(m_hotShare) ? hot : "m/a" + std::to_string(number);
        m_placer.onUsed("s", target, 1, m_now);
        m_waiting.push_back({target, m_now});
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (isHeld(waiting.target)) {
            ++m_served;
            return true;
        }
        if (m_now - waiting.since > requestTimeout) {
            ++m_timedOut;
            return true;
        }
        if ((m_now - waiting.since).count() % 150000 == 0)
            m_placer.onWanted("s", waiting.target, 1, {}, m_now);
        return false;
    });
}

bool PlacementHistory::isHeld(const std::string &target) const
{
    return std::ranges::any_of(m_engines, [&](const auto &item) {
        const auto held = item.second.state.adapters.find(target);
        return held != item.second.state.adapters.end() && held->second.loaded <= m_now;
    });
}

void PlacementHistory::perform(const PlacerActions &actions)
{
    for (const auto &order : actions.orders) {
        auto &engine = m_engines[order.instance];
        if (chance(m_faults.lateOrders)) {
            const auto delay = std::chrono::milliseconds{m_random() % 4000};
            engine.lateOrders.emplace_back(m_now + delay, order);
            m_answers.push_back({m_now + answerTimeout, order, OrderOutcome::Unknown});
            continue;
        }
        const auto outcome = carryOut(engine, order);
        if (chance(m_faults.lostAnswers))
            m_answers.push_back({m_now + answerTimeout, order, OrderOutcome::Unknown});
        else
            m_answers.push_back({m_now + roundTrip, order, outcome});
    }
    for (const auto &instance : actions.inspections)
        m_inspections.emplace_back(m_now + roundTrip, instance);
}

OrderOutcome PlacementHistory::carryOut(Engine &engine, const EngineOrder &order)
{
    auto &state = engine.state;
    if (order.expected != state.orders)
        return OrderOutcome::Conflict;
    if (order.target == model) {
        if (state.hasModel)
            return OrderOutcome::Done;
        if (engine.modelAt != Instant{})
            return OrderOutcome::Started; // Answered like a new order but not counted.
        engine.modelAt = m_now + modelLoad;
        ++state.orders;
        return OrderOutcome::Started;
    }
    if (order.kind == OrderKind::Unload) {
        ++state.orders;
        state.adapters.erase(order.target);
        return OrderOutcome::Done;
    }
    const auto held = state.adapters.find(order.target);
    if (held != state.adapters.end() && held->second.version >= std::max<std::uint64_t>(1, order.version))
        return OrderOutcome::Done;
    if (!state.hasModel)
        return OrderOutcome::Refused;
    if (held == state.adapters.end() && state.adapters.size() >= adapterSlots)
        ++m_overfilled;
    ++state.orders;
    state.adapters[order.target] = {std::max<std::uint64_t>(1, order.version), m_now + adapterLoad};
    return OrderOutcome::Started;
}

void PlacementHistory::answerInspection(const std::string &instance)
{
    const auto &engine = m_engines[instance];
    const State *reported = nullptr;
    for (const auto &[at, state] : engine.recentStates) {
        if (at <= m_now - reportLag || !reported)
            reported = &state;
    }
    EngineReport report;
    report.orders = reported->orders;
    report.busy = engine.modelAt != Instant{};
    if (reported->hasModel)
        report.held.push_back({model, 1});
    for (const auto &[target, held] : reported->adapters) {
        auto &list = held.loaded <= m_now - reportLag ? report.held : report.coming;
        list.push_back({target, held.version});
    }
    m_placer.onReport(instance, report, m_now);
}

void PlacementHistory::restartAll()
{
    for (auto &[instance, engine] : m_engines) {
        engine = Engine{};
        engine.startedAt = m_now.time_since_epoch().count();
    }
}

void PlacementHistory::declareHotVersion(std::uint64_t version)
{
    m_placer.onVersionDeclared(hot, version);
}

double PlacementHistory::servedShare() const
{
    return static_cast<double>(m_served) / std::max(1U, m_served + m_timedOut);
}

unsigned PlacementHistory::heldAdapters() const
{
    std::size_t count = 0;
    for (const auto &[instance, engine] : m_engines)
        count += engine.state.adapters.size();
    return static_cast<unsigned>(count);
}

unsigned PlacementHistory::hotCopies(std::uint64_t minVersion) const
{
    return static_cast<unsigned>(std::ranges::count_if(m_engines, [&](const auto &item) {
        const auto held = item.second.state.adapters.find(hot);
        return held != item.second.state.adapters.end() && held->second.version >= minVersion;
    }));
}

} // namespace Gypsumtally::Testing
