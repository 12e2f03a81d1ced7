#include "budget/memorybudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Gypsumtally::Budget
{

namespace
{

/// Time without progress from which a holder may be shed while the budget is short. Pauses of ordinary callers on slow
/// paths are shorter.
constexpr Duration minStall = std::chrono::milliseconds{200};
constexpr Duration maxRetryAfter = std::chrono::seconds{10};
constexpr Duration freeingHalfLife = std::chrono::seconds{2};
/// Divides the rank of holders that this node itself holds up.
constexpr double heldUpDivisor = 8;

struct Candidate {
    MemoryHolder *holder = nullptr;
    bool isLarge = false;
    double rank = 0; ///< The highest is shed first.
};

} // namespace

MemoryBudget::MemoryBudget(const MemoryLimits &limits)
    : m_limits(limits)
    , m_freeing(freeingHalfLife)
{
}

void MemoryBudget::setLimits(const MemoryLimits &limits)
{
    m_limits = limits;
    // change() removes only holders that are large enough to be tracked.
    std::erase_if(m_tracked, [&](const auto &tracked) { return tracked.second < limits.trackedBytes; });
}

bool MemoryBudget::mayGrow(std::size_t held, std::size_t growth)
{
    const auto size = held + growth;
    auto kept = m_limits.reserve;
    if (size <= m_limits.smallBytes)
        kept = size <= m_limits.tinyBytes ? 0 : m_limits.reserve / 2;
    if (m_used + growth + kept <= m_limits.total)
        return true;
    m_wanted = std::max(m_wanted, growth);
    return false;
}

void MemoryBudget::onShort(std::function<void()> task)
{
    m_onShort = std::move(task);
}

std::size_t MemoryBudget::shed(Instant now)
{
    if (!isShort()) {
        m_wanted = 0;
        return 0;
    }
    std::vector<Candidate> candidates;
    for (const auto &[holder, bytes] : m_tracked) {
        const auto stall = holder->stalledFor(now);
        if (!stall || (*stall < minStall && m_used + m_limits.tinyBytes <= m_limits.total))
            continue;
        const double rank = static_cast<double>(bytes) * std::chrono::duration<double>(*stall).count();
        candidates.push_back({holder, bytes > m_limits.smallBytes, holder->isHeldUp() ? rank / heldUpDivisor : rank});
    }
    std::ranges::sort(candidates, [](const Candidate &a, const Candidate &b) {
        return a.isLarge != b.isLarge ? a.isLarge : a.rank > b.rank;
    });
    std::size_t count = 0;
    for (const auto &candidate : candidates) {
        if (!isShort() || (!candidate.isLarge && !isExhausted()))
            break;
        // Shedding a holder may end others.
        if (!m_tracked.contains(candidate.holder))
            continue;
        candidate.holder->shed();
        ++count;
    }
    if (!isShort())
        m_wanted = 0;
    return count;
}

Duration MemoryBudget::retryAfter(std::size_t bytes, Instant now)
{
    m_freeing.count(now, static_cast<double>(std::exchange(m_freed, 0)));
    const auto size = static_cast<double>(std::max<std::size_t>(bytes, 1));
    const std::chrono::duration<double> time(size / std::max(m_freeing.perSecond(now), 1.0));
    const auto end = std::max(m_returnsUntil, now);
    const std::chrono::duration<double> left = now + maxRetryAfter - end;
    m_returnsUntil = end + std::chrono::duration_cast<Duration>(std::min(time, left));
    return std::max(minStall, m_returnsUntil - now);
}

void MemoryBudget::change(MemoryHolder *holder, std::size_t before, std::size_t after)
{
    const bool wasShort = isShort();
    m_used = m_used - before + after;
    m_freed += before > after ? before - after : 0;
    if (holder && after >= m_limits.trackedBytes && after > 0)
        m_tracked[holder] = after;
    else if (holder && before >= m_limits.trackedBytes)
        m_tracked.erase(holder);
    if (!wasShort && isShort() && m_onShort)
        m_onShort();
}

} // namespace Gypsumtally::Budget
