#include "processes/fleet.h"
#include "processes/processstatus.h"
#include "processes/untrustedcallers.h"

#include "http/client.h"
#include "peer/controlclient.h"
#include "peer/controlmessages.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <sys/resource.h>

using namespace Gypsumtally;
using namespace Gypsumtally::Processes;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t maxGrowth = 260 * kilobyte / 2; ///< Half of an entry VM's memory, beyond the idle process.
constexpr std::size_t maxBody = 4096 * kilobyte; ///< By default.
constexpr std::size_t chunk = 64 * kilobyte;
constexpr std::size_t crowd = 64; ///< Its bodies have about twice the size by which the daemon may grow.
constexpr std::size_t slowBytes = 1000; ///< At the end of a body, that arrive one by one.
constexpr std::size_t maxConnections = 4096; ///< Of a listener, by default.
constexpr std::size_t reservedDescriptors = 200; ///< For files and other connections.
constexpr std::size_t fewDescriptors = 1024;
constexpr std::size_t pipelined = 2000; ///< Requests of each caller whose answers exceed all buffers of the kernel.
constexpr unsigned maxAttempts = 50; ///< Of the ordinary request.
constexpr Duration attemptTime = milliseconds{200};
constexpr unsigned maxStopSteps = 300; ///< Far more than a stop takes.

enum class Listener {
    Callers,
    Peers,
};

const std::string head = "POST /v1/services/booking/shifts HTTP/1.1\r\nHost: h\r\nGypsumtally-Idempotent: true\r\n";
const std::string onceHead = "POST /v1/services/booking/shifts HTTP/1.1\r\nHost: h\r\n"
                             "Gypsumtally-Idempotent: false\r\nIdempotency-Key: crowd-{n}\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string largeChunk = "10000\r\n" + std::string(chunk, 'x') + "\r\n";

/// Returns the first part of a body of @p size bytes with a length: all but @p missing bytes of a piece.
std::string beginningOf(std::size_t size, std::size_t missing)
{
    return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(chunk - missing, 'x');
}

std::string getRequests(const std::string &path)
{
    std::string text;
    for (std::size_t number = 0; number < pipelined; ++number)
        text += "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    return text;
}

std::string streamRequest()
{
    const std::string body = R"({"model": "base/adapter-0@1", "prompt": "p", "max_tokens": 100000, "stream": true})";
    return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

/// Returns a request with a body of about @p size bytes, whose prompt is a list of numbers.
std::string promptRequest(std::size_t size)
{
    std::string body = R"({"model": "base/adapter-0@1", "max_tokens": 2, "prompt": [0)";
    while (body.size() + 4 < size)
        body += ",0";
    body += "]}";
    return "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

UntrustedBytes almostWholeBodies()
{
    return {beginningOf(maxBody, 1), std::string(chunk, 'x'), maxBody / chunk - 1};
}

UntrustedBytes almostWholeChunkedBodies()
{
    return {chunkedHead, largeChunk, maxBody / chunk - 1};
}

UntrustedBytes idleConnections()
{
    return {};
}

struct CrowdCase {
    const char *name;
    Listener listener;
    std::size_t callers;
    UntrustedBytes (*bytes)(); ///< That each caller sends.
    std::size_t descriptors = 0; ///< Soft limit of the daemon's descriptors; 0 for the usual one.
    std::int64_t workMs = 0; ///< Time that the service takes for a request of the crowd.
};

const CrowdCase crowds[] = {
    {"legal bodies, one byte short", Listener::Callers, crowd, almostWholeBodies},
    {"legal bodies, one piece short", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{beginningOf(maxBody, 0), std::string(chunk, 'x'), maxBody / chunk - 2};
     }},
    {"chunked bodies in large chunks", Listener::Callers, crowd, almostWholeChunkedBodies},
    {"chunked bodies in one-byte chunks", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{chunkedHead, oneByteChunks(chunk), maxBody / chunk - 1};
     }},
    {"bodies over the limit, with a length", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{beginningOf(16 * maxBody, 0), std::string(chunk, 'x'), 16 * maxBody / chunk - 1};
     }},
    {"bodies over the limit, without a length", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{chunkedHead, largeChunk, 16 * maxBody / chunk};
     }},
    {"legal bodies", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{beginningOf(maxBody, 0), std::string(chunk, 'x'), maxBody / chunk - 1};
     }},
    {"legal bodies, the last bytes one by one", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{beginningOf(maxBody, slowBytes), std::string(chunk, 'x'), maxBody / chunk - 1, false,
                               std::string(slowBytes, 'x')};
     }},
    {"legal bodies at a slow service", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{beginningOf(maxBody, 0), std::string(chunk, 'x'), maxBody / chunk - 1};
     },
     0, 20'000},
    {"bodies that may run once, of callers that leave", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{onceHead + "Content-Length: " + std::to_string(maxBody) + "\r\n\r\n",
                               std::string(chunk, 'x'),
                               maxBody / chunk,
                               false,
                               {},
                               true};
     },
     0, 20'000},
    {"prompts of many values", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{promptRequest(maxBody), {}, 0};
     }},
    {"many idle connections", Listener::Callers, maxConnections + 104, idleConnections},
    {"many idle connections, few descriptors", Listener::Callers, 1100, idleConnections, fewDescriptors},
    {"pipelined requests with unread answers", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{{}, getRequests("/metrics"), 1};
     }},
    {"unread streams", Listener::Callers, crowd,
     [] {
         return UntrustedBytes{streamRequest(), {}, 0};
     }},
    {"legal bodies without a key, one byte short", Listener::Peers, crowd, almostWholeBodies},
    {"chunked bodies without a key in large chunks", Listener::Peers, crowd, almostWholeChunkedBodies},
    {"many idle connections of peers", Listener::Peers, maxConnections + 104, idleConnections},
    {"many idle connections of peers, few descriptors", Listener::Peers, 1100, idleConnections, fewDescriptors},
};

