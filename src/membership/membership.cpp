#include "membership/membership.h"

#include <xxhash.h>

#include <algorithm>

namespace Gypsumtally
{

namespace
{

constexpr Duration minBackoff = std::chrono::milliseconds{500};
constexpr Duration maxBackoff = std::chrono::seconds{10};

std::uint64_t score(const std::string &name, std::uint64_t salt)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), salt);
}

} // namespace

Membership::Membership(NodeRecord self)
    : m_self(std::move(self))
{
    m_nodes[m_self.id] = m_self;
}

void Membership::applyNodeSnapshot(const std::vector<KeyValue> &records)
{
    m_nodes.clear();
    for (const auto &entry : records) {
        if (auto record = entry.key.starts_with(nodePrefix) ? decodeNode(entry.value) : std::nullopt)
            m_nodes[record->id] = std::move(*record);
    }
    m_nodes[m_self.id] = m_self;
}

void Membership::nodeChanged(const StoreChange &change)
{
    const NodeId id{change.entry.key.substr(nodePrefix.size())};
    if (id == m_self.id)
        return;
    if (change.deleted)
        m_nodes.erase(id);
    else if (auto record = decodeNode(change.entry.value))
        m_nodes[id] = std::move(*record);
}

void Membership::applyVmList(std::vector<Vm> vms)
{
    std::map<UpstreamId, UpstreamMember> present;
    m_entryVms.clear();
    for (auto &vm : vms) {
        if (vm.role == VmRole::Entry) {
            m_entryVms.insert(vm.id.value);
            continue;
        }
        auto member = UpstreamMember{};
        if (const auto known = m_upstreams.find(vm.id);
            known != m_upstreams.end() && known->second.vm.endpoint == vm.endpoint)
            member = known->second;
        member.drained = m_drained.contains(vm.id.value);
        member.vm = std::move(vm);
        m_gone.erase(member.vm.id);
        present.emplace(member.vm.id, std::move(member));
    }
    for (const auto &[id, member] : m_upstreams) {
        if (!present.contains(id))
            m_gone.insert(id);
    }
    m_upstreams = std::move(present);
}

void Membership::setDrained(std::set<std::string> names)
{
    m_drained = std::move(names);
    for (auto &[id, member] : m_upstreams)
        member.drained = m_drained.contains(id.value);
}

bool Membership::isDrained(const std::string &name) const
{
    return m_drained.contains(name);
}

void Membership::contactFailed(const UpstreamId &upstream, Instant now)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return;
    auto &member = it->second;
    const auto backoff = std::min(maxBackoff, minBackoff * (1 << std::min(member.failures, 8)));
    ++member.failures;
    member.avoidUntil = now + backoff;
}

void Membership::contactSucceeded(const UpstreamId &upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return;
    it->second.failures = 0;
    it->second.avoidUntil = {};
}

void Membership::setStopping()
{
    m_self.state = NodeState::Stopping;
    m_nodes[m_self.id] = m_self;
}

const NodeRecord &Membership::self() const
{
    return m_self;
}

const std::map<NodeId, NodeRecord> &Membership::nodes() const
{
    return m_nodes;
}

const std::map<UpstreamId, UpstreamMember> &Membership::upstreams() const
{
    return m_upstreams;
}

const NodeRecord *Membership::node(const NodeId &id) const
{
    const auto it = m_nodes.find(id);
    return it == m_nodes.end() ? nullptr : &it->second;
}

const UpstreamMember *Membership::upstream(const UpstreamId &id) const
{
    const auto it = m_upstreams.find(id);
    return it == m_upstreams.end() ? nullptr : &it->second;
}

bool Membership::isGone(const UpstreamId &upstream) const
{
    return m_gone.contains(upstream);
}

bool Membership::isEntryGone(const NodeId &node) const
{
    return !m_entryVms.empty() && !m_entryVms.contains(node.value);
}

bool Membership::isReplaced(const NodeId &node, const Incarnation &incarnation) const
{
    const auto *record = this->node(node);
    return !record || record->incarnation != incarnation;
}

bool Membership::isLive(const NodeRecord &record) const
{
    return record.state == NodeState::Live && !m_drained.contains(record.id.value);
}

std::optional<NodeId> Membership::preferredOwner(const Vm &upstream) const
{
    const auto salt = score(upstream.id.value, 0);
    const NodeRecord *best = nullptr;
    bool bestIsNear = false;
    for (const auto &[id, record] : m_nodes) {
        if (!isLive(record))
            continue;
        const bool isNear = record.region == upstream.region;
        const bool isBetter = !best || (isNear && !bestIsNear)
                              || (isNear == bestIsNear && score(id.value, salt) > score(best->id.value, salt));
        if (isBetter) {
            best = &record;
            bestIsNear = isNear;
        }
    }
    if (!best)
        return std::nullopt;
    return best->id;
}

std::vector<NodeRecord> Membership::entriesFor(const RegionId &region, std::uint64_t salt) const
{
    std::vector<NodeRecord> entries;
    for (const auto &[id, record] : m_nodes) {
        if (isLive(record))
            entries.push_back(record);
    }
    std::ranges::sort(entries, [&](const NodeRecord &a, const NodeRecord &b) {
        const bool aIsNear = a.region == region;
        const bool bIsNear = b.region == region;
        if (aIsNear != bIsNear)
            return aIsNear;
        return score(a.id.value, salt) > score(b.id.value, salt);
    });
    return entries;
}

} // namespace Gypsumtally
