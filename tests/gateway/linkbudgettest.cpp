#include "gateway/linkbudget.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr double linkBytesPerSecond = 1e6;

struct Taking {
    int atMs;
    std::size_t bytes;
    int delayMs; ///< Expected.
};

struct BudgetCase {
    const char *name;
    std::vector<Taking> takings;
    int backlogMs; ///< Right after the last one.
};

const BudgetCase budgets[] = {
    {"a free link", {{0, 100'000, 0}}, 200},
    {"one after the other", {{0, 100'000, 0}, {0, 50'000, 200}, {0, 50'000, 300}}, 400},
    {"a part has left", {{0, 100'000, 0}, {150, 50'000, 50}}, 150},
    {"all has left", {{0, 100'000, 0}, {1000, 50'000, 0}}, 100},
    {"no credit of idle time", {{0, 1, 0}, {5000, 100'000, 0}, {5000, 1000, 200}}, 202},
};

} // namespace

TABLE_TEST(LinkBudget, takesHalfOfTheLink, budgets)
{
    LinkBudget budget(linkBytesPerSecond);
    for (const auto &taking : row.takings) {
        const auto delay = budget.take(taking.bytes, start + std::chrono::milliseconds{taking.atMs});
        cr_assert_eq(delay.count() / 1000, taking.delayMs, "%s: %ld us", row.name, static_cast<long>(delay.count()));
    }
    const auto backlog = budget.backlog(start + std::chrono::milliseconds{row.takings.back().atMs});
    cr_assert_eq(backlog.count() / 1000, row.backlogMs, "%s: %ld us", row.name, static_cast<long>(backlog.count()));
}
