#include "gateway/peertraffic.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace Gypsumtally::Gateway
{

PeerMessageKind kindOf(const GatewayMessage &message)
{
    if (!message.registry.empty())
        return PeerMessageKind::Registry;
    if (message.reports.empty())
        return PeerMessageKind::Other;
    const bool isOwn = std::ranges::all_of(
        message.reports, [&](const NodeReport &report) { return report.from.node == message.sender; });
    return isOwn ? PeerMessageKind::OwnReports : PeerMessageKind::ForwardedReports;
}

std::uint64_t sumOf(const PeerBytes &bytes)
{
    return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{0});
}

PeerBytes since(const PeerBytes &before, const PeerBytes &now)
{
    PeerBytes difference{};
    std::ranges::transform(now, before, difference.begin(), std::minus{});
    return difference;
}

} // namespace Gypsumtally::Gateway
