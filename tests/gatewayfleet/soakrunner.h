#pragma once

#include "support/knownred.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// Prints the first of @p problems.
inline void printProblems(const std::vector<std::string> &problems)
{
    constexpr std::size_t maxPrinted = 10;
    for (std::size_t i = 0; i < std::min(problems.size(), maxPrinted); ++i)
        std::printf("  %s\n", problems[i].c_str());
    std::fflush(stdout);
}

/// Calls @p run, which returns a number of problems, with each of @p count seeds that is not passed over. Returns the
/// exit code of the soak called @p name.
template<std::invocable<unsigned> Run>
int runSeeds(const char *name, unsigned first, unsigned count, Run run)
{
    std::size_t problems = 0;
    try {
        const auto seeds = Testing::seedsToRun(first, count);
        if (seeds.empty())
            return Testing::allPassedOver;
        for (const auto seed : seeds)
            problems += run(static_cast<unsigned>(seed));
    } catch (const std::exception &failure) {
        std::fprintf(stderr, "%s: %s\n", name, failure.what());
        return 2;
    }
    return problems == 0 ? 0 : 1;
}

} // namespace Gypsumtally::GatewayFleet
