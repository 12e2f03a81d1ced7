#include "gateway/enginechoice.h"

#include "support/table.h"

#include <cmath>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant now{std::chrono::seconds{100}};

/// Returns two engines of one service that hold `m/a`: `near` in this node's failure domain, and `far` in another.
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

const UpstreamDemand demand{"s", "m/a", 0, "near", nullptr, {}, 0, {}, {}};
const Estimates::Speed usual;

struct ChoiceCase {
    void (*change)(UpstreamTable &);
    const char *chosen; ///< Empty: none.
};

const ChoiceCase choices[] = {
    {[](UpstreamTable &) {}, "near"},
    {[](UpstreamTable &table) { table.find("near")->ownInFlight = 30; }, "far"},
    {[](UpstreamTable &table) {
         table.onPeerLoads({"n", 1, 1}, {{"near", 30}});
     },
     "far"},
    {[](UpstreamTable &table) { table.find("near")->prompts.add(3000, now, now); }, "far"},
    {[](UpstreamTable &table) { table.find("near")->record.draining = true; }, "far"},
    {[](UpstreamTable &table) { table.find("near")->isCutOff = true; }, "far"},
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
    // A failing upstream is still chosen if there is no other.
    {[](UpstreamTable &table) {
         noteOutcome(*table.find("near"), true, now);
         noteOutcome(*table.find("near"), true, now);
         table.onRemoved("far", now);
         table.find("far")->record.draining = true;
     },
     "near"},
};

struct SoftwareCase {
    const char *nearVersion;
    const char *farVersion;
    const char *wanted; ///< Software version that must serve; null if any may.
    std::set<std::string> held;
    const char *chosen; ///< Empty: none.
};

const SoftwareCase softwareCases[] = {
    {"v1", "v2", nullptr, {}, "near"},  {"v1", "v2", "v2", {}, "far"}, {"v1", "v2", "v3", {}, ""},
    {"v1", "v1", "v1", {}, "near"},     {"", "", "", {}, "near"},      {"v1", "v2", nullptr, {"v1"}, "far"},
    {"v1", "v2", "v1", {"v1"}, "near"}, // Streams that began there go on.
};

} // namespace

TABLE_TEST(EngineChoice, choosesTheWantedSoftwareVersionOnly, softwareCases)
{
    auto table = twoEngines();
    table.find("near")->record.softwareVersion = row.nearVersion;
    table.find("far")->record.softwareVersion = row.farVersion;
    auto wanting = demand;
    const std::string wanted = row.wanted ? row.wanted : "";
    wanting.softwareVersion = row.wanted ? &wanted : nullptr;
    wanting.heldVersions = row.held;
    const auto choice = chooseUpstream(table, wanting, now);
    cr_assert_eq(choice ? choice->instance : std::string(), std::string(row.chosen));
    cr_assert_eq(hasUpstream(table, "s", now, wanting.softwareVersion),
                 !row.wanted || row.wanted == std::string(row.nearVersion)
                     || row.wanted == std::string(row.farVersion));
}

TABLE_TEST(EngineChoice, prefersLowestScore, choices)
{
    auto table = twoEngines();
    row.change(table);
    const auto choice = chooseUpstream(table, demand, now);
    cr_assert_eq(choice ? choice->instance : std::string{}, std::string(row.chosen));
}

namespace
{

struct SlotCase {
    const char *name;
    unsigned slots;
    double share;
    unsigned usable;
};

const SlotCase slotCases[] = {
    {"all", 12, 1, 12},
    {"half", 12, 0.5, 6},
    {"a part of a slot counts as one", 12, 0.6, 8},
    {"one at least", 1, 0.5, 1},
};

} // namespace

/// Guards against less urgent requests that use slots which are reserved, and against an engine that they never get.
TABLE_TEST(EngineChoice, leavesReservedSlots, slotCases)
{
    auto table = twoEngines();
    table.find("far")->record.draining = true;
    auto &upstream = *table.find("near");
    upstream.record.slots = row.slots;
    auto limited = demand;
    limited.slotShare = row.share;
    cr_assert_eq(usableSlots(upstream, "m/a", row.share, now), row.usable, "%s", row.name);
    upstream.ownInFlight = row.usable - 1;
    cr_assert(hasFreeSlot(table, "s", "m/a", row.share, now), "%s", row.name);
    cr_assert_not(chooseUpstream(table, limited, now)->isFull, "%s", row.name);
    upstream.ownInFlight = row.usable;
    cr_assert_not(hasFreeSlot(table, "s", "m/a", row.share, now), "%s", row.name);
    cr_assert(chooseUpstream(table, limited, now)->isFull, "%s", row.name);
}

