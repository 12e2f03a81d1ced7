#pragma once

#include "common/verdict.h"
#include "gateway/call.h"
#include "gateway/callaccess.h"
#include "gateway/callcharge.h"
#include "gateway/callcontext.h"
#include "gateway/calllog.h"
#include "gateway/callrelay.h"
#include "gateway/capacitylearner.h"
#include "gateway/dialect.h"
#include "gateway/gatewaylog.h"
#include "gateway/refusal.h"
#include "gateway/stopschedule.h"
#include "gateway/upstreammonitor.h"
#include "gateway/upstreamroom.h"
#include "http/eventloop.h"
#include "relay/callerserver.h"
#include "relay/upstreamclient.h"
#include "report/metrics.h"
#include "routing/rendezvous.h"
#include "scheduling/sendwindow.h"
#include "scheduling/waitingqueue.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Forwards callers' requests to upstreams and the answers back: selects an upstream, sends, retries where that is
/// safe, resumes streams, and refuses requests that cannot be served. Not thread-safe: for the loop's thread only.
template<CallDialect Dialect, Relay::ExchangeClient Client = Relay::UpstreamClient>
class CallForwarder
{
public:
    CallForwarder(Http::EventLoop &loop, CallContext &context, GatewayLog &log, Metrics &metrics)
        : m_loop(loop)
        , m_context(context)
        , m_log(log)
        , m_metrics(metrics)
        , m_waiting(context.reserve)
        , m_client(loop)
        , m_monitor(m_client, context)
        , m_relay(context)
        , m_learner(context)
    {
    }

    /// Sets the local address of connections to upstreams.
    void connectFrom(const Http::Endpoint &local)
    {
        m_client.connectFrom(local);
    }

    /// Returns what has become of the connections of the time since the last call.
    Relay::ConnectionCounts takeConnectionCounts()
    {
        return m_client.takeConnectionCounts();
    }

    /// Accepts a caller's request and begins to route it.
    void accept(const std::shared_ptr<Relay::CallerExchange> &exchange)
    {
        auto call = std::make_shared<Call>();
        call->exchange = exchange;
        call->arrival = call->exchange->arrival();
        start(call);
    }

    /// Accepts a call that another node passes on and begins to route it. Refuses it, so that the other node tries the
    /// next one, unless @p takesCalls.
    void acceptRelayed(const std::shared_ptr<Relay::CallerExchange> &exchange, bool takesCalls)
    {
        auto relayed = readRelayedCall(exchange->request().headers);
        if (!relayed)
            return exchange->respond({400, {{"Content-Type", "text/plain"}}, "not a relayed call\n"});
        auto call = std::make_shared<Call>();
        call->exchange = exchange;
        call->arrival = exchange->arrival() - relayed->timeSpent;
        call->sends = relayed->sends;
        call->runs = relayed->runs;
        call->relayed = std::move(relayed);
        if (!takesCalls || !canRoute())
            return refuseRelayed(call, ErrorCode::Stopping, "this node takes no calls");
        if (m_context.routes->policy().version < call->relayed->configuration)
            return refuseRelayed(call, ErrorCode::PlatformUnavailable, "this node has an older configuration");
        if (m_relayedCalls >= m_context.maxRelayedCalls)
            return refuseRelayed(call, ErrorCode::Overloaded, "this node has too many calls of other nodes");
        start(call);
    }

    /// Enforces deadlines and moves calls off unresponsive upstreams. To be called several times a second.
    void sweep(Instant now)
    {
        m_client.sweep(now);
        m_monitor.sweep(now);
        m_waiting.report(now);
        for (const auto &call : m_waiting.inOrder(now))
            sweepCall(call, now);
        const std::vector<std::shared_ptr<Call>> calls(m_calls.begin(), m_calls.end());
        for (const auto &call : calls) {
            if (!m_waiting.contains(call))
                sweepCall(call, now);
        }
        refuseUnrouted(now);
    }

    /// Routes the calls that wait for the node's first configuration, if it is ready for them.
    void onConfiguration()
    {
        if (!canRoute())
            return;
        for (const auto &call : std::exchange(m_unrouted, {})) {
            if (!call->done)
                route(call);
        }
    }

    /// Retries all waiting calls, the most urgent first. To be called when the set of adapters that engines hold has
    /// changed.
    void onPlacement()
    {
        for (const auto &call : m_waiting.inOrder(BootClock{}.now()))
            proceed(call);
    }

    /// Handles the end or the replacement of an upstream process: reports its crash if exchanges broke there, and
    /// forgets the software version of streams that may have begun at its successor.
    void onUpstreamGone(const std::string &instance)
    {
        const auto now = BootClock{}.now();
        m_monitor.onCrashed(instance, now);
        const auto *upstream = m_context.upstreams.find(instance);
        if (!upstream)
            return;
        for (const auto &call : m_calls) {
            const CallSend &send = call->held ? *call->held : *call;
            if (send.instance == instance && call->answering && now - send.firstEventAt < maxRecordLag
                && send.softwareAtSend != upstream->record.softwareVersion) {
                m_context.streams.forget(call->streamId);
                call->streamVersion.reset();
            }
        }
    }

    /// Ends the calls with a blocked cause that upstreams have not begun to answer. Call it several times per second.
    void onVerdicts()
    {
        if (m_context.crashes.verdicts().empty())
            return;
        const std::vector<CallPtr> calls(m_calls.begin(), m_calls.end());
        for (const auto &call : calls) {
            if (call->token == 0 || call->request.target.empty() || call->eventReceived)
                continue;
            const auto *verdict = m_context.crashes.verdictOn(call->causes);
            if (!verdict)
                continue;
            if (returnToHeld(call) && call->eventReceived)
                continue;
            cancelSend(call);
            giveUp(call, ErrorCode::Quarantined, reasonOf(*verdict));
        }
    }

    std::size_t activeCalls() const
    {
        return m_calls.size();
    }

    /// Sends from now on only what ends before the node does, as @p schedule says, and refuses the rest.
    void beginStop(const StopSchedule &schedule)
    {
        m_stop = schedule;
        m_stopCounts = {};
        onPlacement();
    }

    /// Ends all calls, as the process exits: each gets a refusal, a failure if it may have run, or the end of its begun
    /// answer, which its caller may take up elsewhere. Calls that are accepted later are refused. Precondition:
    /// beginStop() was called.
    void endCalls()
    {
        m_isOver = true;
        for (const auto &call : std::exchange(m_unrouted, {})) {
            if (!call->done)
                cut(call);
        }
        const std::vector<CallPtr> calls(m_calls.begin(), m_calls.end());
        for (const auto &call : calls) {
            if (!call->done)
                cut(call);
        }
    }

    /// Returns what has become of calls since beginStop().
    const StopCounts &stopCounts() const
    {
        return m_stopCounts;
    }

private:
    /// Longest wait of a call for the first configuration of a node that has just started: ten times as long as reading
    /// it from the store takes.
    static constexpr Duration maxConfigurationWait = std::chrono::milliseconds{400};
    static constexpr Duration unroutedRetryAfter = std::chrono::milliseconds{500};
    /// Grace period after a deadline, for the upstream's own answer to the missed deadline.
    static constexpr Duration deadlineMargin = std::chrono::milliseconds{60};
    /// Limit on the sends of one request that upstreams refuse without starting it.
    static constexpr unsigned maxRefusedSends = 4;
    /// Delay before the next send to an engine that refused a request, because it is still loading the adapter or has
    /// no room.
    static constexpr Duration refusalRetryDelay = std::chrono::milliseconds{60};
    /// Number of sends of one request without a connection that are followed by another one at once.
    static constexpr unsigned maxImmediateReconnects = 3;
    static constexpr Duration yieldingRetryDelay = std::chrono::milliseconds{60}; ///< While others reserve the pace.
    static constexpr unsigned maxRetryDelayDoublings = 2; ///< Limits the delay's growth by further refusals.
    /// Interval between load requests; bounds the delay that a lost datagram causes.
    static constexpr Duration loadRequestInterval = std::chrono::milliseconds{150};
    static constexpr Duration maxLoadWait = std::chrono::milliseconds{2000}; ///< Eight loads in sequence.
    static constexpr double maxLoadWaitFraction = 0.5; ///< Fraction of the request's remaining time.
    /// Longest wait for the end of upstreams' backpressure, as a fraction of the request's remaining time.
    static constexpr double maxBackpressureWaitFraction = 0.3;
    /// Time for which an upstream is avoided after an answer from the wrong process.
    static constexpr Duration avoidanceTime = std::chrono::milliseconds{600};
    /// Silence after which a request that is not streaming is moved off its upstream, in usual answer times.
    static constexpr double silenceInAnswerTimes = 12;
    /// Silence after which a streaming request is moved off its upstream, in longest pauses that the route allows.
    static constexpr int silenceInPauses = 3;
    static constexpr Duration minSilence = std::chrono::milliseconds{150}; ///< For requests that are not streaming.
    /// Silence after which a request is moved off its upstream if it is streaming on a route that does not bound
    /// pauses, or if the upstream has no record any more.
    static constexpr Duration defaultSilence = std::chrono::milliseconds{900};
    /// Wait for a free slot after which the node requests a copy of the adapter at another engine.
    static constexpr Duration furtherCopyDelay = std::chrono::milliseconds{100};
    /// Utilisation of a service's slots from which more copies would only evict other adapters that are needed.
    static constexpr double maxUtilisationForFurtherCopy = 0.6;
    /// Utilisation of an engine's slots from which other nodes are notified of each request that ends.
    static constexpr double crowdedUtilisation = 0.75;
    static constexpr std::size_t maxWokenCalls = 8; ///< Waiting calls that try for a slot when a request has ended.
    static constexpr std::size_t maxAnswerBytes = 4 * 1024 * 1024; ///< Equals the limit on request bodies.
    /// Longest time to find out at which software version a stream began. Covers two reads of the store, and a report
    /// of the node at which it broke off.
    static constexpr Duration maxStreamWait = std::chrono::milliseconds{400};
    static constexpr Duration streamReadInterval = std::chrono::milliseconds{150};
    static constexpr Duration streamPollInterval = std::chrono::milliseconds{20};
    /// Longest time from the start of an upstream process to its record at this node.
    static constexpr Duration maxRecordLag = std::chrono::seconds{3};
    /// Time for which the start time that an engine stated counts, shorter than a restart takes.
    static constexpr Duration verificationTime = std::chrono::milliseconds{300};
    /// Time after which an engine that has not stated its start time is asked again for the same call.
    static constexpr Duration verificationInterval = std::chrono::milliseconds{150};
    static constexpr Duration verdictPollInterval = std::chrono::milliseconds{50}; ///< While a verdict is undecided.
    static constexpr double latePaceShare = 0.6; ///< Share of the prompt pace for calls past their latency objective.
    /// Share of the prompt pace for new calls while callers take up streams that only a part of the upstreams can
    /// serve.
    static constexpr double newPaceShare = 0.3;
    /// A reserved time that has passed by more than this lapses, for example after the process was suspended.
    static constexpr Duration maxReservationDelay = std::chrono::milliseconds{200};
    /// Time by which another upstream must serve a call earlier for the call to give up its reserved time.
    static constexpr Duration minGainForChange = std::chrono::milliseconds{50};
    /// Limit on the peers that a call without a begun answer is passed to in turn, because each fails it.
    static constexpr std::size_t maxFailedPeers = 8;
    /// Silence after which a relayed stream is moved off its peer, in those after which the peer moves it.
    static constexpr int peerSilenceFactor = 2;
    static constexpr Duration evidencePollInterval = std::chrono::milliseconds{20}; ///< Of the other nodes.
    /// Retry-After of calls that a node refuses because it stops, while other nodes take them.
    static constexpr Duration elsewhereRetryAfter = std::chrono::milliseconds{50};
    static constexpr const char *noKeyReason = "the request needs the key of an organisation";
    static constexpr const char *supersededReason
        = "a newer version of the adapter was declared before the stream began";

