#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::seconds;

namespace
{

struct PartitionCase {
    const char *name;
    FleetSize size;
    std::size_t partitioned; ///< Number of nodes, the first ones.
    PathState state;
};

const PartitionCase cases[] = {
    {"one of three, connections hang", {3, 3, 2}, 1, PathState::Silent},
    {"three of six, connections hang", {6, 3, 2}, 3, PathState::Silent},
    {"three of six, connections are reset", {6, 3, 2}, 3, PathState::Reset},
    {"three of six, open connections live", {6, 3, 2}, 3, PathState::ClosedToNew},
    {"five of six, connections are reset", {6, 3, 2}, 5, PathState::Reset},
};

constexpr Load load{12, 6, 8, 0, 0};
constexpr Duration warmUp = seconds{8}; ///< Covers the first acquisition of the order leases and loads of all adapters.
constexpr Duration detectionTime = seconds{3}; ///< From a cut until the users' rule binds.
constexpr Duration judged = seconds{8};
constexpr Duration healed = seconds{3};
constexpr double servedOfOthers = 2.0 / 3;
constexpr unsigned toleratedFailures = 10; ///< Beyond one in 50 of the attempts.

double ratioOf(const Tally &tally)
{
    return tally.sent == 0 ? 1 : static_cast<double>(tally.served) / tally.sent;
}

Tally sumOf(Fleet &fleet, std::size_t first, std::size_t last)
{
    Tally sum;
    for (std::size_t node = first; node < last; ++node) {
        sum.sent += fleet.tallyOf(node).sent;
        sum.served += fleet.tallyOf(node).served;
    }
    return sum;
}

} // namespace

/// Guards against first attempts that fail at nodes which are partitioned from all upstreams.
TABLE_TEST(PartitionedNodes, serveThroughOthers, cases)
{
    Fleet fleet(row.size, 7);
    fleet.waitUntilReady();
    fleet.setLoad(load);
    fleet.run(warmUp);
    for (std::size_t node = 0; node < row.partitioned; ++node)
        fleet.partition(node, row.state, detectionTime + judged);
    fleet.run(detectionTime);
    fleet.clearTallies();
    fleet.run(judged - seconds{1}); // Leaves the last requests time for their answers.
    const auto cut = sumOf(fleet, 0, row.partitioned);
    const auto others = sumOf(fleet, row.partitioned, fleet.nodes());
    fleet.run(seconds{1} + healed);
    const auto problems = fleet.finish();
    const auto unserved = cut.sent - cut.served;
    const bool isServed
        = ratioOf(cut) >= servedOfOthers * ratioOf(others) || unserved <= toleratedFailures + cut.sent / 50;
    if (!isServed || !problems.empty())
        fleet.keepFiles();
    cr_assert(isServed, "%s: %u of %u served at partitioned nodes, %u of %u at others", row.name, cut.served, cut.sent,
              others.served, others.sent);
    cr_assert(problems.empty(), "%s: %zu problems, first: %s", row.name, problems.size(), problems.front().c_str());
}
