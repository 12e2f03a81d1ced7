#pragma once

#include "membership/membership.h"
#include "node/calltable.h"
#include "node/configurationlink.h"
#include "node/enginetable.h"
#include "node/events.h"
#include "node/nodeio.h"
#include "peer/controlmessages.h"
#include "peer/controlserver.h"
#include "quarantine/quarantine.h"
#include "report/burncounter.h"
#include "routing/hinttable.h"
#include "routing/router.h"

#include <functional>
#include <map>

namespace Gypsumtally
{

/// Components of a node that control calls read or change.
struct ControlContext {
    NodeIo &io;
    const Membership &membership;
    const HintTable &hints;
    const Router &router;
    EngineTable &engines;
    CallTable &calls;
    Quarantine &quarantine;
    ConfigurationLink &configuration;
    const BurnCounter &burn;
    const std::map<NodeId, PeerState> &peerStates;
    /// Returns true if the configuration declares that the VM checks fencing tokens.
    std::function<bool(const Vm &)> checksFencing;
    std::function<bool()> hasStore; ///< Returns true while the key-value service is connected.
    std::function<void(const PeerBatch &)> deliver; ///< Handles the messages of a peer.
};

/// Answers the control calls of peers and operators; docs/CONTROL.md describes them. Not thread-safe.
class ControlApi
{
public:
    explicit ControlApi(ControlContext context);

    /// Runs a control call and emits its reply.
    void handle(const ControlArrived &event);

private:
    void addPeerMethods();
    void addConfigurationMethods();
    void addFleetMethods();
    void addQuarantineMethods();

    FleetStatus status() const;
    UpstreamStatus statusOf(const UpstreamMember &member) const;
    AdapterExplanation explain(const std::string &adapter) const;
    void drain(const std::string &target, const ControlServer::Answer &answer);
    DrainProgress progressOf(const std::string &target) const;

    ControlContext m_context;
    ControlServer m_server;
};

} // namespace Gypsumtally