    void start(const CallPtr &call)
    {
        ++m_stopCounts.accepted;
        call->exchange->refuseOnRelease(Verdict::NotRun);
        call->exchange->onGone([this, weak = std::weak_ptr<Call>(call)] {
            if (const auto gone = weak.lock())
                onCallerGone(gone);
        });
        auto decoded = Dialect::readRequest(call->exchange->request());
        if (const auto *bad = std::get_if<BadRequest>(&decoded))
            return refuse(call, 400, ErrorCode::BadRequest, bad->reason, {});
        call->request = std::move(std::get<CallerRequest>(decoded));
        call->exchange->setId(call->request.id);
        if (!canRoute()) {
            if (m_isOver)
                return refuseStopping(call);
            m_unrouted.push_back(call);
            return;
        }
        this->route(call);
    }

    /// Returns true if this node knows how to route calls, and which must not be sent.
    bool canRoute() const
    {
        return m_context.routes && !m_context.awaitsVerdicts;
    }

    /// Matches the call to a route and starts to process it. Precondition: the context has a route table.
    void route(const CallPtr &call)
    {
        const auto *route = m_context.routes->match(call->request.host, call->request.path);
        if (!route)
            return refuse(call, 404, ErrorCode::UnknownRoute, "no route has this host and path", {});
        call->route = *route;
        auto access = accessOf(call->request, *route, *m_context.routes);
        if (!access)
            return refuse(call, 401, ErrorCode::Unauthorized, noKeyReason, {});
        static_cast<CallAccess &>(*call) = std::move(*access);
        if (route->services.empty())
            return refuse(call, 503, ErrorCode::UnknownService, "the route has no service", {});
        // A stream that is taken up goes on at the service that began it.
        call->service
            = chooseService(*route, call->request.resumedId.empty() ? call->request.id : call->request.resumedId);
        const auto timeout = std::min(call->request.timeout.value_or(route->timeout), route->timeout);
        call->deadline = call->relayed ? call->exchange->arrival() + call->relayed->timeLeft : call->arrival + timeout;
        if (!call->relayed) {
            const auto now = BootClock{}.now();
            const auto charged = chargeCall(m_context.fleetAllowance, call->charge, call->identity.organisation,
                                            call->request, windowOf(*call).longestRetryAfter(now), now);
            if (!charged.isGranted)
                return refuse(call, 429, ErrorCode::QuotaExceeded, "the organisation has reached its rate limit",
                              charged.retryAfter);
        }
        call->lastEvent = call->request.resumeAfter;
        call->streamId = streamIdOf(call->lastEvent ? call->request.resumedId : call->request.id);
        if (call->lastEvent)
            m_context.streams.onTakenUp(call->service, call->arrival);
        call->causes = causesOf(*call);
        m_calls.insert(call);
        if (call->relayed)
            takeOver(*call);
        else
            m_context.allowance.onRequest(call->service, call->arrival);
        if (!call->request.target.empty()) {
            m_context.reserve.onArrived(call->service, call->schedulingUrgency(), call->request.promptTokens,
                                        BootClock{}.now());
            auto &use = m_context.uses[call->request.target];
            use.service = call->service;
            ++use.inFlight;
            use.started += call->relayed ? 0 : 1; // The node that the caller chose counts the request.
        }
        proceed(call);
    }

    /// Continues a relayed call where the other node has left it.
    void takeOver(Call &call)
    {
        ++m_relayedCalls;
        if (call.relayed->lastEvent)
            call.lastEvent = call.relayed->lastEvent;
        call.streamVersion = call.relayed->streamVersion;
        call.versionSource = VersionSource::Relayed;
        m_log.decision(GatewayEvent::RelayedCallReceived, call.request.id,
                       {{"from", call.relayed->origin},
                        {"after_ms", std::to_string(call.relayed->timeSpent.count() / 1000)},
                        {"runs", std::to_string(call.relayed->runs)}});
    }

    static std::vector<CrashCause> causesOf(const Call &call)
    {
        const auto &raw = call.exchange->request();
        const auto path = XXH3_64bits(raw.target.data(), raw.target.size());
        std::vector<CrashCause> causes{
            {CauseKind::Request, XXH3_64bits_withSeed(raw.body.data(), raw.body.size(), path)}};
        for (const auto part : call.request.sharedParts)
            causes.push_back({CauseKind::PromptPart, part});
        return causes;
    }

    static std::string reasonOf(const CrashVerdict &verdict)
    {
        return "upstreams crash when they run requests with " + toText(verdict.cause);
    }

    /// Refuses the calls that have waited too long for a configuration. An answer may let the next request of its
    /// connection come in, which is added to the list.
    void refuseUnrouted(Instant now)
    {
        for (const auto &call : std::exchange(m_unrouted, {})) {
            if (call->done)
                continue;
            if (now - call->arrival < maxConfigurationWait)
                m_unrouted.push_back(call);
            else
                refuse(call, 503, ErrorCode::PlatformUnavailable, "no configuration is known yet", unroutedRetryAfter);
        }
    }

    /// Sends the call if an upstream can accept it now; otherwise makes it wait or fails it.
    void proceed(const CallPtr &call)
    {
        if (call->done || call->token != 0)
            return;
        const auto now = BootClock{}.now();
        if (!keepsAccess(*call))
            return giveUp(call, ErrorCode::Unauthorized, noKeyReason);
        if (refuseIfCut(call, now))
            return;
        if (now < call->notBefore && !awaitsCutOffUpstream(*call)) {
            if (call->unconnected > 0 && !m_context.reach.cutOff().empty())
                relayAroundCut(call, choose(*call, now), now);
            return;
        }
        if (const auto *verdict = m_context.crashes.verdictOn(call->causes))
            return giveUp(call, ErrorCode::Quarantined, reasonOf(*verdict));
        if (m_context.crashes.isUndecided(call->causes, now))
            return waitFor(call, WaitCause::Verdict, verdictPollInterval, now);
        if (call->lastEvent && !call->streamVersion && !findStreamVersion(call, now))
            return;
        if (const auto reserved = usableReservation(*call, now)) {
            if (!isVerified(call, reserved->instance, now))
                return;
            stopWaiting(call);
            return send(call, *reserved, now);
        }
        std::optional<UpstreamChoice> choice;
        if (awaitsLimitedUpstream(*call, now)) {
            choice = earlierChoice(*call, now);
            if (!choice)
                return requestCopyElsewhere(*call, *call->reservation, now);
        }
        withdrawReservation(*call, now);
        if (!choice)
            choice = choose(*call, now);
        if (!choice && !call->excluded.empty() && call->runs == 0) {
            if (call->unconnected > 0 && now > windowOf(*call).latestSend())
                return giveUp(call, ErrorCode::NoUpstream, "the upstreams accept no connections");
            call->excluded.clear();
            choice = choose(*call, now);
        }
        if (!choice && readmitSilent(*call))
            choice = choose(*call, now);
        if (relayAroundCut(call, choice, now))
            return;
        if (!choice && awaitsEvidence(*call, now))
            return waitFor(call, WaitCause::Reach, evidencePollInterval, now);
        if (!choice)
            return waitForLoad(call, now);
        if (choice->sendAt > now) {
            if (refuseIfCut(call, choice->sendAt))
                return;
            if (const auto sendAt = expectedSend(*call, *choice, now); sendAt > windowOf(*call).latestSend())
                return refuseAsFull(call, *choice, sendAt, now);
            if (const auto later = loadJitter(*call, *choice, now); later > Duration{}) {
                call->notBefore = now + later;
                startWaiting(call, WaitCause::LoadInProgress, now);
                call->waitUntil = std::max(call->waitUntil, choice->sendAt + maxLoadWait);
                return wakeAt(call, call->notBefore, now);
            }
            const bool mayReserve = !choice->isFull && !isTooFarAhead(*call, *choice, now);
            const auto tryAt = mayReserve || choice->isFull ? choice->sendAt : now + yieldingRetryDelay;
            // A call with a time at a limited upstream looks for a better upstream meanwhile.
            call->notBefore = choice->isLimited && !choice->isFull ? Instant{} : tryAt;
            if (choice->isLimited)
                requestCopyElsewhere(*call, *choice, now);
            if (choice->isFull && now - call->arrival > furtherCopyDelay
                && utilisationOf(m_context.upstreams, call->service, now) < maxUtilisationForFurtherCopy)
                requestLoad(*call, now);
            if (mayReserve) {
                announceSend(*call, *choice, now);
                call->reservation = *choice;
            }
            startWaiting(call, causeOf(*choice, now), now);
            call->waitUntil = std::max(call->waitUntil, choice->sendAt + std::chrono::milliseconds{500});
            return wakeAt(call, tryAt, now);
        }
        if (!isVerified(call, choice->instance, now))
            return;
        stopWaiting(call);
        send(call, *choice, now);
    }

    /// Returns true if the call may be sent under the configuration in force.
    bool keepsAccess(Call &call) const
    {
        return renewAccess(call, call.request, call.route, *m_context.routes);
    }

    /// Lets the call go back to upstreams that it has left as silent. Returns false if there are none.
    static bool readmitSilent(Call &call)
    {
        const auto silent = std::exchange(call.silent, {});
        std::erase_if(call.excluded,
                      [&](const std::string &instance) { return std::ranges::find(silent, instance) != silent.end(); });
        return !silent.empty();
    }

    /// Returns true if the call waits for its turn at an upstream that this node is cut off from.
    bool awaitsCutOffUpstream(const Call &call) const
    {
        return call.reservation && isCutOff(call.reservation->instance);
    }

    /// Returns true if it is not known yet whether the upstreams that have failed the call have failed all nodes, or
    /// this node is cut off from them.
    bool awaitsEvidence(const Call &call, Instant now) const
    {
        return !call.relayed && call.brokenAt != Instant{} && now - call.brokenAt < Reachability::evidenceTime
               && m_context.relayPeers && !m_context.relayPeers().empty();
    }

    /// Passes the call to a peer if an upstream that this node is cut off from can serve it, and earlier than @p direct
    /// can. Refuses it if only such upstreams are left and no peer takes it. Returns true if it has done either.
    bool relayAroundCut(const CallPtr &call, const std::optional<UpstreamChoice> &direct, Instant now)
    {
        if (m_context.reach.cutOff().empty()
            || (direct && !direct->isSuspect && (direct->sendAt <= now || call->isServedHere)))
            return false;
        const auto *version = call->streamVersion ? &*call->streamVersion : nullptr;
        const bool isIsolated = m_relay.isIsolated(call->service, version);
        if (call->relayed) {
            if (isIsolated) {
                call->mayTryAnother = true;
                giveUp(call, ErrorCode::NoUpstream, "this node is cut off from the upstreams of the service");
            }
            return isIsolated;
        }
        if (!isIsolated && !isServedEarlierBehindCut(*call, direct, now))
            return false;
        if (relay(call, isIsolated, now))
            return true;
        if (!isIsolated)
            return false;
        // Where other nodes take no calls either, the path may be open again, or never have been closed.
        const auto cutOff = othersTakeCalls() ? choose(*call, now, call->excluded, true) : std::nullopt;
        if (!cutOff || cutOff->sendAt > now || cutOff->isFull) {
            giveUp(call, ErrorCode::NoUpstream,
                   "this node is cut off from the upstreams of the service, and no peer takes the call",
                   call->peerRetryAfter);
        } else if (isVerified(call, cutOff->instance, now)) {
            stopWaiting(call);
            send(call, *cutOff, now);
        }
        return true;
    }

    /// Returns true if an upstream that this node is cut off from could serve the call earlier than @p direct.
    bool isServedEarlierBehindCut(const Call &call, const std::optional<UpstreamChoice> &direct, Instant now)
    {
        const auto other = choose(call, now, {}, true);
        return other && (!direct || direct->isSuspect || other->sendAt + minGainForChange < direct->sendAt);
    }

    /// Passes the call to a peer that reaches an upstream that can serve it; with @p mayLoad, also to one that reaches
    /// only upstreams that do not hold its target yet. Returns false if there is no such peer.
    bool relay(const CallPtr &call, bool mayLoad, Instant now)
    {
        if (!mayTryPeer(*call, call->failedPeers))
            return false;
        const auto *version = call->streamVersion ? &*call->streamVersion : nullptr;
        auto upstreams = m_relay.upstreamsBehindCut(call->service, call->request.target, version, now);
        auto peer = m_relay.choose(call->request.id, upstreams, call->failedPeers, now);
        if (!peer && mayLoad) {
            upstreams = m_relay.upstreamsBehindCut(call->service, {}, version, now);
            peer = m_relay.choose(call->request.id, upstreams, call->failedPeers, now);
        }
        if (!peer)
            return false;
        stopWaiting(call);
        withdrawReservation(*call, now);
        m_log.decision(GatewayEvent::CallRelayed, call->request.id,
                       {{"peer", peer->node},
                        {"cut_off", joined(upstreams)},
                        {"after_ms", std::to_string((now - call->arrival).count() / 1000)},
                        {"runs", std::to_string(call->runs)}});
        sendToPeer(call, *peer, now);
        return true;
    }

