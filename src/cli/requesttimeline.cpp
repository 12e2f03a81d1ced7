#include "cli/requesttimeline.h"

#include <algorithm>
#include <array>
#include <set>
#include <sstream>

namespace Gypsumtally
{

namespace
{

/// Events up to this long before the first line of a request may be its cause.
constexpr std::int64_t lookbackMs = 10000;

/// Events that change a node's view of the fleet or report its health.
constexpr std::array<std::string_view, 17> contextEvents{"started",           "stopping",
                                                         "stopped",           "store_lost",
                                                         "store_back",        "upstream_gone",
                                                         "upstream_leaving",  "upstream_found",
                                                         "order_lease_taken", "order_lease_lost",
                                                         "loop_late",         "version_declared",
                                                         "order_failed",      "configuration_in_force",
                                                         "reach_lost",        "reach_found",
                                                         "crash_refuted"};

/// Adds the names in @p list, which commas separate.
void addNames(std::set<std::string> &names, const std::string &list)
{
    std::istringstream text(list);
    for (std::string name; std::getline(text, name, ',');)
        names.insert(name);
}

} // namespace

RequestTimeline::RequestTimeline(std::string request)
    : m_request(std::move(request))
{
}

void RequestTimeline::read(std::istream &log)
{
    for (std::string line; std::getline(log, line);) {
        auto event = readLogLine(line);
        if (!event)
            continue;
        if (event->request == m_request)
            m_own.push_back(std::move(*event));
        else if (std::ranges::find(contextEvents, event->event) != contextEvents.end())
            m_contextEvents.push_back(std::move(*event));
    }
}

std::vector<LoggedEvent> RequestTimeline::events() const
{
    auto events = m_own;
    if (events.empty())
        return events;
    std::set<std::string> nodes;
    std::set<std::string> upstreams;
    std::set<std::string> targets;
    const auto byTime
        = [](const LoggedEvent &first, const LoggedEvent &second) { return first.timeMs < second.timeMs; };
    const auto last = std::ranges::max_element(events, byTime)->timeMs;
    const auto first = std::ranges::min_element(events, byTime)->timeMs - lookbackMs;
    for (const auto &event : m_own) {
        nodes.insert(event.node);
        upstreams.insert(fieldOf(event, "upstream"));
        targets.insert(fieldOf(event, "target"));
        addNames(upstreams, fieldOf(event, "cut_off"));
    }
    upstreams.erase(std::string{});
    targets.erase(std::string{});
    for (const auto &event : m_contextEvents) {
        if (event.timeMs < first || event.timeMs > last)
            continue;
        const auto upstream = fieldOf(event, "upstream");
        const bool isLeaseEvent = event.event.starts_with("order_lease");
        const bool concernsTarget = targets.contains(event.request) || targets.contains(fieldOf(event, "target"));
        const bool concernsNode = nodes.contains(event.node) && (upstream.empty() || upstreams.contains(upstream))
                                  && (event.request.empty() || concernsTarget);
        if (isLeaseEvent || concernsTarget || concernsNode)
            events.push_back(event);
    }
    std::ranges::stable_sort(events, byTime);
    return events;
}

} // namespace Gypsumtally
