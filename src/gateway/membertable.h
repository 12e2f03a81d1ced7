#pragma once

#include "common/clock.h"
#include "gateway/gatewaymessage.h"
#include "gateway/relaychoice.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The membership of the fleet: the other nodes according to their records in the store and their own reports, and
/// which of them accept callers. A node is live if its last report is younger than a timeout, which grows with the
/// fleet. Not thread-safe; does no I/O.
class MemberTable
{
public:
    explicit MemberTable(NodeAddress self);

    /// Adds a node whose record is in the store, or updates its address unless @p address is of an earlier process.
    void onListed(const NodeAddress &address, Instant now);

    /// Records that the store has no record of @p node any more. The node stays a member while it sends reports.
    void onUnlisted(const std::string &node);

    /// Applies a snapshot of the nodes' records. Nodes that are not in @p nodes count as unlisted.
    void onSnapshot(const std::vector<NodeAddress> &nodes, Instant now);

    /// Records the state in another node's report. Returns true if it is the newest report of that node; an older one
    /// of the same process only proves that it is live.
    bool onReport(const NodeReport &report, Instant now)
    {
        return onReport(report, now, now);
    }

    /// Like the above, of a report that arrived between @p arrivedAt and @p now.
    bool onReport(const NodeReport &report, Instant now, Instant arrivedAt);

    /// Returns the last time at which another node, or an earlier process of one, was heard from that has sent no
    /// report since @p time; Instant::min() if there is none. Adds @p allowance for nodes of builds that do not hold
    /// further software versions back.
    Instant lastUnheard(Instant time, Duration allowance) const;

    /// Returns all other nodes that are listed in the store or have sent a report within 20 s.
    std::vector<NodeAddress> peers(Instant now) const;

    /// Returns the peers() in @p failureDomain.
    std::vector<NodeAddress> peersIn(const std::string &failureDomain, Instant now) const;

    /// Returns the number of peers().
    std::size_t peerCount(Instant now) const;

    /// Returns the number of peersIn() @p failureDomain.
    std::size_t peerCountIn(const std::string &failureDomain, Instant now) const;

    /// Returns the failure domains of this node and all peers().
    std::set<std::string> failureDomains(Instant now) const;

    /// Returns the nodes of @p failureDomain that forward messages, each in proportion to its capacity, possibly
    /// including this one: the first by rank of those that are live and accept callers, so many that the others have
    /// @p spareCapacity together if the largest is lost; all of them, if machines of capacity 1 or more do not suffice.
    /// Others are relays only if there are none of these. Nodes with the same view of the membership choose the same
    /// relays. Precondition: @p spareCapacity is positive.
    std::vector<NodeAddress> relaysOf(const std::string &failureDomain, double spareCapacity, Instant now) const;

    /// Returns the node that reads the store for @p failureDomain: the first live relay that reaches the store, or the
    /// first of all if none does. Precondition: this node is in that domain.
    NodeAddress readerOf(const std::string &failureDomain, bool selfReachesStore, Instant now) const;

    /// Returns the other nodes that are live.
    std::set<std::string> liveNodes(Instant now) const;

    /// Returns true if another node is live.
    bool hasLivePeers(Instant now) const;

    /// Returns the fraction of all known nodes that are live, with this one among both.
    double liveShare(Instant now) const;

    /// Returns the fraction of the known nodes that have been heard from within 1.2 s, with this one among both. Nodes
    /// that have announced that they stop do not count when they are silent; others whose record is gone count for a
    /// time, as they may be cut off from the store. Takes at least @p minKnown nodes as known.
    double heardShare(std::size_t minKnown, Instant now) const;

    /// Returns the other nodes that are not live.
    std::vector<std::string> silentNodes(Instant now) const;

    /// Returns the address of @p node, which may be this one, or null if it is not known.
    const NodeAddress *find(const std::string &node) const;

    /// Records what this node reaches, as its own reports state it.
    void setOwnReach(const NodeReach &reach)
    {
        m_ownReach = reach;
    }

    /// Returns the other nodes that are live and accept calls.
    std::vector<RelayPeer> relayPeers(Instant now) const;

    /// Returns the endpoints for callers of @p region and @p failureDomain: those of live nodes that accept callers,
    /// and of this one if @p selfTakesCallers. Leaves out nodes that do not reach all services, unless none does.
    /// Returns only those in the failure domain, or else only those in the region, if there are at least three.
    std::vector<Http::Endpoint> entryPoints(const std::string &region, const std::string &failureDomain,
                                            bool selfTakesCallers, Instant now) const;

    /// Returns the number of live nodes that rank before this one for @p key. Nodes rank by capacity, and by rendezvous
    /// hashing of @p key among equals.
    unsigned rankOfSelf(const std::string &key, Instant now) const;

    /// Returns rankOfSelf() among the nodes that reach most engines.
    unsigned orderRankOfSelf(const std::string &key, Instant now) const;

    /// Returns true if @p node is another node, live, and reached the store and most engines according to its last
    /// report.
    bool canOrder(const std::string &node, Instant now) const;

    /// Returns true if @p node is another node and live.
    bool isLive(const std::string &node, Instant now) const;

    /// Returns true if @p node is another node, live, and reached the store according to its last report.
    bool reachesStore(const std::string &node, Instant now) const;

    const NodeAddress &self() const
    {
        return m_self;
    }

private:
    struct Member {
        NodeAddress address;
        bool listed = false;
        bool takesCallers = false;
        bool reachesStore = true;
        NodeReach reach;
        std::uint64_t sequence = 0; ///< Sequence of the process's newest report; 0 if there is none.
        Instant lastReportAt{}; ///< When the last report was read.
        Instant heardAt{}; ///< When the last report had not arrived yet.
        bool holdsVersions = false;
        bool stops = false; ///< The process took callers, and has announced that it takes no more.
    };

    /// Prepares @p member for another process of its node.
    void onReplaced(Member &member);

    using Rank = std::pair<double, double>; ///< Capacity, rendezvous score.
    using RelayRank = std::tuple<bool, bool, Rank>; ///< Is live, accepts callers, rank.
    std::vector<std::pair<RelayRank, const NodeAddress *>> relayCandidates(const std::string &failureDomain,
                                                                           Instant now) const;
    static Rank rankOf(const NodeAddress &address, std::uint64_t key);
    bool isMember(const Member &member, Instant now) const;

    bool isLive(const Member &member, Instant now) const;

    NodeAddress m_self;
    NodeReach m_ownReach;
    std::map<std::string, Member> m_members;
    Instant m_replacedHeardAt = Instant::min(); ///< Last time that an earlier process of a node was heard from.
    Instant m_replacedHeardWithoutHolding = Instant::min(); ///< The same for those that do not hold versions back.
};

} // namespace Gypsumtally::Gateway
