#include "load/benchmark.h"
#include "load/experiment.h"
#include "load/httptarget.h"
#include "load/report.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>

ABSL_FLAG(std::string, deployment, "pirisidu", "pirisidu or servicio");
ABSL_FLAG(std::vector<std::string>, scenarios, {"ordinary"}, "scenarios to run, or 'all'");
ABSL_FLAG(std::vector<std::string>, policies,
          (std::vector<std::string>{"gypsumtally", "random-worker", "least-loaded", "adapter-affinity"}),
          "policies to compare");
ABSL_FLAG(std::vector<std::string>, factors, (std::vector<std::string>{"0.5", "1", "2", "3", "4", "6", "8"}),
          "load factors of the sweep command");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the load");
ABSL_FLAG(double, load, 0, "load factor; 0 for that of the scenario");
ABSL_FLAG(double, seconds, 0, "measured time in seconds; 0 for that of the scenario");
ABSL_FLAG(double, calls_per_second, 0, "ordinary load; 0 for that of the deployment");
ABSL_FLAG(std::uint32_t, adapters, 0, "number of adapters; 0 for that of the deployment");
ABSL_FLAG(double, stall_weight, -1, "weight of load stalls; negative for that of the deployment");
ABSL_FLAG(double, batch_weight, -1, "weight of batch efficiency; negative for that of the deployment");
ABSL_FLAG(std::string, format, "text", "text, csv or json");
ABSL_FLAG(std::string, plot, "", "file for an SVG plot; empty for none");
ABSL_FLAG(std::vector<std::string>, entries, {}, "addresses (ADDRESS:PORT) of the entry nodes for the http command");
ABSL_FLAG(std::uint32_t, threads, 3, "number of runs in parallel");

namespace
{

using namespace Gypsumtally;
using namespace Gypsumtally::Load;

/// An error in the command line.
struct UsageError {
    std::string message;
};

template<typename T>
T required(std::optional<T> value, const std::string &what, const std::string &name)
{
    if (!value)
        throw UsageError{"unknown " + what + ": " + name};
    return std::move(*value);
}

Deployment chosenDeployment()
{
    const auto name = absl::GetFlag(FLAGS_deployment);
    auto deployment = required(deploymentNamed(name), "deployment", name);
    if (absl::GetFlag(FLAGS_stall_weight) >= 0)
        deployment.weights.loadStall = absl::GetFlag(FLAGS_stall_weight);
    if (absl::GetFlag(FLAGS_batch_weight) >= 0)
        deployment.weights.batchEfficiency = absl::GetFlag(FLAGS_batch_weight);
    if (absl::GetFlag(FLAGS_calls_per_second) > 0)
        deployment.callsPerSecond = absl::GetFlag(FLAGS_calls_per_second);
    if (absl::GetFlag(FLAGS_adapters) > 0)
        deployment.adapters = absl::GetFlag(FLAGS_adapters);
    return deployment;
}

Scenario adjusted(Scenario scenario)
{
    if (absl::GetFlag(FLAGS_load) > 0)
        scenario.loadFactor = absl::GetFlag(FLAGS_load);
    if (absl::GetFlag(FLAGS_seconds) > 0)
        scenario.length = Duration{static_cast<Duration::rep>(absl::GetFlag(FLAGS_seconds) * 1e6)};
    return scenario;
}

std::vector<Scenario> chosenScenarios()
{
    auto names = absl::GetFlag(FLAGS_scenarios);
    if (names == std::vector<std::string>{"all"})
        names = scenarioNames();
    std::vector<Scenario> scenarios;
    scenarios.reserve(names.size());
    for (const auto &name : names)
        scenarios.push_back(adjusted(required(scenarioNamed(name), "scenario", name)));
    return scenarios;
}

/// An experiment with the label of its row in the table.
struct LabelledExperiment {
    std::string label;
    Experiment experiment;
};

std::vector<LabelledResults> runAll(const std::vector<LabelledExperiment> &experiments)
{
    std::vector<LabelledResults> rows(experiments.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::future<void>> workers;
    for (std::uint32_t worker = 0; worker < std::max(absl::GetFlag(FLAGS_threads), 1U); ++worker) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (std::size_t i = next++; i < experiments.size(); i = next++)
                rows[i] = {experiments[i].label, Load::run(experiments[i].experiment)};
        }));
    }
    for (auto &worker : workers)
        worker.get();
    return rows;
}

std::vector<PolicyKind> chosenPolicies()
{
    std::vector<PolicyKind> policies;
    for (const auto &name : absl::GetFlag(FLAGS_policies))
        policies.push_back(required(valueOf<PolicyKind>(name), "policy", name));
    return policies;
}

