#include "relay/upstreamclient.h"

#include "http/connectionend.h"
#include "http/eventloop.h"
#include "relay/detail/socketwait.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gypsumtally::Relay
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

constexpr std::size_t readBytes = 32 * 1024;
constexpr std::size_t maxIdlePerDestination = 64;
constexpr unsigned minErrorStatus = 400;
/// Number of refused requests from which a connection is not reused.
constexpr std::size_t maxRefusedIds = 32;
/// Idle connections are not reused this shortly before the timeout in the upstream's Keep-Alive header.
constexpr Duration keepAliveMargin = std::chrono::milliseconds{500};

std::string requestText(const Http::Request &request)
{
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

std::string poolKey(const Destination &destination)
{
    return Http::toString(destination.endpoint) + '#' + destination.instance;
}

struct PendingExchange {
    UpstreamClient::Token token = 0;
    std::string bytes; ///< The part of the serialized request that is still to be sent.
    ExchangeObserver observer;
    Instant connectDeadline{};
    Instant responseDeadline{};
    bool isAnonymous = false;
    bool sent = false;
    bool isConnectOnly = false; ///< Ends with the connection.
};

class Connection;

struct Shared {
    explicit Shared(asio::io_context &ioContext)
        : context(ioContext)
    {
    }

    asio::io_context &context;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
    std::unordered_map<UpstreamClient::Token, std::shared_ptr<Connection>> busy;
    std::uint64_t opened = 0;
    ConnectionCounts counts; ///< Since they were last taken.
    tcp::endpoint local; ///< Unspecified: the kernel chooses it.
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Shared> shared, std::string key)
        : m_socket(shared->context)
        , m_shared(std::move(shared))
        , m_key(std::move(key))
    {
    }

    void connect(const Http::Endpoint &endpoint, unsigned unsentBytesTimeoutMs)
    {
        ErrorCode error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (!error)
            m_socket.open(tcp::v4(), error);
        if (!error && !m_shared->local.address().is_unspecified())
            m_socket.bind(m_shared->local, error);
        if (error)
            return asio::post(m_shared->context, [self = shared_from_this(), error] {
                self->fail(ExchangeFailure::NotConnected, error.message());
            });
        ++m_shared->opened;
        m_connectSince = BootClock{}.now();
        m_socket.set_option(tcp::no_delay(true), error);
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unsentBytesTimeoutMs,
                     sizeof unsentBytesTimeoutMs);
        m_socket.async_connect(tcp::endpoint(address, endpoint.port), [self = shared_from_this()](ErrorCode result) {
            if (self->m_closed)
                return;
            if (result) {
                self->countConnection(&ConnectionCounts::failed);
                return self->fail(ExchangeFailure::NotConnected, result.message(), endOf(result));
            }
            self->m_connected = true;
            self->countConnection(&ConnectionCounts::opened);
            if (self->m_exchange && self->m_exchange->isConnectOnly)
                return self->complete(false);
            ErrorCode ignored;
            self->m_socket.non_blocking(true, ignored);
            self->transmit();
            self->waitForBytes();
        });
    }

    void begin(PendingExchange exchange)
    {
        m_exchange = std::make_shared<PendingExchange>(std::move(exchange));
        m_reader = std::make_unique<Http::ResponseReader>(Http::ResponseReader::Observer{
            [this](const ResponseHead &head) {
                if (m_exchange && m_exchange->isAnonymous && head.status >= minErrorStatus)
                    noteRefusal({});
                if (m_exchange && m_exchange->observer.onHead)
                    m_exchange->observer.onHead(head);
            },
            [this](std::string_view piece) {
                if (m_exchange && m_exchange->observer.onBody)
                    m_exchange->observer.onBody(piece);
            }});
        if (m_connected)
            transmit();
    }

    /// Returns true if the upstream has neither closed the connection nor sent anything on it.
    bool isStillOpen()
    {
        char byte = 0;
        ErrorCode error;
        m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    bool isUsable(Instant now, Duration longestAge)
    {
        return !m_closed && now - m_idleSince < std::min(longestAge, m_idleLimit) && isStillOpen();
    }

    void noteRefusal(const std::string &requestId)
    {
        m_isRetired = m_isRetired || requestId.empty() || m_refusedIds.size() + 1 >= maxRefusedIds;
        m_refusedIds.push_back(requestId);
    }

    /// Returns true if a request with @p options could take the repetition of an earlier refusal for its response.
    bool mayRepeatRefusal(const SendOptions &options) const
    {
        return options.isAnonymous ? !m_refusedIds.empty()
                                   : std::ranges::find(m_refusedIds, options.requestId) != m_refusedIds.end();
    }

    /// Resets the connection, so that bytes that were written but not delivered cannot arrive later.
    void closeWithReset()
    {
        m_exchange.reset();
        ErrorCode ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    /// Ends an exchange that is late, unless the kernel holds what it waits for, as after a stall of the process.
    void sweep(Instant now)
    {
        if (!m_exchange || (!m_connected && isConnectionMade()))
            return;
        if (!m_connected && now > m_exchange->connectDeadline) {
            countConnection(&ConnectionCounts::late);
            return fail(ExchangeFailure::NotConnected, "the connection was not made in time", FailureEnd::Late);
        }
        const auto isLate = [&] {
            return m_exchange && m_exchange->responseDeadline != Instant{} && now > m_exchange->responseDeadline;
        };
        const auto self = shared_from_this();
        ErrorCode ignored;
        while (isLate() && m_socket.available(ignored) > 0)
            read();
        if (isLate())
            fail(ExchangeFailure::Broken, "there was no whole response in time", FailureEnd::Late);
    }

    bool hasExpired(Instant now) const
    {
        return m_closed || now - m_idleSince >= m_idleLimit;
    }

    void close()
    {
        m_closed = true;
        ErrorCode ignored;
        m_socket.close(ignored);
    }

private:
    void countConnection(std::uint64_t ConnectionCounts::*outcome)
    {
        auto &counts = m_shared->counts;
        ++(counts.*outcome);
        counts.longest = std::max<Duration>(counts.longest, BootClock{}.now() - m_connectSince);
    }

    /// Returns true if the kernel has made the connection, which the loop then reports.
    bool isConnectionMade()
    {
        ErrorCode error;
        m_socket.remote_endpoint(error);
        return !error;
    }

    void transmit()
    {
        if (!m_exchange || m_closed)
            return;
        auto &bytes = m_exchange->bytes;
        ErrorCode error;
        const auto written = m_socket.write_some(asio::buffer(bytes), error);
        m_exchange->sent = m_exchange->sent || (!error && written > 0);
        if (error && error != asio::error::would_block) {
            m_writeError = error;
            return asio::post(m_shared->context, [self = shared_from_this()] { self->readRest(); });
        }
        bytes.erase(0, error ? 0 : written);
        if (bytes.empty())
            return;
        m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](ErrorCode result) {
            if (!result)
                self->transmit();
        });
    }

    /// Ends an exchange whose request cannot be written any more. What has arrived may hold a whole response.
    void readRest()
    {
        ErrorCode ignored;
        while (m_exchange && m_socket.available(ignored) > 0)
            read();
        fail(ExchangeFailure::Broken, m_writeError.message());
    }

    /// Returns what is known of the connection at an end of file, which a read also reports after an error that a write
    /// has reported. Precondition: there is an exchange.
    Http::ConnectionEnd connectionEnd()
    {
        return {!m_writeError, m_exchange->bytes.empty() && Http::isAllAcknowledged(m_socket.native_handle())};
    }

    void waitForBytes()
    {
        if (!m_closed)
            Detail::waitFor(m_socket, tcp::socket::wait_read, shared_from_this(), &Connection::m_waitingForBytes,
                            &Connection::read);
    }

    void read()
    {
        if (m_closed)
            return;
        const auto self = shared_from_this();
        static thread_local std::array<char, readBytes> bytes;
        ErrorCode error;
        const auto got = m_socket.read_some(asio::buffer(bytes), error);
        if (error == asio::error::would_block)
            return waitForBytes();
        const auto exchange = m_exchange;
        if (!exchange)
            return close(); // The upstream closed an idle connection or sent unexpected bytes on it.
        if (error == asio::error::eof)
            m_reader->finish(connectionEnd());
        else if (error)
            return fail(ExchangeFailure::Broken, error.message());
        if (got > 0)
            m_reader->feed({bytes.data(), got});
        if (!m_exchange)
            return; // The observer has cancelled the exchange.
        switch (m_reader->state()) {
        case Http::ResponseReader::State::Complete:
            return complete(!error && m_reader->surplus() == 0 && m_exchange->bytes.empty());
        case Http::ResponseReader::State::Failed:
            if (!error)
                return fail(ExchangeFailure::Malformed, m_reader->problem());
            return fail(ExchangeFailure::Broken, m_writeError ? m_writeError.message() : m_reader->problem());
        case Http::ResponseReader::State::Reading:
            waitForBytes();
        }
    }

    /// Ends the exchange. Returns the connection to the pool if @p isClean, that is, if no bytes are left over on
    /// either side, and closes it otherwise.
    void complete(bool isClean)
    {
        const auto exchange = std::move(m_exchange);
        m_shared->busy.erase(exchange->token);
        if (isClean && !m_isRetired && m_reader->keepsConnection()) {
            if (const auto seconds = m_reader->keepAliveSeconds())
                m_idleLimit = std::max(Duration{}, Duration{std::chrono::seconds{*seconds}} - keepAliveMargin);
            m_idleSince = BootClock{}.now();
            auto &pool = m_shared->idle[m_key];
            if (pool.size() < maxIdlePerDestination)
                pool.push_back(shared_from_this());
            else
                close();
            waitForBytes();
        } else {
            close();
        }
        if (exchange->observer.onEnd)
            exchange->observer.onEnd();
    }

    enum class FailureEnd { Refused, Late, Other };

    static FailureEnd endOf(const ErrorCode &connectError)
    {
        if (connectError == asio::error::connection_refused)
            return FailureEnd::Refused;
        return connectError == asio::error::timed_out ? FailureEnd::Late : FailureEnd::Other;
    }

    void fail(ExchangeFailure kind, const std::string &reason, FailureEnd end = FailureEnd::Other)
    {
        if (!m_exchange)
            return;
        const auto self = shared_from_this();
        const auto exchange = std::move(m_exchange);
        m_shared->busy.erase(exchange->token);
        close();
        if (exchange->observer.onFailure)
            exchange->observer.onFailure(
                {kind, exchange->sent, reason, end == FailureEnd::Refused, end == FailureEnd::Late});
    }

    tcp::socket m_socket;
    std::shared_ptr<Shared> m_shared;
    std::string m_key;
    std::shared_ptr<PendingExchange> m_exchange; ///< Shared, because an observer may cancel its own exchange.
    std::unique_ptr<Http::ResponseReader> m_reader;
    ErrorCode m_writeError; ///< The kernel reports an error of a socket to one call only.
    Instant m_connectSince{};
    Instant m_idleSince{};
    Duration m_idleLimit = std::chrono::hours{1};
    std::vector<std::string> m_refusedIds; ///< Ids of requests whose refusal was received.
    bool m_isRetired = false; ///< Is closed after the current response.
    bool m_connected = false;
    bool m_waitingForBytes = false;
    bool m_closed = false;
};

} // namespace

