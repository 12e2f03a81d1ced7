#include "gateway/gatewaymessage.h"

#include "support/table.h"

#include <cmath>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

GatewayMessage example()
{
    NodeReport report;
    report.from = {"n1", "d1", "r1", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1234567890123, 0.5};
    report.sequence = 17;
    report.takesCallers = true;
    report.reachesStore = false;
    report.operatorRevision = 1234567;
    report.ordering = {0, 3};
    report.hasInFlight = true;
    report.inFlight["e1"] = 3;
    report.changedInFlight["e6"] = 4;
    report.steps = {{"e1", 13.2}, {"e2", 0, {25.5, 2.5}, std::chrono::milliseconds{30}}};
    report.released = {{1, 7, std::chrono::milliseconds{-30}}};
    report.speeds = {{"s", {10.25, 20.5, 1500, 0}}};
    report.sends = {{"e1", 1110, std::chrono::milliseconds{40}}, {"e7", 0, std::chrono::milliseconds{-5}, -1}};
    report.crashes = {{{"e1", 1234567890126}, {{0xfedcba9876543210, {0x5c1e07a2, 7}}, {8, {}}}}};
    report.acquittals = {{{CauseKind::PromptPart, 0x5c}, std::chrono::milliseconds{40}}};
    report.proposals = {{CauseKind::PromptPart, 0xfedcba9876543210}};
    report.lifted = {{CauseKind::Request, 9}};
    report.verdicts = {{{CauseKind::PromptPart, 0xbad}, 3, 2, 1234567890127, "n4"}};
    report.brokenStreams = {{0xfedcba9876543211, "s", "v1"}};
    report.departures = {{"e4", 1234567890124}};
    report.brittleness = {{"s", 3, std::chrono::milliseconds{20}}, {"t", {}, std::chrono::seconds{1}}};
    report.turnedAway = {{{"e5", 1234567890125}, std::chrono::milliseconds{1500}}};
    report.limits = {{{"e7", 5}, 2.2, std::chrono::milliseconds{30}, 4}, {{"e8", 6}, {}, std::chrono::seconds{2}}};
    report.reach = {false, false};
    report.failedReach = {{{"e9", 7}, true}, {{"e10", 8}, false}};
    report.contacts = {{{"e11", 9}, std::chrono::milliseconds{12}}};
    report.cutOff = {{"e12", 10}};
    report.hasCutOff = true;
    report.placements = {{"e1", "m/a", 2, false, std::chrono::milliseconds{250}}, {"e2", "m/b", 0, true, {}}};
    report.spent = {{"o1", 123456789012345}, {"o2", 0.5}, {"o3", 0}};
    report.waiting = {{"s", 1, 4}, {"s", 9, 2}};
    GatewayMessage message;
    message.sender = "n2";
    message.forwardScope = ForwardScope::Everywhere;
    message.reports = {report};
    message.used = {{"s", "m/a", 2, {}}};
    message.wanted = {{"s", "m/b", 1, {"e1"}}};
    message.found = {{"e3", "m/c", 0, false, {}}};
    message.begunStreams = {{11, "s", "v2"}, {12, "t", ""}};
    message.registry
        = {{RegistryView::OwnRecords, {7, {{"u/a", "{}", 8}, {"u/b", {}, 9}}, 12, std::chrono::milliseconds{30}}},
           {RegistryView::OperatorDocuments, {12, {}, 12}}};
    return message;
}

const char *const malformed[]
    = {"", "[]", "{", "{}", R"({"sender":{}})", R"({"sender":7})", R"({"reports":[]})", R"({"from":{"node":"n"}})"};

const char *const malformedReports[]
    = {R"({"sender":"n","reports":[7]})", R"({"sender":"n","reports":[{}]})",
       R"({"sender":"n","reports":[{"from":{"node":7}}]})", R"({"sender":"n","reports":{"from":"n"}})"};

} // namespace

