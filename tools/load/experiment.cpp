#include "load/experiment.h"

#include "load/baselinepolicy.h"

namespace Gypsumtally::Load
{

namespace
{

BaselineKind baselineOf(PolicyKind policy)
{
    switch (policy) {
    case PolicyKind::LeastLoaded:
        return BaselineKind::LeastLoaded;
    case PolicyKind::AdapterAffinity:
        return BaselineKind::AdapterAffinity;
    default:
        return BaselineKind::RandomWorker;
    }
}

} // namespace

Results run(const Experiment &experiment)
{
    Fleet fleet{experiment.deployment, experiment.scenario, experiment.seed};
    if (experiment.policy == PolicyKind::Gypsumtally) {
        auto settings = settingsFor(experiment.deployment);
        if (experiment.adjust)
            experiment.adjust(settings);
        const GypsumtallyPolicy policy{fleet, settings};
        fleet.run();
    } else {
        const BaselinePolicy policy{fleet, baselineOf(experiment.policy), experiment.seed};
        fleet.run();
    }
    fleet.results.policy = nameOf(experiment.policy);
    return std::move(fleet.results);
}

} // namespace Gypsumtally::Load
