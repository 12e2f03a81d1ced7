#pragma once

#include "http/eventloop.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Gypsumtally::Processes
{

/// What each of some untrusted callers sends: the beginning, a piece again and again, the ending, then nothing more.
struct UntrustedBytes {
    std::string beginning; ///< In which `{n}` stands for the caller's number.
    std::string piece;
    std::size_t pieces = 0;
    bool isByteByByte = false; ///< Writes one byte at a time.
    std::string ending{}; ///< Written one byte at a time.
    bool isLeaving = false; ///< Closes the connection once all is written; otherwise callers never do.
};

/// Callers that never read an answer. Use only on the event loop's thread.
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

    const std::string &textOf(const Connection &connection) const;
    void connectNext(std::size_t count);
    void write(const std::shared_ptr<Connection> &connection);

    Http::EventLoop &m_loop;
    const Http::Endpoint m_node;
    const UntrustedBytes m_bytes;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_written = 0;
};

/// Calls @p run, which runs the callers' event loop for a time, until @p callers have had no effect on process @p id
/// for a second, or 20 seconds have passed. Returns the largest number of the process's open descriptors.
std::size_t watchCrowd(const UntrustedCallers &callers, pid_t id, const std::function<void(Duration)> &run);

/// Returns the chunks of one byte that make @p size bytes.
std::string oneByteChunks(std::size_t size);

} // namespace Gypsumtally::Processes
