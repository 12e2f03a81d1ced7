#include "scheduling/capacityreserve.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Scheduling;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr Instant now = start + std::chrono::milliseconds{500};
constexpr unsigned urgent = 1;
constexpr unsigned other = 4;

struct ShareCase {
    const char *name;
    unsigned urgentStarts; ///< Lately, at this node.
    unsigned otherStarts;
    unsigned urgentDelayed; ///< Of the urgent starts.
    unsigned waitingAtPeers; ///< Urgent calls at each of the other nodes.
    int reportAge; ///< Of what those reported, in ms.
    unsigned nodes;
    double utilisation;
    double least; ///< Bounds on the share of the others.
    double most;
};

/// A share of less than 1 costs other calls; the bounds follow from the part of the demand that is urgent.
const ShareCase shares[] = {
    {"one urgency", 0, 20, 0, 0, 0, 1, 1, 1, 1},
    {"enough capacity", 10, 10, 0, 0, 0, 3, 0.7, 1, 1},
    {"no free slots, a tenth is urgent", 2, 18, 0, 0, 0, 3, 1, 0.8, 0.9},
    {"no free slots, half is urgent", 10, 10, 0, 0, 0, 3, 1, 0.35, 0.5},
    {"no free slots, nearly all is urgent", 19, 1, 0, 0, 0, 3, 1, 0.35, 0.35},
    {"urgent calls are delayed by the prompt pace", 6, 14, 6, 0, 0, 3, 0.3, 0.4, 0.7},
    {"one urgent call was delayed", 6, 14, 1, 0, 0, 3, 0.3, 0.6, 0.95},
    {"urgent calls wait at the other nodes", 0, 8, 0, 4, 100, 3, 0.3, 0.5, 0.8},
    {"urgent calls wait at many other nodes", 0, 8, 0, 4, 100, 301, 0.3, 0.5, 0.8},
    {"urgent calls waited at the other nodes", 0, 8, 0, 4, 1100, 3, 0.3, 1, 1},
};

} // namespace

/// Guards against urgent calls that find no room while less urgent ones use all of it, and against a reserve that
/// nothing requires.
TABLE_TEST(CapacityReserve, leavesPartToMoreUrgentCalls, shares)
{
    CapacityReserve reserve;
    for (unsigned node = 1; node < row.nodes; ++node)
        reserve.onPeerWaiting("n" + std::to_string(node), 1, 1, {{"s", urgent, row.waitingAtPeers}},
                              now - std::chrono::milliseconds{row.reportAge});
    reserve.setWaiting({}, now);
    const auto start = [&](unsigned urgency, unsigned calls) {
        for (unsigned i = 0; i < calls; ++i) {
            reserve.onArrived("s", urgency, 100, now);
            reserve.onStarted("s", urgency, 100, now);
        }
    };
    start(urgent, row.urgentStarts);
    start(other, row.otherStarts);
    for (unsigned i = 0; i < row.urgentDelayed; ++i)
        reserve.onWaited("s", urgent, CapacityReserve::minDelay, now);
    const auto shareOf = [&](unsigned urgency) {
        return reserve.share("s", urgency, 100, row.nodes, now, [&] { return row.utilisation; });
    };
    cr_assert_eq(shareOf(urgent), 1, "%s", row.name);
    cr_assert(shareOf(other) >= row.least && shareOf(other) <= row.most, "%s: %f", row.name, shareOf(other));
}

/// Guards against large calls that find no room beside small ones of their class.
Test(CapacityReserve, yieldsLessForLargeCalls)
{
    CapacityReserve reserve;
    for (const auto urgency : {urgent, other}) {
        reserve.onArrived("s", urgency, 100, now);
        reserve.onStarted("s", urgency, 100, now);
    }
    const auto shareOf = [&](double tokens) { return reserve.share("s", other, tokens, 1, now, [] { return 1.0; }); };
    cr_assert_eq(shareOf(50), shareOf(100));
    cr_assert_float_eq(1 - shareOf(200), (1 - shareOf(100)) / 2, 1e-9);
    cr_assert_float_eq(reserve.usualPrompt("s", other, now), 100, 1e-9);
}

/// Guards against a class that is served so rarely that it must not yield any more.
Test(CapacityReserve, endsForStarvingClass)
{
    CapacityReserve reserve;
    for (unsigned i = 0; i < 20; ++i) {
        reserve.onArrived("s", urgent, 100, now);
        reserve.onStarted("s", urgent, 100, now);
        reserve.onArrived("s", other, 100, now);
    }
    reserve.onStarted("s", other, 100, now);
    cr_assert_eq(reserve.share("s", other, 100, 1, now, [] { return 1.0; }), 1);
    cr_assert_not(reserve.yields("s", other, 1, now));
    for (unsigned i = 0; i < 12; ++i)
        reserve.onStarted("s", other, 100, now);
    cr_assert_lt(reserve.share("s", other, 100, 1, now, [] { return 1.0; }), 1);
}

/// Guards against a report that arrives late replacing a later one.
Test(CapacityReserve, keepsNewestReportOfPeer)
{
    CapacityReserve reserve;
    const auto shareOf = [&] { return reserve.share("s", other, 100, 2, now, [] { return 0.5; }); };
    reserve.onPeerWaiting("n1", 1, 7, {}, now);
    reserve.onPeerWaiting("n1", 1, 6, {{"s", urgent, 9}}, now);
    cr_assert_eq(shareOf(), 1);
    reserve.onPeerWaiting("n1", 2, 1, {{"s", urgent, 9}}, now);
    cr_assert_lt(shareOf(), 1, "of the next process");
}

struct TurnCase {
    const char *name;
    unsigned urgency;
    unsigned starts; ///< Of each class lately.
    unsigned ahead;
    int leastMs;
    int mostMs;
};

const TurnCase turns[] = {
    {"the most urgent class", urgent, 20, 100, 0, 0},
    {"little evidence", other, 3, 100, 0, 0},
    {"nobody ahead", other, 20, 0, 0, 0},
    {"many ahead", other, 20, 100, 3000, 7300}, // At 13.9 calls a second, which may double.
};

/// Guards against a refusal without solid evidence that the call's turn comes too late.
TABLE_TEST(CapacityReserve, forecastsTurnOnEvidenceOnly, turns)
{
    CapacityReserve reserve;
    for (unsigned i = 0; i < row.starts; ++i) {
        for (const auto urgency : {urgent, other}) {
            reserve.onArrived("s", urgency, 100, now);
            reserve.onStarted("s", urgency, 100, now);
        }
    }
    const auto ms = reserve.earliestTurn("s", row.urgency, row.ahead, 1, now).count() / 1000;
    cr_assert(ms >= row.leastMs && ms <= row.mostMs, "%s: %ld ms", row.name, static_cast<long>(ms));
}
