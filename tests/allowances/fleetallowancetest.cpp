#include "allowances/fleetallowance.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Allowances;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr Limit limit{1000, 1000, 200, true};
constexpr double full = 900; ///< The part of the burst that is used.
const std::string organisation = "o";

Instant at(double seconds)
{
    return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Lets time pass in the steps in which the heard share is set.
void pass(FleetAllowance &allowance, double from, double to, double share = 1)
{
    for (int tick = 0; from + 0.05 * tick < to - 1e-9; ++tick)
        allowance.setHeardShare(share, at(from + 0.05 * tick));
    allowance.setHeardShare(share, at(to));
}

FleetAllowance limitedAt(double seconds, double share = 1)
{
    FleetAllowance allowance;
    allowance.setLimits({{organisation, limit}}, start);
    pass(allowance, 0, seconds, share);
    return allowance;
}

double levelOf(FleetAllowance &allowance, double seconds)
{
    return allowance.uses(at(seconds)).at(organisation).level;
}

PeerSums sumsOf(double sum, std::uint64_t sequence, std::int64_t startedAt = 7, bool isWhole = false)
{
    return {"peer", startedAt, sequence, isWhole, {{organisation, sum}}};
}

} // namespace

/// Guards against a burst for each restart, and against one that exceeds the limit.
Test(FleetAllowance, fillsFromEmptyToBurst)
{
    auto allowance = limitedAt(0);
    cr_assert(!allowance.take(organisation, 1, at(0)).isGranted);
    pass(allowance, 0, 0.5);
    cr_assert_float_eq(levelOf(allowance, 0.5), 0, 1);
    pass(allowance, 0.5, 1);
    cr_assert_float_eq(levelOf(allowance, 1), 500, 1);
    pass(allowance, 1, 5);
    cr_assert_float_eq(levelOf(allowance, 5), full, 1);
}

/// Guards against a process that wakes up with a full bucket although the others have used it meanwhile.
Test(FleetAllowance, doesNotFillWhileSuspended)
{
    auto allowance = limitedAt(0.5);
    allowance.setHeardShare(1, at(20));
    cr_assert_leq(levelOf(allowance, 20), 501);
}

Test(FleetAllowance, grantsWhatHasNoLimit)
{
    FleetAllowance allowance;
    allowance.setLimits({{"unlimited", {}}}, start);
    for (const char *name : {"", "unlimited", "unknown"})
        cr_assert(allowance.take(name, 1e9, at(0)).isGranted, "%s", name);
    cr_assert(allowance.ownSums().empty());
}

/// Guards against requests that a small burst never lets through.
Test(FleetAllowance, grantsLargeRequestsFromFullBucket)
{
    auto allowance = limitedAt(2);
    cr_assert(allowance.take(organisation, 1632, at(2)).isGranted);
    cr_assert_float_eq(levelOf(allowance, 2), full - 1632, 1);
    cr_assert(!allowance.take(organisation, 1632, at(2)).isGranted);
}

/// Guards against a limit without a burst that lets nothing through.
Test(FleetAllowance, grantsWithoutBurst)
{
    FleetAllowance allowance;
    allowance.setLimits({{organisation, {1000, 0, 200, true}}}, start);
    pass(allowance, 0, 2);
    cr_assert(allowance.take(organisation, 200, at(2)).isGranted);
    cr_assert(!allowance.take(organisation, 200, at(2)).isGranted);
}

Test(FleetAllowance, givesBackWhatDidNotRun)
{
    auto allowance = limitedAt(2);
    Charge charge;
    cr_assert(allowance.charge(charge, organisation, {900, true}, at(2), {}).isGranted);
    cr_assert_eq(allowance.takeChangedSums(at(2)).at(organisation), 900);
    allowance.giveBack(charge, at(2));
    allowance.giveBack(charge, at(2));
    cr_assert_float_eq(levelOf(allowance, 2), full, 1);
    cr_assert_eq(allowance.takeChangedSums(at(2)).at(organisation), 0);
    cr_assert_not(allowance.hasChangedSums());
}

