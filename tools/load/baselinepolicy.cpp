#include "load/baselinepolicy.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace Gypsumtally::Load
{

namespace
{

constexpr std::size_t maxWaiting = 256;

} // namespace

BaselinePolicy::BaselinePolicy(Fleet &fleet, BaselineKind kind, std::uint64_t seed)
    : m_fleet(fleet)
    , m_kind(kind)
    , m_random(seed)
    , m_queues(fleet.engines.size())
{
    fleet.onArrival = [this](CallState &call) { arrive(call); };
    fleet.onFinished = [this](EngineNumber engine, CallState &) {
        m_fleet.events.after(Duration{0}, [this, engine] { pump(engine); });
    };
    fleet.onLeaving = [this](EngineNumber engine) { reroute(engine); };
    fleet.onGone = [this](EngineNumber engine) { reroute(engine); };
    fleet.onBack = [](EngineNumber) {};
    fleet.events.after(Duration{0}, [this] { serveStore(); });
}

void BaselinePolicy::arrive(CallState &call)
{
    const auto id = call.arrival.call.id;
    m_fleet.events.after(*call.arrival.call.deadline - call.arrival.call.arrival, [this, id] {
        auto *late = m_fleet.find(id);
        if (late && !late->running)
            m_fleet.reject(*late);
    });
    enqueue(choose(call), call);
}

EngineNumber BaselinePolicy::choose(const CallState &call)
{
    std::vector<EngineNumber> candidates;
    for (EngineNumber engine = 0; engine < m_fleet.engines.size(); ++engine) {
        const auto &model = m_fleet.engines[engine];
        if (model.alive && !model.leaving && m_fleet.connected(model.region, call.arrival.region))
            candidates.push_back(engine);
    }
    if (m_kind == BaselineKind::RandomWorker)
        return candidates[m_random() % candidates.size()];
    if (m_kind == BaselineKind::LeastLoaded) {
        const auto load
            = [&](EngineNumber e) { return m_fleet.engines[e].running.size() + m_queues[e].waiting.size(); };
        return *std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) {
            return std::pair{load(a), a} < std::pair{load(b), b};
        });
    }
    const auto score = [&](EngineNumber e) {
        return rendezvousScore(call.arrival.adapter * 0x9E3779B97F4A7C15ULL, "engine" + std::to_string(e));
    };
    return *std::max_element(candidates.begin(), candidates.end(), [&](auto a, auto b) { return score(a) < score(b); });
}

void BaselinePolicy::enqueue(EngineNumber engine, CallState &call)
{
    auto &waiting = m_queues[engine].waiting;
    if (waiting.size() >= maxWaiting) {
        m_fleet.reject(call);
        return;
    }
    if (!m_fleet.engines[engine].loaded.contains(call.arrival.adapter))
        m_fleet.beginStall(call);
    const auto rank = [&](CallId id) {
        const auto *other = m_fleet.find(id);
        return std::pair{other ? other->arrival.call.serviceClass : ServiceClass::Urgent, id};
    };
    const std::pair own{call.arrival.call.serviceClass, call.arrival.call.id};
    const auto place = std::find_if(waiting.begin(), waiting.end(), [&](CallId id) { return own < rank(id); });
    waiting.insert(place, call.arrival.call.id);
    pump(engine);
}

void BaselinePolicy::pump(EngineNumber number)
{
    auto &queue = m_queues[number];
    auto &engine = m_fleet.engines[number];
    std::erase_if(queue.waiting, [&](CallId id) {
        auto *call = m_fleet.find(id);
        if (!call || call->ended)
            return true;
        const auto adapter = call->arrival.adapter;
        if (!engine.loaded.contains(adapter)) {
            if (!engine.loading.contains(adapter) && queue.requestedLoads.insert(adapter).second)
                m_store.push_back({number, adapter});
            return false;
        }
        m_fleet.endStall(*call);
        if (engine.running.size() >= m_fleet.deployment().maxRunning)
            return false;
        queue.lastUse[adapter] = m_fleet.events.now();
        m_fleet.start(number, *call);
        return true;
    });
}

void BaselinePolicy::serveStore()
{
    const Duration period{static_cast<Duration::rep>(1e6 / m_fleet.deployment().loadsPerSecond) + 1000};
    for (std::size_t tries = m_store.size(); tries > 0; --tries) {
        const auto request = m_store.front();
        m_store.pop_front();
        if (!m_queues[request.engine].requestedLoads.contains(request.adapter))
            continue;
        if (!waitsFor(request.engine, request.adapter)) {
            m_queues[request.engine].requestedLoads.erase(request.adapter);
            continue;
        }
        if (!makeRoom(request.engine)) {
            m_store.push_back(request);
            continue;
        }
        m_queues[request.engine].requestedLoads.erase(request.adapter);
        m_fleet.load(request.engine, request.adapter, [this, request](LoadOutcome) {
            m_queues[request.engine].lastUse[request.adapter] = m_fleet.events.now();
            pump(request.engine);
        });
        m_fleet.events.after(period, [this] { serveStore(); });
        return;
    }
    m_fleet.events.after(std::chrono::milliseconds{20}, [this] { serveStore(); });
}

bool BaselinePolicy::makeRoom(EngineNumber number)
{
    auto &engine = m_fleet.engines[number];
    if (engine.loaded.size() + engine.loading.size() < m_fleet.deployment().slots)
        return true;
    std::optional<AdapterNumber> oldest;
    for (const auto adapter : engine.loaded) {
        const bool runs = std::any_of(engine.running.begin(), engine.running.end(),
                                      [&](const auto &running) { return running.adapter == adapter; });
        if (runs || waitsFor(number, adapter))
            continue;
        if (!oldest || m_queues[number].lastUse[adapter] < m_queues[number].lastUse[*oldest])
            oldest = adapter;
    }
    if (!oldest)
        return false;
    m_fleet.evict(number, *oldest);
    return true;
}

void BaselinePolicy::reroute(EngineNumber engine)
{
    const auto waiting = std::exchange(m_queues[engine].waiting, {});
    m_queues[engine].requestedLoads.clear();
    for (const auto id : waiting) {
        auto *call = m_fleet.find(id);
        if (call && !call->ended)
            enqueue(choose(*call), *call);
    }
}

bool BaselinePolicy::waitsFor(EngineNumber engine, AdapterNumber adapter)
{
    const auto &waiting = m_queues[engine].waiting;
    return std::any_of(waiting.begin(), waiting.end(), [&](CallId id) {
        const auto *call = m_fleet.find(id);
        return call && !call->ended && call->arrival.adapter == adapter;
    });
}

} // namespace Gypsumtally::Load
