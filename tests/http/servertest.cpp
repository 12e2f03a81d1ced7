#include "http/server.h"

#include "http/client.h"
#include "http/eventloop.h"
#include "support/rawcaller.h"
#include "support/table.h"

#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Http;

namespace
{

/// Serves on a thread of its own until it is destroyed.
class RunningServer
{
public:
    RunningServer(ServerLimits limits, Server::Handler handler)
        : m_server(m_loop, limits, std::move(handler),
                   [](unsigned status, const std::string &reason) {
                       return Response{status, {}, reason};
                   })
        , m_port(m_server.listen({"127.0.0.1", 0, false}))
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~RunningServer()
    {
        m_loop.stop();
        m_thread.join();
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_port, false};
    }

private:
    EventLoop m_loop;
    Server m_server;
    std::uint16_t m_port;
    std::thread m_thread;
};

struct LimitCase {
    std::size_t bodyBytes;
    std::size_t headerBytes;
    unsigned status;
};

const LimitCase limitCases[] = {
    {10, 10, 200},
    {1000, 10, 200},
    {1001, 10, 413},
    {10, 5000, 431},
};

} // namespace

TABLE_TEST(Server, rejectsRequestsOverLimits, limitCases)
{
    ServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 4000;
    const RunningServer server(limits, [](const Request &request, const std::shared_ptr<Responder> &responder) {
        responder->respond({200, {}, std::to_string(request.body.size())});
    });
    Request request{"POST", "/", {{"X-Filler", std::string(row.headerBytes, 'x')}}, std::string(row.bodyBytes, 'y')};
    const auto result = fetch(server.endpoint(), std::move(request));
    cr_assert(result.response.has_value(), "%s", result.failure.reason.c_str());
    cr_assert_eq(result.response->status, row.status);
}

Test(Server, unansweredRequestClosesConnection)
{
    const RunningServer server({}, [](const Request &, const std::shared_ptr<Responder> &) {});
    const auto result = fetch(server.endpoint(), {});
    cr_assert_not(result.response.has_value());
    cr_assert(result.failure.sent);
}

namespace
{

const char question[] = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nqq";

/// Where a request is when the server begins to drain.
enum class Place {
    InFlight,
    HalfRead,
    Pipelined, ///< Behind one that is in flight.
    InKernel, ///< In the kernel's buffer, unread.
    OnItsWay, ///< It arrives later.
};

struct DrainCase {
    const char *name;
    Place place;
    unsigned answers;
};

const DrainCase drains[] = {
    {"in flight", Place::InFlight, 1},     {"half read", Place::HalfRead, 1},  {"pipelined", Place::Pipelined, 2},
    {"in the kernel", Place::InKernel, 1}, {"on its way", Place::OnItsWay, 0},
};

unsigned answersIn(const std::string &text)
{
    unsigned count = 0;
    for (auto at = text.find("HTTP/1.1 200"); at != std::string::npos; at = text.find("HTTP/1.1 200", at + 1))
        ++count;
    return count;
}

} // namespace

/// Guards against a request that is read while its connection closes, and then gets no answer.
TABLE_TEST(Server, answersOrLeavesRequestsUnreadAtDrain, drains)
{
    EventLoop loop;
    std::vector<std::shared_ptr<Responder>> held;
    unsigned requests = 0;
    Server server(
        loop, {},
        [&](const Request &, const std::shared_ptr<Responder> &responder) {
            ++requests;
            held.push_back(responder);
        },
        [](unsigned status, const std::string &reason) {
            return Response{status, {}, reason};
        });
    const Endpoint endpoint{"127.0.0.1", server.listen({"127.0.0.1", 0, false}), false};
    Testing::RawCaller caller(loop, endpoint);
    caller.wait();
    const std::string text = std::string(question) + (row.place == Place::Pipelined ? question : "");
    std::size_t early = text.size();
    if (row.place == Place::HalfRead)
        early = 10;
    else if (row.place == Place::OnItsWay)
        early = 0;
    caller.send(std::string_view(text).substr(0, early));
    if (row.place != Place::InKernel)
        caller.wait();
    server.drain();
    caller.wait();
    caller.send(std::string_view(text).substr(early));
    for (int round = 0; round < 2; ++round) {
        caller.wait();
        for (const auto &responder : std::exchange(held, {}))
            responder->respond({200, {}, "a"});
    }
    caller.wait();
    const auto answers = answersIn(caller.received());
    cr_assert_eq(answers, row.answers, "%s: %u answers", row.name, answers);
    cr_assert_eq(requests, answers, "%s: %u read", row.name, requests);
    cr_assert(answers > 0 ? caller.hasEnd() : caller.wasReset(), "%s", row.name);
}
