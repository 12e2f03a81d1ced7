#include "http/client.h"

#include "http/connectionend.h"
#include "http/eventloop.h"
#include "http/responsereader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <map>
#include <optional>
#include <unordered_map>

namespace Gypsumtally::Http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;

namespace
{

/// Time for which the kernel tries to deliver the bytes that a closed connection or an ended process left unsent.
constexpr unsigned unsentBytesTimeoutMs = 20000;

constexpr std::size_t maxIdlePerEndpoint = 64;
constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr unsigned minErrorStatus = 400;

asio::redirect_error_t<asio::use_awaitable_t<>> into(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

bool isStillOpen(beast::tcp_stream &stream)
{
    char byte = 0;
    ErrorCode error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

bhttp::request<bhttp::string_body> toMessage(const Endpoint &endpoint, Request &&request)
{
    bhttp::request<bhttp::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (const auto &[name, value] : request.headers)
        message.insert(name, value);
    message.set(bhttp::field::host, toString(endpoint));
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

struct Exchange {
    ResponseObserver observer;
    beast::tcp_stream *stream = nullptr;
    bool cancelled = false;
    bool sent = false;
};

/// What became of the wait for a response.
struct Reception {
    ErrorCode error; ///< Of the connection.
    std::string problem; ///< Of the response's bytes; empty if it is whole.
    bool isReusable = false; ///< The connection may be used for another request.
};

} // namespace

struct Client::Private : std::enable_shared_from_this<Client::Private> {
    explicit Private(EventLoop &eventLoop)
        : context(eventLoop.context())
    {
    }

    asio::awaitable<void> run(Token token, std::shared_ptr<Exchange> exchange, Endpoint endpoint, Request request,
                              RequestOptions options);
    asio::awaitable<StreamPtr> connect(const std::shared_ptr<Exchange> &exchange, const Endpoint &endpoint,
                                       const RequestOptions &options, ErrorCode &error);
    asio::awaitable<Reception> receive(beast::tcp_stream &stream, const std::shared_ptr<Exchange> &exchange,
                                       const RequestOptions &options);
    StreamPtr takeIdle(const Endpoint &endpoint);
    void keep(const Endpoint &endpoint, StreamPtr stream);

    asio::io_context &context;
    Token lastToken = 0;
    std::unordered_map<Token, std::shared_ptr<Exchange>> exchanges;
    std::map<Endpoint, std::vector<StreamPtr>> idle;
};

StreamPtr Client::Private::takeIdle(const Endpoint &endpoint)
{
    auto &streams = idle[endpoint];
    while (!streams.empty()) {
        auto stream = std::move(streams.back());
        streams.pop_back();
        if (isStillOpen(*stream))
            return stream;
    }
    return nullptr;
}

void Client::Private::keep(const Endpoint &endpoint, StreamPtr stream)
{
    auto &streams = idle[endpoint];
    if (streams.size() < maxIdlePerEndpoint)
        streams.push_back(std::move(stream));
}

asio::awaitable<StreamPtr> Client::Private::connect(const std::shared_ptr<Exchange> &exchange, const Endpoint &endpoint,
                                                    const RequestOptions &options, ErrorCode &error)
{
    if (options.mayReuseConnection) {
        if (auto stream = takeIdle(endpoint))
            co_return stream;
    }
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        co_return nullptr;
    auto stream = std::make_unique<beast::tcp_stream>(context);
    exchange->stream = stream.get();
    stream->expires_after(options.connectTimeout);
    co_await stream->async_connect(tcp::endpoint(address, endpoint.port), into(error));
    if (!error) {
        ErrorCode ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        ::setsockopt(stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unsentBytesTimeoutMs,
                     sizeof unsentBytesTimeoutMs);
    }
    co_return stream;
}

asio::awaitable<Reception> Client::Private::receive(beast::tcp_stream &stream,
                                                    const std::shared_ptr<Exchange> &exchange,
                                                    const RequestOptions &options)
{
    unsigned status = 0;
    ResponseReader reader({[&](const ResponseHead &head) {
                               status = head.status;
                               if (!exchange->cancelled && exchange->observer.onHead)
                                   exchange->observer.onHead(head.status, head.headers);
                           },
                           [&](std::string_view piece) {
                               if (!exchange->cancelled && exchange->observer.onBody)
                                   exchange->observer.onBody(piece);
                           }});
    std::array<char, readBufferBytes> bytes{};
    Reception reception;
    while (reader.state() == ResponseReader::State::Reading && !exchange->cancelled) {
        stream.expires_after(options.idleTimeout);
        const auto got = co_await stream.async_read_some(asio::buffer(bytes), into(reception.error));
        if (reception.error == asio::error::eof) {
            reception.error = {};
            reader.finish({.isRequestDelivered = isAllAcknowledged(stream.socket().native_handle())});
        }
        if (reception.error || exchange->cancelled)
            co_return reception;
        if (got > 0)
            reader.feed({bytes.data(), got});
    }
    reception.problem = reader.problem();
    // Bytes after the response, or a later repetition of a refusal, would be taken for the next response.
    reception.isReusable = reader.state() == ResponseReader::State::Complete && reader.keepsConnection()
                           && reader.surplus() == 0 && status < minErrorStatus;
    co_return reception;
}

asio::awaitable<void> Client::Private::run(Token token, std::shared_ptr<Exchange> exchange, Endpoint endpoint,
                                           Request request, RequestOptions options)
{
    const auto self = shared_from_this();
    ErrorCode error;
    auto stream = co_await connect(exchange, endpoint, options, error);
    Reception reception;
    if (!error && !exchange->cancelled) {
        exchange->stream = stream.get();
        const auto message = toMessage(endpoint, std::move(request));
        stream->expires_after(options.idleTimeout);
        exchange->sent = true;
        const auto written = co_await bhttp::async_write(*stream, message, into(error));
        exchange->sent = !error || written > 0;
        if (!error && !exchange->cancelled)
            reception = co_await receive(*stream, exchange, options);
        error = error ? error : reception.error;
    }
    exchange->stream = nullptr;
    exchanges.erase(token);
    if (exchange->cancelled)
        co_return;
    if (error || !reception.problem.empty()) {
        if (exchange->observer.onFailure)
            exchange->observer.onFailure(
                {exchange->sent, error == beast::error::timeout, error ? error.message() : reception.problem});
        co_return;
    }
    if (reception.isReusable) {
        stream->expires_never();
        keep(endpoint, std::move(stream));
    }
    if (exchange->observer.onEnd)
        exchange->observer.onEnd();
}

Client::Client(EventLoop &loop)
    : m_d(std::make_shared<Private>(loop))
{
}

Client::~Client() = default;

Client::Token Client::send(const Endpoint &endpoint, Request request, ResponseObserver observer, RequestOptions options)
{
    const auto token = ++m_d->lastToken;
    auto exchange = std::make_shared<Exchange>();
    exchange->observer = std::move(observer);
    m_d->exchanges.emplace(token, exchange);
    asio::post(m_d->context, [self = m_d, token, exchange, endpoint, request = std::move(request), options]() mutable {
        asio::co_spawn(self->context, self->run(token, exchange, endpoint, std::move(request), options),
                       asio::detached);
    });
    return token;
}

void Client::cancel(Token token)
{
    const auto it = m_d->exchanges.find(token);
    if (it == m_d->exchanges.end())
        return;
    it->second->cancelled = true;
    if (it->second->stream)
        it->second->stream->cancel();
}

std::size_t Client::pending() const
{
    return m_d->exchanges.size();
}

FetchResult fetch(const Endpoint &endpoint, Request request, RequestOptions options)
{
    EventLoop loop;
    Client client(loop);
    FetchResult result;
    Response response;
    ResponseObserver observer;
    observer.onHead = [&](unsigned status, const Headers &headers) {
        response.status = status;
        response.headers = headers;
    };
    observer.onBody = [&](std::string_view piece) { response.body += piece; };
    observer.onEnd = [&] {
        result.response = std::move(response);
        loop.stop();
    };
    observer.onFailure = [&](const TransportFailure &failure) {
        result.failure = failure;
        loop.stop();
    };
    client.send(endpoint, std::move(request), std::move(observer), options);
    loop.run();
    return result;
}

} // namespace Gypsumtally::Http
