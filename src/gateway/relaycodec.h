#pragma once

#include "common/clock.h"
#include "common/verdict.h"
#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Gypsumtally::Gateway
{

/// State of a call that a node passes to a peer, which reaches upstreams that the node is cut off from. A call is
/// relayed once at most: its headers mark it, and the peer never passes it on.
struct RelayedCall {
    std::string origin; ///< The node that passes it on.
    Duration timeLeft{}; ///< Until the call's deadline.
    Duration timeSpent{}; ///< Since the caller's request arrived.
    unsigned sends = 0; ///< Sends that reached an upstream, or may have.
    unsigned runs = 0; ///< Sends that an upstream may have run.
    unsigned attempts = 1; ///< Sends of the peer that an upstream may run.
    bool isPaid = false; ///< The next send is a repeat that the origin's retry allowance has paid for.
    bool isAnswering = false; ///< The caller has received the head of the answer.
    std::optional<std::uint64_t> lastEvent; ///< Id of the last event that the caller has.
    std::optional<std::string> streamVersion; ///< Software version that began the stream.
    std::uint64_t configuration = 0; ///< Version of the origin's, which the peer's must not precede.

    friend bool operator==(const RelayedCall &, const RelayedCall &) = default;
};

/// State of a relayed call that the peer adds to its answer.
struct RelayedAnswer {
    Verdict verdict = Verdict::MayHaveRun; ///< MayHaveRun in the head of a stream, which has not ended.
    unsigned sends = 0; ///< Sends of the peer that reached an upstream, or may have.
    unsigned runs = 0; ///< Sends of the peer, before the one that is answered, that an upstream may have run.
    std::string streamVersion; ///< Software version of the upstream that answers; may be empty.
    bool mayTryAnother = false; ///< The reason for a refusal is the peer's own state.

    friend bool operator==(const RelayedAnswer &, const RelayedAnswer &) = default;
};

/// Limit in bytes on the headers that writeRelayedRequest() adds.
inline constexpr std::size_t relayHeaderBytes = 1024;

/// Returns @p request as it is passed to a peer, with the state of @p call. Thread-safe.
Http::Request writeRelayedRequest(const Http::Request &request, const RelayedCall &call);

/// Returns the state of the call with @p headers; nothing if it is not a well-formed relayed call. Thread-safe.
std::optional<RelayedCall> readRelayedCall(const Http::Headers &headers);

/// Returns the headers of an answer to a relayed call: those for the caller and @p answer. Thread-safe.
Http::Headers writeRelayedAnswer(const Http::Headers &forCaller, const RelayedAnswer &answer);

/// Returns the state in the headers of an answer to a relayed call; nothing if it is not well-formed. Thread-safe.
std::optional<RelayedAnswer> readRelayedAnswer(const Http::Headers &headers);

/// Returns @p headers without those that are about relaying. Thread-safe.
Http::Headers withoutRelayHeaders(Http::Headers headers);

/// Returns the headers of a relayed answer that the caller gets. Thread-safe.
Http::Headers callerHeadersOf(const Http::Headers &headers);

/// Returns the time that the header Retry-After states in seconds; nothing if there is none or it is not valid.
/// Thread-safe.
std::optional<Duration> retryAfterOf(const Http::Headers &headers);

} // namespace Gypsumtally::Gateway