    /// Returns true if @p call may be passed to a peer other than @p failedPeers; a begun answer may try all.
    static bool mayTryPeer(const Call &call, const std::vector<std::string> &failedPeers)
    {
        return call.answering || failedPeers.size() < maxFailedPeers;
    }

    void sendToPeer(const CallPtr &call, const RelayPeer &peer, Instant now)
    {
        if (call->exchange->hasCallerLeft())
            return onCallerGone(call);
        beginSend(call, now);
        call->instance.clear();
        call->peer = peer.node;
        call->peerAnswer = {};
        call->processStartedAt = 0;
        call->softwareAtSend.clear();
        // If this node has none left, the peer's allowance pays.
        const bool isPaid = call->sends > 0 && takeRepeat(*call, now);
        call->peerAttempts = std::max(call->runs + 2, call->route.attempts) - call->runs - 1;
        const RelayedCall state{m_context.node,
                                call->deadline - now,
                                now - call->arrival,
                                call->sends,
                                call->runs,
                                call->peerAttempts,
                                isPaid,
                                call->answering,
                                call->lastEvent,
                                call->streamVersion,
                                m_context.routes->policy().version};
        call->token
            = m_relay.send(m_client, peer, call->exchange->request(), state, observerOf(call), call->route.mayRepeat());
    }

    /// Finds out at which software version the stream of the call, which another answer began, may go on. Returns false
    /// if that is not known yet, or if the call has been refused because it cannot be known.
    bool findStreamVersion(const CallPtr &call, Instant now)
    {
        const auto &streams = m_context.streams;
        call->streamVersion = streams.versionFor(call->streamId, call->service, streams.viewAge(now), now);
        call->versionSource = streams.sourceOf(call->streamId).value_or(VersionSource::OnlyVersion);
        if (!call->streamVersion && m_context.lastUnheard) {
            call->versionSource = VersionSource::Derived;
            call->streamVersion
                = streams.derivedVersion(call->service, call->arrival, m_context.lastUnheard(call->arrival), now);
        }
        if (call->streamVersion)
            return true;
        if (now - call->arrival > maxStreamWait) {
            logUnknownStream(*call, now);
            giveUp(call, ErrorCode::StreamUnknown, "the software version that began the stream is not known");
            return false;
        }
        if (now - call->streamWantedAt >= streamReadInterval && m_context.onStreamWanted) {
            call->streamWantedAt = now;
            m_context.onStreamWanted();
        }
        waitFor(call, WaitCause::StreamVersion, streamPollInterval, now);
        return false;
    }

    void logUnknownStream(const Call &call, Instant now)
    {
        const auto unheard = m_context.lastUnheard ? m_context.lastUnheard(call.arrival) : Instant::min();
        m_log.decision(GatewayEvent::StreamUnknown, call.request.id,
                       {{"resumes", call.request.resumedId},
                        {"mixed", m_context.streams.isMixed(call.service, now) ? "yes" : "no"},
                        {"view_age_ms", toMs(m_context.streams.viewAge(now))},
                        {"records_read", m_context.streams.areRecordsRead(call.arrival) ? "yes" : "no"},
                        {"unheard_ms", unheard == Instant::min() ? "none" : toMs(now - unheard)}});
    }

    /// Returns true if the call may be sent to @p instance. While several software versions serve, an engine with which
    /// a stream is to go on must state its start time first, as it may have started again under its id at another
    /// version since its record was read; returns false until it has.
    bool isVerified(const CallPtr &call, const std::string &instance, Instant now)
    {
        const auto *upstream = m_context.upstreams.find(instance);
        if (!call->lastEvent || call->request.target.empty() || !upstream || upstream->record.startedAt == 0
            || !m_context.streams.isMixed(call->service, now))
            return true;
        const UpstreamProcess process{instance, upstream->record.startedAt};
        if (call->verified == process && now - call->verifiedAt < verificationTime)
            return true;
        if (now < call->verifyingUntil)
            return false;
        if (call->unanswered == process && now < call->verifyAgainAt) {
            if (call->token == 0)
                waitFor(call, WaitCause::StreamVersion, call->verifyAgainAt - now, now);
            return false;
        }
        call->verifyingUntil = now + UpstreamMonitor<Dialect, Client>::livenessTimeout;
        if (call->token == 0) {
            waitFor(call, WaitCause::StreamVersion, UpstreamMonitor<Dialect, Client>::livenessTimeout, now);
            call->notBefore = call->verifyingUntil;
        }
        m_monitor.verify(*upstream, [this, weak = std::weak_ptr<Call>(call), process](ProcessCheck result) {
            if (const auto current = weak.lock(); current && !current->done)
                onVerified(current, process, result);
        });
        return false;
    }

    /// Goes on after a verification. An upstream that has not answered is asked again later, and a copy at another one
    /// is requested meanwhile.
    void onVerified(const CallPtr &call, const UpstreamProcess &process, ProcessCheck result)
    {
        const auto now = BootClock{}.now();
        call->verifyingUntil = {};
        call->notBefore = {};
        switch (result) {
        case ProcessCheck::Same:
            call->verified = process;
            call->verifiedAt = now;
            break;
        case ProcessCheck::Another:
            call->excluded.push_back(process.instance);
            break;
        case ProcessCheck::NoAnswer:
            call->unanswered = process;
            call->verifyAgainAt = now + verificationInterval;
            if (call->token == 0)
                requestLoad(*call, now, process.instance);
        }
        proceed(call);
    }

    /// Makes the call wait and looks at it again after @p pause.
    void waitFor(const CallPtr &call, WaitCause cause, Duration pause, Instant now)
    {
        startWaiting(call, cause, now);
        call->waitUntil = std::max(call->waitUntil, now + maxLoadWait);
        wakeAt(call, now + pause, now);
    }

    static Scheduling::SendWindow windowOf(const Call &call)
    {
        Scheduling::SendWindow window{call.arrival,
                                      call.deadline,
                                      call.route.callerPatience,
                                      call.route.latencyObjective,
                                      call.route.longestPause,
                                      {}};
        if (call.answering || (call.relayed && call.relayed->isAnswering))
            window.lastEventAt = std::max(call.lastEventAt, call.exchange->arrival());
        return window;
    }

    static Scheduling::WaitingCall waitingOf(const Call &call)
    {
        const auto window = windowOf(call);
        return {call.service,
                {call.schedulingUrgency(), window.inTimeUntil(), window.latestSend()},
                call.arrival,
                call.identity.organisation,
                tokensOf(call)};
    }

    /// Returns the tokens of the call's prompt and of its longest answer.
    static double tokensOf(const Call &call)
    {
        return call.request.promptTokens + call.request.outputTokens;
    }

    /// Lets the most urgent calls that wait for room at @p service try first for a slot that has become free.
    void wakeMostUrgent(const std::string &service)
    {
        if (!m_waking.insert(service).second)
            return;
        m_loop.post([this, service] {
            m_waking.erase(service);
            auto calls = m_waiting.forCapacity(service, BootClock{}.now());
            calls.resize(std::min(calls.size(), maxWokenCalls));
            for (const auto &call : calls) {
                if (call->reservation || call->refused > 0)
                    continue;
                call->notBefore = {};
                proceed(call);
            }
        });
    }

    /// Returns true if the upstreams of @p service state to be brittle.
    bool isBrittle(const std::string &service) const
    {
        return m_context.upstreams.brittleness(service).refusalsPerSecond.has_value();
    }

    /// Returns when the call is expected to have room, behind the calls that go before it at this node. It stays a call
    /// with a chance to be sent, unless there is solid evidence that it has none.
    Instant expectedSend(const Call &call, const UpstreamChoice &choice, Instant now)
    {
        if (!choice.isFull && !isTooFarAhead(call, choice, now))
            return choice.sendAt;
        if (isBrittle(call.service))
            return std::max(choice.sendAt, now + timeOfBacklog(call));
        if (call.verdict != Verdict::NotRun || call.answering
            || (choice.isFull
                && hasFreeSlot(m_context.upstreams, call.service, call.request.target, shareOf(call, now), now)))
            return choice.sendAt;
        const auto ahead = m_waiting.countBefore(waitingOf(call), now);
        const auto &reserve = m_context.reserve;
        return std::max(
            choice.sendAt,
            now + reserve.earliestTurn(call.service, call.schedulingUrgency(), ahead, m_context.rank.count, now));
    }

    /// Returns true if the call would reserve the prompt pace so far ahead that calls that go before it would find it
    /// taken. Such a call waits without a reservation.
    bool isTooFarAhead(const Call &call, const UpstreamChoice &choice, Instant now) const
    {
        return m_context.reservesCapacity && !choice.isLimited && !choice.isLent && choice.usableAt <= now
               && choice.sendAt - now > call.route.longestPause && !call.lastEvent
               && m_context.reserve.isShared(call.service, now);
    }

    /// Returns the time until the calls that arrived before have room at the brittle upstreams of the service. Each of
    /// the node's requests there makes room for one when it ends.
    Duration timeOfBacklog(const Call &call)
    {
        const auto speed = m_context.speeds[call.service].speed();
        const double timeMs = call.request.target.empty() ? speed.answerMs : speed.streamMs;
        const double waitMs = m_waiting.countArrivedBefore(call.arrival, call.service) * timeMs
                              / std::max(1U, ownInFlightOf(m_context.upstreams, call.service));
        return Duration{static_cast<std::int64_t>(waitMs * 1000)};
    }

    /// Refuses the call, whose turn is expected at @p sendAt, too late to be useful.
    void refuseAsFull(const CallPtr &call, const UpstreamChoice &choice, Instant sendAt, Instant now)
    {
        m_context.reserve.onRefused(call->service, call->schedulingUrgency(), now);
        const bool isForecast = sendAt > choice.sendAt && !isBrittle(call->service);
        if (isForecast)
            m_metrics.add(Metric::ForecastRefusals, {{"urgency", std::to_string(call->urgency)}});
        giveUp(call, ErrorCode::Overloaded,
               isForecast                 ? "too many calls go first"
               : isBrittle(call->service) ? "the upstreams are full"
                                          : "the engines that have the adapter are full",
               windowOf(*call).acceptableRetryAfter(sendAt - now, now));
    }

    /// Withdraws the call's reservation, and announces that to all nodes if it still counts at its upstream.
    void withdrawReservation(Call &call, Instant now)
    {
        const auto reservation = std::exchange(call.reservation, std::nullopt);
        if (!reservation)
            return;
        const bool isPromptCounted = now - reservation->sendAt < call.route.longestPause;
        const bool isCounted = reservation->isLimited || reservation->isLent;
        if (isPromptCounted || isCounted)
            m_context.announceSend({reservation->instance, isPromptCounted ? -call.request.promptTokens : 0,
                                    reservation->sendAt - now, isCounted ? -1 : 0},
                                   now);
    }

    /// Returns true if the call has a reserved time, still to come, at an upstream that limits its requests.
    bool awaitsLimitedUpstream(const Call &call, Instant now) const
    {
        if (!call.reservation || !call.reservation->isLimited)
            return false;
        const auto it = m_context.upstreams.all().find(call.reservation->instance);
        if (it == m_context.upstreams.all().end() || !it->second.takesRequests(now) || !it->second.limitsRequests())
            return false;
        const auto due = dueAt(it->second, *call.reservation);
        return due > now && due <= windowOf(call).latestSend();
    }

    /// Returns the choice of an upstream other than the reserved one if that can serve the call earlier.
    std::optional<UpstreamChoice> earlierChoice(const Call &call, Instant now)
    {
        auto other = choose(call, now, call.reservation->instance);
        if (!other || other->isFull || other->sendAt + minGainForChange > call.reservation->sendAt)
            return std::nullopt;
        return other;
    }

    /// Requests a copy of the call's adapter at another engine if the limited one of @p choice is not free soon.
    void requestCopyElsewhere(Call &call, const UpstreamChoice &choice, Instant now)
    {
        if (choice.sendAt - now > furtherCopyDelay)
            requestLoad(call, now);
    }

