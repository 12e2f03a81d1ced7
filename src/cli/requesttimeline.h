#pragma once

#include "cli/logline.h"

#include <istream>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// Collects the events of one request from the logs of several nodes: its own lines, and events of the same nodes and
/// upstreams from shortly before it until its last line. Not thread-safe.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string request);

    /// Adds the events of a log.
    void read(std::istream &log);

    /// Returns the events sorted by time; empty if no log contains the request.
    std::vector<LoggedEvent> events() const;

private:
    std::string m_request;
    std::vector<LoggedEvent> m_own;
    std::vector<LoggedEvent> m_contextEvents; ///< Events of processes, upstreams, orders and the store.
};

} // namespace Gypsumtally
