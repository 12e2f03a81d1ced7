#include "gateway/registryfollower.h"

#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <deque>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

/// A store whose replies are given by the test one by one.
struct ScriptedStore {
    using OnReply = std::function<void(KeyReply)>;
    using OnWatch = std::function<void(WatchResult)>;

    void transact(const KeyTransaction &, StoreLease, const OnReply &)
    {
    }

    void readPrefix(const std::string &, OnReply onReply)
    {
        ++reads;
        read = std::move(onReply);
    }

    void watch(const std::string &, Revision after, Duration, OnWatch onResult)
    {
        ++watches;
        lastAfter = after;
        watching = std::move(onResult);
    }

    void grantLease(Duration, const std::function<void(std::optional<StoreLease>)> &)
    {
    }

    void renewLease(StoreLease, const std::function<void(std::optional<bool>)> &)
    {
    }

    void endLease(StoreLease)
    {
    }

    unsigned reads = 0;
    unsigned watches = 0;
    Revision lastAfter = 0;
    OnReply read;
    OnWatch watching;
};

/// A follower and its store on a loop that runs only in settle().
struct Followed {
    Followed()
        : follower(loop, store, "p/", {std::chrono::milliseconds{1}, std::chrono::seconds{1}},
                   {[this](const std::vector<KeyValue> &values) { snapshots.push_back(values.size()); },
                    [this](const KeyChange &change) { changes.push_back(change.key); },
                    {},
                    [this](bool reachable) { reachability.push_back(reachable); },
                    [this](const RegistryDelta &delta) { read.push_back(delta); }})
    {
        follower.start();
    }

    void settle(Duration time = std::chrono::milliseconds{10})
    {
        loop.runAfter(time, [this] { loop.stop(); });
        loop.context().restart();
        loop.run();
    }

    void answerRead(Revision revision, std::vector<KeyValue> values)
    {
        store.read({KeyOutcome::Applied, revision, std::move(values)});
        settle();
    }

    void answerWatch(const WatchResult &result)
    {
        store.watching(result);
        settle();
    }

    Http::EventLoop loop;
    ScriptedStore store;
    std::vector<std::size_t> snapshots;
    std::vector<std::string> changes;
    std::vector<bool> reachability;
    std::vector<RegistryDelta> read;
    RegistryFollower<ScriptedStore> follower;
};

struct BreakCase {
    WatchResult result;
    bool lost; ///< The store counts as unreachable until it answers again.
};

const BreakCase breaks[] = {
    {{false, false, {}, 0}, true}, // Connection cut, or no answer in time.
    {{false, true, {}, 0}, false}, // The history is compacted.
};

} // namespace

Test(RegistryFollower, resumesFromLastRevision)
{
    Followed followed;
    followed.answerRead(5, {{"p/a", "1", 3}});
    cr_assert_eq(followed.store.lastAfter, 5);
    followed.answerWatch({true, false, {{"p/b", "2", 8}}, 8});
    cr_assert_eq(followed.store.lastAfter, 8);
    cr_assert_eq(followed.changes.size(), 1U);
    cr_assert_eq(followed.store.reads, 1U);
}

// Guards against a missed configuration: a watch that is cut while the store compacts its history and then resumed
// never reports changes made in between.
TABLE_TEST(RegistryFollower, readsSnapshotAfterBrokenWatch, breaks)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({std::chrono::milliseconds{1}, {}, std::chrono::milliseconds{1}});
    followed.answerWatch(row.result);
    cr_assert_eq(followed.store.reads, 2U);
    cr_assert_eq(followed.reachability.back(), !row.lost);
    followed.answerRead(9, {{"p/a", "1", 7}});
    cr_assert_eq(followed.snapshots.back(), 1U);
    cr_assert_eq(followed.store.lastAfter, 9);
    cr_assert(followed.reachability.back());
}

Test(RegistryFollower, reconnectIgnoresOldWatch)
{
    Followed followed;
    followed.answerRead(5, {});
    const auto old = followed.store.watching;
    followed.follower.reconnect();
    followed.answerRead(6, {});
    old({true, false, {{"p/x", "1", 6}}, 6});
    followed.settle();
    cr_assert(followed.changes.empty());
    cr_assert_eq(followed.store.watches, 2U);
}

