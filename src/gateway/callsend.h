#pragma once

#include "common/clock.h"
#include "gateway/dialect.h"
#include "gateway/eventsplitter.h"
#include "gateway/relaycodec.h"
#include "relay/upstreamclient.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace Gypsumtally::Gateway
{

/// State of one send of a call, to an upstream or to a peer.
struct CallSend {
    unsigned number = 0; ///< Among the sends of the call, from 1 on; 0 if nothing was sent.
    Relay::UpstreamClient::Token token = 0; ///< 0 if nothing is being sent.
    std::string instance; ///< Empty if the call was passed to a peer.
    std::string peer; ///< The peer that the call was passed to; empty if it was sent to an upstream.
    unsigned peerAttempts = 0; ///< Sends that an upstream may run, of the peer that has the call.
    RelayedAnswer peerAnswer; ///< From the head of the peer's answer.
    std::uint64_t adapterVersion = 0; ///< Version of the upstream's copy; 0 if it is not known.
    std::int64_t processStartedAt = 0; ///< Start time of the upstream process.
    std::string softwareAtSend; ///< Software version of the upstream.
    std::string organisationAtSend; ///< Whose the call was; a later configuration may give its key to another one.
    Instant sentAt{};
    Instant lastProgress{}; ///< Last time the upstream made progress on the answer; initially the time of the send.
    double slownessAtSend = 1; ///< Estimate for the upstream, see slownessNow().
    unsigned limitAtSend = 0; ///< Learnt limit of the upstream, see Upstream::usableSlots().
    unsigned inFlightAtSend = 0; ///< Other requests in flight at the upstream, with those that peers last reported.
    double prefillBacklogAtSend = 0; ///< Prompt tokens, those of the call included; see PromptWindow.
    bool tookRepeat = false; ///< Is a repeat that this node's allowance has paid for.
    bool eventReceived = false; ///< An event has arrived.
    Instant firstEventAt{};
    std::array<Duration, 2> pauses{}; ///< The last two between events.
    bool isAcquitted = false; ///< Has shown that the call's causes do not crash upstreams.
    UpstreamReply reply;
    std::string contentType; ///< Of a stream.
    bool isChunked = false; ///< A stream whose end shows.
    std::string body;
    std::unique_ptr<EventSplitter> events;
    unsigned countedRuns = 0; ///< Runs that were counted in advance, while another send is to replace this one.
    unsigned countedSends = 0; ///< The same for sends.
};

} // namespace Gypsumtally::Gateway
