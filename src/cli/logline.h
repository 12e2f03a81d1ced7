#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally
{

/// One structured log line of a node.
struct LoggedEvent {
    std::int64_t timeMs = 0;
    std::string node;
    std::string event;
    std::string request; ///< Empty unless the line is about one request.
    std::vector<std::pair<std::string, std::string>> fields; ///< All others.
};

/// Reads a structured log line; what stands before the JSON object is ignored. Thread-safe.
std::optional<LoggedEvent> readLogLine(const std::string &line);

/// Returns the value of the field called @p name, or an empty string. Thread-safe.
std::string fieldOf(const LoggedEvent &event, std::string_view name);

} // namespace Gypsumtally