namespace
{

struct CostCase {
    const char *name;
    bool countsTokens;
    StatedTokens tokens;
    double cost;
};

const CostCase costCases[] = {
    {"stated tokens", true, {1540, true}, 1540},
    {"no stated tokens", true, {0, false}, 200},
    {"requests", false, {1540, true}, 1},
};

struct PeerCase {
    const char *name;
    std::vector<PeerSums> reports; ///< That arrive at 5 s.
    double spent; ///< That this node deducts.
};

const PeerCase peerCases[] = {
    {"increase", {sumsOf(5000, 900), sumsOf(5300, 901)}, 300},
    {"repeated", {sumsOf(5000, 900), sumsOf(5300, 901), sumsOf(5300, 901)}, 300},
    {"late", {sumsOf(5000, 900), sumsOf(5300, 902), sumsOf(5200, 901)}, 300},
    {"lost", {sumsOf(5000, 900), sumsOf(5700, 950)}, 700},
    {"given back", {sumsOf(5000, 900), sumsOf(5300, 901), sumsOf(5100, 902)}, 100},
    {"old process heard for the first time", {sumsOf(5000, 900)}, 0},
    {"new process heard for the first time", {sumsOf(300, 200)}, 300},
    {"successor", {sumsOf(5000, 900), sumsOf(400, 3000, 8)}, 400},
    {"late report of a predecessor", {sumsOf(5000, 900), sumsOf(0, 1, 8, true), sumsOf(5300, 901)}, 0},
    {"first request after a digest", {{"peer", 7, 900, true, {}}, sumsOf(300, 901)}, 300},
    {"report older than the first digest", {sumsOf(5000, 900, 7, true), sumsOf(4800, 899)}, 0},
};

} // namespace

TABLE_TEST(FleetAllowance, costs, costCases)
{
    cr_assert_eq(costOf({1, 1, 200, row.countsTokens}, row.tokens), row.cost, "%s", row.name);
}

/// Guards against spending that is deducted twice, or not at all, as reports are lost, repeated or reordered.
TABLE_TEST(FleetAllowance, deductsSpendingOfPeers, peerCases)
{
    auto allowance = limitedAt(5);
    for (const auto &report : row.reports)
        allowance.onPeerSums(report, at(5));
    cr_assert_float_eq(levelOf(allowance, 5), full - row.spent, 1, "%s", row.name);
}

/// Guards against nodes that start together and don't count what each has granted before it heard of the others.
Test(FleetAllowance, countsFirstSumsOfProcessesThatStartTogether)
{
    auto allowance = limitedAt(1);
    allowance.onPeerSums(sumsOf(300, 3), at(1));
    cr_assert_float_eq(levelOf(allowance, 1), 200, 1);
}

/// Guards against a node that has just started and takes the sums of a whole day as spent now.
Test(FleetAllowance, takesSumsHeardAtStartAsBase)
{
    auto allowance = limitedAt(1);
    allowance.onPeerSums(sumsOf(1e9, 500), at(1));
    cr_assert_float_eq(levelOf(allowance, 1), 500, 1);
}

/// Guards against two parts of a fleet that use the whole limit each.
Test(FleetAllowance, usesShareOfLimitWhileOthersAreSilent)
{
    auto allowance = limitedAt(2);
    allowance.setHeardShare(0.25, at(2));
    cr_assert_float_eq(levelOf(allowance, 2), full / 4, 1);
    cr_assert(allowance.take(organisation, full / 4, at(2)).isGranted);
    pass(allowance, 2, 2.4, 0.25);
    cr_assert_float_eq(levelOf(allowance, 2.4), 100, 1);
}

/// Guards against a fleet of which both parts have used the whole limit until they noticed that they were cut.
Test(FleetAllowance, takesBackWhatCutPartHasUsed)
{
    auto allowance = limitedAt(2);
    cr_assert(allowance.take(organisation, 500, at(2)).isGranted);
    allowance.setHeardShare(0.75, at(2));
    cr_assert_float_eq(levelOf(allowance, 2), 0.75 * full - 500, 1);
    pass(allowance, 2, 4, 0.75);
    cr_assert(allowance.take(organisation, 0.75 * full, at(4)).isGranted);
    allowance.setHeardShare(0.01, at(4));
    cr_assert_float_eq(levelOf(allowance, 4), -40, 1, "4 s of the new share");
}

