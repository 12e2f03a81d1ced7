#include "gateway/relaychoice.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr double minCapacity = 0.01; ///< Of a node that states none.

bool reachesAny(const RelayPeer &peer, const RelayDemand &demand)
{
    return std::ranges::any_of(*demand.upstreams,
                               [&](const std::string &instance) { return !demand.isCutOff(peer.node, instance); });
}

} // namespace

const RelayPeer *RelayChoice::choose(const std::vector<RelayPeer> &peers, const RelayDemand &demand) const
{
    const auto key = XXH3_64bits(demand.requestId.data(), demand.requestId.size());
    const RelayPeer *best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const auto &peer : peers) {
        if (std::ranges::find(*demand.failedPeers, peer.node) != demand.failedPeers->end() || !reachesAny(peer, demand))
            continue;
        // The hash stands for calls that other nodes pass to the peer.
        const double calls
            = inFlight(peer.node) + 2 * fractionOf(XXH3_64bits_withSeed(peer.node.data(), peer.node.size(), key));
        const double load
            = calls / std::max(minCapacity, peer.capacity) * (peer.region == demand.region ? 1 : crossRegionFactor);
        if (load >= least)
            continue;
        least = load;
        best = &peer;
    }
    return best;
}

void RelayChoice::onSent(const std::string &node)
{
    ++m_inFlight[node];
}

void RelayChoice::onEnded(const std::string &node)
{
    const auto it = m_inFlight.find(node);
    if (it != m_inFlight.end() && --it->second == 0)
        m_inFlight.erase(it);
}

unsigned RelayChoice::inFlight(const std::string &node) const
{
    const auto it = m_inFlight.find(node);
    return it == m_inFlight.end() ? 0 : it->second;
}

} // namespace Gypsumtally::Gateway
