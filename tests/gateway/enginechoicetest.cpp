#include "gateway/enginechoice.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant now{std::chrono::seconds{100}};

/// Two engines of one service that hold `m/a`: `near` in this node's failure domain, and `far`.
UpstreamTable twoEngines()
{
    UpstreamTable table;
    for (const auto *instance : {"near", "far"}) {
        UpstreamRecord record;
        record.instance = instance;
        record.service = "s";
        record.endpoint = {"10.0.0.1", 80, false};
        record.failureDomain = instance;
        record.slots = 64;
        record.targets = {{"m", 1}, {"m/a", 1}};
        table.onRecord(record, now - std::chrono::seconds{1});
    }
    return table;
}

const UpstreamDemand demand{"s", "m/a", 0, "near", nullptr, {}, 0, {}};

struct ChoiceCase {
    void (*change)(UpstreamTable &);
    const char *chosen; ///< Empty: none.
};

const ChoiceCase choices[] = {
    {[](UpstreamTable &) {}, "near"},
    {[](UpstreamTable &table) { table.find("near")->ownInFlight = 30; }, "far"},
    {[](UpstreamTable &table) {
         table.onPeerLoads("n", {{"near", 30}});
     },
     "far"},
    {[](UpstreamTable &table) { table.find("near")->prompts.add(3000, now, now); }, "far"},
    {[](UpstreamTable &table) { table.find("near")->record.draining = true; }, "far"},
    {[](UpstreamTable &table) { table.find("near")->residency.onDropped("m/a", now); }, "far"},
    {[](UpstreamTable &table) { table.find("near")->avoidUntil = now + std::chrono::seconds{1}; }, "far"},
    {[](UpstreamTable &table) {
         table.find("near")->ownInFlight = 1;
         table.find("near")->waitingSince = now - std::chrono::seconds{1};
     },
     "far"},
    {[](UpstreamTable &table) {
         for (int i = 0; i < 4; ++i)
             noteOutcome(*table.find("near"), i % 2 == 0, now);
     },
     "far"},
    {[](UpstreamTable &table) {
         for (auto &[instance, upstream] : table.all())
             upstream.record.service = "other";
     },
     ""},
    // One that fails is still better than none.
    {[](UpstreamTable &table) {
         noteOutcome(*table.find("near"), true, now);
         noteOutcome(*table.find("near"), true, now);
         table.onRemoved("far", now);
         table.find("far")->record.draining = true;
     },
     "near"},
};

} // namespace

TABLE_TEST(EngineChoice, avoidsWhatWouldAnswerLater, choices)
{
    auto table = twoEngines();
    row.change(table);
    const auto choice = chooseUpstream(table, demand, now);
    cr_assert_eq(choice ? choice->instance : std::string{}, std::string(row.chosen));
}

Test(EngineChoice, copiesOfAnOlderVersionDoNotServe)
{
    auto table = twoEngines();
    auto newer = demand;
    newer.leastVersion = 2;
    cr_assert_not(chooseUpstream(table, newer, now).has_value());
    table.find("far")->residency.onLoading("m/a", 2, now, now);
    cr_assert_eq(chooseUpstream(table, newer, now)->instance, std::string("far"));
}

Test(EngineChoice, exclusionsAreKept)
{
    const auto table = twoEngines();
    auto excluding = demand;
    excluding.excluded = {"near", "far"};
    cr_assert_not(chooseUpstream(table, excluding, now).has_value());
}

namespace
{

struct PaceCase {
    int usableIn; ///< ms, when the load of the copy ends.
    std::vector<int> prompts; ///< When prompts of 600 tokens were or will be sent, in ms.
    int sendIn;
};

/// 1000 tokens are let in within 300 ms.
const PaceCase paces[] = {
    {-10000, {}, 0}, {-10000, {-100}, 200}, {-10000, {-400}, 0}, {250, {}, 250}, {250, {200}, 500}, {250, {-100}, 250},
};

} // namespace

TABLE_TEST(EngineChoice, sendsWhenTheEngineCanReadThePrompt, paces)
{
    const auto in = [](int ms) { return now + std::chrono::milliseconds{ms}; };
    auto table = twoEngines();
    table.onRemoved("far", now);
    table.find("far")->record.draining = true;
    auto *engine = table.find("near");
    engine->residency.onLoading("m/a", 0, in(row.usableIn), now);
    for (const int at : row.prompts)
        engine->prompts.add(600, in(at), now);
    auto paced = demand;
    paced.promptTokens = 500;
    paced.pace = {std::chrono::milliseconds{300}, 4, 1000 / tokensWithinPause({std::chrono::milliseconds{300}, 4}, 1)};
    cr_assert(chooseUpstream(table, paced, now)->sendAt == std::max(now, in(row.sendIn)));
}

namespace
{

struct SpeedCase {
    int pauseMs; ///< Between events of four tokens.
    int promptBefore; ///< ms before the pauses; 0: none.
    double least; ///< Of the slowness that is learnt.
    double most;
};

const SpeedCase speeds[] = {
    {42, 0, 1, 1.05}, {54, 0, 1.25, 1.35}, {210, 0, 4.8, 5.3}, {210, 100, 1, 1}, {54, 600, 1.25, 1.35},
};

} // namespace

TABLE_TEST(EngineChoice, learnsSpeedFromPausesWithoutPrompts, speeds)
{
    auto table = twoEngines();
    auto *engine = table.find("near");
    if (row.promptBefore > 0)
        engine->prompts.add(100, now - std::chrono::milliseconds{row.promptBefore}, now);
    for (int i = 0; i < 40; ++i)
        notePause(*engine, std::chrono::milliseconds{row.pauseMs}, 4, now);
    cr_assert(slownessOf(*engine) >= row.least && slownessOf(*engine) <= row.most, "%f", slownessOf(*engine));
}

Test(EngineChoice, aSlowEngineReadsFewerTokensInAPause)
{
    const PromptPace pace{std::chrono::milliseconds{300}, 4};
    cr_assert_lt(tokensWithinPause(pace, 1.3), tokensWithinPause(pace, 1) / 1.25);
    cr_assert_eq(tokensWithinPause(pace, 10), 0);
    cr_assert_eq(tokensWithinPause({pace.longestPause, 4, 0.5}, 1), tokensWithinPause(pace, 1) / 2);
}

Test(EngineChoice, takesInTheSpeedThatOthersHaveLearnt)
{
    auto table = twoEngines();
    noteStep(*table.find("near"), 20);
    cr_assert_gt(slownessOf(*table.find("near")), 1.8);
}
