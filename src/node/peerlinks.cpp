#include "node/peerlinks.h"

#include "peer/controlclient.h"
#include "peer/peerkeys.h"

#include <boost/json.hpp>

#include <utility>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxWaiting = 4096;
constexpr Duration silenceLimit = std::chrono::seconds{3};
constexpr Http::RequestOptions callOptions{.connectTimeout = std::chrono::milliseconds{500},
                                           .idleTimeout = std::chrono::seconds{1}};

} // namespace

PeerLinks::PeerLinks(NodeIo &io, const Membership &membership, std::function<std::string()> key,
                     std::function<PeerState()> state)
    : m_io(io)
    , m_membership(membership)
    , m_key(std::move(key))
    , m_state(std::move(state))
{
}

void PeerLinks::send(const NodeId &node, PeerMessage message)
{
    if (node == m_membership.self().id || !m_membership.node(node))
        return;
    auto &link = m_links[node];
    if (link.waiting.size() < maxWaiting)
        link.waiting.push_back(std::move(message));
}

void PeerLinks::broadcast(const PeerMessage &message)
{
    for (const auto &[id, record] : m_membership.nodes())
        send(id, message);
}

void PeerLinks::sendHeartbeats()
{
    for (const auto &[id, record] : m_membership.nodes()) {
        if (id != m_membership.self().id)
            m_links[id].heartbeatDue = true;
    }
}

void PeerLinks::flush()
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        auto &[node, link] = *it;
        if (!m_membership.node(node) && !link.calling) {
            it = m_links.erase(it);
            continue;
        }
        if (!link.calling && (link.heartbeatDue || !link.waiting.empty()) && m_membership.node(node))
            deliver(node, link);
        ++it;
    }
}

void PeerLinks::onSilent(std::function<void(const NodeId &)> task)
{
    m_onSilent = std::move(task);
}

void PeerLinks::answered(const NodeId &node)
{
    auto &link = m_links[node];
    link.calling = false;
    link.silentSince.reset();
    link.isSilenceReported = false;
}

void PeerLinks::notAnswered(const NodeId &node)
{
    auto &link = m_links[node];
    link.calling = false;
    if (!link.silentSince)
        link.silentSince = m_io.now();
    const bool isSilent = m_io.now() - *link.silentSince >= silenceLimit;
    if (isSilent && !std::exchange(link.isSilenceReported, true) && m_onSilent)
        m_onSilent(node);
}

Http::Headers PeerLinks::headers() const
{
    return {{"Authorization", bearerHeader(m_key())}, {"Content-Type", "application/json"}};
}

void PeerLinks::call(const NodeId &node, const std::string &method, const boost::json::value &params,
                     std::function<void(const ControlReply &)> onReply)
{
    const auto *record = m_membership.node(node);
    if (!record) {
        onReply(ControlError{ControlErrorCode::Unreachable, "no such node"});
        return;
    }
    const auto done = std::make_shared<std::function<void(const ControlReply &)>>(std::move(onReply));
    m_io.fetch(
        ExchangeTarget::Peer, record->peers, controlRequest(m_key(), method, json::serialize(params)), callOptions,
        [done](unsigned status, const Http::Headers &, const std::string &body) {
            (*done)(readControlReply(status, body));
        },
        [done](const Http::TransportFailure &failure) { (*done)(readControlReply(failure)); });
}

void PeerLinks::deliver(const NodeId &node, Link &link)
{
    link.calling = true;
    link.heartbeatDue = false;
    const PeerBatch batch{m_membership.self().id, m_membership.self().incarnation, m_state(), std::move(link.waiting)};
    link.waiting.clear();
    m_io.fetch(
        ExchangeTarget::Peer, m_membership.node(node)->peers,
        controlRequest(m_key(), deliverMethod, encodeBatch(batch)), callOptions,
        [this, node](unsigned, const Http::Headers &, const std::string &) { answered(node); },
        [this, node](const Http::TransportFailure &) { notAnswered(node); });
}

} // namespace Gypsumtally
