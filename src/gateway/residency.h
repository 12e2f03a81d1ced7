#pragma once

#include "common/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Target of a request: `MODEL` for a base model itself, or `MODEL/ADAPTER`.
using ModelTarget = std::string;

/// Returns the base model's name of @p target. Thread-safe.
inline std::string_view baseOf(std::string_view target)
{
    return target.substr(0, target.find('/'));
}

/// Returns the adapter's name of @p target, or an empty view for a base model. Thread-safe.
inline std::string_view adapterOf(std::string_view target)
{
    const auto slash = target.find('/');
    return slash == std::string_view::npos ? std::string_view{} : target.substr(slash + 1);
}

/// A model or adapter that an engine holds or is loading.
struct ResidentCopy {
    std::uint64_t version = 0; ///< 0 if unknown.
    Instant usableAt{}; ///< End of its load.
    bool loadedByOrder = false; ///< Learnt from an order rather than from the engine's own list.
};

/// A target and version in the list that an engine publishes.
struct ListedTarget {
    ModelTarget target;
    std::uint64_t version = 0;
};

/// This node's view of the models and adapters on one engine. The lists that engines publish lag behind, so newer
/// information from orders and rejections takes precedence. Not thread-safe.
class Residency
{
public:
    /// Merges a list received at @p now, which the engine wrote shortly before.
    void onListed(const std::vector<ListedTarget> &targets, Instant now);

    /// Records that the engine accepted an order to load @p target.
    void onLoading(const ModelTarget &target, std::uint64_t version, Instant usableAt, Instant now);

    /// Records that the engine unloaded @p target or rejected a request for it because it does not hold it.
    void onDropped(const ModelTarget &target, Instant now);

    /// Returns the copy of @p target, or null.
    const ResidentCopy *find(const ModelTarget &target) const;

    /// Returns true if no copy is known, as of an upstream of a plain service.
    bool isEmpty() const
    {
        return m_copies.empty();
    }

    /// Calls @p take with each target and its copy.
    template<typename Take>
    void forEachCopy(Take &&take) const
    {
        for (const auto &[target, copy] : m_copies)
            take(target, static_cast<const ResidentCopy &>(copy));
    }

private:
    struct Copy : ResidentCopy {
        Instant learnedAt{}; ///< When an order reported it; zero if only lists did.
    };

    std::unordered_map<ModelTarget, Copy> m_copies;
    std::unordered_map<ModelTarget, Instant> m_dropped;
};

} // namespace Gypsumtally::Gateway
