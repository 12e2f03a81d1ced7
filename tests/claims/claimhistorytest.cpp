#include "claimhistory.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

struct Mutation {
    const char *name;
    bool ClaimSafeguards::*removed;
    const char *shown = "ran more than once";
};

const Mutation mutations[] = {
    {"durableBeforeDispatch", &ClaimSafeguards::durableBeforeDispatch},
    {"createIfAbsent", &ClaimSafeguards::createIfAbsent},
    {"settleLostReplies", &ClaimSafeguards::settleLostReplies},
    {"freeOnlyNotRun", &ClaimSafeguards::freeOnlyNotRun},
    {"neverTakeOver", &ClaimSafeguards::neverTakeOver},
    {"lookBack", &ClaimSafeguards::lookBack},
    {"fenceWindow", &ClaimSafeguards::fenceWindow},
    {"compareFingerprint", &ClaimSafeguards::compareFingerprint, "not the request's own"},
};

} // namespace

Test(ClaimHistory, holdsForAllSeeds)
{
    const auto seeds = SeedRange::fromEnvironment();
    std::map<ClaimOutcome, std::size_t> outcomes;
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        ClaimHistory history{seed, {}};
        const auto violation = history.run();
        cr_assert(violation.empty(), "seed %lu: %s", seed, violation.c_str());
        for (const auto &[outcome, count] : history.outcomes())
            outcomes[outcome] += count;
    }
    constexpr std::size_t possibleOutcomes = 6;
    cr_assert(outcomes.size() == possibleOutcomes || seeds.count < 1000, "the histories don't reach every outcome");
    for (const auto &[outcome, count] : outcomes)
        cr_log_info("%s: %zu", std::string(nameOf(outcome)).c_str(), count);
}

TABLE_TEST(ClaimHistory, detectsEachDisabledSafeguard, mutations)
{
    ClaimPolicy policy;
    policy.safeguards.*row.removed = false;
    std::string violation;
    std::uint64_t seed = 0;
    while (violation.find(row.shown) == std::string::npos && ++seed <= 1000)
        violation = ClaimHistory{seed, policy}.run();
    cr_assert(seed <= 1000, "no seed up to 1000 shows %s", row.name);
    cr_log_info("%s: seed %lu: %s", row.name, seed, violation.c_str());
}
