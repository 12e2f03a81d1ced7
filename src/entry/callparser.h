#pragma once

#include "common/call.h"
#include "common/verdict.h"
#include "http/message.h"

#include <string>
#include <variant>

namespace Gypsumtally
{

/// Names of the header fields that callers and peers send.
namespace HeaderName
{
inline constexpr char verdict[] = "Gypsumtally-Verdict";
inline constexpr char serviceClass[] = "Gypsumtally-Class";
inline constexpr char deadline[] = "Gypsumtally-Deadline-Ms";
inline constexpr char customer[] = "Gypsumtally-Customer";
inline constexpr char idempotent[] = "Gypsumtally-Idempotent";
inline constexpr char idempotencyKey[] = "Idempotency-Key";
inline constexpr char region[] = "Gypsumtally-Region";
inline constexpr char upstream[] = "Gypsumtally-Upstream"; ///< From a peer: the upstream that runs the call.
inline constexpr char crashRank[] = "Gypsumtally-Crash-Rank"; ///< From a peer: see Quarantine::rankOf().
inline constexpr char resumeFrom[] = "Gypsumtally-Resume-From"; ///< From a peer: the first token to return.
} // namespace HeaderName

/// A validated request of a caller.
struct ParsedCall {
    CallAttributes attributes;
    bool streamed = false;
    bool idempotenceGiven = false; ///< True if the caller stated whether the call is idempotent.
    std::string method;
    std::string path; ///< For a model: the OpenAI path. For a plain service: the target after the service's name.
    std::string contentType;
    std::string body; ///< For a model: without the fields that only the system sets.
    UpstreamId upstream; ///< Set by a peer.
    std::uint32_t resumeFrom = 0; ///< Set by a peer.
    std::uint32_t crashRank = 0; ///< Set by a peer.
};

/// Parses and validates a model request that arrived at @p now. Thread-safe.
std::variant<ParsedCall, Failure> parseModelCall(const Http::Request &request, Instant now);

/// Parses and validates a call of a plain service, `/v1/services/NAME/...`, that arrived at @p now. Thread-safe.
std::variant<ParsedCall, Failure> parseServiceCall(const Http::Request &request, Instant now);

/// Returns the body to send to an engine: that of @p call with the request's id, its priority and the first token to
/// return. Precondition: @p call was returned by parseModelCall(). Thread-safe.
std::string engineBody(const ParsedCall &call, const std::string &requestId, std::uint32_t resumeFrom);

} // namespace Gypsumtally
