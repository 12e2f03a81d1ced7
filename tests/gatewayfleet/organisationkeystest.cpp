#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <algorithm>
#include <array>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const FleetSize size{2, 2, 2};
constexpr Load load{20, 10, 5};
constexpr std::array kinds{CallerRequest::Read, CallerRequest::Book, CallerRequest::Stream};

/// Puts a configuration with @p key into force at all nodes.
void requireKey(Fleet &fleet, const std::string &key)
{
    fleet.requireKey(key);
    for (int i = 0; i < 200 && !fleet.isConfigurationInForce(); ++i)
        fleet.run(milliseconds{50});
    cr_assert(fleet.isConfigurationInForce());
}

/// Lets callers send requests of all kinds until @p isEnough, for 20 s at most.
template<typename Condition>
void serveUntil(Fleet &fleet, Condition isEnough)
{
    fleet.clearTallies();
    fleet.setLoad(load);
    const auto isEnoughOf = [&](CallerRequest kind) { return isEnough(fleet.tally(kind)); };
    for (int i = 0; i < 100 && !std::ranges::all_of(kinds, isEnoughOf); ++i)
        fleet.run(milliseconds{200});
    fleet.setLoad({});
    fleet.run(seconds{2});
    cr_assert(std::ranges::all_of(kinds, isEnoughOf));
}

} // namespace

/// Guards against requests that run without a valid key, and against a key that reaches an upstream or a log.
Test(OrganisationKeys, onlyValidKeysAreServedAndNoneIsShown)
{
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    requireKey(fleet, "k3y-one");
    fleet.setCallerKey("k3y-one");
    serveUntil(fleet, [](const Tally &tally) { return tally.served > 0; });
    requireKey(fleet, "k3y-two");
    serveUntil(fleet, [](const Tally &tally) { return tally.failed > 0; });
    for (const auto kind : kinds)
        cr_expect_eq(fleet.tally(kind).served, 0U);
    const auto problems = fleet.finish();
    for (const auto &problem : problems)
        cr_log_warn("%s", problem.c_str());
    cr_assert(problems.empty(), "%zu problems", problems.size());
}
