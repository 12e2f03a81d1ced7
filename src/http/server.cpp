#include "http/server.h"

#include "http/eventloop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <map>
#include <set>

namespace Gypsumtally::Http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

asio::redirect_error_t<asio::use_awaitable_t<>> into(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

template<typename Fields>
void copyHeaders(const Headers &from, Fields &to)
{
    for (const auto &[name, value] : from)
        to.insert(name, value);
}

Request toRequest(bhttp::request<bhttp::string_body> &&message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    request.body = std::move(message.body());
    return request;
}

class ConnectionResponder : public Responder
{
public:
    ConnectionResponder(asio::io_context &context, std::size_t maxBuffered)
        : m_changed(context, asio::steady_timer::time_point::max())
        , m_maxBuffered(maxBuffered)
    {
    }

    void respond(Response response) override
    {
        whole = std::move(response);
        ended = true;
        notify();
    }

    void begin(unsigned status, Headers headers) override
    {
        head = Response{status, std::move(headers), {}};
        notify();
    }

    void write(std::string piece) override
    {
        if (piece.empty() || gone || aborted)
            return;
        pendingBytes += piece.size();
        pieces.push_back(std::move(piece));
        if (pendingBytes > m_maxBuffered)
            aborted = true;
        notify();
    }

    void end() override
    {
        ended = true;
        notify();
    }

    void abort() override
    {
        aborted = true;
        notify();
    }

    void onGone(std::function<void()> task) override
    {
        m_onGone = std::move(task);
        if (gone)
            reportGone();
    }

    std::size_t buffered() const override
    {
        return pendingBytes;
    }

    void setGone()
    {
        gone = true;
        notify();
        reportGone();
    }

    bool hasWork() const
    {
        return whole || head || !pieces.empty() || ended || aborted || gone;
    }

    asio::awaitable<void> waitForWork(std::weak_ptr<ConnectionResponder> self)
    {
        while (!hasWork()) {
            ErrorCode ignored;
            co_await m_changed.async_wait(into(ignored));
            if (self.expired())
                co_return;
        }
    }

    std::optional<Response> whole;
    std::optional<Response> head;
    std::deque<std::string> pieces;
    std::size_t pendingBytes = 0;
    bool ended = false;
    bool aborted = false;
    bool gone = false;

private:
    void notify()
    {
        m_changed.cancel();
    }

    void reportGone()
    {
        if (const auto task = std::exchange(m_onGone, nullptr))
            task();
    }

    asio::steady_timer m_changed;
    std::size_t m_maxBuffered;
    std::function<void()> m_onGone;
};

/// The responder that a request handler owns. Destroying it before the response has ended closes the connection.
class ResponderHandle : public Responder
{
public:
    explicit ResponderHandle(std::shared_ptr<ConnectionResponder> target)
        : m_target(std::move(target))
    {
    }

    ~ResponderHandle() override
    {
        if (!m_target->ended)
            m_target->abort();
    }

    void respond(Response response) override
    {
        m_target->respond(std::move(response));
    }

    void begin(unsigned status, Headers headers) override
    {
        m_target->begin(status, std::move(headers));
    }

    void write(std::string piece) override
    {
        m_target->write(std::move(piece));
    }

    void end() override
    {
        m_target->end();
    }

    void abort() override
    {
        m_target->abort();
    }

    void onGone(std::function<void()> task) override
    {
        m_target->onGone(std::move(task));
    }

    std::size_t buffered() const override
    {
        return m_target->buffered();
    }

private:
    std::shared_ptr<ConnectionResponder> m_target;
};

} // namespace

