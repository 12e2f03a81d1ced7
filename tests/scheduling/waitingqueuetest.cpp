#include "scheduling/waitingqueue.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Scheduling;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};

Instant after(int ms)
{
    return start + std::chrono::milliseconds{ms};
}

struct Fixture {
    CapacityReserve reserve;
    WaitingQueue<const int *> queue{reserve};
    std::vector<int> calls{0, 1, 2, 3};

    void begin(int call, unsigned urgency, int latestSend, int inTimeUntil = 50, bool isForCapacity = true)
    {
        queue.begin(&calls[call], {"s", {urgency, after(inTimeUntil), after(latestSend)}, after(call)}, isForCapacity,
                    after(call));
    }

    std::string order() const
    {
        std::string text;
        for (const auto *call : queue.inOrder(after(10)))
            text += std::to_string(*call);
        return text;
    }
};

} // namespace

/// Guards against a less urgent call, one that is late already, or one that can wait for longer, being served first.
Test(WaitingQueue, ordersByUrgencyThenLatestSend)
{
    Fixture fixture;
    fixture.begin(0, 2, 100);
    fixture.begin(1, 1, 900);
    fixture.begin(2, 1, 500);
    fixture.begin(3, 1, 300, 5);
    cr_assert_str_eq(fixture.order().c_str(), "2130");
    cr_assert_eq(fixture.queue.countBefore({1, after(50), after(900)}, "s", after(10)), 1U);
    cr_assert_eq(fixture.queue.countBefore({2, after(50), after(100)}, "s", after(10)), 3U);
    cr_assert(fixture.queue.hasSeveralUrgencies("s"));
    cr_assert_eq(fixture.queue.end(&fixture.calls[2], after(42)), std::optional(Duration{40000}));
    cr_assert_str_eq(fixture.order().c_str(), "130");
    cr_assert_not(fixture.queue.end(&fixture.calls[2], after(42)).has_value());
}

/// Guards against a class that starves being left behind more urgent calls for ever.
Test(WaitingQueue, servesStarvingClassFirst)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.reserve.onArrived("s", 1, start);
        fixture.reserve.onStarted("s", 1, 1, start);
        fixture.reserve.onArrived("s", 2, start);
    }
    fixture.begin(0, 1, 100);
    fixture.begin(1, 2, 100);
    cr_assert_str_eq(fixture.order().c_str(), "10");
}

/// Guards against short waits, and waits that more capacity would not shorten, being reported as a shortage.
Test(WaitingQueue, reportsLongWaitsForCapacity)
{
    Fixture fixture;
    fixture.begin(0, 1, 900);
    fixture.begin(1, 2, 900, 50, false);
    fixture.queue.report(after(99));
    cr_assert(fixture.reserve.takeNews(after(99)).empty());
    fixture.queue.report(after(110));
    const std::vector<WaitingCount> expected{{"s", 1, 1}};
    cr_assert(fixture.reserve.takeNews(after(110)) == expected);
    cr_assert(fixture.reserve.takeNews(after(120)).empty(), "told twice");
    cr_assert(fixture.reserve.takeNews(after(700)) == expected, "expires at the others");
}
