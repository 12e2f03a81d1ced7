#include "gateway/membertable.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration minLivenessTimeout = std::chrono::milliseconds{1200}; ///< Four digest intervals in a small fleet.
/// Liveness timeout for each other node, where it exceeds minLivenessTimeout. Almost six digest intervals.
constexpr Duration livenessTimeoutPerNode = std::chrono::milliseconds{35};
constexpr Duration unlistedTimeout = std::chrono::seconds{20}; ///< After the last report of an unlisted node.

/// Time in which a node must be heard to count for the heard share: two digests of a fleet of 76 nodes, one of which
/// may be lost, and the delay of reports. Until it has passed, a cut fleet charges organisations too little.
constexpr Duration heardTimeout = std::chrono::milliseconds{1200};
/// Time for which a silent node without a record counts as one that may serve callers. Twice the TTL of the record: a
/// node that is cut off from the store loses its record too.
constexpr Duration unheardTimeout = std::chrono::seconds{60};

/// Capacity from which a machine bears a good part of its domain's reports. Smaller ones share them all.
constexpr double ownShareCapacity = 1;

/// Minimum number of nearby entry points. With fewer, the failure of one would overload the others.
constexpr std::size_t minNearEntryPoints = 3;

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
        if (member.address.startedAt != address.startedAt)
            onReplaced(member);
        member.address = address;
    }
    member.listed = true;
    if (member.lastReportAt == Instant{})
        member.lastReportAt = now - minLivenessTimeout;
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

void MemberTable::onReplaced(Member &member)
{
    if (!member.address.node.empty()) {
        auto &replaced = member.holdsVersions ? m_replacedHeardAt : m_replacedHeardWithoutHolding;
        replaced = std::max(replaced, member.lastReportAt);
    }
    member.sequence = 0;
    member.heardAt = {};
    member.holdsVersions = false;
    member.stops = false;
}

Instant MemberTable::lastUnheard(Instant time, Duration allowance) const
{
    const auto withAllowance
        = [allowance](Instant heard) { return heard == Instant::min() ? heard : heard + allowance; };
    auto last = std::max(m_replacedHeardAt, withAllowance(m_replacedHeardWithoutHolding));
    for (const auto &[node, member] : m_members) {
        if (member.heardAt < time)
            last = std::max(last, member.holdsVersions ? member.lastReportAt : member.lastReportAt + allowance);
    }
    return last;
}

bool MemberTable::onReport(const NodeReport &report, Instant now, Instant arrivedAt)
{
    if (report.from.node == m_self.node)
        return false;
    if (report.from.callers.port == 0 && !m_members.contains(report.from.node))
        return false;
    auto &member = m_members[report.from.node];
    if (!member.address.node.empty() && report.from.startedAt < member.address.startedAt)
        return false; // From an earlier process of the node.
    if (report.from.callers.port != 0) {
        if (member.address.startedAt != report.from.startedAt)
            onReplaced(member);
        member.address = report.from;
        member.holdsVersions = report.holdsVersions;
    } else if (member.address.startedAt != report.from.startedAt) {
        return false; // From a process whose address is not known yet.
    }
    member.lastReportAt = now;
    member.heardAt = std::max(member.heardAt, arrivedAt);
    if (report.sequence <= member.sequence)
        return false;
    member.sequence = report.sequence;
    member.stops = !report.takesCallers && (member.stops || member.takesCallers);
    member.takesCallers = report.takesCallers;
    member.reachesStore = report.reachesStore;
    member.reach = report.reach;
    return true;
}

bool MemberTable::isLive(const Member &member, Instant now) const
{
    const auto livenessTimeout = std::max<Duration>(minLivenessTimeout, livenessTimeoutPerNode * m_members.size());
    return member.lastReportAt != Instant{} && now - member.lastReportAt < livenessTimeout;
}

bool MemberTable::isLive(const std::string &node, Instant now) const
{
    const auto it = m_members.find(node);
    return it != m_members.end() && isLive(it->second, now);
}

