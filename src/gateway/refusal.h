#pragma once

#include "common/clock.h"
#include "common/verdict.h"
#include "http/message.h"

#include <optional>

namespace Gypsumtally::Gateway
{

/// Returns the status of the refusal of a call that was not run, for the reason @p code. Thread-safe.
unsigned refusalStatusOf(ErrorCode code);

/// Returns the reason for which a peer has refused a call with @p status. Thread-safe.
ErrorCode refusalCodeOf(unsigned status);

/// Returns the headers of a refusal, with a Retry-After if @p retryAfter is given. Thread-safe.
Http::Headers refusalHeaders(std::optional<Duration> retryAfter);

/// Returns the Retry-After in the headers of a peer's refusal; nothing if there is none that a peer states.
/// Thread-safe.
std::optional<Duration> retryAfterOf(const Http::Headers &headers);

} // namespace Gypsumtally::Gateway
