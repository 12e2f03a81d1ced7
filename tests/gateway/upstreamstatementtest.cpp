#include "gateway/upstreamstatement.h"

#include "gateway/enginechoice.h"

#include "support/table.h"

#include <optional>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant now{std::chrono::seconds{100}};
const UpstreamStatement leaving{"", true, {}, {}};

UpstreamRecord recordOf(std::int64_t startedAt, unsigned short port = 80, bool isDraining = false)
{
    UpstreamRecord record;
    record.instance = "u";
    record.service = "s";
    record.endpoint = {"10.0.0.1", port, false};
    record.startedAt = startedAt;
    record.draining = isDraining;
    return record;
}

UpstreamTable tableOf(const UpstreamRecord &record)
{
    UpstreamTable table;
    table.onRegistryBack(now - std::chrono::minutes{1});
    table.onRecord(record, now - std::chrono::minutes{1});
    return table;
}

UpstreamStatement turningAway(Duration time)
{
    return {"", false, time, {}};
}

bool isChosen(const UpstreamTable &table, Instant at)
{
    return chooseUpstream(table, {"s", {}, 0, "d", nullptr, {}, 0, {}, {}}, at).has_value();
}

struct LeavingCase {
    const char *name;
    void (*change)(UpstreamTable &); ///< Event after the upstream has announced its departure.
    bool isChosen;
};

const LeavingCase afterLeaving[] = {
    {"nothing", [](UpstreamTable &) {}, false},
    {"record still ready", [](UpstreamTable &table) { table.onRecord(recordOf(7), now); }, false},
    {"full registry snapshot", [](UpstreamTable &table) { table.onSnapshot({"u"}, now); }, false},
    {"record lapsed and restored",
     [](UpstreamTable &table) {
         table.onRegistryLost(now);
         table.onRemoved("u", now);
         table.onRegistryBack(now);
         table.onRecord(recordOf(7), now);
     },
     false},
    {"record removed and restored",
     [](UpstreamTable &table) {
         table.onRemoved("u", now);
         table.onRecord(recordOf(7), now);
     },
     false},
    {"answer without departure",
     [](UpstreamTable &table) {
         applyStatement(table, {"u", 7}, {}, now);
     },
     false},
    {"new process of the instance", [](UpstreamTable &table) { table.onRecord(recordOf(8), now); }, true},
    {"new process at another address, start time not stated",
     [](UpstreamTable &table) { table.onRecord(recordOf(0, 81), now); }, true},
    {"other instance at the address",
     [](UpstreamTable &table) {
         auto other = recordOf(7);
         other.instance = "v";
         table.onRecord(other, now);
     },
     true},
};

} // namespace

TABLE_TEST(UpstreamStatement, leavingUpstream, afterLeaving)
{
    auto table = tableOf(recordOf(7));
    cr_assert(isChosen(table, now));
    cr_assert(applyStatement(table, {"u", 7}, leaving, now).leaves);
    cr_assert_not(applyStatement(table, {"u", 7}, leaving, now).leaves, "repeated announcement");
    row.change(table);
    cr_assert_eq(isChosen(table, now), row.isChosen, "%s", row.name);
}

namespace
{

struct OtherStatementCase {
    UpstreamProcess process;
    UpstreamStatement statement;
};

const OtherStatementCase otherStatements[] = {
    {{"u", 6}, leaving}, // The previous process of the instance.
    {{"v", 7}, leaving}, // An unknown instance.
    {{"u", 7}, {"w", true, std::chrono::seconds{5}, {}}}, // Another instance answered at the address.
};

} // namespace

TABLE_TEST(UpstreamStatement, statementOfOtherProcess, otherStatements)
{
    auto table = tableOf(recordOf(7));
    const auto effect = applyStatement(table, row.process, row.statement, now);
    cr_assert_not(effect.leaves);
    cr_assert(effect.turnedAwayFor == Duration{});
    cr_assert(isChosen(table, now));
}

