#include "access/accesstable.h"

#include "support/table.h"

#include <limits>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Access;

namespace
{

Organisation organisation(std::string name, std::vector<std::string> keys, unsigned priority = 5,
                          Allowances::Limit limit = {})
{
    return {std::move(name), std::move(keys), priority, limit};
}

const std::vector<Organisation> two{organisation("a", {"ka", "ka2"}, 1), organisation("b", {"kb"}, 3)};

struct IdentifyCase {
    const char *name;
    std::optional<std::vector<Organisation>> organisations;
    const char *key;
    bool isPublic;
    std::optional<Identity> identity; ///< Nothing: refused.
};

const IdentifyCase identifyCases[] = {
    {"no organisations, no key", std::nullopt, "", false, Identity{}},
    {"no organisations, a key", std::nullopt, "ka", false, Identity{}},
    {"empty list", std::vector<Organisation>{}, "ka", false, std::nullopt},
    {"empty list, public", std::vector<Organisation>{}, "", true, Identity{true, ""}},
    {"first key", two, "ka", false, Identity{true, "a"}},
    {"further key", two, "ka2", false, Identity{true, "a"}},
    {"other organisation", two, "kb", false, Identity{true, "b"}},
    {"unknown", two, "kc", false, std::nullopt},
    {"missing", two, "", false, std::nullopt},
    {"prefix of a key", two, "k", false, std::nullopt},
    {"another case", two, "KA", false, std::nullopt},
    {"public, known", two, "kb", true, Identity{true, "b"}},
    {"public, unknown", two, "kc", true, Identity{true, ""}},
    {"public, missing", two, "", true, Identity{true, ""}},
};

struct ProblemCase {
    const char *name;
    std::vector<Organisation> organisations;
    bool isGood;
};

const ProblemCase problems[] = {
    {"two", two, true},
    {"none", {}, true},
    {"without keys", {organisation("a", {})}, true},
    {"key stated twice", {organisation("a", {"s3cret", "s3cret"})}, true},
    {"name with a space and beyond ASCII", {organisation("\xc3\x96vg\xc3\xbc 1", {})}, true},
    {"without a name", {organisation("", {"s3cret"})}, false},
    {"line break in the name", {organisation("a\r\nX-Hold: 1", {"s3cret"})}, false},
    {"space before the name", {organisation(" a", {"s3cret"})}, false},
    {"too long a name", {organisation(std::string(201, 'a'), {"s3cret"})}, false},
    {"empty key", {organisation("a", {"s3cret", ""})}, false},
    {"shared key", {organisation("a", {"s3cret"}), organisation("b", {"s3cret"})}, false},
    {"shared name", {organisation("a", {"s3cret"}), organisation("a", {"k"})}, false},
    {"negative rate", {organisation("a", {}, 5, {-1, 0, 1, true})}, false},
    {"negative burst", {organisation("a", {}, 5, {0, -1, 1, true})}, false},
    {"negative plain cost", {organisation("a", {}, 5, {0, 0, -1, true})}, false},
    {"infinite rate", {organisation("a", {}, 5, {std::numeric_limits<double>::infinity(), 0, 1, true})}, false},
};

struct UrgencyCase {
    const char *name;
    std::vector<unsigned> organisations; ///< Priorities.
    std::vector<RouteAccess> routes;
    std::vector<unsigned> urgencies; ///< Of the pairs: by organisation, then by route, as listed.
};

const UrgencyCase urgencyCases[] = {
    {"one pair", {7}, {{3}}, {0}},
    {"organisations go before routes", {1, 2}, {{8}, {0}}, {1, 0, 3, 2}},
    {"equal priorities", {2, 2}, {{1}, {1}}, {0, 0, 0, 0}},
    {"ten pairs", {0, 1, 2, 3, 4}, {{0}, {1}}, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}},
    {"twelve pairs", {0, 1, 2, 3}, {{0}, {1}, {2}}, {0, 0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9}},
    {"large priorities", {4000000000, 100}, {{4000000000}, {12}}, {3, 2, 1, 0}},
    {"with a public route", {1, 9}, {{2, true}}, {0, 2}}, // Those of no organisation are between.
};

std::vector<Organisation> withPriorities(const std::vector<unsigned> &priorities)
{
    std::vector<Organisation> organisations;
    organisations.reserve(priorities.size());
    for (const auto priority : priorities)
        organisations.push_back(organisation("o" + std::to_string(organisations.size()), {}, priority));
    return organisations;
}

} // namespace

/// Guards against requests that are served without a key, or under the name of another organisation.
TABLE_TEST(AccessTable, identifies, identifyCases)
{
    const AccessTable table(row.organisations, {});
    cr_assert_eq(table.isEnabled(), row.organisations.has_value());
    cr_assert(table.identify(row.key, row.isPublic) == row.identity, "%s", row.name);
}

/// Guards against ambiguous organisations, and against a key in the log of bad documents.
TABLE_TEST(AccessTable, findsProblems, problems)
{
    const auto problem = problemOf(row.organisations);
    cr_assert_eq(!problem, row.isGood, "%s", row.name);
    cr_assert(problem.value_or("").find("s3cret") == std::string::npos, "%s", problem.value_or("").c_str());
}

/// Guards against a request that goes before a more urgent one at an engine, which knows only ten urgencies.
TABLE_TEST(AccessTable, keepsTheOrderOfPriorities, urgencyCases)
{
    const AccessTable table(withPriorities(row.organisations), row.routes);
    std::vector<unsigned> urgencies;
    for (std::size_t i = 0; i < row.organisations.size(); ++i) {
        for (const auto &route : row.routes)
            urgencies.push_back(table.urgencyOf({true, "o" + std::to_string(i)}, route.priority));
    }
    cr_assert(urgencies == row.urgencies, "%s", row.name);
}

/// Guards against merged neighbours that leave urgencies unused or out of order, with any number of pairs.
Test(AccessTable, mergesNeighboursEvenly)
{
    for (unsigned pairs = 1; pairs <= 64; ++pairs) {
        std::vector<unsigned> priorities;
        for (unsigned i = 0; i < pairs; ++i)
            priorities.push_back(3 * i);
        const AccessTable table(withPriorities(priorities), {{1}});
        std::vector<unsigned> sizes(lastUrgency + 1);
        unsigned last = 0;
        for (unsigned i = 0; i < pairs; ++i) {
            const auto urgency = table.urgencyOf({true, "o" + std::to_string(i)}, 1);
            cr_assert(urgency >= last && urgency <= lastUrgency);
            last = urgency;
            ++sizes[urgency];
        }
        for (unsigned urgency = 0; urgency <= lastUrgency; ++urgency) {
            const unsigned share = pairs / (lastUrgency + 1);
            cr_assert(sizes[urgency] >= share && sizes[urgency] <= share + 1, "%u pairs, urgency %u", pairs, urgency);
        }
    }
}

/// Guards against another priority header where there are no organisations.
Test(AccessTable, keepsRoutePrioritiesWithoutOrganisations)
{
    const AccessTable table(std::nullopt, {{1}, {12}});
    cr_assert_eq(table.urgencyOf({}, 1), 1U);
    cr_assert_eq(table.urgencyOf({}, 12), lastUrgency);
}
