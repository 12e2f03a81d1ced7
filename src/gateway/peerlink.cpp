#include "gateway/peerlink.h"

#include "http/eventloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>

namespace Gypsumtally::Gateway
{

namespace asio = boost::asio;
using asio::ip::udp;
using ErrorCode = boost::system::error_code;

struct PeerLink::Private : std::enable_shared_from_this<PeerLink::Private> {
    Private(Http::EventLoop &loop, const Http::Endpoint &listen, Handler messageHandler)
        : socket(loop.context(), udp::endpoint(asio::ip::make_address(listen.address), listen.port))
        , handler(std::move(messageHandler))
    {
        socket.non_blocking(true);
    }

    void wait()
    {
        socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (error)
                return;
            self->receive();
            self->wait();
        });
    }

    void receive()
    {
        for (;;) {
            ErrorCode error;
            udp::endpoint sender;
            const auto size = socket.receive_from(asio::buffer(bytes), sender, 0, error);
            if (error)
                return;
            if (const auto message = decodeGatewayMessage({bytes.data(), size})) {
                traffic.received[static_cast<std::size_t>(kindOf(*message))] += size;
                handler(*message);
            }
        }
    }

    udp::socket socket;
    Handler handler;
    std::array<char, 65536> bytes{};
    PeerTraffic traffic;
};

PeerLink::PeerLink(Http::EventLoop &loop, const Http::Endpoint &listen, Handler handler)
    : m_d(std::make_shared<Private>(loop, listen, std::move(handler)))
{
    m_d->wait();
}

PeerLink::~PeerLink()
{
    ErrorCode ignored;
    m_d->socket.close(ignored);
}

std::size_t PeerLink::send(const GatewayMessage &message, const std::vector<NodeAddress> &targets)
{
    if (targets.empty())
        return 0;
    const auto text = encode(message);
    const auto bytes = text.size() * targets.size();
    m_d->traffic.sent[static_cast<std::size_t>(kindOf(message))] += bytes;
    for (const auto &target : targets) {
        // An error counts as a lost datagram, which receivers tolerate.
        ErrorCode ignored;
        m_d->socket.send_to(asio::buffer(text),
                            udp::endpoint(asio::ip::make_address(target.peers.address), target.peers.port), 0, ignored);
    }
    return bytes;
}

const PeerTraffic &PeerLink::traffic() const
{
    return m_d->traffic;
}

} // namespace Gypsumtally::Gateway
