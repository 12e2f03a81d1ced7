#pragma once

#include "common/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace Gypsumtally::Gateway
{

/// The requests that all nodes have lately sent to one upstream with a request limit, and those for which they have
/// reserved a time; at a brittle upstream, those that use places of other nodes. Nodes announce both to each other, so
/// that each finds the next free time without asking. Not thread-safe.
class SendSchedule
{
public:
    /// Records that @p node sends a request at @p at, which may be after @p now.
    void add(const std::string &node, Instant at, Instant now);

    /// Records that this node sends a request at @p now while the upstream does not limit its requests.
    void addUnlimited(Instant now);

    /// Begins a limit at @p now. Earlier requests count only as far as addEarlier() tells of them.
    void begin(Instant now);

    /// Returns how many requests this node has sent within the second before @p now while there was no limit, counts
    /// them as addEarlier() does and forgets them, so that each is told once.
    unsigned takeEarlier(Instant now);

    /// Records that some node has sent @p requests requests in the second before the limit began.
    void addEarlier(unsigned requests);

    /// Removes the request of @p node that is scheduled closest to @p at; does nothing if there is none nearby.
    void remove(const std::string &node, Instant at);

    /// Returns the earliest time, not before @p from, at which the upstream can get another request; @p perSecond is
    /// its limit.
    Instant nextFree(double perSecond, Instant from) const;

    /// Returns the earliest time, not before @p from, for another request of @p node; nothing if the node has reserved
    /// its share of the next seconds already. Nodes that wait have equal shares, and one share is left for a node that
    /// does not wait yet. Any node may take a time that is free at once.
    std::optional<Instant> nextFor(const std::string &node, double perSecond, Instant from, Instant now) const;

    /// Returns when the request that @p node has scheduled for @p at may be sent: later than @p at if other nodes have
    /// reserved the same time, or if the limit was lowered since.
    Instant dueAt(const std::string &node, double perSecond, Instant at) const;

    /// Returns the number of requests that any node has announced for a time after @p now.
    unsigned announcedAfter(Instant now) const;

    /// Returns the number of requests that nodes other than @p node have announced for a time after @p from and up to
    /// @p to. Precondition: @p from is not after @p to.
    unsigned announcedByOthers(const std::string &node, Instant from, Instant to) const;

    /// Returns the number of requests that nodes before @p node have announced for a time after @p from. The order of
    /// the nodes depends on @p seed, as views of one upstream differ in the times of what others announce.
    unsigned announcedBefore(const std::string &node, std::uint64_t seed, Instant from) const;

private:
    struct Entry {
        Instant at{};
        std::string node;
    };

    Instant firstFree(double perSecond) const;

    std::deque<Entry> m_entries; ///< Ordered by time.
    std::deque<Instant> m_unlimited; ///< Requests of this node in the last second without a limit.
    Instant m_begin{}; ///< Begin of the limit.
    double m_earlier = 0; ///< Requests of all nodes in the second before.
};

} // namespace Gypsumtally::Gateway
