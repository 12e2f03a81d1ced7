#include "support/table.h"

#include <cstdio>
#include <string>

// Run by knownredscripttest.sh only. Each case prints its name; the row "broken, of 3" and the test "known" fail.

namespace
{

struct SampleCase {
    const char *name;
    bool isBroken;
};

const SampleCase cases[]
    = {{"first", false}, {"broken, of 3", true}, {"last", false}, {"twin", false}, {"twin", false}};
const int numbers[] = {10, 11};
const char *const onlyOne[] = {"only"};

void printRun(const char *test, const std::string &row)
{
    std::printf("ran %s %s\n", test, row.c_str());
    std::fflush(stdout);
}

} // namespace

TABLE_TEST(Sample, rows, cases)
{
    printRun("row", row.name);
    cr_assert_not(row.isBroken);
}

TABLE_TEST(Sample, numbers, numbers)
{
    printRun("number", std::to_string(row));
}

TABLE_TEST(Sample, single, onlyOne)
{
    printRun("single", row);
}

Test(Sample, known)
{
    printRun("known", "");
    cr_assert_fail();
}

Test(Sample, neighbour)
{
    printRun("neighbour", "");
}
