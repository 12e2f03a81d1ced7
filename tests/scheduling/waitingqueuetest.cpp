#include "scheduling/waitingqueue.h"

#include "support/table.h"

#include <array>

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

struct ShareCase {
    const char *name;
    std::array<const char *, 4> organisations;
    std::array<double, 4> tokens;
    double inService; ///< Tokens of organisation a.
    const char *order;
};

const ShareCase shares[] = {
    {"no organisations", {"", "", "", ""}, {10, 10, 10, 10}, 0, "0123"},
    {"one organisation", {"a", "a", "a", "a"}, {10, 10, 10, 10}, 50, "0123"},
    {"one of many calls", {"a", "a", "a", "b"}, {10, 10, 10, 10}, 0, "0312"},
    {"one with calls in service", {"a", "a", "b", "b"}, {10, 10, 10, 10}, 15, "2301"},
    {"one of large calls", {"a", "a", "b", "b"}, {100, 100, 10, 10}, 0, "0231"},
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
    cr_assert_eq(fixture.order(), std::string("2130"));
    cr_assert_eq(fixture.queue.countBefore({"s", {1, after(50), after(900)}}, after(10)), 1U);
    cr_assert_eq(fixture.queue.countBefore({"s", {2, after(50), after(100)}}, after(10)), 3U);
    cr_assert(fixture.queue.hasSeveralUrgencies("s"));
    cr_assert_eq(fixture.queue.end(&fixture.calls[2], after(42)), std::optional(Duration{40000}));
    cr_assert_eq(fixture.order(), std::string("130"));
    cr_assert_not(fixture.queue.end(&fixture.calls[2], after(42)).has_value());
}

/// Guards against a class that starves being left behind more urgent calls for ever.
Test(WaitingQueue, servesStarvingClassFirst)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.reserve.onArrived("s", 1, 100, start);
        fixture.reserve.onStarted("s", 1, 1, start);
        fixture.reserve.onArrived("s", 2, 100, start);
    }
    fixture.begin(0, 1, 100);
    fixture.begin(1, 2, 100);
    cr_assert_eq(fixture.order(), std::string("10"));
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

/// Guards against an organisation with many or large calls taking the turns of others of equal urgency.
TABLE_TEST(WaitingQueue, servesOrganisationWithLeastTokensFirst, shares)
{
    Fixture fixture;
    if (row.inService > 0)
        fixture.queue.onSent("a", row.inService);
    for (std::size_t call = 0; call < fixture.calls.size(); ++call)
        fixture.queue.begin(&fixture.calls[call],
                            {"s",
                             {1, after(50), after(100 + static_cast<int>(call))},
                             start,
                             row.organisations[call],
                             row.tokens[call]},
                            true, start);
    const auto order = fixture.order();
    cr_assert_str_eq(order.c_str(), row.order, "%s: %s", row.name, order.c_str());
    const Scheduling::WaitingCall last{"s", {1, after(50), after(900)}, start, "c", 10};
    cr_assert_eq(fixture.queue.countBefore(last, after(10)), 0U, "%s: of another organisation", row.name);
}

/// Guards against an organisation that is set back for calls that have ended.
Test(WaitingQueue, forgetsEndedCallsOfOrganisation)
{
    Fixture fixture;
    fixture.queue.onSent("a", 100);
    fixture.queue.onSent("b", 50);
    fixture.queue.onEnded("a", 100);
    fixture.queue.begin(&fixture.calls[0], {"s", {1, after(50), after(100)}, start, "b", 10}, true, start);
    fixture.queue.begin(&fixture.calls[1], {"s", {1, after(50), after(200)}, start, "a", 10}, true, start);
    cr_assert_eq(fixture.order(), std::string("10"));
}
