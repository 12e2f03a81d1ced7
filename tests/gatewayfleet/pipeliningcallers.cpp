#include "gatewayfleet/pipeliningcallers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace
{

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr Duration patience = std::chrono::seconds{12}; ///< After which a caller resets its connection.
constexpr std::string_view statusLine = "HTTP/1.1 ";
constexpr std::string_view idField = "\r\nX-Request-Id: ";

std::string requestsFor(const std::string &path, const std::vector<std::string> &ids)
{
    std::string text;
    for (const auto &id : ids) {
        text.append("POST ").append(path).append(" HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-Request-Id: ");
        text.append(id).append("\r\n\r\nbody");
    }
    return text;
}

/// Returns the number of heads of answers in @p bytes.
std::size_t answersIn(std::string_view bytes)
{
    std::size_t answers = 0;
    for (auto at = bytes.find(statusLine); at != std::string_view::npos; at = bytes.find(statusLine, at + 1))
        ++answers;
    return answers;
}

} // namespace

struct PipeliningCallers::Connection {
    explicit Connection(Http::EventLoop &loop)
        : socket(loop.context())
    {
    }

    tcp::socket socket;
    std::vector<std::string> ids;
    std::string requests;
    std::string received;
    std::array<char, 4096> buffer{};
    Instant sentAt{};
    bool isReset = false;
};

PipeliningCallers::PipeliningCallers(Http::EventLoop &loop,
                                     std::function<void(const std::string &id, Instant sentAt)> onUnanswered)
    : m_loop(loop)
    , m_onUnanswered(std::move(onUnanswered))
{
}

void PipeliningCallers::send(const Http::Endpoint &node, const std::string &path, const std::vector<std::string> &ids)
{
    sendAndReset(node, path, ids, patience);
}

void PipeliningCallers::sendAndReset(const Http::Endpoint &node, const std::string &path,
                                     const std::vector<std::string> &ids, Duration time)
{
    m_loop.runAfter(time, [connection = std::weak_ptr(open(node, path, ids))] {
        const auto still = connection.lock();
        if (!still)
            return;
        Error ignored;
        still->isReset = true;
        still->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        still->socket.close(ignored);
    });
}

PipeliningCallers::ConnectionPtr PipeliningCallers::open(const Http::Endpoint &node, const std::string &path,
                                                         const std::vector<std::string> &ids)
{
    auto connection = std::make_shared<Connection>(m_loop);
    connection->ids = ids;
    connection->requests = requestsFor(path, ids);
    const tcp::endpoint endpoint(boost::asio::ip::make_address(node.address), node.port);
    connection->socket.async_connect(endpoint, [this, connection](const Error &error) {
        if (error)
            return;
        connection->sentAt = BootClock{}.now();
        boost::asio::async_write(connection->socket, boost::asio::buffer(connection->requests),
                                 [connection](const Error &, std::size_t) {});
        read(connection);
    });
    return connection;
}

void PipeliningCallers::read(const ConnectionPtr &connection)
{
    connection->socket.async_read_some(boost::asio::buffer(connection->buffer),
                                       [this, connection](const Error &error, std::size_t size) {
                                           if (connection->isReset)
                                               return;
                                           if (error)
                                               return onClosed(*connection);
                                           connection->received.append(connection->buffer.data(), size);
                                           if (answersIn(connection->received) < connection->ids.size())
                                               return read(connection);
                                           checkAnswers(*connection);
                                       });
}

void PipeliningCallers::onClosed(const Connection &connection)
{
    checkAnswers(connection);
    const auto answers = answersIn(connection.received);
    if (answers < connection.ids.size())
        m_onUnanswered(connection.ids[answers], connection.sentAt);
}

/// Each answer bears the id of the request whose turn it is, or none if the node refuses the request itself.
void PipeliningCallers::checkAnswers(const Connection &connection)
{
    const std::string_view bytes = connection.received;
    std::size_t number = 0;
    for (auto at = bytes.find(statusLine); at != std::string_view::npos; ++number) {
        const auto next = bytes.find(statusLine, at + 1);
        const auto answer = bytes.substr(at, next == std::string_view::npos ? next : next - at);
        const auto field = answer.find(idField);
        at = next;
        if (number >= connection.ids.size())
            m_problems.push_back(connection.ids.front() + " and those behind it got too many answers");
        else if (field != std::string_view::npos
                 && !answer.substr(field + idField.size()).starts_with(connection.ids[number] + "\r\n"))
            m_problems.push_back(connection.ids[number] + " got the answer to another request");
    }
}

} // namespace Gypsumtally::GatewayFleet
