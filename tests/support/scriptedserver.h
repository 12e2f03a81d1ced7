#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Testing
{

/// A request as a ScriptedServer receives it.
struct ScriptedRequest {
    unsigned connection = 0; ///< Number of its connection, from 1.
    unsigned number = 0; ///< Its number on the connection, from 1.
    std::string text; ///< Its bytes.
};

/// A TCP server that keeps its connections open and writes whatever a script returns for each request. Requests must be
/// small, as each read is taken for a whole one.
class ScriptedServer
{
public:
    using Script = std::function<std::string(const ScriptedRequest &)>;

    /// Listens on a free loopback port.
    ScriptedServer(Http::EventLoop &loop, Script script)
        : m_acceptor(loop.context(), {boost::asio::ip::address_v4::loopback(), 0})
        , m_script(std::move(script))
    {
        accept();
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port(), false};
    }

    /// Writes @p bytes on connection @p number without a request. Precondition: the connection was accepted.
    void write(unsigned number, const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_connections.at(number - 1)->socket, boost::asio::buffer(bytes), ignored);
    }

    /// Returns the number of accepted connections.
    std::size_t connections() const
    {
        return m_connections.size();
    }

private:
    using tcp = boost::asio::ip::tcp;

    struct Connection {
        tcp::socket socket;
        unsigned number = 0;
        unsigned requests = 0;
        std::array<char, 4096> bytes{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            const auto number = static_cast<unsigned>(m_connections.size() + 1);
            m_connections.push_back(std::make_shared<Connection>(Connection{std::move(socket), number}));
            read(m_connections.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        connection->socket.async_read_some(boost::asio::buffer(connection->bytes),
                                           [this, connection](boost::system::error_code error, std::size_t received) {
                                               if (error)
                                                   return;
                                               ++connection->requests;
                                               write(connection->number,
                                                     m_script({connection->number, connection->requests,
                                                               std::string(connection->bytes.data(), received)}));
                                               read(connection);
                                           });
    }

    tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<std::shared_ptr<Connection>> m_connections;
};

} // namespace Gypsumtally::Testing
