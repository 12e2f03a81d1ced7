#pragma once

#include <cstddef>

namespace Gypsumtally::Relay
{

/// Size limits of a caller's request.
struct RequestLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

} // namespace Gypsumtally::Relay
