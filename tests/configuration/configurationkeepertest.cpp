#include "configuration/configurationkeeper.h"

#include "configuration/keeperhistory.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

constexpr std::uint64_t seedsPerRow = 250;
constexpr std::uint64_t seedsPerMutation = 400;

const std::uint64_t firstSeeds[] = {1, 251, 501, 751};

struct Mutation {
    const char *name;
    bool ConfigurationGuards::*guard;
    const char *violation;
};

const Mutation mutations[] = {
    {"lower versions accepted", &ConfigurationGuards::onlyHigherVersions, "reverted"},
    {"no revision compare", &ConfigurationGuards::compareRevision, "lost"},
    {"base version not checked", &ConfigurationGuards::checkBaseVersion, "had not seen"},
    {"lost reply taken as not written", &ConfigurationGuards::resolveUnknownByRead, "refused but written"},
    {"lost write not repeated", &ConfigurationGuards::repeatLostWrite, "refused but written"},
    {"own change not detected", &ConfigurationGuards::findOwnChange, "refused but written"},
    {"no gossip", &ConfigurationGuards::useGossip, "after the bound"},
    {"no polling", &ConfigurationGuards::pollStore, "ends at"},
};

} // namespace

TABLE_TEST(ConfigurationKeeper, acceptedChangesAreInForceInTimeAndNeverRevert, firstSeeds)
{
    unsigned accepted = 0;
    for (auto seed = row; seed < row + seedsPerRow; ++seed) {
        const auto report = KeeperHistory(seed, {}).run();
        cr_assert(report.violation.empty(), "seed %lu: %s", seed, report.violation.c_str());
        accepted += report.accepted;
    }
    cr_assert_gt(accepted, seedsPerRow);
}

TABLE_TEST(ConfigurationKeeper, eachSafeguardIsMissed, mutations)
{
    ConfigurationGuards guards;
    guards.*row.guard = false;
    std::string seen;
    for (std::uint64_t seed = 1; seed <= seedsPerMutation; ++seed) {
        const auto report = KeeperHistory(seed, guards).run();
        if (report.violation.find(row.violation) != std::string::npos)
            return;
        seen += report.violation + '\n';
    }
    cr_assert_fail("%s: not detected; other violations: %s", row.name, seen.substr(0, 1000).c_str());
}
