#pragma once

#include "common/clock.h"
#include "keyvalue/storewatcher.h"
#include "keyvalue/vmlist.h"
#include "membership/noderecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Gypsumtally
{

/// An upstream as this node sees it.
struct UpstreamMember {
    Vm vm;
    bool drained = false; ///< An operator stopped it.
    Instant avoidUntil{}; ///< Contact failed; nothing new before then.
    int failures = 0; ///< Failed contacts in a row.

    /// Returns whether new work may go there.
    bool takesWork(Instant now) const
    {
        return !vm.leaving && !drained && now >= avoidUntil;
    }
};

/// Which nodes and upstreams there are, from the nodes' records, the lagging VM list and this node's own contacts.
/// Decision state; not thread-safe.
class Membership
{
public:
    Membership(NodeRecord self);

    /// Takes all node records; those not among them are gone.
    void nodesListed(const std::vector<KeyValue> &records);

    /// Takes one changed or deleted node record. A deletion of the own record is ignored: the node knows better.
    void nodeChanged(const StoreChange &change);

    /// Takes the VM list. VMs that it leaves out are gone.
    void vmsListed(std::vector<Vm> vms);

    /// Takes the operators' list of drained upstreams and nodes.
    void setDrained(std::set<std::string> names);

    /// Returns whether an operator drained the node or upstream called @p name.
    bool isDrained(const std::string &name) const;

    /// Notes a failed or a good contact with @p upstream; failures in a row lengthen the pause before the next try.
    void contactFailed(const UpstreamId &upstream, Instant now);
    void contactSucceeded(const UpstreamId &upstream);

    /// Marks this node as stopping.
    void setStopping();

    const NodeRecord &self() const;
    const std::map<NodeId, NodeRecord> &nodes() const;
    const std::map<UpstreamId, UpstreamMember> &upstreams() const;
    const NodeRecord *node(const NodeId &id) const;
    const UpstreamMember *upstream(const UpstreamId &id) const;

    /// Returns whether the VM list named @p upstream once and no longer does.
    bool isGone(const UpstreamId &upstream) const;

    /// Returns whether the VM list names entry VMs, but no longer @p node.
    bool isEntryGone(const NodeId &node) const;

    /// Returns whether a process @p incarnation of @p node is known to have been replaced or to have lost its lease.
    bool isReplaced(const NodeId &node, const Incarnation &incarnation) const;

    /// Returns the live node that is to own @p upstream: by rendezvous hashing over those in its region, or over all
    /// if there is none there. Nothing if no node is live.
    std::optional<NodeId> wantedOwner(const Vm &upstream) const;

    /// Returns addresses for callers of @p region: its own live nodes first, in an order that differs by @p salt.
    std::vector<NodeRecord> entriesFor(const RegionId &region, std::uint64_t salt) const;

private:
    bool isLive(const NodeRecord &record) const;

    NodeRecord m_self;
    std::map<NodeId, NodeRecord> m_nodes;
    std::map<UpstreamId, UpstreamMember> m_upstreams;
    std::set<UpstreamId> m_gone;
    std::set<std::string> m_entryVms;
    std::set<std::string> m_drained;
};

} // namespace Gypsumtally
