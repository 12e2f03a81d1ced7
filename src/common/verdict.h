#pragma once

#include "common/clock.h"
#include "common/enumtable.h"

#include <optional>
#include <string>

namespace Gypsumtally
{

/// The certainty with which a request ran at an upstream. Sent to the caller with every failure.
enum class Verdict {
    NotRun, ///< No byte of the request was sent, or the upstream refused it before starting.
    MayHaveRun, ///< The request was sent and its outcome is unknown, or it was interrupted after starting.
    Ran, ///< The request ran to completion.
};

template<>
inline constexpr EnumTable<Verdict, 3> enumNames<Verdict>{{
    {Verdict::NotRun, "not-run"},
    {Verdict::MayHaveRun, "may-have-run"},
    {Verdict::Ran, "ran"},
}};

/// Returns the verdict on a request after two attempts, which is the weaker guarantee that it did not run.
constexpr Verdict combine(Verdict first, Verdict second)
{
    return first > second ? first : second;
}

/// The reason why a request failed; the `code` of the JSON error that callers receive.
enum class ErrorCode {
    BadRequest,
    Unauthorized,
    UnknownAdapter,
    UnknownService,
    UnknownRoute,
    BodyTooLarge,
    MissingIdempotencyKey,
    KeyReused,
    DeadlineExceeded,
    Overloaded,
    QuotaExceeded,
    Quarantined,
    StreamUnknown,
    NoUpstream,
    NotOwner,
    UpstreamRefused,
    UpstreamFailed,
    UpstreamLost,
    AdapterLoadFailed,
    PlatformUnavailable,
    Stopping,
    Duplicate,
    Internal,
};

template<>
inline constexpr EnumTable<ErrorCode, 23> enumNames<ErrorCode>{{
    {ErrorCode::BadRequest, "bad_request"},
    {ErrorCode::Unauthorized, "unauthorized"},
    {ErrorCode::UnknownAdapter, "unknown_adapter"},
    {ErrorCode::UnknownService, "unknown_service"},
    {ErrorCode::UnknownRoute, "unknown_route"},
    {ErrorCode::BodyTooLarge, "body_too_large"},
    {ErrorCode::MissingIdempotencyKey, "missing_idempotency_key"},
    {ErrorCode::KeyReused, "key_reused"},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    {ErrorCode::Overloaded, "overloaded"},
    {ErrorCode::QuotaExceeded, "quota_exceeded"},
    {ErrorCode::Quarantined, "quarantined"},
    {ErrorCode::StreamUnknown, "stream_unknown"},
    {ErrorCode::NoUpstream, "no_upstream"},
    {ErrorCode::NotOwner, "not_owner"},
    {ErrorCode::UpstreamRefused, "upstream_refused"},
    {ErrorCode::UpstreamFailed, "upstream_failed"},
    {ErrorCode::UpstreamLost, "upstream_lost"},
    {ErrorCode::AdapterLoadFailed, "adapter_load_failed"},
    {ErrorCode::PlatformUnavailable, "platform_unavailable"},
    {ErrorCode::Stopping, "stopping"},
    {ErrorCode::Duplicate, "duplicate"},
    {ErrorCode::Internal, "internal"},
}};

/// The failure of a request as reported to the caller.
struct Failure {
    Verdict verdict = Verdict::NotRun;
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    std::optional<Duration> retryAfter; ///< Time after which a retry may succeed; sent as Retry-After.
};

} // namespace Gypsumtally
