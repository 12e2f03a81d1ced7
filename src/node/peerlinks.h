#pragma once

#include "membership/membership.h"
#include "node/nodeio.h"
#include "peer/controlreply.h"
#include "peerprotocol/peermessage.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// Sends messages to the other nodes. Each node has at most one batch in flight; messages queued meanwhile go into its
/// next one. Not thread-safe.
class PeerLinks
{
public:
    /// @p key returns the shared key that authenticates calls; @p state returns this node's state, sent with each
    /// batch.
    PeerLinks(NodeIo &io, const Membership &membership, std::function<std::string()> key,
              std::function<PeerState()> state);

    /// Queues @p message for @p node; drops it if there is no such node or its queue is full.
    void send(const NodeId &node, PeerMessage message);

    /// Queues @p message for all other live nodes.
    void broadcast(const PeerMessage &message);

    /// Schedules a batch for each other live node as a heartbeat, even if it is empty.
    void sendHeartbeats();

    /// Calls a control method of @p node; calls @p onReply once.
    void call(const NodeId &node, const std::string &method, const boost::json::value &params,
              std::function<void(const ControlReply &)> onReply);

    /// Sends the scheduled batches to all nodes without one in flight. Call after each event.
    void flush();

    /// Sets the callback for a node that has not answered for silenceLimit; it is called once, and
    /// again only if the node has answered since.
    void onSilent(std::function<void(const NodeId &)> task);

    /// Returns the headers of a call to a peer.
    Http::Headers headers() const;

private:
    /// Queue of one node and the state of the calls to it.
    struct Link {
        std::vector<PeerMessage> waiting;
        bool calling = false;
        bool heartbeatDue = false;
        std::optional<Instant> silentSince;
        bool isSilenceReported = false;
    };

    void answered(const NodeId &node);
    void notAnswered(const NodeId &node);

    void deliver(const NodeId &node, Link &link);

    NodeIo &m_io;
    const Membership &m_membership;
    std::function<std::string()> m_key;
    std::function<PeerState()> m_state;
    std::function<void(const NodeId &)> m_onSilent;
    std::map<NodeId, Link> m_links;
};

} // namespace Gypsumtally