void print(const std::vector<LabelledResults> &rows)
{
    const auto name = absl::GetFlag(FLAGS_format);
    std::cout << toTable(rows, required(valueOf<TableFormat>(name), "format", name));
}

void plot(const Chart &chart)
{
    const auto path = absl::GetFlag(FLAGS_plot);
    if (path.empty())
        return;
    std::ofstream file{path};
    file << toSvg(chart);
    if (!file.flush())
        throw UsageError{"cannot write " + path};
}

/// Runs every selected scenario with every selected policy.
void runScenarios()
{
    std::vector<LabelledExperiment> experiments;
    for (const auto &scenario : chosenScenarios()) {
        for (const auto policy : chosenPolicies())
            experiments.push_back(
                {scenario.name, {chosenDeployment(), scenario, policy, absl::GetFlag(FLAGS_seed), {}}});
    }
    const auto rows = runAll(experiments);
    print(rows);
    plot(timeline(absl::GetFlag(FLAGS_deployment) + ": " + experiments.front().label, rows));
}

/// Runs the ordinary scenario with each load factor and each selected policy.
void runSweep()
{
    std::vector<LabelledExperiment> experiments;
    auto scenario = adjusted(*scenarioNamed("ordinary"));
    for (const auto policy : chosenPolicies()) {
        for (const auto &factor : absl::GetFlag(FLAGS_factors)) {
            scenario.loadFactor = std::stod(factor);
            experiments.push_back({factor, {chosenDeployment(), scenario, policy, absl::GetFlag(FLAGS_seed), {}}});
        }
    }
    const auto rows = runAll(experiments);
    print(rows);
    Chart chart{absl::GetFlag(FLAGS_deployment) + ": goodput by offered load",
                "load factor",
                "calls per second answered within their deadline",
                {}};
    for (const auto &row : rows) {
        if (chart.series.empty() || chart.series.back().name != row.results.policy)
            chart.series.push_back({row.results.policy, {}});
        chart.series.back().points.push_back({std::stod(row.label), row.results.goodput()});
    }
    plot(chart);
}

/// Runs the ordinary scenario with each weight alone and with the deployment's weights.
void runWeights()
{
    const auto own = chosenDeployment().weights;
    std::vector<LabelledExperiment> experiments;
    for (const auto weights : {PolicyWeights{1, 0}, own, PolicyWeights{0, 1}}) {
        auto deployment = chosenDeployment();
        deployment.weights = weights;
        const auto label = "stalls " + std::to_string(static_cast<int>(weights.loadStall)) + " : batches "
                           + std::to_string(static_cast<int>(weights.batchEfficiency));
        experiments.push_back({label,
                               {deployment,
                                adjusted(*scenarioNamed("ordinary")),
                                PolicyKind::Gypsumtally,
                                absl::GetFlag(FLAGS_seed),
                                {}}});
    }
    print(runAll(experiments));
}

void runBenchmark()
{
    constexpr std::uint32_t calls = 200'000;
    std::puts("| decision | adapters | engines | ns per call |\n| --- | ---: | ---: | ---: |");
    for (const auto &[adapters, engines] : {std::pair{3000U, 12U}, std::pair{3000U, 18U}, std::pair{18000U, 18U}}) {
        for (const auto &cost : measureDecisions(adapters, engines, calls))
            std::printf("| %s | %u | %u | %.0f |\n", cost.decision.c_str(), cost.adapters, cost.engines,
                        cost.nanoseconds);
    }
}

void runHttp()
{
    std::vector<Http::Endpoint> entries;
    for (const auto &text : absl::GetFlag(FLAGS_entries)) {
        entries.push_back(Http::parseEndpoint(text));
        if (entries.back().port == 0)
            throw UsageError{"not an address and port: " + text};
    }
    if (entries.empty())
        throw UsageError{"the http command requires --entries"};
    const auto scenario = chosenScenarios().front();
    print({{scenario.name, runOverHttp(entries, chosenDeployment(), scenario, absl::GetFlag(FLAGS_seed))}});
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("gypsumtally-load [run|sweep|weights|bench|http] [flags]");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string command = arguments.size() > 1 ? arguments[1] : "run";
    try {
        if (command == "run")
            runScenarios();
        else if (command == "sweep")
            runSweep();
        else if (command == "weights")
            runWeights();
        else if (command == "bench")
            runBenchmark();
        else if (command == "http")
            runHttp();
        else
            throw UsageError{"unknown command: " + command};
    } catch (const UsageError &error) {
        std::cerr << "gypsumtally-load: " << error.message << '\n';
        return 2;
    }
    return 0;
}