struct Server::Private : std::enable_shared_from_this<Server::Private> {
    Private(EventLoop &eventLoop, ServerLimits serverLimits, Handler requestHandler, Refusal refusalWriter)
        : context(eventLoop.context())
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , refusal(std::move(refusalWriter))
        , acceptor(context)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);
    asio::awaitable<bool> answer(beast::tcp_stream &stream, Request request, bool keepAlive);
    asio::awaitable<void> refuse(beast::tcp_stream &stream, unsigned status, std::string reason);
    asio::awaitable<bool> sendWhole(beast::tcp_stream &stream, Response response, bool keepAlive);
    asio::awaitable<bool> sendStream(beast::tcp_stream &stream, std::shared_ptr<ConnectionResponder> responder,
                                     bool keepAlive);
    bool closesAfterResponse(beast::tcp_stream &stream, const beast::flat_buffer &buffer) const;
    void watchForClose(const std::shared_ptr<beast::tcp_stream> &stream,
                       const std::shared_ptr<ConnectionResponder> &responder);

    asio::io_context &context;
    ServerLimits limits;
    Handler handler;
    Refusal refusal;
    tcp::acceptor acceptor;
    bool draining = false;
    std::size_t requests = 0;
    /// Connections that wait for the head of a request, and what they have read of it.
    std::map<std::shared_ptr<beast::tcp_stream>, std::shared_ptr<beast::flat_buffer>> idle;
    std::set<std::shared_ptr<beast::tcp_stream>> open;
};