namespace
{

struct TurnAwayCase {
    std::int64_t ms; ///< Time for which the upstream turns requests away.
    std::int64_t askedAfterMs; ///< When an upstream is chosen, after the statement.
    bool isChosen;
};

const TurnAwayCase turnedAway[] = {
    {200, 199, false},
    {200, 200, true},
    {3000, 2999, false},
    {3000, 3000, true},
    {600'000, 599'999, false},
    {1'000'000'000, 1, false},
    {1'000'000'000, 3'600'000, true},
    {0, 0, true},
};

} // namespace

TABLE_TEST(UpstreamStatement, turnAwayPeriod, turnedAway)
{
    auto table = tableOf(recordOf(7));
    applyStatement(table, {"u", 7}, turningAway(std::chrono::milliseconds{row.ms}), now);
    const auto asked = now + std::chrono::milliseconds{row.askedAfterMs};
    cr_assert_eq(isChosen(table, asked), row.isChosen);
    cr_assert_eq(hasUpstream(table, "s", asked), row.isChosen);
    cr_assert_eq(endOfBackpressure(table, "s", asked).has_value(), !row.isChosen);
}

Test(UpstreamStatement, shorterTurnAwayAfterLonger)
{
    auto table = tableOf(recordOf(7));
    applyStatement(table, {"u", 7}, turningAway(std::chrono::seconds{5}), now);
    const auto effect = applyStatement(table, {"u", 7}, turningAway(std::chrono::seconds{1}), now);
    cr_assert(effect.turnedAwayFor == Duration{}, "not reported to other nodes again");
    cr_assert_not(isChosen(table, now + std::chrono::seconds{4}));
}

Test(UpstreamStatement, newProcessAfterTurnAway)
{
    auto table = tableOf(recordOf(7));
    applyStatement(table, {"u", 7}, turningAway(std::chrono::minutes{10}), now);
    table.onRecord(recordOf(8), now);
    cr_assert(isChosen(table, now));
}

Test(UpstreamStatement, turnAwayHintFromOtherNode)
{
    auto table = tableOf(recordOf(7));
    applyTurnedAwayHint(table, {"u", 7}, std::chrono::minutes{10}, now);
    cr_assert(isChosen(table, now), "only upstream");
    auto other = recordOf(7, 81);
    other.instance = "v";
    table.onRecord(other, now);
    table.find("v")->ownInFlight = 50;
    const UpstreamDemand demand{"s", {}, 0, "d", nullptr, {}, 0, {}, {}};
    cr_assert_eq(chooseUpstream(table, demand, now)->instance, std::string("v"));
    cr_assert_eq(chooseUpstream(table, demand, now + std::chrono::seconds{3})->instance, std::string("u"));
}

Test(UpstreamStatement, departureReportedByOtherNode)
{
    auto table = tableOf(recordOf(7));
    cr_assert_not(applyDeparture(table, {"u", 6}));
    cr_assert(isChosen(table, now));
    cr_assert(applyDeparture(table, {"u", 7}));
    cr_assert_not(applyDeparture(table, {"u", 7}), "repeated announcement");
    cr_assert_not(isChosen(table, now));
}

Test(UpstreamStatement, holdersTurningAway)
{
    auto table = tableOf(recordOf(7));
    table.find("u")->residency.onLoading("m/a", 1, now, now);
    cr_assert(saturatedEngines(table, "m/a", now).empty());
    applyStatement(table, {"u", 7}, turningAway(std::chrono::seconds{5}), now);
    cr_assert_eq(saturatedEngines(table, "m/a", now).size(), 1U);
    cr_assert(saturatedEngines(table, "m/b", now).empty());
}

namespace
{

/// An answer to a request that was sent and answered at the given times, in ms after the start.
struct LimitAnswer {
    std::int64_t sentAt;
    std::int64_t answeredAt;
    std::optional<double> limit;
};

struct LimitCase {
    const char *name;
    std::vector<LimitAnswer> answers;
    std::optional<double> known;
};

const LimitCase limitAnswers[] = {
    {"none", {{0, 10, {}}}, {}},
    {"stated", {{0, 10, 2.2}}, 2.2},
    {"lowered", {{0, 10, 2.2}, {0, 20, 1.5}}, 1.5},
    {"raised", {{0, 10, 1.5}, {11, 20, 2.2}}, 2.2},
    {"raised by an answer that was overtaken", {{0, 10, 1.5}, {5, 20, 2.2}}, 1.5},
    {"ended", {{0, 10, 1.5}, {11, 20, {}}}, {}},
    {"ended by an answer that was overtaken", {{0, 10, 1.5}, {5, 20, {}}}, 1.5},
    {"repeated meanwhile", {{0, 10, 1.5}, {0, 30, 1.5}, {20, 40, {}}}, 1.5},
    {"stated again", {{0, 10, 1.5}, {11, 20, {}}, {21, 30, 3}}, 3.0},
};

} // namespace

TABLE_TEST(UpstreamStatement, requestLimitFromAnswers, limitAnswers)
{
    auto table = tableOf(recordOf(7));
    for (const auto &each : row.answers) {
        const auto before = table.find("u")->requestLimit.perSecond;
        UpstreamStatement statement;
        statement.requestLimit = each.limit;
        const auto effect = applyStatement(table, {"u", 7}, statement, now + std::chrono::milliseconds{each.answeredAt},
                                           now + std::chrono::milliseconds{each.sentAt});
        cr_assert_eq(effect.changesLimit, before != table.find("u")->requestLimit.perSecond, "%s", row.name);
    }
    cr_assert(table.find("u")->requestLimit.perSecond == row.known, "%s", row.name);
}

Test(UpstreamStatement, answerToOrderDoesNotEndRequestLimit)
{
    auto table = tableOf(recordOf(7));
    UpstreamStatement limited;
    limited.requestLimit = 2;
    applyStatement(table, {"u", 7}, limited, now);
    cr_assert_not(applyStatement(table, {"u", 7}, {}, now + std::chrono::seconds{1}).changesLimit);
    cr_assert(table.find("u")->requestLimit.perSecond == 2.0);
}

Test(UpstreamStatement, staleRequestLimitReportedByOtherNode)
{
    auto table = tableOf(recordOf(7));
    cr_assert(applyRequestLimit(table, {"u", 7}, {2.0, now}));
    cr_assert(applyRequestLimit(table, {"u", 7}, {std::nullopt, now + std::chrono::seconds{1}}));
    cr_assert_not(applyRequestLimit(table, {"u", 7}, {2.0, now}), "an older statement");
    cr_assert_not(applyRequestLimit(table, {"u", 6}, {2.0, now + std::chrono::seconds{2}}), "a replaced process");
    cr_assert_not(table.find("u")->requestLimit.perSecond.has_value());
}

namespace
{

struct ReturnCase {
    const char *name;
    std::int64_t startedAt; ///< Of the process whose record comes after the removal.
    bool isLimited;
};

const ReturnCase returns[] = {{"same process", 7, true}, {"new process", 8, false}};

} // namespace

TABLE_TEST(UpstreamStatement, requestLimitAfterItsRecordReturns, returns)
{
    auto table = tableOf(recordOf(7));
    applyRequestLimit(table, {"u", 7}, {2.0, now});
    table.find("u")->sends.add("n", now + std::chrono::milliseconds{500}, now);
    table.onRemoved("u", now);
    cr_assert_null(table.find("u"));
    table.onRecord(recordOf(row.startedAt), now);
    cr_assert_eq(table.find("u")->limitsRequests(), row.isLimited, "%s", row.name);
    cr_assert_eq(table.find("u")->sends.nextFree(2, now + std::chrono::milliseconds{500})
                     > now + std::chrono::milliseconds{500},
                 row.isLimited, "%s: the schedule", row.name);
}

namespace
{

struct BrittleAnswer {
    int atMs; ///< After the service was stated to be brittle.
    std::optional<unsigned> stated;
    int sentAtMs; ///< When its request was sent; a refusal states nothing of the time.
    bool isFull;
};

struct BrittlenessCase {
    const char *name;
    std::vector<BrittleAnswer> answers;
    std::optional<unsigned> known;
    bool takesRequests; ///< At the time of the last answer.
};

const BrittlenessCase brittleAnswers[] = {
    {"stated again", {{100, 3, 90, false}}, 3, true},
    {"more brittle", {{100, 1, -500, false}}, 1, true},
    {"an old answer without it", {{100, {}, -20, false}}, 3, true},
    {"another answer without it at once", {{300, {}, 200, false}}, 3, true},
    {"an answer without it later", {{1500, {}, 1400, false}}, {}, true},
    {"stated meanwhile", {{1200, 3, 1100, false}, {1500, {}, 1400, false}}, 3, true},
    {"full", {{100, 3, 90, true}}, 3, false},
};

} // namespace

TABLE_TEST(UpstreamStatement, brittlenessFromAnswers, brittleAnswers)
{
    auto table = tableOf(recordOf(7));
    UpstreamStatement brittle;
    brittle.refusalsPerSecond = 3;
    cr_assert(applyStatement(table, {"u", 7}, brittle, now, now).changesBrittleness);
    Instant at = now;
    for (const auto &each : row.answers) {
        UpstreamStatement statement;
        statement.refusalsPerSecond = each.stated;
        statement.isFull = each.isFull;
        at = now + std::chrono::milliseconds{each.atMs};
        applyStatement(table, {"u", 7}, statement, at, now + std::chrono::milliseconds{each.sentAtMs});
    }
    cr_assert(table.brittleness("s").refusalsPerSecond == row.known, "%s", row.name);
    cr_assert_eq(table.find("u")->takesRequests(at), row.takesRequests, "%s", row.name);
}

/// A brittle upstream got requests of other nodes while it had no room.
Test(UpstreamStatement, fullBrittleUpstreamGetsNothingFromOtherNodes)
{
    auto table = tableOf(recordOf(7));
    cr_assert(applyBrittleness(table, "s", {3, now}));
    applyTurnedAwayHint(table, {"u", 7}, std::chrono::milliseconds{1100}, now);
    cr_assert_not(isChosen(table, now + std::chrono::milliseconds{1000}));
    cr_assert(isChosen(table, now + std::chrono::milliseconds{1200}));
}
