#include "configuration/configurationrecord.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

json::object toJson(const ConfigurationChange &change)
{
    return {{"version", change.version},
            {"id", change.id},
            {"author", change.author},
            {"reason", change.reason},
            {"submitted_at_ms", change.submittedAtMs}};
}

ConfigurationChange changeFrom(const json::value &value)
{
    return {value.at("version").to_number<ConfigurationVersion>(), json::value_to<std::string>(value.at("id")),
            json::value_to<std::string>(value.at("author")), json::value_to<std::string>(value.at("reason")),
            value.at("submitted_at_ms").to_number<std::int64_t>()};
}

} // namespace

const ConfigurationChange *ConfigurationRecord::find(std::string_view id) const
{
    const auto found = std::ranges::find(history, id, &ConfigurationChange::id);
    return found == history.end() ? nullptr : &*found;
}

std::string ConfigurationRecord::encode() const
{
    json::array changes;
    for (const auto &change : history)
        changes.push_back(toJson(change));
    return json::serialize(json::object{{"version", version}, {"text", text}, {"history", std::move(changes)}});
}

std::optional<ConfigurationRecord> ConfigurationRecord::decode(const std::string &encoded)
{
    try {
        const auto value = json::parse(encoded);
        ConfigurationRecord record;
        record.version = value.at("version").to_number<ConfigurationVersion>();
        record.text = json::value_to<std::string>(value.at("text"));
        for (const auto &change : value.at("history").as_array())
            record.history.push_back(changeFrom(change));
        if (record.version == 0 || record.history.empty() || record.history.front().version != record.version)
            return std::nullopt;
        return record;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Gypsumtally
