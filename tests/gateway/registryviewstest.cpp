#include "gateway/registryviews.h"

#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <utility>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

/// A store that answers snapshots at once, leaves watches pending unless answersWatches is set, and counts both.
struct CountingStore {
    void transact(const KeyTransaction &, StoreLease, const std::function<void(KeyReply)> &)
    {
    }

    void readPrefix(const std::string &, const std::function<void(KeyReply)> &onReply)
    {
        ++reads;
        onReply({isCutOff ? KeyOutcome::Unavailable : KeyOutcome::Applied, 10, {}});
    }

    void watch(const std::string &prefix, Revision after, Duration wait,
               const std::function<void(WatchResult)> &onResult)
    {
        ++watches;
        waits[prefix] = wait;
        if (answersWatches)
            onResult({true, false, {{prefix + "k", "v", after + 1}}, after + 1});
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
    std::map<std::string, Duration> waits; ///< Of the last watch of each view.
    bool answersWatches = false;
    bool isCutOff = false;
};

struct Viewer {
    Viewer()
        : views(loop, store, std::chrono::milliseconds{2500}, {"op/", observer()}, {"up/", observer()},
                {"own/", observer()}, 1,
                [this](const RegistryUpdate &, bool isOverdue) { overdue += isOverdue ? 1 : 0; })
    {
    }

    RegistryViews<CountingStore>::Observer observer()
    {
        return {[](const std::vector<KeyValue> &) {}, [this](const KeyChange &) { ++changes; }, {}, {}};
    }

    /// Starts in @p role and runs the loop for @p time. Meanwhile a delta with a change of each view arrives every
    /// @p deltaPause, unless that is zero.
    void start(ReadRole role, Duration time, Duration deltaPause)
    {
        views.setRole(role, std::chrono::milliseconds{2500});
        views.start();
        if (deltaPause > Duration{})
            sendDeltas(deltaPause, 10);
        loop.runAfter(time, [this] { loop.stop(); });
        loop.run();
    }

    void sendDeltas(Duration pause, Revision revision)
    {
        loop.runAfter(pause, [this, pause, revision] {
            for (const auto &[view, key] :
                 {std::pair{RegistryView::OperatorDocuments, "op/k"}, std::pair{RegistryView::UpstreamRecords, "up/k"},
                  std::pair{RegistryView::OwnRecords, "own/k"}})
                views.onDelta({view, {revision, {{key, "v", revision + 1}}, revision + 1}}, BootClock{}.now());
            sendDeltas(pause, revision + 1);
        });
    }

    Http::EventLoop loop;
    CountingStore store;
    RegistryViews<CountingStore> views;
    unsigned changes = 0;
    unsigned overdue = 0; ///< Updates that this node publishes because the reader's are overdue.
};

struct RoleCase {
    ReadRole role;
    int deltaPauseMs;
    unsigned watches; ///< Within 300 ms.
};

const RoleCase roles[] = {
    {ReadRole::Reader, 0, 3},   {ReadRole::Reader, 50, 3}, {ReadRole::Joining, 0, 0},
    {ReadRole::Joining, 50, 0}, {ReadRole::Standby, 0, 0}, {ReadRole::Standby, 50, 0},
};

} // namespace

TABLE_TEST(RegistryViews, onlyReaderWatchesAtOnce, roles)
{
    Viewer viewer;
    viewer.start(row.role, std::chrono::milliseconds{300}, std::chrono::milliseconds{row.deltaPauseMs});
    cr_assert_eq(viewer.store.reads, 3U);
    cr_assert_eq(viewer.store.watches, row.watches);
    if (row.deltaPauseMs > 0 && row.role != ReadRole::Reader)
        cr_assert_geq(viewer.changes, 9U, "%u", viewer.changes);
}

