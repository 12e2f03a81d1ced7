#include "gateway/crashledger.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

struct BlockCase {
    std::vector<const char *> instances;
    bool blocked;
};

const BlockCase blocks[] = {
    {{}, false},
    {{"a"}, false},
    {{"a", "b"}, false},
    {{"a", "a", "a", "b"}, false}, // A crash that several nodes report counts once.
    {{"a", "b", "c"}, true},
};

} // namespace

TABLE_TEST(CrashLedger, blocksAfterThreeCrashes, blocks)
{
    CrashLedger ledger;
    const Instant now{std::chrono::seconds{9}};
    for (const auto *instance : row.instances)
        ledger.add({5, instance}, now);
    ledger.add({6, "other"}, now);
    cr_assert_eq(ledger.isBlocked(5), row.blocked);
    cr_assert_not(ledger.isBlocked(6));
}

Test(CrashLedger, recentReturnsOwnReportsOnly)
{
    CrashLedger ledger;
    const Instant now{std::chrono::seconds{9}};
    const auto age = std::chrono::seconds{2};
    ledger.addOwn({5, "a"}, now);
    ledger.add({6, "b"}, now);
    const auto told = ledger.recent(now + std::chrono::seconds{1}, age);
    cr_assert_eq(told.size(), 1U);
    cr_assert_eq(told.front().fingerprint, 5U);
    cr_assert(ledger.recent(now + std::chrono::seconds{5}, age).empty());
}

// Guards against nodes that keep repeating each other's reports: two nodes once treated each report that they exchanged
// as new forever, which saturated their links.
Test(CrashLedger, reportsDoNotCirculateForever)
{
    CrashLedger first;
    CrashLedger second;
    Instant now{std::chrono::seconds{9}};
    const auto age = std::chrono::seconds{2};
    first.addOwn({5, "a"}, now);
    for (int digest = 0; digest < 40; ++digest) {
        for (const auto &report : first.recent(now, age))
            second.add(report, now);
        for (const auto &report : second.recent(now, age))
            first.add(report, now);
        now += std::chrono::milliseconds{300};
    }
    cr_assert(first.recent(now, age).empty());
    cr_assert(second.recent(now, age).empty());
    cr_assert_eq(second.crashCount(5), 1U);
}
