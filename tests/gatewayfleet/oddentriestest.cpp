#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <string>
#include <utility>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

using Entries = std::vector<std::pair<std::string, std::string>>; ///< Keys and values.

std::string recordOf(const std::string &slots, const std::string &address)
{
    return R"({"service":"s","address":")" + address + R"(","zone":"z","version":"v1","slots":)" + slots
           + R"(,"state":"ready","cold_ms":0,"seq":4,"born":1700000000000})";
}

std::string nodeOf(const std::string &callers, const std::string &peers)
{
    return R"({"node":"odd","domain":"z0","region":"r","callers":")" + callers + R"(","peers":")" + peers
           + R"(","started":1,"capacity":1})";
}

std::string nested(int depth)
{
    return R"({"service":)" + std::string(static_cast<std::size_t>(depth), '[')
           + std::string(static_cast<std::size_t>(depth), ']') + "}";
}

Entries oddRecords()
{
    return {
        {"servers/odd-depth", nested(30)},
        {"servers/odd-deeper", nested(1000)},
        {"servers/odd-deepest", nested(100000)},
        {"servers/odd-infinite", recordOf("1e999", "127.0.0.1:9")},
        {"servers/odd-digits", recordOf("100000000000000000000000000000", "127.0.0.1:9")},
        {"servers/odd-negative", recordOf("-1.0", "127.0.0.1:9")},
        {"servers/odd-port", recordOf("4", "127.0.0.1:65536")},
        {"servers/odd-no-port", recordOf("4", "127.0.0.1:0")},
        {"servers/odd-negative-port", recordOf("4", "127.0.0.1:-1")},
        {"servers/odd-large-port", recordOf("4", "127.0.0.1:1000000000")},
        {"servers/odd-name", recordOf("4", "somewhere:80")},
        {"servers/odd\r\nX-Request-Priority: 0", recordOf("4", "127.0.0.1:9")},
        {"servers/", recordOf("4", "127.0.0.1:9")},
        {"servers/odd-bytes", std::string("\xff\xfe\0{", 4)},
        {"servers/odd-empty", ""},
    };
}

Entries oddOwnEntries()
{
    return {
        {"gypsumtally/x", "1"},
        {"gypsumtally/", "{}"},
        {"gypsumtally/nodes/odd-name", nodeOf("somewhere:80", "elsewhere:90")},
        {"gypsumtally/nodes/odd-port", nodeOf("127.0.0.1:65536", "127.0.0.1:-1")},
        {"gypsumtally/nodes/", nested(1000)},
        {"gypsumtally/quarantine/odd", R"({"crashes":-1,"decided_ms":1e300})"},
        {"gypsumtally/quarantine/part-zz", nested(100000)},
        {"gypsumtally/software/s", R"({"serving":[1e300,"v1"],"left_ms":{"v0":1e300}})"},
        {"gypsumtally/software/t", "[]"},
        {"gypsumtally/estimates", R"({"store_factor":1e999,"speeds":[{"service":"s","step_ms":1e999}]})"},
        {"gypsumtally/order-term/9", R"({"term":-1})"},
        {"gypsumtally/order-holder/x", nested(30)},
    };
}

Entries oddOperatorEntries()
{
    return {
        {"op/version/m.a1", R"({"model":"m","adapter":"a1","version":1e300})"},
        {"op/version/m.a2", R"({"model":"m","adapter":"a2","version":-1.0})"},
        {"op/version/", "[]"},
        {"op/", nested(1000)},
        {"op/config/odd", R"({"version":1e300})"},
        {"op/version/m.a3", nested(100000)},
    };
}

/// An entry that does not fit a datagram, as large as the platform permits.
Entries largeEntries()
{
    return {{"servers/odd-large", recordOf("1e999", std::string(1000000, '1') + ":80")}};
}

