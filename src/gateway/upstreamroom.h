#pragma once

#include "common/clock.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <string>

namespace Gypsumtally::Gateway
{

/// Time until all nodes have received the announcement of a send.
inline constexpr Duration announcementDelay = std::chrono::milliseconds{30};

/// The position of a node among the live nodes in the order of their names.
struct NodeRank {
    unsigned index = 0;
    unsigned count = 1; ///< Number of live nodes, this one included.
};

/// Deals the places at the upstreams of a brittle service out to the nodes in turn, so that each node may use its own
/// without asking. Nodes that know the same records and live nodes deal alike.
class PlaceDealer
{
public:
    explicit PlaceDealer(NodeRank rank)
        : m_rank(rank)
    {
    }

    /// Returns the number of places at @p upstream that belong to this node. Precondition: is called for each upstream
    /// of the service in the order of their instances.
    unsigned deal(const Upstream &upstream, Instant now);

private:
    unsigned ownBefore(unsigned place) const;

    NodeRank m_rank;
    unsigned m_dealt = 0;
};

/// Whether an upstream of a brittle service can take another request of a node.
enum class RoomState {
    Own, ///< A place of this node's own is free.
    Lent, ///< A place of another node is free; its use has to be announced ahead.
    Full,
};

/// Returns the number of requests that @p upstream can take at once: its slots, or fewer after it has refused requests
/// for want of room. Thread-safe.
unsigned roomOf(const Upstream &upstream, Instant now);

/// Returns the room of @p upstream for another request of @p node, which has @p ownPlaces there. Places are lent only
/// while most are free and the upstream has not refused requests lately, and if it bears at least one of
/// @p refusalsPerSecond. Thread-safe.
RoomState roomFor(const Upstream &upstream, const std::string &node, unsigned ownPlaces, unsigned refusalsPerSecond,
                  Instant now);

/// Returns true if the place of another node that @p node has announced to use now is still free at @p upstream. Of
/// nodes that have announced the same, those go first that come first in an order that differs by upstream.
/// Thread-safe.
bool isStillLent(const Upstream &upstream, const std::string &node, Instant now);

/// Records that @p upstream has refused a request for want of room while @p inFlight others of all nodes were known to
/// be there.
void noteFull(Upstream &upstream, unsigned inFlight, Instant now);

} // namespace Gypsumtally::Gateway
