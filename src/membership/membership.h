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

/// State of an upstream, from the VM list, the operators' drains and this node's contacts with it.
struct UpstreamMember {
    Vm vm;
    bool drained = false; ///< An operator drained it.
    Instant avoidUntil{}; ///< End of the backoff after failed contacts; it gets no new work before.
    int failures = 0; ///< Number of consecutive failed contacts.

    /// Returns true if the upstream may get new work.
    bool takesWork(Instant now) const
    {
        return !vm.leaving && !drained && now >= avoidUntil;
    }
};

/// Membership of the fleet: its nodes and upstreams, from the nodes' records, the lagging VM list and this node's own
/// contacts with upstreams. Does no I/O; not thread-safe.
class Membership
{
public:
    Membership(NodeRecord self);

    /// Replaces the nodes by those in @p records, a snapshot of all node records, and this node.
    void applyNodeSnapshot(const std::vector<KeyValue> &records);

    /// Applies one change or deletion of a node record. Ignores those of this node's own record, as the node itself is
    /// the authority on its state.
    void nodeChanged(const StoreChange &change);

    /// Replaces the VMs by those in @p vms, the latest VM list. Upstreams that are no longer listed are gone.
    void applyVmList(std::vector<Vm> vms);

    /// Replaces the names of the upstreams and nodes that operators have drained.
    void setDrained(std::set<std::string> names);

    /// Returns true if an operator drained the node or upstream @p name.
    bool isDrained(const std::string &name) const;

    /// Records a failed contact with @p upstream. Consecutive failures double the backoff before the next contact.
    void contactFailed(const UpstreamId &upstream, Instant now);

    /// Records a successful contact with @p upstream, which ends the backoff.
    void contactSucceeded(const UpstreamId &upstream);

    /// Marks this node as stopping.
    void setStopping();

    const NodeRecord &self() const;

    /// Returns the records of all nodes, including this one.
    const std::map<NodeId, NodeRecord> &nodes() const;

    /// Returns the upstreams in the latest VM list.
    const std::map<UpstreamId, UpstreamMember> &upstreams() const;

    /// Returns the record of a node, or nullptr if there is none.
    const NodeRecord *node(const NodeId &id) const;

    /// Returns an upstream in the latest VM list, or nullptr if it is not listed.
    const UpstreamMember *upstream(const UpstreamId &id) const;

    /// Returns true if an earlier VM list named @p upstream and the latest one does not.
    bool isGone(const UpstreamId &upstream) const;

    /// Returns true if the latest VM list names entry VMs, but not @p node.
    bool isEntryGone(const NodeId &node) const;

    /// Returns true if @p node has no record, because its lease has ended, or has the record of another process than
    /// @p incarnation.
    bool isReplaced(const NodeId &node, const Incarnation &incarnation) const;

    /// Returns the live node that is to own @p upstream, by rendezvous hashing over the live nodes of its region, or
    /// over all live nodes if the region has none. Returns nothing if no node is live.
    std::optional<NodeId> preferredOwner(const Vm &upstream) const;

    /// Returns all live nodes as entry points for callers of @p region: nodes of that region first, otherwise in an
    /// order that depends on @p salt.
    std::vector<NodeRecord> entriesFor(const RegionId &region, std::uint64_t salt) const;

private:
    /// Returns true if the node is neither stopping nor drained.
    bool isLive(const NodeRecord &record) const;

    NodeRecord m_self;
    std::map<NodeId, NodeRecord> m_nodes;
    std::map<UpstreamId, UpstreamMember> m_upstreams;
    std::set<UpstreamId> m_gone;
    std::set<std::string> m_entryVms; ///< Names of the entry VMs in the latest VM list.
    std::set<std::string> m_drained;
};

} // namespace Gypsumtally
