#include "load/experiment.h"

#include "support/table.h"

#include <algorithm>
#include <cmath>

using namespace Gypsumtally;
using namespace Gypsumtally::Load;

namespace
{

const char *const deployments[] = {"pirisidu", "servicio"};

double urgentStall(PolicyKind policy, const char *deployment)
{
    auto scenario = *scenarioNamed("ordinary");
    scenario.loadFactor = 0.5;
    return quantile(run({*deploymentNamed(deployment), scenario, policy, 1, {}}).classes[0].stalls, 0.99);
}

} // namespace

// Applies the stall goal of the ordinary load to half that load, where even the baselines rarely wait long for the
// weight store.
TABLE_TEST(Experiment, stallsAreAThirdOfBaselinesAtHalfLoad, deployments)
{
    double best = HUGE_VAL;
    for (const auto policy : {PolicyKind::RandomWorker, PolicyKind::LeastLoaded, PolicyKind::AdapterAffinity})
        best = std::min(best, urgentStall(policy, row));
    const double own = urgentStall(PolicyKind::Gypsumtally, row);
    cr_assert(own <= best / 3, "p99 stall %f s, best baseline %f s", own, best);
}
