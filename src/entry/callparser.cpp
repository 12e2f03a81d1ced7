#include "entry/callparser.h"

#include "entry/modelbody.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace Gypsumtally
{

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

/// Reads the body of a model request into @p call. Returns a failure if it is invalid.
std::optional<Failure> readModelCall(const Http::Request &request, ParsedCall &call)
{
    auto result = readModelBody(request.body);
    if (const auto *problem = std::get_if<std::string>(&result))
        return badRequest(*problem);
    auto &body = std::get<ModelBody>(result);
    if (body.model.kind != JsonKind::String)
        return badRequest("model: a string BASE/ADAPTER@VERSION is needed");
    call.attributes.model = parseModelName(body.model.text);
    if (!call.attributes.model)
        return badRequest("model: '" + body.model.text + "' is not BASE/ADAPTER@VERSION");
    if (body.stream.kind != JsonKind::Absent && body.stream.kind != JsonKind::Bool)
        return badRequest("stream: true or false is needed");
    call.streamed = body.stream.boolean;
    call.attributes.maxTokens = defaultMaxTokens;
    if (body.maxTokens.kind != JsonKind::Absent) {
        const auto count = body.maxTokens.integer;
        if (body.maxTokens.kind != JsonKind::Integer || count < 1 || count > maxOutputTokens)
            return badRequest("max_tokens: a whole number from 1 to 1048576 is needed");
        call.attributes.maxTokens = static_cast<std::uint32_t>(count);
    }
    const bool isCompletion = request.path() == "/v1/completions";
    const auto input = (isCompletion ? body.prompt : body.messages).kind;
    if (input != JsonKind::String && input != JsonKind::Array)
        return badRequest(isCompletion ? "prompt: a string is needed" : "messages: a list is needed");
    call.body = std::move(body.text);
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
    if (auto failure = readModelCall(request, call))
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
