#pragma once

#include "common/clock.h"
#include "gateway/residency.h"
#include "gateway/upstreamstatement.h"
#include "http/message.h"
#include "relay/responsereader.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Gypsumtally::Gateway
{

/// A caller's request, decoded.
struct CallerRequest {
    std::string id; ///< Names one sending by the caller; upstreams echo it.
    std::string host;
    std::string path; ///< Without the query.
    ModelTarget target; ///< Empty if the request names no model.
    double promptTokens = 0;
    double outputTokens = 0; ///< At most.
    std::optional<Duration> timeout; ///< How long the caller waits.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has of an earlier answer.
};

/// A request that cannot be served, whatever the configuration.
struct BadRequest {
    std::string reason;
};

/// What the node adds to a request that it sends on.
struct SendInstructions {
    std::string instance; ///< The upstream process that is to answer; another one refuses.
    Duration timeLeft{};
    std::optional<std::uint64_t> version; ///< Of the adapter; the engine refuses if it holds another.
    std::optional<unsigned> priority; ///< 0 is the most urgent.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that has been delivered.
};

/// The head of an upstream's answer, decoded.
struct UpstreamReply {
    unsigned status = 0;
    std::string requestId; ///< Of the request that it answers.
    bool isSigned = false; ///< Carries the upstream's proof that the answer is its own.
    bool notRun = false; ///< The upstream states that it has not run the request and will not.
    bool wrongInstance = false; ///< Another process has the address now, or it does not hold what was asked for.
    bool isEncoded = false; ///< The body was transformed on its way.
    Http::Headers headers; ///< To be passed on to the caller.
    UpstreamStatement statement;
};

/// Translates between a platform's requests and answers and the node's own. Implementations are stateless.
template<typename D>
concept CallDialect = requires(const Http::Request &request, const CallerRequest &decoded,
                               const SendInstructions &instructions, const Relay::ResponseHead &head)
{
    {
        D::readRequest(request)
        } -> std::same_as<std::variant<CallerRequest, BadRequest>>;
    {
        D::writeRequest(request, instructions)
        } -> std::same_as<Http::Request>;
    {
        D::readReply(head)
        } -> std::same_as<UpstreamReply>;
};

} // namespace Gypsumtally::Gateway
