#include "http/eventloop.h"
#include "relay/callerserver.h"

#include "support/rawcaller.h"
#include "support/table.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Relay;
using Testing::RawCaller;

namespace
{

const char question[] = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nqq";
const std::string id = "request 1";

/// More than the kernel takes for a caller that does not read, and less than a connection buffers.
constexpr std::size_t largeBytes = 16 * 1024 * 1024;
constexpr std::size_t bufferBytes = 24 * 1024 * 1024;

CallerServerSettings settings()
{
    CallerServerSettings settings;
    settings.maxBufferedBytes = bufferBytes;
    return settings;
}

/// A server that holds the exchange of one request, and records what it reports.
struct ReportingServer {
    ReportingServer()
        : server(loop, settings(),
                 [this](std::shared_ptr<CallerExchange> exchange) {
                     exchange->setId(id);
                     held = std::move(exchange);
                 })
        , caller(loop, {"127.0.0.1", server.listen({"127.0.0.1", 0}), false})
    {
        server.onUnanswered([this](const UnansweredRequest &request) { reports.push_back(request); });
        caller.send(question);
        caller.wait();
    }

    Http::EventLoop loop;
    std::shared_ptr<CallerExchange> held;
    std::vector<UnansweredRequest> reports;
    CallerServer server;
    RawCaller caller;
};

struct EndCase {
    const char *name;
    void (*end)(ReportingServer &server);
    std::optional<UnansweredCause> cause; ///< Nothing if the answer is whole.
    bool hasBegun;
};

void begin(ReportingServer &server)
{
    server.held->begin(200, {}, std::nullopt);
}

const EndCase ends[] = {
    {"whole answer",
     [](ReportingServer &server) {
         server.held->respond({200, {}, "a"});
     },
     {},
     true},
    {"whole answer in pieces",
     [](ReportingServer &server) {
         begin(server);
         server.held->write("a");
         server.held->end();
     },
     {},
     true},
    {"caller ends its direction", [](ReportingServer &server) { server.caller.endSending(); },
     UnansweredCause::CallerClosed, false},
    {"caller resets", [](ReportingServer &server) { server.caller.reset(); }, UnansweredCause::CallerReset, false},
    {"write after a reset",
     [](ReportingServer &server) {
         begin(server);
         server.caller.reset();
         server.held->write("a");
     },
     UnansweredCause::WriteFailed, true},
    {"buffer is full",
     [](ReportingServer &server) {
         server.held->respond({200, {}, std::string(2 * bufferBytes, 'x')});
     },
     UnansweredCause::BufferFull, true},
    {"whole answer is not read",
     [](ReportingServer &server) {
         server.held->respond({200, {}, std::string(largeBytes, 'x')});
         server.held.reset();
         server.caller.wait();
         server.server.sweep(BootClock{}.now() + std::chrono::minutes{1});
     },
     UnansweredCause::NotRead, true},
    {"answer breaks off",
     [](ReportingServer &server) {
         begin(server);
         server.held->abort();
     },
     UnansweredCause::Aborted, true},
    {"break before the answer", [](ReportingServer &server) { server.held->abort(); }, UnansweredCause::Aborted, false},
    {"release", [](ReportingServer &server) { server.held.reset(); }, UnansweredCause::Released, false},
    {"release within an answer",
     [](ReportingServer &server) {
         begin(server);
         server.held.reset();
     },
     UnansweredCause::Released, true},
    {"exit before the answer", [](ReportingServer &server) { server.server.reportUnwritten(); }, UnansweredCause::Exit,
     false},
    {"exit before an answer is written",
     [](ReportingServer &server) {
         server.held->respond({200, {}, std::string(largeBytes, 'x')});
         server.held.reset();
         server.server.reportUnwritten();
     },
     UnansweredCause::Exit, true},
};

struct ReleaseCase {
    const char *name;
    std::optional<Verdict> verdict;
    bool hasBegun;
    const char *answer; ///< Start of what the caller gets.
};

const ReleaseCase releases[] = {
    {"was sent nowhere", Verdict::NotRun, false, "HTTP/1.1 503 "},
    {"may have run", Verdict::MayHaveRun, false, "HTTP/1.1 502 "},
    {"its answer has begun", Verdict::MayHaveRun, true, "HTTP/1.1 200 "},
    {"nothing is known of it", {}, false, ""},
};

} // namespace

/// Guards against requests whose connection was closed without an answer for a reason that nothing told.
TABLE_TEST(UnansweredRequest, isReportedOnceWithItsCause, ends)
{
    ReportingServer server;
    row.end(server);
    server.caller.wait();
    server.held.reset();
    server.caller.wait();
    cr_assert_eq(server.reports.size(), row.cause ? 1U : 0U, "%s: %zu reports", row.name, server.reports.size());
    if (!row.cause)
        return;
    const auto &report = server.reports.front();
    cr_expect(report.cause == *row.cause, "%s: %s", row.name, std::string(nameOf(report.cause)).c_str());
    cr_expect(report.id == id, "%s: %s", row.name, report.id.c_str());
    cr_expect_eq(report.hasBegun, row.hasBegun, "%s", row.name);
}

/// Guards against a closed connection where the caller could have been told what became of its request.
TABLE_TEST(UnansweredRequest, isRefusedWhenItIsReleased, releases)
{
    ReportingServer server;
    if (row.verdict)
        server.held->refuseOnRelease(*row.verdict);
    if (row.hasBegun)
        begin(server);
    server.held.reset();
    server.caller.wait();
    const auto &received = server.caller.received();
    cr_expect(received.starts_with(row.answer), "%s: %s", row.name, received.c_str());
    cr_expect(*row.answer != '\0' || received.empty(), "%s: %s", row.name, received.c_str());
    cr_expect(server.caller.hasEnd(), "%s", row.name);
    cr_expect_eq(server.server.activeRequests(), 0U, "%s", row.name);
}
