#include "processes/scenariocontext.h"

#include "processes/waiting.h"

#include <cstdio>
#include <fstream>
#include <map>

namespace Gypsumtally::Processes
{

namespace
{

constexpr std::size_t callsBefore = 60;
constexpr std::size_t callsAfter = 60;
constexpr std::size_t logLinesShown = 12;
constexpr std::size_t problemsShown = 3;

std::vector<Http::Endpoint> entriesOf(Fleet &fleet)
{
    std::vector<Http::Endpoint> entries;
    for (const auto &daemon : fleet.daemons())
        entries.push_back(daemon->endpoint());
    return entries;
}

void showLogs(Fleet &fleet)
{
    for (const auto &daemon : fleet.daemons()) {
        std::vector<std::string> lines;
        std::ifstream file(daemon->logFile());
        for (std::string line; std::getline(file, line);) {
            if (line.find("\"call\"") == std::string::npos)
                lines.push_back(line);
        }
        const auto first = lines.size() > logLinesShown ? lines.size() - logLinesShown : 0;
        for (auto index = first; index < lines.size(); ++index)
            std::fprintf(stderr, "%s: %s\n", daemon->name().c_str(), lines[index].c_str());
    }
}

} // namespace

ScenarioContext::ScenarioContext(const FleetOptions &fleet, const WorkloadOptions &workload)
    : m_seed(workload.seed)
    , m_fleet(fleet)
    , m_workload((awaitAllListed(), entriesOf(m_fleet)), workload, m_results)
{
}

bool ScenarioContext::isRegistered(std::size_t node)
{
    const auto report = Fleet::report(m_fleet.keyValue());
    return report.at("keys").as_object().contains("/gypsumtally/nodes/" + daemon(node).name());
}

bool ScenarioContext::listsEntry(std::size_t lister, std::size_t listed)
{
    const auto result = Http::fetch(daemon(lister).endpoint(), {"GET", "/v1/entries", {}, {}});
    return result.response && result.response->body.find('"' + daemon(listed).address() + '"') != std::string::npos;
}

void ScenarioContext::awaitAllListed()
{
    for (std::size_t lister = 0; lister < m_fleet.daemons().size(); ++lister) {
        for (std::size_t listed = 0; listed < m_fleet.daemons().size(); ++listed) {
            waitUntil(daemon(lister).name() + " to list " + daemon(listed).name(),
                      [&] { return listsEntry(lister, listed); });
        }
    }
}

std::vector<std::string> ScenarioContext::finish()
{
    m_workload.stop();
    auto found = violations(readHistory(m_fleet, m_results), m_lossyEntries);
    found.insert(found.end(), m_violations.begin(), m_violations.end());
    if (!found.empty())
        showLogs(m_fleet);
    return found;
}

void print(const Scenario &scenario, const std::vector<std::string> &problems)
{
    std::map<std::string, std::size_t> kinds;
    for (const auto &problem : problems) {
        if (++kinds[problem.substr(0, problem.find(':'))] <= problemsShown)
            std::fprintf(stderr, "%s, seed %llu: %s\n", scenario.name, static_cast<unsigned long long>(scenario.seed),
                         problem.c_str());
    }
    for (const auto &[kind, count] : kinds)
        std::fprintf(stderr, "%s: %zu x %s\n", scenario.name, count, kind.c_str());
}

std::vector<std::string> run(const Scenario &scenario)
{
    WorkloadOptions load;
    load.seed = scenario.seed;
    load.adapters = scenario.fleet.adapters;
    try {
        ScenarioContext context(scenario.fleet, load);
        try {
            context.workload().awaitCompleteAnswers(callsBefore);
            scenario.injectFaults(context);
            context.workload().awaitCompleteAnswers(callsAfter);
        } catch (const std::runtime_error &error) {
            context.addViolation(error.what());
        }
        return context.finish();
    } catch (const std::runtime_error &error) {
        return {error.what()};
    }
}

} // namespace Gypsumtally::Processes
