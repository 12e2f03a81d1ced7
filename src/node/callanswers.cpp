#include "node/calltable.h"

#include "entry/failureresponse.h"
#include "upstream/engineprotocol.h"

#include <utility>

namespace Gypsumtally
{

namespace
{

constexpr Duration placementRetryDelay = std::chrono::milliseconds{50};
constexpr Duration placementRetryTimeout = std::chrono::seconds{2};
/// Limit on the upstreams lost while running a call: after two, the call may be the cause and is not retried.
constexpr std::uint32_t maxCrashes = 2;
constexpr unsigned httpOk = 200;
constexpr unsigned httpUnavailable = 503;

bool isEventStream(const Http::Headers &headers)
{
    return headers.get("Content-Type").starts_with("text/event-stream");
}

} // namespace

// Responses to attempts

void CallTable::onHead(Call &call, unsigned status, const Http::Headers &headers)
{
    call.answer.status = status;
    call.answer.headers = headers;
    call.answer.isStream = status == httpOk && isEventStream(headers) && call.stage != CallStage::AtService;
}

void CallTable::onPiece(Call &call, std::string_view bytes)
{
    if (!call.answer.isStream) {
        call.answer.body += bytes;
        return;
    }
    for (auto &item : call.answer.events.feed(bytes)) {
        if (item.kind == EventStream::Kind::Error) {
            call.answer.streamFailure = parseFailure(EventStream::dataOf(item.text));
            continue;
        }
        if (item.kind == EventStream::Kind::Token)
            ++call.tokensSent;
        forwardEvent(call, std::move(item.text));
    }
}

void CallTable::forwardEvent(Call &call, std::string event)
{
    if (call.callerGone)
        return;
    if (!call.begun) {
        call.begun = true;
        call.firstToken = m_context.io.now();
        m_context.io.emit(ReplyBegin{call.id(),
                                     httpOk,
                                     {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-cache"},
                                      {HeaderName::verdict, std::string(nameOf(Verdict::MayHaveRun))}}});
    }
    m_context.io.emit(ReplyPiece{call.id(), std::move(event)});
}

void CallTable::onEnd(Call &call)
{
    call.exchange.reset();
    if (isAnswerComplete(call)) {
        trackEnd(call, true);
        endOwnedRequest(call, SendOutcome::Done);
        succeed(call);
        return;
    }
    auto failure = readFailure(call);
    call.isUpstreamLost = failure.code == ErrorCode::UpstreamLost && failure.verdict == Verdict::MayHaveRun;
    trackEnd(call, false);
    endOwnedRequest(call, failure.verdict == Verdict::NotRun ? SendOutcome::Refused : SendOutcome::Done);
    attemptFailed(call, std::move(failure));
}

bool CallTable::isAnswerComplete(const Call &call) const
{
    if (call.answer.isStream)
        return call.answer.events.isDone();
    if (call.stage == CallStage::AtService)
        return !isServiceRefusal(call);
    return call.answer.status == httpOk;
}

bool CallTable::isServiceRefusal(const Call &call) const
{
    return call.answer.status == httpUnavailable && call.answer.headers.get("X-Not-Started") == "true";
}

Failure CallTable::readFailure(const Call &call) const
{
    if (call.answer.isStream)
        return call.answer.streamFailure.value_or(
            Failure{Verdict::MayHaveRun, ErrorCode::UpstreamLost, "the answer was cut", std::nullopt});
    if (call.stage == CallStage::AtPeer) {
        if (auto failure = parseFailure(call.answer.body))
            return *failure;
    }
    if (call.stage == CallStage::AtService)
        return {Verdict::NotRun, ErrorCode::UpstreamRefused, "the worker refused the call", std::nullopt};
    return parseEngineError(call.answer.status, call.answer.body);
}

void CallTable::onTransportFailure(Call &call, const Http::TransportFailure &failure)
{
    call.exchange.reset();
    call.isUpstreamLost = call.stage == CallStage::AtEngine && failure.sent && !failure.timedOut;
    if (call.isUpstreamLost)
        reportCrash(call);
    trackEnd(call, false);
    endOwnedRequest(call, outcomeOf(failure));
    if (call.stage != CallStage::AtPeer)
        m_context.membership.contactFailed(call.upstream, m_context.io.now());
    attemptFailed(call, {failure.sent ? Verdict::MayHaveRun : Verdict::NotRun, ErrorCode::UpstreamLost, failure.reason,
                         std::nullopt});
}

void CallTable::upstreamLost(const UpstreamId &upstream)
{
    failExchanges(
        CallStage::AtEngine, [&](const Call &call) { return call.upstream == upstream; },
        "the upstream does not answer");
}

void CallTable::peerSilent(const NodeId &node)
{
    failExchanges(
        CallStage::AtPeer, [&](const Call &call) { return call.node == node; }, "the owner's node does not answer");
}

void CallTable::failExchanges(CallStage stage, const std::function<bool(const Call &)> &isAffected,
                              const std::string &reason)
{
    std::vector<CallId> lost;
    for (const auto &[id, call] : m_calls) {
        if (call->stage == stage && isAffected(*call))
            lost.push_back(id);
    }
    for (const auto id : lost) {
        auto *call = find(id);
        if (!call)
            continue;
        if (call->exchange)
            m_context.io.cancel(*call->exchange);
        onTransportFailure(*call, {true, true, reason});
    }
}

void CallTable::endOwnedRequest(Call &call, SendOutcome outcome)
{
    if (call.stage != CallStage::AtEngine)
        return;
    if (outcome == SendOutcome::Unknown && call.answer.status != 0)
        outcome = SendOutcome::Cut;
    if (auto *engine = m_context.engine(call.upstream))
        engine->requestEnded(call.id(), outcome);
}

// Crashes

void CallTable::trackEnd(Call &call, bool isComplete)
{
    if (!std::exchange(call.isTracked, false))
        return;
    m_context.quarantine.onEnded(call.upstream, call.id(), isComplete, m_context.io.now());
}

/// Reports to Quarantine that the engine running @p call has crashed, or has ended with its VM. Call when a connection
/// to it closes after the request was sent and before the answer is complete. The report covers all calls that ran on
/// the engine.
void CallTable::reportCrash(const Call &call)
{
    const auto *member = m_context.membership.upstream(call.upstream);
    const bool isLeaving = !member || member->vm.leaving;
    std::vector<KeyCall> calls;
    m_context.quarantine.onCrashed(call.upstream, member ? member->vm.failureDomain : FailureDomainId{},
                                   isLeaving ? CrashCause::VmLost : CrashCause::ProcessEnded, m_context.io.now(),
                                   calls);
    for (const auto &[id, other] : m_calls) {
        if (other->upstream == call.upstream)
            other->isTracked = false;
    }
    performQuarantine(calls);
}

void CallTable::vmLost(const UpstreamId &upstream, const FailureDomainId &failureDomain)
{
    std::vector<KeyCall> calls;
    m_context.quarantine.onCrashed(upstream, failureDomain, CrashCause::VmLost, m_context.io.now(), calls);
    performQuarantine(calls);
}

bool CallTable::clearQuarantined(std::uint64_t fingerprint)
{
    std::vector<KeyCall> calls;
    const bool isCleared = m_context.quarantine.clear(fingerprint, m_context.io.now(), calls);
    performQuarantine(calls);
    return isCleared;
}

void CallTable::performQuarantine(std::vector<KeyCall> &calls)
{
    for (const auto &call : std::exchange(calls, {})) {
        m_context.io.store(call.operation, [this, tag = call.tag](const KeyReply &reply) {
            std::vector<KeyCall> next;
            m_context.quarantine.onReply(tag, reply, m_context.io.now(), next);
            performQuarantine(next);
        });
    }
}

// Retries and final answers

void CallTable::attemptFailed(Call &call, Failure failure)
{
    m_context.router.finished(call.id());
    if (isFromPeer(call.id()) || call.callerGone) {
        failure.verdict = combine(call.history.verdict, failure.verdict);
        giveUp(call, std::move(failure));
        return;
    }
    const auto now = m_context.io.now();
    if (shouldRetryPlacement(call, failure)) {
        pauseUntil(call, now + placementRetryDelay);
        return;
    }
    if (std::exchange(call.isUpstreamLost, false) && ++call.crashes >= maxCrashes) {
        failure.verdict = combine(call.history.verdict, failure.verdict);
        giveUp(call, std::move(failure));
        return;
    }
    call.history.tokensDelivered = call.tokensSent;
    auto decision = m_context.retries->onFailure(call.attributes(), call.history, {failure, call.upstream}, now);
    if (auto *end = std::get_if<GiveUp>(&decision))
        giveUp(call, std::move(end->failure));
    else
        pauseUntil(call, now + std::get<Retry>(decision).delay);
}

/// Returns true if the call should be routed again after a short pause: no node accepted it, which happens briefly
/// while the ownership of an upstream changes, and the time limit for that has not passed. Forgets the outdated hint or
/// the excluded upstreams, so that the next attempt can choose anew.
bool CallTable::shouldRetryPlacement(Call &call, const Failure &failure)
{
    const bool isUnplaced = failure.verdict == Verdict::NotRun
                            && (failure.code == ErrorCode::NotOwner || failure.code == ErrorCode::NoUpstream);
    if (!isUnplaced) {
        call.unplacedSince.reset();
        return false;
    }
    if (failure.code == ErrorCode::NotOwner)
        m_context.hints.forget(call.upstream);
    else
        call.history.excluded.clear();
    const auto now = m_context.io.now();
    if (!call.unplacedSince)
        call.unplacedSince = now;
    return now - *call.unplacedSince < placementRetryTimeout;
}

void CallTable::pauseUntil(Call &call, Instant until)
{
    call.upstream = {};
    call.retryAt = until;
    setStage(call, CallStage::Pausing);
}

void CallTable::succeed(Call &call)
{
    m_context.membership.contactSucceeded(call.upstream);
    auto &answer = call.answer;
    if (call.isClaimed) {
        ClaimActions actions;
        std::optional<StoredAnswer> stored;
        if (!answer.isStream)
            stored = {static_cast<int>(answer.status), std::string(answer.headers.get("Content-Type")), answer.body};
        m_context.claims.finish(call.id(), Verdict::Ran, std::move(stored), m_context.io.now(), actions);
        call.isClaimed = false;
        perform(actions);
    }
    if (!call.callerGone) {
        if (answer.isStream)
            m_context.io.emit(ReplyEnd{call.id()});
        else
            m_context.io.emit(ReplyWhole{call.id(),
                                         {answer.status,
                                          {{"Content-Type", std::string(answer.headers.get("Content-Type"))},
                                           {HeaderName::verdict, std::string(nameOf(Verdict::Ran))}},
                                          std::move(answer.body)}});
    }
    finish(call, std::nullopt);
}

void CallTable::giveUp(Call &call, Failure failure)
{
    if (!call.callerGone) {
        if (call.begun) {
            m_context.io.emit(ReplyPiece{call.id(), "data: " + failureBody(failure) + "\n\n"});
            m_context.io.emit(ReplyEnd{call.id()});
        } else {
            m_context.io.emit(ReplyWhole{call.id(), failureResponse(failure)});
        }
    }
    finish(call, std::move(failure));
}

void CallTable::finish(Call &call, std::optional<Failure> failure)
{
    const auto owned = m_calls.extract(call.id());
    if (call.callerGone)
        m_context.io.emit(ReplyEnd{call.id()}); // The listener counts the request until then.
    if (call.isClaimed) {
        ClaimActions actions;
        m_context.claims.finish(call.id(), failure ? failure->verdict : Verdict::Ran, {}, m_context.io.now(), actions);
        perform(actions);
    }
    m_context.router.finished(call.id());
    if (!isFromPeer(call.id()))
        m_context.admission.finished(call.id(), m_context.io.now());
    m_onEnd({call, std::move(failure)});
}

} // namespace Gypsumtally
