#include "node/calltable.h"

#include "entry/failureresponse.h"
#include "upstream/engineprotocol.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

constexpr Duration placeTimeout = std::chrono::milliseconds{300};
constexpr Duration quotaRetryAfter = std::chrono::seconds{1};

} // namespace

CallTable::CallTable(CallContext context, std::function<void(const CallEnd &)> onEnd)
    : m_context(std::move(context))
    , m_onEnd(std::move(onEnd))
{
}

Call *CallTable::find(CallId id)
{
    const auto found = m_calls.find(id);
    return found == m_calls.end() ? nullptr : found->second.get();
}

std::size_t CallTable::active() const
{
    return m_calls.size();
}

const std::unordered_map<CallId, std::unique_ptr<Call>> &CallTable::calls() const
{
    return m_calls;
}

void CallTable::setCatalogue(const std::vector<std::string> &adapters)
{
    m_catalogue = {adapters.begin(), adapters.end()};
    m_names.clear();
    for (const auto &name : adapters) {
        if (const auto model = parseModelName(name))
            m_names.emplace(digestOf(*model), name);
    }
    m_hasCatalogue = true;
}

std::size_t CallTable::catalogueSize() const
{
    return m_catalogue.size();
}

bool CallTable::isInCatalogue(const std::string &adapter) const
{
    return m_catalogue.contains(adapter);
}

std::string CallTable::adapterName(AdapterDigest digest) const
{
    const auto found = m_names.find(digest);
    return found == m_names.end() ? std::to_string(digest) : found->second;
}

std::size_t CallTable::waitingFor(const AdapterVersion &model) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_calls, [&](const auto &entry) {
        return entry.second->stage == CallStage::Queued && entry.second->attributes().model == model;
    }));
}

void CallTable::setStage(Call &call, CallStage stage)
{
    call.stage = stage;
    call.stageSince = m_context.io.now();
}

// Arrival

void CallTable::arrive(CallArrived event)
{
    auto owned = std::make_unique<Call>();
    auto &call = *owned;
    call.parsed = std::move(event.call);
    if (call.attributes().callerRegion.empty())
        call.parsed.attributes.callerRegion = m_context.membership.self().region;
    m_context.applyConfiguration(call);
    if (auto failure = check(call)) {
        m_context.io.emit(ReplyWhole{event.id, failureResponse(*failure)});
        m_onEnd({call, std::move(failure)});
        return;
    }
    m_calls.emplace(event.id, std::move(owned));
    begin(call);
}

std::optional<Failure> CallTable::check(const Call &call) const
{
    const auto &attributes = call.attributes();
    if (auto failure = checkTarget(attributes))
        return failure;
    if (auto failure = m_context.quarantine.check(attributes.fingerprint, m_context.io.now()))
        return failure;
    if (isFromPeer(call.id()))
        return std::nullopt;
    if (!attributes.idempotent && attributes.idempotencyKey.empty())
        return Failure{Verdict::NotRun, ErrorCode::MissingIdempotencyKey,
                       "a call that is not idempotent needs an Idempotency-Key", std::nullopt};
    if (m_context.admission.outstandingOf(attributes.customer) >= call.customerQueue)
        return Failure{Verdict::NotRun, ErrorCode::QuotaExceeded,
                       "customer " + attributes.customer.value + " has as many requests open as it may",
                       quotaRetryAfter};
    return m_context.admission.admit(attributes, m_context.io.now());
}

std::optional<Failure> CallTable::checkTarget(const CallAttributes &attributes) const
{
    if (attributes.model) {
        if (!m_hasCatalogue || m_catalogue.contains(toModelName(*attributes.model)))
            return std::nullopt;
        return Failure{Verdict::NotRun, ErrorCode::UnknownAdapter,
                       "no adapter version " + toModelName(*attributes.model), std::nullopt};
    }
    const auto runs = [&](const auto &entry) { return entry.second.vm.service == attributes.service; };
    if (std::ranges::any_of(m_context.membership.upstreams(), runs))
        return std::nullopt;
    return Failure{Verdict::NotRun, ErrorCode::UnknownService, "no service " + attributes.service, std::nullopt};
}

