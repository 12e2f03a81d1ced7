#pragma once

#include "common/clock.h"
#include "gateway/gatewaymessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The other nodes: who they are by the store and by their own messages, and which of them take callers. Not
/// thread-safe; does no I/O.
class MemberTable
{
public:
    explicit MemberTable(NodeAddress self);

    /// The store lists @p address.
    void onListed(const NodeAddress &address, Instant now);

    /// The store lists @p node no more. It stays as long as it is heard.
    void onUnlisted(const std::string &node);

    /// The store was read whole; nodes that are not in @p nodes are unlisted.
    void onSnapshot(const std::vector<NodeAddress> &nodes, Instant now);

    /// Another node's report came in. Returns whether it is the newest one of that node.
    bool onHeard(const NodeReport &report, Instant now);

    /// Returns all other nodes that messages may be sent to.
    std::vector<NodeAddress> peers(Instant now) const;

    /// Returns those of @p failureDomain.
    std::vector<NodeAddress> peersIn(const std::string &failureDomain, Instant now) const;

    /// Returns how many peers() there are.
    std::size_t peerCount(Instant now) const;

    /// Returns how many peersIn() @p failureDomain there are.
    std::size_t peerCountIn(const std::string &failureDomain, Instant now) const;

    /// Returns the failure domains of all nodes.
    std::set<std::string> failureDomains(Instant now) const;

    /// Returns at most @p count nodes of @p failureDomain that pass messages on, this one included if it is one of
    /// them: live ones that do not stop, on the machines with most to spare. Nodes that see the same members choose the
    /// same ones.
    std::vector<NodeAddress> relaysOf(const std::string &failureDomain, std::size_t count, Instant now) const;

    /// Returns the node that reads the store for @p failureDomain, this one's: the first relay of those that reach it,
    /// or of all if none does. Precondition: this node is of that domain.
    NodeAddress readerOf(const std::string &failureDomain, bool selfReachesStore, Instant now) const;

    /// Returns the nodes that were heard lately.
    std::set<std::string> liveNodes(Instant now) const;

    /// Returns the nodes that were heard once, but not lately.
    std::vector<std::string> silentNodes(Instant now) const;

    /// Returns the address of @p node, or nothing if it is not known.
    const NodeAddress *find(const std::string &node) const;

    /// Returns where callers of @p region and @p failureDomain are to connect: nodes that take callers and were heard
    /// lately, this one included if @p selfTakesCallers. Near ones only, if there are enough of them.
    std::vector<Http::Endpoint> entryPoints(const std::string &region, const std::string &failureDomain,
                                            bool selfTakesCallers, Instant now) const;

    /// Returns how many live nodes rank before this one for @p key: machines with more to spare come first, equal ones
    /// by rendezvous hashing.
    unsigned rankOfSelf(const std::string &key, Instant now) const;

    /// Whether @p node was heard lately.
    bool isLive(const std::string &node, Instant now) const;

    /// Whether @p node was heard lately and reaches the store, as it said last.
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
        std::uint64_t sequence = 0; ///< Of the newest report.
        Instant heard{};
    };

    using Rank = std::pair<double, double>;
    using RelayRank = std::tuple<bool, bool, Rank>; ///< Live, takes callers, machine.
    std::vector<std::pair<RelayRank, const NodeAddress *>> relayCandidates(const std::string &failureDomain,
                                                                           Instant now) const;
    static Rank rankOf(const NodeAddress &address, std::uint64_t key);
    bool mayBeSentTo(const Member &member, Instant now) const;

    bool isLive(const Member &member, Instant now) const;

    NodeAddress m_self;
    std::map<std::string, Member> m_members;
};

} // namespace Gypsumtally::Gateway
