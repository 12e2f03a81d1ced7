#pragma once

#include "gateway/residency.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace Gypsumtally::Gateway
{

/// The adapters that an engine has held and keeps at hand, so that it loads them again without the weight store: the
/// ones that it had last, up to a number that is not known beforehand. Not thread-safe.
class KeptAdapters
{
public:
    /// The engine has @p target, or is about to.
    void onHeld(const ModelTarget &target);

    /// A load of one that seemed to be kept took as long as one from the store: so many are not kept.
    void onNotKept();

    /// Whether the engine is taken to keep @p target.
    bool contains(const ModelTarget &target) const
    {
        return m_heldAt.contains(target);
    }

private:
    static constexpr std::size_t fewest = 32; ///< About as many as an engine has places for.
    static constexpr double shrinkFactor = 0.8;
    static constexpr std::size_t growth = 1; ///< By each that is held again, as the number may have been guessed low.

    void trim();

    std::size_t m_most = 4096; ///< Far beyond what an engine gets to hold in hours.
    std::uint64_t m_holdings = 0;
    std::unordered_map<ModelTarget, std::uint64_t> m_heldAt; ///< The number of the holding that was its last.
    std::map<std::uint64_t, ModelTarget> m_byHolding;
};

} // namespace Gypsumtally::Gateway
