#include "cli/lossreport.h"

#include <algorithm>
#include <cstdlib>

namespace Gypsumtally
{

namespace
{

constexpr std::string_view waitPrefix = "waited_";
constexpr std::string_view waitSuffix = "_ms";
/// Waits that add up to less than this share of the time to the first event do not explain a late answer.
constexpr double minWaitShare = 0.5;

std::int64_t numberOf(const LoggedEvent &event, std::string_view name)
{
    return std::strtoll(fieldOf(event, name).c_str(), nullptr, 10);
}

std::string_view causeOfWait(std::string_view field)
{
    if (!field.starts_with(waitPrefix) || !field.ends_with(waitSuffix))
        return {};
    return field.substr(waitPrefix.size(), field.size() - waitPrefix.size() - waitSuffix.size());
}

std::string causeOfLateAnswer(const LoggedEvent &event)
{
    const auto firstEvent = numberOf(event, "first_event_ms");
    if (firstEvent <= numberOf(event, "objective_ms"))
        return "pause";
    std::int64_t waited = 0;
    std::int64_t longest = 0;
    std::string cause;
    for (const auto &[name, value] : event.fields) {
        const auto waitCause = causeOfWait(name);
        const auto time = waitCause.empty() ? 0 : numberOf(event, name);
        waited += time;
        if (time > longest) {
            longest = time;
            cause = waitCause;
        }
    }
    return static_cast<double>(waited) < minWaitShare * static_cast<double>(firstEvent) ? "engine" : cause;
}

} // namespace

LossReport::LossReport(std::int64_t intervalMs)
    : m_intervalMs(intervalMs)
{
}

void LossReport::read(std::istream &log)
{
    for (std::string line; std::getline(log, line);) {
        const auto event = readLogLine(line);
        if (!event || !fieldOf(*event, "relayed_from").empty())
            continue; // A relayed call, which the node that the caller chose logs as well.
        if (event->event == "answered" && fieldOf(*event, "late") == "yes")
            count(*event, LossKind::Late, causeOfLateAnswer(*event));
        else if (event->event == "request_refused")
            count(*event, LossKind::Refused, fieldOf(*event, "reason"));
        else if (event->event == "answer_broken_off")
            count(*event, LossKind::Failed, fieldOf(*event, "reason"));
    }
}

void LossReport::count(const LoggedEvent &event, LossKind kind, const std::string &cause)
{
    const auto from = event.timeMs / m_intervalMs * m_intervalMs;
    ++m_counts[{from, fieldOf(event, "route"), kind, cause}];
    if (const auto omitted = numberOf(event, "left_out_before"); omitted > 0)
        m_counts[{from, "", kind, "not logged"}] += static_cast<std::uint64_t>(omitted);
}

std::vector<LossRow> LossReport::rows() const
{
    std::vector<LossRow> rows;
    rows.reserve(m_counts.size());
    for (const auto &[key, requests] : m_counts) {
        const auto &[from, route, kind, cause] = key;
        rows.push_back({from, route, kind, cause, requests});
    }
    return rows;
}

} // namespace Gypsumtally