/// Limits the descriptors of this process and of those that it starts, as long as the object lives.
class DescriptorLimit
{
public:
    /// @p limit is 0 for the usual one.
    explicit DescriptorLimit(std::size_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_usual);
        auto lowered = m_usual;
        if (limit > 0)
            lowered.rlim_cur = limit;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~DescriptorLimit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_usual);
    }

    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_usual{};
};

std::unique_ptr<Fleet> startFleet(std::size_t descriptors)
{
    const DescriptorLimit limit(descriptors);
    FleetOptions options;
    options.daemons = 1;
    options.engines = 1;
    return std::make_unique<Fleet>(options);
}

void runFor(Http::EventLoop &loop, Duration time)
{
    loop.context().restart();
    loop.context().run_for(time);
}

/// Returns true if one of a few ordinary requests to the listener, sent in turn while the crowd goes on, is answered.
bool isOrdinaryRequestAnswered(Http::EventLoop &loop, Fleet &fleet, Listener listener)
{
    Http::Client client(loop);
    const auto isAnswered = std::make_shared<bool>(false);
    for (unsigned attempt = 0; attempt < maxAttempts && !*isAnswered; ++attempt) {
        Http::ResponseObserver observer;
        observer.onHead
            = [isAnswered](unsigned status, const Http::Headers &) { *isAnswered = *isAnswered || status == 200; };
        if (listener == Listener::Callers)
            client.send(fleet.daemons()[0]->endpoint(),
                        {"POST", "/v1/services/booking/shifts", {{"Gypsumtally-Idempotent", "true"}}, "{}"},
                        std::move(observer), {.mayReuseConnection = false});
        else
            client.send(fleet.peerEndpoint(0), controlRequest(fleet.operatorToken(), ControlMethod::status, "{}"),
                        std::move(observer), {.mayReuseConnection = false});
        runFor(loop, attemptTime);
    }
    return *isAnswered;
}

/// Lets the service take @p time for each request. The control request does not wait for the daemon.
void setWorkTime(Fleet &fleet, std::int64_t workMs)
{
    Fleet::sendControl(*fleet.services()[0], {{"work_ms", workMs}});
}

} // namespace

