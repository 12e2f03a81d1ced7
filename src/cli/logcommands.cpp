#include "cli/command.h"
#include "cli/commands.h"
#include "cli/lossreport.h"
#include "cli/requesttimeline.h"
#include "cli/texttable.h"

#include <boost/json.hpp>

#include <fstream>
#include <ostream>

namespace Gypsumtally::Commands
{

namespace
{

boost::json::object toJson(const LoggedEvent &event)
{
    boost::json::object object{{"time_ms", event.timeMs}, {"node", event.node}, {"event", event.event}};
    if (!event.request.empty())
        object["request"] = event.request;
    for (const auto &[name, value] : event.fields)
        object[name] = value;
    return object;
}

void writeText(std::ostream &out, const LoggedEvent &event, std::int64_t firstMs)
{
    const auto after = event.timeMs - firstMs;
    out << (after < 0 ? "" : "+") << after << " ms  " << event.node << "  " << event.event;
    for (const auto &[name, value] : event.fields) {
        if (!value.empty())
            out << "  " << name << '=' << value;
    }
    out << '\n';
}

constexpr std::int64_t lossIntervalMs = 2000;

/// Reads the log files that @p arguments name, starting at index @p first.
template<typename Reader>
Result<void> readLogs(Reader &reader, const Arguments &arguments, std::size_t first)
{
    for (std::size_t i = first; i < arguments.size(); ++i) {
        std::ifstream log(arguments[i]);
        if (!log)
            return boost::leaf::new_error(CommandError{ExitCode::Usage, arguments[i] + ": cannot be read"});
        reader.read(log);
    }
    return {};
}

boost::json::object toJson(const LossRow &row)
{
    return {{"from_ms", row.fromMs},
            {"route", row.route},
            {"kind", nameOf(row.kind)},
            {"cause", row.cause},
            {"requests", row.requests}};
}

} // namespace

Result<ExitCode> explainRequest(const CommandContext &context, const Arguments &arguments)
{
    RequestTimeline timeline(arguments[0]);
    BOOST_LEAF_CHECK(readLogs(timeline, arguments, 1));
    const auto events = timeline.events();
    if (events.empty())
        return boost::leaf::new_error(CommandError{
            ExitCode::Failed,
            "these logs contain no line about request " + arguments[0]
                + "; successes are logged only at level debug, and each kind of line at most 20 times per second"});
    std::int64_t firstMs = 0;
    for (const auto &event : events) {
        if (event.request == arguments[0]) {
            firstMs = event.timeMs;
            break;
        }
    }
    for (const auto &event : events) {
        if (context.isJson())
            context.writeJson(toJson(event));
        else
            writeText(context.out(), event, firstMs);
    }
    return ExitCode::Success;
}

Result<ExitCode> reportLoss(const CommandContext &context, const Arguments &arguments)
{
    LossReport report(lossIntervalMs);
    BOOST_LEAF_CHECK(readLogs(report, arguments, 0));
    const auto rows = report.rows();
    TextTable table({"from, s", "route", "kind", "cause", "requests"});
    for (const auto &row : rows) {
        if (context.isJson())
            context.writeJson(toJson(row));
        else
            table.add({std::to_string((row.fromMs - rows.front().fromMs) / 1000), row.route,
                       std::string(nameOf(row.kind)), row.cause, std::to_string(row.requests)});
    }
    if (!context.isJson())
        table.write(context.out());
    return ExitCode::Success;
}

} // namespace Gypsumtally::Commands
