#include "processes/scenarios.h"

#include "support/knownred.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

ABSL_FLAG(std::string, scenario, "", "name of the scenario to run; empty for all");
ABSL_FLAG(std::uint64_t, first_seed, 0, "first seed; 0 for the default seed of each scenario");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds to run for each scenario");
ABSL_FLAG(bool, keep_files, false, "keep logs and journals and print their directory");

namespace
{

/// Ends the process if a case of KNOWN-RED.txt is none of the scenario's seeds.
std::vector<std::uint64_t> seedsOf(const Gypsumtally::Processes::Scenario &scenario)
{
    try {
        return Gypsumtally::Testing::seedsToRun(scenario.seed, absl::GetFlag(FLAGS_seeds));
    } catch (const std::exception &failure) {
        std::fprintf(stderr, "process-sweep: %s\n", failure.what());
        std::exit(2);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    using namespace Gypsumtally::Processes;
    absl::SetProgramUsageMessage("runs fault injection scenarios on real processes, with one or more seeds each");
    absl::ParseCommandLine(argc, argv);
    std::size_t failed = 0;
    std::size_t known = 0;
    std::size_t seedCount = 0;
    for (auto scenario : scenarios) {
        if (const auto wanted = absl::GetFlag(FLAGS_scenario); !wanted.empty() && wanted != scenario.name)
            continue;
        ++known;
        scenario.fleet.keepFiles = absl::GetFlag(FLAGS_keep_files);
        if (absl::GetFlag(FLAGS_first_seed) != 0)
            scenario.seed = absl::GetFlag(FLAGS_first_seed);
        const auto seeds = seedsOf(scenario);
        seedCount += seeds.size();
        for (const auto seed : seeds) {
            scenario.seed = seed;
            const auto problems = Gypsumtally::Processes::run(scenario);
            std::printf("%s, seed %llu: %zu violations\n", scenario.name,
                        static_cast<unsigned long long>(scenario.seed), problems.size());
            std::fflush(stdout);
            print(scenario, problems);
            failed += problems.empty() ? 0 : 1;
        }
    }
    if (known == 0)
        std::fprintf(stderr, "there is no scenario of this name\n");
    else if (seedCount == 0)
        return Gypsumtally::Testing::allPassedOver;
    return failed == 0 && known > 0 ? 0 : 1;
}
