#pragma once

#include "common/clock.h"
#include "http/message.h"
#include "relay/responsereader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Gypsumtally::Http
{
class EventLoop;
}

namespace Gypsumtally::Relay
{

/// Where to send and on whose kept connections.
struct Destination {
    Http::Endpoint endpoint;
    std::string instance; ///< Connections are kept apart by instance, as an address may pass to another process.
};

enum class ExchangeFailure {
    NotConnected, ///< The connection could not be made; nothing left.
    Broken, ///< The connection ended inside the exchange; the request may have arrived.
    Malformed, ///< What came back is no response.
};

struct FailedExchange {
    ExchangeFailure kind = ExchangeFailure::Broken;
    bool sent = false; ///< Whether a byte of the request may have left this process.
    std::string reason;
};

/// What happens to a request, in this order: perhaps onHead, then any onBody, then onEnd or onFailure once.
struct ExchangeObserver {
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const FailedExchange &)> onFailure;
};

/// A response whose body was gathered.
struct WholeResponse {
    ResponseHead head; ///< Its status is 0 if there was no whole response.
    std::string body;
    bool sent = true; ///< Whether a byte of the request may have left this process.
};

struct SendOptions {
    static constexpr std::size_t usualBodyBytes = 8 * 1024 * 1024; ///< Several pages of the store.

    Duration connectTimeout = std::chrono::milliseconds{500};
    std::size_t mostBodyBytes = usualBodyBytes; ///< Of a response that is fetched whole.
    Duration longestReuseAge = std::chrono::seconds{10}; ///< Idle connections older than this are not used; zero: none.
    Duration timeout{}; ///< From sending to the end of the response; zero: none.
    unsigned unsentBytesTimeoutMs = 5000; ///< How long the kernel goes on trying to deliver what was written.
};

/// An HTTP/1.1 client that keeps connections and forwards bodies as they come. Loop's thread only. The observer is
/// called from the loop, never from within send().
class UpstreamClient
{
public:
    using Token = std::uint64_t;

    explicit UpstreamClient(Http::EventLoop &loop);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Sends @p request, whose headers must name the host; the body's length is added.
    Token send(const Destination &destination, const Http::Request &request, ExchangeObserver observer,
               const SendOptions &options);

    /// As send(), for a response that is wanted whole. @p onResponse is called once, unless the request is cancelled. A
    /// response with a larger body than the options allow counts as none, and its connection is closed.
    Token fetch(const Destination &destination, const Http::Request &request,
                const std::function<void(const WholeResponse &)> &onResponse, const SendOptions &options);

    /// Closes the connection of a request; its observer is not called again. Does nothing for a finished one.
    void cancel(Token token);

    /// Closes the idle connections to @p destination, for instance because one of them has proved dead.
    void dropIdle(const Destination &destination);

    /// Ends what has exceeded a time-out. To be called several times a second.
    void sweep(Instant now);

    /// How many connections were opened so far.
    std::uint64_t connectionsOpened() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Relay
