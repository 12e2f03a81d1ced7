#pragma once

#include "common/clock.h"
#include "http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Http
{

class EventLoop;

/// The reason why a request received no complete response, and whether any of it was sent.
struct TransportFailure {
    bool sent = false; ///< True if a byte of the request may have left this machine.
    bool timedOut = false;
    std::string reason;
};

/// Callbacks for one request, in this order: onHead at most once, onBody any number of times, then either onEnd or
/// onFailure once.
struct ResponseObserver {
    std::function<void(unsigned status, const Headers &headers)> onHead;
    std::function<void(std::string_view piece)> onBody;
    std::function<void()> onEnd;
    std::function<void(const TransportFailure &failure)> onFailure;
};

struct RequestOptions {
    Duration connectTimeout = std::chrono::seconds{1};
    Duration idleTimeout = std::chrono::seconds{30}; ///< Limit for sending the request, and for each wait for bytes.
    bool mayReuseConnection = true; ///< False for a request that must not fail on a connection that is being closed.
};

/// An HTTP/1.1 client that pools idle connections. Responses are told apart by their connection alone, so that one that
/// brought a refusal (a status of 400 or more) or bytes after a response is not used again. Use only on the event
/// loop's thread.
class Client
{
public:
    using Token = std::uint64_t;

    explicit Client(EventLoop &loop);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends @p request. The observer is called from the loop, never from within this call.
    Token send(const Endpoint &endpoint, Request request, ResponseObserver observer, RequestOptions options = {});

    /// Closes the connection of a request, whose observer is not called again. Does nothing for a finished request.
    void cancel(Token token);

    /// Returns the number of unfinished requests.
    std::size_t pending() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

/// The outcome of fetch(): a response or a failure.
struct FetchResult {
    std::optional<Response> response;
    TransportFailure failure; ///< Valid only if there is no response.
};

/// Sends @p request on an event loop of its own and waits for the complete response. Thread-safe; blocks.
FetchResult fetch(const Endpoint &endpoint, Request request, RequestOptions options = {});

} // namespace Gypsumtally::Http
