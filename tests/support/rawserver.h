#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally::Testing
{

/// How a RawServer ends a connection after its bytes.
enum class ConnectionEnd {
    Close, ///< In order; with a reset if a part of the request is unread.
    Reset,
    Shutdown, ///< In order, for writing only; nothing more is read.
    KeepOpen,
};

/// Ends @p connection in the way that @p end names.
inline void endConnection(boost::asio::ip::tcp::socket &connection, ConnectionEnd end)
{
    boost::system::error_code ignored;
    switch (end) {
    case ConnectionEnd::Reset:
        connection.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        [[fallthrough]];
    case ConnectionEnd::Close:
        connection.close(ignored);
        break;
    case ConnectionEnd::Shutdown:
        connection.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        break;
    case ConnectionEnd::KeepOpen:
        break;
    }
}

/// Size of the receive buffer of a server that leaves requests unread, in bytes.
inline constexpr int smallReceiveBuffer = 8 * 1024;

/// Returns the size of a body that the kernel cannot take whole from its sender while a server with a small receive
/// buffer leaves it unread, in bytes.
inline std::size_t sizeOfPendingBody()
{
    std::size_t least = 0;
    std::size_t usual = 0;
    std::size_t most = 0;
    std::ifstream("/proc/sys/net/ipv4/tcp_wmem") >> least >> usual >> most;
    constexpr std::size_t beyondBuffers = 1024 * 1024;
    return most + beyondBuffers;
}

/// A TCP server that answers the first request on each connection with given bytes and then ends the connection.
class RawServer
{
public:
    /// Listens on a free loopback port. Connections get the kernel's usual receive buffer, unless its size is given.
    RawServer(Http::EventLoop &loop, std::string bytes, ConnectionEnd end, int receiveBuffer = 0)
        : m_loop(loop)
        , m_acceptor(loop.context(), {boost::asio::ip::address_v4::loopback(), 0})
        , m_bytes(std::move(bytes))
        , m_end(end)
    {
        if (receiveBuffer > 0)
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        accept();
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port(), false};
    }

    unsigned connections = 0; ///< Number of accepted connections.
    std::size_t pieceBytes = 0; ///< Size of the pieces in which it writes; 0: it writes all at once.

private:
    using tcp = boost::asio::ip::tcp;
    static constexpr Duration deliveryTime = std::chrono::milliseconds{20}; ///< Until the client has read the bytes.

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++connections;
            const auto connection = std::make_shared<tcp::socket>(std::move(socket));
            m_open.push_back(connection);
            connection->async_read_some(boost::asio::buffer(m_request),
                                        [this, connection](boost::system::error_code, std::size_t) {
                                            boost::system::error_code ignored;
                                            connection->set_option(tcp::no_delay(true), ignored);
                                            answer(connection, 0);
                                        });
            accept();
        });
    }

    /// Writes its bytes from @p begin on.
    void answer(const std::shared_ptr<tcp::socket> &connection, std::size_t begin)
    {
        const auto end = pieceBytes == 0 ? m_bytes.size() : std::min(begin + pieceBytes, m_bytes.size());
        boost::system::error_code error;
        boost::asio::write(*connection, boost::asio::buffer(m_bytes.data() + begin, end - begin), error);
        if (!error && end < m_bytes.size())
            return m_loop.post([this, connection, end] { answer(connection, end); });
        m_loop.runAfter(deliveryTime, [this, connection] { endConnection(*connection, m_end); });
    }

    Http::EventLoop &m_loop;
    tcp::acceptor m_acceptor;
    std::string m_bytes;
    ConnectionEnd m_end;
    std::array<char, 4096> m_request{};
    std::vector<std::shared_ptr<tcp::socket>> m_open;
};

/// An answer that states neither a length nor chunks.
struct UnframedCase {
    const char *name;
    const char *bytes;
    ConnectionEnd end;
    bool isWhole; ///< Expected; otherwise the exchange fails.
    const char *body; ///< Expected of a whole answer.
};

