#include "gateway/callrelay.h"

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration connectTimeout = std::chrono::milliseconds{250}; ///< A round trip between regions takes 20 ms.
/// Idle time after which a connection is not used for a call that must not be repeated.
constexpr Duration maxIdleAgeForOnce = std::chrono::seconds{2};

bool canServe(const Upstream &upstream, const std::string &service, const std::string *softwareVersion)
{
    return upstream.record.service == service && upstream.staysInService()
           && (!softwareVersion || upstream.record.softwareVersion == *softwareVersion);
}

} // namespace

CallRelay::CallRelay(CallContext &context)
    : m_context(context)
{
}

std::optional<RelayPeer> CallRelay::choose(const std::string &requestId, const std::vector<std::string> &upstreams,
                                           const std::vector<std::string> &failedPeers, Instant now) const
{
    if (!m_context.relayPeers)
        return std::nullopt;
    const auto peers = m_context.relayPeers();
    const RelayDemand demand{requestId, regionOf(m_context.failureDomain, m_context.regions), &upstreams, &failedPeers,
                             [this, now](const std::string &node, const std::string &instance) {
                                 return m_context.reach.isPeerCutOff(node, instance, now);
                             }};
    const auto *peer = m_choice.choose(peers, demand);
    return peer ? std::optional(*peer) : std::nullopt;
}

Relay::SendOptions CallRelay::optionsFor(bool mayRepeat)
{
    Relay::SendOptions options;
    options.connectTimeout = connectTimeout;
    options.unsentBytesTimeoutMs = unsentBytesTimeoutMs;
    if (!mayRepeat)
        options.maxIdleAge = maxIdleAgeForOnce;
    return options;
}

void CallRelay::onEnded(const std::string &node)
{
    m_choice.onEnded(node);
}

std::vector<std::string> CallRelay::upstreamsBehindCut(const std::string &service, const ModelTarget &target,
                                                       const std::string *softwareVersion, Instant now) const
{
    std::vector<std::string> upstreams;
    const auto minVersion = target.empty() ? 0 : m_context.minVersion(target, now);
    for (const auto &instance : m_context.reach.cutOff()) {
        const auto *upstream = m_context.upstreams.find(instance);
        if (!upstream || !canServe(*upstream, service, softwareVersion))
            continue;
        const auto *copy = target.empty() ? nullptr : upstream->residency.find(target);
        if (target.empty() || (copy && copy->version >= minVersion))
            upstreams.push_back(instance);
    }
    return upstreams;
}

bool CallRelay::isIsolated(const std::string &service, const std::string *softwareVersion) const
{
    bool isIsolated = false;
    for (const auto &[instance, upstream] : m_context.upstreams.all()) {
        if (!canServe(upstream, service, softwareVersion))
            continue;
        if (!upstream.isCutOff)
            return false;
        isIsolated = true;
    }
    return isIsolated;
}

} // namespace Gypsumtally::Gateway
