#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace Gypsumtally::Testing
{

/// A TCP server that sends an endless response: a head once, then the same bytes repeatedly until the client closes the
/// connection.
class EndlessServer
{
public:
    /// Listens on a free loopback port. Sends @p head once on each connection, then @p filler repeatedly.
    EndlessServer(Http::EventLoop &loop, std::string head, const std::string &filler)
        : m_acceptor(loop.context(), {boost::asio::ip::address_v4::loopback(), 0})
        , m_head(std::move(head))
    {
        while (m_filler.size() < minWriteSize)
            m_filler += filler;
        accept();
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port(), false};
    }

    std::size_t bytesSent = 0;
    unsigned connections = 0; ///< Number of accepted connections.
    unsigned closed = 0; ///< Number of connections closed by the client.

private:
    static constexpr std::size_t minWriteSize = 4096;
    using tcp = boost::asio::ip::tcp;

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++connections;
            auto connection = std::make_shared<tcp::socket>(std::move(socket));
            connection->async_read_some(
                boost::asio::buffer(m_request),
                [this, connection](boost::system::error_code, std::size_t) { write(connection, m_head); });
            accept();
        });
    }

    void write(const std::shared_ptr<tcp::socket> &connection, const std::string &bytes)
    {
        boost::asio::async_write(*connection, boost::asio::buffer(bytes),
                                 [this, connection](boost::system::error_code error, std::size_t written) {
                                     bytesSent += written;
                                     if (error)
                                         ++closed;
                                     else
                                         write(connection, m_filler);
                                 });
    }

    tcp::acceptor m_acceptor;
    std::string m_head;
    std::string m_filler;
    std::array<char, 4096> m_request{};
};

} // namespace Gypsumtally::Testing
