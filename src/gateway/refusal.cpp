#include "gateway/refusal.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr unsigned unauthorizedStatus = 401;
constexpr unsigned overloadedStatus = 429;
constexpr unsigned unavailableStatus = 503;
constexpr double maxRetryAfterSeconds = 3600; ///< A peer states no longer time.

} // namespace

unsigned refusalStatusOf(ErrorCode code)
{
    if (code == ErrorCode::Unauthorized)
        return unauthorizedStatus;
    return code == ErrorCode::Overloaded ? overloadedStatus : unavailableStatus;
}

ErrorCode refusalCodeOf(unsigned status)
{
    if (status == unauthorizedStatus)
        return ErrorCode::Unauthorized;
    return status == overloadedStatus ? ErrorCode::Overloaded : ErrorCode::NoUpstream;
}

Http::Headers refusalHeaders(std::optional<Duration> retryAfter)
{
    Http::Headers headers{{"Content-Type", "text/plain"}};
    if (retryAfter) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(*retryAfter).count());
        headers.add("Retry-After", text.data());
    }
    return headers;
}

std::optional<Duration> retryAfterOf(const Http::Headers &headers)
{
    const std::string text(headers.get("Retry-After"));
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(seconds >= 0 && seconds < maxRetryAfterSeconds))
        return std::nullopt;
    return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

} // namespace Gypsumtally::Gateway
