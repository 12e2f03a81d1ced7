#pragma once

#include "budget/memorybudget.h"
#include "common/clock.h"
#include "common/verdict.h"
#include "http/message.h"
#include "relay/requestreader.h"
#include "relay/unansweredrequest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Http
{
class EventLoop;
}

namespace Gypsumtally::Relay
{

/// One request from a caller and the means to respond to it. Use only on the event loop's thread. Destroying the
/// exchange before the response has ended closes the connection, after a refusal if refuseOnRelease() asks for one. All
/// calls are ignored once the caller has disconnected. Before respond() or end() returns, the server's handler may be
/// called with the next request of the connection; before any method that sends returns, the task of onGone(), which
/// may release the exchange.
class CallerExchange
{
public:
    virtual ~CallerExchange() = default;

    virtual const Http::Request &request() const = 0;

    /// Moves the request out, so that its body is not kept for as long as the exchange. Call once.
    virtual Http::Request takeRequest()
    {
        return request();
    }

    /// Returns when the last byte of the request was read.
    virtual Instant arrival() const = 0;

    /// Sends a complete response. Precondition: nothing was sent yet.
    virtual void respond(const Http::Response &response) = 0;

    /// Starts a response with a body of @p length bytes, or with chunked encoding if there is no @p length.
    /// Precondition: nothing was sent yet.
    virtual void begin(unsigned status, const Http::Headers &headers, std::optional<std::uint64_t> length) = 0;

    /// Sends a piece of the body. Precondition: begin() was called.
    virtual void write(std::string_view piece) = 0;

    /// Ends the response, so that the caller recognises it as complete.
    virtual void end() = 0;

    /// Closes the connection, so that the caller recognises the response as incomplete.
    virtual void abort() = 0;

    /// Registers @p task, which is called once if the caller closes its connection before the response has ended.
    virtual void onGone(std::function<void()> task) = 0;

    /// Returns true if the caller has closed its connection, also if that has not been read yet.
    virtual bool hasCallerLeft()
    {
        return false;
    }

    /// Sets the id by which the server reports the request if it ends without a whole answer.
    virtual void setId(const std::string & /*id*/)
    {
    }

    /// Makes the server refuse the request if the exchange is destroyed before anything was sent: with status 503 if
    /// @p verdict says that it did not run, otherwise with 502. Later calls replace the verdict.
    virtual void refuseOnRelease(Verdict /*verdict*/)
    {
    }
};

/// Copies of a request in progress that count as held: the request itself, and its text on the way to an upstream.
inline constexpr std::size_t requestCopies = 2;

/// Why a server itself rejects a request.
enum class RejectionCause {
    BadRequest, ///< It is malformed, too large or late.
    ShortOfMemory,
    TooManyConnections,
    Stopping,
    Dropped, ///< Its owner has released it without an answer.
};

/// The rejection of a request by the server itself.
struct Rejection {
    RejectionCause cause = RejectionCause::BadRequest;
    unsigned status = 503;
    std::string reason;
    Verdict verdict = Verdict::NotRun;
    std::optional<Duration> retryAfter;
};

/// Creates the response to a request that the server rejects: plain text, with a Retry-After in whole seconds.
/// Thread-safe.
Http::Response plainRejection(const Rejection &rejection);

struct CallerServerSettings {
    RequestLimits limits;
    Duration headerTimeout = std::chrono::seconds{3}; ///< Limit from the first to the last byte of a request.
    Duration idleTimeout = std::chrono::seconds{15}; ///< Limit between requests on a persistent connection.
    std::size_t maxConnections = 3000;
    std::size_t maxBufferedBytes = 4 * 1024 * 1024; ///< Unsent bytes above which a slow caller is disconnected.
    /// Unsent bytes above which the next request of the connection waits.
    std::size_t maxUnsentBeforeNext = 256 * 1024;
    unsigned shedStatus = 503; ///< Of a request that has arrived in part when there is no memory for the rest.
    /// Creates the response to a request that the server rejects.
    std::function<Http::Response(const Rejection &)> writeRejection = plainRejection;
    /// Returns the response that rejects a request whose head, but not yet its whole body, has arrived; nothing to
    /// read on. Not called if it is empty.
    std::function<std::optional<Http::Response>(const Http::Request &head)> checkHead;
    /// Limits the memory of all connections; null: nothing does. It must outlive the server and its connections.
    Budget::MemoryBudget *memory = nullptr;
};

/// What a server has left unanswered. The counts only grow.
struct CallerLosses {
    std::uint64_t requests
        = 0; ///< Connections on which a request, or a part, came after the last answer, and is unread.
    std::uint64_t connections = 0; ///< Connections closed unread, because there were too many.
    std::uint64_t idle = 0; ///< Idle connections closed for new ones, because there were too many.
    std::uint64_t slow = 0; ///< Connections closed for new ones although a request had arrived in part.
    std::uint64_t refusedForMemory = 0; ///< Requests that had arrived, whole or in part, and had not been passed on.
    std::uint64_t closedForMemory = 0; ///< Connections closed with unsent answers.