namespace
{

struct DeltaCase {
    RegistryDelta delta;
    std::vector<std::string> applied;
    Revision resumesFrom; ///< Start of this node's next watch.
};

/// Deltas received after a snapshot at revision 5 and the answer to an own watch up to 8.
const DeltaCase deltas[] = {
    {{8, {{"p/c", "1", 9}}, 9}, {"p/c"}, 9},
    {{6, {{"p/b", "1", 7}, {"p/c", "1", 9}}, 9}, {"p/c"}, 9}, // Overlaps with known changes.
    {{9, {{"p/c", "1", 10}}, 10}, {}, 8}, // Revision 9 is missing: this node calls the store.
    {{9, {}, 9}, {}, 8}, // The same with an empty delta.
    {{4, {{"p/b", "1", 7}}, 7}, {}, 8}, // Old.
    {{8, {}, 8}, {}, 8},
    {{8, {}, 20}, {}, 20}, // No change up to revision 20.
};

} // namespace

TABLE_TEST(RegistryFollower, appliesDeltas, deltas)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({std::chrono::milliseconds{30}, {}, std::chrono::milliseconds{30}});
    followed.answerWatch({true, false, {{"p/b", "2", 8}}, 8});
    followed.changes.clear();
    followed.follower.onDelta(row.delta);
    cr_assert(followed.changes == row.applied);
    for (int i = 0; i < 5; ++i)
        followed.settle();
    cr_assert_eq(followed.store.watches, 2U);
    cr_assert_eq(followed.store.lastAfter, row.resumesFrom);
}

Test(RegistryFollower, deltasPostponeNextCall)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({std::chrono::milliseconds{40}, {}, std::chrono::milliseconds{40}});
    followed.answerWatch({true, false, {{"p/b", "2", 8}}, 8});
    for (Revision revision = 9; revision < 19; ++revision) {
        followed.follower.onDelta({revision - 1, {{"p/b", "2", revision}}, revision});
        followed.settle();
    }
    cr_assert_eq(followed.store.watches, 1U);
    cr_assert_eq(followed.changes.size(), 11U);
}

Test(RegistryFollower, gapTriggersCallAtOnce)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({std::chrono::seconds{100}, {}, std::chrono::seconds{100}});
    followed.answerWatch({true, false, {{"p/b", "2", 8}}, 8});
    cr_assert_eq(followed.store.watches, 1U);
    followed.follower.onDelta({9, {}, 9});
    followed.settle();
    cr_assert_eq(followed.store.watches, 2U);
}

Test(RegistryFollower, emptyDeltasPostponeNextCall)
{
    Followed followed;
    followed.answerRead(5, {});
    cr_assert_eq(followed.follower.emptyDelta()->revision, 5);
    followed.follower.setPauses({std::chrono::milliseconds{40}, {}, std::chrono::milliseconds{40}});
    followed.answerWatch({true, false, {{"p/b", "2", 8}}, 8});
    for (int i = 0; i < 10; ++i) {
        followed.follower.onDelta({8, {}, 8});
        followed.settle();
    }
    cr_assert_eq(followed.store.watches, 1U);
    for (int i = 0; i < 6; ++i)
        followed.settle();
    cr_assert_eq(followed.store.watches, 2U);
}

Test(RegistryFollower, standbyPausesAfterEmptyAnswer)
{
    Followed followed;
    const Duration pause = std::chrono::seconds{100};
    followed.follower.setPauses({pause, pause, pause});
    followed.answerRead(5, {});
    followed.answerWatch({true, false, {}, 6});
    cr_assert_eq(followed.store.watches, 1U);
}

Test(RegistryFollower, ignoresDeltaBeforeFirstSnapshot)
{
    Followed followed;
    followed.follower.onDelta({0, {{"p/b", "2", 8}}, 8});
    cr_assert(followed.changes.empty());
    followed.answerRead(9, {});
    cr_assert_eq(followed.store.watches, 1U);
}

