#include "cli/logline.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally
{

namespace
{

std::string textOf(const boost::json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : boost::json::serialize(value);
}

} // namespace

std::optional<LoggedEvent> readLogLine(const std::string &line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    const auto object = parseObject(std::string_view(line).substr(begin));
    if (!object)
        return std::nullopt;
    LoggedEvent event;
    for (const auto &[name, field] : *object) {
        if (name == "time_ms")
            event.timeMs = numberAt<std::int64_t>(*object, "time_ms");
        else if (name == "node")
            event.node = textOf(field);
        else if (name == "event")
            event.event = textOf(field);
        else if (name == "request")
            event.request = textOf(field);
        else if (name != "level")
            event.fields.emplace_back(std::string(name), textOf(field));
    }
    return event.event.empty() ? std::nullopt : std::optional(std::move(event));
}

std::string fieldOf(const LoggedEvent &event, std::string_view name)
{
    for (const auto &[field, value] : event.fields) {
        if (field == name)
            return value;
    }
    return {};
}

} // namespace Gypsumtally
