#pragma once

#include "common/clock.h"

#include <cstdint>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The declared versions of one adapter, and the oldest of them that may still serve. Not thread-safe.
class DeclaredVersion
{
public:
    /// Records a declaration of @p version that was made at @p earliest or later, which this node received at @p now.
    /// Returns false if it has received the same or a later version before.
    bool declare(std::uint64_t version, Instant earliest, Instant now);

    /// Returns the newest declared version; 0 if none is.
    std::uint64_t newest() const
    {
        return m_declarations.empty() ? 0 : m_declarations.back().version;
    }

    /// Returns the oldest version that may serve at @p now; 0 if any may. Each declaration rules out the versions
    /// before it after a grace period of its own, whatever is declared in the meantime.
    std::uint64_t oldestUsable(Instant now) const;

    /// Returns the oldest version on which a request that was sent before may still begin at @p now; 0 if any may.
    std::uint64_t oldestBeginning(Instant now) const;

private:
    struct Declaration {
        std::uint64_t version = 0;
        Instant graceEnd{};
        Instant lastBeginning{}; ///< Of a request on an older version.
    };

    std::uint64_t newestPast(Instant Declaration::*end, Instant now) const;

    /// In ascending order of the versions, without those that a later one had superseded before the last declaration.
    std::vector<Declaration> m_declarations;
};

} // namespace Gypsumtally::Gateway
