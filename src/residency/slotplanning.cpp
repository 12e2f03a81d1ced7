// The part of EngineScheduler that plans loads and evictions.
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

/// An adapter with waiting calls is evicted for another only if the other is due earlier by this margin. Prevents two
/// adapters from evicting each other in turn.
constexpr Duration displacingMargin = std::chrono::seconds{4};
/// Factor on the retention score of an adapter that was already draining, so that small changes of use don't change the
/// choice of the victim.
constexpr double drainingDiscount = 0.5;

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Returns true if a priority differs enough from the one last sent to be sent again.
bool isSignificantChange(const LoadPriority &lastSent, const LoadPriority &current)
{
    return lastSent.serviceClass != current.serviceClass || lastSent.foreseen != current.foreseen
           || current.waiters >= 2 * lastSent.waiters + 1;
}

} // namespace

void EngineScheduler::evict(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    for (auto &[adapter, resident] : m_residents) {
        if (resident.state == ResidentState::Evicting || resident.running > 0 || now < resident.noEvictionBefore)
            continue;
        if (!guard.isLoaded(adapter) || !guard.mayEvict(adapter))
            continue;
        resident.state = ResidentState::Evicting;
        actions.emplace_back(EvictAdapter{adapter});
    }
}

void EngineScheduler::orderLoads(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    std::uint32_t freeSlots = guard.freeSlots();
    for (auto it = m_loads.begin(); it != m_loads.end();) {
        auto &[adapter, load] = *it;
        if (load.stage != LoadStage::Granted) {
            ++it;
            continue;
        }
        const bool isWanted = m_queue.find(adapter) || m_prefetches.contains(adapter);
        if (!isWanted || now - load.since >= m_settings.grantLifetime) {
            actions.emplace_back(WithdrawLoad{adapter});
            it = m_loads.erase(it);
            continue;
        }
        if (freeSlots > 0 && !m_residents.contains(adapter)) {
            --freeSlots;
            load.stage = LoadStage::Ordered;
            actions.emplace_back(LoadAdapter{adapter});
        }
        ++it;
    }
}

std::vector<EngineScheduler::Wanted> EngineScheduler::wanted(const GuardView &guard, Instant now) const
{
    std::vector<Wanted> result;
    for (const auto &[adapter, queue] : m_queue.adapters()) {
        const auto resident = m_residents.find(adapter);
        const bool isServed = resident != m_residents.end()
                              && (resident->second.state == ResidentState::Serving
                                  || resident->second.state == ResidentState::Draining);
        if (!isServed && !guard.mayDispatch(adapter) && mayRetry(adapter, now))
            result.push_back({adapter, priorityOf(queue), dueTimeOf(queue)});
    }
    for (const auto &[adapter, until] : m_prefetches) {
        if (!m_queue.find(adapter) && !m_residents.contains(adapter) && mayRetry(adapter, now))
            result.push_back({adapter, {.oldest = until, .foreseen = true}, Instant::max() - displacingMargin});
    }
    std::sort(result.begin(), result.end(),
              [](const Wanted &a, const Wanted &b) { return std::tie(a.due, a.adapter) < std::tie(b.due, b.adapter); });
    // The highest class goes first even if older calls of another class are due earlier; those follow in due order.
    const auto first = std::min_element(result.begin(), result.end(), [](const Wanted &a, const Wanted &b) {
        return std::tie(a.priority.foreseen, a.priority.serviceClass)
               < std::tie(b.priority.foreseen, b.priority.serviceClass);
    });
    if (first != result.end())
        std::rotate(result.begin(), first, first + 1);
    return result;
}

void EngineScheduler::requestLoads(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    m_wanted = wanted(guard, now);
    // A grant that has to wait for a slot reaches the store late and may exceed its rate limit. So request grants only
    // for slots that are free or surely being freed.
    const std::uint32_t slots = std::min(m_settings.maxLoads, guard.freeSlots() + slotsBeingFreed(true));
    std::uint32_t taken = 0;
    for (const auto &[adapter, load] : m_loads)
        taken += load.stage == LoadStage::Granted;
    std::vector<const AdapterVersion *> requested;
    for (const auto &candidate : m_wanted) {
        const auto known = m_loads.find(candidate.adapter);
        if (known != m_loads.end() && known->second.stage != LoadStage::Requested)
            continue;
        if (taken >= slots)
            break;
        ++taken;
        requested.push_back(&candidate.adapter);
        requestLoad(candidate, now, actions);
    }
    std::erase_if(m_loads, [&](const auto &item) {
        const bool isRequested
            = std::any_of(requested.begin(), requested.end(), [&](const auto *r) { return *r == item.first; });
        if (item.second.stage != LoadStage::Requested || isRequested)
            return false;
        actions.emplace_back(WithdrawLoad{item.first});
        return true;
    });
}

