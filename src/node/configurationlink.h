#pragma once

#include "configuration/configurationkeeper.h"
#include "membership/membership.h"
#include "node/nodeio.h"
#include "node/peerlinks.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace Gypsumtally
{

/// Connects ConfigurationKeeper to the key-value service and the peers. Not thread-safe.
class ConfigurationLink
{
public:
    using Installed = std::function<void(ConfigurationVersion, const std::shared_ptr<const FleetConfiguration> &)>;

    ConfigurationLink(NodeIo &io, const Membership &membership, PeerLinks &peers, const KeeperOptions &options,
                      Installed onInstalled);

    /// Starts the keeper. Call once.
    void start();

    /// Updates the list of peers after a change of membership.
    void membershipChanged();

    /// Handles the configuration record as listed or watched in the key-value service.
    void watched(const KeyValue &value);

    /// Handles the configuration version that @p peer reported.
    void peerVersion(const NodeId &peer, ConfigurationVersion version);

    /// Applies an operator's change; calls @p onResult once.
    void apply(ApplyRequest change, std::function<void(const ApplyResult &)> onResult);

    /// Performs the keeper's timed steps that are due. Call every few milliseconds.
    void tick();

    const ConfigurationKeeper &keeper() const;

private:
    void perform(ConfigurationActionList &actions);
    void perform(const ConfigurationActions::CallKeyValue &action);
    void perform(const ConfigurationActions::Install &action);
    void perform(const ConfigurationActions::AnnounceToPeer &action);
    void perform(const ConfigurationActions::FetchFromPeer &action);
    void perform(const ConfigurationActions::AnswerApply &action);

    NodeIo &m_io;
    const Membership &m_membership;
    PeerLinks &m_peers;
    ConfigurationKeeper m_keeper;
    Installed m_onInstalled;
    std::uint64_t m_lastRequest = 0;
    std::unordered_map<std::uint64_t, std::function<void(const ApplyResult &)>> m_applies;
};

} // namespace Gypsumtally
