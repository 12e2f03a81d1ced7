#pragma once

#include "cli/logline.h"

#include <istream>
#include <string>
#include <vector>

namespace Gypsumtally
{

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
