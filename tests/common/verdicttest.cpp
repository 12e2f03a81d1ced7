#include "common/verdict.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct Case {
    Verdict first;
    Verdict second;
    Verdict both;
};

const Case cases[] = {
    {Verdict::NotRun, Verdict::NotRun, Verdict::NotRun},
    {Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun},
    {Verdict::MayHaveRun, Verdict::NotRun, Verdict::MayHaveRun},
    {Verdict::MayHaveRun, Verdict::Ran, Verdict::Ran},
};

} // namespace

TABLE_TEST(Verdict, combinedVerdict, cases)
{
    cr_assert_eq(combine(row.first, row.second), row.both);
}

Test(Verdict, errorCodeNames)
{
    for (const auto &[value, name] : enumNames<ErrorCode>) {
        cr_assert_eq(valueOf<ErrorCode>(name).value(), value);
        cr_assert_eq(nameOf(value), name);
    }
}
