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
    std::string organisation{}; ///< Empty if the call belongs to none.
    double tokens = 0; ///< Of its prompt and of the longest answer.
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

    /// Records that a call of @p organisation was sent to an upstream.
    void onSent(const std::string &organisation, double tokens)
    {
        if (!organisation.empty())
            m_inService[organisation] += std::max(1.0, tokens);
    }

    /// Records the end of such a send. Precondition: onSent() was called with the same arguments.
    void onEnded(const std::string &organisation, double tokens)
    {
        const auto it = m_inService.find(organisation);
        if (it != m_inService.end() && (it->second -= std::max(1.0, tokens)) <= 0)
            m_inService.erase(it);
    }

    /// Returns all calls in the order of service. Those of a class that starves go first. Of equal rank otherwise,
    /// those of the organisation go first that has the least tokens in service, the calls before counted.
    std::vector<Call> inOrder(Instant now) const
    {
        auto places = ranked(now);
        auto inService = m_inService;
        for (auto &place : places) {
            const auto &waiting = place.entry->waiting;
            if (waiting.organisation.empty())
                continue;
            place.tokens = inService[waiting.organisation];
            inService[waiting.organisation] += std::max(1.0, waiting.tokens);
        }
        std::ranges::stable_sort(places, {}, [](const Place &place) { return std::pair(place.group, place.tokens); });
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

    /// Returns the number of calls that wait for capacity of the service of @p waiting and certainly go before it at @p
    /// now: more urgent ones, and earlier ones of its organisation.
    unsigned countBefore(const WaitingCall &waiting, Instant now) const
    {
        return static_cast<unsigned>(std::ranges::count_if(m_entries, [&](const auto &item) {
            const auto &other = item.second.waiting;
            return isForCapacity(item.second, waiting.service) && other.rank.goesBefore(waiting.rank, now)
                   && (other.rank.urgency < waiting.rank.urgency || other.organisation == waiting.organisation);
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
        rows.reserve(counts.size());
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

    /// Calls are served by group: whether the class starves, the urgency, and whether the call is late.
    using Group = std::tuple<bool, unsigned, bool>;

    struct Place {
        Group group;
        double tokens = 0; ///< Of the organisation in service when it is the call's turn.
        const Entry *entry = nullptr;
        const Call *call = nullptr;
    };

    /// Returns the calls in the order of service, organisations aside.
    std::vector<Place> ranked(Instant now) const
    {
        std::map<std::pair<std::string_view, unsigned>, bool> starving;
        std::vector<Place> places;
        places.reserve(m_entries.size());
        for (const auto &[call, entry] : m_entries) {
            const auto &rank = entry.waiting.rank;
            const auto [it, isNew] = starving.try_emplace({entry.waiting.service, rank.urgency});
            if (isNew)
                it->second = m_reserve.isStarving(entry.waiting.service, rank.urgency, now);
            places.push_back({{!it->second, rank.urgency, rank.inTimeUntil < now}, 0, &entry, &call});
        }
        std::ranges::sort(places, {}, [](const Place &place) {
            return std::pair(place.group, place.entry->waiting.rank.latestSend);
        });
        return places;
    }

    static bool isForCapacity(const Entry &entry, const std::string &service)
    {
        return entry.forCapacitySince && entry.waiting.service == service;
    }

    CapacityReserve &m_reserve;
    std::map<Call, Entry> m_entries;
    std::map<std::string, double> m_inService; ///< Tokens of this node's calls at upstreams, by organisation.
};

} // namespace Gypsumtally::Scheduling