Test(RegistryFollower, appliesDeltasWhileStoreIsUnreachable)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({std::chrono::seconds{100}, {}, std::chrono::seconds{100}});
    followed.answerWatch({false, false, {}, 0});
    const auto late = followed.store.read;
    followed.follower.onDelta({6, {{"p/c", "2", 8}}, 8});
    cr_assert(followed.changes.empty(), "revision 6 is missing");
    followed.follower.onDelta({5, {{"p/b", "2", 8}}, 8});
    cr_assert_eq(followed.changes.size(), 1U);
    cr_assert(followed.reachability.back());
    late({KeyOutcome::Applied, 7, {}});
    followed.settle();
    cr_assert_eq(followed.snapshots.size(), 1U, "an outdated answer is ignored");
    cr_assert_eq(followed.store.watches, 1U);
}

namespace
{

struct RetryCase {
    bool receivesDelta; ///< A delta arrives from a node at a later revision.
    bool otherViewAnswered; ///< The store has answered this node's call for another view.
    unsigned reads;
};

const RetryCase retries[] = {{false, false, 2}, {true, false, 3}, {false, true, 3}};

} // namespace

// Guards against stale upstreams after an outage: a node that received reports again used departed engines for 4.3 s,
// as it waited for 2.2 s of them before it retried its call to the store.
TABLE_TEST(RegistryFollower, retriesOnceStoreIsReachable, retries)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.setPauses({{}, {}, std::chrono::seconds{100}});
    followed.answerWatch({false, false, {}, 0});
    followed.store.read({KeyOutcome::Unavailable, 0, {}});
    followed.settle();
    cr_assert_eq(followed.store.reads, 2U);
    if (row.receivesDelta)
        followed.follower.onDelta({9, {}, 9});
    if (row.otherViewAnswered)
        followed.follower.retryNow();
    cr_assert_eq(followed.store.reads, row.reads);
    followed.follower.retryNow(); // A call is in flight already, or is made now.
    cr_assert_eq(followed.store.reads, 3U);
}

Test(RegistryFollower, publishesSnapshotAsDelta)
{
    Followed followed;
    followed.answerRead(5, {{"p/kept", "1", 3}, {"p/changed", "1", 4}, {"p/removed", "1", 5}});
    cr_assert(followed.read.empty(), "no other node is known to have the state before a first snapshot");
    followed.answerWatch({true, false, {{"p/added", "1", 7}}, 7});
    followed.follower.setPauses({std::chrono::milliseconds{1}, {}, std::chrono::milliseconds{1}});
    followed.answerWatch({false, true, {}, 0});
    followed.answerRead(20, {{"p/kept", "1", 3}, {"p/changed", "2", 18}, {"p/added", "1", 7}, {"p/late", "1", 21}});
    const auto &delta = followed.read.back();
    cr_assert_eq(delta.after, 7);
    cr_assert_eq(delta.revision, 20);
    cr_assert_eq(delta.changes.size(), 2U);
    cr_assert_eq(delta.changes[0].key, std::string("p/changed"));
    cr_assert_eq(delta.changes[1].key, std::string("p/removed"));
    cr_assert_not(delta.changes[1].value.has_value());
}

Test(RegistryFollower, appliesOverlappingChangesOnce)
{
    Followed followed;
    followed.answerRead(5, {});
    followed.follower.onDelta({5, {{"p/b", "2", 8}}, 8});
    followed.answerWatch({true, false, {{"p/b", "2", 8}, {"p/c", "2", 9}}, 9});
    cr_assert_eq(followed.changes.size(), 2U);
    cr_assert_eq(followed.store.lastAfter, 9);
}

/// Guards against a node that ends at a key that is shorter than the prefix.
Test(RegistryFollower, ignoresKeysWithoutPrefix)
{
    Followed followed;
    followed.answerRead(5, {{"p/a", "1", 3}, {"p", "1", 4}, {"", "1", 5}, {"q/a", "1", 5}});
    cr_assert_eq(followed.snapshots.back(), 1U);
    followed.answerWatch({true, false, {{"", "1", 6}, {"p", {}, 7}, {"p/b", "2", 8}}, 8});
    followed.follower.onDelta({8, {{"", {}, 9}, {"p/c", "3", 9}}, 9});
    cr_assert_eq(followed.changes.size(), 2U);
    cr_assert_eq(followed.changes.front(), std::string("p/b"));
}

