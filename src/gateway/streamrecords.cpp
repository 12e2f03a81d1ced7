#include "gateway/streamrecords.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

std::string encode(const std::vector<StreamOrigin> &streams)
{
    json::object services;
    for (const auto &stream : streams) {
        auto &versions = services[stream.service];
        if (!versions.is_object())
            versions = json::object{};
        auto &ids = versions.get_object()[stream.version];
        if (!ids.is_array())
            ids = json::array{};
        ids.get_array().push_back(stream.id);
    }
    return json::serialize(services);
}

std::vector<StreamOrigin> decodeStreamOrigins(std::string_view text)
{
    std::vector<StreamOrigin> streams;
    const auto services = parseObject(text);
    if (!services)
        return streams;
    for (const auto &[service, versions] : *services) {
        if (!versions.is_object())
            continue;
        for (const auto &[version, ids] : versions.get_object()) {
            if (!ids.is_array())
                continue;
            for (const auto &id : ids.get_array()) {
                boost::system::error_code error;
                const auto number = id.to_number<StreamId>(error);
                if (!error)
                    streams.push_back({number, std::string(service), std::string(version)});
            }
        }
    }
    return streams;
}

std::string encode(const SoftwareHistory &history)
{
    json::array serving;
    for (const auto &version : history.serving)
        serving.push_back(json::string(version));
    json::object left;
    for (const auto &[version, at] : history.left)
        left[version] = at;
    json::object since;
    for (const auto &[version, at] : history.since)
        since[version] = at;
    return json::serialize(
        json::object{{"serving", std::move(serving)}, {"left_ms", std::move(left)}, {"since_ms", std::move(since)}});
}

std::optional<SoftwareHistory> decodeSoftwareHistory(std::string_view text)
{
    const auto object = parseObject(text);
    if (!object || !arrayAt(*object, "serving"))
        return std::nullopt;
    SoftwareHistory history;
    for (auto &version : textsAt(*object, "serving"))
        history.serving.insert(std::move(version));
    if (const auto *left = objectAt(*object, "left_ms")) {
        for (const auto &[version, at] : *left)
            history.left.emplace(std::string(version), numberAt<std::int64_t>(*left, version));
    }
    if (const auto *since = objectAt(*object, "since_ms")) {
        for (const auto &[version, at] : *since)
            history.since.emplace(std::string(version), numberAt<std::int64_t>(*since, version));
    }
    return history;
}

} // namespace Gypsumtally::Gateway