bool MemberTable::reachesStore(const std::string &node, Instant now) const
{
    const auto it = m_members.find(node);
    return it != m_members.end() && isLive(it->second, now) && it->second.reachesStore;
}

MemberTable::Rank MemberTable::rankOf(const NodeAddress &address, std::uint64_t key)
{
    return {address.capacity, rendezvousScore(key, address.node)};
}

unsigned MemberTable::rankOfSelf(const std::string &key, Instant now) const
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const auto own = rankOf(m_self, hash);
    return static_cast<unsigned>(std::ranges::count_if(m_members, [&](const auto &item) {
        return isLive(item.second, now) && rankOf(item.second.address, hash) > own;
    }));
}

unsigned MemberTable::orderRankOfSelf(const std::string &key, Instant now) const
{
    const auto hash = XXH3_64bits(key.data(), key.size());
    const auto own = rankOf(m_self, hash);
    return static_cast<unsigned>(std::ranges::count_if(m_members, [&](const auto &item) {
        return isLive(item.second, now) && item.second.reach.engines && rankOf(item.second.address, hash) > own;
    }));
}

bool MemberTable::canOrder(const std::string &node, Instant now) const
{
    const auto it = m_members.find(node);
    return it != m_members.end() && it->second.reach.engines && reachesStore(node, now);
}

bool MemberTable::isMember(const Member &member, Instant now) const
{
    return member.listed || now - member.lastReportAt < unlistedTimeout;
}

std::vector<NodeAddress> MemberTable::peers(Instant now) const
{
    std::vector<NodeAddress> peers;
    for (const auto &[node, member] : m_members) {
        if (isMember(member, now))
            peers.push_back(member.address);
    }
    return peers;
}

std::vector<NodeAddress> MemberTable::peersIn(const std::string &failureDomain, Instant now) const
{
    std::vector<NodeAddress> peers;
    for (const auto &[node, member] : m_members) {
        if (member.address.failureDomain == failureDomain && isMember(member, now))
            peers.push_back(member.address);
    }
    return peers;
}

std::size_t MemberTable::peerCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_members, [&](const auto &item) { return isMember(item.second, now); }));
}

std::size_t MemberTable::peerCountIn(const std::string &failureDomain, Instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_members, [&](const auto &item) {
        return item.second.address.failureDomain == failureDomain && isMember(item.second, now);
    }));
}

std::set<std::string> MemberTable::failureDomains(Instant now) const
{
    std::set<std::string> domains{m_self.failureDomain};
    for (const auto &[node, member] : m_members) {
        if (isMember(member, now))
            domains.insert(member.address.failureDomain);
    }
    return domains;
}

std::vector<std::pair<MemberTable::RelayRank, const NodeAddress *>>
MemberTable::relayCandidates(const std::string &failureDomain, Instant now) const
{
    const auto key = XXH3_64bits(failureDomain.data(), failureDomain.size());
    std::vector<std::pair<RelayRank, const NodeAddress *>> candidates;
    if (m_self.failureDomain == failureDomain)
        candidates.push_back({{true, true, rankOf(m_self, key)}, &m_self});
    for (const auto &[node, member] : m_members) {
        if (member.address.failureDomain == failureDomain && isMember(member, now))
            candidates.push_back(
                {{isLive(member, now), member.takesCallers, rankOf(member.address, key)}, &member.address});
    }
    std::ranges::sort(candidates, std::ranges::greater{}, [](const auto &candidate) { return candidate.first; });
    return candidates;
}

NodeAddress MemberTable::readerOf(const std::string &failureDomain, bool selfReachesStore, Instant now) const
{
    const auto candidates = relayCandidates(failureDomain, now);
    for (const auto &[rank, address] : candidates) {
        const auto member = m_members.find(address->node);
        if (member == m_members.end() ? selfReachesStore : member->second.reachesStore && std::get<0>(rank))
            return *address;
    }
    return *candidates.front().second;
}

