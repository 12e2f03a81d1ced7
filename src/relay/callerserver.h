#pragma once

#include "common/clock.h"
#include "http/message.h"
#include "relay/requestreader.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Gypsumtally::Http
{
class EventLoop;
}

namespace Gypsumtally::Relay
{

/// One request of a caller and the way to answer it. Loop's thread only. Letting go of an unanswered one closes the
/// connection. After the caller has gone, all calls are ignored.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const Http::Request &request() const = 0;

    /// When the last byte of the request was read.
    virtual Instant arrival() const = 0;

    /// Sends a whole answer. Precondition: nothing was sent yet.
    virtual void respond(const Http::Response &response) = 0;

    /// Starts an answer; it is chunked if no @p length is given. Precondition: nothing was sent yet.
    virtual void begin(unsigned status, const Http::Headers &headers, std::optional<std::uint64_t> length) = 0;

    /// Sends a piece of the body. Precondition: begin() was called.
    virtual void write(std::string_view piece) = 0;

    /// Ends the answer so that the caller can tell that it is whole.
    virtual void end() = 0;

    /// Closes the connection so that the caller can tell that the answer is not whole.
    virtual void abort() = 0;

    /// Calls @p task once, if the caller closes its connection before the answer has ended.
    virtual void onGone(std::function<void()> task) = 0;
};

struct CallerServerSettings {
    RequestLimits limits;
    Duration headerTimeout = std::chrono::seconds{3}; ///< From the first byte of a request to its last.
    Duration idleTimeout = std::chrono::seconds{15}; ///< Between requests on a kept connection.
    std::size_t maxConnections = 3000;
    std::size_t maxBufferedBytes = 4 * 1024 * 1024; ///< A caller that reads slower than this is cut off.
};

/// An HTTP/1.1 server that answers from one loop without a timer for each connection. Loop's thread only.
class CallerServer
{
public:
    using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

    CallerServer(Http::EventLoop &loop, CallerServerSettings settings, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Listens on @p endpoint, or throws std::system_error. Port 0 takes a free one. Returns the port.
    std::uint16_t listen(const Http::Endpoint &endpoint);

    /// Takes over new limits and time-outs for requests that have not begun.
    void setSettings(const CallerServerSettings &settings);

    /// Closes connections that have exceeded a time-out. To be called several times a second.
    void sweep(Instant now);

    /// From now on each answer asks its caller to close the connection.
    void announceClose();

    /// Accepts no more connections and closes those that wait for a request.
    void stopAccepting();

    std::size_t connections() const;

    /// Returns how many requests are being answered.
    std::size_t activeRequests() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Relay
