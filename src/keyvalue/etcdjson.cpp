#include "keyvalue/etcdjson.h"

#include "common/base64.h"
#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <charconv>

namespace Gypsumtally::EtcdJson
{

namespace json = boost::json;

namespace
{

/// Returns the number in field @p name, 0 if it is missing. The service encodes 64-bit numbers as strings, and some
/// gateways omit zeros.
std::int64_t int64At(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value)
        return 0;
    if (const auto *number = value->if_int64())
        return *number;
    const auto *text = value->if_string();
    std::int64_t number = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

KeyValue toKeyValue(const json::object &object)
{
    return {decodeBase64(textAt(object, "key")), decodeBase64(textAt(object, "value")),
            int64At(object, "mod_revision")};
}

void appendValues(const json::object &reply, std::vector<KeyValue> &values)
{
    eachObjectAt(reply, "kvs", [&](const json::object &entry) { values.push_back(toKeyValue(entry)); });
}

json::object compareObject(const KeyCompare &compare)
{
    return {{"key", encodeBase64(compare.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(compare.modRevision)}};
}

json::object putObject(const KeyPut &put, LeaseId lease)
{
    json::object object{{"key", encodeBase64(put.key)}, {"value", encodeBase64(put.value)}};
    if (put.lifetime == KeyLifetime::NodeLease)
        object["lease"] = std::to_string(lease);
    return {{"request_put", std::move(object)}};
}

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
        prefix.pop_back();
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

std::string rangeRequest(const KeyRead &read)
{
    return rangeRequest(read.key, read.isPrefix ? prefixEnd(read.key) : std::string{});
}

std::string rangeRequest(std::string_view first, std::string_view end)
{
    json::object request{{"key", encodeBase64(first)}};
    if (!end.empty())
        request["range_end"] = encodeBase64(end);
    return json::serialize(request);
}

std::string transactionRequest(const KeyTransaction &transaction, LeaseId lease)
{
    json::array compares;
    json::array reads;
    for (const auto &compare : transaction.compares) {
        compares.push_back(compareObject(compare));
        reads.push_back(json::object{{"request_range", json::object{{"key", encodeBase64(compare.key)}}}});
    }
    json::array writes;
    for (const auto &put : transaction.puts)
        writes.push_back(putObject(put, lease));
    for (const auto &key : transaction.deletes)
        writes.push_back(json::object{{"request_delete_range", json::object{{"key", encodeBase64(key)}}}});
    for (const auto &prefix : transaction.deletePrefixes) {
        json::object range{{"key", encodeBase64(prefix)}, {"range_end", encodeBase64(prefixEnd(prefix))}};
        writes.push_back(json::object{{"request_delete_range", std::move(range)}});
    }
    return json::serialize(
        json::object{{"compare", std::move(compares)}, {"success", std::move(writes)}, {"failure", std::move(reads)}});
}

std::string watchRequest(std::string_view first, std::string_view end, Revision from)
{
    return json::serialize(json::object{{"create_request", json::object{{"key", encodeBase64(first)},
                                                                        {"range_end", encodeBase64(end)},
                                                                        {"start_revision", std::to_string(from)}}}});
}

std::string grantRequest(std::int64_t ttlSeconds)
{
    return json::serialize(json::object{{"TTL", std::to_string(ttlSeconds)}});
}

std::string leaseRequest(LeaseId lease)
{
    return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

std::optional<KeyReply> parseReply(std::string_view body)
{
    const auto reply = parseObject(body);
    if (!reply)
        return std::nullopt;
    const auto *header = objectAt(*reply, "header");
    if (!header)
        return std::nullopt;
    KeyReply result;
    result.revision = int64At(*header, "revision");
    const auto *responses = arrayAt(*reply, "responses");
    const bool isTransaction = responses || reply->contains("succeeded");
    result.outcome = !isTransaction || flagAt(*reply, "succeeded") ? KeyOutcome::Applied : KeyOutcome::Conflict;
    appendValues(*reply, result.values);
    if (responses) {
        for (const auto &response : *responses) {
            const auto *range = response.is_object() ? objectAt(response.as_object(), "response_range") : nullptr;
            if (range)
                appendValues(*range, result.values);
        }
    }
    return result;
}

std::optional<WatchMessage> parseWatchMessage(std::string_view line)
{
    const auto outer = parseObject(line);
    const auto *result = outer ? objectAt(*outer, "result") : nullptr;
    if (!result)
        return std::nullopt;
    WatchMessage message;
    if (const auto *header = objectAt(*result, "header"))
        message.revision = int64At(*header, "revision");
    message.created = flagAt(*result, "created");
    message.cancelled = flagAt(*result, "canceled");
    if (const auto *events = arrayAt(*result, "events")) {
        for (const auto &event : *events) {
            const auto *object = event.if_object();
            const auto *entry = object ? objectAt(*object, "kv") : nullptr;
            if (entry)
                message.changes.push_back({toKeyValue(*entry), textAt(*object, "type") == "DELETE"});
        }
    }
    return message;
}

std::optional<LeaseId> parseGrant(std::string_view body)
{
    const auto reply = parseObject(body);
    const auto lease = reply ? int64At(*reply, "ID") : 0;
    if (lease == 0)
        return std::nullopt;
    return lease;
}

std::optional<std::int64_t> parseKeepAlive(std::string_view body)
{
    const auto reply = parseObject(body);
    const auto *result = reply ? objectAt(*reply, "result") : nullptr;
    if (!result)
        return std::nullopt;
    return int64At(*result, "TTL");
}

} // namespace Gypsumtally::EtcdJson
