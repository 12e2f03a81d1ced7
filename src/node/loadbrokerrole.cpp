#include "node/loadbrokerrole.h"

#include "routing/rendezvous.h"

namespace Gypsumtally
{

namespace
{

constexpr Duration requestRetryInterval = std::chrono::milliseconds{500};
constexpr std::uint64_t brokerKey = 0x6c6f6164'62726f6bULL;

} // namespace

LoadBrokerRole::LoadBrokerRole(NodeIo &io, const Membership &membership, PeerLinks &peers, Granted onGranted)
    : m_io(io)
    , m_membership(membership)
    , m_peers(peers)
    , m_onGranted(std::move(onGranted))
{
}

NodeId LoadBrokerRole::brokerNode() const
{
    const NodeRecord *best = &m_membership.self();
    double bestScore = 0;
    for (const auto &[id, record] : m_membership.nodes()) {
        const auto score = rendezvousScore(brokerKey, id.value);
        if (record.state != NodeState::Live || score <= bestScore)
            continue;
        best = &record;
        bestScore = score;
    }
    return best->id;
}

void LoadBrokerRole::requestLoad(const UpstreamId &upstream, const AdapterVersion &adapter,
                                 const LoadPriority &priority)
{
    const Load load{upstream, adapter};
    auto &request = m_pendingRequests[load];
    request.priority = priority;
    send(load, request);
}

void LoadBrokerRole::send(const Load &load, PendingRequest &request)
{
    request.sentAt = m_io.now();
    const auto broker = brokerNode();
    const LoadAsk message{load.first,
                          load.second,
                          request.priority.serviceClass,
                          request.priority.waiters,
                          std::max(Duration{0}, m_io.now() - request.priority.oldest),
                          request.priority.foreseen};
    if (broker == m_membership.self().id)
        handleAsk(broker, message);
    else
        m_peers.send(broker, message);
}

void LoadBrokerRole::handleGrant(const UpstreamId &upstream, const AdapterVersion &adapter)
{
    grant({upstream, adapter});
}

void LoadBrokerRole::grant(const Load &load)
{
    m_pendingRequests.erase(load);
    m_onGranted(load.first, load.second);
}

void LoadBrokerRole::reportLoadEnd(const UpstreamId &upstream, const AdapterVersion &adapter, LoadEnd end,
                                   Duration retryAfter)
{
    m_pendingRequests.erase({upstream, adapter});
    const auto broker = brokerNode();
    const LoadDone message{upstream, adapter, end, retryAfter};
    if (broker == m_membership.self().id)
        handleDone(message);
    else
        m_peers.send(broker, message);
}

void LoadBrokerRole::handleAsk(const NodeId &from, const LoadAsk &message)
{
    const LoadPriority priority{message.serviceClass, message.waiters, m_io.now() - message.age, message.foreseen};
    m_requesters[{message.upstream, message.adapter}] = from;
    m_broker.ask({message.upstream, message.adapter, priority}, m_io.now());
}

void LoadBrokerRole::handleDone(const LoadDone &message)
{
    m_requesters.erase({message.upstream, message.adapter});
    switch (message.end) {
    case LoadEnd::Withdrawn:
        m_broker.withdraw(message.upstream, message.adapter);
        break;
    case LoadEnd::Finished:
        m_broker.finished(message.upstream, message.adapter);
        break;
    case LoadEnd::Refused:
        m_broker.refused(message.upstream, message.adapter, message.retryAfter, m_io.now());
        break;
    }
}

void LoadBrokerRole::tick()
{
    for (auto &[load, request] : m_pendingRequests) {
        if (m_io.now() - request.sentAt >= requestRetryInterval)
            send(load, request);
    }
    for (const auto &ticket : m_broker.grants(m_io.now())) {
        const auto requester = m_requesters.find({ticket.upstream, ticket.adapter});
        const auto node = requester == m_requesters.end() ? m_membership.self().id : requester->second;
        if (node == m_membership.self().id)
            grant({ticket.upstream, ticket.adapter});
        else
            m_peers.send(node, LoadGrant{ticket.upstream, ticket.adapter});
    }
}

void LoadBrokerRole::setSettings(const LoadBrokerSettings &settings)
{
    m_broker = LoadBroker(settings);
}

} // namespace Gypsumtally