void EngineScheduler::requestLoad(const Wanted &wanted, Instant now, SchedulerActions &actions)
{
    const auto known = m_loads.find(wanted.adapter);
    if (known != m_loads.end() && !isSignificantChange(known->second.lastSent, wanted.priority))
        return;
    m_loads[wanted.adapter] = {LoadStage::Requested, wanted.priority, now};
    actions.emplace_back(RequestLoad{wanted.adapter, wanted.priority});
}

void EngineScheduler::freeSlotsInAdvance(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    for (auto &resident : m_residents) {
        if (resident.second.state == ResidentState::Draining && resident.second.running == 0 && now >= m_noGiveUpBefore)
            startGivingUp(resident, actions);
    }
    const std::uint32_t available = guard.freeSlots() + slotsBeingFreed();
    const auto unmet = std::min(static_cast<std::uint32_t>(m_wanted.size()), m_settings.maxLoads);
    const std::uint32_t needed = m_settings.spareSlots + unmet;
    for (auto &[adapter, resident] : m_residents) {
        resident.wasDraining = resident.state == ResidentState::Draining;
        if (resident.wasDraining)
            resident.state = ResidentState::Serving;
    }
    if (now < m_noGiveUpBefore)
        return;
    for (std::uint32_t slot = available; slot < needed; ++slot) {
        const auto it = victim(guard, slot < unmet ? &m_wanted[slot] : nullptr, now);
        if (it == m_residents.end())
            return;
        if (it->second.running > 0)
            it->second.state = ResidentState::Draining;
        else
            startGivingUp(*it, actions);
    }
}

void EngineScheduler::startGivingUp(Residents::value_type &resident, SchedulerActions &actions)
{
    resident.second.state = ResidentState::GivingUp;
    actions.emplace_back(GiveUpAdapter{resident.first});
}

EngineScheduler::Residents::iterator EngineScheduler::victim(const GuardView &guard, const Wanted *wanted, Instant now)
{
    auto best = m_residents.end();
    double bestScore = std::numeric_limits<double>::infinity();
    for (auto it = m_residents.begin(); it != m_residents.end(); ++it) {
        if (it->second.state != ResidentState::Serving || !guard.mayDispatch(it->first))
            continue;
        const auto *waiting = m_queue.find(it->first);
        if (waiting && !(wanted && wanted->due + displacingMargin <= dueTimeOf(*waiting)))
            continue;
        const double score = retentionScoreOf(*it, now);
        if (score < bestScore || (score == bestScore && it->first < best->first)) {
            best = it;
            bestScore = score;
        }
    }
    return best;
}

double EngineScheduler::retentionScoreOf(const Residents::value_type &resident, Instant now) const
{
    const auto *queue = m_queue.find(resident.first);
    double score = decayedUses(resident.second, now) + (queue ? queue->size * 2.0 : 0.0);
    if (queue && !queue->byClass[0].empty())
        score += 100;
    score += 0.25 * resident.second.running;
    return resident.second.wasDraining ? score * drainingDiscount : score;
}

double EngineScheduler::decayedUses(const Resident &resident, Instant now) const
{
    const double halfLife = std::chrono::duration<double>(m_settings.halfLife).count();
    return resident.uses * std::exp2(-secondsBetween(resident.updated, now) / halfLife);
}

std::uint32_t EngineScheduler::slotsBeingFreed(bool onlyGivenUp) const
{
    std::uint32_t slots = 0;
    for (const auto &[adapter, resident] : m_residents) {
        slots += resident.state == ResidentState::GivenUp || resident.state == ResidentState::Evicting
                 || (!onlyGivenUp && resident.state == ResidentState::GivingUp);
    }
    return slots;
}

bool EngineScheduler::mayRetry(const AdapterVersion &adapter, Instant now) const
{
    const auto it = m_retries.find(adapter);
    return it == m_retries.end() || it->second.notBefore <= now;
}

void EngineScheduler::rejectStranded(const GuardView &guard, Instant now, SchedulerActions &actions)
{
    if (now >= m_noGiveUpBefore || guard.freeSlots() + slotsBeingFreed() > 0)
        return;
    const Failure failure{Verdict::NotRun, ErrorCode::PlatformUnavailable, "no slot can be freed now",
                          std::max(Duration{m_noGiveUpBefore - now}, minRetryAfter)};
    for (const auto &candidate : m_wanted) {
        if (!candidate.priority.foreseen && now - candidate.priority.oldest >= m_settings.strandedTimeout)
            rejectWaiters(candidate.adapter, failure, actions);
    }
}

} // namespace Gypsumtally
