#include "gatewayfleet/pathproxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <set>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace
{

/// The bytes in one direction of a connection.
struct Flow {
    std::array<char, 16 * 1024> buffer;
    std::size_t held = 0; ///< Bytes in the buffer that the path does not let through yet.
    bool isIdle = false; ///< Waits for the path to open.
};

void reset(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool wasReset(tcp::socket &socket)
{
    char byte = 0;
    ErrorCode error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block && error != asio::error::eof;
}

} // namespace

struct PathProxy::Private : std::enable_shared_from_this<PathProxy::Private> {
    struct Link : std::enable_shared_from_this<Link> {
        Link(std::shared_ptr<Private> proxy, tcp::socket accepted)
            : owner(std::move(proxy))
            , node(std::move(accepted))
            , upstream(owner->context)
        {
            ErrorCode ignored;
            address = node.remote_endpoint(ignored).address().to_string();
            node.set_option(tcp::no_delay(true), ignored);
        }

        PathState state() const
        {
            return owner->paths.of(address, owner->name);
        }

        void start()
        {
            if (state() == PathState::Reset || state() == PathState::ClosedToNew)
                return breakOff();
            upstream.async_connect(owner->target, [self = shared_from_this()](ErrorCode error) {
                if (error)
                    return self->breakOff();
                ErrorCode ignored;
                self->upstream.set_option(tcp::no_delay(true), ignored);
                self->read(self->node, self->upstream, self->requests);
                self->read(self->upstream, self->node, self->answers);
            });
        }

        bool lets(const Flow &flow) const
        {
            const bool isSilent = &flow == &answers && BootClock{}.now() < owner->silentUntil;
            return state() != PathState::Silent && !isSilent;
        }

        void read(tcp::socket &from, tcp::socket &to, Flow &flow)
        {
            from.async_read_some(asio::buffer(flow.buffer),
                                 [self = shared_from_this(), &from, &to, &flow](ErrorCode error, std::size_t got) {
                                     if (error == asio::error::eof)
                                         return self->endAfter(to, flow);
                                     if (error)
                                         return self->breakOff();
                                     flow.held = got;
                                     self->pass(from, to, flow);
                                 });
        }

        void pass(tcp::socket &from, tcp::socket &to, Flow &flow)
        {
            flow.isIdle = !lets(flow);
            if (flow.isIdle)
                return;
            if (&flow == &answers)
                owner->onAnswer(address, {flow.buffer.data(), flow.held});
            asio::async_write(to, asio::buffer(flow.buffer, std::exchange(flow.held, 0)),
                              [self = shared_from_this(), &from, &to, &flow](ErrorCode error, std::size_t) {
                                  if (error)
                                      return self->breakOff();
                                  self->read(from, to, flow);
                              });
        }

        /// Closes the connection in order once the path lets that through.
        void endAfter(tcp::socket &to, Flow &flow)
        {
            flow.isIdle = !lets(flow);
            if (flow.isIdle)
                return;
            ErrorCode ignored;
            to.shutdown(tcp::socket::shutdown_both, ignored);
            close();
        }

        void sweep()
        {
            if (state() == PathState::Reset)
                return breakOff();
            resume(node, upstream, requests);
            resume(upstream, node, answers);
        }

        void resume(tcp::socket &from, tcp::socket &to, Flow &flow)
        {
            if (!flow.isIdle || !lets(flow))
                return;
            if (wasReset(from))
                return breakOff(); // What the sender has taken back does not arrive.
            if (flow.held > 0)
                pass(from, to, flow);
            else
                endAfter(to, flow);
        }

        void breakOff()
        {
            reset(node);
            reset(upstream);
            owner->links.erase(shared_from_this());
        }

        void close()
        {
            ErrorCode ignored;
            node.close(ignored);
            upstream.close(ignored);
            owner->links.erase(shared_from_this());
        }

        std::shared_ptr<Private> owner;
        tcp::socket node;
        tcp::socket upstream;
        std::string address; ///< Of the node.
        Flow requests;
        Flow answers;
    };

    Private(Http::EventLoop &loop, const Paths &allPaths, std::string upstream, const Http::Endpoint &endpoint,
            AnswerObserver observer)
        : context(loop.context())
        , paths(allPaths)
        , name(std::move(upstream))
        , target(asio::ip::make_address(endpoint.address), endpoint.port)
        , onAnswer(std::move(observer))
        , acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](ErrorCode error, tcp::socket socket) {
            if (error)
                return;
            const auto link = std::make_shared<Link>(self, std::move(socket));
            self->links.insert(link);
            link->start();
            self->accept();
        });
    }

    asio::io_context &context;
    const Paths &paths;
    std::string name;
    tcp::endpoint target;
    AnswerObserver onAnswer;
    tcp::acceptor acceptor;
    std::set<std::shared_ptr<Link>> links;
    Instant silentUntil{};
};

PathProxy::PathProxy(Http::EventLoop &loop, const Paths &paths, const std::string &upstream,
                     const Http::Endpoint &target, AnswerObserver onAnswer)
    : m_d(std::make_shared<Private>(loop, paths, upstream, target, std::move(onAnswer)))
{
    m_d->accept();
}

PathProxy::~PathProxy()
{
    ErrorCode ignored;
    m_d->acceptor.close(ignored);
    const auto links = m_d->links;
    for (const auto &link : links)
        link->breakOff();
}

Http::Endpoint PathProxy::endpoint() const
{
    return {"127.0.0.1", m_d->acceptor.local_endpoint().port(), false};
}

void PathProxy::silence(Duration time)
{
    m_d->silentUntil = std::max(m_d->silentUntil, BootClock{}.now() + time);
}

void PathProxy::sweep()
{
    const auto links = m_d->links;
    for (const auto &link : links)
        link->sweep();
}

} // namespace Gypsumtally::GatewayFleet
