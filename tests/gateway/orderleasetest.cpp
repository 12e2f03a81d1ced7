#include "gateway/orderlease.h"

#include "support/table.h"

#include <optional>
#include <utility>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr OrderLeaseSettings settings{std::chrono::seconds{4}, std::chrono::milliseconds{3500},
                                      std::chrono::milliseconds{3300}};
constexpr Instant start{std::chrono::seconds{100}};
constexpr Duration minOrderGap = std::chrono::seconds{3}; ///< Minimum time between orders of two holders.

Instant after(int milliseconds)
{
    return start + std::chrono::milliseconds{milliseconds};
}

struct OrderCase {
    int renewedAt; ///< When the last renewal was sent, in ms after the lease was acquired; 0 if none was.
    Predecessor predecessor;
    int now; ///< In ms after the lease was acquired.
    bool mayOrder;
};

const OrderCase orders[] = {
    {0, Predecessor::Other, 100, false}, // The predecessor may order for as long as its last renewal allows.
    {0, Predecessor::Own, 100, true},        {0, Predecessor::Own, 3400, true},
    {0, Predecessor::Own, 3600, false}, // Not renewed.
    {4000, Predecessor::Other, 6750, false}, {4000, Predecessor::Other, 6850, true},
    {4000, Predecessor::Other, 7600, false}, {2000, Predecessor::Own, 5400, true},
    {2000, Predecessor::Own, 5600, false},
};

} // namespace

TABLE_TEST(OrderLease, ordersOnlyWhileLeaseIsValid, orders)
{
    OrderLease lease(settings);
    lease.onAcquired(1, 7, start, start, row.predecessor);
    if (row.renewedAt > 0)
        lease.onRenewed(after(row.renewedAt));
    cr_assert_eq(lease.mayOrder(after(row.now)), row.mayOrder);
}

namespace
{

struct HandoverCase {
    int keyDeletedAt; ///< When the store deletes the first holder's key, in ms.
    int noticeDelay; ///< Time in ms after that when the first holder notices and sends its release; 0 for never.
    int releaseDelay; ///< Delay in ms until the second holder receives the release.
    int latestFirstOrder; ///< Latest time in ms of the second holder's first order.
};

const HandoverCase handovers[] = {
    {0, 0, 0, 6900},       {1000, 0, 0, 7900},   {3999, 0, 0, 10900},    {4000, 0, 0, 10900},
    {1000, 1, 0, 4400},    {1000, 500, 0, 4900}, {1000, 500, 900, 5800}, // A delayed release saves less time.
    {3000, 3400, 0, 9800}, // The first holder may no longer order when it notices.
};

} // namespace

// The store may delete the key right after a renewal without notifying the holder, which keeps ordering for as long as
// its renewal allows. The successor, which saw the deletion, renews in time and waits.
TABLE_TEST(OrderLease, twoHoldersNeverOrderWithinTheHandover, handovers)
{
    OrderLease first(settings);
    first.onAcquired(1, 7, start, start, Predecessor::Own);
    OrderLease second(settings);
    second.onAcquired(2, 8, after(row.keyDeletedAt), after(row.keyDeletedAt + 4), Predecessor::Other);
    Instant lastOfFirst{};
    std::optional<ReleasedOrders> released;
    bool ordered = false;
    for (int ms = 0; ms < 16000; ++ms) {
        const auto now = after(ms);
        if (ms > row.keyDeletedAt && ms % 1000 == 0)
            second.onRenewed(now);
        if (row.noticeDelay > 0 && ms == row.keyDeletedAt + row.noticeDelay) {
            first.onLost();
            released = first.released();
        }
        if (released && ms == row.keyDeletedAt + row.noticeDelay + row.releaseDelay)
            second.onReleased({released->term, released->lastOrderAt + std::chrono::milliseconds{row.releaseDelay}});
        if (first.mayOrder(now)) {
            first.onOrder(now);
            lastOfFirst = now;
        }
        if (!second.mayOrder(now))
            continue;
        cr_assert(now - lastOfFirst > minOrderGap);
        if (!std::exchange(ordered, true))
            cr_assert_leq(ms, row.latestFirstOrder);
    }
    cr_assert(ordered);
}

// The second holder acquires the lease while the first may still order and is replaced at once: its release must also
// cover the first holder.
Test(OrderLease, releaseCoversEarlierHolders)
{
    OrderLease second(settings);
    second.onAcquired(2, 8, start, start, Predecessor::Other);
    second.onLost();
    OrderLease third(settings);
    third.onReleased(second.released());
    third.onAcquired(3, 9, after(10), after(10), Predecessor::Other);
    const auto firstMayOrderUntil = start + settings.renewalValidity;
    third.onRenewed(after(5000));
    cr_assert_not(third.mayOrder(firstMayOrderUntil + minOrderGap));
    cr_assert(third.mayOrder(firstMayOrderUntil + settings.handover));
}

Test(OrderLease, ignoresReleaseOfOtherTerm)
{
    for (const std::uint64_t term : {1, 3}) {
        OrderLease lease(settings);
        lease.onReleased({term, start - std::chrono::seconds{60}});
        lease.onAcquired(3, 9, start, start, Predecessor::Other);
        cr_assert_not(lease.mayOrder(after(3400)));
    }
}

Test(OrderLease, noOrdersAfterLoss)
{
    OrderLease lease(settings);
    lease.onAcquired(1, 7, start, start, Predecessor::Own);
    lease.onLost();
    cr_assert_not(lease.mayOrder(after(10)));
}
