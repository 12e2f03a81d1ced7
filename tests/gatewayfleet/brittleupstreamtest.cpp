#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct BrittleCase {
    const char *name;
    FleetSize size;
    unsigned refusalsBorne;
    double loadFactor; ///< Load of the plain service over what its upstreams can serve.
};

const BrittleCase cases[] = {
    {"half of what they bear", {6, 2, 3}, 3, 0.5},
    {"nearly full", {6, 2, 3}, 3, 0.9},
    {"twice what they bear", {6, 2, 3}, 3, 2},
    {"twice what they bear, many nodes", {16, 2, 3}, 2, 2},
};

constexpr Duration answerTime = milliseconds{200};
constexpr Duration warmUp = seconds{6};
constexpr Duration statedBefore = seconds{3}; ///< From the first statement until fewer requests may wait.
constexpr Duration judged = seconds{10};
constexpr unsigned toleratedFalls = 2; ///< Beyond a tenth of the number of upstreams.

double capacityOf(const BrittleCase &row)
{
    return row.size.workers * slots / std::chrono::duration<double>(answerTime).count();
}

} // namespace

/// Guards against brittle upstreams that fall over, one after the other, because nodes send them more than they bear.
TABLE_TEST(BrittleUpstreams, doNotFallOver, cases)
{
    Fleet fleet(row.size, 3);
    fleet.waitUntilReady();
    fleet.setLoad({row.loadFactor * capacityOf(row), 0, 0, 0, 0});
    for (std::size_t number = 0; number < fleet.workers(); ++number)
        fleet.worker(number).behaviour.answerTime = answerTime;
    fleet.run(warmUp);
    for (std::size_t number = 0; number < fleet.workers(); ++number)
        fleet.worker(number).behaviour.refusalsBorne = row.refusalsBorne;
    fleet.run(statedBefore);
    for (std::size_t number = 0; number < fleet.workers(); ++number)
        fleet.worker(number).behaviour.waitingRoom = 2;
    fleet.clearTallies();
    fleet.run(judged);
    const auto tally = fleet.tally(CallerRequest::Read);
    unsigned falls = 0;
    for (std::size_t number = 0; number < fleet.workers(); ++number)
        falls += fleet.worker(number).falls();
    const auto problems = fleet.finish();
    cr_assert(falls <= toleratedFalls + fleet.workers() / 10, "%s: %u falls; %u of %u served, %u refused", row.name,
              falls, tally.served, tally.sent, tally.refused);
    cr_assert(problems.empty(), "%s: %zu problems, first: %s", row.name, problems.size(), problems.front().c_str());
}
