#include "http/server.h"

#include "http/client.h"
#include "http/eventloop.h"
#include "support/table.h"

#include <string>
#include <thread>

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