    /// Returns the jitter by which the call delays its announcement while its load is in progress. All nodes that wait
    /// for a load are notified of it at the same moment. The jitter makes them announce their prompts at different
    /// times before the load ends, so that each takes those of others into account.
    static Duration loadJitter(Call &call, const UpstreamChoice &choice, Instant now)
    {
        const auto spare = choice.usableAt - now - announcementDelay;
        if (spare <= Duration{} || std::exchange(call.jittered, true))
            return {};
        const auto hash = XXH3_64bits(call.request.id.data(), call.request.id.size());
        return std::chrono::duration_cast<Duration>(spare * fractionOf(hash));
    }

    /// Chooses an upstream other than those that the call has excluded and @p alsoExcluded.
    std::optional<UpstreamChoice> choose(const Call &call, Instant now, const std::string &alsoExcluded = {})
    {
        auto excluded = call.excluded;
        if (!alsoExcluded.empty())
            excluded.push_back(alsoExcluded);
        return choose(call, now, std::move(excluded), false);
    }

    /// Returns what the call requires of an upstream.
    UpstreamDemand demandOf(const Call &call, Instant now)
    {
        const double share = shareOf(call, now);
        UpstreamDemand demand{call.service,
                              call.request.target,
                              0,
                              m_context.failureDomain,
                              &m_context.regions,
                              {},
                              call.request.promptTokens,
                              paceOf(call, share, now),
                              m_context.speeds[call.service].speed(),
                              m_context.node,
                              m_context.limitShare,
                              call.streamVersion ? &*call.streamVersion : nullptr,
                              {},
                              call.arrival + call.route.latencyObjective,
                              std::max(windowOf(call).latestSend(), now)};
        if (call.route.kind == RequestKind::Streaming && !call.streamVersion)
            demand.heldVersions = m_context.streams.heldVersions(call.service);
        demand.refusalsPerSecond = m_context.upstreams.brittleness(call.service).refusalsPerSecond;
        demand.rank = m_context.rank;
        demand.slotShare = share;
        if (m_context.reservesCapacity
            && m_context.reserve.isBelowOthers(call.service, call.schedulingUrgency(), m_context.rank.count, now))
            demand.usualTokens = m_context.reserve.usualPrompt(call.service, call.schedulingUrgency(), now);
        demand.spreadSeed = XXH3_64bits(call.request.id.data(), call.request.id.size());
        return demand;
    }

    /// Chooses an upstream other than those in @p excluded: with @p isBehindCut one that this node is cut off from,
    /// otherwise one that it reaches.
    std::optional<UpstreamChoice> choose(const Call &call, Instant now, std::vector<std::string> excluded,
                                         bool isBehindCut)
    {
        UpstreamDemand demand = demandOf(call, now);
        demand.excluded = std::move(excluded);
        demand.isBehindCut = isBehindCut;
        if (call.request.target.empty())
            return chooseUpstream(m_context.upstreams, demand, now);
        // Prefers the newest version as soon as it is declared; an older one serves until the new one is loaded.
        if (const auto it = m_context.declared.find(call.request.target); it != m_context.declared.end()) {
            demand.minVersion = it->second.newest();
            auto newest = chooseUpstream(m_context.upstreams, demand, now);
            if (newest && newest->usableAt <= now)
                return newest;
            demand.minVersion = m_context.minVersion(call.request.target, now);
            const auto older = chooseUpstream(m_context.upstreams, demand, now);
            return older && older->usableAt <= now ? older : newest;
        }
        return chooseUpstream(m_context.upstreams, demand, now);
    }

    /// Returns the profile of the engines of the call's service, or null for a plain service.
    const EngineProfile *engineOf(const Call &call) const
    {
        const auto *service = m_context.routes->service(call.service);
        return service && service->engine ? &*service->engine : nullptr;
    }

    /// Returns the fraction of its service's slots and prompt pace that the call may use. A stream that goes on may use
    /// all, as its caller has begun to read it.
    double shareOf(const Call &call, Instant now) const
    {
        if (!m_context.reservesCapacity || call.request.target.empty() || call.lastEvent || call.answering)
            return 1;
        return m_context.reserve.share(call.service, call.schedulingUrgency(), tokensOf(call), m_context.rank.count,
                                       now, [&] { return utilisationOf(m_context.upstreams, call.service, now); });
    }

    /// Returns the prompt pace for the call, which may use @p share of it. Calls past their latency objective leave a
    /// part of it to the others; while callers take up streams that only a part of the upstreams can serve, new calls
    /// leave most of it to those.
    PromptPace paceOf(const Call &call, double share, Instant now)
    {
        const auto *engine = engineOf(call);
        if (!engine)
            return {};
        if (m_context.streams.yieldsToTakeUps(call.service, now))
            share = call.lastEvent ? 1 : newPaceShare;
        else if (now - call.arrival > call.route.latencyObjective)
            share = std::min(latePaceShare, share);
        return {call.route.longestPause, engine->tokensPerEvent,
                share * m_context.paceMargins[call.service].share(now)};
    }

    void wakeAt(const CallPtr &call, Instant time, Instant now)
    {
        m_loop.runAfter(std::max(Duration{}, time - now), [this, weak = std::weak_ptr<Call>(call)] {
            if (const auto waiting = weak.lock())
                proceed(waiting);
        });
    }

    void waitForLoad(const CallPtr &call, Instant now)
    {
        const bool needsLoad = !adapterOf(call->request.target).empty();
        const auto *version = call->streamVersion ? &*call->streamVersion : nullptr;
        if (const auto next = endOfBackpressure(m_context.upstreams, call->service, now, version);
            next && !(needsLoad && hasUpstream(m_context.upstreams, call->service, now, version)))
            return waitOutBackpressure(call, *next, now);
        const bool isLoadable
            = needsLoad
              && canLoad(m_context.upstreams, call->service, call->request.target, m_context.limitShare, now, version);
        if (const auto next = endOfRequestLimit(m_context.upstreams, call->service, m_context.limitShare, now, version);
            next && !isLoadable)
            return giveUp(call, ErrorCode::Overloaded, "the upstreams limit their requests",
                          windowOf(*call).acceptableRetryAfter(*next - now, now));
        if (!hasUpstream(m_context.upstreams, call->service, now))
            return giveUp(call, ErrorCode::NoUpstream, "no upstream of the service takes requests");
        if (version && !hasUpstream(m_context.upstreams, call->service, now, version))
            return giveUp(call, ErrorCode::NoUpstream,
                          "no upstream of the software version that began the stream takes requests");
        if (!needsLoad)
            return giveUp(call, ErrorCode::NoUpstream, "every upstream of the service has failed the request");
        const bool maySendLater = call->answering && now < windowOf(*call).latestSend();
        if (!m_context.loadOrdersAvailable && !maySendLater)
            return giveUp(call, ErrorCode::AdapterLoadFailed, "no engine has the adapter and none can be loaded now",
                          windowOf(*call).acceptableRetryAfter(now - m_context.loadOutageSince, now));
        const bool isFirst = !m_waiting.contains(call);
        startWaiting(call, WaitCause::Load, now);
        if (isFirst) {
            const auto part = std::chrono::duration_cast<Duration>((call->deadline - now) * maxLoadWaitFraction);
            call->waitUntil = std::min(now + maxLoadWait, call->answering ? windowOf(*call).latestSend() : now + part);
        }
        if (now >= call->waitUntil)
            return giveUp(call, ErrorCode::AdapterLoadFailed, "the adapter was not loaded in time");
        requestLoad(*call, now);
    }

    /// Requests a copy of the call's adapter, other than those that cannot serve the call and the one at @p alsoUnfit.
    /// Sends no request if the last one is recent or the call needs no adapter.
    void requestLoad(Call &call, Instant now, const std::string &alsoUnfit = {})
    {
        if (now - call.loadRequestedAt < loadRequestInterval || adapterOf(call.request.target).empty())
            return;
        call.loadRequestedAt = now;
        auto unfit = saturatedEngines(m_context.upstreams, call.request.target, now);
        unfit.insert(unfit.end(), call.excluded.begin(), call.excluded.end());
        if (!alsoUnfit.empty())
            unfit.push_back(alsoUnfit);
        if (call.streamVersion) {
            const auto others = upstreamsOfOtherSoftware(m_context.upstreams, call.service, *call.streamVersion);
            unfit.insert(unfit.end(), others.begin(), others.end());
        }
        m_context.onLoadRequested(call.service, call.request.target, unfit, call.loadRequests++);
    }

    /// Makes the call wait until @p next, before which every upstream that could serve it applies backpressure; refuses
    /// it if that takes too long.
    void waitOutBackpressure(const CallPtr &call, Instant next, Instant now)
    {
        if (refuseIfCut(call, next))
            return;
        const auto wait = next - now;
        const bool isTooLate = call->answering ? next > windowOf(*call).latestSend()
                                               : wait > (call->deadline - now) * maxBackpressureWaitFraction;
        if (isTooLate)
            return giveUp(call, ErrorCode::Overloaded, "the upstreams want no requests for now", wait);
        call->notBefore = next;
        startWaiting(call, WaitCause::Backpressure, now);
        call->waitUntil = std::max(call->waitUntil, next + maxLoadWait);
        wakeAt(call, next, now);
    }

    void startWaiting(const CallPtr &call, WaitCause cause, Instant now)
    {
        call->waits.begin(cause, now);
        m_waiting.begin(call, waitingOf(*call), cause == WaitCause::Room || cause == WaitCause::Pace, now);
    }

    static MetricLabels labelsOf(const Call &call)
    {
        return {{"class", std::string(nameOf(call.route.kind))}};
    }

    void stopWaiting(const CallPtr &call)
    {
        const auto now = BootClock{}.now();
        const auto waited = m_waiting.end(call, now);
        if (!waited)
            return;
        call->waits.end(now);
        m_metrics.observe(Metric::LoadStallSeconds, labelsOf(*call), *waited, now);
    }

    /// Announces to all nodes that the call is sent as in @p choice. Returns false if there is nothing to announce.
    bool announceSend(const Call &call, const UpstreamChoice &choice, Instant now)
    {
        const bool isCounted = choice.isLimited || choice.isLent;
        if (call.request.promptTokens <= 0 && !isCounted)
            return false;
        m_context.announceSend(
            {choice.instance, call.request.promptTokens, std::max(Duration{}, choice.sendAt - now), isCounted ? 1 : 0},
            now);
        return true;
    }

    /// Returns the call's reservation if the call can be sent there now.
    std::optional<UpstreamChoice> usableReservation(Call &call, Instant now)
    {
        if (!call.reservation)
            return std::nullopt;
        const double share = shareOf(call, now);
        const auto it = m_context.upstreams.all().find(call.reservation->instance);
        if (it == m_context.upstreams.all().end() || !it->second.takesRequests(now) || now < it->second.avoidUntil
            || it->second.inFlight() >= usableSlots(it->second, call.request.target, share, now)
            || wouldStall(it->second, paceOf(call, share, now), m_context.speeds[call.service].speed(), now)
            || !keepsRequestLimit(it->second, *call.reservation, now)
            || (call.reservation->isLent && !isStillLent(it->second, m_context.node, now)))
            return std::nullopt;
        if (call.request.target.empty())
            return call.reservation;
        const auto *copy = it->second.residency.find(call.request.target);
        if (!copy || copy->usableAt > now || copy->version < m_context.minVersion(call.request.target, now))
            return std::nullopt;
        auto choice = *call.reservation;
        choice.version = copy->version;
        return choice;
    }

    /// Returns true if @p upstream does not limit its requests, or if @p reservation is due in its schedule.
    bool keepsRequestLimit(const Upstream &upstream, const UpstreamChoice &reservation, Instant now) const
    {
        if (!upstream.limitsRequests())
            return true;
        const auto due = dueAt(upstream, reservation);
        return reservation.isLimited && due <= now && now - due <= maxReservationDelay;
    }

    /// Returns when a call with @p reservation may be sent to @p upstream, which limits its requests.
    Instant dueAt(const Upstream &upstream, const UpstreamChoice &reservation) const
    {
        return upstream.sends.dueAt(m_context.node, *upstream.requestLimit.perSecond * m_context.limitShare,
                                    reservation.sendAt);
    }

