#include "gateway/retryallowance.h"

#include "support/table.h"

#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr RetryBound bound{0.2, 24, std::chrono::seconds{10}, 12};

/// Returns the number of @p times within the window that ends at @p now.
std::size_t within(const std::vector<Instant> &times, Instant now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [&](Instant time) { return time > now - bound.window && time <= now; }));
}

struct FleetCase {
    std::size_t nodes;
    unsigned shares; ///< Number of nodes among which the slack is divided.
};

const FleetCase fleets[] = {{9, 12}, {69, 90}, {300, 391}};

} // namespace

Test(RetryAllowance, takesAgainWhatWasGivenBack)
{
    RetryAllowance allowance(bound);
    const Instant now{std::chrono::seconds{100}};
    allowance.giveBack("s");
    cr_assert(allowance.tryTake("s", now));
    cr_assert(!allowance.tryTake("s", now));
    allowance.giveBack("s");
    cr_assert(allowance.tryTake("s", now));
    cr_assert(!allowance.tryTake("s", now));
}

Test(RetryAllowance, isolatedNodeKeepsToItsShare)
{
    RetryAllowance allowance(bound);
    const Instant now{std::chrono::seconds{100}};
    int taken = 0;
    while (allowance.tryTake("s", now))
        ++taken;
    cr_assert_eq(taken, 1, "24 shared by 12 nodes, less the reserve: %d", taken);
}

Test(RetryAllowance, separateAccountsPerService)
{
    RetryAllowance allowance(bound);
    const Instant now{std::chrono::seconds{100}};
    for (int i = 0; i < 100; ++i)
        allowance.onRequest("busy", now);
    cr_assert(allowance.left("busy", now) > 15);
    cr_assert(allowance.left("idle", now) < 2);
}

// The fleet's bound holds in every window although nodes don't communicate.
TABLE_TEST(RetryAllowance, fleetStaysWithinBound, fleets)
{
    std::mt19937 random(7);
    std::vector<RetryAllowance> nodes(row.nodes, RetryAllowance(bound));
    for (auto &node : nodes)
        node.setNodes(row.shares);
    std::vector<Instant> requests;
    std::vector<Instant> extraSends;
    Instant now{std::chrono::seconds{100}};
    for (int step = 0; step < 20000; ++step) {
        now += std::chrono::milliseconds{random() % 10};
        auto &node = nodes[random() % nodes.size()];
        // Requests come in bursts, and every step attempts a retry.
        if (step % 4000 < 2000) {
            node.onRequest("s", now);
            requests.push_back(now);
        }
        if (node.tryTake("s", now))
            extraSends.push_back(now);
        const double allowed = bound.ratio * static_cast<double>(within(requests, now)) + bound.slack;
        cr_assert(static_cast<double>(within(extraSends, now)) <= allowed);
    }
    cr_assert(extraSends.size() > 500);
}
