#include "gateway/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time after a registry outage before lapsed upstreams are removed; live ones renew their records within about two
/// seconds.
constexpr Duration lapseGracePeriod = std::chrono::milliseconds{2300};
/// Number of entries at which a table of former processes is cleared. It would otherwise grow, as most instance names
/// are not reused.
constexpr std::size_t maxKeptProcesses = 10000;

} // namespace

bool UpstreamTable::onRecord(const UpstreamRecord &record, Instant now)
{
    m_lapsed.erase(record.instance);
    m_lastRecordAt = now;
    auto &upstream = m_upstreams[record.instance];
    const bool isNew = upstream.record.instance.empty() || upstream.record.startedAt != record.startedAt
                       || upstream.record.endpoint != record.endpoint;
    if (isNew) {
        upstream = Upstream{};
        for (auto &[node, peer] : m_peers)
            peer.loads.erase(record.instance);
    }
    upstream.record = record;
    if (isNew)
        restoreLimit(upstream);
    if (const auto left = m_leftProcesses.find(record.instance); left != m_leftProcesses.end()) {
        if (left->second == ProcessKey{record.startedAt, record.endpoint})
            upstream.isLeaving = true;
        else
            m_leftProcesses.erase(left);
    }
    upstream.residency.onListed(record.targets, now);
    return isNew;
}

bool UpstreamTable::mayHaveLapsed(Instant now) const
{
    return m_registryLost || now - m_registryBackAt < lapseGracePeriod;
}

void UpstreamTable::onRemoved(const std::string &instance, Instant now)
{
    if (!m_upstreams.contains(instance))
        return;
    if (mayHaveLapsed(now))
        m_lapsed.insert(instance);
    else
        remove(instance);
}

void UpstreamTable::remove(const std::string &instance)
{
    const auto it = m_upstreams.find(instance);
    if (it == m_upstreams.end())
        return;
    auto &upstream = it->second;
    if (upstream.limitsRequests()) {
        if (m_keptLimits.size() >= maxKeptProcesses)
            m_keptLimits.clear();
        m_keptLimits[instance]
            = {{upstream.record.startedAt, upstream.record.endpoint}, upstream.requestLimit, std::move(upstream.sends)};
    }
    m_upstreams.erase(it);
}

void UpstreamTable::restoreLimit(Upstream &upstream)
{
    const auto kept = m_keptLimits.extract(upstream.record.instance);
    if (kept.empty() || kept.mapped().process != ProcessKey{upstream.record.startedAt, upstream.record.endpoint})
        return;
    upstream.requestLimit = kept.mapped().limit;
    upstream.sends = std::move(kept.mapped().sends);
}

void UpstreamTable::onSnapshot(const std::set<std::string> &instances, Instant now)
{
    std::vector<std::string> missing;
    for (const auto &[instance, upstream] : m_upstreams) {
        if (!instances.contains(instance))
            missing.push_back(instance);
    }
    for (const auto &instance : missing)
        onRemoved(instance, now);
}

void UpstreamTable::onRegistryLost(Instant)
{
    m_registryLost = true;
}

void UpstreamTable::onRegistryBack(Instant now)
{
    if (!m_registryLost)
        return;
    m_registryLost = false;
    m_registryBackAt = now;
}

void UpstreamTable::sweep(Instant now)
{
    if (m_lapsed.empty() || mayHaveLapsed(now))
        return;
    for (const auto &instance : m_lapsed)
        remove(instance);
    m_lapsed.clear();
}

bool UpstreamTable::markLeaving(const std::string &instance)
{
    auto *upstream = find(instance);
    if (!upstream || std::exchange(upstream->isLeaving, true))
        return false;
    if (m_leftProcesses.size() >= maxKeptProcesses)
        m_leftProcesses.clear();
    m_leftProcesses[instance] = {upstream->record.startedAt, upstream->record.endpoint};
    return true;
}

Upstream *UpstreamTable::find(const std::string &instance)
{
    const auto it = m_upstreams.find(instance);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

/// Returns the state of the reporting node's process, or null if the report is from an earlier process.
UpstreamTable::Peer *UpstreamTable::peerOf(const ReportStamp &stamp)
{
    auto &peer = m_peers[stamp.node];
    if (stamp.startedAt < peer.startedAt)
        return nullptr;
    if (stamp.startedAt > peer.startedAt) {
        forgetPeer(stamp.node);
        m_peers[stamp.node].startedAt = stamp.startedAt;
        return &m_peers[stamp.node];
    }
    return &peer;
}

void UpstreamTable::setLoad(Peer &peer, const std::string &instance, PeerLoad load)
{
    auto &known = peer.loads[instance];
    if (auto *upstream = find(instance)) {
        upstream->peersInFlight -= std::min(upstream->peersInFlight, known.inFlight);
        upstream->peersInFlight += load.inFlight;
    }
    known = load;
}

void UpstreamTable::onPeerLoads(const ReportStamp &stamp, const std::map<std::string, unsigned> &inFlight)
{
    auto *peer = peerOf(stamp);
    if (!peer || stamp.sequence < peer->snapshotSequence)
        return;
    peer->snapshotSequence = stamp.sequence;
    for (const auto &[instance, requests] : inFlight) {
        const auto known = peer->loads.find(instance);
        if (known == peer->loads.end() || known->second.sequence <= stamp.sequence)
            setLoad(*peer, instance, {requests, stamp.sequence});
    }
    std::vector<std::string> unlisted;
    for (const auto &[instance, load] : peer->loads) {
        if (!inFlight.contains(instance) && load.sequence <= stamp.sequence)
            unlisted.push_back(instance);
    }
    for (const auto &instance : unlisted) {
        setLoad(*peer, instance, {});
        peer->loads.erase(instance);
    }
}

void UpstreamTable::onPeerLoad(const ReportStamp &stamp, const std::string &instance, unsigned inFlight)
{
    auto *peer = peerOf(stamp);
    if (!peer || stamp.sequence < peer->snapshotSequence)
        return;
    const auto known = peer->loads.find(instance);
    // The same report may contain both a snapshot of all loads and a newer load of one upstream.
    if (known == peer->loads.end() || known->second.sequence <= stamp.sequence)
        setLoad(*peer, instance, {inFlight, stamp.sequence});
}

void UpstreamTable::forgetPeer(const std::string &node)
{
    const auto it = m_peers.find(node);
    if (it == m_peers.end())
        return;
    for (const auto &[instance, load] : it->second.loads) {
        if (auto *upstream = find(instance))
            upstream->peersInFlight -= std::min(upstream->peersInFlight, load.inFlight);
    }
    it->second.loads.clear();
}

} // namespace Gypsumtally::Gateway
