#pragma once

#include "gateway/residency.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace Gypsumtally::Gateway
{

/// Estimate of the adapters in an engine's local cache, which it can reload without the weight store: the most recently
/// held ones, up to a capacity that is not known in advance. Not thread-safe.
class AdapterCacheEstimate
{
public:
    /// Records that the engine holds @p target or is loading it.
    void onHeld(const ModelTarget &target);

    /// Records that a load of a supposedly cached adapter took as long as one from the store, and lowers the estimated
    /// capacity below the current number of adapters, but not below minCapacity.
    void onCacheMiss();

    /// Returns true if the engine is assumed to cache @p target.
    bool contains(const ModelTarget &target) const
    {
        return m_heldAt.contains(target);
    }

private:
    /// Minimum capacity; about the number of adapter slots of an engine.
    static constexpr std::size_t minCapacity = 32;
    static constexpr double shrinkFactor = 0.8;
    /// Capacity added per adapter held again, in case the estimate is low.
    static constexpr std::size_t capacityGrowth = 1;

    void trim();

    std::size_t m_capacity = 4096; ///< Estimated capacity; initially far more than an engine holds within hours.
    std::uint64_t m_holdCount = 0; ///< Number of onHeld() calls.
    std::unordered_map<ModelTarget, std::uint64_t> m_heldAt; ///< Number of the last onHeld() call of each adapter.
    std::map<std::uint64_t, ModelTarget> m_byRecency; ///< Inverse of m_heldAt, least recently held first.
};

} // namespace Gypsumtally::Gateway
