#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct StopCase {
    const char *name;
    FleetSize size;
    std::vector<std::size_t> nodes; ///< That stop, each a second after the one before.
    bool useOpenConnections; ///< Callers keep to a node until it has ended.
};

const StopCase stops[] = {
    {"one of several", {4, 2, 2}, {1}, false},
    {"all in turn", {3, 2, 2}, {0, 1, 2}, false},
    {"all in turn, and callers learn of no other nodes", {2, 2, 2}, {0, 1}, true},
};

constexpr Load load{10, 10, 12};
constexpr Duration eventPause = milliseconds{300}; ///< Six events: a stream takes longer than a third of the grace.
constexpr Duration warmUp = seconds{8}; ///< Covers the loads of all adapters, and the estimate of the streams' time.

const FleetSize longStreamSize{2, 8, 1, seconds{8}};
constexpr Load fewStreams{0, 0, 20};
constexpr Load manyStreams{0, 0, 600};
constexpr Duration lateTime = milliseconds{120};

struct LateStop {
    const char *name;
    Duration halt; ///< Of the node's process, from just before SIGTERM.
    Duration streamsAt; ///< When many streams come, from SIGTERM; from 3 s on none may be cut.
};

const LateStop lateStops[] = {
    {"at once", Duration{}, milliseconds{2950}},
    {"short of processor", milliseconds{100}, milliseconds{2950}},
    {"halted", milliseconds{600}, milliseconds{3400}},
};

constexpr double longRatio = 0.5; ///< Of the late streams, which last longer than the rest of the grace.

} // namespace

/// Guards against streams that come when a stopping node has just ceased to take requests, and that its exit cuts.
TABLE_TEST(PlannedStop, takesNoLateStreamsThatItsExitMayCut, lateStops)
{
    Fleet fleet(longStreamSize, 1);
    fleet.waitUntilReady();
    fleet.setLoad(fewStreams);
    fleet.run(warmUp);
    if (row.halt > Duration{})
        fleet.halt(0, row.halt);
    fleet.stop(0, row.streamsAt + lateTime);
    fleet.run(row.streamsAt);
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.longRatio = longRatio;
    fleet.setLoad(manyStreams);
    fleet.run(lateTime);
    fleet.setLoad({});
    fleet.run(seconds{9});
    const auto problems = fleet.finish();
    if (!problems.empty())
        fleet.keepFiles();
    for (const auto &problem : problems)
        cr_expect_fail("%s: %s", row.name, problem.c_str());
    cr_expect_gt(fleet.tally(CallerRequest::Stream).served, 0U, "%s", row.name);
    cr_expect_lt(fleet.longestStop(), longStreamSize.stopGrace, "%s: %ld ms", row.name,
                 static_cast<long>(fleet.longestStop().count() / 1000));
}

/// Guards against requests that a stopping node takes and cuts at its exit.
TABLE_TEST(PlannedStop, cutsNoRequests, stops)
{
    Fleet fleet(row.size, 1);
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.answerTime = eventPause;
    fleet.waitUntilReady();
    fleet.setLoad(load);
    fleet.run(warmUp);
    fleet.clearTallies();
    Duration at{};
    for (const auto node : row.nodes) {
        fleet.after(at,
                    [&fleet, node, &row] { row.useOpenConnections ? fleet.stopWithCallers(node) : fleet.stop(node); });
        at += seconds{1};
    }
    fleet.run(at + seconds{6});
    fleet.setLoad({});
    fleet.run(seconds{4});
    for (const auto kind : {CallerRequest::Read, CallerRequest::Book, CallerRequest::Stream}) {
        const auto &tally = fleet.tally(kind);
        cr_expect_gt(tally.served, 0U, "%s, kind %d", row.name, static_cast<int>(kind));
        cr_expect_eq(tally.failed, 0U, "%s, kind %d: %u failed", row.name, static_cast<int>(kind), tally.failed);
    }
    for (const auto &problem : fleet.finish())
        cr_expect_fail("%s: %s", row.name, problem.c_str());
}
