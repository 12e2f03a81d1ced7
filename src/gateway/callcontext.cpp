#include "gateway/callcontext.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// How long an older version goes on serving while the new one is loaded; under the platform's bound of 5 s by the
/// time that the declaration takes to get here.
constexpr Duration olderVersionServes = std::chrono::milliseconds{3200};

} // namespace

std::uint64_t CallContext::leastVersion(const ModelTarget &target, Instant now) const
{
    const auto it = declared.find(target);
    if (it == declared.end() || now - it->second.learned < olderVersionServes)
        return 0;
    return it->second.version;
}

} // namespace Gypsumtally::Gateway
