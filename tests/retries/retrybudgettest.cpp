#include "retries/retrybudget.h"

#include "support/table.h"

#include <cmath>

using namespace Gypsumtally;

namespace
{

constexpr Instant start{};

struct Case {
    RetryBudgetPolicy policy;
    int attempts; ///< Number of first attempts.
    std::chrono::seconds spread; ///< Time over which the attempts are spread evenly.
    int retries; ///< Expected number of retries that the budget allows.
};

const Case cases[] = {
    {{0.1, 10, 0}, 1000, std::chrono::seconds{10}, 109},
    {{0.0, 10, 0}, 1000, std::chrono::seconds{10}, 10},
    {{0.0, 1, 2}, 1000, std::chrono::seconds{10}, 20},
    {{1.0, 5, 0}, 1000, std::chrono::seconds{10}, 1000},
};

} // namespace

TABLE_TEST(RetryBudget, boundsRetriesToFractionOfAttempts, cases)
{
    RetryBudget budget{row.policy};
    int retries = 0;
    for (int i = 0; i < row.attempts; ++i) {
        const auto now = start + std::chrono::duration_cast<Duration>(row.spread) * i / row.attempts;
        budget.onFirstAttempt("pirisidu", now);
        retries += budget.tryTake("pirisidu", now) ? 1 : 0;
    }
    cr_assert(std::abs(retries - row.retries) <= 1, "%d retries", retries);
    cr_assert(budget.tryTake("servicio", start), "another key is not affected");
}

Test(RetryBudget, storesNoFullBudgets)
{
    RetryBudget budget{{0.5, 2, 0}};
    cr_assert(budget.tryTake("pirisidu", start));
    cr_assert_eq(budget.size(), 1);
    budget.onFirstAttempt("pirisidu", start);
    budget.onFirstAttempt("pirisidu", start);
    cr_assert_eq(budget.size(), 0);
}
