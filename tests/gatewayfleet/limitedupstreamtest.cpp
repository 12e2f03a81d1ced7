#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct LimitCase {
    const char *name;
    FleetSize size;
    Load load;
    void (*disturb)(Fleet &); ///< Schedules the case's events, from the start of traffic.
    Duration time; ///< Length of the run.
};

constexpr Load ordinary{20, 4, 8};
constexpr double engineLimit = 2; ///< About half of what an engine gets of the ordinary load.
constexpr double workerLimit = 5; ///< The same for a worker of the plain service.
constexpr Duration warmUp = seconds{3};

void limitOneOfEach(Fleet &fleet)
{
    fleet.after(warmUp, [&fleet] {
        fleet.engine(0).setLimit(engineLimit);
        fleet.worker(0).setLimit(workerLimit);
    });
}

/// Changes the limit of one engine and one worker to each of @p factors times the usual one, every 4 s.
void changeLimits(Fleet &fleet, const std::vector<double> &factors)
{
    auto at = warmUp;
    for (const double factor : factors) {
        fleet.after(at, [&fleet, factor] {
            fleet.engine(0).setLimit(factor * engineLimit);
            fleet.worker(0).setLimit(factor * workerLimit);
        });
        at += seconds{4};
    }
}

const LimitCase cases[] = {
    {"stated", {6, 2, 2}, ordinary, limitOneOfEach, seconds{13}},
    {"raised and lowered",
     {6, 2, 2},
     ordinary,
     [](Fleet &fleet) {
         changeLimits(fleet, {1, 1.5, 0.75, 1});
     },
     seconds{19}},
    {"ended and stated again",
     {6, 2, 2},
     ordinary,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.after(seconds{8}, [&fleet] {
             fleet.engine(0).setLimit(std::nullopt);
             fleet.worker(0).setLimit(std::nullopt);
         });
         fleet.after(seconds{11}, [&fleet] {
             fleet.engine(0).setLimit(engineLimit);
             fleet.worker(0).setLimit(workerLimit);
         });
     },
     seconds{18}},
    {"stated by all of a service",
     {6, 2, 2},
     ordinary,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.after(warmUp, [&fleet] {
             fleet.engine(1).setLimit(engineLimit);
             fleet.worker(1).setLimit(workerLimit);
         });
     },
     seconds{13}},
    {"of upstreams that fail requests and break streams",
     {6, 2, 2},
     ordinary,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         for (const auto number : {0, 1}) {
             fleet.engine(number).behaviour.breakRatio = 0.3;
             fleet.worker(number).behaviour.failureRatio = 0.3;
         }
     },
     seconds{13}},
    {"while nodes freeze, are killed and stopped",
     {6, 2, 2},
     ordinary,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.after(seconds{5}, [&fleet] { fleet.freeze(1, seconds{2}); });
         fleet.after(seconds{6}, [&fleet] { fleet.restart(2, milliseconds{500}); });
         fleet.after(seconds{7}, [&fleet] { fleet.stop(3); });
         fleet.after(seconds{8}, [&fleet] { fleet.reload(4); });
     },
     seconds{15}},
    {"before a fleet that reports through relays", {20, 2, 2}, ordinary, limitOneOfEach, seconds{13}},
};

} // namespace

/// An upstream states how many requests a second it accepts from all nodes together, and nodes send more.
TABLE_TEST(LimitedUpstream, nodesTogetherKeepTheRequestLimit, cases)
{
    Fleet fleet(row.size, 1);
    fleet.waitUntilReady();
    fleet.setLoad(row.load);
    row.disturb(fleet);
    fleet.run(row.time);
    fleet.setLoad({});
    const auto problems = fleet.finish();
    cr_assert(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(), problems.front().c_str());
}
