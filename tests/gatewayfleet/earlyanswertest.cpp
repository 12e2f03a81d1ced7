#include "gatewayfleet/gatewayfleet.h"
#include "support/rawserver.h"
#include "support/table.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Testing::ConnectionEnd;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr Duration heartbeatInterval = seconds{1};
constexpr Duration deliveryTime = milliseconds{20}; ///< Until a node has read the worker's bytes.
constexpr std::size_t maxHeadBytes = 16 * 1024;

/// A worker that answers GET in full, and POST by the head of the request alone with a response without a length, after
/// which it ends the connection.
class EarlyWorker
{
public:
    EarlyWorker(Fleet &fleet, std::string status, ConnectionEnd end)
        : m_fleet(fleet)
        , m_acceptor(fleet.loop().context(), {boost::asio::ip::address_v4::loopback(), 0})
        , m_status(std::move(status))
        , m_end(end)
    {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(Testing::smallReceiveBuffer));
        accept();
        publish();
    }

    /// Resets the connections of the node at @p address, and from now on each new one.
    void shun(const std::string &address)
    {
        m_shunned = address;
        for (const auto &connection : m_connections)
            resetIfShunned(*connection);
    }

    unsigned posts = 0; ///< Number of requests with POST that it has answered.
    std::set<std::string> posted; ///< Their ids.

private:
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
            boost::system::error_code ignored;
            address = socket.remote_endpoint(ignored).address().to_string();
        }

        tcp::socket socket;
        std::string address; ///< Of the node.
        boost::asio::streambuf bytes{maxHeadBytes};
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void publish()
    {
        m_fleet.store().put("servers/early", R"({"service": "web", "address": "127.0.0.1:)"
                                                 + std::to_string(m_acceptor.local_endpoint().port())
                                                 + R"(", "zone": "a", "version": "v1", "slots": 16, "state": "ready",)"
                                                 + R"("cold_ms": 0, "seq": 1, "born": 1000})");
        m_fleet.after(heartbeatInterval, [this] { publish(); });
    }

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
            resetIfShunned(*m_connections.back());
            read(m_connections.back());
            accept();
        });
    }

    void resetIfShunned(Connection &connection)
    {
        if (connection.address == m_shunned)
            Testing::endConnection(connection.socket, ConnectionEnd::Reset);
    }

    void read(const ConnectionPtr &connection)
    {
        boost::asio::async_read_until(connection->socket, connection->bytes, "\r\n\r\n",
                                      [this, connection](boost::system::error_code error, std::size_t length) {
                                          if (error)
                                              return;
                                          const auto *data = static_cast<const char *>(connection->bytes.data().data());
                                          const std::string head(data, length);
                                          connection->bytes.consume(length);
                                          answer(connection, head);
                                      });
    }

    void answer(const ConnectionPtr &connection, const std::string &head)
    {
        const bool isPost = head.starts_with("POST");
        const auto id = valueOf(head, "X-Request-Id: ");
        const auto lengthField = "Content-Length: " + std::to_string(id.size()) + "\r\n";
        const auto text = "HTTP/1.1 " + (isPost ? m_status : "200 OK")
                          + "\r\nX-Instance-Id: early\r\nX-Request-Id: " + id + "\r\nX-Response-Signature: s\r\n"
                          + (isPost ? "" : lengthField) + "\r\n" + (isPost ? "part of it" : id);
        boost::system::error_code error;
        boost::asio::write(connection->socket, boost::asio::buffer(text), error);
        if (!isPost)
            return read(connection);
        ++posts;
        posted.insert(id);
        m_fleet.after(deliveryTime, [this, connection] { Testing::endConnection(connection->socket, m_end); });
    }

    static std::string valueOf(const std::string &head, const std::string &field)
    {
        const auto at = head.find(field);
        if (at == std::string::npos)
            return {};
        const auto begin = at + field.size();
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    Fleet &m_fleet;
    tcp::acceptor m_acceptor;
    std::string m_status;
    ConnectionEnd m_end;
    std::string m_shunned;
    std::vector<ConnectionPtr> m_connections; ///< All that it has accepted, as a shutdown leaves them open for reading.
};

