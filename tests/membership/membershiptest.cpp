#include "membership/membership.h"

#include "support/table.h"

#include <string>

using namespace Gypsumtally;

namespace
{

NodeRecord nodeNamed(const std::string &name, const std::string &region)
{
    return {{name}, {"run-of-" + name}, {"127.0.0.1", 1, false}, {"127.0.0.1", 2, false}, {region},
            {"fd"}, NodeState::Live};
}

Vm engineNamed(const std::string &name, const std::string &region)
{
    return {{name}, VmRole::Engine, false, {"127.0.0.1", 9, false}, {region}, {"fd"}, "b", ""};
}

KeyValue stored(const NodeRecord &record)
{
    return {nodeKey(record.id), encodeNode(record), 1};
}

/// Returns the membership, as node a0 has it, of three nodes in each of two regions.
Membership sixNodes()
{
    Membership membership(nodeNamed("a0", "a"));
    std::vector<KeyValue> records;
    for (const auto *region : {"a", "b"}) {
        for (int i = 0; i < 3; ++i)
            records.push_back(stored(nodeNamed(region + std::to_string(i), region)));
    }
    membership.applyNodeSnapshot(records);
    return membership;
}

struct BackoffCase {
    int failures;
    Duration backoff;
};

const BackoffCase backoffs[] = {
    {1, std::chrono::milliseconds{500}},
    {2, std::chrono::milliseconds{1000}},
    {20, std::chrono::seconds{10}},
};

} // namespace

Test(Membership, ownersAreInUpstreamsRegionAndSpread)
{
    const auto membership = sixNodes();
    std::map<NodeId, int> owned;
    for (int i = 0; i < 300; ++i) {
        const auto owner = membership.preferredOwner(engineNamed("e" + std::to_string(i), "b"));
        cr_assert_eq(membership.node(*owner)->region.value, std::string("b"));
        ++owned[*owner];
    }
    cr_assert_eq(owned.size(), 3);
    for (const auto &[node, count] : owned)
        cr_assert_geq(count, 60, "%s owns %d of 300", node.value.c_str(), count);
}

Test(Membership, leavingNodeMovesOnlyItsOwnUpstreams)
{
    auto membership = sixNodes();
    std::map<std::string, NodeId> before;
    for (int i = 0; i < 200; ++i)
        before["e" + std::to_string(i)] = *membership.preferredOwner(engineNamed("e" + std::to_string(i), "b"));
    membership.nodeChanged({{nodeKey({"b1"}), "", 2}, true});
    for (const auto &[engine, owner] : before) {
        const auto now = *membership.preferredOwner(engineNamed(engine, "b"));
        cr_assert(owner.value == "b1" ? now.value != "b1" : now == owner);
    }
}

Test(Membership, stoppingNodeIsNeitherEntryNorOwner)
{
    auto membership = sixNodes();
    auto stopping = nodeNamed("b1", "b");
    stopping.state = NodeState::Stopping;
    membership.nodeChanged({stored(stopping), false});
    for (int i = 0; i < 100; ++i)
        cr_assert_neq(membership.preferredOwner(engineNamed("e" + std::to_string(i), "b"))->value, std::string("b1"));
    for (const auto &entry : membership.entriesFor({"b"}, 1))
        cr_assert_neq(entry.id.value, std::string("b1"));
}

Test(Membership, callersGetEntriesOfTheirRegionFirst)
{
    const auto membership = sixNodes();
    std::map<std::string, int> first;
    for (std::uint64_t salt = 0; salt < 300; ++salt) {
        const auto entries = membership.entriesFor({"b"}, salt);
        cr_assert_eq(entries.size(), 6);
        cr_assert_eq(entries[0].region.value, std::string("b"));
        ++first[entries[0].id.value];
    }
    cr_assert_eq(first.size(), 3);
}

TABLE_TEST(Membership, failedContactsIncreaseBackoff, backoffs)
{
    Membership membership(nodeNamed("a0", "a"));
    membership.applyVmList({engineNamed("e", "a")});
    for (int i = 0; i < row.failures; ++i)
        membership.contactFailed({"e"}, Instant{});
    const auto *member = membership.upstream({"e"});
    cr_assert_not(member->takesWork(Instant{} + row.backoff - Duration{1}));
    cr_assert(member->takesWork(Instant{} + row.backoff));
    membership.contactSucceeded({"e"});
    cr_assert(member->takesWork(Instant{}));
}

Test(Membership, leavingDrainedOrGoneUpstreamTakesNoWork)
{
    Membership membership(nodeNamed("a0", "a"));
    auto leaving = engineNamed("e1", "a");
    leaving.leaving = true;
    membership.applyVmList({leaving, engineNamed("e2", "a"), engineNamed("e3", "a")});
    membership.setDrained({"e2"});
    cr_assert_not(membership.upstream({"e1"})->takesWork(Instant{}));
    cr_assert_not(membership.upstream({"e2"})->takesWork(Instant{}));
    cr_assert(membership.upstream({"e3"})->takesWork(Instant{}));
    membership.applyVmList({engineNamed("e2", "a")});
    cr_assert_null(membership.upstream({"e3"}));
    cr_assert(membership.isGone({"e3"}));
}

Test(Membership, restartedProcessReplacesOldOne)
{
    auto membership = sixNodes();
    cr_assert_not(membership.isReplaced({"b1"}, {"run-of-b1"}));
    auto restarted = nodeNamed("b1", "b");
    restarted.incarnation = {"second-run"};
    membership.nodeChanged({stored(restarted), false});
    cr_assert(membership.isReplaced({"b1"}, {"run-of-b1"}));
}
