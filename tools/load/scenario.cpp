#include "load/scenario.h"

#include <algorithm>

namespace Gypsumtally::Load
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

const std::vector<Deployment> &deployments()
{
    static const std::vector<Deployment> all{
        {.name = "pirisidu", .weights = {.loadStall = 3, .batchEfficiency = 1}},
        {.name = "servicio",
         .engines = 18,
         .loadsPerSecond = 4,
         .domainHop = Duration{500},
         .callsPerSecond = 11,
         .classMix = {0.15, 0.15, 0.7},
         .weights = {.loadStall = 1, .batchEfficiency = 3}},
    };
    return all;
}

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all{
        {.name = "ordinary"},
        {.name = "cold-start", .warmUp = seconds{0}, .length = seconds{180}},
        {.name = "region-cut", .length = minutes{8}, .regionCut = Span{minutes{4}, minutes{7}}},
        {.name = "popularity-shift", .length = minutes{6}, .shiftAt = minutes{3}},
        {.name = "reclaim", .length = minutes{8}, .reclaimAt = minutes{4}},
        {.name = "key-value-outage", .length = minutes{16}, .keyValueOutage = Span{minutes{3}, minutes{13}}},
        // At least 2x and 4x the throughput of the engines with full batches.
        {.name = "overload-2x", .loadFactor = 6},
        {.name = "overload-4x", .loadFactor = 12},
        {.name = "greedy-customer", .loadFactor = 3, .greedyFraction = 0.6},
    };
    return all;
}

template<typename T>
std::optional<T> named(const std::vector<T> &all, const std::string &name)
{
    const auto it = std::find_if(all.begin(), all.end(), [&](const T &item) { return item.name == name; });
    return it == all.end() ? std::nullopt : std::optional{*it};
}

template<typename T>
std::vector<std::string> namesOf(const std::vector<T> &all)
{
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const auto &item : all)
        names.push_back(item.name);
    return names;
}

} // namespace

std::optional<Deployment> deploymentNamed(const std::string &name)
{
    return named(deployments(), name);
}

std::vector<std::string> deploymentNames()
{
    return namesOf(deployments());
}

std::optional<Scenario> scenarioNamed(const std::string &name)
{
    return named(scenarios(), name);
}

std::vector<std::string> scenarioNames()
{
    return namesOf(scenarios());
}

} // namespace Gypsumtally::Load