Test(EngineChoice, rejectsOlderVersions)
{
    auto table = twoEngines();
    auto newer = demand;
    newer.minVersion = 2;
    cr_assert_not(chooseUpstream(table, newer, now).has_value());
    table.find("far")->residency.onLoading("m/a", 2, now, now);
    cr_assert_eq(chooseUpstream(table, newer, now)->instance, std::string("far"));
}

/// A request for a load named no copy that its node is cut off from, so that the holder of orders saw no need.
Test(EngineChoice, countsCopiesThatTheNodeIsCutOffFromAsUnfit)
{
    auto table = twoEngines();
    cr_assert(saturatedEngines(table, "m/a", now).empty());
    table.find("near")->isCutOff = true;
    cr_assert(saturatedEngines(table, "m/a", now) == std::vector<std::string>{"near"});
}

Test(EngineChoice, respectsExclusions)
{
    const auto table = twoEngines();
    auto excluding = demand;
    excluding.excluded = {"near", "far"};
    cr_assert_not(chooseUpstream(table, excluding, now).has_value());
}

namespace
{

struct PaceCase {
    int usableIn; ///< Time until the copy's load ends, in ms.
    std::vector<int> prompts; ///< Times at which prompts of 600 tokens were or will be sent, in ms.
    int sendIn; ///< Expected time until the send, in ms.
};

/// The pace admits 1000 tokens within 300 ms.
const PaceCase paces[] = {
    {-10000, {}, 0}, {-10000, {-100}, 200}, {-10000, {-400}, 0}, {250, {}, 250}, {250, {200}, 500}, {250, {-100}, 250},
};

} // namespace

TABLE_TEST(EngineChoice, sendTimeRespectsPromptPace, paces)
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
    paced.pace
        = {std::chrono::milliseconds{300}, 4, 1000 / tokensWithinPause({std::chrono::milliseconds{300}, 4}, usual, 1)};
    cr_assert(chooseUpstream(table, paced, now)->sendAt == std::max(now, in(row.sendIn)));
}

namespace
{

struct SpeedCase {
    int pauseMs; ///< Time between events of four tokens, without prompts.
    double promptShare; ///< Fraction of the pauses that a prompt lengthens by 150 ms.
    bool isReported; ///< This node knows of these prompts.
    double least; ///< Bounds on the learnt slowness.
    double most;
};

const SpeedCase speeds[] = {
    {40, 0, false, 0.95, 1.1},  {20, 0, false, 0.45, 0.6},  {52, 0, false, 1.2, 1.4},
    {160, 0, false, 3.5, 4.5},  {40, 0.5, false, 0.9, 1.2}, {40, 0.5, true, 0.9, 1.2},
    {160, 0.5, true, 3.5, 4.5}, {20, 0.5, true, 0.45, 0.6}, {52, 0.5, false, 1.2, 1.5},
};

} // namespace

TABLE_TEST(EngineChoice, learnsSpeedFromPausesOfBusyEngines, speeds)
{
    auto table = twoEngines();
    auto *engine = table.find("near");
    for (int i = 0; i < 120; ++i) {
        const bool hasPrompt = i * row.promptShare != std::floor(i * row.promptShare);
        if (hasPrompt && row.isReported)
            engine->prompts.add(100, now, now);
        notePause(*engine, std::chrono::milliseconds{row.pauseMs + (hasPrompt ? 150 : 0)}, 4, now);
    }
    const double slowness = slownessOf(*engine, usual);
    cr_assert(slowness >= row.least && slowness <= row.most, "%f", slowness);
}

namespace
{

const double turns[] = {0.25, 0.5, 2, 4};

} // namespace

TABLE_TEST(EngineChoice, tracksChangingEngineSpeed, turns)
{
    auto table = twoEngines();
    auto *engine = table.find("near");
    for (const double slowness : {1.0, row, 1.0}) {
        // About two seconds of a few streams, with prompts all the time.
        for (int i = 0; i < 150; ++i) {
            engine->prompts.add(100, now, now);
            notePause(*engine, Duration{static_cast<int>(1000 * slowness * 4 * usual.stepMs) + (i % 2) * 100000}, 4,
                      now);
        }
        cr_assert(std::abs(std::log(slownessOf(*engine, usual) / slowness)) < 0.15, "%f of %f",
                  slownessOf(*engine, usual), slowness);
    }
}

Test(EngineChoice, slowEngineAdmitsFewerTokens)
{
    const PromptPace pace{std::chrono::milliseconds{300}, 4};
    cr_assert_lt(tokensWithinPause(pace, usual, 1.3), tokensWithinPause(pace, usual, 1) / 1.25);
    cr_assert_eq(tokensWithinPause({pace.longestPause, 4, 0.5}, usual, 1), tokensWithinPause(pace, usual, 1) / 2);
}

