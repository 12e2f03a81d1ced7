#include "budget/memorybudget.h"

#include "support/table.h"

#include <memory>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Budget;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr MemoryLimits limits{1000 * kilobyte, 200 * kilobyte, 64 * kilobyte, 40 * kilobyte, kilobyte};
constexpr Instant now{seconds{100}};

/// A holder whose stall is given.
struct Holder : MemoryHolder {
    Holder(MemoryBudget &budget, std::size_t bytes, std::optional<Duration> stall, bool isHeldUp = false)
        : m_share(&budget, this)
        , m_stall(stall)
        , m_isHeldUp(isHeldUp)
    {
        m_share.set(bytes);
    }

    std::optional<Duration> stalledFor(Instant) override
    {
        return m_stall;
    }

    bool isHeldUp() override
    {
        return m_isHeldUp;
    }

    void shed() override
    {
        isShed = true;
        m_share.set(0);
    }

    bool isShed = false;

private:
    MemoryShare m_share;
    std::optional<Duration> m_stall;
    bool m_isHeldUp;
};

struct GrowthCase {
    const char *name;
    std::size_t used; ///< By all, in kilobytes.
    std::size_t held; ///< By the holder that is to grow by 10 kilobytes.
    bool mayGrow;
};

const GrowthCase growths[] = {
    {"large, enough left", 700, 200, true},           {"large, only the reserve left", 795, 200, false},
    {"small, only the reserve left", 795, 50, true},  {"small, half of the reserve left", 895, 50, false},
    {"tiny, half of the reserve left", 895, 0, true}, {"tiny, nothing left", 995, 0, false},
};

struct HolderCase {
    std::size_t kilobytes;
    std::optional<Duration> stall;
    bool isHeldUp;
    bool isShed;
};

struct ShedCase {
    const char *name;
    std::vector<HolderCase> holders;
};

const ShedCase sheds[] = {
    {"nothing is short", {{300, seconds{9}, false, false}, {400, seconds{9}, false, false}}},
    {"the longest stall of equal holders", {{400, seconds{1}, false, false}, {400, seconds{2}, false, true}}},
    {"the largest of equal stalls", {{300, seconds{1}, false, false}, {500, seconds{1}, false, true}}},
    {"those that the node holds up last", {{400, seconds{2}, true, false}, {400, seconds{1}, false, true}}},
    {"those that the node holds up, if there are no others", {{400, seconds{2}, true, true}, {400, {}, true, false}}},
    {"no requests in progress", {{800, std::nullopt, false, false}}},
    {"none that has made progress", {{400, milliseconds{100}, false, false}, {400, milliseconds{300}, false, true}}},
    {"no small one for a large one", {{60, seconds{9}, false, false}, {740, seconds{1}, false, true}}},
    {"small ones once they have used their part",
     {{800, std::nullopt, false, false}, {60, seconds{2}, false, true}, {10, seconds{1}, false, false}}},
};

} // namespace

/// Guards against large requests that take the memory of small ones.
TABLE_TEST(MemoryBudget, keepsAReserveForSmallHolders, growths)
{
    MemoryBudget budget(limits);
    budget.change(nullptr, 0, row.used * kilobyte);
    cr_assert_eq(budget.mayGrow(row.held * kilobyte, 10 * kilobyte), row.mayGrow);
}

/// Guards against a budget that stays short, and against callers that are dropped in favour of slower ones.
TABLE_TEST(MemoryBudget, shedsWhatHasHeldMostForLongest, sheds)
{
    MemoryBudget budget(limits);
    std::vector<std::unique_ptr<Holder>> holders;
    for (const auto &each : row.holders)
        holders.push_back(std::make_unique<Holder>(budget, each.kilobytes * kilobyte, each.stall, each.isHeldUp));
    budget.shed(now);
    for (std::size_t i = 0; i < holders.size(); ++i)
        cr_expect_eq(holders[i]->isShed, row.holders[i].isShed, "%s: holder %zu", row.name, i);
}

/// Guards against a process that learns only with its next tick that memory is short.
Test(MemoryBudget, tellsOnceThatItBecomesShort)
{
    MemoryBudget budget(limits);
    unsigned calls = 0;
    budget.onShort([&] { ++calls; });
    MemoryShare first(&budget);
    MemoryShare second(&budget);
    first.set(700 * kilobyte);
    cr_assert_eq(calls, 0U);
    second.set(100 * kilobyte);
    second.set(110 * kilobyte);
    cr_assert_eq(calls, 1U);
    first.set(0);
    first.set(700 * kilobyte);
    cr_assert_eq(calls, 2U);
}

/// Guards against bytes that stay charged after their holder is gone.
Test(MemoryBudget, frees)
{
    MemoryBudget budget(limits);
    {
        Holder holder(budget, 800 * kilobyte, seconds{1});
        cr_assert(budget.isShort());
    }
    cr_assert_eq(budget.used(), 0U);
    cr_assert_eq(budget.shed(now), 0U);
}

/// Guards against refused callers that come back together, and are refused again.
Test(MemoryBudget, refusedCallersReturnInTurn)
{
    MemoryBudget budget(limits);
    budget.change(nullptr, 0, 500 * kilobyte);
    budget.change(nullptr, 500 * kilobyte, 0);
    Duration last{};
    for (int caller = 0; caller < 4; ++caller) {
        const auto time = budget.retryAfter(200 * kilobyte, now);
        cr_expect_gt(time, last, "caller %d", caller);
        last = time;
    }
    cr_expect_eq(budget.retryAfter(limits.total, now), seconds{10});
    cr_expect_lt(budget.retryAfter(1, now + seconds{10}), seconds{1});
}

/// Guards against a smaller machine, of which callers keep what they could take of the larger one.
Test(MemoryBudget, shedsWhatExceedsLowerLimits)
{
    MemoryBudget budget(limits);
    const Holder holder(budget, 300 * kilobyte, seconds{1});
    budget.shed(now);
    cr_assert_not(holder.isShed);
    auto lower = limits;
    lower.total /= 4;
    lower.reserve /= 4;
    budget.setLimits(lower);
    budget.shed(now);
    cr_assert(holder.isShed);
}

/// Guards against a holder that is shed after it has ended, as it was tracked under lower limits than the present ones.
Test(MemoryBudget, forgetsHoldersUnderHigherLimits)
{
    auto lower = limits;
    lower.trackedBytes = kilobyte / 2;
    MemoryBudget budget(lower);
    auto holder = std::make_unique<Holder>(budget, kilobyte * 3 / 4, seconds{9});
    budget.setLimits(limits);
    holder.reset();
    budget.change(nullptr, 0, 990 * kilobyte);
    cr_assert_eq(budget.shed(now), 0U);
}
