#pragma once

#include "allowances/fleetallowance.h"
#include "gateway/callaccess.h"
#include "gateway/callsend.h"
#include "gateway/crashledger.h"
#include "gateway/dialect.h"
#include "gateway/enginechoice.h"
#include "gateway/relaycodec.h"
#include "gateway/streamversions.h"
#include "gateway/trafficpolicy.h"
#include "gateway/upstreamtable.h"
#include "gateway/waittimes.h"
#include "relay/callerserver.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// A call; its bases are the send that is to answer it, and its access under the last configuration that it was
/// checked with.
struct Call : CallSend, CallAccess {
    /// A send that has gone silent, kept until the current one goes on with the answer; null if there is none.
    std::unique_ptr<CallSend> held;
    std::shared_ptr<Relay::CallerExchange> exchange;
    CallerRequest request;
    Allowances::Charge charge; ///< To the organisation's rate limit.
    Route route;
    std::string service;
    Instant arrival{};
    Instant deadline{};
    std::vector<CrashCause> causes; ///< What may crash upstreams: the request itself, then its prompt's parts.
    std::vector<std::string> excluded; ///< Instances that have failed the request.
    std::vector<std::string> silent; ///< Those of them that went silent, and may have gone on since.
    unsigned sends = 0; ///< Sends that reached an upstream, or may have.
    unsigned runs = 0; ///< Sends that an upstream may have run.
    unsigned unconnected = 0; ///< Sends for which no connection was made.
    unsigned refused = 0; ///< Sends that an upstream refused without starting the request.
    Verdict verdict = Verdict::NotRun;
    bool answering = false; ///< The head of the answer has been sent to the caller.
    bool done = false;
    std::string_view code = "ok"; ///< For metrics: the name of the ErrorCode, or "caller_gone", if the call failed.
    bool waiting = false; ///< For any WaitCause.
    Instant waitingSince{};
    WaitTimes waits;
    Instant waitUntil{}; ///< Time at which the call is failed if no engine has the adapter.
    Instant loadRequestedAt{};
    unsigned loadRequests = 0; ///< Number of load requests sent.
    Instant notBefore{}; ///< Earliest time of the next attempt to send the call.
    bool jittered = false; ///< The jitter that separates this node's choice from those of others was applied.
    std::optional<UpstreamChoice> reservation; ///< Engine and time for which the prompt was announced.
    Instant brokenAt{}; ///< Last time that a connection to an upstream failed or broke.
    std::optional<RelayedCall> relayed; ///< Set if another node has passed the call to this one.
    bool mayTryAnother = false; ///< A refusal of the relayed call is due to this node's state.
    bool leftSilent = false; ///< The call has left an upstream that went silent.
    std::vector<std::string> failedPeers; ///< Peers that have failed the call.
    std::optional<Duration> peerRetryAfter; ///< That a peer's refusal stated.
    bool isServedHere = false; ///< Waits for an upstream that this node reaches, as a peer had no room.
    unsigned answerStatus = 0; ///< Of the answer that has begun, with its Content-Type.
    std::string answerType;
    bool hasConsecutiveIds = false; ///< Events that the caller has got had successive ids.
    bool hasSkippedIds = false; ///< An event had not.
    unsigned begunSends = 0; ///< Gives sends their numbers.
    unsigned failedMoves = 0; ///< Replacements of silent sends that have not gone on with the answer.
    Instant moveAt{}; ///< Earliest time of the next such replacement.
    std::optional<std::uint64_t> lastEvent; ///< Id of the last event that the caller has.
    StreamId streamId = 0;
    std::optional<std::string> streamVersion; ///< Software version that began the stream; nothing before.
    VersionSource versionSource = VersionSource::Begun; ///< How the node knows streamVersion.
    Instant streamWantedAt{}; ///< When the records of streams were last read for the call.
    UpstreamProcess verified; ///< Process that has stated its start time, so that its software version is known.
    Instant verifiedAt{};
    Instant verifyingUntil{}; ///< Time until which the process that was asked last may answer.
    UpstreamProcess unanswered; ///< Process that has not answered when it was asked last.
    Instant verifyAgainAt{}; ///< Time until which that process is not asked again.
    Instant lastEventAt{};
    Duration firstEvent{}; ///< Time from the call's arrival to the first event.
    Duration longestPause{};
};
using CallPtr = std::shared_ptr<Call>;

} // namespace Gypsumtally::Gateway