/// Guards against a desired state or a version that a silent channel withholds for longer than the rules allow.
Test(RegistryViews, watchesOperatorDocumentsForLessThanTheRulesAllow)
{
    Viewer viewer;
    viewer.start(ReadRole::Reader, std::chrono::milliseconds{300}, {});
    constexpr auto untilRulesBind = std::chrono::milliseconds{3000};
    constexpr auto answerTime = std::chrono::milliseconds{700};
    cr_assert_leq(viewer.store.waits.at("op/"), untilRulesBind - answerTime);
}

/// Nodes of a fleet that start together must discover each other before one of them acquires all order leases.
Test(RegistryViews, joiningNodeWatchesMembership)
{
    Viewer viewer;
    viewer.start(ReadRole::Joining, std::chrono::milliseconds{600}, {});
    cr_assert_eq(viewer.store.watches, 1U);
}

namespace
{

const ReadRole others[] = {ReadRole::Joining, ReadRole::Standby};

} // namespace

/// A node that receives no deltas must call the store itself, before it misses a drain.
TABLE_TEST(RegistryViews, callsStoreWithoutDeltas, others)
{
    Viewer viewer;
    viewer.start(row, std::chrono::milliseconds{1400}, {});
    cr_assert_eq(viewer.store.watches, 3U);
}

/// The first standby whose deltas are overdue reads for all until the next reader is determined.
Test(RegistryViews, standbyPublishesForSilentReader)
{
    Viewer viewer;
    viewer.store.answersWatches = true;
    viewer.start(ReadRole::Standby, std::chrono::milliseconds{1400}, {});
    cr_assert_geq(viewer.overdue, 3U);
}

/// A node calls the store at once to fill a gap, but does not publish the result, as others may have no gap.
Test(RegistryViews, gapFillIsNotPublished)
{
    Viewer viewer;
    viewer.store.answersWatches = true;
    viewer.views.setRole(ReadRole::Standby, std::chrono::milliseconds{2500});
    viewer.views.start();
    viewer.loop.runAfter(std::chrono::milliseconds{20}, [&] {
        viewer.views.onDelta({RegistryView::OperatorDocuments, {15, {}, 16}}, BootClock{}.now());
    });
    viewer.loop.runAfter(std::chrono::milliseconds{200}, [&] { viewer.loop.stop(); });
    viewer.loop.run();
    cr_assert_eq(viewer.store.watches, 1U);
    cr_assert_eq(viewer.overdue, 0U);
}

Test(RegistryViews, readsAllViewsAfterReconnect)
{
    Viewer viewer;
    viewer.store.isCutOff = true;
    viewer.start(ReadRole::Standby, std::chrono::milliseconds{50}, {});
    cr_assert_eq(viewer.store.reads, 3U);
    viewer.store.isCutOff = false;
    viewer.views.onDelta({RegistryView::OwnRecords, {10, {}, 10}}, BootClock{}.now());
    cr_assert_eq(viewer.store.reads, 6U);
}

/// What the first snapshot contains may be old; later changes are dated by answers of other views and by other nodes.
Test(RegistryViews, datesChangesByRevision)
{
    Viewer viewer;
    const auto started = BootClock{}.now();
    viewer.start(ReadRole::Standby, std::chrono::milliseconds{50}, {});
    cr_assert(viewer.views.earliestTimeOf(10) == Instant::min());
    const auto later = viewer.views.earliestTimeOf(11);
    cr_assert(later >= started && later <= BootClock{}.now() - std::chrono::milliseconds{40});
    const auto arrivedAt = BootClock{}.now();
    viewer.views.onDelta({RegistryView::UpstreamRecords, {10, {}, 14, std::chrono::milliseconds{5}}}, arrivedAt);
    viewer.views.onDelta({RegistryView::OwnRecords, {10, {}, 10, {}}}, arrivedAt);
    cr_assert(viewer.views.earliestTimeOf(14) == later);
    cr_assert(viewer.views.earliestTimeOf(15) == arrivedAt - std::chrono::milliseconds{5});
}