Test(GatewayMessage, roundTrip)
{
    const auto read = decodeGatewayMessage(encode(example()));
    cr_assert(read.has_value());
    cr_assert_eq(read->sender, std::string("n2"));
    cr_assert(read->forwardScope == ForwardScope::Everywhere);
    cr_assert_eq(read->reports.size(), 1U);
    const auto &report = read->reports.front();
    const auto sent = example().reports.front();
    cr_assert(report.from == sent.from);
    cr_assert_eq(report.sequence, 17U);
    cr_assert(report.takesCallers);
    cr_assert_not(report.reachesStore);
    cr_assert_eq(report.operatorRevision, 1234567);
    cr_assert(report.ordering == sent.ordering);
    cr_assert_eq(report.inFlight.at("e1"), 3U);
    cr_assert_eq(report.changedInFlight.at("e6"), 4U);
    cr_assert_eq(report.steps.size(), 2U);
    cr_assert_eq(report.steps.front().stepMs, 13.2);
    cr_assert_eq(report.steps.front().recent.weight, 0); // As nodes of the previous build report.
    cr_assert(report.steps.back().recent == sent.steps.back().recent);
    cr_assert(report.steps.back().age == sent.steps.back().age);
    cr_assert_eq(report.released.size(), 1U);
    cr_assert_eq(report.released.front().shard, 1U);
    cr_assert_eq(report.released.front().term, 7U);
    cr_assert(report.released.front().sinceLastOrder == std::chrono::milliseconds{-30});
    cr_assert_eq(report.speeds.size(), 1U);
    cr_assert_eq(report.speeds.front().service, std::string("s"));
    cr_assert(report.speeds.front().speed == sent.speeds.front().speed);
    cr_assert_eq(report.sends.front().tokens, 1110);
    cr_assert(report.sends.front().in == std::chrono::milliseconds{40});
    cr_assert_eq(report.sends.front().requests, 0);
    cr_assert_eq(report.sends.back().requests, -1);
    cr_assert(report.sends.back().in == std::chrono::milliseconds{-5});
    cr_assert_eq(report.limits.size(), 2U);
    cr_assert_eq(report.limits.front().process.instance, std::string("e7"));
    cr_assert_eq(report.limits.front().process.startedAt, 5);
    cr_assert(report.limits.front().perSecond == 2.2);
    cr_assert(report.limits.front().age == std::chrono::milliseconds{30});
    cr_assert_eq(report.limits.front().earlierSends, 4U);
    cr_assert_not(report.limits.back().perSecond.has_value());
    cr_assert_eq(report.brittleness.size(), 2U);
    cr_assert_eq(report.brittleness.front().service, std::string("s"));
    cr_assert(report.brittleness.front().refusalsPerSecond == 3U);
    cr_assert(report.brittleness.front().age == std::chrono::milliseconds{20});
    cr_assert_not(report.brittleness.back().refusalsPerSecond.has_value());
    cr_assert(report.crashes == sent.crashes);
    cr_assert(report.brokenStreams == sent.brokenStreams);
    cr_assert(read->begunStreams == example().begunStreams);
    cr_assert(report.acquittals == sent.acquittals);
    cr_assert(report.proposals == sent.proposals);
    cr_assert(report.lifted == sent.lifted);
    cr_assert(report.verdicts == sent.verdicts);
    cr_assert_eq(report.departures.size(), 1U);
    cr_assert_eq(report.departures.front().instance, std::string("e4"));
    cr_assert_eq(report.departures.front().startedAt, 1234567890124);
    cr_assert_eq(report.turnedAway.size(), 1U);
    cr_assert_eq(report.turnedAway.front().process.instance, std::string("e5"));
    cr_assert(report.turnedAway.front().time == std::chrono::milliseconds{1500});
    cr_assert(report.reach == sent.reach);
    cr_assert(report.failedReach == sent.failedReach);
    cr_assert(report.contacts == sent.contacts);
    cr_assert(report.hasCutOff);
    cr_assert(report.cutOff == sent.cutOff);
    cr_assert_eq(report.placements.size(), 2U);
    cr_assert_eq(report.placements[0].version, 2U);
    cr_assert(report.placements[0].usableIn == std::chrono::milliseconds{250});
    cr_assert(report.placements[1].dropped);
    cr_assert(report.spent == sent.spent);
    cr_assert(report.isDigest());
    cr_assert(report.waiting == sent.waiting);
    cr_assert_eq(read->used.front().target, std::string("m/a"));
    cr_assert_eq(read->wanted.front().target, std::string("m/b"));
    cr_assert_eq(read->wanted.front().unfit.size(), 1U);
    cr_assert_eq(read->found.front().instance, std::string("e3"));
    cr_assert_eq(read->registry.size(), 2U);
    cr_assert(read->registry[0].view == RegistryView::OwnRecords);
    cr_assert(read->registry[1].view == RegistryView::OperatorDocuments);
    const auto &delta = read->registry[0].delta;
    cr_assert_eq(delta.after, 7);
    cr_assert_eq(delta.revision, 12);
    cr_assert(delta.age == std::chrono::milliseconds{30});
    cr_assert_not(read->registry[1].delta.age.has_value());
    cr_assert_eq(delta.changes.size(), 2U);
    cr_assert_eq(*delta.changes[0].value, std::string("{}"));
    cr_assert_not(delta.changes[1].value.has_value());
    cr_assert_eq(delta.changes[1].revision, 9);
}

