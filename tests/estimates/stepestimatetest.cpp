#include "estimates/stepestimate.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};

struct Source {
    int own; ///< Number of own samples of 10 ms.
    int reported; ///< Number of other nodes' reports of 40 ms.
    double value; ///< Expected estimate, in ms.
};

const Source sources[] = {{0, 0, 0}, {1, 0, 10}, {0, 1, 40}, {3, 10, 40}, {8, 10, 10}, {100, 100, 10}};

} // namespace

TABLE_TEST(StepEstimate, prefersReportsToFewOwnSamples, sources)
{
    StepEstimate step;
    for (int i = 0; i < row.own; ++i)
        step.add(10, start);
    for (int i = 0; i < row.reported; ++i)
        step.onPeerReport(40, start);
    cr_assert_eq(step.value(), row.value);
    cr_assert_eq(step.learnt(), row.own > 0 ? 10 : 0);
}

/// Nodes report only what they have learnt from their own streams. Otherwise nodes would confirm each other's outdated
/// estimates.
Test(StepEstimate, fleetFollowsChangeWithinSeconds)
{
    constexpr int nodes = 195;
    std::vector<StepEstimate> estimates(nodes);
    auto now = start;
    for (const double ms : {10.0, 40.0, 10.0}) {
        for (int round = 0; round < 5; ++round) {
            now += std::chrono::seconds{1};
            for (int node = 0; node < nodes; ++node)
                estimates[static_cast<std::size_t>(node)].add(ms, now);
            for (int node = 0; node < nodes; ++node) {
                for (int other = 0; other < nodes; ++other) {
                    if (other != node)
                        estimates[static_cast<std::size_t>(node)].onPeerReport(
                            estimates[static_cast<std::size_t>(other)].learnt(), now);
                }
            }
        }
        for (const auto &estimate : estimates)
            cr_assert_float_eq(estimate.value(), ms, 0.15 * ms);
    }
}
