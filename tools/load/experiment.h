#pragma once

#include "load/gypsumtallypolicy.h"
#include "load/results.h"
#include "load/scenario.h"

#include "common/enumtable.h"

#include <functional>
#include <string>

namespace Gypsumtally::Load
{

/// The policy that makes the decisions in a run.
enum class PolicyKind {
    Gypsumtally,
    RandomWorker,
    LeastLoaded,
    AdapterAffinity,
};

/// The parameters of one run. Equal experiments give equal results.
struct Experiment {
    Deployment deployment;
    Scenario scenario;
    PolicyKind policy = PolicyKind::Gypsumtally;
    std::uint64_t seed = 1;
    std::function<void(PolicySettings &)> adjust; ///< If set, modifies the settings of the Gypsumtally policy.
};

/// Runs an experiment in virtual time and returns its results. Thread-safe.
Results run(const Experiment &experiment);

} // namespace Gypsumtally::Load

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Load::PolicyKind, 4> enumNames<Load::PolicyKind>{{
    {Load::PolicyKind::Gypsumtally, "gypsumtally"},
    {Load::PolicyKind::RandomWorker, "random-worker"},
    {Load::PolicyKind::LeastLoaded, "least-loaded"},
    {Load::PolicyKind::AdapterAffinity, "adapter-affinity"},
}};

} // namespace Gypsumtally
