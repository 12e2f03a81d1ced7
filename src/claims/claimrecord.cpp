#include "claims/claimrecord.h"

#include <boost/json.hpp>

#include <charconv>

namespace Gypsumtally
{
namespace
{

namespace json = boost::json;

constexpr int hexadecimal = 16;

bool isPlain(unsigned char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

std::string escape(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const unsigned char c : text) {
        if (isPlain(c)) {
            result += static_cast<char>(c);
            continue;
        }
        result += '%';
        result += digits[c / hexadecimal];
        result += digits[c % hexadecimal];
    }
    return result;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<std::string> stringAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (!value || !value->is_string())
        return std::nullopt;
    return std::string{value->get_string()};
}

std::optional<StoredAnswer> decodeAnswer(const json::object &header, std::string_view body)
{
    const auto *status = header.if_contains("status");
    const auto contentType = stringAt(header, "content_type");
    if (!status || !status->is_int64() || !contentType)
        return std::nullopt;
    return StoredAnswer{static_cast<int>(status->get_int64()), *contentType, std::string{body}};
}

std::optional<ClaimRecord> decodeHeader(const json::object &header)
{
    const auto incarnation = stringAt(header, "incarnation");
    const auto call = parseNumber(stringAt(header, "call").value_or(""));
    const auto fingerprint = parseNumber(stringAt(header, "fingerprint").value_or(""));
    const auto state = valueOf<ClaimState>(stringAt(header, "state").value_or(""));
    if (!incarnation || !call || !fingerprint || !state)
        return std::nullopt;
    return ClaimRecord{{Incarnation{*incarnation}, *call}, *fingerprint, *state, std::nullopt};
}

} // namespace

std::string encodeClaim(const ClaimRecord &record)
{
    json::object header{
        {"incarnation", record.token.incarnation.value},
        {"call", std::to_string(record.token.call)},
        {"fingerprint", std::to_string(record.fingerprint)},
        {"state", nameOf(record.state)},
    };
    if (!record.answer)
        return json::serialize(header) + "\n";
    header["status"] = record.answer->status;
    header["content_type"] = record.answer->contentType;
    return json::serialize(header) + "\n" + record.answer->body;
}

std::optional<ClaimRecord> decodeClaim(std::string_view text)
{
    const auto lineEnd = text.find('\n');
    if (lineEnd == std::string_view::npos)
        return std::nullopt;
    json::error_code error;
    const auto value = json::parse(json::string_view{text.data(), lineEnd}, error);
    if (error || !value.is_object())
        return std::nullopt;
    auto record = decodeHeader(value.get_object());
    if (record && record->state == ClaimState::Ran)
        record->answer = decodeAnswer(value.get_object(), text.substr(lineEnd + 1));
    return record;
}

std::string claimName(const CallAttributes &call)
{
    const std::string service = call.service.empty() ? "models" : "services/" + escape(call.service);
    return escape(call.customer.value) + "/" + service + "/" + escape(call.idempotencyKey);
}

} // namespace Gypsumtally