struct UpstreamClient::Private {
    explicit Private(Http::EventLoop &loop)
        : shared(std::make_shared<Shared>(loop.context()))
    {
    }

    /// Returns an idle connection on which a request with @p options may be sent, or null.
    std::shared_ptr<Connection> takeIdle(const std::string &key, const SendOptions &options, Instant now)
    {
        const auto pool = shared->idle.find(key);
        if (pool == shared->idle.end())
            return nullptr;
        auto &connections = pool->second;
        for (auto i = connections.size(); i-- > 0;) {
            if (connections[i]->mayRepeatRefusal(options))
                continue;
            auto connection = connections[i];
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
            if (connection->isUsable(now, options.maxIdleAge))
                return connection;
            connection->close();
        }
        return nullptr;
    }

    std::shared_ptr<Shared> shared;
    Token lastToken = 0;
};

UpstreamClient::UpstreamClient(Http::EventLoop &loop)
    : m_d(std::make_shared<Private>(loop))
{
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::connectFrom(const Http::Endpoint &local)
{
    m_d->shared->local
        = local.address.empty() ? tcp::endpoint() : tcp::endpoint(asio::ip::make_address(local.address), local.port);
}

UpstreamClient::Token UpstreamClient::send(const Destination &destination, const Http::Request &request,
                                           ExchangeObserver observer, const SendOptions &options)
{
    const auto token = ++m_d->lastToken;
    const auto now = BootClock{}.now();
    const auto key = poolKey(destination);
    PendingExchange exchange{token, requestText(request), std::move(observer), now + options.connectTimeout};
    exchange.isAnonymous = options.isAnonymous;
    if (options.timeout > Duration{})
        exchange.responseDeadline = now + options.timeout;
    auto connection = m_d->takeIdle(key, options, now);
    const bool isNew = !connection;
    if (isNew)
        connection = std::make_shared<Connection>(m_d->shared, key);
    m_d->shared->busy.emplace(token, connection);
    connection->begin(std::move(exchange));
    if (isNew)
        connection->connect(destination.endpoint, options.unsentBytesTimeoutMs);
    return token;
}

UpstreamClient::Token UpstreamClient::connect(const Destination &destination,
                                              const std::function<void(ConnectResult)> &onResult,
                                              const SendOptions &options)
{
    const auto token = ++m_d->lastToken;
    ExchangeObserver observer;
    observer.onEnd = [onResult] { onResult(ConnectResult::Connected); };
    observer.onFailure = [onResult](const FailedExchange &failure) {
        const auto unmade = failure.isLate ? ConnectResult::Late : ConnectResult::Failed;
        onResult(failure.isRefused ? ConnectResult::Refused : unmade);
    };
    auto connection = std::make_shared<Connection>(m_d->shared, poolKey(destination));
    m_d->shared->busy.emplace(token, connection);
    PendingExchange exchange{token, {}, std::move(observer), BootClock{}.now() + options.connectTimeout};
    exchange.isConnectOnly = true;
    connection->begin(std::move(exchange));
    connection->connect(destination.endpoint, options.unsentBytesTimeoutMs);
    return token;
}

UpstreamClient::Token UpstreamClient::fetch(const Destination &destination, const Http::Request &request,
                                            const std::function<void(const WholeResponse &)> &onResponse,
                                            const SendOptions &options)
{
    auto response = std::make_shared<WholeResponse>();
    ExchangeObserver observer;
    observer.onHead = [response](const ResponseHead &head) { response->head = head; };
    const auto token = std::make_shared<Token>(0);
    observer.onBody = [this, response, onResponse, token, maxBytes = options.maxBodyBytes](std::string_view piece) {
        response->body += piece;
        if (response->body.size() <= maxBytes)
            return;
        cancel(*token);
        onResponse({{}, {}, true, false, "the response is too large"});
    };
    observer.onEnd = [response, onResponse] { onResponse(*response); };
    observer.onFailure = [onResponse](const FailedExchange &failure) {
        onResponse({{}, {}, failure.sent, failure.isLate, failure.reason});
    };
    *token = send(destination, request, std::move(observer), options);
    return *token;
}

void UpstreamClient::cancel(Token token)
{
    const auto it = m_d->shared->busy.find(token);
    if (it == m_d->shared->busy.end())
        return;
    const auto connection = std::move(it->second);
    m_d->shared->busy.erase(it);
    connection->closeWithReset();
}

void UpstreamClient::noteRefusal(Token token, const std::string &requestId)
{
    if (const auto it = m_d->shared->busy.find(token); it != m_d->shared->busy.end())
        it->second->noteRefusal(requestId);
}

void UpstreamClient::dropIdle(const Destination &destination)
{
    const auto pool = m_d->shared->idle.find(poolKey(destination));
    if (pool == m_d->shared->idle.end())
        return;
    for (const auto &connection : pool->second)
        connection->close();
    m_d->shared->idle.erase(pool);
}

void UpstreamClient::sweep(Instant now)
{
    std::vector<std::shared_ptr<Connection>> busy;
    busy.reserve(m_d->shared->busy.size());
    for (const auto &[token, connection] : m_d->shared->busy)
        busy.push_back(connection);
    for (const auto &connection : busy)
        connection->sweep(now);
    for (auto it = m_d->shared->idle.begin(); it != m_d->shared->idle.end();) {
        std::erase_if(it->second, [&](const auto &connection) {
            if (!connection->hasExpired(now))
                return false;
            connection->close();
            return true;
        });
        it = it->second.empty() ? m_d->shared->idle.erase(it) : std::next(it);
    }
}

std::uint64_t UpstreamClient::connectionsOpened() const
{
    return m_d->shared->opened;
}

ConnectionCounts UpstreamClient::takeConnectionCounts()
{
    return std::exchange(m_d->shared->counts, {});
}

} // namespace Gypsumtally::Relay
