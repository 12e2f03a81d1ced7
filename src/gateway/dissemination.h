#pragma once

#include "gateway/gatewaymessage.h"
#include "gateway/membertable.h"

#include <cstddef>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Limits and delays of Dissemination.
struct DisseminationSettings {
    /// Maximum number of peers for which each report is sent to all of them directly and without delay.
    std::size_t directPeers = 16;
    /// Number of relays of each failure domain. They are used in turn, so that the loss of one costs only half of the
    /// reports until it is detected.
    std::size_t relaysPerDomain = 2;
    /// Time for which each relay batches reports, longer in large domains, so that the rate of datagrams that it sends
    /// grows more slowly than its domain. Short compared with the 300 ms for which an engine is assumed to queue a
    /// prompt.
    Duration pause = std::chrono::milliseconds{6};
    Duration pausePerNode = std::chrono::microseconds{250};
    /// Maximum number of reports in one datagram, which keeps it to a few kilobytes.
    std::size_t reportsPerMessage = 16;
};

/// The routing of each node's reports to all others. In a small fleet each node sends to each other one. In a large one
/// a report goes to a relay of the node's failure domain, from there to a relay of each other domain, and from the
/// relays to the nodes of their domains, so that no node's traffic grows with the square of the fleet. Not thread-safe;
/// does no I/O.
class Dissemination
{
public:
    /// A message and its destinations.
    struct Delivery {
        GatewayMessage message;
        std::vector<NodeAddress> targets;
    };

    explicit Dissemination(DisseminationSettings settings = {});

    /// Adds a report of this node to those to be sent.
    void add(NodeReport report);

    /// Adds the reports of @p message to those to be sent if its forwardScope requires this node to forward them.
    void onMessage(const GatewayMessage &message);

    /// Returns true if the node passes on reports between its failure domain and the others.
    bool isRelay(const MemberTable &members, Instant now) const;

    /// Returns true if no reports are pending.
    bool isEmpty() const;

    /// Returns the time for which reports are batched before flush(); zero in a small fleet.
    Duration pause(const MemberTable &members, Instant now) const;

    /// Removes all pending reports and returns the messages that carry them.
    std::vector<Delivery> flush(const MemberTable &members, Instant now);

private:
    bool isDirect(const MemberTable &members, Instant now) const;
    void send(const std::vector<NodeReport> &reports, ForwardScope forwardScope,
              const std::vector<NodeAddress> &targets, const MemberTable &members,
              std::vector<Delivery> &deliveries) const;

    DisseminationSettings m_settings;
    std::vector<NodeReport> m_own;
    std::vector<NodeReport> m_forEverywhere;
    std::vector<NodeReport> m_forOwnDomain;
    std::size_t m_nextRelay = 0;
};

} // namespace Gypsumtally::Gateway