    void send(const CallPtr &call, const UpstreamChoice &choice, Instant now)
    {
        if (call->exchange->hasCallerLeft())
            return onCallerGone(call);
        if (call->sends > 0 && !isPaid(*call) && !takeRepeat(*call, now)) {
            if (returnToHeld(call))
                return;
            if (awaitsEvidence(*call, now))
                return waitFor(call, WaitCause::Reach, evidencePollInterval, now);
            call->mayTryAnother = true;
            return giveUp(call, ErrorCode::UpstreamFailed, "the budget for sending again is used up");
        }
        auto *upstream = m_context.upstreams.find(choice.instance);
        if (call->sends > 0)
            m_metrics.add(Metric::Retries, {{"reason", call->runs > 0 ? "may-have-run" : "not-run"}});
        ++call->sends;
        beginSend(call, now);
        call->instance = choice.instance;
        call->peer.clear();
        SendInstructions instructions{choice.instance, call->deadline - now, {}, {}, {}, call->identity};
        if (!call->request.target.empty()) {
            instructions.priority = call->urgency;
            if (call->number == 1)
                m_context.reserve.onStarted(call->service, call->schedulingUrgency(), tokensOf(*call), now);
            if (const auto it = m_context.declared.find(call->request.target);
                it != m_context.declared.end()
                && (choice.version >= it->second.newest() || it->second.oldestUsable(now) > 0))
                instructions.version = choice.version;
        }
        if (call->lastEvent)
            instructions.resumeAfter = call->lastEvent;
        call->organisationAtSend = call->identity.organisation;
        m_waiting.onSent(call->organisationAtSend, tokensOf(*call));
        call->adapterVersion = choice.version;
        call->processStartedAt = upstream->record.startedAt;
        call->softwareAtSend = upstream->record.softwareVersion;
        if (call->lastEvent)
            m_log.decision(GatewayEvent::StreamResumed, call->request.id, resumedFields(*call));
        call->inFlightAtSend = upstream->inFlight();
        const auto speed = m_context.speeds[call->service].speed();
        call->slownessAtSend = slownessNow(*upstream, speed, now);
        call->limitAtSend = upstream->usableSlots(now);
        if (upstream->limitsRequests())
            m_metrics.add(Metric::LimitedSends, {{"kind", call->sends > 1 ? "repeat" : "first"}});
        else
            upstream->sends.addUnlimited(now);
        if (upstream->ownInFlight == 0)
            upstream->waitingSince = now;
        ++upstream->ownInFlight;
        const bool wasReserved = std::exchange(call->reservation, std::nullopt).has_value();
        const bool isReported = !wasReserved && announceSend(*call, choice, now);
        if (!isReported && isBrittle(call->service) && m_context.onLoadChanged)
            m_context.onLoadChanged(choice.instance);
        call->prefillBacklogAtSend
            = std::max(call->request.promptTokens,
                       upstream->prompts.prefillBacklog(speed.promptTokensPerMs / call->slownessAtSend, now));
        Relay::SendOptions options;
        options.connectTimeout = std::chrono::milliseconds{call->request.target.empty() ? 150 : 300};
        if (!call->route.mayRepeat())
            options.maxIdleAge = std::chrono::seconds{2};
        options.requestId = call->request.id;
        if (call->leftSilent)
            options.maxIdleAge = {}; // A cut may have silenced pooled connections, which do not show it.
        auto request = Dialect::writeRequest(call->exchange->request(), instructions);
        if (call->relayed)
            request.headers = withoutRelayHeaders(std::move(request.headers));
        call->token = m_client.send({upstream->record.endpoint, choice.instance}, request, observerOf(call), options);
    }

    /// Returns true if the next send of a relayed call is a repeat that the other node's allowance has paid for.
    static bool isPaid(const Call &call)
    {
        return call.relayed && call.relayed->isPaid && call.sends == call.relayed->sends;
    }

    bool takeRepeat(Call &call, Instant now)
    {
        call.tookRepeat = m_context.allowance.tryTake(call.service, now);
        return call.tookRepeat;
    }

    /// Gives back the repeat that was taken for the current send, which was not made.
    void giveBackRepeat(Call &call)
    {
        if (std::exchange(call.tookRepeat, false))
            m_context.allowance.giveBack(call.service);
    }

    /// Resets the state of the last send.
    void beginSend(const CallPtr &call, Instant now)
    {
        ++m_stopCounts.sent;
        call->exchange->refuseOnRelease(Verdict::MayHaveRun);
        call->number = ++call->begunSends;
        call->sentAt = now;
        call->lastProgress = now;
        call->reply = {};
        takeBody(*call);
        call->events = std::make_unique<EventSplitter>();
        if (call->lastEvent)
            call->events->resumeAfter(*call->lastEvent, call->hasConsecutiveIds && !call->hasSkippedIds);
        call->eventReceived = false;
        call->isAcquitted = false;
        call->pauses = {};
    }

    /// Returns an observer that passes on what concerns the current send and the held one.
    Relay::ExchangeObserver observerOf(const CallPtr &call)
    {
        const auto forward
            = [weak = std::weak_ptr<Call>(call), number = call->number](auto &&onCurrent, auto &&onHeld) {
                  return [weak, number, onCurrent, onHeld](auto &&...arguments) {
                      const auto observed = weak.lock();
                      if (observed && observed->number == number)
                          onCurrent(observed, arguments...);
                      else if (observed && observed->held && observed->held->number == number)
                          onHeld(observed, arguments...);
                  };
              };
        using Head = Http::ResponseHead;
        using Failure = Relay::FailedExchange;
        Relay::ExchangeObserver observer;
        observer.onHead = forward([this](const CallPtr &current, const Head &head) { onHead(current, head); },
                                  [this](const CallPtr &holder, const Head &head) { onHeldHead(holder, head); });
        observer.onBody = forward([this](const CallPtr &current, std::string_view piece) { onBody(current, piece); },
                                  [this](const CallPtr &holder, std::string_view piece) { onHeldBody(holder, piece); });
        observer.onEnd = forward([this](const CallPtr &current) { onEnd(current); },
                                 [this](const CallPtr &holder) { onHeldEnd(holder); });
        observer.onFailure
            = forward([this](const CallPtr &current, const Failure &failure) { onFailure(current, failure); },
                      [this](const CallPtr &holder, const Failure &failure) { onHeldFailure(holder, failure); });
        return observer;
    }

    /// Marks the current send as ended.
    void release(const CallPtr &call)
    {
        release(*call, *call);
    }

    /// Marks @p send of @p call as ended and removes it from the requests in flight.
    void release(const Call &call, CallSend &send)
    {
        send.token = 0;
        if (!send.peer.empty())
            return m_relay.onEnded(send.peer);
        m_waiting.onEnded(send.organisationAtSend, tokensOf(call));
        auto *upstream = m_context.upstreams.find(send.instance);
        if (!upstream || upstream->record.startedAt != send.processStartedAt || upstream->ownInFlight == 0)
            return;
        const bool wasCrowded = upstream->inFlight() >= crowdedUtilisation * upstream->usableSlots(BootClock{}.now());
        --upstream->ownInFlight;
        upstream->lastEventAt = {};
        if ((isBrittle(upstream->record.service) || (wasCrowded && !call.request.target.empty()))
            && m_context.onLoadChanged)
            m_context.onLoadChanged(send.instance);
        if (m_waiting.hasSeveralUrgencies(upstream->record.service))
            wakeMostUrgent(upstream->record.service);
    }

    /// Ends the current send and the held one, if there are any, as the call has ended for another reason.
    void cancelSend(const CallPtr &call)
    {
        if (call->held)
            dropHeld(call, "the call has ended");
        if (call->token != 0)
            cancelCurrent(call);
    }

    /// Ends the current send. Precondition: there is one.
    void cancelCurrent(const CallPtr &call)
    {
        m_client.cancel(call->token);
        release(call);
        call->verdict = Verdict::MayHaveRun;
        if (!call->peer.empty())
            countRelayed("out", Verdict::MayHaveRun);
    }

    void noteProgress(const CallPtr &call, Instant now)
    {
        call->lastProgress = now;
        if (auto *upstream = m_context.upstreams.find(call->instance))
            upstream->waitingSince = now;
        if (call->peer.empty() && !call->reply.wrongInstance)
            m_context.recordContact(processOf(*call), now, call->sentAt);
    }

    static UpstreamProcess processOf(const CallSend &send)
    {
        return {send.instance, send.processStartedAt};
    }

    void noteResult(const CallSend &send, bool failed)
    {
        if (auto *upstream = m_context.upstreams.find(send.instance); upstream && !upstream->isCutOff)
            noteOutcome(*upstream, failed, BootClock{}.now());
    }

    bool isStream(const Call &call) const
    {
        return isStream(call, call);
    }

    /// Returns true if @p send, whose answer is whole, has brought the end of the stream. Without an event it may be
    /// what is left of a stream whose last event had come, if it is framed as one.
    static bool endsWithStream(const CallSend &send)
    {
        return send.eventReceived || (send.isChunked && send.contentType == "text/event-stream");
    }

    /// Returns true if @p send has brought the head of a stream.
    static bool isStream(const Call &call, const CallSend &send)
    {
        return call.route.kind == RequestKind::Streaming && send.reply.status / 100 == 2;
    }

    void onHead(const CallPtr &call, const Http::ResponseHead &head)
    {
        if (!call->peer.empty())
            return onPeerHead(call, head);
        call->reply = Dialect::readReply(head);
        noteProgress(call, BootClock{}.now());
        if (!isAnswerTo(*call, call->reply))
            return dropSend(call, "the answer is not one to this request");
        if (isStream(*call) && !noteStreamHead(call, head))
            return;
        if (call->reply.notRun)
            m_client.noteRefusal(call->token, call->reply.requestId);
        // An engine also refuses requests whose target it is still loading.
        if (const auto *upstream = m_context.upstreams.find(call->instance);
            upstream && isStillLoading(*upstream, call->request.target, BootClock{}.now()))
            call->reply.statement.isFull = false;
        // A refusal may be made without the upstream's state, so that it does not end a request limit.
        m_context.recordStatement({call->instance, call->processStartedAt}, call->reply.statement, BootClock{}.now(),
                                  call->reply.notRun ? Instant{} : call->sentAt);
    }

    /// Records the head of a stream. Drops the send and returns false if it cannot go on with the answer that has
    /// begun.
    bool noteStreamHead(const CallPtr &call, const Http::ResponseHead &head)
    {
        const auto contentType = head.headers.get("Content-Type");
        call->contentType = std::string(contentType.substr(0, contentType.find(';')));
        call->isChunked = !head.headers.get("Transfer-Encoding").empty();
        if (!call->answering || (head.status == call->answerStatus && call->contentType == call->answerType))
            return true;
        dropSend(call, "the answer is not the rest of the stream");
        return false;
    }

    static bool isAnswerTo(const Call &call, const UpstreamReply &reply)
    {
        // A connection that has brought a refusal without an id is not reused, so that one is not a repetition.
        const bool isOwn = reply.requestId == call.request.id || (reply.notRun && reply.requestId.empty());
        return isOwn && (reply.status / 100 != 2 || (reply.isSigned && !reply.isEncoded));
    }

    void onPeerHead(const CallPtr &call, const Http::ResponseHead &head)
    {
        noteProgress(call, BootClock{}.now());
        auto answer = readRelayedAnswer(head.headers);
        if (!answer && head.status / 100 == 4)
            return leaveUnreadByPeer(call, head.status);
        if (!answer)
            return dropSend(call, "the answer is not one to a relayed call");
        call->peerAnswer = std::move(*answer);
        call->softwareAtSend = call->peerAnswer.streamVersion;
        call->reply.status = head.status;
        call->reply.headers = callerHeadersOf(head.headers);
        const bool hasOtherVersion = call->streamVersion && *call->streamVersion != call->softwareAtSend;
        if (isStream(*call) && hasOtherVersion)
            return dropSend(call, "the stream goes on at another software version");
        if (isStream(*call))
            noteStreamHead(call, head);
    }

    /// Tries another peer, as the server of this one has refused the call unread: the peer states what became of each
    /// call that it has read.
    void leaveUnreadByPeer(const CallPtr &call, unsigned status)
    {
        m_client.cancel(call->token);
        onFailure(call, {Relay::ExchangeFailure::NotConnected, false,
                         "the peer refused the call unread with " + std::to_string(status)});
    }

