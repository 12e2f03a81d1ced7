#include "ownership/world.h"

#include <cstdio>
#include <cstdlib>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

/// Runs histories for SEEDS seeds from START on, with and without token checks at the engine. Prints each failing seed.
int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("usage: ownershipsweep SEEDS START\n", stderr);
        return 2;
    }
    const std::uint64_t seeds = std::strtoull(argv[1], nullptr, 10);
    const std::uint64_t start = std::strtoull(argv[2], nullptr, 10);
    std::uint64_t failures = 0;
    for (std::uint64_t seed = start; seed < start + seeds; ++seed) {
        for (const bool checksToken : {false, true}) {
            const std::string fault = World({.seed = seed, .checksToken = checksToken, .guards = {}}).run();
            if (fault.empty())
                continue;
            ++failures;
            std::printf("seed %llu%s: %s\n", static_cast<unsigned long long>(seed),
                        checksToken ? " (engine checks tokens)" : "", fault.c_str());
        }
    }
    std::printf("%llu seeds from %llu on both kinds of engine: %llu failures\n", static_cast<unsigned long long>(seeds),
                static_cast<unsigned long long>(start), static_cast<unsigned long long>(failures));
    return failures ? 1 : 0;
}
