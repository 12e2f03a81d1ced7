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
    {{"a", "a", "a", "b"}, false}, // One death that several nodes report.
    {{"a", "b", "c"}, true},
};

} // namespace

TABLE_TEST(CrashLedger, blocksAfterThreeDeaths, blocks)
{
    CrashLedger ledger;
    const Instant now{std::chrono::seconds{9}};
    for (const auto *instance : row.instances)
        ledger.add({5, instance}, now);
    ledger.add({6, "other"}, now);
    cr_assert_eq(ledger.isBlocked(5), row.blocked);
    cr_assert_not(ledger.isBlocked(6));
}

Test(CrashLedger, tellsWhatIsNew)
{
    CrashLedger ledger;
    const Instant now{std::chrono::seconds{9}};
    ledger.add({5, "a"}, now);
    cr_assert_eq(ledger.recent(now + std::chrono::seconds{1}, std::chrono::seconds{2}).size(), 1U);
    cr_assert(ledger.recent(now + std::chrono::seconds{5}, std::chrono::seconds{2}).empty());
}
