#pragma once

#include "common/clock.h"
#include "http/message.h"
#include "http/responsereader.h"

#include <concepts>
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

using Http::ResponseHead;

/// The endpoint of a request, and the instance whose pooled connections it may use.
struct Destination {
    Http::Endpoint endpoint;
    std::string instance; ///< Separates connection pools, as another process may take over the address.
};

enum class ExchangeFailure {
    NotConnected, ///< The connection was not established; nothing was sent.
    Broken, ///< The connection or the time ended during the exchange; the upstream may have received the request.
    Malformed, ///< The received bytes are not an HTTP response.
};

/// Outcome of opening a connection.
enum class ConnectResult {
    Connected,
    Refused, ///< No process listens at the endpoint.
    Failed, ///< It cannot be established.
    Late, ///< It was not established in time.
};

/// The connections that were opened, or not, in some time.
struct ConnectionCounts {
    std::uint64_t opened = 0;
    std::uint64_t late = 0; ///< Were not made in time.
    std::uint64_t failed = 0; ///< Failed for another reason.
    Duration longest{}; ///< Longest time until one was made or given up.
};

struct FailedExchange {
    ExchangeFailure kind = ExchangeFailure::Broken;
    bool sent = false; ///< True if a byte of the request may have left this process.
    std::string reason;
    bool isRefused = false; ///< The endpoint refused the connection, as no process listens there.
    bool isLate = false; ///< The time was over, and nothing else had failed.
};

/// Callbacks for one request, in this order: onHead at most once, onBody any number of times, then either onEnd or
/// onFailure once.
struct ExchangeObserver {
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void()> onEnd;
    std::function<void(const FailedExchange &)> onFailure;
};

/// A response with its complete body.
struct WholeResponse {
    ResponseHead head; ///< Its status is 0 if no complete response was received.
    std::string body;
    bool sent = true; ///< True if a byte of the request may have left this process.
    bool isLate = false; ///< No complete response was received in time, and nothing else had failed.
    std::string failure{}; ///< Why no complete response was received.
};

struct SendOptions {
    static constexpr std::size_t defaultMaxBodyBytes = 8 * 1024 * 1024; ///< Holds several pages of the key-value store.

    Duration connectTimeout = std::chrono::milliseconds{500};
    std::size_t maxBodyBytes = defaultMaxBodyBytes; ///< Limit for a response that fetch() collects.
    Duration maxIdleAge = std::chrono::seconds{10}; ///< Limit of idle time for reuse; zero: no reuse.
    Duration timeout{}; ///< Limit from sending to the end of the response; zero: no limit.
    unsigned unsentBytesTimeoutMs = 5000; ///< How long the kernel tries to deliver written bytes.
    /// True for a request whose response bears no id: it is sent on connections without any refusal only, and its own
    /// refusal (a status of 400 or more) closes the connection.
    bool isAnonymous = false;
    /// Id that the response echoes, if it bears one. The request is not sent on connections that noteRefusal() has
    /// excluded for this id.
    std::string requestId{};
};

/// An HTTP/1.1 client that pools connections and passes on bodies as they arrive. Use only on the event loop's thread.
/// Observers are called from the loop, never from within send().
class UpstreamClient
{
public:
    using Token = std::uint64_t;

    explicit UpstreamClient(Http::EventLoop &loop);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    /// Sets the local address of connections that are opened from now on; an empty address leaves it to the kernel.
    void connectFrom(const Http::Endpoint &local);

    /// Sends @p request and adds the Content-Length of its body. Precondition: its headers include Host.
    Token send(const Destination &destination, const Http::Request &request, ExchangeObserver observer,
               const SendOptions &options);

    /// Sends a request as send() does and collects the complete response. @p onResponse is called once, unless the
    /// request is cancelled. A response with a larger body than the options allow is reported as missing, and its
    /// connection is closed.
    Token fetch(const Destination &destination, const Http::Request &request,
                const std::function<void(const WholeResponse &)> &onResponse, const SendOptions &options);

    /// Opens a connection to @p destination and closes it without sending anything. @p onResult is called once with
    /// the outcome, unless this is cancelled.
    Token connect(const Destination &destination, const std::function<void(ConnectResult)> &onResult,
                  const SendOptions &options);

    /// Closes the connection of a request, whose observer is not called again. Does nothing for a finished request.
    void cancel(Token token);

    /// Records that the response to an unfinished request refuses it, so that a repetition of the response cannot be
    /// taken for that to a later request: no request with @p requestId is sent on the connection any more, and no
    /// request at all if @p requestId is empty because the response bears none. Does nothing for a finished request.
    void noteRefusal(Token token, const std::string &requestId);

    /// Closes the idle connections to @p destination, for example after one of them turned out to be dead.
    void dropIdle(const Destination &destination);

    /// Ends requests and closes idle connections that have exceeded a timeout. Call it several times per second.
    void sweep(Instant now);

    /// Returns the number of connections opened since construction.
    std::uint64_t connectionsOpened() const;

    /// Returns what has become of the connections of the time since the last call.
    ConnectionCounts takeConnectionCounts();

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

/// What calls need of a client: an UpstreamClient, or one whose exchanges a test plays.
template<typename C>
concept ExchangeClient = std::constructible_from<C, Http::EventLoop &> && requires(
    C &client, const Destination &destination, const Http::Request &request, ExchangeObserver observer,
    const std::function<void(const WholeResponse &)> &onResponse, const std::function<void(ConnectResult)> &onResult,
    const SendOptions &options, UpstreamClient::Token token, const std::string &requestId, Instant now)
{
    {
        client.send(destination, request, observer, options)
        } -> std::same_as<UpstreamClient::Token>;
    {
        client.fetch(destination, request, onResponse, options)
        } -> std::same_as<UpstreamClient::Token>;
    {
        client.connect(destination, onResult, options)
        } -> std::same_as<UpstreamClient::Token>;
    client.connectFrom(destination.endpoint);
    client.cancel(token);
    client.noteRefusal(token, requestId);
    client.dropIdle(destination);
    client.sweep(now);
};

} // namespace Gypsumtally::Relay
