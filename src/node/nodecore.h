#pragma once

#include "claims/claimkeeper.h"
#include "limits/admission.h"
#include "membership/membership.h"
#include "node/calltable.h"
#include "node/configurationlink.h"
#include "node/controlapi.h"
#include "node/enginetable.h"
#include "node/events.h"
#include "node/nodeio.h"
#include "node/peerlinks.h"
#include "quarantine/quarantine.h"
#include "report/burncounter.h"
#include "report/metrics.h"
#include "retries/retrypolicy.h"
#include "routing/hinttable.h"
#include "routing/router.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Gypsumtally
{

/// Identity and credentials of a node.
struct NodeOptions {
    NodeRecord self;
    std::function<std::string()> peerKey; ///< Returns the shared key that authenticates calls to peers.
};

/// The logic of one node: handles events and produces actions, without I/O. Use from one thread only; `now` must never
/// decrease.
class NodeCore
{
public:
    explicit NodeCore(NodeOptions options);

    /// Handles one event.
    void handle(NodeEvent event, Instant now);

    /// Performs all timed steps that are due. Call every few milliseconds.
    void tick(Instant now);

    /// Returns the actions since the last call, in order, and clears them.
    NodeActions take();

    const Membership &membership() const;
    const CallTable &calls() const;
    EngineTable &engines();

private:
    void on(CallArrived &&event);
    void on(const CallerGone &event);
    void on(const ControlArrived &event);
    void on(const QueryArrived &event);
    void on(const ListenerLosses &event);
    void on(const ExchangeHead &event);
    void on(const ExchangePiece &event);
    void on(const ExchangeEnded &event);
    void on(const ExchangeFailed &event);
    void on(const KeyReplied &event);
    void on(const StoreListed &event);
    void on(const StoreChanged &event);
    void on(const StoreConnection &event);
    void on(const LeaseTaken &event);
    void on(const VmsListed &event);
    void on(const CatalogueListed &event);
    void on(const StopRequested &event);

    void deliver(const PeerBatch &batch);
    void deliver(const NodeId &from, const PeerMessage &message);
    void answerPlace(const NodeId &from, const PlaceAsk &ask);
    void storeChanged(const StoreChange &change);
    void drainedListed(const std::vector<KeyValue> &values);
    void applyConfiguration(Call &call);
    void installed(ConfigurationVersion version, const std::shared_ptr<const FleetConfiguration> &configuration);
    const FleetSettings &settingsOf(const Vm &vm);
    SchedulerSettings schedulerSettings(const Vm &vm);
    void setCacheTime(Duration cacheTime);
    void membershipChanged();
    void registerSelf();
    void broadcastHints();
    void applyHint(const UpstreamHint &hint);
    void finishStopping();
    void callEnded(const CallEnd &end);
    std::string entriesBody(const QueryArrived &query) const;

    NodeIo m_io;
    Membership m_membership;
    PeerLinks m_peers;
    HintTable m_hints;
    Router m_router;
    Admission m_admission;
    ClaimKeeper m_claims;
    std::unique_ptr<RetryPolicy> m_retries;
    Quarantine m_quarantine;
    EngineTable m_engines;
    CallTable m_calls;
    ConfigurationLink m_configuration;
    std::unique_ptr<SettingsResolver> m_resolver;
    BurnCounter m_burn;
    Metrics m_metrics;
    std::map<NodeId, PeerState> m_peerStates;
    std::set<std::string> m_drained;
    std::set<UpstreamId> m_leaving; ///< Upstreams whose departure has been observed.
    ControlApi m_control;

    bool m_hasLease = false;
    bool m_hasStore = false;
    bool m_hasVms = false;
    bool m_registering = false;
    bool m_registered = false;
    Instant m_nextRegistration{};
    Instant m_nextRefresh{};
    Instant m_nextHints{};
    Instant m_nextHeartbeat{};
    Duration m_cacheTime{}; ///< Time for which callers may cache entry addresses.
    Instant m_oldCacheExpiry{}; ///< When addresses that were cached before m_cacheTime was shortened expire.
    std::optional<Instant> m_drainAt; ///< When callers' cached addresses have expired; set once stopping.
    bool m_draining = false;
    bool m_stopped = false;
};

} // namespace Gypsumtally
