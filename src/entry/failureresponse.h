#pragma once

#include "common/verdict.h"
#include "http/message.h"

#include <optional>
#include <string>

namespace Gypsumtally
{

/// Returns the HTTP status for @p code. Thread-safe.
unsigned httpStatus(ErrorCode code);

/// Returns the JSON object `{"error":{...}}` that describes @p failure. Thread-safe.
std::string failureBody(const Failure &failure);

/// Returns the complete HTTP response that reports @p failure to a caller. Thread-safe.
Http::Response failureResponse(const Failure &failure);

/// Parses the body of a peer's response that failureResponse() created; returns nothing if it is not one. Thread-safe.
std::optional<Failure> parseFailure(std::string_view body);

} // namespace Gypsumtally