Test(GatewayMessage, omitsAddress)
{
    auto message = example();
    auto &from = message.reports.front().from;
    from = {};
    from.node = "n1";
    from.startedAt = 7;
    const auto read = decodeGatewayMessage(encode(message));
    cr_assert(read && read->reports.size() == 1);
    cr_assert_eq(read->reports.front().from.node, std::string("n1"));
    cr_assert_eq(read->reports.front().from.startedAt, 7);
    cr_assert_eq(read->reports.front().from.callers.port, 0);
}

TABLE_TEST(GatewayMessage, skipsMalformedReports, malformedReports)
{
    const auto read = decodeGatewayMessage(row);
    cr_assert(read && read->reports.empty());
}

TABLE_TEST(GatewayMessage, rejectsMalformedMessages, malformed)
{
    cr_assert_not(decodeGatewayMessage(row).has_value());
}

namespace
{

struct ReachCase {
    const char *fields;
    std::size_t failed;
    std::size_t contacts;
    std::size_t cutOff;
    bool hasCutOff;
};

const ReachCase reachCases[] = {
    {R"("open":true)", 0, 0, 0, false},
    {R"("failed_reach":7,"contacts":"u","unreached":{})", 0, 0, 0, false},
    {R"("failed_reach":[7,[],[3],["u"]],"contacts":[[]],"unreached":[])", 1, 0, 0, true},
    {R"("failed_reach":[["u",1e300,"x"]],"unreached":[["u",5],["v",{}],null])", 1, 0, 2, true},
    {R"("contacts":[["u",7,-1],["u",7,9000000000000000000],["u",7,1e300],["u",7],["u",7,40]])", 0, 1, 0, false},
};

} // namespace

TABLE_TEST(GatewayMessage, readsReachOfAnySender, reachCases)
{
    const auto text = R"({"sender":"n","reports":[{"from":{"node":"n"},)" + std::string(row.fields) + "}]}";
    const auto read = decodeGatewayMessage(text);
    cr_assert(read.has_value(), "%s", row.fields);
    const auto &report = read->reports.front();
    cr_assert_eq(report.failedReach.size(), row.failed, "%s", row.fields);
    cr_assert_eq(report.contacts.size(), row.contacts, "%s", row.fields);
    cr_assert_eq(report.cutOff.size(), row.cutOff, "%s", row.fields);
    cr_assert_eq(report.hasCutOff, row.hasCutOff, "%s", row.fields);
}

namespace
{

struct SpentCase {
    const char *name;
    const char *fields;
    std::map<std::string, double> spent;
};

const SpentCase spentCases[] = {
    {"previous build", R"("open":true)", {}},
    {"of another type", R"("spent":{"o":1})", {}},
    {"rows of another type", R"("spent":[7,[],["o"],[1,2],["",3],["p","4"],["q",5]])", {{"q", 5}}},
    {"odd sums", R"("spent":[["o",-1],["p",1e16],["q",1e300],["r",1e999],["s",null],["t",2.5]])", {{"t", 2.5}}},
};

struct WaitingCase {
    const char *fields;
    std::size_t counts; ///< That are read.
};

const WaitingCase waitingCases[] = {
    {R"("open":true)", 0}, // Of a node of an earlier build.
    {R"("waiting":[["s",0,3],["s",9,1]])", 2},
    {R"("waiting":[["s",10,3],["",1,3],["s",1],["s",-1,2],7,[]])", 0},
    {R"("waiting":{"s":3})", 0},
};

} // namespace

/// Guards against sums that exhaust or fill an organisation's limit at all nodes that read them.
TABLE_TEST(GatewayMessage, takesValidSumsOnly, spentCases)
{
    const auto text = R"({"sender":"n","reports":[{"from":{"node":"n"},)" + std::string(row.fields) + "}]}";
    const auto read = decodeGatewayMessage(text);
    if (!read)
        return; // Not JSON.
    cr_assert(read->reports.front().spent == row.spent, "%s", row.name);
}

