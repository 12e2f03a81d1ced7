#include "support/knownred.h"

#include "support/table.h"

#include <cstdlib>
#include <stdexcept>

using namespace Gypsumtally::Testing;

namespace
{

void list(const char *cases)
{
    setenv("GYPSUMTALLY_CTEST", "soak", 1);
    setenv("GYPSUMTALLY_KNOWN_RED", cases, 1);
}

struct SeedCase {
    const char *name;
    const char *listed;
    std::vector<std::uint64_t> seeds; ///< Of seeds 2 to 4.
};

const SeedCase seedCases[] = {
    {"none", "", {2, 3, 4}},
    {"one between others", "soak / seed 3", {2, 4}},
    {"first and last", "soak / seed 2\nsoak / seed 4\n", {3}},
    {"all", "soak / seed 2\nsoak / seed 3\nsoak / seed 4", {}},
    {"of other programs", "soaks / seed 3\nlong-soak / seed 3", {2, 3, 4}},
};

const char *const wrongSeeds[]
    = {"soak / seed 1", "soak / seed 5", "soak / seed 30", "soak / sed 3", "soak / seed 3 ", "soak / Suite/test"};

struct RowCase {
    const char *name;
    const char *listed;
    std::vector<std::size_t> rows;
};

const RowCase rowCases[] = {
    {"none", "", {0, 1, 2, 3}},
    {"one between others", "soak / Suite/test / b", {0, 2, 3}},
    {"name that begins another", "soak / Suite/test / a", {1, 2, 3}},
    {"name with a separator", "soak / Suite/test / a / c", {0, 1, 3}},
    {"of other tests", "soak / Suite/tests / b\nsoak / Suite/tes / b\nother / Suite/test / b", {0, 1, 2, 3}},
};

const char *const wrongRows[] = {"soak / Suite/test / c", "soak / Suite/test / row 1", "soak / Suite/test / twin"};

} // namespace

TABLE_TEST(KnownRed, passesOverListedSeedsAlone, seedCases)
{
    list(row.listed);
    cr_assert(seedsToRun(2, 3) == row.seeds, "%s", row.name);
}

TABLE_TEST(KnownRed, refusesSeedsThatAreNotRun, wrongSeeds)
{
    list(row);
    cr_assert_throw(seedsToRun(2, 3), std::runtime_error, "%s", row);
}

TABLE_TEST(KnownRed, passesOverListedRowsAlone, rowCases)
{
    list(row.listed);
    cr_assert(rowsToRun("Suite/test", {"a", "b", "a / c", "d"}) == row.rows, "%s", row.name);
}

TABLE_TEST(KnownRed, refusesRowsThatDoNotExistOrAreAmbiguous, wrongRows)
{
    list(row);
    cr_assert_throw(rowsToRun("Suite/test", {"a", "b", "twin", "twin"}), std::runtime_error, "%s", row);
}
