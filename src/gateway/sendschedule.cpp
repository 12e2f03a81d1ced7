#include "gateway/sendschedule.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Gypsumtally::Gateway
{

namespace
{

/// Longest time between two requests, also for a lower limit: only an answer tells that the limit was raised or has
/// ended. The platform tolerates 5 requests in 4 s beyond any limit.
constexpr Duration maxInterval = std::chrono::seconds{4};
/// Age limit of entries. At least maxInterval, so that an entry counts for as long as it delays the next.
constexpr Duration retention = maxInterval;
/// Time by which requests may precede their schedule. Covers the time between two looks at the schedule, which would
/// otherwise be lost for the upstream.
constexpr Duration earliness = std::chrono::milliseconds{60};
constexpr Duration reservedSpan = std::chrono::seconds{4}; ///< Time that the shares of waiting nodes divide.
/// Time before the begin of a limit from which requests count: the platform counts windows of 4 s that end 3 s or more
/// after a limit was first stated.
constexpr Duration earlierSpan = std::chrono::seconds{1};
/// Time whose requests, at the limit's rate, the platform tolerates in a window beyond the limit itself.
constexpr double toleratedSeconds = 2;
/// Requests in a window beyond these. The platform tolerates 5; the rest covers those that are on their way when a
/// limit begins, and those that nodes send before they learn of each other's.
constexpr double toleratedRequests = 1;
/// Largest difference between the times of one request in the views of two nodes.
constexpr Duration maxSkew = std::chrono::milliseconds{300};

Duration intervalOf(double perSecond)
{
    const double longest = std::chrono::duration<double>(maxInterval).count();
    const double seconds = perSecond * longest > 1 ? 1 / perSecond : longest;
    return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

} // namespace

void SendSchedule::add(const std::string &node, Instant at, Instant now)
{
    while (!m_entries.empty() && now - m_entries.front().at > retention)
        m_entries.pop_front();
    const auto later = std::ranges::upper_bound(m_entries, at, {}, &Entry::at);
    m_entries.insert(later, {at, node});
}

void SendSchedule::addUnlimited(Instant now)
{
    while (!m_unlimited.empty() && now - m_unlimited.front() > earlierSpan)
        m_unlimited.pop_front();
    m_unlimited.push_back(now);
}

void SendSchedule::begin(Instant now)
{
    m_begin = now;
    m_earlier = 0;
    m_entries.clear();
}

unsigned SendSchedule::takeEarlier(Instant now)
{
    const auto requests = static_cast<unsigned>(
        std::ranges::count_if(m_unlimited, [&](Instant at) { return now - at <= earlierSpan; }));
    m_unlimited.clear();
    addEarlier(requests);
    return requests;
}

void SendSchedule::addEarlier(unsigned requests)
{
    m_earlier += requests;
}

/// Returns when the upstream can get its first request since the limit began, so that a flood before it and the
/// requests of its first window together stay within what the platform tolerates.
Instant SendSchedule::firstFree(double perSecond) const
{
    const double excess = m_earlier - toleratedSeconds * perSecond - toleratedRequests;
    if (excess <= 0)
        return {};
    const double seconds = excess * std::chrono::duration<double>(intervalOf(perSecond)).count();
    const double longest = std::chrono::duration<double>(retention + 2 * earliness).count();
    return m_begin + Duration{static_cast<std::int64_t>(std::min(seconds, longest) * 1e6)};
}

void SendSchedule::remove(const std::string &node, Instant at)
{
    auto closest = m_entries.end();
    auto smallest = maxSkew;
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const auto distance = std::chrono::abs(it->at - at);
        if (it->node == node && distance < smallest) {
            smallest = distance;
            closest = it;
        }
    }
    if (closest != m_entries.end())
        m_entries.erase(closest);
}

Instant SendSchedule::nextFree(double perSecond, Instant from) const
{
    const auto interval = intervalOf(perSecond);
    auto free = firstFree(perSecond); // After the entries so far.
    for (const auto &entry : m_entries) {
        const auto begin = std::max(from, free - earliness);
        if (begin + interval <= entry.at)
            return begin;
        free = std::max(free, entry.at) + interval;
    }
    return std::max(from, free - earliness);
}

std::optional<Instant> SendSchedule::nextFor(const std::string &node, double perSecond, Instant from, Instant now) const
{
    const auto next = nextFree(perSecond, from);
    if (next == from)
        return next;
    std::set<std::string> waiting{node};
    std::size_t own = 0;
    for (const auto &entry : m_entries) {
        if (entry.at <= now)
            continue;
        waiting.insert(entry.node);
        own += entry.node == node ? 1 : 0;
    }
    const double requests = std::chrono::duration<double>(reservedSpan).count() * perSecond;
    const double share = requests / static_cast<double>(waiting.size() + 1);
    return static_cast<double>(own) < std::max(1.0, share) ? std::optional(next) : std::nullopt;
}

Instant SendSchedule::dueAt(const std::string &node, double perSecond, Instant at) const
{
    const auto interval = intervalOf(perSecond);
    auto free = firstFree(perSecond);
    for (const auto &entry : m_entries) {
        if (entry.at > at)
            break;
        if (entry.at == at && entry.node >= node)
            continue; // Its own, or one that is sent after it.
        free = std::max(free, entry.at) + interval;
    }
    return std::max(at, free - earliness);
}

unsigned SendSchedule::announcedAfter(Instant now) const
{
    return static_cast<unsigned>(m_entries.end() - std::ranges::upper_bound(m_entries, now, {}, &Entry::at));
}

unsigned SendSchedule::announcedByOthers(const std::string &node, Instant from, Instant to) const
{
    const auto first = std::ranges::upper_bound(m_entries, from, {}, &Entry::at);
    const auto last = std::ranges::upper_bound(m_entries, to, {}, &Entry::at);
    return static_cast<unsigned>(std::count_if(first, last, [&](const Entry &entry) { return entry.node != node; }));
}

unsigned SendSchedule::announcedBefore(const std::string &node, std::uint64_t seed, Instant from) const
{
    const auto rankOf
        = [seed](const std::string &each) { return XXH3_64bits_withSeed(each.data(), each.size(), seed); };
    const auto first = std::ranges::upper_bound(m_entries, from, {}, &Entry::at);
    return static_cast<unsigned>(std::count_if(
        first, m_entries.end(), [&, own = rankOf(node)](const Entry &entry) { return rankOf(entry.node) < own; }));
}

} // namespace Gypsumtally::Gateway
