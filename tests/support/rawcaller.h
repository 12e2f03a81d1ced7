#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <string_view>

namespace Gypsumtally::Testing
{

/// A caller that sends given bytes over TCP and observes what becomes of its connection. Sends at once; the loop has to
/// run for the server to read.
class RawCaller
{
public:
    /// Connects to @p endpoint, which must be listening on loopback.
    RawCaller(Http::EventLoop &loop, const Http::Endpoint &endpoint)
        : m_loop(loop)
        , m_socket(loop.context())
    {
        m_socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
        m_socket.non_blocking(true);
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// Ends the caller's direction of the connection only.
    void endSending()
    {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    /// Resets the connection. What the caller has sent before can still be read.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    static void runLoop(Http::EventLoop &loop, Duration time)
    {
        loop.context().restart();
        loop.context().run_for(time);
    }

    /// Runs the loop for @p time.
    void wait(Duration time = std::chrono::milliseconds{30})
    {
        runLoop(m_loop, time);
    }

    /// Reads until @p size bytes or a little more have been received in all, or nothing more has arrived.
    void read(std::size_t size)
    {
        std::array<char, 64 * 1024> bytes{};
        boost::system::error_code error;
        while (!error && m_received.size() < size)
            m_received.append(bytes.data(), m_socket.read_some(boost::asio::buffer(bytes), error));
        m_hasEnd = m_hasEnd || error == boost::asio::error::eof;
    }

    /// Reads what has arrived and returns all that has arrived so far.
    const std::string &received()
    {
        read(std::string::npos);
        return m_received;
    }

    /// Returns true if the server has ended its direction of the connection in order.
    bool hasEnd()
    {
        received();
        return m_hasEnd;
    }

    /// Returns true if the connection was reset: the server has not read all that was sent.
    bool wasReset()
    {
        tcp_info info{};
        socklen_t size = sizeof info;
        ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return info.tcpi_state == TCP_CLOSE;
    }

private:
    Http::EventLoop &m_loop;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    bool m_hasEnd = false;
};

} // namespace Gypsumtally::Testing