struct EntriesCase {
    const char *name;
    Entries (*entries)();
    bool isReadAtOnce; ///< Each change answers a watch of the node that reads for all; records are read in batches.
};

const EntriesCase entriesCases[] = {
    {"records of upstreams", oddRecords, false},
    {"entries under the nodes' own prefix", oddOwnEntries, true},
    {"documents of operators", oddOperatorEntries, true},
    {"large record", largeEntries, false},
};

constexpr int rewrites = 20;
constexpr Duration rewritePause = milliseconds{100};
constexpr Duration phase = rewritePause * rewrites;
/// Ratio of the store's calls while entries are rewritten to those before; heartbeats answer watches as often.
constexpr double maxCallRatio = 1.5;

} // namespace

/// Guards against nodes that end, stop following the list or read it again and again, as another writer's entry is odd.
TABLE_TEST(OddEntries, nodesFollowOthers, entriesCases)
{
    Fleet fleet({3, 1, 2}, 1);
    fleet.waitUntilReady();
    fleet.setLoad({40, 0, 0, 0, 0});
    fleet.run(seconds{2});
    const auto callsAtStart = fleet.store().calls();
    fleet.run(phase);
    const auto usualCalls = fleet.store().calls() - callsAtStart;
    const auto entries = row.entries();
    for (int i = 0; i < rewrites; ++i) {
        fleet.after(rewritePause * i, [&] {
            for (const auto &[key, value] : entries)
                fleet.store().put(key, value);
        });
    }
    fleet.run(phase);
    const auto calls = fleet.store().calls() - callsAtStart - usualCalls;
    for (std::size_t number = 0; number < fleet.workers(); ++number) {
        fleet.worker(number).crash(milliseconds{300});
        fleet.run(seconds{2});
    }
    fleet.clearTallies();
    fleet.run(seconds{2});
    for (const auto &[key, value] : entries)
        fleet.store().remove(key);
    fleet.run(seconds{1});
    fleet.setLoad({});
    fleet.run(seconds{1});
    const auto &reads = fleet.tally(CallerRequest::Read);
    cr_expect(reads.sent > 0 && reads.served >= reads.sent, "%s: %u of %u requests served", row.name, reads.served,
              reads.sent);
    const auto maxCalls = maxCallRatio * usualCalls + (row.isReadAtOnce ? rewrites : 0);
    cr_expect_leq(calls, maxCalls, "%s: %u calls to the store, %u before", row.name, calls, usualCalls);
    const auto problems = fleet.finish();
    cr_expect(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(),
              problems.empty() ? "" : problems.front().c_str());
}

namespace
{

constexpr unsigned nodes = 3;
constexpr unsigned maxLinesPerSecond = 20; ///< Of one node, about one kind of event.

const EntriesCase loggedCases[] = {
    {"records of upstreams", oddRecords, false},
    {"entries under the nodes' own prefix", oddOwnEntries, true},
    {"documents of operators", oddOperatorEntries, true},
};

} // namespace

/// Guards against logs that grow without a bound while another writer rewrites odd entries.
TABLE_TEST(OddEntries, logsWithinBound, loggedCases)
{
    Fleet fleet({nodes, 1, 1}, 1);
    fleet.waitUntilReady();
    const auto entries = row.entries();
    constexpr int frequentRewrites = 200;
    for (int i = 0; i < frequentRewrites; ++i) {
        fleet.after(milliseconds{10} * i, [&] {
            for (const auto &[key, value] : entries) {
                if (value.size() < 1000)
                    fleet.store().put(key, value);
            }
        });
    }
    fleet.run(seconds{4});
    const auto lines = fleet.logLines("bad_document");
    cr_expect(lines > 0, "%s: no line", row.name);
    cr_expect_leq(lines, nodes * maxLinesPerSecond * 5, "%s: %u lines", row.name, lines);
    const auto problems = fleet.finish();
    cr_expect(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(),
              problems.empty() ? "" : problems.front().c_str());
}
