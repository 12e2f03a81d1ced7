#include "gateway/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Records of live upstreams are back about two seconds after the registry.
constexpr Duration lapseGrace = std::chrono::milliseconds{2300};
constexpr std::size_t mostLeft = 10000; ///< Instances remembered as left; each has a name of its own, mostly.

} // namespace

bool UpstreamTable::onRecord(const UpstreamRecord &record, Instant now)
{
    m_lapsed.erase(record.instance);
    m_lastHeard = now;
    auto &upstream = m_upstreams[record.instance];
    const bool isNew = upstream.record.instance.empty() || upstream.record.startedAt != record.startedAt
                       || upstream.record.endpoint != record.endpoint;
    if (isNew) {
        upstream = Upstream{};
        for (auto &[node, loads] : m_peerLoads)
            loads.erase(record.instance);
    }
    upstream.record = record;
    if (const auto left = m_left.find(record.instance); left != m_left.end()) {
        if (left->second == LeftProcess{record.startedAt, record.endpoint})
            upstream.isLeaving = true;
        else
            m_left.erase(left);
    }
    upstream.residency.onListed(record.targets, now);
    return isNew;
}

bool UpstreamTable::mayHaveLapsed(Instant now) const
{
    return m_registryLost || now - m_registryBack < lapseGrace;
}

void UpstreamTable::onRemoved(const std::string &instance, Instant now)
{
    if (!m_upstreams.contains(instance))
        return;
    if (mayHaveLapsed(now))
        m_lapsed.insert(instance);
    else
        m_upstreams.erase(instance);
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
    m_registryBack = now;
}

void UpstreamTable::sweep(Instant now)
{
    if (m_lapsed.empty() || mayHaveLapsed(now))
        return;
    for (const auto &instance : m_lapsed)
        m_upstreams.erase(instance);
    m_lapsed.clear();
}

bool UpstreamTable::markLeaving(const std::string &instance)
{
    auto *upstream = find(instance);
    if (!upstream || std::exchange(upstream->isLeaving, true))
        return false;
    if (m_left.size() >= mostLeft)
        m_left.clear();
    m_left[instance] = {upstream->record.startedAt, upstream->record.endpoint};
    return true;
}

Upstream *UpstreamTable::find(const std::string &instance)
{
    const auto it = m_upstreams.find(instance);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

void UpstreamTable::onPeerLoads(const std::string &node, const std::map<std::string, unsigned> &inFlight)
{
    auto &known = m_peerLoads[node];
    const auto addAll = [&](const std::map<std::string, unsigned> &loads, auto &&add) {
        for (const auto &[instance, requests] : loads) {
            if (auto *upstream = find(instance))
                add(upstream->peersInFlight, requests);
        }
    };
    addAll(known, [](unsigned &sum, unsigned requests) { sum -= std::min(sum, requests); });
    addAll(inFlight, [](unsigned &sum, unsigned requests) { sum += requests; });
    known = inFlight;
}

} // namespace Gypsumtally::Gateway
