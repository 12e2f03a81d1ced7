#include "gateway/callcontext.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// How long requests are sent to an older version while the new one is loaded. Such a request may wait in the engine
/// for seconds before it begins, and must begin within the platform's bound of 5 s.
constexpr Duration olderVersionServes = std::chrono::milliseconds{1200};

} // namespace

void CallContext::takeIn(const UpstreamProcess &process, const UpstreamStatement &statement, Instant now)
{
    if (statement == UpstreamStatement{statement.instance, false, {}, {}})
        return;
    const auto effect = applyStatement(upstreams, process, statement, now);
    if (onStatement)
        onStatement(process, effect, statement.unreadable);
}

std::uint64_t CallContext::leastVersion(const ModelTarget &target, Instant now) const
{
    const auto it = declared.find(target);
    if (it == declared.end() || now - it->second.learned < olderVersionServes)
        return 0;
    return it->second.version;
}

} // namespace Gypsumtally::Gateway
