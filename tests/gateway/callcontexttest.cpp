#include "gateway/callcontext.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant declared{std::chrono::seconds{100}};

Instant timeAt(int milliseconds)
{
    return declared + std::chrono::milliseconds{milliseconds};
}

struct Declaration {
    int atMs = 0;
    std::uint64_t version = 0;
};

struct VersionCase {
    const char *target;
    std::vector<Declaration> declarations; ///< Of m/a.
    int atMs;
    std::uint64_t least;
};

std::vector<Declaration> inSuccession(int count, int pauseMs)
{
    std::vector<Declaration> declarations;
    declarations.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        declarations.push_back({i * pauseMs, static_cast<std::uint64_t>(i) + 2});
    return declarations;
}

const VersionCase versions[] = {
    {"m/other", {{0, 2}}, 9000, 0},
    {"m/a", {{0, 2}}, 500, 0}, // The older version serves while the new one is loaded.
    // Requests may queue in an engine for seconds, and must start on the new version within 5 s of its declaration.
    {"m/a", {{0, 2}}, 2000, 2},
    {"m/a", {{0, 2}}, 9000, 2},
    // Each version has a bound of its own, which a later declaration does not extend.
    {"m/a", {{0, 2}, {14000, 3}}, 14001, 2},
    {"m/a", {{0, 2}, {14000, 3}}, 14500, 2},
    {"m/a", {{0, 2}, {14000, 3}}, 16000, 3},
    {"m/a", {{0, 2}, {1000, 3}}, 1100, 0},
    {"m/a", {{0, 2}, {1000, 3}}, 1300, 2},
    {"m/a", {{0, 2}, {600, 3}, {1100, 4}}, 1900, 3},
    {"m/a", inSuccession(10, 1000), 9100, 9},
    {"m/a", inSuccession(10, 100), 1250, 2},
    {"m/a", inSuccession(10, 100), 1950, 9},
    {"m/a", inSuccession(10, 100), 2200, 11},
    // Declarations that a node learns together, or out of order.
    {"m/a", {{0, 2}, {0, 3}}, 1300, 3},
    {"m/a", {{0, 3}, {500, 2}}, 1300, 3},
    {"m/a", {{0, 2}, {1100, 2}}, 1300, 2},
};

} // namespace

/// Guards against a request on a version older than the one before the newest, which a declaration let serve again.
TABLE_TEST(CallContext, olderVersionsServeBriefly, versions)
{
    CallContext context;
    for (const auto &each : row.declarations)
        context.declare("m/a", each.version, timeAt(each.atMs), timeAt(each.atMs));
    cr_assert_eq(context.minVersion(row.target, timeAt(row.atMs)), row.least);
}

namespace
{

constexpr int unknown = -1;

struct LateCase {
    const char *name;
    int earliestMs; ///< Earliest time at which version 3 may have been declared.
    int learnedMs;
    int atMs;
    std::uint64_t least;
};

const LateCase lates[] = {
    {"learned soon", 0, 900, 2000, 2},         {"learned soon, over", 0, 900, 2150, 3},
    {"learned late", 0, 2000, 2100, 2},        {"learned late, over", 0, 2000, 2500, 3},
    {"learned too late", 0, 4000, 4000, 3},    {"process was suspended", 0, 60000, 60000, 3},
    {"read at the start", unknown, 50, 50, 3},
};

} // namespace

/// Guards against an older version that serves for longer where a node learns of a declaration late or at its start.
TABLE_TEST(CallContext, graceCountsFromDeclaration, lates)
{
    CallContext context;
    context.declare("m/a", 2, Instant::min(), timeAt(-9000));
    const auto earliest = row.earliestMs == unknown ? Instant::min() : timeAt(row.earliestMs);
    context.declare("m/a", 3, earliest, timeAt(row.learnedMs));
    cr_assert_eq(context.minVersion("m/a", timeAt(row.atMs)), row.least, "%s", row.name);
}

namespace
{

struct BeginningCase {
    std::vector<Declaration> declarations;
    int atMs;
    std::uint64_t oldest;
};

const BeginningCase beginnings[] = {
    {{}, 9000, 0},
    {{{0, 2}}, 4000, 0},
    {{{0, 2}}, 4600, 2},
    {{{0, 2}, {2000, 3}}, 4600, 2},
    {{{0, 2}, {2000, 3}}, 6600, 3},
    {{{0, 2}, {2000, 3}, {4000, 4}}, 4600, 2}, // The grace period of version 3 is over, its bound is not.
    {inSuccession(10, 1000), 9600, 7},
};

} // namespace

TABLE_TEST(DeclaredVersion, requestsBeginWithinBound, beginnings)
{
    DeclaredVersion version;
    for (const auto &each : row.declarations)
        version.declare(each.version, timeAt(each.atMs), timeAt(each.atMs));
    cr_assert_eq(version.oldestBeginning(timeAt(row.atMs)), row.oldest);
}
