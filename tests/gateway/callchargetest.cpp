#include "gateway/callcharge.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
const std::string organisation = "o";

struct ChargeCase {
    const char *name;
    const char *organisation;
    bool hasTokens;
    bool countsTokens;
    double cost;
};

const ChargeCase chargeCases[] = {
    {"stated tokens", "o", true, true, 1632}, {"no stated tokens", "o", false, true, 200},
    {"requests", "o", true, false, 1},        {"no organisation", "", true, true, 0},
    {"without a limit", "p", true, true, 0},
};

/// An allowance that is full at the start.
Allowances::FleetAllowance fullAllowance(bool countsTokens)
{
    Allowances::FleetAllowance allowance;
    allowance.setLimits({{organisation, {10000, 10000, 200, countsTokens}}}, start - std::chrono::seconds{2});
    for (auto time = std::chrono::milliseconds{2000}; time.count() >= 0; time -= std::chrono::milliseconds{50})
        allowance.setHeardShare(1, start - time);
    return allowance;
}

CallerRequest requestOf(bool hasTokens)
{
    CallerRequest request;
    request.promptTokens = 1460;
    request.outputTokens = 172;
    request.hasTokens = hasTokens;
    return request;
}

} // namespace

/// Guards against calls that are charged by another figure than the limit counts, or charged although they did not run.
TABLE_TEST(CallCharge, chargesOnceUntilSettled, chargeCases)
{
    auto allowance = fullAllowance(row.countsTokens);
    for (const auto verdict : {Verdict::Ran, Verdict::MayHaveRun, Verdict::NotRun}) {
        Allowances::Charge charge;
        const double before = allowance.uses(start).at(organisation).granted;
        cr_assert(chargeCall(allowance, charge, row.organisation, requestOf(row.hasTokens), {}, start).isGranted);
        settleCharge(allowance, charge, verdict, start);
        const double expected = verdict == Verdict::NotRun ? 0 : row.cost;
        cr_assert_eq(allowance.uses(start).at(organisation).granted - before, expected, "%s", row.name);
    }
}

/// Guards against a Retry-After that callers ignore, or one in the past.
Test(CallCharge, boundsRetryAfter)
{
    auto allowance = fullAllowance(true);
    Allowances::Charge charge;
    const auto charged = [&](Duration longest) {
        return chargeCall(allowance, charge, organisation, requestOf(true), longest, start);
    };
    while (charged(std::chrono::seconds{4}).isGranted) { }
    cr_assert(charged(std::chrono::seconds{4}).retryAfter > Duration{});
    cr_assert(charged(std::chrono::milliseconds{20}).retryAfter == std::chrono::milliseconds{20});
    cr_assert(charged(std::chrono::milliseconds{-20}).retryAfter == Duration{});
}

Test(CallCharge, addsLimitToLogLines)
{
    auto allowance = fullAllowance(true);
    std::vector<LogField> fields;
    addLimit(fields, allowance, "", start);
    cr_assert(fields.empty());
    addLimit(fields, allowance, organisation, start);
    const std::vector<LogField> expected{{"organisation", organisation}, {"limit_level", "9000"}};
    cr_assert(fields == expected);
}
