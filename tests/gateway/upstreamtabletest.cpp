#include "gateway/upstreamtable.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};

Instant after(int milliseconds)
{
    return start + std::chrono::milliseconds{milliseconds};
}

UpstreamRecord record(const char *instance, std::int64_t startedAt = 1)
{
    UpstreamRecord record;
    record.instance = instance;
    record.service = "s";
    record.endpoint = {"10.0.0.1", 80, false};
    record.startedAt = startedAt;
    record.targets = {{"m", 1}, {"m/a", 1}};
    return record;
}

UpstreamTable tableWith(const char *instance)
{
    UpstreamTable table;
    table.onRegistryBack(start - std::chrono::seconds{60});
    table.onRecord(record(instance), start);
    return table;
}

} // namespace

Test(UpstreamTable, removedRecord)
{
    auto table = tableWith("a");
    table.onRemoved("a", after(100));
    cr_assert_not(table.find("a"));
}

Test(UpstreamTable, recordLapsedInOutage)
{
    auto table = tableWith("a");
    table.onRegistryLost(after(100));
    table.onRegistryBack(after(5000));
    table.onSnapshot({}, after(5000));
    table.sweep(after(6500));
    cr_assert(table.find("a"));
    table.onRecord(record("a"), after(6900));
    table.sweep(after(9000));
    cr_assert(table.find("a"));
}

Test(UpstreamTable, recordMissingAfterOutage)
{
    auto table = tableWith("a");
    table.onRegistryLost(after(100));
    table.onRegistryBack(after(5000));
    table.onSnapshot({}, after(5000));
    table.sweep(after(7600));
    cr_assert_not(table.find("a"));
}

Test(UpstreamTable, newProcessResetsState)
{
    auto table = tableWith("a");
    table.find("a")->ownInFlight = 3;
    auto restarted = record("a", 2);
    restarted.targets.clear();
    cr_assert(table.onRecord(restarted, after(100)));
    cr_assert_eq(table.find("a")->ownInFlight, 0U);
    cr_assert_not(table.find("a")->residency.find("m/a"));
}

Test(UpstreamTable, sumsLoadOfAllNodes)
{
    auto table = tableWith("a");
    table.find("a")->ownInFlight = 2;
    table.onPeerLoads({"n1", 1, 1}, {{"a", 3}});
    table.onPeerLoads({"n2", 1, 1}, {{"a", 1}});
    cr_assert_eq(table.find("a")->inFlight(), 6U);
    table.onPeerLoads({"n1", 1, 2}, {});
    cr_assert_eq(table.find("a")->inFlight(), 3U);
    table.forgetPeer("n2");
    cr_assert_eq(table.find("a")->inFlight(), 2U);
}

Test(UpstreamTable, newProcessResetsPeerLoad)
{
    auto table = tableWith("a");
    table.onPeerLoads({"n1", 1, 1}, {{"a", 5}});
    table.onPeerLoads({"n2", 1, 1}, {{"a", 4}});
    table.onRecord(record("a", 2), after(100));
    cr_assert_eq(table.find("a")->inFlight(), 0U);
    table.onPeerLoads({"n1", 1, 2}, {{"a", 1}});
    table.onPeerLoads({"n2", 1, 2}, {{"a", 2}});
    cr_assert_eq(table.find("a")->inFlight(), 3U);
}

namespace
{

/// A report of node `n`: a snapshot of all upstreams, or a change at `a`.
struct LoadReport {
    std::int64_t startedAt;
    std::uint64_t sequence;
    bool isSnapshot;
    unsigned inFlight; ///< In-flight requests at `a`; a snapshot with 0 does not list it.
};

struct OutOfOrderCase {
    std::vector<LoadReport> reports; ///< In order of arrival.
    unsigned inFlight; ///< Expected in-flight requests at `a`.
};

const OutOfOrderCase outOfOrder[] = {
    {{{1, 1, false, 3}, {1, 2, false, 4}}, 4},
    {{{1, 2, false, 4}, {1, 1, false, 3}}, 4},
    {{{1, 3, false, 4}, {1, 2, true, 1}}, 4}, // The change was sent after the snapshot.
    {{{1, 2, true, 1}, {1, 1, false, 4}}, 1},
    {{{1, 2, false, 4}, {1, 3, true, 0}}, 0},
    {{{1, 2, false, 4}, {1, 3, true, 0}, {1, 2, false, 4}}, 0},
    {{{1, 5, true, 4}, {1, 4, true, 9}}, 4},
    {{{1, 90, false, 4}, {2, 1, false, 1}}, 1}, // The node was restarted.
    {{{2, 1, false, 1}, {1, 90, false, 4}}, 1},
    {{{2, 1, true, 1}, {1, 90, true, 4}}, 1},
};

} // namespace

TABLE_TEST(UpstreamTable, outOfOrderReports, outOfOrder)
{
    auto table = tableWith("a");
    for (const auto &each : row.reports) {
        const ReportStamp stamp{"n", each.startedAt, each.sequence};
        if (!each.isSnapshot)
            table.onPeerLoad(stamp, "a", each.inFlight);
        else if (each.inFlight == 0)
            table.onPeerLoads(stamp, {});
        else
            table.onPeerLoads(stamp, {{"a", each.inFlight}});
    }
    cr_assert_eq(table.find("a")->inFlight(), row.inFlight);
}
