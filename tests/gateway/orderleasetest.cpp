#include "gateway/orderlease.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr OrderLeaseSettings settings{std::chrono::seconds{4}, std::chrono::milliseconds{500},
                                      std::chrono::milliseconds{6800}};
constexpr Instant start{std::chrono::seconds{100}};

Instant after(int milliseconds)
{
    return start + std::chrono::milliseconds{milliseconds};
}

struct OrderCase {
    int renewedAt; ///< When the last renewal was sent, in ms after the lease was taken; 0: none.
    bool ownPredecessor;
    int now;
    bool mayOrder;
};

const OrderCase orders[] = {
    {0, false, 100, false}, // The predecessor may go on to the end of its lease.
    {0, true, 100, true}, // The predecessor was an earlier process of this machine.
    {0, true, 3400, true},      {0, true, 3600, false}, // Not renewed: the lease may end at 4000.
    {4000, false, 6750, false}, {4000, false, 6850, true}, {4000, false, 7600, false},
    {2000, true, 5400, true},   {2000, true, 5600, false},
};

} // namespace

TABLE_TEST(OrderLease, ordersOnlyWithinTheLease, orders)
{
    OrderLease lease(settings);
    lease.onAcquired(7, start, start, row.ownPredecessor);
    if (row.renewedAt > 0)
        lease.onRenewed(after(row.renewedAt));
    cr_assert_eq(lease.mayOrder(after(row.now)), row.mayOrder);
}

// The store may take the key away right after a renewal, and the holder need not hear of it: it orders to the end of
// its lease. Its successor, which saw the key go, renews in time and waits.
Test(OrderLease, twoHoldersNeverOrderWithinTheHandover)
{
    for (int takenAway : {0, 1000, 3999, 4000}) {
        OrderLease first(settings);
        first.onAcquired(7, start, start, true);
        OrderLease second(settings);
        second.onAcquired(8, after(takenAway), after(takenAway + 4), false);
        Instant lastOfFirst{};
        bool ordered = false;
        for (int ms = 0; ms < 16000; ++ms) {
            if (ms > takenAway && ms % 1000 == 0)
                second.onRenewed(after(ms));
            if (first.mayOrder(after(ms)))
                lastOfFirst = after(ms);
            if (!second.mayOrder(after(ms)))
                continue;
            ordered = true;
            cr_assert(after(ms) - lastOfFirst > std::chrono::seconds{3});
        }
        cr_assert(ordered);
    }
}

Test(OrderLease, aLostLeaseOrdersNothing)
{
    OrderLease lease(settings);
    lease.onAcquired(7, start, start, true);
    lease.onLost();
    cr_assert_not(lease.mayOrder(after(10)));
}
