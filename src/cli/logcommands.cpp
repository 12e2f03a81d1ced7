#include "cli/command.h"
#include "cli/commands.h"
#include "cli/requeststory.h"

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

} // namespace

Result<ExitCode> explainRequest(const CommandContext &context, const Arguments &arguments)
{
    RequestStory story(arguments[0]);
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        std::ifstream log(arguments[i]);
        if (!log)
            return boost::leaf::new_error(CommandError{ExitCode::Usage, arguments[i] + ": cannot be read"});
        story.read(log);
    }
    const auto events = story.events();
    if (events.empty())
        return boost::leaf::new_error(
            CommandError{ExitCode::Failed,
                         "no line of these logs is about request " + arguments[0]
                             + "; successes are logged at level debug only, and each kind of line 20 times a second"});
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

} // namespace Gypsumtally::Commands
