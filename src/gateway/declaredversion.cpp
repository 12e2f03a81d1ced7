#include "gateway/declaredversion.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

/// The platform's bound on the time from a version's declaration to the last beginning of a request on an older one.
constexpr Duration versionBound = std::chrono::seconds{5};
/// Part of the bound that is kept for a request to leave an engine.
constexpr Duration leavingMargin = std::chrono::milliseconds{500};
/// Time for which older versions still serve after this node has learnt of a version's declaration. The rest of the
/// bound is for requests that queue in an engine.
constexpr Duration gracePeriod = std::chrono::milliseconds{1200};
/// Latest end of the grace period after the earliest time at which the declaration may have been made. Longer than the
/// grace period, as this node learns of a declaration up to a second after it.
constexpr Duration maxGraceEnd = std::chrono::milliseconds{2400};

} // namespace

bool DeclaredVersion::declare(std::uint64_t version, Instant earliest, Instant now)
{
    if (version <= newest())
        return false;
    const auto beginning = oldestBeginning(now);
    std::erase_if(m_declarations, [&](const Declaration &each) { return each.version < beginning; });
    m_declarations.push_back(
        {version, std::min(now + gracePeriod, earliest + maxGraceEnd), earliest + versionBound - leavingMargin});
    return true;
}

std::uint64_t DeclaredVersion::oldestUsable(Instant now) const
{
    return newestPast(&Declaration::graceEnd, now);
}

std::uint64_t DeclaredVersion::oldestBeginning(Instant now) const
{
    return newestPast(&Declaration::lastBeginning, now);
}

std::uint64_t DeclaredVersion::newestPast(Instant Declaration::*end, Instant now) const
{
    std::uint64_t newest = 0;
    for (const auto &each : m_declarations) {
        if (now >= each.*end)
            newest = each.version;
    }
    return newest;
}

} // namespace Gypsumtally::Gateway