std::vector<NodeAddress> MemberTable::relaysOf(const std::string &failureDomain, double spareCapacity,
                                               Instant now) const
{
    const auto candidates = relayCandidates(failureDomain, now);
    const auto stateOf = [](const RelayRank &rank) { return std::pair{std::get<0>(rank), std::get<1>(rank)}; };
    std::vector<NodeAddress> relays;
    double spare = 0;
    for (const auto &[rank, address] : candidates) {
        const bool isEnough = spare >= spareCapacity && relays.back().capacity >= ownShareCapacity;
        if (isEnough || stateOf(rank) != stateOf(candidates.front().first))
            break;
        spare += relays.empty() ? 0 : address->capacity;
        relays.push_back(*address);
    }
    return relays;
}

std::set<std::string> MemberTable::liveNodes(Instant now) const
{
    std::set<std::string> nodes;
    for (const auto &[node, member] : m_members) {
        if (isLive(member, now))
            nodes.insert(node);
    }
    return nodes;
}

bool MemberTable::hasLivePeers(Instant now) const
{
    return std::ranges::any_of(m_members, [&](const auto &item) { return isLive(item.second, now); });
}

double MemberTable::liveShare(Instant now) const
{
    return static_cast<double>(1 + liveNodes(now).size()) / static_cast<double>(1 + peerCount(now));
}

double MemberTable::heardShare(std::size_t minKnown, Instant now) const
{
    std::size_t heard = 1;
    std::size_t known = 1;
    for (const auto &[node, member] : m_members) {
        const bool isHeard = member.heardAt != Instant{} && now - member.heardAt <= heardTimeout;
        const bool maySpend = !member.stops && (member.listed || now - member.lastReportAt <= unheardTimeout);
        heard += isHeard ? 1 : 0;
        known += isHeard || maySpend ? 1 : 0;
    }
    return static_cast<double>(heard) / static_cast<double>(std::max(known, minKnown));
}

std::vector<std::string> MemberTable::silentNodes(Instant now) const
{
    std::vector<std::string> nodes;
    for (const auto &[node, member] : m_members) {
        if (!isLive(member, now))
            nodes.push_back(node);
    }
    return nodes;
}

const NodeAddress *MemberTable::find(const std::string &node) const
{
    if (node == m_self.node)
        return &m_self;
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second.address;
}

std::vector<RelayPeer> MemberTable::relayPeers(Instant now) const
{
    std::vector<RelayPeer> peers;
    for (const auto &[node, member] : m_members) {
        const auto &address = member.address;
        if (member.takesCallers && isLive(member, now))
            peers.push_back({node, address.region, address.peers, address.startedAt, address.capacity});
    }
    return peers;
}

std::vector<Http::Endpoint> MemberTable::entryPoints(const std::string &region, const std::string &failureDomain,
                                                     bool selfTakesCallers, Instant now) const
{
    std::vector<std::pair<const NodeAddress *, bool>> candidates; // The latter: reaches all services.
    if (selfTakesCallers)
        candidates.emplace_back(&m_self, m_ownReach.services);
    for (const auto &[node, member] : m_members) {
        if (member.takesCallers && isLive(member, now))
            candidates.emplace_back(&member.address, member.reach.services);
    }
    if (std::ranges::any_of(candidates, [](const auto &candidate) { return candidate.second; }))
        std::erase_if(candidates, [](const auto &candidate) { return !candidate.second; });
    const auto endpointsWhere = [&](auto &&condition) {
        std::vector<Http::Endpoint> endpoints;
        for (const auto &[address, reachesServices] : candidates) {
            if (condition(*address))
                endpoints.push_back(address->callers);
        }
        return endpoints;
    };
    auto nearby = endpointsWhere([&](const NodeAddress &address) { return address.failureDomain == failureDomain; });
    if (nearby.size() >= minNearEntryPoints)
        return nearby;
    nearby = endpointsWhere([&](const NodeAddress &address) { return address.region == region; });
    if (nearby.size() >= minNearEntryPoints)
        return nearby;
    return endpointsWhere([](const NodeAddress &) { return true; });
}

} // namespace Gypsumtally::Gateway
