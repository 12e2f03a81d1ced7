#include "processes/untrustedcallers.h"
#include "gatewayfleet/gatewayfleet.h"
#include "processes/processstatus.h"
#include "support/table.h"

#include <algorithm>
#include <memory>
#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using Processes::descriptorsOf;
using Processes::memoryOf;
using Processes::UntrustedBytes;
using Processes::UntrustedCallers;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t memoryMb = 64; ///< Of the node's machine, in the settings.
constexpr std::size_t maxGrowth = memoryMb * kilobyte / 2; ///< In kilobytes, beyond the idle process.
constexpr std::size_t maxBody = 1024 * kilobyte; ///< In the configuration.
constexpr std::size_t chunk = 64 * kilobyte;
constexpr std::size_t crowd = 64; ///< Its bodies have twice the size by which the node may grow.
constexpr std::size_t largeCrowd = 200;
constexpr std::size_t slowBytes = 1000; ///< At the end of a body, that arrive one by one.
constexpr std::size_t largeAnswer = 512 * kilobyte;
constexpr std::size_t pipelined = 200; ///< Requests of each caller whose answers exceed all buffers of the kernel.
constexpr unsigned workers = 4; ///< Have room for one request of each caller.
constexpr unsigned manyWorkers = 16; ///< Of a large crowd.
constexpr std::size_t headerCrowd = 400;
constexpr std::size_t headerBytes = 1000; ///< Of a header that never ends.
constexpr std::size_t maxDescriptors = 300; ///< In the settings; 200 of them are reserved for files.
constexpr std::size_t usualConnections = 3000; ///< Connections of callers where the settings state no descriptors.
constexpr std::size_t reservedDescriptors = 200;

/// The callers' time-outs are long, so that the node's memory is bounded by its limits alone.
const std::string limits = R"({"header_bytes": 16384, "max_body_bytes": )" + std::to_string(maxBody)
                           + R"(, "header_timeout_ms": 60000, "idle_timeout_ms": 60000})";

const std::string head = "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd:{n}\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string largeChunk = "10000\r\n" + std::string(chunk, 'x') + "\r\n";

/// Returns the first part of a legal body with a length: all but @p missing bytes of a piece.
std::string legalBeginning(std::size_t missing)
{
    return head + "Content-Length: " + std::to_string(maxBody) + "\r\n\r\n" + std::string(chunk - missing, 'x');
}

std::string getRequests(std::size_t count)
{
    std::string text;
    for (std::size_t number = 0; number < count; ++number)
        text += "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: n0:" + std::to_string(number) + "\r\n\r\n";
    return text;
}

struct CrowdCase {
    const char *name;
    std::size_t callers;
    std::size_t descriptors; ///< In the settings; 0 if they state none.
    std::size_t answerBytes; ///< Size of an upstream's answer to the crowd.
    UntrustedBytes (*bytes)(); ///< That each caller sends.
    Duration answerTime = milliseconds{15}; ///< Of an upstream for the crowd's requests.
    unsigned upstreams = workers;
};