namespace
{

struct PauseCase {
    double stepMs;
    double tokensPerMs;
    unsigned tokensPerEvent;
    double slowness;
};

const PauseCase pauses[] = {{10, 20, 3, 1}, {4.43, 38, 6, 1}, {4.43, 38, 9, 1},  {2.5, 80, 3, 1}, {40, 5, 3, 1},
                            {10, 20, 3, 4}, {10, 20, 9, 1.3}, {10, 20, 3, 0.25}, {20, 10, 9, 2}};

} // namespace

/// Prefill of the admitted tokens plus one event take no longer than the pause, if the engine can keep to it at all.
TABLE_TEST(EngineChoice, promptsFitIntoThePause, pauses)
{
    const PromptPace pace{std::chrono::milliseconds{300}, row.tokensPerEvent};
    const Estimates::Speed speed{row.stepMs, row.tokensPerMs, 1500, 15};
    const double tokens = tokensWithinPause(pace, speed, row.slowness);
    const double eventMs = row.slowness * row.stepMs * row.tokensPerEvent;
    cr_assert_gt(tokens, 0);
    cr_assert_leq(tokens / (row.tokensPerMs / row.slowness) + std::min(eventMs, 225.0), 300);
}

Test(EngineChoice, usesSpeedReportedByPeers)
{
    auto table = twoEngines();
    noteStep(*table.find("near"), 20, now);
    cr_assert_gt(slownessOf(*table.find("near"), usual), 1.8);
}

Test(EngineChoice, prefersFasterEngine)
{
    auto table = twoEngines();
    for (int i = 0; i < 100; ++i)
        notePause(*table.find("far"), std::chrono::milliseconds{10}, 4, now);
    for (auto &[instance, upstream] : table.all())
        upstream.ownInFlight = 60;
    cr_assert_eq(chooseUpstream(table, demand, now)->instance, std::string("far"));
}

namespace
{

struct CountCase {
    const char *name;
    void (*change)(UpstreamTable &);
    const char *softwareVersion; ///< Null: any.
    UpstreamCounts counts;
};

const CountCase countCases[] = {
    {"both respond", [](UpstreamTable &) {}, nullptr, {2, 0, 0, 0}},
    {"one is cut off", [](UpstreamTable &table) { table.find("near")->isCutOff = true; }, nullptr, {1, 0, 1, 0}},
    {"one is avoided",
     [](UpstreamTable &table) { table.find("near")->avoidUntil = now + std::chrono::seconds{1}; },
     nullptr,
     {1, 1, 0, 0}},
    {"one applies backpressure",
     [](UpstreamTable &table) { table.find("near")->backpressureUntil = now + std::chrono::seconds{1}; },
     nullptr,
     {1, 0, 0, 1}},
    {"one leaves", [](UpstreamTable &table) { table.find("near")->record.draining = true; }, nullptr, {1, 0, 0, 0}},
    {"one has another software version",
     [](UpstreamTable &table) { table.find("near")->record.softwareVersion = "v2"; },
     "v2",
     {1, 0, 0, 0}},
};

} // namespace

TABLE_TEST(EngineChoice, countsUpstreamsByWhatKeepsRequestsAway, countCases)
{
    auto table = twoEngines();
    row.change(table);
    auto wanting = demand;
    const std::string version = row.softwareVersion ? row.softwareVersion : "";
    wanting.softwareVersion = row.softwareVersion ? &version : nullptr;
    const auto counts = countUpstreams(table, wanting, now);
    cr_assert(counts.open == row.counts.open && counts.suspect == row.counts.suspect
                  && counts.cutOff == row.counts.cutOff && counts.limiting == row.counts.limiting,
              "%s: %u open, %u suspect, %u cut off, %u limiting", row.name, counts.open, counts.suspect, counts.cutOff,
              counts.limiting);
}

namespace
{

struct Binding {
    const char *name;
    void (*bind)(UpstreamTable &); ///< Leaves only `near` to bound requests.
    const char *softwareVersion; ///< Null: any.
    std::uint64_t minVersion;
};

const std::string boundVersion = "v1";

const Binding bindings[] = {
    {"a stream's software version",
     [](UpstreamTable &table) {
         table.find("near")->record.softwareVersion = boundVersion;
         table.find("far")->record.softwareVersion = "v2";
     },
     boundVersion.c_str(), 0},
    {"an adapter's version", [](UpstreamTable &table) { table.find("near")->residency.onLoading("m/a", 2, now, now); },
     nullptr, 2},
    {"an adapter's only holder", [](UpstreamTable &table) { table.find("far")->residency.onDropped("m/a", now); },
     nullptr, 0},
};

struct PlaceState {
    const char *name;
    void (*change)(Upstream &);
    bool isBehindCut;
};

const PlaceState placeStates[] = {
    {"responds", [](Upstream &) {}, false},
    {"is silent",
     [](Upstream &upstream) {
         upstream.ownInFlight = 1;
         upstream.waitingSince = now - std::chrono::seconds{1};
     },
     false},
    {"is avoided", [](Upstream &upstream) { upstream.avoidUntil = now + std::chrono::seconds{1}; }, false},
    {"is cut off", [](Upstream &upstream) { upstream.isCutOff = true; }, false},
    {"is cut off, for a peer's call", [](Upstream &upstream) { upstream.isCutOff = true; }, true},
    {"leaves", [](Upstream &upstream) { upstream.record.draining = true; }, false},
    {"is full", [](Upstream &upstream) { upstream.ownInFlight = upstream.record.slots; }, false},
    {"applies backpressure", [](Upstream &upstream) { upstream.backpressureUntil = now + std::chrono::seconds{1}; },
     false},
    {"limits its requests", [](Upstream &upstream) { upstream.requestLimit.perSecond = 10; }, false},
};

struct BoundCase {
    Binding binding;
    PlaceState state;
};

std::vector<BoundCase> boundCases()
{
    std::vector<BoundCase> cases;
    for (const auto &binding : bindings) {
        for (const auto &state : placeStates)
            cases.push_back({binding, state});
    }
    return cases;
}

} // namespace

