#pragma once

#include "membership/membership.h"
#include "node/loadbrokerrole.h"
#include "node/nodeio.h"
#include "node/ownedengine.h"
#include "node/peerlinks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Gypsumtally
{

/// Callbacks for engines to report on calls that are queued or running there.
struct EngineCallbacks {
    std::function<bool(CallId call, const std::string &requestId)> onDispatch;
    std::function<void(CallId call, const Failure &failure)> onReject;
    std::function<void(const UpstreamId &upstream)> onLost;
};

/// Engines that this node owns, is acquiring or is handing over, and the messages exchanged with their other owners.
/// Not thread-safe.
class EngineTable
{
public:
    EngineTable(NodeIo &io, Membership &membership, PeerLinks &peers, EngineCallbacks callbacks);

    /// Returns this node's state for an engine, or null if it has none.
    OwnedEngine *find(const UpstreamId &upstream);

    const std::map<UpstreamId, std::unique_ptr<OwnedEngine>> &engines() const;

    /// Starts acquiring and handing over engines according to the owners that membership assigns. Call after each
    /// change of membership. The cost is proportional to nodes times upstreams, as each pair gets a rendezvous score.
    void refresh();

    /// Removes engines that this node doesn't own or want and at which it has nothing pending.
    void removeIdle();

    /// Handles an ownership record as listed or watched in the key-value service.
    void onRecord(const KeyValue &stored);

    /// Handles the request of the new owner at @p from to release an engine, and answers it.
    void handle(const NodeId &from, const ReleaseAsk &ask);

    /// Handles an earlier owner's answer to a request to release an engine.
    void handle(const ReleaseAnswer &answer);

    LoadBrokerRole &broker();

    /// Sets the function that returns an engine's scheduler settings; applies to current and future engines.
    void setSettings(std::function<SchedulerSettings(const Vm &)> settings);

    /// Performs the timed steps of the load broker and of every engine that are due. Call every few milliseconds.
    void tick();

    /// Broadcasts the hints of the owned engines to the other nodes and passes them to @p onHint. A hint that has not
    /// changed is repeated only every unchangedHintInterval.
    void broadcastHints(const std::function<void(const UpstreamHint &)> &onHint);

    /// Returns the number of engines that this node owns.
    std::size_t owned() const;

    /// Returns true if this node owns no engine and no request or order of this process may still take effect.
    bool isFinished() const;

private:
    OwnedEngine &add(const Vm &vm);
    void askRelease(const UpstreamId &upstream, const AskRelease &ask);
    bool hasEnded(const AskRelease &ask) const;

    NodeIo &m_io;
    Membership &m_membership;
    PeerLinks &m_peers;
    EngineCallbacks m_callbacks;
    LoadBrokerRole m_broker;
    std::function<SchedulerSettings(const Vm &)> m_settings;
    std::map<UpstreamId, std::unique_ptr<OwnedEngine>> m_engines;
    std::map<UpstreamId, KeyValue> m_records; ///< Last seen records, for engines that are added later.
    Instant m_nextTick{};
    std::map<UpstreamId, std::pair<UpstreamHint, Instant>> m_sentHints; ///< Last hints broadcast, and when.
};

} // namespace Gypsumtally
