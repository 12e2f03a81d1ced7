#include "gateway/declaredversion.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time after a version's declaration for which older versions still serve. Requests may queue in an engine for seconds
/// and must not begin on an older version later than 5 s after the declaration, the platform's bound.
constexpr Duration gracePeriod = std::chrono::milliseconds{1200};

} // namespace

bool DeclaredVersion::declare(std::uint64_t version, Instant /*earliest*/, Instant now)
{
    if (version <= newest())
        return false;
    const auto usable = oldestUsable(now);
    std::erase_if(m_declarations, [&](const Declaration &each) { return each.version < usable; });
    m_declarations.push_back({version, now + gracePeriod});
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