/// Guards against counts of an urgency that does not exist, which would be written outside a table.
TABLE_TEST(GatewayMessage, readsValidWaitingCounts, waitingCases)
{
    const auto text = R"({"sender":"n","reports":[{"from":{"node":"n"},)" + std::string(row.fields) + "}]}";
    const auto read = decodeGatewayMessage(text);
    cr_assert(read && read->reports.size() == 1, "%s", row.fields);
    cr_assert_eq(read->reports.front().waiting.size(), row.counts, "%s", row.fields);
}

/// Guards against a report that takes a receiver's memory.
Test(GatewayMessage, boundsWaitingCounts)
{
    NodeReport report;
    report.from.node = "n";
    for (unsigned i = 0; i < 5000; ++i)
        report.waiting.push_back({"s" + std::to_string(i), 1, 1});
    GatewayMessage message;
    message.sender = "n";
    message.reports = {report};
    cr_assert_eq(decodeGatewayMessage(encode(message))->reports.front().waiting.size(), 40U);
}

Test(GatewayMessage, boundsReachOfAnySender)
{
    NodeReport report;
    report.from.node = "n";
    report.hasCutOff = true;
    for (std::int64_t i = 0; i < 5000; ++i) {
        report.failedReach.push_back({{"e" + std::to_string(i), i}, true});
        report.contacts.push_back({{"e" + std::to_string(i), i}, {}});
        report.cutOff.push_back({"e" + std::to_string(i), i});
    }
    GatewayMessage message;
    message.sender = "n";
    message.reports = {report};
    const auto read = decodeGatewayMessage(encode(message))->reports.front();
    cr_assert_eq(read.failedReach.size(), Reachability::maxReported);
    cr_assert_eq(read.contacts.size(), Reachability::maxReported);
    cr_assert_eq(read.cutOff.size(), Reachability::maxReported);
}

namespace
{

struct AddressCase {
    const char *callers;
    const char *peers;
    bool isWhole;
};

const AddressCase addresses[] = {
    {"127.0.0.1:80", "127.0.0.1:90", true},
    {"[::1]:80", "[::1]:90", true},
    {"somewhere:80", "127.0.0.1:90", false},
    {"127.0.0.1:80", "elsewhere:90", false},
    {"127.0.0.1:0", "127.0.0.1:90", false},
    {"127.0.0.1:65536", "127.0.0.1:90", false},
    {"127.0.0.1:80", "127.0.0.1:-1", false},
    {"127.0.0.1:80", "127.0.0.1:1000000000", false},
    {"127.0.0.1:80", "127.0.0.1:90x", false},
    {"127.0.0.1", "127.0.0.1:90", false},
    {"127.0.0.1:80", "127.0.0.1.1:90", false},
    {"127.0.0.1:80", ":90", false},
    {"127.0.0.1:80", "", false},
};

} // namespace

/// Guards against a node that ends when it sends to the address in an odd entry or report.
TABLE_TEST(GatewayMessage, takesConnectableAddressesOnly, addresses)
{
    const auto address = std::string(R"({"node":"n","domain":"d","region":"r","started":1,"callers":")") + row.callers
                         + R"(","peers":")" + row.peers + R"("})";
    cr_assert_eq(decodeNodeAddress(address).has_value(), row.isWhole);
    const auto read = decodeGatewayMessage(R"({"sender":"n","reports":[{"from":)" + address + "}]}");
    cr_assert(read.has_value());
    cr_assert_eq(read->reports.size(), row.isWhole ? 1U : 0U);
}

namespace
{

const char *const oddFigures[] = {
    "1e999",
    "-1e999",
    "1e300",
    "-1e300",
    "100000000000000000000000000000",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "18446744073709551616.0",
    "4294967295",
    "-1",
    "0.5",
    R"("7")",
    "null",
    "true",
    "[[[[[[[[[]]]]]]]]]",
    "{}",
};

bool isTime(Duration time)
{
    return std::chrono::abs(time) <= std::chrono::hours{24};
}

bool isFigure(double figure)
{
    return std::abs(figure) <= 1e9;
}

/// Returns a message in which each number is @p figure.
std::string messageOf(const std::string &figure)
{
    auto text
        = std::string(R"({"sender":"n","reports":[{"from":{"node":"m","started":#},"sequence":#,)")
          + R"("in_flight":[["u",#]],"changed_in_flight":[["u",#]],"steps":[["u",#,#,#,#]],"speeds":[["s",#,#,#,#]],)"
          + R"("prompts":[["u",#,#,#]],"limits":[["u",#,#,#,#]],"released":[[#,#,#]],"ordering":[#],)"
          + R"("spent":[["o",#]],"acquittals":[["part/1",#]],"turned_away":[["u",#,#]],"placements":[["u","m/a",#,false,#]]}],)"
          + R"("used":[["s","m/a",#]],"wanted":[["s","m/a",#]],"shard":#,"found":[["u","m/a",#,false,#]],)"
          + R"("registry":[{"view":"upstreams","after":#,"revision":#,"age":#,"changes":[[#,"k","v"]]}]})";
    for (auto at = text.find('#'); at != std::string::npos; at = text.find('#', at + figure.size()))
        text.replace(at, 1, figure);
    return text;
}

} // namespace