struct EarlyAnswerCase {
    const char *name;
    const char *status;
    ConnectionEnd end;
    bool isRelayed; ///< The caller's node reaches the worker through a peer only.
};

const EarlyAnswerCase cases[] = {
    {"success, reset", "200 OK", ConnectionEnd::Reset, false},
    {"success, closed", "200 OK", ConnectionEnd::Close, false},
    {"success, shut down", "200 OK", ConnectionEnd::Shutdown, false},
    {"failure, reset", "422 Unprocessable", ConnectionEnd::Reset, false},
    {"success at a peer, reset", "200 OK", ConnectionEnd::Reset, true},
    {"success at a peer, shut down", "200 OK", ConnectionEnd::Shutdown, true},
};

constexpr unsigned tries = 8; ///< Requests that the worker answers.
constexpr unsigned maxRequests = 5 * tries;
constexpr Duration maxAnswerTime = seconds{2}; ///< Of a node; the route's time-out is longer.
constexpr Duration warmUp = seconds{3}; ///< In which the nodes see what their peers reach.
constexpr Load ordinaryLoad{12};
const std::string firstAddress = "127.1.0.1"; ///< Of the first node's connections.
const std::string largeBodies
    = R"({"header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})";

/// Sends a request whose body the worker leaves unread. Returns the answer; status 0 if there is none in time.
Relay::WholeResponse post(Fleet &fleet, unsigned number)
{
    Relay::UpstreamClient client(fleet.loop());
    const auto answer = std::make_shared<Relay::WholeResponse>();
    Relay::SendOptions options;
    options.maxIdleAge = {};
    const Http::Request request{
        "POST",
        "/work/1",
        {{"Host", "h"}, {"X-Request-Id", "n0:p" + std::to_string(number)}, {"X-Timeout-Ms", "6000"}},
        std::string(Testing::sizeOfPendingBody(), 'x')};
    client.fetch(
        {fleet.callersOf(0), {}}, request, [answer](const Relay::WholeResponse &response) { *answer = response; },
        options);
    const auto end = BootClock{}.now() + maxAnswerTime;
    while (answer->head.status == 0 && BootClock{}.now() < end)
        fleet.run(milliseconds{50});
    return *answer;
}

} // namespace

/// A worker answered a long upload with a part of an answer and reset the connection while the upload was being
/// written; the caller got the part as a whole answer.
TABLE_TEST(EarlyAnswer, isNoWholeAnswerOfACaller, cases)
{
    FleetSize size{2, 0, 0};
    size.limits = largeBodies;
    Fleet fleet(size, 1);
    EarlyWorker worker(fleet, row.status, row.end);
    fleet.waitUntilReady();
    fleet.setLoad(ordinaryLoad);
    fleet.run(warmUp);
    if (row.isRelayed) {
        worker.shun(firstAddress);
        for (int i = 0; i < 200 && fleet.logLines("call_relayed") == 0; ++i)
            fleet.run(milliseconds{50});
        cr_assert_gt(fleet.logLines("call_relayed"), 0U, "%s", row.name);
    }
    unsigned sent = 0;
    // A node that has lost its path to the worker tries it again at times, so that not all requests reach the worker.
    for (; worker.posts < tries && sent < maxRequests; ++sent) {
        const auto answer = post(fleet, sent);
        cr_expect_eq(answer.head.status, 502U, "%s: %u %s %s", row.name, answer.head.status, answer.body.c_str(),
                     answer.failure.c_str());
        if (!row.isRelayed)
            cr_expect_eq(worker.posts, sent + 1, "%s: %u requests at the worker", row.name, worker.posts);
    }
    cr_expect_eq(worker.posts, tries, "%s: %u requests at the worker", row.name, worker.posts);
    cr_expect_eq(worker.posted.size(), worker.posts, "%s: a request ran twice", row.name);
    cr_expect_geq(fleet.logLines("send_failed"), tries, "%s: an operator sees no broken answer", row.name);
    const auto &reads = fleet.tally(CallerRequest::Read);
    cr_expect_gt(reads.served, 0U, "%s", row.name);
}
