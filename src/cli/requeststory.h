#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
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

/// Collects what the logs of several nodes tell of one request: its own lines, and what the same nodes and upstreams
/// went through shortly before. Not thread-safe.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    /// Reads one log.
    void read(std::istream &log);

    /// Returns the events in the order of their times; empty if the request is in no log.
    std::vector<LoggedEvent> events() const;

private:
    std::string m_request;
    std::vector<LoggedEvent> m_own;
    std::vector<LoggedEvent> m_surroundings; ///< Of processes, upstreams, orders and the store.
};

} // namespace Gypsumtally
