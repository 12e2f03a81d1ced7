#include "gateway/declaredversion.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time for which older versions still serve after this node has learnt of a version's declaration. Requests may queue
/// in an engine for seconds and must not begin on an older version later than 5 s after the declaration, the platform's
/// bound.
constexpr Duration gracePeriod = std::chrono::milliseconds{1200};
/// Latest end of the grace period after the earliest time at which the declaration may have been made. Longer than the
/// grace period, as this node learns of a declaration up to a second after it.
constexpr Duration maxGraceEnd = std::chrono::milliseconds{2400};

} // namespace

bool DeclaredVersion::declare(std::uint64_t version, Instant earliest, Instant now)
{
    if (version <= newest())
        return false;
    const auto usable = oldestUsable(now);
    std::erase_if(m_declarations, [&](const Declaration &each) { return each.version < usable; });
    m_declarations.push_back({version, std::min(now + gracePeriod, earliest + maxGraceEnd)});
    return true;
}

std::uint64_t DeclaredVersion::oldestUsable(Instant now) const
{
    std::uint64_t oldest = 0;
    for (const auto &each : m_declarations) {
        if (now >= each.graceEnd)
            oldest = each.version;
    }
    return oldest;
}

} // namespace Gypsumtally::Gateway