/// Guards against a daemon that runs out of memory or descriptors, or serves nobody else, because of callers, or of
/// others at the peers' listener, that hold what they can.
TABLE_TEST(DaemonCallers, leaveTheProcessAlive, crowds)
{
    const auto fleet = startFleet(row.descriptors);
    Http::EventLoop loop;
    cr_assert(isOrdinaryRequestAnswered(loop, *fleet, row.listener), "%s: no answer before the crowd", row.name);
    auto &daemon = *fleet->daemons()[0];
    const auto id = daemon.process().id();
    const auto idle = memoryOf(id, "VmRSS");
    const auto maxOpen = row.descriptors == 0 ? maxConnections + reservedDescriptors : row.descriptors;
    setWorkTime(*fleet, row.workMs);
    const auto endpoint = row.listener == Listener::Callers ? daemon.endpoint() : fleet->peerEndpoint(0);
    const UntrustedCallers callers(loop, endpoint, row.callers, row.bytes());
    const auto open = watchCrowd(callers, id, [&](Duration time) { runFor(loop, time); });
    setWorkTime(*fleet, 0);
    cr_expect(isOrdinaryRequestAnswered(loop, *fleet, row.listener), "%s: no answer beside the crowd", row.name);
    const auto other = row.listener == Listener::Callers ? Listener::Peers : Listener::Callers;
    cr_expect(isOrdinaryRequestAnswered(loop, *fleet, other), "%s: no answer at the other listener", row.name);
    cr_expect(daemon.process().isRunning(), "%s: the process has ended", row.name);
    const auto peak = memoryOf(id, "VmHWM");
    cr_log_info("%s: %zu kB idle, %zu kB at most, %zu descriptors, %zu connected, %zu bytes written", row.name, idle,
                peak, open, callers.connected(), static_cast<std::size_t>(callers.written()));
    cr_expect_leq(peak, idle + maxGrowth, "%s: %zu kB, %zu kB idle", row.name, peak, idle);
    cr_expect_leq(open, maxOpen, "%s: %zu descriptors", row.name, open);
}

namespace
{

struct StopCase {
    const char *name;
    Listener listener;
    UntrustedBytes (*bytes)(); ///< That each caller sends.
};

const StopCase stops[] = {
    {"legal bodies, one byte short", Listener::Callers, almostWholeBodies},
    {"chunked bodies in large chunks", Listener::Callers, almostWholeChunkedBodies},
    {"idle connections", Listener::Callers, idleConnections},
    {"legal bodies without a key, one byte short", Listener::Peers, almostWholeBodies},
    {"idle connections of peers", Listener::Peers, idleConnections},
};

} // namespace

/// Guards against callers that hold up a planned stop.
TABLE_TEST(DaemonCallers, letAPlannedStopEnd, stops)
{
    const auto fleet = startFleet(0);
    Http::EventLoop loop;
    auto &daemon = fleet->daemons()[0]->process();
    const auto idle = memoryOf(daemon.id(), "VmRSS");
    const auto endpoint = row.listener == Listener::Callers ? fleet->daemons()[0]->endpoint() : fleet->peerEndpoint(0);
    const UntrustedCallers callers(loop, endpoint, crowd, row.bytes());
    watchCrowd(callers, daemon.id(), [&](Duration time) { runFor(loop, time); });
    daemon.signal(SIGTERM);
    std::size_t peak = 0;
    for (unsigned steps = 0; steps < maxStopSteps && daemon.isRunning(); ++steps) {
        runFor(loop, attemptTime);
        peak = std::max(peak, memoryOf(daemon.id(), "VmHWM"));
    }
    const auto status = daemon.wait({});
    cr_expect(status == 0, "%s: status %d", row.name, status.value_or(-1));
    cr_expect_leq(peak, idle + maxGrowth, "%s: %zu kB", row.name, peak);
}

/// Guards against limits that a single request within the stated ones meets.
Test(DaemonCallers, singleLargeRequestIsServed)
{
    const auto fleet = startFleet(0);
    const auto result = Http::fetch(
        fleet->daemons()[0]->endpoint(),
        {"POST", "/v1/services/booking/shifts", {{"Gypsumtally-Idempotent", "true"}}, std::string(maxBody, 'x')});
    cr_assert(result.response.has_value(), "%s", result.failure.reason.c_str());
    cr_assert_eq(result.response->status, 200U, "%u", result.response->status);
}