namespace
{

struct NewsCase {
    const char *name;
    Revision news; ///< Known to another node.
    bool arrives; ///< The watch reports the change soon after the news.
    unsigned reads; ///< Snapshots within the time in which a change must be known.
};

const NewsCase news[] = {
    {"silent channel", 8, false, 2},
    {"watch in order", 8, true, 1},
    {"known change", 5, false, 1},
    {"nothing known", 0, false, 1},
};

} // namespace

/// Nodes learnt of a change only when a watch whose channel had gone silent timed out, 10.7 s after its start.
TABLE_TEST(RegistryFollower, readsChangeThatSilentWatchWithholds, news)
{
    Followed followed;
    followed.answerRead(5, {{"p/a", "1", 5}});
    followed.follower.setPauses({std::chrono::milliseconds{1}, {}, std::chrono::milliseconds{1}, {}});
    for (int repeated = 0; repeated < 3; ++repeated)
        followed.follower.onNewerChange(row.news);
    if (row.arrives)
        followed.answerWatch({true, false, {{"p/a", "2", 8}}, 8});
    followed.settle(std::chrono::milliseconds{1200});
    cr_assert_eq(followed.store.reads, row.reads, "%s: %u", row.name, followed.store.reads);
    if (row.reads > 1)
        followed.answerRead(9, {{"p/a", "2", 8}});
    cr_assert_eq(followed.follower.newestChange(), row.reads > 1 || row.arrives ? 8 : 5, "%s", row.name);
}

/// Each report of a node that has a revision of another era of the store must not cost a call.
Test(RegistryFollower, seeksNewsOnce)
{
    Followed followed;
    followed.answerRead(5, {{"p/a", "1", 5}});
    followed.follower.onNewerChange(100);
    followed.settle(std::chrono::milliseconds{1000});
    cr_assert_eq(followed.store.reads, 2U);
    followed.answerRead(6, {{"p/a", "1", 5}});
    followed.follower.onNewerChange(100);
    followed.follower.onNewerChange(99);
    followed.settle(std::chrono::milliseconds{1000});
    cr_assert_eq(followed.store.reads, 2U);
}

/// A removal must reach nodes whose watch is silent, too.
Test(RegistryFollower, knowsNewestChange)
{
    Followed followed;
    followed.answerRead(5, {{"p/a", "1", 3}});
    cr_assert_eq(followed.follower.newestChange(), 3);
    followed.answerWatch({true, false, {{"p/a", {}, 8}}, 9});
    cr_assert_eq(followed.follower.newestChange(), 8);
    followed.follower.reconnect();
    followed.answerRead(12, {{"p/b", "1", 11}});
    followed.follower.reconnect();
    followed.answerRead(14, {});
    cr_assert_eq(followed.follower.newestChange(), 14);
    followed.follower.reconnect();
    followed.answerRead(7, {{"p/a", "1", 2}});
    cr_assert_eq(followed.follower.newestChange(), 2);
}

/// Changes at revisions that a store back from an older copy gave out again were skipped.
Test(RegistryFollower, readsAnewAfterTheStoreWasRestored)
{
    Followed followed;
    followed.answerRead(9, {{"p/a", "old", 9}});
    const auto staleWatch = followed.store.watching;
    followed.follower.restart();
    staleWatch({true, false, {{"p/a", "old", 10}}, 10});
    followed.settle();
    cr_assert(followed.changes.empty());
    followed.answerRead(5, {{"p/a", "older", 5}});
    cr_assert(followed.read.empty()); // Other nodes cannot follow from a revision of the earlier era.
    cr_assert_eq(followed.store.lastAfter, 5);
    followed.answerWatch({true, false, {{"p/b", "new", 7}}, 7});
    cr_assert_eq(followed.changes.size(), 1U);
}
