#include "gatewayfleet/untrustedcallers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string_view>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace asio = boost::asio;
using asio::ip::tcp;
using Error = boost::system::error_code;

struct UntrustedCallers::Connection {
    explicit Connection(Http::EventLoop &loop)
        : socket(loop.context())
    {
    }

    tcp::socket socket;
    std::size_t part = 0; ///< 0 for the beginning, then the number of the piece.
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
    const auto connection = std::make_shared<Connection>(m_loop);
    connection->socket.async_connect({asio::ip::make_address(m_node.address), m_node.port},
                                     [this, connection, count, alive = std::weak_ptr(m_isAlive)](const Error &error) {
                                         if (error || alive.expired())
                                             return;
                                         m_connections.push_back(connection);
                                         write(connection);
                                         connectNext(count - 1);
                                     });
}

void UntrustedCallers::write(const std::shared_ptr<Connection> &connection)
{
    while (connection->part <= m_bytes.pieces
           && connection->offset == (connection->part == 0 ? m_bytes.beginning : m_bytes.piece).size()) {
        ++connection->part;
        connection->offset = 0;
    }
    if (connection->part > m_bytes.pieces)
        return;
    std::string_view left = connection->part == 0 ? m_bytes.beginning : m_bytes.piece;
    left.remove_prefix(connection->offset);
    if (m_bytes.isByteByByte)
        left = left.substr(0, 1);
    connection->socket.async_write_some(asio::buffer(left),
                                        [this, connection](const boost::system::error_code &error, std::size_t size) {
                                            if (error)
                                                return;
                                            connection->offset += size;
                                            m_written += size;
                                            write(connection);
                                        });
}

} // namespace Gypsumtally::GatewayFleet
