#include "entry/callparser.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

constexpr std::string_view servicePrefix = "/v1/services/";
constexpr std::size_t maxKeyLength = 128;
constexpr std::size_t bytesPerToken = 4;
constexpr std::uint32_t defaultMaxTokens = 256;
constexpr std::uint32_t maxOutputTokens = 1 << 20;

Failure badRequest(std::string message)
{
    return {Verdict::NotRun, ErrorCode::BadRequest, std::move(message), std::nullopt};
}

std::uint64_t fingerprintOf(std::string_view target, std::string_view body)
{
    return XXH3_64bits_withSeed(body.data(), body.size(), XXH3_64bits(target.data(), target.size()));
}

template<typename Number>
std::optional<Number> toNumber(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

/// Reads the header fields common to all calls into @p call. Returns a failure if one of them is invalid.
std::optional<Failure> readHeaders(const Http::Headers &headers, Instant now, ParsedCall &call)
{
    auto &attributes = call.attributes;
    attributes.arrival = now;
    if (const auto name = headers.get(HeaderName::serviceClass); !name.empty()) {
        const auto serviceClass = valueOf<ServiceClass>(name);
        if (!serviceClass)
            return badRequest("Gypsumtally-Class must be urgent, standard or bulk");
        attributes.serviceClass = *serviceClass;
    }
    if (const auto text = headers.get(HeaderName::deadline); !text.empty()) {
        const auto milliseconds = toNumber<std::int64_t>(text);
        if (!milliseconds)
            return badRequest("Gypsumtally-Deadline-Ms must be a whole number of milliseconds");
        if (*milliseconds <= 0)
            return Failure{Verdict::NotRun, ErrorCode::DeadlineExceeded, "the deadline has passed", std::nullopt};
        attributes.deadline = now + std::chrono::milliseconds{std::min<std::int64_t>(*milliseconds, 86'400'000)};
    }
    if (const auto text = headers.get(HeaderName::idempotent); !text.empty()) {
        if (text != "true" && text != "false")
            return badRequest("Gypsumtally-Idempotent must be true or false");
        attributes.idempotent = text == "true";
        call.idempotenceGiven = true;
    }
    const auto key = headers.get(HeaderName::idempotencyKey);
    if (key.size() > maxKeyLength || !isPrintable(key))
        return badRequest("Idempotency-Key must be at most 128 printable characters without spaces");
    attributes.idempotencyKey = std::string(key);
    const auto customer = headers.get(HeaderName::customer);
    attributes.customer = {customer.empty() ? "default" : std::string(customer)};
    attributes.callerRegion = {std::string(headers.get(HeaderName::region))};
    call.contentType = std::string(headers.get("Content-Type"));
    call.upstream = {std::string(headers.get(HeaderName::upstream))};
    call.resumeFrom = toNumber<std::uint32_t>(headers.get(HeaderName::resumeFrom)).value_or(0);
    call.crashRank = toNumber<std::uint32_t>(headers.get(HeaderName::crashRank)).value_or(0);
    return std::nullopt;
}

std::optional<Failure> readModelBody(const Http::Request &request, ParsedCall &call)
{
    boost::system::error_code error;
    auto value = json::parse(request.body, error);
    if (error)
        return badRequest("the body is not JSON: " + error.message());
    auto *object = value.if_object();
    if (!object)
        return badRequest("the body must be a JSON object");
    const auto *model = object->if_contains("model");
    const auto *name = model ? model->if_string() : nullptr;
    if (!name)
        return badRequest("model: a string BASE/ADAPTER@VERSION is needed");
    call.attributes.model = parseModelName(*name);
    if (!call.attributes.model)
        return badRequest("model: '" + std::string(*name) + "' is not BASE/ADAPTER@VERSION");
    if (const auto *stream = object->if_contains("stream")) {
        if (!stream->is_bool())
            return badRequest("stream: true or false is needed");
        call.streamed = stream->as_bool();
    }
    call.attributes.maxTokens = defaultMaxTokens;
    if (const auto *maxTokens = object->if_contains("max_tokens")) {
        const auto *count = maxTokens->if_int64();
        if (!count || *count < 1 || *count > maxOutputTokens)
            return badRequest("max_tokens: a whole number from 1 to 1048576 is needed");
        call.attributes.maxTokens = static_cast<std::uint32_t>(*count);
    }
    const auto *input = object->if_contains(request.path() == "/v1/completions" ? "prompt" : "messages");
    if (!input || !(input->is_string() || input->is_array()))
        return badRequest(request.path() == "/v1/completions" ? "prompt: a string is needed"
                                                              : "messages: a list is needed");
    for (const auto *systemField : {"request_id", "priority", "resume_from"})
        object->erase(systemField);
    call.body = json::serialize(*object);
    return std::nullopt;
}

} // namespace

std::variant<ParsedCall, Failure> parseModelCall(const Http::Request &request, Instant now)
{
    ParsedCall call;
    if (request.method != "POST")
        return badRequest("use POST");
    if (auto failure = readHeaders(request.headers, now, call))
        return std::move(*failure);
    if (auto failure = readModelBody(request, call))
        return std::move(*failure);
    call.method = request.method;
    call.path = std::string(request.path());
    call.contentType = "application/json";
    call.attributes.promptTokens = static_cast<std::uint32_t>(request.body.size() / bytesPerToken);
    call.attributes.fingerprint = fingerprintOf(call.path, call.body);
    return call;
}

std::variant<ParsedCall, Failure> parseServiceCall(const Http::Request &request, Instant now)
{
    ParsedCall call;
    if (auto failure = readHeaders(request.headers, now, call))
        return std::move(*failure);
    const std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    const auto slash = rest.find('/');
    call.attributes.service = std::string(rest.substr(0, slash));
    if (call.attributes.service.empty())
        return Failure{Verdict::NotRun, ErrorCode::UnknownService, "no service is named", std::nullopt};
    call.method = request.method;
    call.path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    call.body = request.body;
    call.attributes.fingerprint = fingerprintOf(request.method + ' ' + request.target, request.body);
    return call;
}

std::string engineBody(const ParsedCall &call, const std::string &requestId, std::uint32_t resumeFrom)
{
    const auto priority = static_cast<int>(call.attributes.serviceClass);
    std::string body = R"({"request_id":")" + requestId + R"(","priority":)" + std::to_string(priority);
    if (resumeFrom > 0)
        body += R"(,"resume_from":)" + std::to_string(resumeFrom);
    return body + ',' + call.body.substr(1);
}

} // namespace Gypsumtally
