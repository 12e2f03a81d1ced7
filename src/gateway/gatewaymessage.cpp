#include "gateway/gatewaymessage.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

namespace
{

json::object addressToJson(const NodeAddress &address)
{
    return {{"node", address.node},
            {"domain", address.failureDomain},
            {"region", address.region},
            {"callers", Http::toString(address.callers)},
            {"peers", Http::toString(address.peers)},
            {"started", address.startedAt}};
}

NodeAddress addressFrom(const json::object &object)
{
    NodeAddress address{textAt(object, "node"),
                        textAt(object, "domain"),
                        textAt(object, "region"),
                        Http::parseEndpoint(textAt(object, "callers")),
                        Http::parseEndpoint(textAt(object, "peers")),
                        numberAt<std::int64_t>(object, "started")};
    return address;
}

bool isWhole(const NodeAddress &address)
{
    return !address.node.empty() && address.callers.port != 0 && address.peers.port != 0;
}

json::array demandsToJson(const std::vector<TargetDemand> &demands)
{
    json::array array;
    for (const auto &demand : demands) {
        json::array row{demand.service, demand.target, demand.requests};
        for (const auto &instance : demand.unfit)
            row.push_back(json::string(instance));
        array.push_back(std::move(row));
    }
    return array;
}

const json::array *arrayAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_array() : nullptr;
}

std::string textIn(const json::array &row, std::size_t index)
{
    return index < row.size() && row[index].is_string() ? std::string(row[index].get_string()) : std::string{};
}

template<typename Number>
Number numberIn(const json::array &row, std::size_t index)
{
    if (index >= row.size())
        return {};
    boost::system::error_code error;
    const auto number = row[index].to_number<Number>(error);
    return error ? Number{} : number;
}

/// Calls @p take with each row of the array called @p name.
template<typename Take>
void eachRow(const json::object &object, std::string_view name, Take &&take)
{
    const auto *array = arrayAt(object, name);
    if (!array)
        return;
    for (const auto &value : *array) {
        if (const auto *row = value.if_array())
            take(*row);
    }
}

json::array noticesToJson(const std::vector<PlacementNotice> &notices)
{
    json::array array;
    for (const auto &each : notices)
        array.push_back({each.instance, each.target, each.version, each.dropped, each.usableIn.count()});
    return array;
}

std::vector<PlacementNotice> noticesFrom(const json::object &object, std::string_view name)
{
    std::vector<PlacementNotice> notices;
    eachRow(object, name, [&](const json::array &row) {
        notices.push_back({textIn(row, 0), textIn(row, 1), numberIn<std::uint64_t>(row, 2),
                           row.size() > 3 && row[3].is_bool() && row[3].get_bool(),
                           Duration{numberIn<std::int64_t>(row, 4)}});
    });
    return notices;
}

std::vector<TargetDemand> demandsFrom(const json::object &object, std::string_view name)
{
    std::vector<TargetDemand> demands;
    eachRow(object, name, [&](const json::array &row) {
        TargetDemand demand{textIn(row, 0), textIn(row, 1), numberIn<double>(row, 2), {}};
        for (std::size_t i = 3; i < row.size(); ++i)
            demand.unfit.push_back(textIn(row, i));
        demands.push_back(std::move(demand));
    });
    return demands;
}

} // namespace

std::string encode(const NodeAddress &address)
{
    return json::serialize(addressToJson(address));
}

std::optional<NodeAddress> decodeNodeAddress(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    auto address = addressFrom(value.get_object());
    return isWhole(address) ? std::optional(std::move(address)) : std::nullopt;
}

std::string encode(const GatewayMessage &message)
{
    json::object object{{"open", message.takesCallers}};
    if (message.from.callers.port != 0)
        object["from"] = addressToJson(message.from);
    else
        object["from"] = json::object{{"node", message.from.node}, {"started", message.from.startedAt}};
    if (!message.ordering.empty())
        object["ordering"] = json::value_from(message.ordering);
    if (message.hasLoads) {
        json::array loads;
        for (const auto &[instance, load] : message.loads)
            loads.push_back({instance, load.inFlight, static_cast<std::int64_t>(load.prefillTokens)});
        object["loads"] = std::move(loads);
    }
    if (!message.prompts.empty()) {
        json::array prompts;
        for (const auto &prompt : message.prompts)
            prompts.push_back({prompt.instance, static_cast<std::int64_t>(prompt.tokens)});
        object["prompts"] = std::move(prompts);
    }
    if (!message.used.empty())
        object["used"] = demandsToJson(message.used);
    if (message.shard != 0)
        object["shard"] = message.shard;
    if (!message.wanted.empty())
        object["wanted"] = demandsToJson(message.wanted);
    if (!message.crashes.empty()) {
        json::array crashes;
        for (const auto &crash : message.crashes)
            crashes.push_back({crash.fingerprint, crash.instance});
        object["crashes"] = std::move(crashes);
    }
    if (!message.placements.empty())
        object["placements"] = noticesToJson(message.placements);
    if (!message.missing.empty())
        object["missing"] = noticesToJson(message.missing);
    return json::serialize(object);
}

std::optional<GatewayMessage> decodeGatewayMessage(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    const auto &object = value.get_object();
    const auto *from = object.if_contains("from");
    if (!from || !from->is_object())
        return std::nullopt;
    GatewayMessage message;
    message.from = addressFrom(from->get_object());
    if (message.from.node.empty())
        return std::nullopt;
    message.takesCallers = flagAt(object, "open");
    if (const auto *ordering = arrayAt(object, "ordering")) {
        for (const auto &shard : *ordering) {
            if (shard.is_int64())
                message.ordering.push_back(static_cast<unsigned>(shard.get_int64()));
        }
    }
    message.hasLoads = arrayAt(object, "loads") != nullptr;
    eachRow(object, "loads", [&](const json::array &row) {
        message.loads[textIn(row, 0)] = {numberIn<unsigned>(row, 1), numberIn<double>(row, 2)};
    });
    eachRow(object, "prompts", [&](const json::array &row) {
        message.prompts.push_back({textIn(row, 0), numberIn<double>(row, 1)});
    });
    message.used = demandsFrom(object, "used");
    message.shard = numberAt<unsigned>(object, "shard");
    message.wanted = demandsFrom(object, "wanted");
    eachRow(object, "crashes", [&](const json::array &row) {
        message.crashes.push_back({numberIn<std::uint64_t>(row, 0), textIn(row, 1)});
    });
    message.placements = noticesFrom(object, "placements");
    message.missing = noticesFrom(object, "missing");
    return message;
}

} // namespace Gypsumtally::Gateway
