#include "scheduling/sendwindow.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Scheduling;

namespace
{

constexpr Instant arrival{std::chrono::seconds{100}};

Instant after(int ms)
{
    return arrival + std::chrono::milliseconds{ms};
}

struct WindowCase {
    const char *name;
    int deadline; ///< In ms after the arrival, as all times here.
    int patience;
    int lastEvent; ///< -1 if no answer has begun.
    int latestSend;
};

const WindowCase windows[] = {
    {"half of the time without a bound on patience", 10000, 0, -1, 5000},
    {"less than the caller's patience", 10000, 2000, -1, 1200},
    {"patience beyond the deadline", 4000, 9000, -1, 2000},
    {"from the last event of a begun answer", 10000, 2000, 3000, 4200},
    {"no later than the deadline of a begun answer", 3500, 2000, 3000, 3500},
};

struct RetryCase {
    const char *name;
    int now;
    int servedIn;
    int retryAfter;
};

const RetryCase retries[] = {
    {"when it can be served", 0, 2000, 2000},
    {"not at once", 0, 50, 1000},
    {"no longer than callers accept", 4000, 5000, 1800},
};

} // namespace

/// Guards against a send whose first event comes after the caller has left.
TABLE_TEST(SendWindow, endsWhileCallerStillWaits, windows)
{
    SendWindow window{arrival, after(row.deadline), std::chrono::milliseconds{row.patience}, {}, {}, {}};
    if (row.lastEvent >= 0)
        window.lastEventAt = after(row.lastEvent);
    cr_assert_eq((window.latestSend() - after(row.latestSend)).count(), 0, "%s", row.name);
}

/// Guards against a Retry-After that callers ignore, or with which they are refused again.
TABLE_TEST(SendWindow, statesAcceptableRetryAfter, retries)
{
    const SendWindow window{arrival, after(10000), {}, {}, {}, {}};
    const auto retryAfter = window.acceptableRetryAfter(std::chrono::milliseconds{row.servedIn}, after(row.now));
    cr_assert_eq(retryAfter.count() / 1000, row.retryAfter, "%s", row.name);
}

/// Guards against a call that is sent so late that its first event misses the objective being preferred.
Test(SendWindow, leavesTimeForFirstEvent)
{
    SendWindow window{arrival, after(10000), {}, std::chrono::milliseconds{1000}, std::chrono::milliseconds{300}, {}};
    cr_assert_eq((window.inTimeUntil() - after(500)).count(), 0);
    window.lastEventAt = after(3000);
    cr_assert_eq((window.inTimeUntil() - window.latestSend()).count(), 0, "a begun answer");
}
