#include "crashhistory.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

struct Mutation {
    const char *name;
    bool QuarantineSafeguards::*safeguard;
};

const Mutation mutations[] = {
    {"isolateSuspects", &QuarantineSafeguards::isolateSuspects},
    {"requireIsolation", &QuarantineSafeguards::requireIsolation},
    {"separateEvents", &QuarantineSafeguards::separateEvents},
    {"discountCorrelated", &QuarantineSafeguards::discountCorrelated},
    {"clearCompleted", &QuarantineSafeguards::clearCompleted},
    {"shareRecords", &QuarantineSafeguards::shareRecords},
};

} // namespace

Test(QuarantineHistory, holdsForAllSeeds)
{
    const auto seeds = SeedRange::fromEnvironment();
    std::size_t falsePositives = 0;
    double writes = 0;
    std::map<unsigned, unsigned> crashes;
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        CrashHistory history{seed, {}};
        const auto violation = history.run();
        cr_assert(violation.empty(), "seed %lu: %s", seed, violation.c_str());
        falsePositives += history.falsePositives();
        writes += history.writesPerCrash() / static_cast<double>(seeds.count);
        ++crashes[history.poisonCrashes()];
    }
    cr_log_info("innocent requests quarantined after an unrelated crash in isolation: %zu", falsePositives);
    cr_log_info("key-value writes per crash: %.2f", writes);
    for (const auto &[count, histories] : crashes)
        cr_log_info("seeds with %u crashes caused by the crashing request: %u", count, histories);
}

TABLE_TEST(QuarantineHistory, detectsEachDisabledSafeguard, mutations)
{
    QuarantinePolicy policy;
    policy.safeguards.*row.safeguard = false;
    std::string violation;
    std::uint64_t seed = 0;
    while (violation.empty() && ++seed <= 1000)
        violation = CrashHistory{seed, policy}.run();
    cr_assert(!violation.empty(), "no seed up to 1000 shows %s", row.name);
    cr_log_info("%s: seed %lu: %s", row.name, seed, violation.c_str());
}
