#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// What each of some untrusted callers sends: the beginning, then a piece again and again, then nothing more.
struct UntrustedBytes {
    std::string beginning;
    std::string piece;
    std::size_t pieces = 0;
    bool isByteByByte = false; ///< Writes one byte at a time.
};

/// Callers that never read an answer and never close their connections. Use only on the event loop's thread.
class UntrustedCallers
{
public:
    /// Connects @p count callers to @p node, one after the other, each of which sends @p bytes.
    UntrustedCallers(Http::EventLoop &loop, const Http::Endpoint &node, std::size_t count, UntrustedBytes bytes);
    ~UntrustedCallers();
    UntrustedCallers(const UntrustedCallers &) = delete;
    UntrustedCallers &operator=(const UntrustedCallers &) = delete;

    /// Returns the number of callers that have been connected.
    std::size_t connected() const
    {
        return m_connections.size();
    }

    /// Returns the number of bytes that all callers have written.
    std::uint64_t written() const
    {
        return m_written;
    }

private:
    struct Connection;

    void connectNext(std::size_t count);
    void write(const std::shared_ptr<Connection> &connection);

    Http::EventLoop &m_loop;
    const Http::Endpoint m_node;
    const UntrustedBytes m_bytes;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_written = 0;
};

} // namespace Gypsumtally::GatewayFleet
