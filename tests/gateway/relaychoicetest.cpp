#include "gateway/relaychoice.h"

#include "support/table.h"

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

const std::vector<std::string> upstreams{"u0", "u1"};

RelayPeer peer(const std::string &node, const std::string &region, double capacity = 1)
{
    return {node, region, {}, 1, capacity};
}

struct ChoiceCase {
    const char *name;
    std::vector<RelayPeer> peers;
    std::set<std::pair<std::string, std::string>> cuts; ///< Peer and upstream.
    std::vector<std::string> failed;
    std::set<std::string> chosen; ///< Peers that get calls.
};

const ChoiceCase choices[] = {
    {"no peers", {}, {}, {}, {}},
    {"all", {peer("a", "r"), peer("b", "r"), peer("c", "q")}, {}, {}, {"a", "b", "c"}},
    {"cut off from all", {peer("a", "r"), peer("b", "r")}, {{"a", "u0"}, {"a", "u1"}}, {}, {"b"}},
    {"cut off from one", {peer("a", "r")}, {{"a", "u0"}}, {}, {"a"}},
    {"all cut off", {peer("a", "r")}, {{"a", "u0"}, {"a", "u1"}}, {}, {}},
    {"failed the call", {peer("a", "r"), peer("b", "r")}, {}, {"a"}, {"b"}},
    {"other region alone", {peer("c", "q")}, {}, {}, {"c"}},
};

/// Passes @p count calls on, none of which ends, and returns how many each peer got.
std::map<std::string, unsigned> spread(RelayChoice &choice, const ChoiceCase &row, int count)
{
    std::map<std::string, unsigned> calls;
    for (int i = 0; i < count; ++i) {
        const auto id = "r" + std::to_string(i);
        const RelayDemand demand{id, "r", &upstreams, &row.failed,
                                 [&](const std::string &node, const std::string &instance) {
                                     return row.cuts.contains({node, instance});
                                 }};
        const auto *chosen = choice.choose(row.peers, demand);
        if (!chosen)
            continue;
        choice.onSent(chosen->node);
        ++calls[chosen->node];
    }
    return calls;
}

} // namespace

TABLE_TEST(RelayChoice, choosesAmongPeersThatReach, choices)
{
    RelayChoice choice;
    std::set<std::string> chosen;
    for (const auto &[node, calls] : spread(choice, row, 60))
        chosen.insert(node);
    cr_assert(chosen == row.chosen, "%s", row.name);
}

Test(RelayChoice, spreadsByCapacityAndRegion)
{
    const ChoiceCase row{"", {peer("a", "r"), peer("b", "r", 2), peer("c", "q", 2)}, {}, {}, {}};
    RelayChoice choice;
    auto calls = spread(choice, row, 400);
    cr_assert(calls["a"] > 80 && calls["a"] < 120, "%u", calls["a"]);
    cr_assert(calls["b"] > 170 && calls["b"] < 230, "%u", calls["b"]);
    cr_assert(calls["c"] > 80 && calls["c"] < 120, "%u", calls["c"]);
}

/// Nodes without calls in flight do not all choose the same peer.
Test(RelayChoice, spreadsFirstCallsOfManyNodes)
{
    const ChoiceCase row{"", {peer("a", "r"), peer("b", "r"), peer("c", "r")}, {}, {}, {}};
    std::map<std::string, unsigned> calls;
    for (int i = 0; i < 300; ++i) {
        const auto id = "r" + std::to_string(i);
        const RelayDemand demand{id, "r", &upstreams, &row.failed,
                                 [](const std::string &, const std::string &) { return false; }};
        ++calls[RelayChoice{}.choose(row.peers, demand)->node];
    }
    for (const auto &[node, count] : calls)
        cr_assert(count > 70 && count < 130, "%s %u", node.c_str(), count);
}

Test(RelayChoice, forgetsEndedCalls)
{
    RelayChoice choice;
    choice.onSent("a");
    choice.onSent("a");
    choice.onEnded("a");
    cr_assert_eq(choice.inFlight("a"), 1U);
    choice.onEnded("a");
    cr_assert_eq(choice.inFlight("a"), 0U);
}