    /// Cancels the current send and treats it as broken.
    void dropSend(const CallPtr &call, const std::string &reason)
    {
        m_client.cancel(call->token);
        onFailure(call, {Relay::ExchangeFailure::Malformed, true, reason});
    }

    void onBody(const CallPtr &call, std::string_view piece)
    {
        const auto now = BootClock{}.now();
        if (!isStream(*call)) {
            noteProgress(call, now);
            return bufferBody(call, piece);
        }
        const auto events = call->events->feed(piece);
        if (call->events->hasOverflowed())
            return dropSend(call, "an event of the stream has no end");
        const bool isOutOfOrder = call->events->isOutOfOrder();
        if (!events.empty()) // Bytes that complete no event are no progress.
            onEvents(call, events, now);
        if (isOutOfOrder && !call->done)
            dropSend(call, "the events do not go on after the last one");
    }

    /// Passes on complete events of the current send.
    void onEvents(const CallPtr &call, const std::string &events, Instant now)
    {
        if (call->held)
            dropHeld(call, "the upstream has gone silent, and another one goes on");
        noteProgress(call, now);
        if (!std::exchange(call->eventReceived, true)) {
            call->firstEventAt = now;
            if (!call->answering) {
                call->firstEvent = now - call->arrival;
                if (!call->relayed)
                    m_metrics.observe(Metric::FirstTokenSeconds, labelsOf(*call), call->firstEvent, now);
                m_learner.onFirstEvent(learntCallOf(*call), *call, now);
            }
        } else {
            m_learner.onEvent(learntCallOf(*call), *call, now - call->lastEventAt, now);
            if (now - call->firstEventAt > CrashLedger::beginningTime)
                acquit(*call, now);
        }
        if (call->answering)
            notePause(*call, now - call->lastEventAt, now);
        call->lastEventAt = now;
        if (!call->answering) {
            call->answering = true;
            call->answerStatus = call->reply.status;
            call->answerType = call->contentType;
            if (!call->streamVersion) {
                call->streamVersion = call->softwareAtSend;
                m_context.streams.onBegun(originOf(*call), now);
            }
            call->exchange->begin(call->reply.status, answerHeaders(*call, Verdict::MayHaveRun, call->reply.headers),
                                  std::nullopt);
            if (call->done)
                return; // The head could not be sent, as the caller is gone.
        }
        if (call->events->lastId())
            call->lastEvent = call->events->lastId();
        call->hasConsecutiveIds = call->hasConsecutiveIds || call->events->hasFollowed();
        call->hasSkippedIds = call->hasSkippedIds || call->events->hasSkipped();
        call->exchange->write(events);
    }

    /// Precondition: the call's stream has begun.
    static StreamOrigin originOf(const Call &call)
    {
        return {call.streamId, call.service, *call.streamVersion};
    }

    /// Records that the causes of the current send have not crashed its upstream.
    void acquit(Call &call, Instant now)
    {
        if (call.peer.empty() && !std::exchange(call.isAcquitted, true))
            m_context.recordSuccess(call.causes, call.sentAt, now);
    }

    void notePause(Call &call, Duration pause, Instant now)
    {
        call.longestPause = std::max(call.longestPause, pause);
        m_learner.onPause(learntCallOf(call), call, pause, now);
    }

    /// Buffers a piece of an answer until the answer is complete. Drops the send if the answer exceeds its limit, or
    /// all buffered answers exceed theirs.
    void bufferBody(const CallPtr &call, std::string_view piece)
    {
        if (call->body.size() + piece.size() > maxAnswerBytes)
            return dropSend(call, "the answer is too large");
        const bool fits = !m_context.memory || m_context.memory->mayGrow(call->body.size(), piece.size());
        if (!fits || m_bufferedBytes + piece.size() > m_context.maxBufferedAnswerBytes)
            return dropSend(call, "the answers of all requests take too much memory");
        const auto before = call->body.capacity();
        call->body += piece;
        m_bufferedBytes += piece.size();
        charge(before, call->body.capacity());
    }

    std::string takeBody(CallSend &send)
    {
        m_bufferedBytes -= send.body.size();
        auto body = std::exchange(send.body, {});
        charge(body.capacity(), send.body.capacity());
        return body;
    }

    /// Records that the storage of a buffered answer changes from @p before to @p after bytes.
    void charge(std::size_t before, std::size_t after)
    {
        if (m_context.memory)
            m_context.memory->change(nullptr, before, after);
    }

    /// Returns what is learnt from the call's answer.
    LearntCall learntCallOf(const Call &call) const
    {
        const auto *engine = engineOf(call);
        return {call.service,
                call.request.target,
                call.request.promptTokens,
                call.lastEvent.has_value(),
                call.route.longestPause,
                engine ? engine->tokensPerEvent : 1};
    }

    void onEnd(const CallPtr &call)
    {
        release(call);
        if (!call->peer.empty() && !onPeerEnd(call))
            return;
        if (call->reply.notRun)
            return onNotRun(call);
        if (call->reply.status / 100 != 2)
            return onErrorStatus(call);
        if (isStream(*call)) {
            if (call->events->hasPartial() || !call->answering)
                return onBroken(call, "the stream ended inside an event");
            if (!endsWithStream(*call))
                return onBroken(call, "the answer has no event");
            noteResult(*call, false);
            acquit(*call, BootClock{}.now());
            m_context.streams.forget(call->streamId);
            call->verdict = Verdict::Ran;
            if (call->peer.empty())
                m_learner.onStream(learntCallOf(*call), *call, BootClock{}.now());
            logAnswered(*call);
            call->exchange->end();
            return finish(call);
        }
        noteResult(*call, false);
        acquit(*call, BootClock{}.now());
        if (call->request.target.empty() && call->peer.empty())
            m_learner.onAnswer(learntCallOf(*call), *call, BootClock{}.now());
        forwardAnswer(call);
    }

    /// Handles the end of a peer's answer. Returns true if it is that of an upstream, which the caller gets.
    bool onPeerEnd(const CallPtr &call)
    {
        const auto &answer = call->peerAnswer;
        call->sends += answer.sends;
        if (answer.sends == 0)
            giveBackRepeat(*call);
        const auto verdict = isStream(*call) ? Verdict::Ran : answer.verdict;
        countRelayed("out", verdict);
        const bool isFailure = verdict == Verdict::Ran && call->reply.status / 100 != 2;
        // An answer that has begun, or may still come from the held send, is not replaced by a failure.
        if (verdict == Verdict::Ran && !(isFailure && (call->answering || call->held))) {
            if (!isStream(*call))
                forwardAnswer(call);
            return isStream(*call);
        }
        call->runs += answer.runs;
        call->failedPeers.push_back(call->peer);
        if (isFailure) {
            noteMayHaveRun(call, "the upstream of the peer has failed the call");
            onBrokenByPeer(call);
        } else if (verdict == Verdict::NotRun) {
            onPeerRefusal(call);
        } else {
            noteMayHaveRun(call, "the upstream of the peer failed", 0);
            onBrokenByPeer(call);
        }
        return false;
    }

    /// Handles a peer's statement that it has not run the call.
    void onPeerRefusal(const CallPtr &call)
    {
        m_log.decision(GatewayEvent::NotRunByUpstream, call->request.id,
                       {{"peer", call->peer}, {"status", std::to_string(call->reply.status)}});
        call->peerRetryAfter = retryAfterOf(call->reply.headers);
        if (returnToHeld(call))
            return;
        // The peer's configuration is not older, so that a key that it does not know is not valid any more.
        call->isServedHere = !call->peerAnswer.mayTryAnother && call->reply.status != 401 && canBeServedHere(*call);
        if (call->peerAnswer.mayTryAnother || call->isServedHere)
            return retry(call);
        const auto status = call->reply.status;
        auto reason = takeBody(*call);
        while (reason.ends_with('\n'))
            reason.pop_back();
        if (call->answering)
            return abortAnswer(call, reason);
        if (call->verdict != Verdict::NotRun)
            return refuse(call, 502, ErrorCode::UpstreamFailed, reason, {});
        refuse(call, status, refusalCodeOf(status), reason, call->peerRetryAfter);
    }

    /// Returns true if an upstream that this node reaches can serve the call in time.
    bool canBeServedHere(const Call &call)
    {
        const auto now = BootClock{}.now();
        const auto direct = choose(call, now);
        return direct && !direct->isSuspect && direct->sendAt <= windowOf(call).latestSend();
    }

    void onBrokenByPeer(const CallPtr &call)
    {
        const auto status = call->reply.status;
        if (returnToHeld(call))
            return;
        if (mayRunAgain(*call))
            return retry(call);
        if (call->answering)
            return abortAnswer(call, "the upstream of the peer failed");
        refuse(call, status == 504 ? 504 : 502, status == 504 ? ErrorCode::DeadlineExceeded : ErrorCode::UpstreamLost,
               "the upstream of the peer failed", {});
    }

    void countRelayed(const char *direction, Verdict verdict)
    {
        m_metrics.add(Metric::RelayedCalls, {{"direction", direction}, {"verdict", std::string(nameOf(verdict))}});
    }

    /// Handles the end of the connection to a peer, or its failure.
    void onPeerFailure(const CallPtr &call, const Relay::FailedExchange &failure)
    {
        call->failedPeers.push_back(call->peer);
        const bool isNotRun = failure.kind == Relay::ExchangeFailure::NotConnected || !failure.sent;
        countRelayed("out", isNotRun ? Verdict::NotRun : Verdict::MayHaveRun);
        if (isNotRun) {
            giveBackRepeat(*call);
            m_log.decision(GatewayEvent::SendFailed, call->request.id,
                           {{"peer", call->peer}, {"reason", failure.reason}, {"verdict", "not-run"}});
            return retry(call);
        }
        call->sends += std::max(1U, call->peerAnswer.sends);
        call->runs += call->peerAttempts - 1;
        onBroken(call, failure.reason);
    }

    void onFailure(const CallPtr &call, const Relay::FailedExchange &failure)
    {
        release(call);
        if (!call->peer.empty())
            return onPeerFailure(call, failure);
        const auto now = BootClock{}.now();
        noteReachFailure(*call, *call, failure, now);
        if (failure.kind == Relay::ExchangeFailure::NotConnected || !failure.sent) {
            --call->sends;
            giveBackRepeat(*call);
            m_monitor.avoid(call->instance, now);
            if (failure.isRefused)
                m_monitor.onCrashed(call->instance, now);
            m_log.decision(GatewayEvent::SendFailed, call->request.id,
                           {{"upstream", call->instance}, {"reason", failure.reason}, {"verdict", "not-run"}});
            return retryUnconnected(call, now);
        }
        if (failure.kind == Relay::ExchangeFailure::Broken)
            noteBroken(*call, *call, now);
        onBroken(call, failure.reason);
    }

    /// Records that the connection of @p send to an upstream was not made or has broken. Bytes that are no response
    /// tell nothing about the path.
    void noteReachFailure(Call &call, const CallSend &send, const Relay::FailedExchange &failure, Instant now)
    {
        if (failure.kind == Relay::ExchangeFailure::Malformed)
            return;
        call.brokenAt = now;
        const bool isUnconnected = failure.kind == Relay::ExchangeFailure::NotConnected;
        const auto unconnected = failure.isLate ? ReachFailure::Unanswered : ReachFailure::NotConnected;
        m_context.recordFailure(processOf(send), isUnconnected ? unconnected : ReachFailure::Broken, now);
    }

    /// Sends the call to another upstream, as the current one has accepted no connection; after a delay if there is
    /// none or several have failed it.
    void retryUnconnected(const CallPtr &call, Instant now)
    {
        ++call->unconnected;
        call->excluded.push_back(call->instance);
        if (returnToHeld(call))
            return;
        if (call->unconnected <= maxImmediateReconnects && choose(*call, now))
            return retry(call);
        const auto doublings = std::min(call->unconnected / maxImmediateReconnects, maxRetryDelayDoublings);
        call->notBefore = now + refusalRetryDelay * (1U << doublings);
        startWaiting(call, WaitCause::Connection, now);
        call->waitUntil = std::max(call->waitUntil, now + maxLoadWait);
        wakeAt(call, call->notBefore, now);
    }

