#include "gateway/revisiontimes.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr int unknown = -1;

struct Point {
    Revision revision;
    int time; ///< In seconds.
};

struct TimeCase {
    const char *name;
    std::vector<Point> points;
    Revision revision;
    int earliest;
};

const TimeCase times[] = {
    {"nothing known", {}, 5, unknown},
    {"made before", {{5, 10}}, 5, unknown},
    {"made after", {{5, 10}}, 6, 10},
    {"between two", {{5, 10}, {9, 12}}, 7, 10},
    {"after both", {{5, 10}, {9, 12}}, 10, 12},
    {"same revision later", {{5, 10}, {5, 14}}, 6, 14},
    {"lower revision later", {{9, 10}, {5, 14}}, 6, 14}, // An answer that another node has passed on.
    {"lower revision earlier", {{9, 14}, {5, 10}}, 7, 10},
    {"higher revision earlier", {{5, 14}, {9, 10}}, 10, 14},
};

} // namespace

TABLE_TEST(RevisionTimes, tellsEarliestTime, times)
{
    RevisionTimes known;
    for (const auto &[revision, time] : row.points)
        known.record(revision, Instant{std::chrono::seconds{time}});
    const auto expected = row.earliest == unknown ? Instant::min() : Instant{std::chrono::seconds{row.earliest}};
    cr_assert(known.earliestTimeOf(row.revision) == expected, "%s", row.name);
}

Test(RevisionTimes, isBounded)
{
    RevisionTimes known;
    for (int i = 1; i <= 1000; ++i)
        known.record(i, Instant{std::chrono::seconds{i}});
    cr_assert(known.earliestTimeOf(1000) == Instant{std::chrono::seconds{999}});
    cr_assert(known.earliestTimeOf(10) == Instant::min());
}
