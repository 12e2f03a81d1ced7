#pragma once

#include <string>

#include <unistd.h>

namespace Gypsumtally::Testing
{

/// Returns a loopback address that no other process uses, so that none sends requests to a port that its own server has
/// left and that this process listens on now.
inline std::string ownLoopbackAddress()
{
    const auto pid = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + ((pid >> 16) & 127)) + '.' + std::to_string((pid >> 8) & 255) + '.'
           + std::to_string(pid & 255);
}

} // namespace Gypsumtally::Testing
