#include "load/fleet.h"

#include <algorithm>
#include <cassert>

namespace Gypsumtally::Load
{

namespace
{

using std::chrono::seconds;

constexpr Duration stepBase = std::chrono::milliseconds{20};
constexpr Duration stepPerCall{900};
/// Calls join and leave a batch only between chunks, which reduces the number of events. A chunk is short compared with
/// the length of an answer.
constexpr std::uint32_t tokensPerChunk = 4;
constexpr std::uint64_t bytesPerToken = 96;
constexpr std::uint64_t bytesPerPromptToken = 4;
constexpr Duration storeAnswerTime = std::chrono::milliseconds{2};
constexpr Duration reclaimNotice = seconds{30};
constexpr Duration reclaimSpan = seconds{60};
constexpr Duration replacementTime = seconds{120};

} // namespace

void EventQueue::after(Duration delay, std::function<void()> task)
{
    m_events.push({m_now + delay, m_sequence++, std::move(task)});
}

void EventQueue::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.task();
    }
}

Fleet::Fleet(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed)
    : engines(deployment.engines)
    , m_deployment(deployment)
    , m_scenario(scenario)
    , m_workload(deployment, scenario, seed)
{
    for (EngineNumber engine = 0; engine < deployment.engines; ++engine)
        engines[engine].region = engine % deployment.regions;
    results.seconds = std::chrono::duration<double>(scenario.length).count();
}

void Fleet::run()
{
    scheduleArrival();
    scheduleReclaims();
    events.runUntil(Instant{} + m_scenario.warmUp + m_scenario.length);
    for (auto &[id, call] : m_calls) {
        if (call.ended)
            continue;
        endStall(call);
        if (isMeasured(call))
            results.classes[static_cast<std::size_t>(call.arrival.call.serviceClass)].stalls.push_back(
                std::chrono::duration<double>(call.stalled).count());
    }
}

const Deployment &Fleet::deployment() const
{
    return m_deployment;
}

const Scenario &Fleet::scenario() const
{
    return m_scenario;
}

void Fleet::start(EngineNumber number, CallState &call)
{
    auto &engine = engines[number];
    assert(engine.loaded.contains(call.arrival.adapter));
    endStall(call);
    call.running = true;
    engine.running.push_back({call.arrival.call.id, call.arrival.adapter, call.arrival.tokens});
    if (!engine.stepping)
        step(number);
}

void Fleet::reject(CallState &call)
{
    end(call, CallEnd::NotRun);
}

void Fleet::beginStall(CallState &call)
{
    if (!call.stalledSince)
        call.stalledSince = events.now();
}

void Fleet::endStall(CallState &call)
{
    if (call.stalledSince)
        call.stalled += events.now() - *call.stalledSince;
    call.stalledSince.reset();
}

void Fleet::load(EngineNumber number, AdapterNumber adapter, std::function<void(LoadOutcome)> done)
{
    auto &engine = engines[number];
    assert(engine.loaded.size() + engine.loading.size() < m_deployment.slots);
    engine.loading.insert(adapter);
    if (!storeAccepts()) {
        ++results.storeRefusals;
        events.after(storeAnswerTime, [this, number, adapter, done = std::move(done)] {
            engines[number].loading.erase(adapter);
            done(LoadOutcome::Refused);
        });
        return;
    }
    ++results.loads;
    ++m_loadsInFlight;
    const double slowdown = std::max(1.0, static_cast<double>(m_loadsInFlight) / m_deployment.fullSpeedLoads);
    const Duration time{static_cast<Duration::rep>(static_cast<double>(m_deployment.loadTime.count()) * slowdown)};
    events.after(time, [this, number, adapter, incarnation = engine.incarnation, done = std::move(done)] {
        --m_loadsInFlight;
        auto &target = engines[number];
        if (target.incarnation != incarnation) {
            done(LoadOutcome::Lost);
            return;
        }
        target.loading.erase(adapter);
        target.loaded.insert(adapter);
        done(LoadOutcome::Loaded);
    });
}

void Fleet::evict(EngineNumber number, AdapterNumber adapter)
{
    auto &engine = engines[number];
    assert(std::none_of(engine.running.begin(), engine.running.end(),
                        [&](const auto &running) { return running.adapter == adapter; }));
    engine.loaded.erase(adapter);
}

bool Fleet::connected(std::uint32_t first, std::uint32_t second) const
{
    const auto last = m_deployment.regions - 1;
    return !within(m_scenario.regionCut) || (first == last) == (second == last);
}

Duration Fleet::hop(std::uint32_t first, std::uint32_t second) const
{
    return first == second ? m_deployment.domainHop : m_deployment.regionHop;
}

bool Fleet::keyValueDown() const
{
    return within(m_scenario.keyValueOutage);
}

CallState *Fleet::find(CallId call)
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &it->second;
}

void Fleet::scheduleArrival()
{
    auto arrival = m_workload.next();
    const auto delay = arrival.call.arrival - events.now();
    events.after(delay, [this, arrival = std::move(arrival)] {
        auto &call = m_calls[arrival.call.id];
        call.arrival = arrival;
        scheduleArrival();
        onArrival(call);
    });
}

