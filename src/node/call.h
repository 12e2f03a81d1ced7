#pragma once

#include "common/verdict.h"
#include "entry/callparser.h"
#include "entry/eventstream.h"
#include "node/events.h"
#include "retries/retrypolicy.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// Stage of a call's processing at this node.
enum class CallStage {
    Claiming, ///< The claim of a non-idempotent call is being written to the key-value service.
    Placing, ///< Waiting for the adapter's home node to choose an engine.
    Queued, ///< In the queue of an engine that this node owns.
    AtEngine, ///< Sent to an engine that this node owns.
    AtPeer, ///< Forwarded to the node that owns the engine.
    AtService, ///< Sent to a worker of a service.
    Pausing, ///< Waiting before the next attempt.
};

template<>
inline constexpr EnumTable<CallStage, 7> enumNames<CallStage>{{
    {CallStage::Claiming, "claiming"},
    {CallStage::Placing, "placing"},
    {CallStage::Queued, "queued"},
    {CallStage::AtEngine, "at-engine"},
    {CallStage::AtPeer, "at-peer"},
    {CallStage::AtService, "at-service"},
    {CallStage::Pausing, "pausing"},
}};

/// Response received so far to the current attempt.
struct AttemptAnswer {
    unsigned status = 0;
    Http::Headers headers;
    std::string body; ///< Empty for a stream, whose events are passed on as they arrive.
    EventStream events;
    bool isStream = false;
    std::optional<Failure> streamFailure; ///< Reported by an error event of the stream.
};

/// A call whose answer from this node is not complete.
struct Call {
    ParsedCall parsed;
    CallStage stage = CallStage::Pausing;
    Instant stageSince{};
    UpstreamId upstream; ///< Upstream of the current attempt.
    NodeId node; ///< Owner of `upstream`; the current attempt is forwarded to it in stage AtPeer.
    std::string requestId; ///< Identifies the current attempt to the engine in stage AtEngine.
    std::optional<ExchangeId> exchange; ///< HTTP exchange in flight for the current attempt.
    AttemptAnswer answer;
    RetryHistory history;
    int attempts = 0;
    Instant retryAt{}; ///< Start of the next attempt in stage Pausing.
    std::optional<Instant> unplacedSince; ///< When attempts began to fail because no node accepts the call.
    Instant firstToken{}; ///< When the first event of a streamed answer was passed on.
    std::uint32_t tokensSent = 0; ///< Tokens passed on to the caller, counted from the start of the answer.
    std::uint64_t customerQueue = 0; ///< Maximum number of open calls of the customer at this node.
    bool begun = false; ///< The head of a streamed answer has been sent to the caller.
    bool callerGone = false; ///< The caller has disconnected.
    bool isClaimed = false; ///< The claim of a non-idempotent call is granted and not yet finished.
    std::uint32_t crashes = 0; ///< Number of upstreams that were lost while running the call.
    bool isUpstreamLost = false; ///< The current attempt failed because the upstream was lost while running it.
    bool isTracked = false; ///< Recorded in Quarantine as running at an engine of this node.

    CallId id() const
    {
        return parsed.attributes.id;
    }

    /// Returns the number of crashes that the call is suspected of causing: the higher of the rank received with it
    /// and the crashes observed by this node. Excludes what Quarantine has recorded for its fingerprint.
    std::uint32_t crashRank() const
    {
        return std::max(parsed.crashRank, crashes);
    }

    const CallAttributes &attributes() const
    {
        return parsed.attributes;
    }
};

} // namespace Gypsumtally
