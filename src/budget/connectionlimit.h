#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

namespace Gypsumtally::Budget
{

inline constexpr std::size_t reservedDescriptors = 200; ///< For files and listening sockets.
inline constexpr std::size_t minSharedDescriptors = 64; ///< Give each server a connection.

/// Returns the limit on the connections of a server that may take @p share of the process's @p descriptors beyond the
/// reserved ones: at most @p usual, which applies if @p descriptors is empty. Thread-safe.
inline std::size_t connectionLimit(std::size_t usual, std::optional<std::size_t> descriptors, double share)
{
    if (!descriptors)
        return usual;
    const auto available = std::max(*descriptors, reservedDescriptors + minSharedDescriptors) - reservedDescriptors;
    return std::min(usual, static_cast<std::size_t>(share * static_cast<double>(available)));
}

} // namespace Gypsumtally::Budget
