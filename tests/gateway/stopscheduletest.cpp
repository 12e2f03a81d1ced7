#include "gateway/stopschedule.h"

#include "support/table.h"

#include <limits>
#include <optional>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;

namespace
{

constexpr Instant stoppedAt{std::chrono::seconds{100}};
constexpr Duration grace = std::chrono::seconds{8};

constexpr Instant at(int ms)
{
    return stoppedAt + milliseconds{ms};
}

struct TakingCase {
    int at; ///< In ms from SIGTERM, as are all times here.
    bool othersTakeCallers;
    bool takes;
};

const TakingCase takings[] = {
    {0, true, true},     {2999, true, true},  {3000, true, false},  {7000, true, false},
    {3000, false, true}, {6499, false, true}, {6500, false, false}, {9000, false, false},
};

constexpr int never = std::numeric_limits<int>::min(); ///< Of a call that is not to be sent.

struct SendCase {
    const char *name;
    int arrival;
    int deadline;
    int expected;
    int longest;
    bool mayBeRepeated;
    bool othersTakeCalls;
    std::optional<int> latest; ///< Nothing if the call may be sent at any time.
};

const SendCase sends[] = {
    {"long stream that came before the stop", -1000, 14000, 4500, 6000, true, false, 3000},
    {"long stream that came in time", 3000, 14000, 4500, 6000, true, false, 3000},
    {"long stream that came in time while others take calls", 3000, 14000, 4500, 6000, true, true, 3000},
    {"long stream that came late", 3001, 14000, 4500, 6000, true, false, 1500},
    {"short stream that came late", 3500, 14000, 600, 1000, true, false, 6500},
    {"short stream that came late while others take calls", 3001, 14000, 600, 1000, true, true, never},
    {"call that runs once and came in time", 1000, 9000, 60, 1000, false, false, 6500},
    {"call that runs once and came in time while others take calls", 1000, 9000, 60, 1000, false, true, 6500},
    {"call that runs once and came late", 5000, 9000, 60, 1000, false, false, 6500},
    {"call that runs once and came late while others take calls", 5000, 9000, 60, 1000, false, true, never},
    {"call that is longer than the grace", 0, 30000, 9000, 12000, false, false, -4500},
    {"deadline before the end", 3500, 7499, 9000, 12000, false, false, {}},
    {"deadline before the end while others take calls", 3500, 7499, 9000, 12000, false, true, {}},
    {"deadline at the end", 3500, 7500, 60, 1000, false, false, 6500},
};

struct NoticeCase {
    int noticedAt;
    int takesUntil;
};

const NoticeCase notices[] = {{0, 3000}, {100, 3100}, {600, 3600}, {1100, 4100}};

} // namespace

TABLE_TEST(StopSchedule, takesRequestsWhileCallersHaveNoOtherNode, takings)
{
    const StopSchedule schedule(stoppedAt, stoppedAt, grace);
    cr_assert_eq(schedule.takesRequests(at(row.at), row.othersTakeCallers), row.takes, "%d", row.at);
}

TABLE_TEST(StopSchedule, sendsOnlyWhatEndsBeforeTheExit, sends)
{
    const StopSchedule schedule(stoppedAt, stoppedAt, grace);
    const auto latest = schedule.latestSend(
        {at(row.arrival), at(row.deadline), milliseconds{row.expected}, milliseconds{row.longest}, row.mayBeRepeated},
        row.othersTakeCalls);
    const auto expected = row.latest == never ? Instant::min() : at(row.latest.value_or(0));
    cr_assert_eq(latest, row.latest ? expected : Instant::max(), "%s: %ld ms", row.name,
                 static_cast<long>((latest - stoppedAt).count() / 1000));
}

/// Guards against a node that counts the grace from when it noticed SIGTERM, and is killed with calls in progress.
TABLE_TEST(StopSchedule, exitsBeforeItIsKilled, notices)
{
    const StopSchedule schedule(stoppedAt, at(row.noticedAt), grace);
    cr_expect_eq(schedule.earliestExit(), at(row.takesUntil), "%d", row.noticedAt);
    cr_expect_leq(schedule.earliestExit(), schedule.endOfCalls(), "%d", row.noticedAt);
    cr_expect_lt(schedule.endOfCalls(), schedule.exitAt(), "%d", row.noticedAt);
    cr_expect_lt(schedule.exitAt(), stoppedAt + grace, "%d", row.noticedAt);
    cr_expect_eq(schedule.takesRequests(at(row.takesUntil - 1), true), true, "%d", row.noticedAt);
    cr_expect_eq(schedule.takesRequests(at(row.takesUntil), true), false, "%d", row.noticedAt);
}

/// Guards against a call that counts as early as the node noticed SIGTERM late.
TABLE_TEST(StopSchedule, countsCallsAsLateFromTheEarliestStop, notices)
{
    const StopSchedule schedule(stoppedAt, at(row.noticedAt), grace);
    const auto latest = [&](int arrival) {
        return schedule.latestSend({at(arrival), at(arrival + 9000), milliseconds{4500}, milliseconds{6000}, true},
                                   true);
    };
    cr_expect_eq(latest(3000), schedule.endOfCalls() - milliseconds{4500}, "%d", row.noticedAt);
    cr_expect_eq(latest(3001), Instant::min(), "%d", row.noticedAt);
}

/// Guards against a node that was halted before its stop and then cuts calls that had nearly the whole grace to end.
TABLE_TEST(StopSchedule, letsCallsGoOnAfterTheNotice, notices)
{
    for (const int earlier : {0, 300, 2000, 9000}) {
        const StopSchedule schedule(at(row.noticedAt - earlier), at(row.noticedAt), grace);
        cr_expect_geq(schedule.endOfCalls(), at(row.noticedAt) + grace * 5 / 6, "%d, %d", row.noticedAt, earlier);
    }
}
