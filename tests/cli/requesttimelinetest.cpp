#include "cli/requesttimeline.h"

#include "support/table.h"

#include <sstream>

using namespace Gypsumtally;

namespace
{

/// Logs of two nodes that contain four failed requests and unrelated lines.
const std::string logs =
    R"(   1.2 n1 {"time_ms":1000,"level":"info","node":"n1","event":"store_lost","watch":"operator"}
{"time_ms":2000,"level":"info","node":"n2","event":"order_lease_lost","reason":"it was not renewed in time"}
{"time_ms":2100,"level":"info","node":"n1","event":"upstream_gone","upstream":"e1"}
{"time_ms":2200,"level":"info","node":"n1","event":"upstream_gone","upstream":"e2"}
not a log line
{"time_ms":3000,"level":"info","node":"n1","event":"request_refused","request":"r1","status":"503","reason":"no engine has the adapter and none can be loaded now","target":"m/a","upstream":""}
{"time_ms":3100,"level":"info","node":"n1","event":"send_failed","request":"r2","upstream":"e1","reason":"Connection reset by peer","verdict":"may-have-run"}
{"time_ms":3110,"level":"info","node":"n1","event":"answer_broken_off","request":"r2","upstream":"e1","reason":"Connection reset by peer","events":"7"}
{"time_ms":3200,"level":"info","node":"n2","event":"loop_late","ms":"4000"}
{"time_ms":3210,"level":"info","node":"n2","event":"request_refused","request":"r3","status":"504","reason":"the time is over","target":"m/b","upstream":"e3"}
{"time_ms":3300,"level":"info","node":"n1","event":"order_failed","request":"m/c","upstream":"e3","status":"409"}
{"time_ms":3400,"level":"info","node":"n1","event":"request_refused","request":"r4","status":"503","reason":"the adapter was not loaded in time","target":"m/c","upstream":""}
{"time_ms":3450,"level":"info","node":"n1","event":"reach_lost","upstream":"e4","evidence":"peer_contact"}
{"time_ms":3460,"level":"info","node":"n1","event":"reach_lost","upstream":"e5","evidence":"peer_contact"}
{"time_ms":3500,"level":"info","node":"n1","event":"call_relayed","request":"r5","peer":"n2","cut_off":"e3,e4"}
{"time_ms":3510,"level":"info","node":"n2","event":"relayed_call_received","request":"r5","from":"n1"}
{"time_ms":99000,"level":"info","node":"n1","event":"upstream_gone","upstream":"e1"}
)";

struct TimelineCase {
    const char *request;
    const char *cause; ///< An event that explains the failure.
    const char *notCause; ///< An event that is unrelated to the failure.
};

const TimelineCase timelineCases[] = {
    {"r1", "order_lease_lost", "loop_late"},
    {"r2", "upstream_gone", "loop_late"},
    {"r3", "loop_late", "upstream_gone"},
    {"r4", "order_failed", "loop_late"},
    {"r5", "relayed_call_received", "order_failed"},
    {"r5", "reach_lost", "order_failed"},
};

bool containsEvent(const std::vector<LoggedEvent> &events, const std::string &name)
{
    return std::ranges::any_of(events, [&](const LoggedEvent &event) { return event.event == name; });
}

} // namespace

TABLE_TEST(RequestTimeline, relatedEvents, timelineCases)
{
    RequestTimeline timeline(row.request);
    std::istringstream log(logs);
    timeline.read(log);
    const auto events = timeline.events();
    cr_assert(containsEvent(events, row.cause));
    cr_assert_not(containsEvent(events, row.notCause));
    cr_assert(std::ranges::is_sorted(events, {}, &LoggedEvent::timeMs));
    cr_assert(events.back().timeMs < 99000);
}

Test(RequestTimeline, requestNotInLogs)
{
    RequestTimeline timeline("r9");
    std::istringstream log(logs);
    timeline.read(log);
    cr_assert(timeline.events().empty());
}
