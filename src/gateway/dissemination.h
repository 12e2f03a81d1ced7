#pragma once

#include "gateway/gatewaymessage.h"
#include "gateway/membertable.h"

#include <cstddef>
#include <vector>

namespace Gypsumtally::Gateway
{

struct DisseminationSettings {
    /// Up to so many other nodes each is told directly and at once.
    std::size_t directPeers = 16;
    /// Of each failure domain; they take turns, so that the loss of one costs half of the reports until it shows.
    std::size_t relaysPerDomain = 2;
    /// Reports are gathered for so long at each relay, and longer in large domains, so that what a relay sends in a
    /// second grows more slowly than its domain. Short against the 300 ms that prompts of several nodes must keep to.
    Duration pause = std::chrono::milliseconds{6};
    Duration pausePerNode = std::chrono::microseconds{250};
    /// In one datagram, which stays some kilobytes.
    std::size_t reportsPerMessage = 16;
};

/// Decides how the reports of nodes reach all others. In a small fleet each node tells each other one. In a large one
/// reports go to a relay of the node's failure domain, from there to a relay of each other domain, and from relays to
/// the nodes of their domains, so that no node's share grows with the square of the fleet. Not thread-safe; does no
/// I/O.
class Dissemination
{
public:
    /// A message and the nodes that it is to be sent to.
    struct Parcel {
        GatewayMessage message;
        std::vector<NodeAddress> targets;
    };

    explicit Dissemination(DisseminationSettings settings = {});

    /// Takes in a report of this node.
    void add(NodeReport report);

    /// Takes in what another node sent, to pass on what it asks for.
    void onMessage(const GatewayMessage &message);

    /// Whether anything waits to be sent.
    bool isEmpty() const;

    /// Returns how long reports are to be gathered before flush(); zero in a small fleet.
    Duration pause(const MemberTable &members, Instant now) const;

    /// Returns what is to be sent now.
    std::vector<Parcel> flush(const MemberTable &members, Instant now);

private:
    bool isDirect(const MemberTable &members, Instant now) const;
    void send(const std::vector<NodeReport> &reports, Onward onward, const std::vector<NodeAddress> &targets,
              const MemberTable &members, std::vector<Parcel> &parcels) const;

    DisseminationSettings m_settings;
    std::vector<NodeReport> m_own;
    std::vector<NodeReport> m_forEverywhere;
    std::vector<NodeReport> m_forOwnDomain;
    std::size_t m_turn = 0;
};

} // namespace Gypsumtally::Gateway