const CrowdCase crowds[] = {
    {"chunked bodies in large chunks", crowd, 0, 0,
     [] {
         return UntrustedBytes{chunkedHead, largeChunk, maxBody / chunk - 1, false};
     }},
    {"chunked bodies in one-byte chunks", crowd, 0, 0,
     [] {
         return UntrustedBytes{chunkedHead, Processes::oneByteChunks(chunk), maxBody / chunk - 1, false};
     }},
    {"bodies over the limit, with a length", crowd, 0, 0,
     [] {
         const auto length = std::to_string(16 * maxBody);
         return UntrustedBytes{head + "Content-Length: " + length + "\r\n\r\n", largeChunk, 16 * maxBody / chunk,
                               false};
     }},
    {"bodies over the limit, without a length", crowd, 0, 0,
     [] {
         return UntrustedBytes{chunkedHead, largeChunk, 16 * maxBody / chunk, false};
     }},
    {"pipelined requests with unread answers", crowd, 0, largeAnswer,
     [] {
         return UntrustedBytes{{}, getRequests(pipelined), 1, false};
     }},
    {"legal bodies, one piece short", crowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(0), std::string(chunk, 'x'), maxBody / chunk - 2};
     }},
    {"legal bodies, one byte short", crowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(1), std::string(chunk, 'x'), maxBody / chunk - 1};
     }},
    {"many legal bodies, one byte short", largeCrowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(1), std::string(chunk, 'x'), maxBody / chunk - 1};
     }},
    {"legal bodies", crowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(0), std::string(chunk, 'x'), maxBody / chunk - 1};
     }},
    {"many legal chunked bodies", largeCrowd, 0, 0,
     [] {
         return UntrustedBytes{chunkedHead, largeChunk, maxBody / chunk, false, "0\r\n\r\n"};
     }},
    {"legal bodies, the last bytes one by one", crowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(slowBytes), std::string(chunk, 'x'), maxBody / chunk - 1, false,
                               std::string(slowBytes, 'x')};
     }},
    {"many legal bodies at slow upstreams", largeCrowd, 0, 0,
     [] {
         return UntrustedBytes{legalBeginning(0), std::string(chunk, 'x'), maxBody / chunk - 1};
     },
     seconds{20}, manyWorkers},
    {"request headers that grow byte by byte", headerCrowd, 0, 0,
     [] {
         return UntrustedBytes{head + "X-Long: ", std::string(headerBytes, 'x'), 1, true};
     }},
    {"many idle connections", usualConnections + 200, 0, 0, [] { return UntrustedBytes{}; }},
    {"many idle connections, few descriptors", 2 * maxDescriptors, maxDescriptors, 0, [] { return UntrustedBytes{}; }},
};

constexpr Duration step = milliseconds{200};
constexpr unsigned maxAttempts = 50; ///< Of the ordinary request.

/// Returns true if one of a few ordinary requests, sent in turn, is answered by an upstream.
bool isOrdinaryRequestAnswered(Fleet &fleet, std::size_t node = 0)
{
    Relay::UpstreamClient client(fleet.loop());
    const auto isAnswered = std::make_shared<bool>(false);
    for (unsigned attempt = 0; attempt < maxAttempts && !*isAnswered; ++attempt) {
        Relay::SendOptions options;
        options.maxIdleAge = {};
        client.fetch(
            {fleet.callersOf(node), {}}, {"GET", "/read/1", {{"Host", "h"}, {"X-Request-Id", "n0:0"}}, {}},
            [isAnswered](const Relay::WholeResponse &response) {
                *isAnswered = *isAnswered || response.head.status == 200;
            },
            options);
        fleet.run(step);
        client.sweep(BootClock{}.now());
    }
    return *isAnswered;
}

void setAnswers(Fleet &fleet, std::size_t bytes, Duration time = milliseconds{15})
{
    for (std::size_t number = 0; number < fleet.workers(); ++number) {
        fleet.worker(number).behaviour.answerBytes = bytes;
        fleet.worker(number).behaviour.answerTime = time;
    }
}

} // namespace

