#include "http/client.h"

#include "http/eventloop.h"
#include "http/interimresponse.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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
    asio::awaitable<bool> receive(beast::tcp_stream &stream, const std::shared_ptr<Exchange> &exchange,
                                  const RequestOptions &options, ErrorCode &error);
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

/// Limit for an incomplete head, chunk header or trailer. A response that exceeds it fails.
constexpr std::size_t maxUnparsedBytes = 64 * 1024;

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

asio::awaitable<bool> Client::Private::receive(beast::tcp_stream &stream, const std::shared_ptr<Exchange> &exchange,
                                               const RequestOptions &options, ErrorCode &error)
{
    beast::flat_buffer buffer(maxUnparsedBytes);
    std::optional<bhttp::response_parser<bhttp::buffer_body>> response;
    for (unsigned interim = 0; !response || isInterim(response->get().result_int()); ++interim) {
        if (interim > maxInterimResponses)
            error = bhttp::error::bad_status;
        if (error || exchange->cancelled)
            co_return false;
        response.emplace();
        response->body_limit(boost::none);
        stream.expires_after(options.idleTimeout);
        co_await bhttp::async_read_header(stream, buffer, *response, into(error));
    }
    if (!error && !isFinal(response->get().result_int()))
        error = bhttp::error::bad_status;
    if (error || exchange->cancelled)
        co_return false;
    auto &parser = *response;
    Headers headers;
    for (const auto &field : parser.get())
        headers.add(std::string(field.name_string()), std::string(field.value()));
    if (exchange->observer.onHead)
        exchange->observer.onHead(parser.get().result_int(), headers);
    std::array<char, readBufferBytes> bytes{};
    while (!parser.is_done() && !exchange->cancelled) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        stream.expires_after(options.idleTimeout);
        co_await bhttp::async_read_some(stream, buffer, parser, into(error));
        if (error == bhttp::error::need_buffer)
            error = {};
        const auto received = bytes.size() - parser.get().body().size;
        if (received > 0 && !exchange->cancelled && exchange->observer.onBody)
            exchange->observer.onBody(std::string_view(bytes.data(), received));
        if (error)
            co_return false;
    }
    // Bytes after the response, or a later repetition of a refusal, would be taken for the next response.
    co_return parser.is_done() && parser.keep_alive() && buffer.size() == 0
        && parser.get().result_int() < minErrorStatus;
}

asio::awaitable<void> Client::Private::run(Token token, std::shared_ptr<Exchange> exchange, Endpoint endpoint,
                                           Request request, RequestOptions options)
{
    const auto self = shared_from_this();
    ErrorCode error;
    auto stream = co_await connect(exchange, endpoint, options, error);
    bool reusable = false;
    if (!error && !exchange->cancelled) {
        exchange->stream = stream.get();
        const auto message = toMessage(endpoint, std::move(request));
        stream->expires_after(options.idleTimeout);
        exchange->sent = true;
        const auto written = co_await bhttp::async_write(*stream, message, into(error));
        exchange->sent = !error || written > 0;
        if (!error && !exchange->cancelled)
            reusable = co_await receive(*stream, exchange, options, error);
    }
    exchange->stream = nullptr;
    exchanges.erase(token);
    if (exchange->cancelled)
        co_return;
    if (error) {
        if (exchange->observer.onFailure)
            exchange->observer.onFailure({exchange->sent, error == beast::error::timeout, error.message()});
        co_return;
    }
    if (reusable) {
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
