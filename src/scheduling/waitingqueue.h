#pragma once

#include "common/clock.h"
#include "scheduling/capacityreserve.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace Gypsumtally::Scheduling
{

/// The place of a waiting call in the order of service: the most urgent first; of equal urgency those that can still be
/// in time, as otherwise every call would be served just before it is of no use; then the one whose time to be sent
/// runs out first.
struct QueueRank {
    unsigned urgency = 0;
    Instant inTimeUntil{}; ///< Latest time to be sent and in time.
    Instant latestSend{}; ///< Latest useful time to be sent.

    /// Returns true if a call with this rank is served before one with @p other at @p now.
    bool goesBefore(const QueueRank &other, Instant now) const
    {
        return std::tuple(urgency, inTimeUntil < now, latestSend)
               < std::tuple(other.urgency, other.inTimeUntil < now, other.latestSend);
    }
};

/// What the order of service depends on.
struct WaitingCall {
    std::string service;
    QueueRank rank;
    Instant arrival{};
};

/// The calls that wait at a node, in the order in which they are served. Tells the reserve how long calls wait for
/// capacity. @c Call is a pointer to a call. Not thread-safe; does no I/O.
template<typename Call>
class WaitingQueue
{
public:
    /// Precondition: @p reserve outlives the queue.
    explicit WaitingQueue(CapacityReserve &reserve)
        : m_reserve(reserve)
    {
    }

    bool contains(const Call &call) const
    {
        return m_entries.contains(call);
    }

    /// Adds @p call unless it is in the queue. Notes whether it waits for capacity: a slot or the prompt pace.
    void begin(const Call &call, const WaitingCall &waiting, bool isForCapacity, Instant now)
    {
        const auto it = m_entries.try_emplace(call, Entry{waiting, now, {}}).first;
        auto &since = it->second.forCapacitySince;
        since = !isForCapacity ? std::nullopt : std::optional(since.value_or(now));
    }

    /// Removes @p call and returns how long it was in the queue; nothing if it was not.
    std::optional<Duration> end(const Call &call, Instant now)
    {
        const auto node = m_entries.extract(call);
        if (node.empty())
            return std::nullopt;
        const auto &[waiting, since, forCapacitySince] = node.mapped();
        if (forCapacitySince)
            m_reserve.onWaited(waiting.service, waiting.rank.urgency, now - *forCapacitySince, now);
        return now - since;
    }

    /// Returns all calls in the order of service. Those of a class that starves go first.
    std::vector<Call> inOrder(Instant now) const
    {
        struct Place {
            bool isStarving = false;
            const Entry *entry = nullptr;
            const Call *call = nullptr;
        };
        std::map<std::pair<std::string_view, unsigned>, bool> starving;
        std::vector<Place> places;
        places.reserve(m_entries.size());
        for (const auto &[call, entry] : m_entries) {
            const auto &[service, rank, arrival] = entry.waiting;
            const auto [it, isNew] = starving.try_emplace({service, rank.urgency});
            if (isNew)
                it->second = m_reserve.isStarving(service, rank.urgency, now);
            places.push_back({it->second, &entry, &call});
        }
        std::ranges::sort(places, [&](const Place &left, const Place &right) {
            if (left.isStarving != right.isStarving)
                return left.isStarving;
            return left.entry->waiting.rank.goesBefore(right.entry->waiting.rank, now);
        });
        std::vector<Call> calls;
        calls.reserve(places.size());
        for (const auto &place : places)
            calls.push_back(*place.call);
        return calls;
    }

    /// Returns the calls that wait for capacity of @p service in the order of service.
    std::vector<Call> forCapacity(const std::string &service, Instant now) const
    {
        auto calls = inOrder(now);
        std::erase_if(calls, [&](const Call &call) { return !isForCapacity(m_entries.at(call), service); });
        return calls;
    }

    /// Returns the number of calls that wait for capacity of @p service and go before @p rank at @p now.
    unsigned countBefore(const QueueRank &rank, const std::string &service, Instant now) const
    {
        return static_cast<unsigned>(std::ranges::count_if(m_entries, [&](const auto &item) {
            return isForCapacity(item.second, service) && item.second.waiting.rank.goesBefore(rank, now);
        }));
    }

    /// Returns the number of calls for @p service that arrived before @p arrival.
    unsigned countArrivedBefore(Instant arrival, const std::string &service) const
    {
        return static_cast<unsigned>(std::ranges::count_if(m_entries, [&](const auto &item) {
            const auto &waiting = item.second.waiting;
            return waiting.service == service && waiting.arrival < arrival;
        }));
    }

    /// Returns true if calls of several urgencies wait for @p service.
    bool hasSeveralUrgencies(const std::string &service) const
    {
        std::optional<unsigned> first;
        for (const auto &[call, entry] : m_entries) {
            if (entry.waiting.service != service)
                continue;
            if (entry.waiting.rank.urgency != first.value_or(entry.waiting.rank.urgency))
                return true;
            first = entry.waiting.rank.urgency;
        }
        return false;
    }

    /// Tells the reserve how many calls have waited for capacity for long enough to be evidence of a shortage. To be
    /// called several times a second.
    void report(Instant now)
    {
        std::map<std::pair<std::string, unsigned>, unsigned> counts;
        for (const auto &[call, entry] : m_entries) {
            if (entry.forCapacitySince && now - *entry.forCapacitySince >= CapacityReserve::minDelay)
                ++counts[{entry.waiting.service, entry.waiting.rank.urgency}];
        }
        std::vector<WaitingCount> rows;
        for (const auto &[key, calls] : counts)
            rows.push_back({key.first, key.second, calls});
        m_reserve.setWaiting(std::move(rows), now);
    }

private:
    struct Entry {
        WaitingCall waiting;
        Instant since{};
        std::optional<Instant> forCapacitySince;
    };

    static bool isForCapacity(const Entry &entry, const std::string &service)
    {
        return entry.forCapacitySince && entry.waiting.service == service;
    }

    CapacityReserve &m_reserve;
    std::map<Call, Entry> m_entries;
};

} // namespace Gypsumtally::Scheduling