/// Guards against a process that runs out of memory or descriptors, or serves nobody else, because of callers that hold
/// what they can.
TABLE_TEST(UntrustedCallers, leaveTheProcessAlive, crowds)
{
    FleetSize size{1, 1, row.upstreams};
    size.machine = "{memory_mb: " + std::to_string(memoryMb)
                   + (row.descriptors == 0 ? "" : ", max_descriptors: " + std::to_string(row.descriptors)) + '}';
    size.limits = limits;
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    cr_assert(isOrdinaryRequestAnswered(fleet), "%s: no answer before the crowd", row.name);
    const auto id = fleet.processOf(0).id();
    const auto idle = memoryOf(id, "VmRSS");
    const auto maxOpen = row.descriptors == 0 ? usualConnections + reservedDescriptors : row.descriptors;
    setAnswers(fleet, row.answerBytes, row.answerTime);
    const UntrustedCallers callers(fleet.loop(), fleet.callersOf(0), row.callers, row.bytes());
    const auto open = Processes::watchCrowd(callers, id, [&](Duration time) { fleet.run(time); });
    setAnswers(fleet, 0);
    cr_expect(isOrdinaryRequestAnswered(fleet), "%s: no answer beside the crowd", row.name);
    cr_expect(fleet.processOf(0).isRunning(), "%s: the process has ended", row.name);
    const auto peak = memoryOf(id, "VmHWM");
    cr_log_info("%s: %zu kB idle, %zu kB at most, %zu descriptors, %zu bytes written", row.name, idle, peak, open,
                static_cast<std::size_t>(callers.written()));
    cr_expect_leq(peak, idle + maxGrowth, "%s: %zu kB, %zu kB idle", row.name, peak, idle);
    cr_expect_leq(open, maxOpen, "%s: %zu descriptors", row.name, open);
}

namespace
{

UntrustedBytes almostWholeBodies()
{
    return {legalBeginning(1), std::string(chunk, 'x'), maxBody / chunk - 1};
}

UntrustedBytes wholeBodies()
{
    return {legalBeginning(0), std::string(chunk, 'x'), maxBody / chunk - 1};
}

struct RelayedCase {
    const char *name;
    std::size_t callers;
    UntrustedBytes (*bytes)(); ///< That each caller sends.
    Duration answerTime; ///< Of an upstream for the crowd's requests.
};

const RelayedCase relayedCrowds[] = {
    {"legal bodies, one byte short", crowd, almostWholeBodies, milliseconds{15}},
    {"legal bodies", crowd, wholeBodies, milliseconds{15}},
    {"many legal bodies at slow upstreams", largeCrowd, wholeBodies, seconds{20}},
};

constexpr Load ordinaryLoad{12, 6, 0};
constexpr std::size_t relays = 3;
constexpr Duration detectionTime = seconds{3}; ///< From a cut until calls are relayed.
constexpr Duration cutTime = seconds{120}; ///< Longer than the test.

std::string machineOf(std::size_t megabytes)
{
    return "{memory_mb: " + std::to_string(megabytes) + '}';
}

} // namespace

/// Guards against peers that run out of memory, or serve nobody else, because of a crowd at a node whose calls they
/// take.
TABLE_TEST(UntrustedCallers, leaveRelaysAlive, relayedCrowds)
{
    FleetSize size{relays, 1, manyWorkers};
    size.machine = machineOf(memoryMb);
    size.limits = limits;
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    fleet.setLoad(ordinaryLoad); // Shows the nodes what their peers reach.
    fleet.run(detectionTime);
    fleet.partition(0, PathState::Reset, cutTime);
    fleet.run(detectionTime);
    std::size_t idle[relays];
    for (std::size_t node = 0; node < relays; ++node) {
        cr_assert(isOrdinaryRequestAnswered(fleet, node), "%s: no answer before the crowd", row.name);
        idle[node] = memoryOf(fleet.processOf(node).id(), "VmRSS");
    }
    setAnswers(fleet, 0, row.answerTime);
    const UntrustedCallers callers(fleet.loop(), fleet.callersOf(0), row.callers, row.bytes());
    Processes::watchCrowd(callers, fleet.processOf(0).id(), [&](Duration time) { fleet.run(time); });
    setAnswers(fleet, 0);
    for (std::size_t node = 0; node < relays; ++node) {
        cr_expect(isOrdinaryRequestAnswered(fleet, node), "%s: no answer at node %zu", row.name, node);
        cr_expect(fleet.processOf(node).isRunning(), "%s: node %zu has ended", row.name, node);
        const auto peak = memoryOf(fleet.processOf(node).id(), "VmHWM");
        cr_log_info("%s: node %zu: %zu kB idle, %zu kB at most", row.name, node, idle[node], peak);
        cr_expect_leq(peak, idle[node] + maxGrowth, "%s: node %zu: %zu kB", row.name, node, peak);
    }
}