    /// Handles an upstream's statement that it has not run the request.
    void onNotRun(const CallPtr &call)
    {
        const auto now = BootClock{}.now();
        ++call->refused;
        auto *upstream = m_context.upstreams.find(call->instance);
        m_log.decision(GatewayEvent::NotRunByUpstream, call->request.id,
                       {{"upstream", call->instance}, {"status", std::to_string(call->reply.status)}});
        if (call->reply.wrongInstance && upstream) {
            // The upstream does not hold the adapter (any more), or the process has changed.
            if (isStillLoading(*upstream, call->request.target, now)) {
                waitForLateLoad(*call, *upstream, now);
            } else if (!call->request.target.empty()) {
                upstream->residency.onDropped(call->request.target, now);
                m_context.onMissing(call->instance, call->request.target);
            } else {
                upstream->avoidUntil = now + avoidanceTime;
            }
        } else if (upstream && upstream->takesRequests(now)) {
            if (isStillLoading(*upstream, call->request.target, now))
                waitForLateLoad(*call, *upstream, now);
            else
                upstream->avoidUntil = now + refusalRetryDelay;
        }
        if (returnToHeld(call))
            return;
        if (call->refused > maxRefusedSends)
            return giveUp(call, ErrorCode::UpstreamRefused, "the upstreams have no room");
        if (call->notBefore > now)
            return waitUntilNotBefore(call, WaitCause::LoadInProgress, now);
        if (call->runs > 0 && !choose(*call, now, call->instance)) {
            call->notBefore = now + refusalDelay(*call);
            return waitUntilNotBefore(call, WaitCause::Room, now);
        }
        retry(call);
    }

    void waitUntilNotBefore(const CallPtr &call, WaitCause cause, Instant now)
    {
        startWaiting(call, cause, now);
        call->waitUntil = std::max(call->waitUntil, now + maxLoadWait);
        wakeAt(call, call->notBefore, now);
    }

    /// Returns the delay before a call is sent again to the upstream that has refused it.
    static Duration refusalDelay(const Call &call)
    {
        return refusalRetryDelay * (1U << std::min(call.refused, maxRetryDelayDoublings));
    }

    /// Delays the call and all others that wait for the same load, and notifies the lease holder.
    void waitForLateLoad(Call &call, Upstream &upstream, Instant now)
    {
        const auto &target = call.request.target;
        const auto pause = refusalDelay(call);
        upstream.residency.onLoading(target, upstream.residency.find(target)->version, now + pause, now);
        call.notBefore = now + pause;
        m_context.onMissing(call.instance, target);
    }

    void onErrorStatus(const CallPtr &call)
    {
        noteResult(*call, call->reply.status >= 500);
        ++call->runs;
        call->verdict = Verdict::MayHaveRun;
        if (returnToHeld(call))
            return;
        if (call->reply.status >= 500 && mayRunAgain(*call))
            return retryElsewhere(call);
        if (call->answering)
            return abortAnswer(call, "the upstream failed");
        // Callers may conclude from these statuses that the request was not run.
        const bool impliesNotRun = call->reply.status == 503 || call->reply.status == 429 || call->reply.status == 408
                                   || call->reply.status == 421;
        if (!call->reply.isSigned || impliesNotRun)
            return giveUp(call, ErrorCode::UpstreamFailed, "the upstream failed the request");
        forwardAnswer(call);
    }

    /// Records that the current send has failed after its upstream may have run the request.
    void noteMayHaveRun(const CallPtr &call, const std::string &reason, unsigned runs = 1)
    {
        noteResult(*call, true);
        call->runs += runs;
        call->verdict = Verdict::MayHaveRun;
        m_log.decision(
            GatewayEvent::SendFailed, call->request.id,
            {{"upstream", call->instance}, {"peer", call->peer}, {"reason", reason}, {"verdict", "may-have-run"}});
    }

    void onBroken(const CallPtr &call, const std::string &reason)
    {
        noteMayHaveRun(call, reason);
        if (call->held && call->peer.empty())
            call->excluded.push_back(call->instance);
        if (returnToHeld(call))
            return;
        if (mayRunAgain(*call))
            return retryElsewhere(call);
        if (call->answering)
            return abortAnswer(call, reason);
        giveUp(call, ErrorCode::UpstreamLost, reason);
    }

    /// Returns the number of sends that an upstream may run, those of other nodes included.
    static unsigned attemptsOf(const Call &call)
    {
        return call.relayed ? call.relayed->runs + call.relayed->attempts : call.route.attempts;
    }

    bool mayRunAgain(const Call &call) const
    {
        if (!call.route.mayRepeat() || call.runs >= attemptsOf(call) || BootClock{}.now() >= call.deadline)
            return false;
        // A stream whose events carry no ids cannot be resumed at another upstream.
        return !call.answering || call.lastEvent.has_value();
    }

    void retry(const CallPtr &call)
    {
        if (returnToHeld(call))
            return;
        if (BootClock{}.now() >= call->deadline)
            return giveUp(call, ErrorCode::DeadlineExceeded, "the time is over");
        proceed(call);
    }

    /// Sends the call again, but not to the upstream that may have run it.
    void retryElsewhere(const CallPtr &call)
    {
        if (call->peer.empty())
            call->excluded.push_back(call->instance);
        retry(call);
    }

    /// Logs a stream that missed its latency objective or paused for too long; logs every stream at the detailed level.
    void logAnswered(const Call &call)
    {
        if (!isLate(call) && !m_log.isDetailed())
            return;
        auto fields = answeredFields(call, BootClock{}.now());
        if (m_log.isDetailed())
            m_log.detail(GatewayEvent::Answered, call.request.id, std::move(fields));
        else
            m_log.decision(GatewayEvent::Answered, call.request.id, std::move(fields));
    }

    /// Forwards the upstream's complete answer to the caller unchanged.
    void forwardAnswer(const CallPtr &call)
    {
        call->verdict = Verdict::Ran;
        call->exchange->respond(
            {call->reply.status, answerHeaders(*call, Verdict::Ran, call->reply.headers), takeBody(*call)});
        finish(call);
    }

    /// Returns the headers of an answer to the call: @p headers, and its state if another node has passed it on.
    static Http::Headers answerHeaders(const Call &call, Verdict verdict, const Http::Headers &headers)
    {
        if (!call.relayed)
            return headers;
        return writeRelayedAnswer(headers, {verdict, call.sends - call.relayed->sends, call.runs - call.relayed->runs,
                                            call.softwareAtSend, call.mayTryAnother});
    }

    /// Refuses a call that another node has passed on, before it is decoded.
    void refuseRelayed(const CallPtr &call, ErrorCode code, const std::string &reason)
    {
        call->mayTryAnother = true;
        refuse(call, 503, code, reason, {});
    }

    void abortAnswer(const CallPtr &call, const std::string &reason)
    {
        call->code = nameOf(ErrorCode::UpstreamLost);
        m_log.decision(GatewayEvent::BrokenOff, call->request.id, brokenOffFields(*call, reason));
        noteStreamBroken(*call);
        call->exchange->abort();
        finish(call);
    }

    /// Tells all nodes that the call's stream broke off, as its caller may take it up at any of them.
    void noteStreamBroken(const Call &call)
    {
        if (call.answering && call.streamVersion && call.route.canResume && m_context.onStreamBroken)
            m_context.onStreamBroken(originOf(call));
    }

    /// Fails the call. A request that was not run may be retried by its caller. It gets a Retry-After: @p servedIn if
    /// that is given, otherwise one that depends on the time left, unless it would be refused again or too little time
    /// is left.
    void giveUp(const CallPtr &call, ErrorCode code, const std::string &reason,
                std::optional<Duration> servedIn = std::nullopt)
    {
        if (call->answering)
            return abortAnswer(call, reason);
        const auto now = BootClock{}.now();
        if (call->verdict == Verdict::NotRun) {
            const auto left = call->deadline - now;
            auto retryAfter = servedIn;
            const bool isFinal
                = code == ErrorCode::Quarantined || code == ErrorCode::StreamUnknown || code == ErrorCode::Unauthorized;
            if (!retryAfter && !isFinal && left > std::chrono::milliseconds{100})
                retryAfter = std::min<Duration>(std::chrono::seconds{1}, windowOf(*call).longestRetryAfter(now));
            return refuse(call, refusalStatusOf(code), code, reason, retryAfter);
        }
        refuse(call, code == ErrorCode::DeadlineExceeded ? 504 : 502, code, reason, {});
    }

    void refuse(const CallPtr &call, unsigned status, ErrorCode code, const std::string &reason,
                std::optional<Duration> retryAfter)
    {
        call->code = nameOf(code);
        const auto now = BootClock{}.now();
        call->waits.end(now);
        auto fields = refusedFields(*call, status, code, reason, now);
        addLimit(fields, m_context.fleetAllowance, call->identity.organisation, now);
        if (!call->service.empty())
            addPlaces(fields, *call, countUpstreams(m_context.upstreams, demandOf(*call, now), now));
        addConfiguration(fields, m_context.routes.get(), m_context.configuredAt, now);
        addWaits(fields, *call);
        m_log.decision(GatewayEvent::Refused, call->request.id, std::move(fields));
        const auto headers = refusalHeaders(retryAfter);
        call->exchange->respond({status, answerHeaders(*call, call->verdict, headers), reason + '\n'});
        finish(call);
    }

    void cut(const CallPtr &call)
    {
        ++m_stopCounts.cut;
        m_log.decision(GatewayEvent::CutByExit, call->request.id, cutFields(*call, BootClock{}.now()));
        cancelSend(call);
        refuseStopping(call);
    }

    /// Refuses the call so that it is tried elsewhere, or fails it if it may have run.
    void refuseStopping(const CallPtr &call)
    {
        call->mayTryAnother = true;
        giveUp(call, ErrorCode::Stopping, "the node stops",
               othersTakeCalls() ? std::optional(elsewhereRetryAfter) : std::nullopt);
    }

    bool othersTakeCalls() const
    {
        return m_context.relayPeers && !m_context.relayPeers().empty();
    }

    /// Returns the latest time to send the call so that this node, which stops, need not cut it. Precondition: the node
    /// stops.
    Instant latestSendBeforeExit(const Call &call)
    {
        return m_stop->latestSend(lengthOf(call), othersTakeCalls());
    }

    /// Refuses the call if this node stops and the call, sent at @p sendAt, would not end before. Returns true if so.
    bool refuseIfCut(const CallPtr &call, Instant sendAt)
    {
        if (!m_stop || (!m_isOver && sendAt <= latestSendBeforeExit(*call)))
            return false;
        ++m_stopCounts.refused;
        refuseStopping(call);
        return true;
    }

    /// Returns how long the call takes at its upstream, by what answers of its service have taken lately.
    CallLength lengthOf(const Call &call)
    {
        const CallLength length{call.arrival, call.deadline, {}, {}, call.route.mayRepeat()};
        const auto speed = m_context.speeds[call.service].speed();
        if (call.route.kind != RequestKind::Streaming && call.request.target.empty())
            return answerLength(length, speed, silenceInAnswerTimes);
        return streamLength(length, speed, call.request.promptTokens, call.request.outputTokens);
    }

    void onCallerGone(const CallPtr &call)
    {
        if (call->done)
            return;
        call->code = "caller_gone";
        noteStreamBroken(*call);
        cancelSend(call);
        finish(call);
    }

    void finish(const CallPtr &call)
    {
        if (call->done)
            return;
        call->done = true;
        stopWaiting(call);
        if (call->held)
            dropHeld(call, "the upstream has gone silent, and another one has answered");
        takeBody(*call);
        const auto now = BootClock{}.now();
        withdrawReservation(*call, now);
        countEnded(*call, now);
        settleCharge(m_context.fleetAllowance, call->charge, call->verdict, now);
        const bool wasRouted = m_calls.erase(call) > 0;
        if (wasRouted && call->relayed)
            --m_relayedCalls;
        if (wasRouted && !call->request.target.empty()) {
            auto &use = m_context.uses[call->request.target];
            if (use.inFlight > 0)
                --use.inFlight;
        }
        call->exchange.reset();
    }

    /// Counts the end of the call. The node that the caller chose counts it as a request.
    void countEnded(const Call &call, Instant now)
    {
        if (call.relayed)
            return countRelayed("in", call.verdict);
        auto labels = labelsOf(call);
        m_metrics.observe(Metric::RequestSeconds, labels, now - call.arrival, now);
        labels["verdict"] = std::string(nameOf(call.verdict));
        labels["code"] = std::string(call.code);
        m_metrics.add(Metric::Requests, labels);
    }

