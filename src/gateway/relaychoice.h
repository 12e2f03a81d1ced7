#pragma once

#include "http/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// A live peer that accepts calls.
struct RelayPeer {
    std::string node;
    std::string region;
    Http::Endpoint endpoint; ///< For relayed calls.
    std::int64_t startedAt = 0; ///< Start of its process, in ms since the Unix epoch.
    double capacity = 1; ///< Relative capacity of its machine.
};

/// The requirements of a call that decide which peer it is passed to.
struct RelayDemand {
    std::string_view requestId;
    std::string_view region; ///< This node's.
    const std::vector<std::string> *upstreams = nullptr; ///< That could serve the call; the peer must reach one.
    const std::vector<std::string> *failedPeers = nullptr; ///< That have failed the call.
    /// Returns true if a peer does not reach an upstream.
    std::function<bool(const std::string &node, const std::string &instance)> isCutOff;
};

/// Chooses the peers to which this node passes calls, in proportion to the room that they have for them. Not
/// thread-safe; does no I/O.
class RelayChoice
{
public:
    /// Factor on the load of a peer in another region, so that those of this node's region get more calls, but not all.
    static constexpr double crossRegionFactor = 2;

    /// Returns the peer that is to get a call, or null if none of @p peers can serve it. Different calls get different
    /// peers, even of nodes that do not know of each other's calls.
    const RelayPeer *choose(const std::vector<RelayPeer> &peers, const RelayDemand &demand) const;

    /// Records that a call was passed to @p node.
    void onSent(const std::string &node);

    /// Records that a call at @p node has ended. Precondition: onSent() was called for it.
    void onEnded(const std::string &node);

    /// Returns the number of this node's calls at @p node.
    unsigned inFlight(const std::string &node) const;

private:
    std::map<std::string, unsigned> m_inFlight; ///< Only of nodes that have any.
};

} // namespace Gypsumtally::Gateway