void Fleet::scheduleReclaims()
{
    if (!m_scenario.reclaimAt)
        return;
    const EngineNumber count = m_deployment.engines / 3;
    for (EngineNumber engine = 0; engine < count; ++engine) {
        const Duration at = *m_scenario.reclaimAt + reclaimSpan * engine / count;
        events.after(at, [this, engine] {
            engines[engine].leaving = true;
            onLeaving(engine);
        });
        events.after(at + reclaimNotice, [this, engine] { lose(engine); });
        events.after(at + replacementTime, [this, engine] {
            engines[engine].alive = true;
            engines[engine].leaving = false;
            onBack(engine);
        });
    }
}

void Fleet::step(EngineNumber number)
{
    auto &engine = engines[number];
    engine.stepping = !engine.running.empty();
    if (!engine.stepping)
        return;
    std::uint32_t tokens = tokensPerChunk;
    for (const auto &running : engine.running)
        tokens = std::min(tokens, std::max(running.tokensLeft, 1U));
    const auto calls = static_cast<std::uint32_t>(engine.running.size());
    if (events.now() >= Instant{} + m_scenario.warmUp) {
        results.batchTokens += static_cast<double>(calls) * tokens;
        results.batchCapacity += static_cast<double>(m_deployment.maxRunning) * tokens;
    }
    events.after((stepBase + stepPerCall * calls) * tokens, [this, number, tokens, incarnation = engine.incarnation] {
        auto &target = engines[number];
        if (target.incarnation != incarnation)
            return;
        std::vector<CallId> done;
        std::erase_if(target.running, [&](EngineModel::Running &running) {
            running.tokensLeft -= std::min(tokens, running.tokensLeft);
            if (running.tokensLeft == 0)
                done.push_back(running.call);
            return running.tokensLeft == 0;
        });
        for (const auto call : done)
            finish(number, m_calls.at(call));
        step(number);
    });
}

void Fleet::lose(EngineNumber number)
{
    auto &engine = engines[number];
    engine.alive = false;
    ++engine.incarnation;
    engine.loaded.clear();
    engine.loading.clear();
    engine.stepping = false;
    const auto running = std::exchange(engine.running, {});
    onGone(number);
    for (const auto &lost : running)
        end(m_calls.at(lost.call), CallEnd::Lost);
}

void Fleet::finish(EngineNumber number, CallState &call)
{
    const auto &arrival = call.arrival;
    const auto region = engines[number].region;
    if (region != arrival.region && isMeasured(call))
        results.crossRegionBytes += arrival.tokens * bytesPerToken + arrival.call.promptTokens * bytesPerPromptToken;
    onFinished(number, call);
    const auto travel = hop(region, arrival.region) + m_deployment.clientHop;
    const auto answered = events.now() + travel;
    end(call, answered <= *arrival.call.deadline ? CallEnd::Answered : CallEnd::Late);
}

void Fleet::end(CallState &call, CallEnd end)
{
    if (std::exchange(call.ended, true))
        return;
    endStall(call);
    if (onEnded)
        onEnded(call);
    results.inTime += end == CallEnd::Answered && events.now() >= Instant{} + m_scenario.warmUp;
    const auto &attributes = call.arrival.call;
    const auto bucket = static_cast<std::size_t>((attributes.arrival - Instant{}) / Results::bucket);
    results.answeredPerBucket.resize(std::max(results.answeredPerBucket.size(), bucket + 1));
    results.urgentStallsPerBucket.resize(std::max(results.urgentStallsPerBucket.size(), bucket + 1));
    const double stall = std::chrono::duration<double>(call.stalled).count();
    results.answeredPerBucket[bucket] += end == CallEnd::Answered;
    if (attributes.serviceClass == ServiceClass::Urgent)
        results.urgentStallsPerBucket[bucket].push_back(stall);
    if (isMeasured(call)) {
        auto &measured = results.classes[static_cast<std::size_t>(attributes.serviceClass)];
        ++measured.ends[static_cast<std::size_t>(end)];
        measured.stalls.push_back(stall);
        if (end == CallEnd::Answered) {
            measured.latencies.push_back(std::chrono::duration<double>(events.now() - attributes.arrival).count());
            ++results.answeredByCustomer[attributes.customer.value];
        }
    }
    events.after(Duration{0}, [this, id = attributes.id] { m_calls.erase(id); });
}

bool Fleet::isMeasured(const CallState &call) const
{
    return call.arrival.call.arrival >= Instant{} + m_scenario.warmUp;
}

bool Fleet::within(const std::optional<Span> &span) const
{
    const auto elapsed = events.now() - Instant{};
    return span && elapsed >= span->from && elapsed < span->to;
}

bool Fleet::storeAccepts()
{
    while (!m_loadStarts.empty() && m_loadStarts.front() + seconds{1} <= events.now())
        m_loadStarts.pop_front();
    if (static_cast<double>(m_loadStarts.size()) + 1 > m_deployment.loadsPerSecond)
        return false;
    m_loadStarts.push_back(events.now());
    results.maxLoadsPerSecond = std::max(results.maxLoadsPerSecond, static_cast<std::uint32_t>(m_loadStarts.size()));
    return true;
}

} // namespace Gypsumtally::Load
