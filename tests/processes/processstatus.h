#pragma once

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/types.h>

namespace Gypsumtally::Processes
{

/// Returns a figure of the status of process @p id, such as "VmHWM", in kilobytes; 0 if there is none. Thread-safe.
inline std::size_t memoryOf(pid_t id, const std::string &figure)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    for (std::string name; status >> name;) {
        std::size_t value = 0;
        if (name == figure + ':' && status >> value)
            return value;
    }
    return 0;
}

/// Returns the number of open descriptors of process @p id. Thread-safe.
inline std::size_t descriptorsOf(pid_t id)
{
    std::error_code ignored;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(id) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace Gypsumtally::Processes
