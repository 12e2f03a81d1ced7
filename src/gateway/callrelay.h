#pragma once

#include "gateway/callcontext.h"
#include "gateway/relaychoice.h"
#include "gateway/relaycodec.h"
#include "relay/upstreamclient.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Passes calls of this node to peers that reach upstreams that it is cut off from. Loop's thread only.
class CallRelay
{
public:
    /// A live peer's connections are lost if it does not acknowledge bytes for this long, in ms.
    static constexpr unsigned unsentBytesTimeoutMs = 1500;

    explicit CallRelay(CallContext &context);

    /// Returns the peer that is to get the call with @p requestId; nothing if no peer that is not in @p failedPeers
    /// reaches one of @p upstreams.
    std::optional<RelayPeer> choose(const std::string &requestId, const std::vector<std::string> &upstreams,
                                    const std::vector<std::string> &failedPeers, Instant now) const;

    /// Sends @p request over @p client to @p peer. It counts as in flight there until onEnded().
    template<Relay::ExchangeClient Client>
    Relay::UpstreamClient::Token send(Client &client, const RelayPeer &peer, const Http::Request &request,
                                      const RelayedCall &call, Relay::ExchangeObserver observer, bool mayRepeat)
    {
        m_choice.onSent(peer.node);
        return client.send({peer.endpoint, peer.node + '@' + std::to_string(peer.startedAt)},
                           writeRelayedRequest(request, call), std::move(observer), optionsFor(mayRepeat));
    }

    /// Records that a call at @p node has ended.
    void onEnded(const std::string &node);

    /// Returns the upstreams of @p service that stay in service and that this node is cut off from. If @p target is
    /// not empty, returns only those that hold it.
    std::vector<std::string> upstreamsBehindCut(const std::string &service, const ModelTarget &target,
                                                const std::string *softwareVersion, Instant now) const;

    /// Returns true if upstreams of @p service stay in service and this node is cut off from all of them. Considers
    /// only those of @p softwareVersion, if it is not null.
    bool isIsolated(const std::string &service, const std::string *softwareVersion) const;

private:
    static Relay::SendOptions optionsFor(bool mayRepeat);

    CallContext &m_context;
    RelayChoice m_choice;
};

} // namespace Gypsumtally::Gateway
