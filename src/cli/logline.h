#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally
{

/// A structured log line of a node.
struct LoggedEvent {
    std::int64_t timeMs = 0; ///< Unix time in milliseconds.
    std::string node;
    std::string event;
    std::string request; ///< Id of the request; empty if the line has none.
    std::vector<std::pair<std::string, std::string>> fields; ///< Names and values of all other fields except the level.
};

/// Parses a structured log line, ignoring text before the JSON object; returns std::nullopt for any other line.
/// Thread-safe.
std::optional<LoggedEvent> readLogLine(const std::string &line);

/// Returns the value of the field @p name in LoggedEvent::fields, or an empty string. Thread-safe.
std::string fieldOf(const LoggedEvent &event, std::string_view name);

} // namespace Gypsumtally