void CallTable::begin(Call &call)
{
    if (isFromPeer(call.id())) {
        startAt(call, call.parsed.upstream, m_context.membership.self().id);
        return;
    }
    m_context.retries->onFirstAttempt(call.attributes(), m_context.io.now());
    if (call.attributes().idempotent) {
        route(call);
        return;
    }
    setStage(call, CallStage::Claiming);
    ClaimActions actions;
    m_context.claims.begin(call.attributes(), m_context.io.now(), actions);
    perform(actions);
}

void CallTable::perform(ClaimActions &actions)
{
    for (const auto &action : std::exchange(actions, {})) {
        if (const auto *keyCall = std::get_if<KeyCall>(&action)) {
            m_context.io.store(keyCall->operation, [this, tag = keyCall->tag](const KeyReply &reply) {
                ClaimActions next;
                m_context.claims.onReply(tag, reply, m_context.io.now(), next);
                perform(next);
            });
            continue;
        }
        const auto &decision = std::get<ClaimDecision>(action);
        auto *call = find(decision.call);
        if (!call)
            continue;
        call->isClaimed = decision.outcome == ClaimOutcome::Granted;
        if (call->isClaimed && call->callerGone)
            giveUp(*call, {Verdict::NotRun, ErrorCode::DeadlineExceeded, "the caller has gone", std::nullopt});
        else if (call->isClaimed)
            route(*call);
        else if (decision.answer)
            replay(*call, *decision.answer);
        else
            giveUp(*call, decision.failure.value_or(Failure{}));
    }
}

void CallTable::replay(Call &call, const StoredAnswer &answer)
{
    if (!call.callerGone)
        m_context.io.emit(ReplyWhole{call.id(),
                                     {static_cast<unsigned>(answer.status),
                                      {{"Content-Type", answer.contentType},
                                       {HeaderName::verdict, std::string(nameOf(Verdict::Ran))},
                                       {"Gypsumtally-Replayed", "true"}},
                                      answer.body}});
    finish(call, std::nullopt);
}

// Deadlines and disconnected callers

void CallTable::callerGone(CallId id)
{
    auto *call = find(id);
    if (!call)
        return;
    call->callerGone = true;
    // A non-idempotent call continues unless it is still queued here, so that its outcome can be recorded.
    if (!call->attributes().idempotent && call->stage != CallStage::Queued)
        return;
    const Failure failure{call->history.verdict, ErrorCode::DeadlineExceeded, "the caller has gone", std::nullopt};
    cancelAttempt(*call);
    giveUp(*call, failure);
}

void CallTable::cancelAttempt(Call &call)
{
    auto *engine = m_context.engine(call.upstream);
    if (call.stage == CallStage::Queued && engine)
        engine->cancelWaiting(call.id());
    if (!call.exchange)
        return;
    call.history.verdict = combine(call.history.verdict, Verdict::MayHaveRun);
    const auto *member = m_context.membership.upstream(call.upstream);
    if (call.stage == CallStage::AtEngine && member) {
        const auto ignore = [](const auto &...) {};
        m_context.io.fetch(ExchangeTarget::Upstream, member->vm.endpoint, cancelRequest(call.requestId), {}, ignore,
                           ignore);
    }
    m_context.io.cancel(*call.exchange);
    call.exchange.reset();
    trackEnd(call, false);
    endOwnedRequest(call, SendOutcome::Unknown);
}

void CallTable::expire(Call &call)
{
    cancelAttempt(call);
    giveUp(call, {call.history.verdict, ErrorCode::DeadlineExceeded, "the deadline has passed", std::nullopt});
}

void CallTable::tick()
{
    const auto now = m_context.io.now();
    ClaimActions actions;
    m_context.claims.tick(now, actions);
    perform(actions);
    std::vector<KeyCall> calls;
    m_context.quarantine.tick(now, calls);
    performQuarantine(calls);
    std::vector<CallId> ids;
    for (const auto &[id, call] : m_calls)
        ids.push_back(id);
    for (const auto id : ids) {
        auto *call = find(id);
        if (!call)
            continue;
        if (call->attributes().deadline && now >= *call->attributes().deadline && call->stage != CallStage::Claiming)
            expire(*call);
        else if (call->stage == CallStage::Pausing && now >= call->retryAt)
            route(*call);
        else if (call->stage == CallStage::Placing && now - call->stageSince >= placeTimeout)
            placeLocally(*call);
    }
}

} // namespace Gypsumtally
