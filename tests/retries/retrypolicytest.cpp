#include "retries/retrypolicy.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr std::chrono::milliseconds noDeadline{0};

struct Case {
    bool idempotent;
    Verdict earlier; ///< Combined verdict of earlier attempts.
    Verdict verdict; ///< Verdict of the attempt that just failed.
    ErrorCode code;
    std::chrono::milliseconds left; ///< Time left until the deadline.
    bool retries; ///< True if a Retry is expected.
    bool hasRetryAfter; ///< True if a GiveUp is expected to have a retryAfter.
};

using enum Verdict;

const Case cases[] = {
    {true, NotRun, NotRun, ErrorCode::UpstreamRefused, noDeadline, true, false},
    {true, NotRun, MayHaveRun, ErrorCode::UpstreamLost, noDeadline, true, false},
    {true, MayHaveRun, Ran, ErrorCode::UpstreamFailed, noDeadline, true, false},
    {true, MayHaveRun, NotRun, ErrorCode::NoUpstream, noDeadline, false, true},
    {true, NotRun, NotRun, ErrorCode::Quarantined, noDeadline, false, false},
    {true, NotRun, NotRun, ErrorCode::UnknownAdapter, noDeadline, false, false},
    {true, NotRun, MayHaveRun, ErrorCode::UpstreamLost, std::chrono::milliseconds{40}, false, true},
    {false, NotRun, NotRun, ErrorCode::UpstreamRefused, noDeadline, true, false},
    {false, NotRun, NotRun, ErrorCode::NotOwner, noDeadline, true, false},
    {false, NotRun, MayHaveRun, ErrorCode::UpstreamLost, noDeadline, false, false},
    {false, NotRun, Ran, ErrorCode::UpstreamFailed, noDeadline, false, false},
    {false, NotRun, NotRun, ErrorCode::Overloaded, noDeadline, false, true},
};

FailedAttempt failedAt(const char *upstream, Verdict verdict, ErrorCode code)
{
    return {{verdict, code, "failed", std::nullopt}, UpstreamId{upstream}};
}

} // namespace

TABLE_TEST(RetryPolicy, retriesOnlyRepeatableCalls, cases)
{
    RetryPolicy policy{{}, {}, 1};
    CallAttributes call;
    call.idempotent = row.idempotent;
    if (row.left != noDeadline)
        call.deadline = start + row.left;
    RetryHistory history;
    history.verdict = row.earlier;
    history.tokensDelivered = 7;
    const auto decision = policy.onFailure(call, history, failedAt("u", row.verdict, row.code), start);
    const auto *retry = std::get_if<Retry>(&decision);
    cr_assert_eq(retry != nullptr, row.retries);
    if (retry) {
        cr_assert_eq(retry->resumeFrom, 7);
        return;
    }
    const auto &failure = std::get<GiveUp>(decision).failure;
    cr_assert_eq(failure.verdict, combine(row.earlier, row.verdict));
    cr_assert_eq(failure.retryAfter.has_value(), row.hasRetryAfter);
}

Test(RetryPolicy, excludesFailedUpstreamsUntilAttemptsRunOut)
{
    RetryPolicy policy{{}, {}, 1};
    const CallAttributes call;
    RetryHistory history;
    for (unsigned i = 1; i < RetrySettings{}.maxAttempts; ++i) {
        const auto name = std::to_string(i);
        const auto decision
            = policy.onFailure(call, history, failedAt(name.c_str(), MayHaveRun, ErrorCode::UpstreamLost), start);
        cr_assert_eq(std::get<Retry>(decision).excluded.size(), i);
        cr_assert(std::get<Retry>(decision).delay <= RetrySettings{}.maxDelay);
    }
    const auto last = policy.onFailure(call, history, failedAt("z", NotRun, ErrorCode::UpstreamRefused), start);
    cr_assert_eq(std::get<GiveUp>(last).failure.verdict, MayHaveRun);
}

Test(RetryPolicy, staysWithinTheBudget)
{
    RetryPolicy policy{{}, {0.0, 2.0, 0.0}, 1};
    const CallAttributes call;
    int retries = 0;
    for (int i = 0; i < 10; ++i) {
        RetryHistory history;
        const auto decision
            = policy.onFailure(call, history, failedAt("u", MayHaveRun, ErrorCode::UpstreamLost), start);
        retries += std::holds_alternative<Retry>(decision) ? 1 : 0;
    }
    cr_assert_eq(retries, 2);
}
