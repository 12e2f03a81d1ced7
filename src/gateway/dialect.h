#pragma once

#include "access/organisation.h"
#include "common/clock.h"
#include "gateway/residency.h"
#include "gateway/upstreamstatement.h"
#include "http/message.h"
#include "http/responsereader.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally::Gateway
{

/// A caller's request, decoded.
struct CallerRequest {
    std::string id; ///< Identifies one send by the caller; upstreams echo it.
    std::string host;
    std::string path; ///< Without the query.
    ModelTarget target; ///< Empty if the request names no model.
    double promptTokens = 0;
    double outputTokens = 0; ///< Upper bound on the tokens of the answer.
    bool hasTokens = false; ///< The request states both numbers.
    std::string key; ///< Of the caller's organisation; empty if none is stated. Must not be logged.
    std::optional<Duration> timeout; ///< Time for which the caller waits.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has of an earlier answer.
    std::string resumedId; ///< Id of the send that brought the first event of that answer; empty if not stated.
    /// Ids of the parts of the prompt that other requests may share, in the prompt's order.
    std::vector<std::uint64_t> sharedParts;
};

/// The reason for which a request is invalid under any configuration.
struct BadRequest {
    std::string reason;
};

/// The instructions that the node adds to a request that it forwards.
struct SendInstructions {
    std::string instance; ///< The upstream process that is to answer; any other refuses the request.
    Duration timeLeft{}; ///< Time until the request's deadline.
    std::optional<std::uint64_t> version; ///< Adapter version; the engine refuses the request if it holds another.
    std::optional<unsigned> priority; ///< 0 is the most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that has been delivered.
    Access::Identity identity{}; ///< If it is checked, the upstream learns the organisation and not the key.
};

/// The head of an upstream's answer, decoded.
struct UpstreamReply {
    unsigned status = 0;
    std::string requestId; ///< Id of the request that is answered.
    bool isSigned = false; ///< The answer carries the upstream's signature as proof of its origin.
    bool notRun = false; ///< The upstream states that it has not run the request and will not.
    bool wrongInstance = false; ///< Another process has the address now, or the upstream does not hold the target.
    bool isEncoded = false; ///< The body has a content encoding, applied in transit.
    Http::Headers headers; ///< To be forwarded to the caller.
    UpstreamStatement statement;
};

/// Translates between a platform's wire format and the node's types. Implementations are stateless.
template<typename D>
concept CallDialect
    = requires(const Http::Request &request, const CallerRequest &decoded, const SendInstructions &instructions,
               const Http::ResponseHead &head, const std::string &text)
{
    {
        D::readRequest(request)
        } -> std::same_as<std::variant<CallerRequest, BadRequest>>;
    {
        D::writeRequest(request, instructions)
        } -> std::same_as<Http::Request>;
    /// A request that any live process of the instance answers without running anything; others refuse it.
    {
        D::writeLivenessCheck(text)
        } -> std::same_as<Http::Request>;
    /// The start time of the process in its answer to the check, as in its record; 0 if it is not stated.
    {
        D::readStartTime(text)
        } -> std::same_as<std::int64_t>;
    {
        D::readReply(head)
        } -> std::same_as<UpstreamReply>;
};

} // namespace Gypsumtally::Gateway
