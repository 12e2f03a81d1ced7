#include "ownership/world.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;
using Detail::Safeguards;

namespace
{

struct Batch {
    std::uint64_t firstSeed;
    std::size_t nodes;
    bool checksToken;
};

constexpr std::uint64_t seedsPerBatch = 250;

const Batch batches[] = {
    {1, 3, false},  {251, 3, false}, {501, 3, false}, {751, 3, false}, {1, 3, true},
    {251, 3, true}, {501, 3, true},  {751, 3, true},  {1, 2, false},   {1, 2, true},
};

struct Mutation {
    const char *name;
    bool Safeguards::*guard;
    const char *fault; ///< Substring of the expected violation.
};

constexpr std::uint64_t mutationSeeds = 400;

const Mutation mutations[] = {
    {"dispatchOutsideGivenUp", &Safeguards::dispatchOutsideGivenUp, "evicted"},
    {"evictOnlyGivenUp", &Safeguards::evictOnlyGivenUp, "evicted"},
    {"requestsEndBeforeGivingUp", &Safeguards::requestsEndBeforeGivingUp, "evicted"},
    {"ordersSettleBeforeTakingOut", &Safeguards::ordersSettleBeforeTakingOut, "evicted"},
    {"frozenWithPredecessors", &Safeguards::frozenWithPredecessors, "evicted"},
    {"predecessorsListed", &Safeguards::predecessorsListed, "evicted"},
    {"releaseWaitsForOutstanding", &Safeguards::releaseWaitsForOutstanding, "evicted"},
    {"goneWaitsForEngine", &Safeguards::goneWaitsForEngine, "evicted"},
    {"lostRequestsCount", &Safeguards::lostRequestsCount, "evicted"},
    {"lostWritesSettled", &Safeguards::lostWritesSettled, "evicted"},
    {"compareAndSwap", &Safeguards::compareAndSwap, "epoch"},
};

} // namespace

TABLE_TEST(OwnershipHistory, isSafeAndMakesProgress, batches)
{
    for (std::uint64_t seed = row.firstSeed; seed < row.firstSeed + seedsPerBatch; ++seed) {
        World world({.seed = seed, .nodes = row.nodes, .checksToken = row.checksToken, .guards = {}});
        const std::string fault = world.run();
        cr_expect(fault.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), fault.c_str());
    }
}

TABLE_TEST(OwnershipHistory, detectsDisabledGuard, mutations)
{
    Safeguards guards;
    guards.*row.guard = false;
    for (std::uint64_t seed = 1; seed <= mutationSeeds; ++seed) {
        const std::string fault = World({.seed = seed, .guards = guards}).run();
        if (fault.find(row.fault) != std::string::npos)
            return;
    }
    cr_assert_fail("no violation without %s", row.name);
}
