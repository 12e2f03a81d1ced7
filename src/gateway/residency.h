#pragma once

#include "common/clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// What a request asks for: `MODEL` for a base model itself, or `MODEL/ADAPTER`.
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
    std::uint64_t version = 0; ///< 0 if it is not known.
    Instant usableAt{}; ///< When its load ends.
    bool loadedByOrder = false; ///< Known from an order, not from the engine's own list.
};

/// One target and version as an engine lists it.
struct ListedTarget {
    ModelTarget target;
    std::uint64_t version = 0;
};

/// This node's view of what one engine holds. Engines list it late; what was learned otherwise goes before a list
/// that may be older. Not thread-safe.
class Residency
{
public:
    /// Takes in a list that the engine wrote a moment before @p now.
    void onListed(const std::vector<ListedTarget> &targets, Instant now);

    /// The engine accepted an order to load @p target.
    void onLoading(const ModelTarget &target, std::uint64_t version, Instant usableAt, Instant now);

    /// The engine dropped @p target, or has refused a request for it because it does not hold it.
    void onDropped(const ModelTarget &target, Instant now);

    /// Returns the copy of @p target, or null.
    const ResidentCopy *find(const ModelTarget &target) const;

    /// Calls @p take with each target and its copy.
    template<typename Take>
    void eachCopy(Take &&take) const
    {
        for (const auto &[target, copy] : m_copies)
            take(target, static_cast<const ResidentCopy &>(copy));
    }

private:
    struct Copy : ResidentCopy {
        Instant learned{}; ///< When an order or a refusal told, not a list.
    };

    std::unordered_map<ModelTarget, Copy> m_copies;
    std::unordered_map<ModelTarget, Instant> m_dropped;
};

} // namespace Gypsumtally::Gateway