/// Guards against callers that keep what they could take of a machine with more memory.
Test(UntrustedCallers, giveUpMemoryThatAReloadTakes)
{
    FleetSize size{1, 1, workers};
    size.machine = machineOf(4 * memoryMb);
    size.limits = limits;
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    cr_assert(isOrdinaryRequestAnswered(fleet), "no answer before the crowd");
    const auto id = fleet.processOf(0).id();
    const auto idle = memoryOf(id, "VmRSS");
    const auto run = [&](Duration time) { fleet.run(time); };
    const UntrustedCallers callers(fleet.loop(), fleet.callersOf(0), crowd, almostWholeBodies());
    Processes::watchCrowd(callers, id, run);
    cr_assert_gt(memoryOf(id, "VmRSS"), idle + maxGrowth);
    fleet.setMachine(0, machineOf(memoryMb));
    fleet.reload(0);
    Processes::watchCrowd(callers, id, run);
    const auto left = memoryOf(id, "VmRSS");
    cr_expect_leq(left, idle + maxGrowth, "%zu kB, %zu kB idle", left, idle);
    cr_expect(isOrdinaryRequestAnswered(fleet), "no answer beside the crowd");
    cr_expect(fleet.processOf(0).isRunning(), "the process has ended");
}

/// Guards against callers that hold up a planned stop.
Test(UntrustedCallers, letAPlannedStopEnd)
{
    FleetSize size{1, 1, workers};
    size.machine = machineOf(memoryMb);
    size.limits = limits;
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    const UntrustedCallers callers(fleet.loop(), fleet.callersOf(0), crowd, almostWholeBodies());
    const auto id = fleet.processOf(0).id();
    Processes::watchCrowd(callers, id, [&](Duration time) { fleet.run(time); });
    fleet.stop(0);
    std::size_t peak = 0;
    for (unsigned steps = 0; steps < maxAttempts && fleet.processOf(0).id() == id; ++steps) {
        fleet.run(step);
        peak = std::max(peak, memoryOf(id, "VmHWM"));
    }
    cr_expect_neq(fleet.processOf(0).id(), id, "the process has not ended");
    cr_expect_leq(peak, memoryMb * kilobyte);
    cr_expect(isOrdinaryRequestAnswered(fleet), "no answer after the stop");
    const auto problems = fleet.finish();
    cr_assert(problems.empty(), "%s", problems.front().c_str());
}

/// Guards against limits that a single request within the stated ones meets, on the smallest machine.
Test(UntrustedCallers, singleLargeRequestIsServed)
{
    constexpr std::size_t largest = 4 * 1024 * kilobyte;
    FleetSize size{1, 1, 1};
    size.machine = "{memory_mb: 120}";
    size.limits = R"({"header_bytes": 16384, "max_body_bytes": )" + std::to_string(largest) + "}";
    Fleet fleet(size, 1);
    fleet.waitUntilReady();
    setAnswers(fleet, largest - kilobyte);
    Relay::UpstreamClient client(fleet.loop());
    const auto response = std::make_shared<Relay::WholeResponse>();
    client.fetch({fleet.callersOf(0), {}},
                 {"POST", "/work/1", {{"Host", "h"}, {"X-Request-Id", "n0:0"}}, std::string(largest, 'x')},
                 [response](const Relay::WholeResponse &received) { *response = received; }, {});
    for (unsigned steps = 0; steps < maxAttempts && response->head.status == 0; ++steps)
        fleet.run(step);
    cr_assert_eq(response->head.status, 200U, "%u", response->head.status);
    cr_assert_gt(response->body.size(), largest - 2 * kilobyte);
}
