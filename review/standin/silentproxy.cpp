#include "silentproxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Review
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

/// The request whose connection goes silent next.
struct Trigger {
    std::string text; ///< Empty: none.
    std::function<void()> onSilent;
    std::function<void(std::string_view)> onRequest;
};

/// One connection and its continuation to the server.
struct Link : std::enable_shared_from_this<Link> {
    Link(asio::io_context &context, tcp::socket accepted, std::shared_ptr<Trigger> next)
        : caller(std::move(accepted))
        , server(context)
        , trigger(std::move(next))
    {
    }

    void start(const tcp::endpoint &target)
    {
        server.async_connect(target, [self = shared_from_this()](ErrorCode error) {
            if (error)
                return self->close();
            ErrorCode ignored;
            self->caller.set_option(tcp::no_delay(true), ignored);
            self->server.set_option(tcp::no_delay(true), ignored);
            self->pass(self->caller, self->server, self->up);
            self->pass(self->server, self->caller, self->down);
        });
    }

    void pass(tcp::socket &from, tcp::socket &to, std::array<char, 16 * 1024> &buffer)
    {
        from.async_read_some(
            asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer](ErrorCode error, std::size_t size) {
                if (self->isSilent)
                    return self->discard(from, to, buffer, error);
                if (error)
                    return self->close();
                const bool isTrigger = &from == &self->caller && self->matches({buffer.data(), size});
                asio::async_write(to, asio::buffer(buffer.data(), size),
                                  [self, &from, &to, &buffer, isTrigger](ErrorCode failed, std::size_t) {
                                      if (failed && !self->isSilent)
                                          return self->close();
                                      if (isTrigger)
                                          self->goSilent();
                                      self->pass(from, to, buffer);
                                  });
            });
    }

    bool matches(std::string_view request) const
    {
        if (trigger->onRequest)
            trigger->onRequest(request);
        return !trigger->text.empty() && request.find(trigger->text) != std::string_view::npos;
    }

    void goSilent()
    {
        isSilent = true;
        trigger->text.clear();
        trigger->onSilent();
    }

    /// Reads and drops what still comes, so that neither side learns anything.
    void discard(tcp::socket &from, tcp::socket &to, std::array<char, 16 * 1024> &buffer, ErrorCode error)
    {
        if (error && &from == &caller)
            return close();
        if (!error)
            pass(from, to, buffer);
    }

    void close()
    {
        ErrorCode ignored;
        caller.close(ignored);
        server.close(ignored);
        isClosed = true;
    }

    tcp::socket caller;
    tcp::socket server;
    std::array<char, 16 * 1024> up{};
    std::array<char, 16 * 1024> down{};
    std::shared_ptr<Trigger> trigger;
    bool isSilent = false;
    bool isClosed = false;
};

} // namespace

struct SilentProxy::Private : std::enable_shared_from_this<SilentProxy::Private> {
    Private(Http::EventLoop &loop, const Http::Endpoint &server)
        : context(loop.context())
        , acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , target(asio::ip::make_address(server.address), server.port)
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
            if (error)
                return;
            std::erase_if(self->links, [](const auto &link) { return link->isClosed; });
            self->links.push_back(std::make_shared<Link>(self->context, std::move(socket), self->trigger));
            self->links.back()->start(self->target);
            self->accept();
        });
    }

    asio::io_context &context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::vector<std::shared_ptr<Link>> links;
    std::shared_ptr<Trigger> trigger = std::make_shared<Trigger>();
};

SilentProxy::SilentProxy(Http::EventLoop &loop, const Http::Endpoint &target)
    : m_d(std::make_shared<Private>(loop, target))
{
    m_d->accept();
}

SilentProxy::~SilentProxy()
{
    ErrorCode ignored;
    m_d->acceptor.close(ignored);
    for (const auto &link : m_d->links)
        link->close();
}

Http::Endpoint SilentProxy::endpoint() const
{
    return {"127.0.0.1", m_d->acceptor.local_endpoint().port(), false};
}

void SilentProxy::silenceOpen()
{
    for (const auto &link : m_d->links)
        link->isSilent = true;
}

void SilentProxy::onRequest(std::function<void(std::string_view)> onRequest)
{
    m_d->trigger->onRequest = std::move(onRequest);
}

void SilentProxy::silenceNext(const std::string &text, std::function<void()> onSilent)
{
    m_d->trigger->text = text;
    m_d->trigger->onSilent = std::move(onSilent);
}

} // namespace Gypsumtally::Review
