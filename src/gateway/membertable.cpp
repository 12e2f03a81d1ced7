#include "gateway/membertable.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration leastLiveTime = std::chrono::milliseconds{1200}; ///< Four digests of a node in a small fleet.
constexpr Duration liveTimePerNode = std::chrono::milliseconds{35}; ///< Three digests in a large one.
constexpr Duration forgetTime = std::chrono::seconds{20}; ///< Of a node that is neither listed nor heard.

/// Fewer entry points than this would put too much on each when one of them fails.
constexpr std::size_t enoughEntryPoints = 3;

} // namespace

MemberTable::MemberTable(NodeAddress self)
    : m_self(std::move(self))
{
}

void MemberTable::onListed(const NodeAddress &address, Instant now)
{
    if (address.node == m_self.node)
        return;
    auto &member = m_members[address.node];
    if (member.address.node.empty() || address.startedAt >= member.address.startedAt) {
        if (member.address != address && !member.address.node.empty())
            member.takesCallers = false;
        member.address = address;
    }
    member.listed = true;
    if (member.heard == Instant{})
        member.heard = now - leastLiveTime;
}

void MemberTable::onUnlisted(const std::string &node)
{
    if (const auto it = m_members.find(node); it != m_members.end())
        it->second.listed = false;
}

void MemberTable::onSnapshot(const std::vector<NodeAddress> &nodes, Instant now)
{
    for (auto &[node, member] : m_members)
        member.listed = false;
    for (const auto &address : nodes)
        onListed(address, now);
}

void MemberTable::onHeard(const GatewayMessage &message, Instant now)
{
    if (message.from.node == m_self.node)
        return;
    if (message.from.callers.port == 0 && !m_members.contains(message.from.node))
        return;
    auto &member = m_members[message.from.node];
    if (!member.address.node.empty() && message.from.startedAt < member.address.startedAt)
        return; // A message of an earlier process.
    if (message.from.callers.port != 0)
        member.address = message.from;
    else if (member.address.startedAt != message.from.startedAt)
        return; // A process whose address has not come yet.
    member.takesCallers = message.takesCallers;
    member.heard = now;
}

bool MemberTable::isLive(const Member &member, Instant now) const
{
    const auto liveTime = std::max<Duration>(leastLiveTime, liveTimePerNode * m_members.size());
    return member.heard != Instant{} && now - member.heard < liveTime;
}

bool MemberTable::isLive(const std::string &node, Instant now) const
{
    const auto it = m_members.find(node);
    return it != m_members.end() && isLive(it->second, now);
}

unsigned MemberTable::rankOfSelf(const std::string &key, Instant now) const
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const double own = rendezvousScore(hash, m_self.node);
    return static_cast<unsigned>(std::ranges::count_if(m_members, [&](const auto &item) {
        return isLive(item.second, now) && rendezvousScore(hash, item.first) > own;
    }));
}

std::vector<NodeAddress> MemberTable::peers(Instant now) const
{
    std::vector<NodeAddress> peers;
    for (const auto &[node, member] : m_members) {
        if (member.listed || now - member.heard < forgetTime)
            peers.push_back(member.address);
    }
    return peers;
}

const NodeAddress *MemberTable::find(const std::string &node) const
{
    if (node == m_self.node)
        return &m_self;
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second.address;
}

std::vector<Http::Endpoint> MemberTable::entryPoints(const std::string &region, const std::string &failureDomain,
                                                     bool selfTakesCallers, Instant now) const
{
    std::vector<NodeAddress> open;
    if (selfTakesCallers)
        open.push_back(m_self);
    for (const auto &[node, member] : m_members) {
        if (member.takesCallers && isLive(member, now))
            open.push_back(member.address);
    }
    const auto endpointsWhere = [&](auto &&condition) {
        std::vector<Http::Endpoint> endpoints;
        for (const auto &address : open) {
            if (condition(address))
                endpoints.push_back(address.callers);
        }
        return endpoints;
    };
    auto near = endpointsWhere([&](const NodeAddress &address) { return address.failureDomain == failureDomain; });
    if (near.size() >= enoughEntryPoints)
        return near;
    near = endpointsWhere([&](const NodeAddress &address) { return address.region == region; });
    if (near.size() >= enoughEntryPoints)
        return near;
    return endpointsWhere([](const NodeAddress &) { return true; });
}

} // namespace Gypsumtally::Gateway
