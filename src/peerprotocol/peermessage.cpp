#include "peerprotocol/peermessage.h"

#include <boost/json.hpp>

#include <array>
#include <string_view>
#include <utility>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

/// Names of the messages in a batch, in the order of the alternatives of PeerMessage.
constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> kinds{
    "hint", "release_ask", "release_answer", "load_ask", "load_done", "load_grant", "place_ask", "place_answer"};

template<std::size_t Index = 0>
std::optional<PeerMessage> readMessage(std::string_view kind, const json::value &fields)
{
    if constexpr (Index < kinds.size()) {
        if (kind == kinds[Index])
            return fromJson<std::variant_alternative_t<Index, PeerMessage>>(fields);
        return readMessage<Index + 1>(kind, fields);
    } else {
        return std::nullopt;
    }
}

std::optional<PeerMessage> readMessage(const json::value &fields)
{
    const auto *object = fields.if_object();
    const auto *kind = object ? object->if_contains("kind") : nullptr;
    if (!kind || !kind->is_string())
        return std::nullopt;
    try {
        return readMessage(kind->get_string(), fields);
    } catch (const JsonShapeError &) {
        return std::nullopt;
    }
}

PeerState readState(const json::value &fields)
{
    try {
        return fromJson<PeerState>(fields);
    } catch (const JsonShapeError &) {
        return {};
    }
}

} // namespace

std::string encodeBatch(const PeerBatch &batch)
{
    json::array messages;
    for (const auto &message : batch.messages) {
        auto fields = std::visit([](const auto &each) { return toJson(each); }, message);
        fields.get_object()["kind"] = kinds[message.index()];
        messages.push_back(std::move(fields));
    }
    return json::serialize(json::object{{"from", batch.from.value},
                                        {"incarnation", batch.incarnation.value},
                                        {"state", toJson(batch.state)},
                                        {"messages", std::move(messages)}});
}

std::optional<PeerBatch> decodeBatch(const json::value &value)
{
    const auto *object = value.if_object();
    const auto *messages = object ? object->if_contains("messages") : nullptr;
    const auto *from = object ? object->if_contains("from") : nullptr;
    const auto *incarnation = object ? object->if_contains("incarnation") : nullptr;
    const bool isBatch
        = messages && messages->is_array() && from && from->is_string() && incarnation && incarnation->is_string();
    if (!isBatch)
        return std::nullopt;
    PeerBatch batch{{std::string(from->get_string())}, {std::string(incarnation->get_string())}, {}, {}};
    if (const auto *state = object->if_contains("state"))
        batch.state = readState(*state);
    for (const auto &fields : messages->get_array()) {
        if (auto message = readMessage(fields))
            batch.messages.push_back(std::move(*message));
    }
    return batch;
}

} // namespace Gypsumtally