    void sweepCall(const CallPtr &call, Instant now)
    {
        if (call->done)
            return;
        if (now > call->deadline + deadlineMargin) {
            cancelSend(call);
            return giveUp(call, ErrorCode::DeadlineExceeded, "the time is over");
        }
        if (m_waiting.contains(call))
            return proceed(call);
        if (call->token == 0)
            return;
        if (call->held && mustNotBegin(*call, *call->held, now))
            dropHeld(call, supersededReason);
        if (mustNotBegin(*call, *call, now))
            return leaveSupersededCopy(call);
        if (call->peer.empty() && call->route.kind == RequestKind::Streaming
            && isQuiet(*call, longestSilence(*call) / 2, now))
            m_context.recordFailure(processOf(*call), ReachFailure::Silent, now);
        if (!isSilent(*call, now))
            return;
        if (call->held)
            leaveSilentReplacement(call, now);
        else
            moveFromSilentUpstream(call, now);
    }

    /// Returns true if the stream of @p send has not begun and must not begin any more on the version of the adapter to
    /// which it was sent. Other calls do not show when they begin.
    bool mustNotBegin(const Call &call, const CallSend &send, Instant now) const
    {
        if (!send.peer.empty() || call.route.kind != RequestKind::Streaming || send.eventReceived)
            return false;
        const auto it = m_context.declared.find(call.request.target);
        return it != m_context.declared.end() && send.adapterVersion < it->second.oldestBeginning(now);
    }

    void leaveSupersededCopy(const CallPtr &call)
    {
        m_client.cancel(call->token);
        release(call);
        onBroken(call, supersededReason);
    }

    /// Returns true if neither the call nor any other of this node at its upstream has made progress for @p time.
    bool isQuiet(const Call &call, Duration time, Instant now) const
    {
        const auto it = m_context.upstreams.all().find(call.instance);
        return it != m_context.upstreams.all().end() && now - call.lastProgress > time
               && now - it->second.waitingSince > time;
    }

    /// Returns true if the call's peer shows no sign of life: neither reports nor progress.
    bool isPeerLost(const Call &call, Instant now) const
    {
        return !call.peer.empty() && m_context.isPeerLive && !m_context.isPeerLive(call.peer)
               && now - call.lastProgress > defaultSilence;
    }

    bool isSilent(const Call &call, Instant now) const
    {
        if (!mayRunAgain(call) || call.runs + 1 >= attemptsOf(call))
            return false;
        if (!call.peer.empty())
            return isPeerLost(call, now)
                   || (call.eventReceived && now - call.lastProgress > peerSilenceFactor * longestSilence(call));
        const auto it = m_context.upstreams.all().find(call.instance);
        if (it == m_context.upstreams.all().end())
            return now - call.lastProgress > defaultSilence;
        const auto longest = longestSilence(call);
        return isQuiet(call, it->second.isCutOff ? std::min<Duration>(longest, minSilence) : longest, now);
    }

    Duration longestSilence(const Call &call) const
    {
        if (call.route.kind == RequestKind::Streaming)
            return call.route.longestPause > Duration{} ? silenceInPauses * call.route.longestPause : defaultSilence;
        const auto speeds = m_context.speeds.find(call.service);
        const Estimates::Speed usual;
        const double answerMs = speeds == m_context.speeds.end() ? usual.answerMs : speeds->second.speed().answerMs;
        return std::max(minSilence, Duration{static_cast<std::int64_t>(silenceInAnswerTimes * answerMs * 1000)});
    }

    /// Sends the call to another upstream if one takes it at once. It stays at its own one, which may be sound and go
    /// on, until the other one goes on with the answer.
    void moveFromSilentUpstream(const CallPtr &call, Instant now)
    {
        if (now < call->moveAt || (m_stop && now > latestSendBeforeExit(*call)) || !keepsAccess(*call))
            return;
        if (!m_context.allowance.hasRoom(call->service, now) || m_context.crashes.verdictOn(call->causes))
            return;
        const auto other = call->refused > maxRefusedSends ? std::nullopt : choose(*call, now, call->instance);
        if (!other || other->isFull || other->isSuspect || other->sendAt > now)
            return moveToPeer(call, now);
        if (!isVerified(call, other->instance, now))
            return;
        hold(call, now);
        send(call, *other, now);
    }

    bool isCutOff(const std::string &instance) const
    {
        const auto it = m_context.upstreams.all().find(instance);
        return it != m_context.upstreams.all().end() && it->second.isCutOff;
    }

    /// Passes the call on to a peer if this node is cut off from the upstream that has gone silent, or if the call is
    /// at another peer, and one takes it.
    void moveToPeer(const CallPtr &call, Instant now)
    {
        if (call->relayed || (call->peer.empty() && !isCutOff(call->instance)))
            return;
        auto tried = call->failedPeers;
        if (!call->peer.empty())
            tried.push_back(call->peer);
        const auto *version = call->streamVersion ? &*call->streamVersion : nullptr;
        const auto upstreams = m_relay.upstreamsBehindCut(call->service, call->request.target, version, now);
        if (!mayTryPeer(*call, tried))
            return;
        if (!m_relay.choose(call->request.id, upstreams, tried, now)) {
            call->failedPeers.clear(); // They may have room by now.
            call->moveAt = now + moveDelay(*call);
            return;
        }
        hold(call, now);
        if (!relay(call, false, now))
            returnToHeld(call);
    }

    /// Returns the delay before a call at a silent upstream is tried elsewhere again.
    static Duration moveDelay(const Call &call)
    {
        return refusalRetryDelay * (1U << std::min(call.failedMoves, maxRetryDelayDoublings));
    }

    /// Keeps the current send, which has gone silent, while another one is tried.
    void hold(const CallPtr &call, Instant now)
    {
        call->countedRuns = call->peer.empty() ? 1 : call->peerAttempts;
        call->countedSends = call->peer.empty() ? 0 : std::max(1U, call->peerAnswer.sends);
        call->runs += call->countedRuns;
        call->sends += call->countedSends;
        call->verdict = Verdict::MayHaveRun;
        if (call->peer.empty()) {
            call->leftSilent = true;
            m_context.recordFailure(processOf(*call), ReachFailure::Silent, now); // Is probed over a new connection.
            avoidSilent(*call, call->instance, now);
        } else {
            call->failedPeers.push_back(call->peer);
        }
        m_log.decision(GatewayEvent::SendHeld, call->request.id,
                       {{"upstream", call->instance},
                        {"peer", call->peer},
                        {"cut_off", isCutOff(call->instance) ? "yes" : "no"},
                        {"silent_ms", std::to_string((now - call->lastProgress).count() / 1000)},
                        {"answering", call->answering ? "yes" : "no"},
                        {"failed_moves", std::to_string(call->failedMoves)}});
        call->held = std::make_unique<CallSend>(std::exchange(static_cast<CallSend &>(*call), {}));
    }

    /// Makes the held send the current one again, and ends the one that was to replace it. Returns false if there is
    /// none.
    bool returnToHeld(const CallPtr &call)
    {
        if (!call->held)
            return false;
        const auto now = BootClock{}.now();
        if (call->token != 0) {
            const auto runs = call->peer.empty() ? 1 : call->peerAttempts;
            cancelCurrent(call);
            call->runs += runs;
        }
        takeBody(*call);
        auto &send = static_cast<CallSend &>(*call);
        send = std::move(*std::exchange(call->held, nullptr));
        call->runs -= std::exchange(send.countedRuns, 0);
        call->sends -= std::exchange(send.countedSends, 0);
        call->verdict = call->runs > (call->relayed ? call->relayed->runs : 0) ? Verdict::MayHaveRun : Verdict::NotRun;
        std::erase(call->excluded, send.instance);
        std::erase(call->silent, send.instance);
        std::erase(call->failedPeers, send.peer);
        ++call->failedMoves;
        call->moveAt = now + moveDelay(*call);
        return true;
    }

    /// Ends the held send, as its upstream has failed or another one goes on with the answer.
    void dropHeld(const CallPtr &call, const std::string &reason)
    {
        const auto held = std::exchange(call->held, nullptr);
        m_client.cancel(held->token);
        release(*call, *held);
        takeBody(*held);
        noteResult(*held, true);
        if (!held->peer.empty())
            countRelayed("out", Verdict::MayHaveRun);
        m_log.decision(GatewayEvent::SendFailed, call->request.id,
                       {{"upstream", held->instance},
                        {"peer", held->peer},
                        {"reason", reason},
                        {"verdict", std::string(nameOf(Verdict::MayHaveRun))}});
    }

    /// Goes back to the held send when its upstream answers after all; drops it if that refuses or fails the call.
    void onHeldHead(const CallPtr &call, const Http::ResponseHead &head)
    {
        const bool isFromPeer = !call->held->peer.empty();
        if (head.status / 100 != 2 || (!isFromPeer && !isAnswerTo(*call, Dialect::readReply(head))))
            return dropHeld(call, "the upstream has failed the call after a silence");
        returnToHeld(call);
        onHead(call, head);
    }

    void onHeldBody(const CallPtr &call, std::string_view piece)
    {
        auto &held = *call->held;
        if (!isStream(*call, held)) {
            returnToHeld(call);
            return onBody(call, piece);
        }
        const auto events = held.events->feed(piece);
        if (held.events->hasOverflowed() || held.events->isOutOfOrder())
            return dropHeld(call, "the stream does not go on");
        if (events.empty())
            return;
        returnToHeld(call);
        onEvents(call, events, BootClock{}.now());
    }

    void onHeldEnd(const CallPtr &call)
    {
        const auto &held = *call->held;
        if (isStream(*call, held) && (held.events->hasPartial() || !endsWithStream(held)))
            return dropHeld(call, "the stream ended inside an event");
        returnToHeld(call);
        onEnd(call);
    }

    void onHeldFailure(const CallPtr &call, const Relay::FailedExchange &failure)
    {
        const auto now = BootClock{}.now();
        const auto &held = *call->held;
        if (held.peer.empty())
            noteReachFailure(*call, held, failure, now);
        if (held.peer.empty() && failure.kind == Relay::ExchangeFailure::Broken && failure.sent)
            noteBroken(*call, held, now);
        dropHeld(call, failure.reason);
    }

    /// Gives up a replacement that has gone silent too, so that a further one can be tried.
    void leaveSilentReplacement(const CallPtr &call, Instant now)
    {
        const auto instance = call->instance;
        const auto peer = call->peer;
        returnToHeld(call);
        if (!peer.empty()) {
            call->failedPeers.push_back(peer);
            return;
        }
        avoidSilent(*call, instance, now);
    }

    /// Excludes an upstream that has gone silent, until no other one is left.
    void avoidSilent(Call &call, const std::string &instance, Instant now)
    {
        m_monitor.avoid(instance, now);
        call.excluded.push_back(instance);
        call.silent.push_back(instance);
    }

    void noteBroken(const Call &call, const CallSend &send, Instant now)
    {
        std::optional<CrashSuspect> suspect;
        if (!send.eventReceived || now - send.firstEventAt < CrashLedger::beginningTime)
            suspect = CrashSuspect{call.causes.front().id, call.request.sharedParts};
        m_monitor.onBroken(processOf(send), std::move(suspect), !call.request.target.empty(), now);
    }

    Http::EventLoop &m_loop;
    CallContext &m_context;
    GatewayLog &m_log;
    Metrics &m_metrics;
    Scheduling::WaitingQueue<CallPtr> m_waiting; ///< Outlives the calls and their sends, whose ends it records.
    std::set<std::string> m_waking; ///< Services for which wakeMostUrgent() has been scheduled.
    Client m_client;
    std::unordered_set<CallPtr> m_calls;
    std::vector<CallPtr> m_unrouted; ///< Calls that wait for the node's first configuration.
    UpstreamMonitor<Dialect, Client> m_monitor;
    CallRelay m_relay;
    CapacityLearner m_learner;
    std::size_t m_relayedCalls = 0; ///< Routed calls of other nodes.
    std::optional<StopSchedule> m_stop; ///< Set from SIGTERM on.
    bool m_isOver = false; ///< The calls have been ended, as the process exits.
    StopCounts m_stopCounts;
    std::size_t m_bufferedBytes = 0; ///< Size of the buffered parts of answers that are not complete yet.
};

} // namespace Gypsumtally::Gateway