/// Guards against figures of a datagram that overflow, or that no conversion defines.
TABLE_TEST(GatewayMessage, boundsFigures, oddFigures)
{
    const auto read = decodeGatewayMessage(messageOf(row));
    if (!read)
        return; // Not JSON.
    for (const auto &report : read->reports) {
        for (const auto &[instance, requests] : report.inFlight)
            cr_expect(isFigure(requests), "in flight");
        for (const auto &[instance, requests] : report.changedInFlight)
            cr_expect(isFigure(requests), "changed in flight");
        for (const auto &step : report.steps)
            cr_expect(isFigure(step.stepMs) && isFigure(step.recent.ms) && isFigure(step.recent.weight)
                          && isTime(step.age),
                      "step");
        for (const auto &speed : report.speeds)
            cr_expect(isFigure(speed.speed.stepMs) && isFigure(speed.speed.answerMs), "speed");
        for (const auto &send : report.sends)
            cr_expect(isFigure(send.tokens) && isTime(send.in) && isFigure(send.requests), "send");
        for (const auto &limit : report.limits)
            cr_expect(isTime(limit.age) && isFigure(limit.perSecond.value_or(0)) && limit.perSecond.value_or(0) >= 0
                          && isFigure(limit.earlierSends),
                      "limit");
        for (const auto &released : report.released)
            cr_expect(isTime(released.sinceLastOrder), "released");
        for (const auto &acquittal : report.acquittals)
            cr_expect(isTime(acquittal.age), "acquittal");
        for (const auto &turnedAway : report.turnedAway)
            cr_expect(isTime(turnedAway.time), "turned away");
        for (const auto &[organisation, sum] : report.spent)
            cr_expect(sum >= 0 && sum <= 1e15, "spent");
        for (const auto &placement : report.placements)
            cr_expect(isTime(placement.usableIn), "placement");
    }
    for (const auto &wanted : read->wanted)
        cr_expect(isFigure(wanted.requests) && wanted.requests >= 0, "wanted");
    for (const auto &found : read->found)
        cr_expect(isTime(found.usableIn), "found");
    for (const auto &update : read->registry)
        cr_expect(isTime(update.delta.age.value_or(Duration{})), "registry");
}

namespace
{

struct UpdateCase {
    const char *name;
    const char *update; ///< Without the view.
    bool isUpdate;
};

const UpdateCase updateCases[] = {
    {"usual", R"("after":7,"revision":9,"changes":[[8,"k","v"],[9,"l"]])", true},
    {"confirmation", R"("after":7,"revision":7,"changes":[])", true},
    {"without a revision", R"("after":7,"changes":[])", false},
    {"revision before the start", R"("after":7,"revision":5,"changes":[])", false},
    {"negative", R"("after":-7,"revision":5,"changes":[])", false},
    {"beyond any store's revisions", R"("after":7,"revision":9223372036854775807,"changes":[])", false},
    {"infinite", R"("after":7,"revision":1e999,"changes":[])", false},
    {"change before the start", R"("after":7,"revision":9,"changes":[[7,"k","v"]])", true}, // Receivers have it.
    {"value of another type", R"("after":7,"revision":9,"changes":[[8,"k",7]])", false},
};

} // namespace

/// Guards against a node that stops following the store after an odd datagram has moved its revision ahead.
TABLE_TEST(GatewayMessage, takesConsistentUpdatesOnly, updateCases)
{
    const auto read = decodeGatewayMessage(R"({"sender":"n","reports":[],"registry":[{"view":"upstreams",)"
                                           + std::string(row.update) + "}]}");
    cr_assert(read.has_value());
    cr_assert_eq(read->registry.size(), row.isUpdate ? 1U : 0U, "%s", row.name);
}
