#pragma once

#include "common/clock.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Gypsumtally::Http
{

class EventLoop;

/// Sends the response to one request. Use only on the event loop's thread. Destroying it before the response has ended
/// closes the connection.
class Responder
{
public:
    virtual ~Responder() = default;

    /// Sends a complete response. Precondition: nothing was sent yet.
    virtual void respond(Response response) = 0;

    /// Starts a streamed response. Precondition: nothing was sent yet.
    virtual void begin(unsigned status, Headers headers) = 0;

    /// Sends a piece of a streamed response. Ignored once the caller has disconnected. Precondition: begin() was
    /// called.
    virtual void write(std::string piece) = 0;

    /// Ends a streamed response, so that the caller recognises it as complete.
    virtual void end() = 0;

    /// Closes the connection, so that the caller recognises the response as incomplete.
    virtual void abort() = 0;

    /// Registers @p task, which is called once if the caller disconnects before the response has ended.
    virtual void onGone(std::function<void()> task) = 0;

    /// Returns the number of bytes that wait to be sent.
    virtual std::size_t buffered() const = 0;
};

struct ServerLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    std::size_t maxBufferedBytes = 8 * 1024 * 1024; ///< Unsent bytes above which a slow caller is disconnected.
    Duration idleTimeout = std::chrono::seconds{60};
};

/// An HTTP/1.1 server. Use only on the event loop's thread or before the loop runs.
class Server
{
public:
    using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;
    /// Creates the response to a request that the server itself rejects with @p status and @p reason.
    using Refusal = std::function<Response(unsigned status, const std::string &reason)>;

    Server(EventLoop &loop, ServerLimits limits, Handler handler, Refusal refusal);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Listens on @p endpoint and returns the port; port 0 selects a free one. Throws std::system_error on failure.
    std::uint16_t listen(const Endpoint &endpoint);

    /// Stops accepting connections. Closes idle ones at once, and each other one after the response to the last request
    /// that has arrived on it.
    void drain();

    /// Returns the number of open connections.
    std::size_t connections() const;

    /// Returns the number of requests whose response has not ended.
    std::size_t requests() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Http
