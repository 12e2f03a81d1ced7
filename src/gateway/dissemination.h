#pragma once

#include "gateway/gatewaymessage.h"
#include "gateway/membertable.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Limits and delays of Dissemination.
struct DisseminationSettings {
    /// Maximum number of peers for which each report is sent to all of them directly and without delay.
    std::size_t directPeers = 16;
    /// Least capacity (1: a quarter of a core and 100 Mbit/s) of the relays of a failure domain without the largest of
    /// them, so that the loss of one costs only a part of the reports until it is detected. Each forwards a share in
    /// proportion to its capacity, as the link of a small machine does not bear all reports of a large fleet.
    double spareRelayCapacity = 1;
    /// The same in large domains: for so many nodes a machine of capacity 1 forwards all reports.
    double nodesPerRelayCapacity = 12;
    /// Time for which each relay batches reports, longer in large domains, so that the rate of datagrams that it sends
    /// grows more slowly than its domain. Short compared with the 300 ms for which an engine is assumed to queue a
    /// prompt.
    Duration pause = std::chrono::milliseconds{6};
    Duration pausePerNode = std::chrono::microseconds{250};
    /// Limit on the factor by which a relay with a small share batches longer, so that it sends fewer and fuller
    /// datagrams.
    double maxPauseFactor = 2;
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

    /// Adds a report that this node makes at @p now to those to be sent.
    void add(NodeReport report, Instant now);

    /// Adds the reports of @p message to those to be sent if its forwardScope requires this node to forward them.
    /// Reports of one process are merged while they are held.
    void onMessage(const GatewayMessage &message, Instant now);

    /// Returns true if the node passes on reports between its failure domain and the others.
    bool isRelay(const MemberTable &members, Instant now) const;

    /// Returns true if no reports are pending.
    bool isEmpty() const;

    /// Returns the time for which reports are batched before flush(); zero in a small fleet.
    Duration pause(const MemberTable &members, Instant now) const;

    /// Removes all pending reports and returns the messages that carry them.
    std::vector<Delivery> flush(const MemberTable &members, Instant now);

private:
    /// Reports that are to be sent, all as of the time of the last change.
    struct HeldReports {
        std::vector<NodeReport> reports;
        Instant asOf{};

        void add(NodeReport report, Instant now);

        /// Removes and returns all of them, as of @p now.
        std::vector<NodeReport> take(Instant now);

    private:
        void advanceTo(Instant now);
    };

    bool isDirect(const MemberTable &members, Instant now) const;
    std::vector<NodeAddress> relaysOf(const std::string &failureDomain, const MemberTable &members, Instant now) const;

    /// Returns the relay among @p relays whose turn it is at the node @p self. Precondition: there is one.
    const NodeAddress &nextOf(const std::vector<NodeAddress> &relays, const std::string &self);

    void send(const std::vector<NodeReport> &reports, ForwardScope forwardScope,
              const std::vector<NodeAddress> &targets, const MemberTable &members,
              std::vector<Delivery> &deliveries) const;

    DisseminationSettings m_settings;
    HeldReports m_own;
    HeldReports m_forEverywhere;
    HeldReports m_forOwnDomain;
    std::map<std::string, double> m_credits; ///< Of relays, by node: what they forward less than their share.
};

} // namespace Gypsumtally::Gateway
