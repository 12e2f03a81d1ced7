#include "node/configurationlink.h"

#include "peer/controlmessages.h"

namespace Gypsumtally
{

ConfigurationLink::ConfigurationLink(NodeIo &io, const Membership &membership, PeerLinks &peers,
                                     const KeeperOptions &options, Installed onInstalled)
    : m_io(io)
    , m_membership(membership)
    , m_peers(peers)
    , m_keeper(options)
    , m_onInstalled(std::move(onInstalled))
{
}

void ConfigurationLink::start()
{
    ConfigurationActionList actions;
    m_keeper.start(m_io.now(), actions);
    perform(actions);
}

void ConfigurationLink::membershipChanged()
{
    std::vector<NodeId> peers;
    for (const auto &[id, record] : m_membership.nodes()) {
        if (id != m_membership.self().id)
            peers.push_back(id);
    }
    m_keeper.setPeers(std::move(peers));
}

void ConfigurationLink::watched(const KeyValue &value)
{
    ConfigurationActionList actions;
    m_keeper.onWatched(value, m_io.now(), actions);
    perform(actions);
}

void ConfigurationLink::peerVersion(const NodeId &peer, ConfigurationVersion version)
{
    ConfigurationActionList actions;
    m_keeper.onPeerVersion(peer, version, m_io.now(), actions);
    perform(actions);
}

void ConfigurationLink::apply(ApplyRequest change, std::function<void(const ApplyResult &)> onResult)
{
    const auto request = ++m_lastRequest;
    m_applies.emplace(request, std::move(onResult));
    ConfigurationActionList actions;
    m_keeper.apply(request, std::move(change), m_io.now(), actions);
    perform(actions);
}

void ConfigurationLink::tick()
{
    if (m_io.now() < m_keeper.nextDeadline())
        return;
    ConfigurationActionList actions;
    m_keeper.onTick(m_io.now(), actions);
    perform(actions);
}

const ConfigurationKeeper &ConfigurationLink::keeper() const
{
    return m_keeper;
}

void ConfigurationLink::perform(ConfigurationActionList &actions)
{
    for (const auto &action : std::exchange(actions, {}))
        std::visit([this](const auto &each) { perform(each); }, action);
}

void ConfigurationLink::perform(const ConfigurationActions::CallKeyValue &action)
{
    m_io.store(action.call.operation, [this, tag = action.call.tag](const KeyReply &reply) {
        ConfigurationActionList actions;
        m_keeper.onKeyReply(tag, reply, m_io.now(), actions);
        perform(actions);
    });
}

void ConfigurationLink::perform(const ConfigurationActions::Install &action)
{
    m_io.emit(LogEntry{Severity::Info, "configuration_in_force", {{"version", std::to_string(action.version)}}});
    m_onInstalled(action.version, action.configuration);
}

void ConfigurationLink::perform(const ConfigurationActions::AnnounceToPeer &action)
{
    const VersionAnnouncement announcement{m_membership.self().id, action.version};
    m_peers.call(action.peer, ControlMethod::configAnnounce, toJson(announcement),
                 [this, peer = action.peer](const ControlReply &reply) {
                     const auto *result = std::get_if<boost::json::value>(&reply);
                     if (!result)
                         return;
                     try {
                         peerVersion(peer, fromJson<VersionAnnouncement>(*result).version);
                     } catch (const JsonShapeError &) {
                         return;
                     }
                 });
}

void ConfigurationLink::perform(const ConfigurationActions::FetchFromPeer &action)
{
    m_peers.call(action.peer, ControlMethod::configFetch, toJson(NoParameters{}),
                 [this, peer = action.peer](const ControlReply &reply) {
                     const auto *result = std::get_if<boost::json::value>(&reply);
                     if (!result) {
                         m_keeper.onFetchFailed(peer);
                         return;
                     }
                     ConfigurationActionList actions;
                     try {
                         const auto record = fromJson<EncodedConfiguration>(*result).record;
                         m_keeper.onPeerRecord(peer, record, m_io.now(), actions);
                     } catch (const JsonShapeError &) {
                         m_keeper.onFetchFailed(peer);
                     }
                     perform(actions);
                 });
}

void ConfigurationLink::perform(const ConfigurationActions::AnswerApply &action)
{
    if (const auto found = m_applies.extract(action.request))
        found.mapped()(action.result);
}

} // namespace Gypsumtally
