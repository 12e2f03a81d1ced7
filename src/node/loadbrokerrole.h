#pragma once

#include "membership/membership.h"
#include "node/nodeio.h"
#include "node/peerlinks.h"
#include "residency/loadbroker.h"

#include <functional>
#include <map>
#include <utility>

namespace Gypsumtally
{

/// Limits the rate of adapter loads over all nodes: the live node selected by rendezvous hashing runs the load broker,
/// and the others send it their requests. After the loss of a broker, pending requests are sent to the next one; two
/// brokers at once merely cause loads that the weight store refuses. Not thread-safe.
class LoadBrokerRole
{
public:
    using Granted = std::function<void(const UpstreamId &upstream, const AdapterVersion &adapter)>;

    LoadBrokerRole(NodeIo &io, const Membership &membership, PeerLinks &peers, Granted onGranted);

    /// Requests a load for an engine of this node, or updates the priority of a pending request.
    void requestLoad(const UpstreamId &upstream, const AdapterVersion &adapter, const LoadPriority &priority);

    /// Reports to the broker that a load by an engine of this node has ended or is withdrawn. @p retryAfter is how long
    /// the weight store asked to wait, if it refused the load.
    void reportLoadEnd(const UpstreamId &upstream, const AdapterVersion &adapter, LoadEnd end, Duration retryAfter);

    /// Handles a load request that @p from, possibly this node, sent to this node as the broker.
    void handleAsk(const NodeId &from, const LoadAsk &message);

    /// Handles the end or withdrawal of a load that was reported to this node as the broker.
    void handleDone(const LoadDone &message);

    /// Handles the broker's grant of a load to an engine of this node.
    void handleGrant(const UpstreamId &upstream, const AdapterVersion &adapter);

    /// Sends the grants that are due, and repeats requests that have not been granted. Call every few milliseconds.
    void tick();

    /// Replaces the broker by an empty one with @p settings.
    void setSettings(const LoadBrokerSettings &settings);

private:
    using Load = std::pair<UpstreamId, AdapterVersion>;

    /// A load request of an engine of this node that is not granted. It is sent repeatedly, since messages may be lost.
    struct PendingRequest {
        LoadPriority priority;
        Instant sentAt{};
    };

    NodeId brokerNode() const;
    void send(const Load &load, PendingRequest &request);
    void grant(const Load &load);

    NodeIo &m_io;
    const Membership &m_membership;
    PeerLinks &m_peers;
    Granted m_onGranted;
    LoadBroker m_broker;
    std::map<Load, NodeId> m_requesters; ///< Nodes whose requests this node holds as the broker.
    std::map<Load, PendingRequest> m_pendingRequests; ///< Requests of this node's engines.
};

} // namespace Gypsumtally
