#pragma once

#include "gateway/gatewaymessage.h"
#include "gateway/peertraffic.h"
#include "http/message.h"

#include <functional>
#include <memory>

namespace Gypsumtally::Http
{
class EventLoop;
}

namespace Gypsumtally::Gateway
{

/// A UDP socket for messages between nodes. Any datagram may be lost. Loop's thread only.
class PeerLink
{
public:
    using Handler = std::function<void(const GatewayMessage &)>;

    /// Binds to @p listen and calls @p handler with each valid message. Throws std::system_error if it cannot bind.
    PeerLink(Http::EventLoop &loop, const Http::Endpoint &listen, Handler handler);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends @p message to each of @p targets and returns the bytes that were sent; errors are ignored.
    std::size_t send(const GatewayMessage &message, const std::vector<NodeAddress> &targets);

    /// Returns what was sent and received since construction.
    const PeerTraffic &traffic() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Gypsumtally::Gateway