inline const UnframedCase unframedAnswers[] = {
    {"closed in order", "HTTP/1.1 200 OK\r\n\r\nall of it", ConnectionEnd::Close, true, "all of it"},
    {"without a body", "HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::Close, true, ""},
    {"with a keep-alive that cannot hold", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n\r\nall of it",
     ConnectionEnd::Close, true, "all of it"},
    {"reset", "HTTP/1.1 200 OK\r\n\r\nonly a pa", ConnectionEnd::Reset, false, ""},
    {"closed within the head", "HTTP/1.1 200 OK\r\nServ", ConnectionEnd::Close, false, ""},
    {"silent without an end", "HTTP/1.1 200 OK\r\n\r\nonly a pa", ConnectionEnd::KeepOpen, false, ""},
};

/// An answer that is sent before the request has been written whole.
struct EarlyAnswerCase {
    const char *name;
    const char *bytes;
    ConnectionEnd end;
    bool isWhole; ///< Expected; otherwise the exchange fails.
};

inline const EarlyAnswerCase earlyAnswers[] = {
    {"success without a length, reset", "HTTP/1.1 200 OK\r\n\r\nall of it", ConnectionEnd::Reset, false},
    {"success without a length, closed", "HTTP/1.1 200 OK\r\n\r\nall of it", ConnectionEnd::Close, false},
    {"success without a length, shut down", "HTTP/1.1 200 OK\r\n\r\nall of it", ConnectionEnd::Shutdown, false},
    {"success without a body, reset", "HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::Reset, false},
    {"success without a body, shut down", "HTTP/1.1 200 OK\r\n\r\n", ConnectionEnd::Shutdown, false},
    {"refusal without a length, reset", "HTTP/1.1 413 Large\r\n\r\nall of it", ConnectionEnd::Reset, false},
    {"refusal without a length, closed", "HTTP/1.1 413 Large\r\n\r\nall of it", ConnectionEnd::Close, false},
    {"refusal without a length, shut down", "HTTP/1.1 413 Large\r\n\r\nall of it", ConnectionEnd::Shutdown, true},
    {"part of a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nall of it", ConnectionEnd::Reset, false},
    {"part of a length, shut down", "HTTP/1.1 413 Large\r\nContent-Length: 10\r\n\r\nall of it",
     ConnectionEnd::Shutdown, false},
    {"chunks without an end, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n",
     ConnectionEnd::Reset, false},
    {"chunks without an end, shut down", "HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n",
     ConnectionEnd::Shutdown, false},
    {"whole length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it", ConnectionEnd::Reset, true},
    {"whole length, closed", "HTTP/1.1 413 Large\r\nContent-Length: 9\r\n\r\nall of it", ConnectionEnd::Close, true},
    {"whole chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n",
     ConnectionEnd::Reset, true},
};

/// A request that a server with a small receive buffer leaves unread, when it answers with a success without a length
/// and closes the connection in order.
struct UnreadRequestCase {
    const char *name;
    std::size_t bodyBytes; ///< All of which the client's kernel takes.
    bool isWhole; ///< Expected of the answer.
};

inline const UnreadRequestCase unreadRequests[] = {
    {"received by the server's kernel", 1000, true},
    {"still in the client's kernel", 300 * 1024, false},
};

/// Heads whose status line is not one of a response, up to the end of the line.
inline const char *const invalidStatusLines[] = {
    "HTTP/1.1 000 Unknown",
    "HTTP/1.1 099 Unknown",
    "HTTP/1.1 600 Unknown",
    "HTTP/1.1 999 Unknown",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1 101 Switching Protocols",
};

/// A line among the fields of a response that is no field.
struct InvalidFieldCase {
    const char *name;
    std::string_view line; ///< Without its end.
};

inline const InvalidFieldCase invalidFields[] = {
    {"blank before the colon", "X-B : c"},
    {"tab before the colon", "X-B\t: c"},
    {"blank in the name", "X B: c"},
    {"tab in the name", "X\tB: c"},
    {"NUL in the name", std::string_view("X\0B: c", 6)},
    {"0x01 in the name", "X\x01"
                         "B: c"},
    {"DEL in the name", "X\x7f"
                        "B: c"},
    {"byte above ASCII in the name", "X\xc3\xa4: c"},
    {"parenthesis in the name", "X(B): c"},
    {"blank before the name", " X-B: c"},
    {"tab before the name", "\tX-B: c"},
    {"blank before the name of the length", " Content-Length: 2"},
    {"empty name", ": c"},
    {"no colon", "X-B"},
    {"blank in the name of the length", "Content Length: 2"},
    {"blank after the name of the length", "Content-Length : 2"},
    {"blank after the name of the coding", "Transfer-Encoding : chunked"},
    {"NUL in the value", std::string_view("X-B: c\0d", 8)},
    {"0x01 in the value", "X-B: c\x01"},
    {"DEL in the value", "X-B: c\x7f"},
    {"bare CR in the value", "X-B: c\rX-C: d"},
    {"bare LF in the value", "X-B: c\nX-C: d"},
    {"length that contradicts the framing", "Content-Length: 4"},
};

/// Returns responses with @p line first, in the middle and last in the head, and as a trailer. Their body is `xyz`.
inline std::vector<std::string> responsesWith(std::string_view line)
{
    const std::string field = std::string(line) + "\r\n";
    const std::string status = "HTTP/1.1 200 OK\r\n";
    return {status + field + "X-A: b\r\nContent-Length: 3\r\n\r\nxyz",
            status + "X-A: b\r\n" + field + "Content-Length: 3\r\n\r\nxyz",
            status + "X-A: b\r\nContent-Length: 3\r\n" + field + "\r\nxyz",
            status + "Content-Length: 3\r\nX-A: b\r\n" + field + "\r\nxyz",
            status + "Transfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n" + field + "\r\n"};
}

/// A response with transfer codings, whose connection is closed in order.
struct CodedAnswerCase {
    const char *name;
    const char *version;
    const char *fields; ///< Of the head, that frame the body.
    const char *body; ///< As sent.
    bool isWhole; ///< Expected; otherwise the exchange fails.
    const char *decoded; ///< Expected of a whole answer.
};

inline const CodedAnswerCase codedAnswers[] = {
    {"chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "3\r\nxyz\r\n0\r\n\r\n", true, "xyz"},
    {"chunks in capitals", "HTTP/1.1", "Transfer-Encoding: CHUNKED\r\n", "3\r\nxyz\r\n0\r\n\r\n", true, "xyz"},
    {"chunks in an older version", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", "3\r\nxyz\r\n0\r\n\r\n", true, "xyz"},
    {"no coding, with a length", "HTTP/1.1", "Transfer-Encoding:\r\nContent-Length: 3\r\n", "xyz", true, "xyz"},
    {"identity, with a length", "HTTP/1.1", "Transfer-Encoding: identity\r\nContent-Length: 3\r\n", "xyz", true, "xyz"},
    {"identity, without a length", "HTTP/1.1", "Transfer-Encoding: identity\r\n", "xyz", true, "xyz"},
    {"the same length twice", "HTTP/1.1", "Content-Length: 3, 3\r\n", "xyz", true, "xyz"},
    {"gzip, then a length", "HTTP/1.1", "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n", "xyz", false, ""},
    {"gzip after a length", "HTTP/1.1", "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n", "xyz", false, ""},
    {"gzip to the end", "HTTP/1.1", "Transfer-Encoding: gzip\r\n", "xyz", false, ""},
    {"gzip in chunks", "HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", "3\r\nxyz\r\n0\r\n\r\n", false, ""},
    {"gzip in chunks, two fields", "HTTP/1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
     "3\r\nxyz\r\n0\r\n\r\n", false, ""},
    {"chunks in gzip", "HTTP/1.1", "Transfer-Encoding: chunked, gzip\r\n", "3\r\nxyz\r\n0\r\n\r\n", false, ""},
    {"chunks in chunks", "HTTP/1.1", "Transfer-Encoding: chunked, chunked\r\n", "3\r\nxyz\r\n0\r\n\r\n", false, ""},
    {"chunks before identity", "HTTP/1.1", "Transfer-Encoding: chunked, identity\r\n", "3\r\nxyz\r\n0\r\n\r\n", false,
     ""},
    {"not a list of codings", "HTTP/1.1", "Transfer-Encoding: \"chunked\"\r\nContent-Length: 3\r\n", "xyz", false, ""},
};

/// Responses whose end shows, so that a connection that ends before it leaves them incomplete.
inline const char *const delimitedAnswers[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz",
};

} // namespace Gypsumtally::Testing
