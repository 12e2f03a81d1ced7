#include "routing/router.h"

#include "support/table.h"

#include <map>
#include <set>

using namespace Gypsumtally;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const Instant start{seconds{1000}};
const AdapterVersion model{"base", "a", "1"};

UpstreamHint engine(int number, const char *region, std::vector<AdapterDigest> loaded = {}, std::uint32_t waiting = 0)
{
    UpstreamHint hint;
    hint.upstream = {"e" + std::to_string(number)};
    hint.owner = {"n" + std::to_string(number % 2)};
    hint.epoch = 1;
    hint.sequence = 1;
    hint.region = {region};
    hint.base = "base";
    hint.slots = 4;
    hint.freeSlots = 1;
    hint.concurrency = 4;
    hint.running = waiting > 0 ? 4 : 0;
    hint.waiting = waiting;
    hint.loaded = std::move(loaded);
    return hint;
}

CallAttributes callFor(const AdapterVersion &adapter)
{
    CallAttributes call;
    call.id = 1;
    call.model = adapter;
    call.callerRegion = {"r1"};
    call.maxTokens = 200;
    return call;
}

/// Routes between two engines that hold the model: e1 in the caller's region, e2 in another one.
struct Case {
    const char *name;
    std::uint32_t waitingNear;
    std::uint32_t waitingFar;
    bool nearExcluded;
    const char *chosen;
};

const Case cases[] = {
    {"no load", 0, 0, false, "e1"},
    {"remote engine busier", 0, 2, false, "e1"},
    {"local wait outweighs transfer cost", 12, 0, false, "e2"},
    {"local engine excluded", 0, 0, true, "e2"},
};

Router routerAt(const char *node)
{
    Router router{{node}, {"r1"}};
    router.setMembers({{"n0"}, {"n1"}});
    return router;
}

} // namespace

TABLE_TEST(Router, weighsWaitAgainstTransferCost, cases)
{
    HintTable hints;
    hints.apply(engine(1, "r1", {digestOf(model)}, row.waitingNear), start);
    hints.apply(engine(2, "r2", {digestOf(model)}, row.waitingFar), start);
    auto router = routerAt("n0");
    const std::vector<UpstreamId> excluded{{"e1"}};
    const auto call = callFor(model);
    const RouteQuery query{.call = call, .excluded = std::span{excluded}.first(row.nearExcluded ? 1 : 0)};
    const auto route = router.route(query, hints, start);
    cr_assert_eq(std::get<RouteToUpstream>(route).upstream.value, row.chosen, "%s", row.name);
}

Test(Router, homeCoalescesMissesOfAllNodes)
{
    HintTable hints;
    for (int i = 0; i < 4; ++i)
        hints.apply(engine(i, i < 2 ? "r1" : "r2"), start);
    const auto home = routerAt("n0").homeOf(digestOf(model)).value;
    auto call = callFor(model);
    auto other = routerAt(home == "n0" ? "n1" : "n0");
    const auto referred = other.route({.call = call, .excluded = {}}, hints, start);
    cr_assert_eq(std::get<RouteToHome>(referred).home.value, home);

    auto router = routerAt(home.c_str());
    std::set<std::string> chosen;
    for (int i = 0; i < 10; ++i) {
        call.callerRegion = {i % 2 ? "r1" : "r2"};
        const auto route = router.route({.call = call, .excluded = {}, .atHome = true}, hints, start + milliseconds{i});
        chosen.insert(std::get<RouteToUpstream>(route).upstream.value);
    }
    cr_assert_eq(chosen.size(), 1);
}

Test(Router, plainServicesGetLeastOutstandingInRegionFirst)
{
    HintTable hints;
    for (int i = 0; i < 3; ++i) {
        auto hint = engine(i, i < 2 ? "r1" : "r2");
        hint.base.clear();
        hint.service = "roster";
        hints.apply(hint, start);
    }
    auto router = routerAt("n0");
    CallAttributes call;
    call.service = "roster";
    call.callerRegion = {"r1"};
    std::map<std::string, int> counts;
    for (CallId id = 1; id <= 12; ++id) {
        const auto upstream
            = std::get<RouteToUpstream>(router.route({.call = call, .excluded = {}}, hints, start)).upstream;
        router.sent(id, upstream, start);
        ++counts[upstream.value];
    }
    cr_assert_eq(counts["e0"], 4);
    cr_assert_eq(counts["e1"], 4);
    cr_assert_eq(counts["e2"], 4);
}

Test(Router, suspectsGoToLeastLoadedUpstream)
{
    HintTable hints;
    hints.apply(engine(1, "r1", {digestOf(model)}, 3), start);
    hints.apply(engine(2, "r2"), start);
    const auto call = callFor(model);
    const auto route = routerAt("n0").route({.call = call, .excluded = {}, .suspect = true}, hints, start);
    cr_assert_eq(std::get<RouteToUpstream>(route).upstream.value, "e2");
}

Test(Router, failsWithNotRunWithoutUpstream)
{
    HintTable hints;
    const auto call = callFor(model);
    const auto failure = std::get<Failure>(routerAt("n0").route({.call = call, .excluded = {}}, hints, start));
    cr_assert_eq(failure.verdict, Verdict::NotRun);
    cr_assert(failure.retryAfter.has_value());
}

Test(HintTable, ignoresOldEpochsAndExpiresOldHints)
{
    HintTable hints{{.maxAge = seconds{10}, .maxUpstreams = 2, .maxAdapters = 1}};
    auto hint = engine(1, "r1", {7, 8});
    hint.epoch = 2;
    cr_assert(hints.apply(hint, start));
    cr_assert_eq(hints.holders(7).size(), 1);
    cr_assert(hints.holders(8).empty());
    hint.epoch = 1;
    cr_assert_not(hints.apply(hint, start));
    cr_assert(hints.apply(engine(2, "r1"), start + seconds{5}));
    cr_assert_not(hints.apply(engine(3, "r1"), start + seconds{5}));
    hints.expire(start + seconds{11});
    cr_assert_eq(hints.size(), 1);
    cr_assert(hints.holders(7).empty());
}

Test(Rendezvous, lostMemberMovesOnlyItsOwnKeys)
{
    auto router = routerAt("n0");
    router.setMembers({{"n0"}, {"n1"}, {"n2"}, {"n3"}});
    std::map<std::string, int> counts;
    std::vector<std::string> before;
    for (AdapterDigest key = 0; key < 4000; ++key) {
        before.push_back(router.homeOf(key * 0x9E3779B97F4A7C15ULL).value);
        ++counts[before.back()];
    }
    for (const auto &[node, count] : counts)
        cr_assert(count > 900 && count < 1100, "%s has %d keys", node.c_str(), count);
    router.setMembers({{"n0"}, {"n1"}, {"n3"}});
    for (AdapterDigest key = 0; key < 4000; ++key) {
        if (before[key] != "n2")
            cr_assert_eq(router.homeOf(key * 0x9E3779B97F4A7C15ULL).value, before[key]);
    }
}
