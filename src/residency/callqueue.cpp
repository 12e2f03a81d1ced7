#include "residency/callqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Gypsumtally
{

namespace
{

/// Maximum number of calls that are ranked per adapter and class. Ranking more would cost more than it gains, since
/// customers further back move up as these calls are dispatched.
constexpr std::size_t maxRankedPerQueue = 16;
constexpr std::size_t maxIdleShares = 1024;
/// Cost in tokens of a call without a token limit.
constexpr double defaultTokenCost = 256;

std::size_t indexOf(ServiceClass serviceClass)
{
    return static_cast<std::size_t>(serviceClass);
}

double costOf(const CallAttributes &call)
{
    return call.maxTokens > 0 ? call.maxTokens : defaultTokenCost;
}

} // namespace

CallQueue::CallQueue(QueueSettings settings)
    : m_settings(settings)
{
}

void CallQueue::setSettings(const QueueSettings &settings)
{
    m_settings = settings;
}

bool CallQueue::full() const
{
    return m_positions.size() >= m_settings.maxCalls;
}

std::size_t CallQueue::size() const
{
    return m_positions.size();
}

const CallQueue::Adapters &CallQueue::adapters() const
{
    return m_adapters;
}

const AdapterQueue *CallQueue::find(const AdapterVersion &adapter) const
{
    const auto it = m_adapters.find(adapter);
    return it == m_adapters.end() ? nullptr : &it->second;
}

void CallQueue::push(const CallAttributes &call)
{
    auto &share = m_shares[call.customer];
    if (share.waiting++ == 0)
        share.served = std::max(share.served, m_servedFloor);
    auto &queue = m_adapters[*call.model];
    queue.byClass[indexOf(call.serviceClass)].push_back({call, &share});
    ++queue.size;
    ++m_counts[indexOf(call.serviceClass)];
    m_positions[call.id] = {*call.model, call.serviceClass};
    if (call.deadline)
        m_deadlines.emplace(*call.deadline, call.id);
}

std::optional<CallAttributes> CallQueue::remove(CallId id)
{
    const auto position = m_positions.find(id);
    if (position == m_positions.end())
        return std::nullopt;
    const auto adapter = m_adapters.find(position->second.adapter);
    const auto index = indexOf(position->second.serviceClass);
    auto &calls = adapter->second.byClass[index];
    const auto it = std::find_if(calls.begin(), calls.end(), [&](const auto &w) { return w.call.id == id; });
    auto call = std::move(it->call);
    --it->share->waiting;
    calls.erase(it);
    --m_counts[index];
    if (--adapter->second.size == 0)
        m_adapters.erase(adapter);
    if (call.deadline)
        m_deadlines.erase({*call.deadline, id});
    m_positions.erase(position);
    return call;
}

std::optional<CallAttributes> CallQueue::shedBelow(ServiceClass serviceClass)
{
    for (std::size_t index = m_counts.size() - 1; index > indexOf(serviceClass); --index) {
        if (m_counts[index] == 0)
            continue;
        const WaitingCall *newest = nullptr;
        for (const auto &[adapter, queue] : m_adapters) {
            const auto &calls = queue.byClass[index];
            if (calls.empty())
                continue;
            const auto &last = calls.back();
            if (!newest || std::tie(last.call.arrival, last.call.id) > std::tie(newest->call.arrival, newest->call.id))
                newest = &last;
        }
        return remove(newest->call.id);
    }
    return std::nullopt;
}

std::vector<CallAttributes> CallQueue::expired(Instant now)
{
    std::vector<CallAttributes> calls;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        calls.push_back(*remove(m_deadlines.begin()->second));
    return calls;
}

CallQueue::Rank CallQueue::rankOf(const AdapterQueue &queue, const WaitingCall &waiting, Instant now) const
{
    const auto index = indexOf(waiting.call.serviceClass);
    const auto ageing = m_settings.ageing[index];
    const auto steps = static_cast<int>((now - waiting.call.arrival) / std::max(ageing, Duration{1}));
    Rank rank;
    rank.aged = steps > 0 && index > 0;
    // An aged call rises at most to the class below urgent. It overtakes urgent calls only by spending aged credit.
    rank.level = rank.aged ? std::max(1, static_cast<int>(index) - steps) : static_cast<int>(index);
    if (rank.aged && m_agedCredit >= 1)
        rank.level = -1;
    rank.served = std::floor(waiting.share->served / m_settings.fairQuantum);
    rank.group = queue.size;
    rank.arrival = waiting.call.arrival;
    rank.call = waiting.call.id;
    return rank;
}

bool CallQueue::precedes(const Rank &first, const Rank &second)
{
    if (first.level != second.level)
        return first.level < second.level;
    if (first.served != second.served)
        return first.served < second.served;
    if (first.group != second.group)
        return first.group > second.group;
    return std::tie(first.arrival, first.call) < std::tie(second.arrival, second.call);
}

std::optional<CallAttributes> CallQueue::next(const std::function<bool(const AdapterVersion &)> &dispatchable,
                                              Instant now)
{
    std::optional<Rank> best;
    bool agedWaits = false;
    for (const auto &[adapter, queue] : m_adapters) {
        if (!dispatchable(adapter))
            continue;
        for (const auto &calls : queue.byClass) {
            for (std::size_t i = 0; i < std::min(calls.size(), maxRankedPerQueue); ++i) {
                const auto rank = rankOf(queue, calls[i], now);
                agedWaits = agedWaits || rank.aged;
                if (!best || precedes(rank, *best))
                    best = rank;
            }
        }
    }
    if (!best)
        return std::nullopt;
    if (best->aged && best->level < 0)
        m_agedCredit -= 1;
    else if (agedWaits)
        m_agedCredit = std::min(1.0, m_agedCredit + m_settings.agedFraction);
    auto call = remove(best->call);
    auto &share = m_shares[call->customer];
    m_servedFloor = std::max(m_servedFloor, share.served);
    share.served += costOf(*call);
    pruneShares();
    return call;
}

std::size_t CallQueue::ahead(ServiceClass serviceClass) const
{
    std::size_t calls = 0;
    for (std::size_t index = 0; index <= indexOf(serviceClass); ++index)
        calls += m_counts[index];
    return calls;
}

std::optional<Instant> CallQueue::nextDeadline() const
{
    if (m_deadlines.empty())
        return std::nullopt;
    return m_deadlines.begin()->first;
}

void CallQueue::pruneShares()
{
    if (m_shares.size() <= m_positions.size() + maxIdleShares)
        return;
    std::erase_if(m_shares, [](const auto &item) { return item.second.waiting == 0; });
}

} // namespace Gypsumtally