/// Guards against a debt for what the other part of the fleet used of its own share during a cut.
Test(FleetAllowance, otherPartMayUseItsShare)
{
    auto allowance = limitedAt(5);
    allowance.onPeerSums(sumsOf(100, 900, 7, true), at(5));
    pass(allowance, 5, 15, 0.25);
    const double share = 7500 + 0.75 * full; // Of ten seconds, and of the level before.
    allowance.onPeerSums(sumsOf(100 + share, 901), at(15));
    cr_assert_float_eq(levelOf(allowance, 15), full / 4, 1);
    allowance.onPeerSums(sumsOf(100 + share + 600, 902, 7, true), at(15));
    cr_assert_float_eq(levelOf(allowance, 15), full / 4 - 600, 1);
}

Test(FleetAllowance, keepsLevelWhenLimitChanges)
{
    auto allowance = limitedAt(2);
    allowance.setLimits({{organisation, {2000, 600, 200, true}}}, at(2));
    cr_assert_float_eq(levelOf(allowance, 2), 540, 1);
    cr_assert(allowance.take(organisation, 540, at(2)).isGranted);
    allowance.setLimits({{organisation, limit}}, at(2));
    cr_assert_float_eq(levelOf(allowance, 2), 0, 1);
    allowance.setLimits({}, at(2));
    cr_assert(allowance.uses(at(2)).empty());
    cr_assert(allowance.take(organisation, 1e9, at(2)).isGranted);
}

/// Guards against a Retry-After at which the caller is refused again, alone or together with others.
Test(FleetAllowance, grantsRefusedRequestsWhenTheyComeBack)
{
    auto allowance = limitedAt(2);
    cr_assert(allowance.take(organisation, full, at(2)).isGranted);
    std::vector<double> returns;
    for (int i = 0; i < 5; ++i) {
        const auto decision = allowance.take(organisation, 400, at(2));
        cr_assert_not(decision.isGranted);
        returns.push_back(2 + std::chrono::duration<double>(decision.retryAfter).count());
        cr_assert_float_eq(returns.back(), 2.4 + 0.4 * i, 0.05, "%f", returns.back());
    }
    double last = 2;
    for (const double time : returns) {
        pass(allowance, last, time);
        cr_assert(allowance.take(organisation, 400, at(time)).isGranted, "at %f", time);
        last = time;
    }
}

/// Guards against metrics that grow with each organisation that was ever configured.
Test(LimitLabels, boundsNames)
{
    LimitLabels labels;
    double granted = 0;
    for (int version = 0; version < 3; ++version) {
        std::map<std::string, LimitUse> uses;
        for (int i = 0; i < 40; ++i)
            uses["o" + std::to_string(100 * version + i)].granted = 1;
        granted = 0;
        for (const auto &[name, use] : labels.label(uses))
            granted += use.granted;
        cr_assert_eq(granted, 40);
        cr_assert_leq(labels.label(uses).size(), 33U);
    }
}

/// Guards against times that callers who have given up make longer.
Test(FleetAllowance, countsOnlyCallersThatComeBack)
{
    auto allowance = limitedAt(2);
    cr_assert(allowance.take(organisation, full, at(2)).isGranted);
    for (int i = 0; i < 100; ++i)
        allowance.take(organisation, 400, at(2), std::chrono::milliseconds{100});
    const auto wait = allowance.take(organisation, 400, at(2)).retryAfter;
    cr_assert_float_eq(std::chrono::duration<double>(wait).count(), 0.4, 0.05);
    for (int i = 0; i < 1000; ++i)
        cr_assert_leq(allowance.take(organisation, 400, at(2)).retryAfter.count(),
                      FleetAllowance::maxRetryAfter.count());
}