    friend bool operator==(const CallerLosses &, const CallerLosses &) = default;
};

/// A count of CallerLosses and its names.
struct CallerLossKind {
    std::string_view field; ///< Of log lines.
    std::string_view label; ///< Value of the label `kind` of the metric.
    std::uint64_t CallerLosses::*count;
};

inline constexpr std::array<CallerLossKind, 6> callerLossKinds{{
    {"requests", "request", &CallerLosses::requests},
    {"connections", "connection", &CallerLosses::connections},
    {"idle", "idle", &CallerLosses::idle},
    {"slow", "slow", &CallerLosses::slow},
    {"refused_for_memory", "refused_for_memory", &CallerLosses::refusedForMemory},
    {"closed_for_memory", "closed_for_memory", &CallerLosses::closedForMemory},
}};

/// An HTTP/1.1 server on one event loop. Connections have no timers of their own: sweep() enforces the timeouts. Use
/// only on the event loop's thread.
class CallerServer
{
public:
    using Handler = std::function<void(std::shared_ptr<CallerExchange>)>;

    CallerServer(Http::EventLoop &loop, CallerServerSettings settings, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Registers @p task, which is called with each request that ends without a whole answer. It must not use the
    /// server or its exchanges.
    void onUnanswered(std::function<void(const UnansweredRequest &)> task);

    /// Listens on @p endpoint and returns the port; port 0 selects a free one. Throws std::system_error on failure.
    std::uint16_t listen(const Http::Endpoint &endpoint);

    /// Replaces the limits and timeouts. A shorter timeout applies to requests that begin, and to connections that
    /// become idle, after the call.
    void setSettings(const CallerServerSettings &settings);

    /// Closes connections that have exceeded a timeout, and reads on where memory has become free. Call it several
    /// times per second.
    void sweep(Instant now);

    /// Adds `Connection: close` to responses from now on and closes their connections after them. Requests that have
    /// arrived behind one are answered first.
    void announceClose();

    /// Stops accepting connections and closes those that wait for a request, unless one has arrived in the meantime. On
    /// the others, requests that arrive after a response that could not announce the close remain unread.
    void stopAccepting();

    /// Refuses requests that have arrived in part, as the process exits. Precondition: stopAccepting() was called.
    void refuseRest();

    std::size_t connections() const;

    /// Returns the number of requests whose response has not ended.
    std::size_t activeRequests() const;

    /// Returns true if no request is being read or answered and everything that was sent has been written.
    bool isDrained() const;

    /// Reports the requests whose answers have not been written whole, as the process exits, and nothing afterwards.
    void reportUnwritten();

    /// Returns what has been left unanswered since the start.
    const CallerLosses &losses() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Relay
