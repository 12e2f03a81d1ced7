#include "processes/untrustedcallers.h"

#include "processes/processstatus.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace Gypsumtally::Processes
{

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

namespace
{

/// Returns @p text with the caller's number in it.
std::string numbered(std::string text, std::size_t number)
{
    constexpr std::string_view place = "{n}";
    if (const auto at = text.find(place); at != std::string::npos)
        text.replace(at, place.size(), std::to_string(number));
    return text;
}

} // namespace

struct UntrustedCallers::Connection {
    Connection(Http::EventLoop &loop, std::string text)
        : socket(loop.context())
        , beginning(std::move(text))
    {
    }

    tcp::socket socket;
    const std::string beginning;
    std::size_t part = 0; ///< 0 for the beginning, then the number of the piece, then the ending.
    std::size_t offset = 0; ///< In that part.
};

UntrustedCallers::UntrustedCallers(Http::EventLoop &loop, const Http::Endpoint &node, std::size_t count,
                                   UntrustedBytes bytes)
    : m_loop(loop)
    , m_node(node)
    , m_bytes(std::move(bytes))
{
    connectNext(count);
}

UntrustedCallers::~UntrustedCallers()
{
    for (const auto &connection : m_connections) {
        boost::system::error_code ignored;
        connection->socket.close(ignored);
    }
}

void UntrustedCallers::connectNext(std::size_t count)
{
    if (count == 0)
        return;
    const auto connection = std::make_shared<Connection>(m_loop, numbered(m_bytes.beginning, count));
    connection->socket.async_connect({asio::ip::make_address(m_node.address), m_node.port},
                                     [this, connection, count, alive = std::weak_ptr(m_isAlive)](const Error &error) {
                                         if (error || alive.expired())
                                             return;
                                         m_connections.push_back(connection);
                                         write(connection);
                                         connectNext(count - 1);
                                     });
}

const std::string &UntrustedCallers::textOf(const Connection &connection) const
{
    if (connection.part == 0)
        return connection.beginning;
    return connection.part <= m_bytes.pieces ? m_bytes.piece : m_bytes.ending;
}

void UntrustedCallers::write(const std::shared_ptr<Connection> &connection)
{
    const auto endingPart = m_bytes.pieces + 1;
    while (connection->part <= endingPart && connection->offset == textOf(*connection).size()) {
        ++connection->part;
        connection->offset = 0;
    }
    if (connection->part > endingPart) {
        Error ignored;
        if (m_bytes.isLeaving)
            connection->socket.close(ignored);
        return;
    }
    auto left = std::string_view(textOf(*connection)).substr(connection->offset);
    if (m_bytes.isByteByByte || connection->part == endingPart)
        left = left.substr(0, 1);
    connection->socket.async_write_some(
        asio::buffer(left), [this, connection, alive = std::weak_ptr(m_isAlive)](const Error &error, std::size_t size) {
            if (error || alive.expired())
                return;
            connection->offset += size;
            m_written += size;
            write(connection);
        });
}

std::size_t watchCrowd(const UntrustedCallers &callers, pid_t id, const std::function<void(Duration)> &run)
{
    constexpr Duration step = std::chrono::milliseconds{200};
    constexpr unsigned quietSteps = 5; // Without a byte, a connection or growth: the crowd has sent what is read.
    constexpr unsigned maxSteps = 100;
    std::size_t open = 0;
    unsigned quiet = 0;
    const auto activity = [&] { return callers.connected() + callers.written() + memoryOf(id, "VmHWM"); };
    for (unsigned steps = 0; quiet < quietSteps && steps < maxSteps; ++steps) {
        const auto before = activity();
        run(step);
        quiet = activity() == before ? quiet + 1 : 0;
        open = std::max(open, descriptorsOf(id));
    }
    return open;
}

std::string oneByteChunks(std::size_t size)
{
    std::string text;
    for (std::size_t byte = 0; byte < size; ++byte)
        text += "1\r\nx\r\n";
    return text;
}

} // namespace Gypsumtally::Processes
