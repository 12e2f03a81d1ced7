#pragma once

#include "load/scenario.h"

#include "common/call.h"

#include <cstdint>
#include <random>
#include <vector>

namespace Gypsumtally::Load
{

/// One call of the open-loop load.
struct Arrival {
    CallAttributes call;
    std::uint32_t adapter = 0; ///< Number of the adapter in call.model.
    std::uint32_t region = 0; ///< Number of the region in call.callerRegion.
    std::uint32_t tokens = 0; ///< Length of the answer in tokens.
};

/// Generates Poisson arrivals with Zipf-distributed adapters. Equal seeds give equal calls. Not thread-safe.
class Workload
{
public:
    Workload(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed);

    /// Returns the next call. The sequence is infinite.
    Arrival next();

    /// Returns the name of adapter @p number.
    static AdapterVersion adapterName(std::uint32_t number);

    /// Returns the name of region @p number.
    static RegionId regionName(std::uint32_t number);

private:
    double uniform();
    std::uint32_t drawRank();
    std::uint32_t drawCustomer();
    std::uint32_t drawTokens(ServiceClass serviceClass);
    ServiceClass drawClass();

    Deployment m_deployment;
    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<double> m_cumulative; ///< Cumulative unnormalized popularity by rank.
    Instant m_now{};
    CallId m_lastId = 0;
};

} // namespace Gypsumtally::Load
