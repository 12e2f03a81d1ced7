#include "capacity/idlefleet.h"
#include "capacity/slope.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>

ABSL_FLAG(bool, samples, false, "also print the samples of each size");
ABSL_FLAG(bool, idle, true, "also measure idle daemons; takes one minute");

namespace
{

using namespace Gypsumtally::Capacity;

void print(const Subject &subject, const Slope &slope)
{
    std::printf("| %s | %s | %.0f | %.0f |", subject.name.c_str(), subject.part.c_str(), slope.bytesPerItem,
                slope.nanosecondsPerItem);
    for (const auto &sample : slope.samples)
        std::printf(" %zu", sample.items);
    std::printf(" |\n");
    if (!absl::GetFlag(FLAGS_samples))
        return;
    for (const auto &sample : slope.samples)
        std::printf("    %zu items: %.0f bytes, %.0f ns\n", sample.items, sample.heapBytes, sample.cpuNanoseconds);
}

} // namespace

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage("measures the cost of each item of state; see docs/CAPACITY.md");
    absl::ParseCommandLine(argc, argv);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf(
        "| item | package | heap bytes per item | processor ns per item | sizes |\n| --- | --- | --- | --- | --- |\n");
    for (const auto &subjects : {membershipSubjects(), ownershipSubjects(), claimSubjects(), routingSubjects()}) {
        for (const auto &subject : subjects)
            print(subject, measure(subject));
    }
    if (!absl::GetFlag(FLAGS_idle))
        return 0;
    std::printf(
        "\n| daemons | core per daemon | MB per daemon | key-value calls/s per daemon |\n| --- | --- | --- | --- |\n");
    for (const std::size_t daemons : {3, 6, 9}) {
        const auto cost = measureIdle(daemons);
        std::printf("| %zu | %.2f%% | %.1f | %.2f |\n", daemons, cost.coreFraction * 100, cost.residentBytes / 1e6,
                    cost.keyValueCallsPerSecond);
    }
    return 0;
}
