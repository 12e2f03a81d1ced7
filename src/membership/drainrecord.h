#pragma once

#include <string>
#include <string_view>

namespace Gypsumtally
{

/// Prefix of the keys that mark nodes and upstreams as drained.
inline constexpr std::string_view drainPrefix = "/gypsumtally/drained/";

/// Returns the key that marks the node or upstream @p name as drained. Thread-safe.
inline std::string drainKey(std::string_view name)
{
    return std::string(drainPrefix) + std::string(name);
}

} // namespace Gypsumtally
