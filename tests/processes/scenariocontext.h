#pragma once

#include "processes/fleet.h"
#include "processes/historycheck.h"
#include "processes/workload.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Processes
{

/// A fleet under load, into which a scenario injects faults.
class ScenarioContext
{
public:
    ScenarioContext(const FleetOptions &fleet, const WorkloadOptions &workload);

    Fleet &fleet()
    {
        return m_fleet;
    }

    Workload &workload()
    {
        return m_workload;
    }

    Results &results()
    {
        return m_results;
    }

    FleetProcess &daemon(std::size_t index)
    {
        return *m_fleet.daemons()[index];
    }

    /// Returns the seed of the run.
    std::uint64_t seed() const
    {
        return m_seed;
    }

    FleetProcess &engine(std::size_t index)
    {
        return *m_fleet.engines()[index];
    }

    /// Permits lost calls at entry @p entry. Use it before killing the process of that entry.
    void allowLossAt(std::size_t entry)
    {
        m_lossyEntries.insert(entry);
    }

    /// Adds a violation that violations() does not check for.
    void addViolation(std::string problem)
    {
        m_violations.push_back(std::move(problem));
    }

    /// Returns true if the key-value service holds the record of @p node.
    bool isRegistered(std::size_t node);

    /// Returns true if the entry list that daemon @p lister serves to callers contains the address of daemon @p listed.
    bool listsEntry(std::size_t lister, std::size_t listed);

    /// Waits until the entry list of every daemon contains all daemons. Throws std::runtime_error on a timeout.
    void awaitAllListed();

    /// Stops the load and returns all violations.
    std::vector<std::string> finish();

private:
    const std::uint64_t m_seed;
    Fleet m_fleet;
    Results m_results;
    Workload m_workload;
    std::set<std::size_t> m_lossyEntries;
    std::vector<std::string> m_violations;
};

/// One test run on real processes: the fleet and the faults to inject.
struct Scenario {
    const char *name;
    std::uint64_t seed;
    FleetOptions fleet;
    /// Injects the faults and waits for their expected effects; throws std::runtime_error if one fails to appear.
    std::function<void(ScenarioContext &)> injectFaults;
};

/// Prints the first violations of each kind with the seed, and the number of violations of each kind, to standard
/// error.
void print(const Scenario &scenario, const std::vector<std::string> &problems);

/// Runs a scenario, including the start and clean-up of its processes, and returns all violations.
std::vector<std::string> run(const Scenario &scenario);

} // namespace Gypsumtally::Processes
