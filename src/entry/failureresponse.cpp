#include "entry/failureresponse.h"

#include "common/jsonfields.h"
#include "entry/callparser.h"

#include <boost/json.hpp>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

using std::chrono::milliseconds;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::ceil<milliseconds>(duration).count();
}

} // namespace

unsigned httpStatus(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
    case ErrorCode::MissingIdempotencyKey:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::UnknownAdapter:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownRoute:
        return 404;
    case ErrorCode::Duplicate:
        return 409;
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::KeyReused:
    case ErrorCode::Quarantined:
        return 422;
    case ErrorCode::Overloaded:
    case ErrorCode::QuotaExceeded:
        return 429;
    case ErrorCode::Internal:
        return 500;
    case ErrorCode::UpstreamFailed:
    case ErrorCode::UpstreamLost:
    case ErrorCode::AdapterLoadFailed:
        return 502;
    case ErrorCode::NoUpstream:
    case ErrorCode::StreamUnknown:
    case ErrorCode::NotOwner:
    case ErrorCode::UpstreamRefused:
    case ErrorCode::PlatformUnavailable:
    case ErrorCode::Stopping:
        return 503;
    case ErrorCode::DeadlineExceeded:
        return 504;
    }
    return 500;
}

std::string failureBody(const Failure &failure)
{
    json::object error{
        {"code", nameOf(failure.code)}, {"message", failure.message}, {"verdict", nameOf(failure.verdict)}};
    if (failure.retryAfter)
        error["retry_after_ms"] = toMilliseconds(*failure.retryAfter);
    return json::serialize(json::object{{"error", std::move(error)}});
}

Http::Response failureResponse(const Failure &failure)
{
    Http::Response response{
        httpStatus(failure.code),
        {{"Content-Type", "application/json"}, {HeaderName::verdict, std::string(nameOf(failure.verdict))}},
        failureBody(failure)};
    if (failure.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*failure.retryAfter);
        response.headers.add("Retry-After", std::to_string(seconds.count()));
    }
    return response;
}

std::optional<Failure> parseFailure(std::string_view body)
{
    boost::system::error_code parseError;
    const auto value = json::parse(body, parseError);
    const auto *outer = parseError ? nullptr : value.if_object();
    const auto *inner = outer ? outer->if_contains("error") : nullptr;
    const auto *error = inner ? inner->if_object() : nullptr;
    if (!error)
        return std::nullopt;
    const auto verdict = valueOf<Verdict>(textAt(*error, "verdict"));
    const auto code = valueOf<ErrorCode>(textAt(*error, "code"));
    if (!verdict || !code)
        return std::nullopt;
    Failure failure{*verdict, *code, textAt(*error, "message"), std::nullopt};
    if (const auto *retryAfter = error->if_contains("retry_after_ms"); retryAfter && retryAfter->is_int64())
        failure.retryAfter = milliseconds{retryAfter->as_int64()};
    return failure;
}

} // namespace Gypsumtally