asio::awaitable<void> Server::Private::accept()
{
    const auto self = shared_from_this();
    while (!draining) {
        ErrorCode error;
        tcp::socket socket(context);
        co_await acceptor.async_accept(socket, into(error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(context, std::chrono::milliseconds{10});
            co_await pause.async_wait(into(error));
            continue;
        }
        if (open.size() >= limits.maxConnections)
            continue;
        socket.set_option(tcp::no_delay(true), error);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        open.insert(stream);
        asio::co_spawn(context, serve(std::move(stream)), asio::detached);
    }
}

asio::awaitable<void> Server::Private::serve(std::shared_ptr<beast::tcp_stream> stream)
{
    const auto self = shared_from_this();
    const auto input = std::make_shared<beast::flat_buffer>();
    auto &buffer = *input;
    bool keepAlive = true;
    while (keepAlive && !closesAfterResponse(*stream, buffer)) {
        bhttp::request_parser<bhttp::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        parser.body_limit(limits.maxBodyBytes);
        stream->expires_after(limits.idleTimeout);
        idle.emplace(stream, input);
        ErrorCode error;
        co_await bhttp::async_read_header(*stream, buffer, parser, into(error));
        idle.erase(stream);
        if (!error && parser.get()[bhttp::field::expect] == "100-continue") {
            bhttp::response<bhttp::empty_body> proceed(bhttp::status::continue_, 11);
            co_await bhttp::async_write(*stream, proceed, into(error));
        }
        if (!error)
            co_await bhttp::async_read(*stream, buffer, parser, into(error));
        if (error == bhttp::error::body_limit) {
            co_await refuse(*stream, 413, "the body is larger than " + std::to_string(limits.maxBodyBytes) + " bytes");
            break;
        }
        if (error == bhttp::error::header_limit) {
            co_await refuse(*stream, 431,
                            "the headers are larger than " + std::to_string(limits.maxHeaderBytes) + " bytes");
            break;
        }
        if (error && error.category() == bhttp::make_error_code(bhttp::error::bad_method).category()
            && error != bhttp::error::end_of_stream && error != bhttp::error::partial_message) {
            co_await refuse(*stream, 400, "not an HTTP request: " + error.message());
            break;
        }
        if (error)
            break;
        keepAlive = parser.get().keep_alive();
        auto responder = std::make_shared<ConnectionResponder>(context, limits.maxBufferedBytes);
        ++requests;
        watchForClose(stream, responder);
        handler(toRequest(parser.release()), std::make_shared<ResponderHandle>(responder));
        co_await responder->waitForWork(responder);
        keepAlive = keepAlive && !closesAfterResponse(*stream, buffer);
        if (responder->whole)
            keepAlive = co_await sendWhole(*stream, std::move(*responder->whole), keepAlive);
        else
            keepAlive = co_await sendStream(*stream, responder, keepAlive);
        --requests;
        ErrorCode ignored;
        stream->socket().cancel(ignored);
    }
    ErrorCode ignored;
    stream->socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream->close();
    open.erase(stream);
}

/// Returns true if the server drains and no further request, or a part of one, has arrived on the connection.
bool Server::Private::closesAfterResponse(beast::tcp_stream &stream, const beast::flat_buffer &buffer) const
{
    ErrorCode ignored;
    return draining && buffer.size() == 0 && stream.socket().available(ignored) == 0;
}

void Server::Private::watchForClose(const std::shared_ptr<beast::tcp_stream> &stream,
                                    const std::shared_ptr<ConnectionResponder> &responder)
{
    stream->socket().async_wait(tcp::socket::wait_read, [stream, responder](ErrorCode error) {
        if (error || responder->ended)
            return;
        char byte = 0;
        ErrorCode peekError;
        stream->socket().non_blocking(true, peekError);
        const auto got = stream->socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
        const bool hasMore = got > 0 || peekError == asio::error::would_block;
        if (!hasMore)
            responder->setGone();
    });
}

asio::awaitable<void> Server::Private::refuse(beast::tcp_stream &stream, unsigned status, std::string reason)
{
    co_await sendWhole(stream, refusal(status, reason), false);
}

asio::awaitable<bool> Server::Private::sendWhole(beast::tcp_stream &stream, Response response, bool keepAlive)
{
    bhttp::response<bhttp::string_body> message(bhttp::int_to_status(response.status), 11);
    message.result(response.status);
    copyHeaders(response.headers, message);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    stream.expires_after(limits.idleTimeout);
    ErrorCode error;
    co_await bhttp::async_write(stream, message, into(error));
    co_return keepAlive && !error;
}

asio::awaitable<bool> Server::Private::sendStream(beast::tcp_stream &stream,
                                                  std::shared_ptr<ConnectionResponder> responder, bool keepAlive)
{
    ErrorCode error;
    bool begun = false;
    while (!error && !responder->aborted && !responder->gone) {
        stream.expires_after(limits.idleTimeout);
        if (responder->head && !begun) {
            bhttp::response<bhttp::empty_body> head(bhttp::int_to_status(responder->head->status), 11);
            head.result(responder->head->status);
            copyHeaders(responder->head->headers, head);
            head.keep_alive(keepAlive);
            head.chunked(true);
            responder->head.reset();
            begun = true;
            bhttp::response_serializer<bhttp::empty_body> serializer(head);
            co_await bhttp::async_write_header(stream, serializer, into(error));
        } else if (!responder->pieces.empty()) {
            const std::string piece = std::move(responder->pieces.front());
            responder->pieces.pop_front();
            co_await asio::async_write(stream, bhttp::make_chunk(asio::buffer(piece)), into(error));
            responder->pendingBytes -= piece.size();
        } else if (responder->ended) {
            co_await asio::async_write(stream, bhttp::make_chunk_last(), into(error));
            co_return keepAlive && !error;
        } else {
            stream.expires_never();
            co_await responder->waitForWork(responder);
        }
    }
    if (error)
        responder->setGone();
    co_return false;
}

Server::Server(EventLoop &loop, ServerLimits limits, Handler handler, Refusal refusal)
    : m_d(std::make_shared<Private>(loop, limits, std::move(handler), std::move(refusal)))
{
}

Server::~Server()
{
    drain();
}

std::uint16_t Server::listen(const Endpoint &endpoint)
{
    const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
    m_d->acceptor.open(address.protocol());
    m_d->acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_d->acceptor.bind(address);
    m_d->acceptor.listen(1024);
    asio::co_spawn(m_d->context, m_d->accept(), asio::detached);
    return m_d->acceptor.local_endpoint().port();
}

void Server::drain()
{
    if (m_d->draining)
        return;
    m_d->draining = true;
    ErrorCode ignored;
    m_d->acceptor.close(ignored);
    for (const auto &[stream, input] : m_d->idle) {
        if (m_d->closesAfterResponse(*stream, *input))
            stream->cancel();
    }
}

std::size_t Server::connections() const
{
    return m_d->open.size();
}

std::size_t Server::requests() const
{
    return m_d->requests;
}

} // namespace Gypsumtally::Http