/// Guards against requests that are bound to few upstreams and get less of them than a request that is free to choose.
Test(EngineChoice, boundRequestsGetWhatFreeOnesGetThere)
{
    for (const auto &[binding, state] : boundCases()) {
        auto table = twoEngines();
        binding.bind(table);
        state.change(*table.find("near"));
        auto bound = demand;
        bound.isBehindCut = state.isBehindCut;
        auto freeOnes = bound;
        const std::string version = binding.softwareVersion ? binding.softwareVersion : "";
        bound.softwareVersion = binding.softwareVersion ? &version : nullptr;
        bound.minVersion = binding.minVersion;
        auto placesOnly = table;
        placesOnly.find("far")->record.service = "other";
        const auto expected = chooseUpstream(placesOnly, freeOnes, now);
        const auto choice = chooseUpstream(table, bound, now);
        cr_expect_eq(choice.has_value(), expected.has_value(), "%s, upstream %s", binding.name, state.name);
        if (!choice || !expected)
            continue;
        cr_expect(choice->instance == "near" && choice->sendAt == expected->sendAt && choice->isFull == expected->isFull
                      && choice->isSuspect == expected->isSuspect && choice->isLimited == expected->isLimited,
                  "%s, upstream %s", binding.name, state.name);
    }
}

namespace
{

/// Both engines run streams, and the prompt alone takes 73 ms at usual speed.
struct StallCase {
    const char *name;
    double nearStepMs; ///< Recent samples of the near engine; 0: none.
    double farPromptTokens; ///< Makes the far engine wait.
    Duration wantedIn; ///< Time until the first event is late.
    const char *chosen;
};

const StallCase stalls[] = {
    {"no samples", 0, 0, std::chrono::seconds{1}, "near"},
    {"usual speed", 10, 0, std::chrono::seconds{1}, "near"},
    {"too slow for the prompt", 27, 0, std::chrono::seconds{1}, "far"},
    {"the other one serves in time", 27, 6000, std::chrono::seconds{1}, "far"},
    {"the other one is too late", 27, 6000, std::chrono::milliseconds{10}, "near"},
};

} // namespace

/// Guards against prompts that make the streams of a slow engine pause for too long while another one could serve them.
TABLE_TEST(EngineChoice, usesEngineThatIsTooSlowForThePromptOnlyIfNoOtherServesInTime, stalls)
{
    auto table = twoEngines();
    for (auto &[instance, upstream] : table.all())
        upstream.ownInFlight = 2;
    for (int i = 0; i < 20; ++i)
        table.find("near")->capacity.addOwn(row.nearStepMs, row.nearStepMs, 1, now);
    if (row.farPromptTokens > 0)
        table.find("far")->prompts.add(row.farPromptTokens, now, now);
    auto paced = demand;
    paced.promptTokens = 1460;
    paced.pace = {std::chrono::milliseconds{300}, 4};
    paced.wantedBy = now + row.wantedIn;
    cr_assert_eq(chooseUpstream(table, paced, now)->instance, std::string(row.chosen));
}

/// Guards against a prompt whose reserved time comes when its engine has become slow.
Test(EngineChoice, knowsThatAReservedPromptWouldStallStreams)
{
    auto table = twoEngines();
    auto *engine = table.find("near");
    engine->ownInFlight = 2;
    engine->prompts.add(1460, now, now);
    auto paced = demand;
    paced.pace = {std::chrono::milliseconds{300}, 4};
    cr_assert_not(wouldStall(*engine, paced.pace, paced.speed, now));
    for (int i = 0; i < 20; ++i)
        engine->capacity.addOwn(40, 40, 1, now);
    cr_assert(wouldStall(*engine, paced.pace, paced.speed, now));
}
