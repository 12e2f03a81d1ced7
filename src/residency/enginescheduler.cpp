#include "residency/enginescheduler.h"

#include "residency/demand.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace Gypsumtally
{

namespace
{

/// Events per second below which an average rate does not predict the next calls.
constexpr double minPredictiveRate = 0.01;
/// Waiting adapters below which the rate of loads reflects demand, not capacity, so that it predicts no wait.
constexpr std::ptrdiff_t minPredictiveBacklog = 4;

/// Returns the time that @p count events take at @p rate events per second, or 0 if the rate is too low to estimate.
Duration timeFor(std::size_t count, double rate)
{
    if (rate < minPredictiveRate)
        return Duration{0};
    return Duration{static_cast<Duration::rep>(static_cast<double>(count) / rate * 1e6)};
}

} // namespace

EngineScheduler::EngineScheduler(SchedulerSettings settings)
    : m_settings(settings)
    , m_concurrency(settings.concurrency)
    , m_queue(settings.queue)
{
}

void EngineScheduler::add(const CallAttributes &call, Instant now, SchedulerActions &actions)
{
    const auto wait = std::max(expectedWait(call.serviceClass, now), expectedLoadWait(call, now));
    if (call.deadline && now + wait >= *call.deadline) {
        const Failure failure{Verdict::NotRun, ErrorCode::Overloaded, "too much waits here for the deadline to be met",
                              std::max(wait, minRetryAfter)};
        actions.emplace_back(RejectCall{call.id, failure});
        return;
    }
    const Failure overloaded{Verdict::NotRun, ErrorCode::Overloaded, "the engine's queue is full",
                             std::max(wait, minRetryAfter)};
    if (m_queue.full()) {
        const auto shed = m_queue.shedBelow(call.serviceClass);
        actions.emplace_back(RejectCall{shed ? shed->id : call.id, overloaded});
        if (!shed)
            return;
    }
    m_queue.push(call);
}

bool EngineScheduler::cancel(CallId call)
{
    return m_queue.remove(call).has_value();
}

void EngineScheduler::finished(CallId call, Instant now)
{
    const auto it = m_running.find(call);
    if (it == m_running.end())
        return;
    const auto resident = m_residents.find(it->second);
    if (resident != m_residents.end() && resident->second.running > 0)
        --resident->second.running;
    m_running.erase(it);
    m_completions.count(now);
}

void EngineScheduler::setResidents(std::span<const AdapterVersion> adapters, Instant now)
{
    Residents present;
    for (const auto &adapter : adapters) {
        const auto known = m_residents.find(adapter);
        present[adapter] = known != m_residents.end() ? known->second : Resident{.updated = now};
    }
    m_residents = std::move(present);
    m_loads.clear();
}

void EngineScheduler::setConcurrency(std::uint32_t calls)
{
    m_concurrency = calls;
}

void EngineScheduler::setSettings(const SchedulerSettings &settings)
{
    m_settings = settings;
    m_queue.setSettings(settings.queue);
}

void EngineScheduler::prefetch(const AdapterVersion &adapter, Instant now)
{
    if (!m_residents.contains(adapter))
        m_prefetches[adapter] = now + m_settings.prefetchLifetime;
}

void EngineScheduler::loadGranted(const AdapterVersion &adapter, Instant now)
{
    auto &load = m_loads[adapter];
    if (load.stage == LoadStage::Ordered)
        return;
    load.stage = LoadStage::Granted;
    load.since = now;
}

void EngineScheduler::loadDenied(const AdapterVersion &adapter, Duration retryAfter, Instant now)
{
    m_loads.erase(adapter);
    m_retries[adapter].notBefore = now + retryAfter;
}

void EngineScheduler::loaded(const AdapterVersion &adapter, Instant now)
{
    m_loads.erase(adapter);
    m_retries.erase(adapter);
    if (const auto *waiting = m_queue.find(adapter))
        m_loadsDone[static_cast<std::size_t>(priorityOf(*waiting).serviceClass)].count(now);
    // A prefetched adapter has not been used yet. Counting one use keeps it from being the next eviction victim.
    const double uses = m_prefetches.erase(adapter) > 0 ? 1 : 0;
    m_residents[adapter] = Resident{.uses = uses, .updated = now};
}

void EngineScheduler::loadFailed(const AdapterVersion &adapter, bool isFinal, Instant now, SchedulerActions &actions)
{
    m_loads.erase(adapter);
    m_prefetches.erase(adapter);
    auto &retry = m_retries[adapter];
    ++retry.failures;
    retry.notBefore = now + m_settings.loadBackoff;
    if (!isFinal && retry.failures < m_settings.maxLoadFailures)
        return;
    m_retries.erase(adapter);
    if (isFinal)
        rejectWaiters(adapter, {Verdict::NotRun, ErrorCode::UnknownAdapter, "the engine does not know the adapter", {}},
                      actions);
    else
        rejectWaiters(
            adapter,
            {Verdict::NotRun, ErrorCode::AdapterLoadFailed, "the adapter could not be loaded", m_settings.loadBackoff},
            actions);
}

void EngineScheduler::evicted(const AdapterVersion &adapter, Instant)
{
    m_residents.erase(adapter);
}

void EngineScheduler::evictFailed(const AdapterVersion &adapter, Instant now)
{
    const auto it = m_residents.find(adapter);
    if (it == m_residents.end())
        return;
    it->second.state = ResidentState::GivenUp;
    it->second.noEvictionBefore = now + m_settings.loadBackoff;
}

void EngineScheduler::givenUp(const AdapterVersion &adapter, Instant)
{
    const auto it = m_residents.find(adapter);
    if (it != m_residents.end() && it->second.state == ResidentState::GivingUp)
        it->second.state = ResidentState::GivenUp;
}

void EngineScheduler::giveUpFailed(const AdapterVersion &adapter, Duration retryAfter, Instant now)
{
    const auto it = m_residents.find(adapter);
    if (it != m_residents.end() && it->second.state == ResidentState::GivingUp)
        it->second.state = ResidentState::Serving;
    m_noGiveUpBefore = std::max(m_noGiveUpBefore, now + retryAfter);
}

void EngineScheduler::rejectAll(const Failure &failure, SchedulerActions &actions)
{
    while (m_queue.size() > 0) {
        const auto adapter = m_queue.adapters().begin()->first;
        rejectWaiters(adapter, failure, actions);
    }
}

void EngineScheduler::pump(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    expire(now, actions);
    dispatch(guard, now, actions);
    evict(guard, now, actions);
    orderLoads(guard, now, actions);
    requestLoads(guard, now, actions);
    freeSlotsInAdvance(guard, now, actions);
    rejectStranded(guard, now, actions);
    scheduleWake(now);
}

std::optional<Instant> EngineScheduler::nextWake() const
{
    return m_nextWake;
}

SchedulerLoad EngineScheduler::load() const
{
    SchedulerLoad load;
    load.running = static_cast<std::uint32_t>(m_running.size());
    load.waiting = static_cast<std::uint32_t>(m_queue.size());
    load.waitingLoads = static_cast<std::uint32_t>(m_wanted.size());
    for (const auto &[adapter, pending] : m_loads)
        load.loading.push_back(adapter);
    return load;
}

void EngineScheduler::expire(Instant now, SchedulerActions &actions)
{
    for (const auto &call : m_queue.expired(now)) {
        const Failure failure{Verdict::NotRun, ErrorCode::DeadlineExceeded, "the deadline passed in the queue",
                              std::max(expectedWait(call.serviceClass, now), minRetryAfter)};
        actions.emplace_back(RejectCall{call.id, failure});
    }
    std::erase_if(m_prefetches, [&](const auto &item) { return item.second <= now; });
    std::erase_if(m_retries,
                  [&](const auto &item) { return item.second.notBefore <= now && !m_queue.find(item.first); });
}

void EngineScheduler::dispatch(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    const auto dispatchable = [&](const AdapterVersion &adapter) {
        const auto it = m_residents.find(adapter);
        if (it != m_residents.end() && it->second.state != ResidentState::Serving)
            return false;
        return guard.mayDispatch(adapter);
    };
    while (m_running.size() < m_concurrency) {
        const auto call = m_queue.next(dispatchable, now);
        if (!call)
            return;
        auto &resident = m_residents[*call->model];
        resident.uses = decayedUses(resident, now) + 1;
        resident.updated = now;
        ++resident.running;
        m_running[call->id] = *call->model;
        actions.emplace_back(DispatchCall{call->id});
    }
}

void EngineScheduler::scheduleWake(Instant now)
{
    m_nextWake = m_queue.nextDeadline();
    const auto wakeAt = [&](Instant at) {
        if (at > now)
            m_nextWake = m_nextWake ? std::min(*m_nextWake, at) : at;
    };
    for (const auto &[adapter, retry] : m_retries)
        wakeAt(retry.notBefore);
    for (const auto &[adapter, load] : m_loads) {
        if (load.stage == LoadStage::Granted)
            wakeAt(load.since + m_settings.grantLifetime);
    }
    if (!m_wanted.empty())
        wakeAt(m_noGiveUpBefore);
}

Duration EngineScheduler::expectedWait(ServiceClass serviceClass, Instant now) const
{
    if (m_running.size() < m_concurrency)
        return Duration{0};
    return timeFor(m_queue.ahead(serviceClass), m_completions.perSecond(now));
}

Duration EngineScheduler::expectedLoadWait(const CallAttributes &call, Instant now) const
{
    if (m_residents.contains(*call.model) || m_queue.find(*call.model))
        return Duration{0};
    const auto ahead = std::count_if(m_wanted.begin(), m_wanted.end(), [&](const Wanted &wanted) {
        return !wanted.priority.foreseen && wanted.priority.serviceClass == call.serviceClass;
    });
    if (ahead < minPredictiveBacklog)
        return Duration{0};
    const auto &rate = m_loadsDone[static_cast<std::size_t>(call.serviceClass)];
    return timeFor(static_cast<std::size_t>(ahead), rate.perSecond(now));
}

void EngineScheduler::rejectWaiters(const AdapterVersion &adapter, const Failure &failure, SchedulerActions &actions)
{
    while (const auto *queue = m_queue.find(adapter)) {
        for (const auto &calls : queue->byClass) {
            if (calls.empty())
                continue;
            const auto id = calls.front().call.id;
            actions.emplace_back(RejectCall{id, failure});
            m_queue.remove(id);
            break;
        }
    }
}

} // namespace Gypsumtally
