#include "entry/failureresponse.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

const Failure failures[] = {
    {Verdict::NotRun, ErrorCode::Overloaded, "queue is \"full\"", std::chrono::milliseconds{1500}},
    {Verdict::MayHaveRun, ErrorCode::UpstreamLost, "", std::nullopt},
    {Verdict::Ran, ErrorCode::Duplicate, "x", Duration{1}},
};

} // namespace

TABLE_TEST(FailureResponse, roundTrips, failures)
{
    const auto response = failureResponse(row);
    const auto failure = parseFailure(response.body);
    cr_assert(failure.has_value());
    cr_assert_eq(failure->verdict, row.verdict);
    cr_assert_eq(failure->code, row.code);
    cr_assert_eq(failure->message, row.message);
    cr_assert_eq(failure->retryAfter.has_value(), row.retryAfter.has_value());
    cr_assert_eq(response.headers.contains("Retry-After"), row.retryAfter.has_value());
    cr_assert_geq(response.status, 400);
}

Test(FailureResponse, roundsRetryAfterUp)
{
    cr_assert_eq(failureResponse(failures[0]).headers.get("Retry-After"), std::string("2"));
}
