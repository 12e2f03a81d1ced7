#include "node/calltable.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

constexpr Duration isolationPause = std::chrono::milliseconds{50};
constexpr Duration noPlaceRetryAfter = std::chrono::seconds{1};
constexpr Duration connectTimeout = std::chrono::seconds{1};
constexpr Duration streamIdleTimeout = std::chrono::seconds{20};
constexpr Duration unstreamedIdleTimeout = std::chrono::minutes{10};

std::string millisecondsLeft(Instant deadline, Instant now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::to_string(std::max<std::int64_t>(1, left.count()));
}

} // namespace

// Routing

void CallTable::route(Call &call)
{
    const auto now = m_context.io.now();
    call.answer = {};
    if (auto failure = m_context.quarantine.check(call.attributes().fingerprint, now)) {
        failure->verdict = combine(failure->verdict, call.history.verdict);
        giveUp(call, std::move(*failure));
        return;
    }
    const auto placement = m_context.quarantine.placement(call.attributes().fingerprint, call.crashRank(), now);
    if (placement == Placement::Wait) {
        pauseUntil(call, now + isolationPause);
        return;
    }
    ++call.attempts;
    if (!call.attributes().service.empty()) {
        startAtService(call);
        return;
    }
    const RouteQuery query{call.attributes(), call.history.excluded, placement == Placement::Isolated, false};
    follow(call, m_context.router.route(query, m_context.hints, now), false);
}

void CallTable::follow(Call &call, const Route &route, bool askedHome)
{
    if (const auto *failure = std::get_if<Failure>(&route))
        attemptFailed(call, *failure);
    else if (const auto *place = std::get_if<RouteToUpstream>(&route))
        startAt(call, place->upstream, place->owner);
    else if (const auto &home = std::get<RouteToHome>(route).home;
             askedHome || home == m_context.membership.self().id || !m_context.membership.node(home))
        placeLocally(call);
    else
        askHome(call, home);
}

void CallTable::askHome(Call &call, const NodeId &home)
{
    setStage(call, CallStage::Placing);
    const auto &attributes = call.attributes();
    m_context.peers.send(home, PlaceAsk{call.id(), *attributes.model, attributes.serviceClass, attributes.callerRegion,
                                        call.history.excluded});
}

void CallTable::placeAnswered(const PlaceAnswer &answer)
{
    auto *call = find(answer.call);
    if (!call || call->stage != CallStage::Placing)
        return;
    if (answer.upstream.empty())
        placeLocally(*call);
    else
        startAt(*call, answer.upstream, answer.owner);
}

void CallTable::placeLocally(Call &call)
{
    const RouteQuery query{call.attributes(), call.history.excluded, false, true};
    const auto route = m_context.router.route(query, m_context.hints, m_context.io.now());
    if (std::holds_alternative<RouteToHome>(route))
        attemptFailed(
            call, {Verdict::NotRun, ErrorCode::NoUpstream, "no engine can take the adapter now", noPlaceRetryAfter});
    else
        follow(call, route, true);
}

// Attempts

void CallTable::startAt(Call &call, const UpstreamId &upstream, const NodeId &owner)
{
    call.upstream = upstream;
    call.node = owner;
    if (!isFromPeer(call.id()))
        m_context.router.sent(call.id(), upstream, m_context.io.now());
    if (owner != m_context.membership.self().id) {
        if (const auto *node = m_context.membership.node(owner))
            startAtPeer(call, *node);
        else
            attemptFailed(call,
                          {Verdict::NotRun, ErrorCode::NoUpstream, "the upstream's owner has left", noPlaceRetryAfter});
        return;
    }
    auto *engine = m_context.engine(upstream);
    if (!engine) {
        attemptFailed(call,
                      {Verdict::NotRun, ErrorCode::NotOwner, "this node does not own the upstream", std::nullopt});
        return;
    }
    setStage(call, CallStage::Queued);
    const auto placement
        = m_context.quarantine.placement(call.attributes().fingerprint, call.crashRank(), m_context.io.now());
    engine->submit(call.attributes(), placement != Placement::Anywhere);
}

bool CallTable::dispatch(CallId id, const std::string &requestId)
{
    auto *call = find(id);
    const auto *member = call ? m_context.membership.upstream(call->upstream) : nullptr;
    if (!member) {
        if (call)
            attemptFailed(*call, {Verdict::NotRun, ErrorCode::NoUpstream, "the upstream has left", std::nullopt});
        return false;
    }
    setStage(*call, CallStage::AtEngine);
    call->requestId = requestId;
    call->isTracked = true;
    m_context.quarantine.onDispatched(call->upstream, id, call->attributes().fingerprint, call->crashRank(),
                                      m_context.io.now());
    const auto resumeFrom = std::max(call->tokensSent, call->parsed.resumeFrom);
    startExchange(*call, ExchangeTarget::Upstream, member->vm.endpoint,
                  {"POST",
                   call->parsed.path,
                   {{"Content-Type", "application/json"}},
                   engineBody(call->parsed, requestId, resumeFrom)});
    return true;
}

void CallTable::rejected(CallId id, const Failure &failure)
{
    if (auto *call = find(id))
        attemptFailed(*call, failure);
}

void CallTable::startAtPeer(Call &call, const NodeRecord &node)
{
    setStage(call, CallStage::AtPeer);
    const auto &attributes = call.attributes();
    Http::Request request{"POST", call.parsed.path, m_context.peers.headers(), call.parsed.body};
    request.headers.add(HeaderName::upstream, call.upstream.value);
    request.headers.add(HeaderName::serviceClass, std::string(nameOf(attributes.serviceClass)));
    request.headers.add(HeaderName::customer, attributes.customer.value);
    request.headers.add(HeaderName::region, attributes.callerRegion.value);
    request.headers.add(HeaderName::resumeFrom, std::to_string(call.tokensSent));
    const auto rank
        = std::max(m_context.quarantine.rankOf(attributes.fingerprint, m_context.io.now()), call.crashRank());
    request.headers.add(HeaderName::crashRank, std::to_string(rank));
    if (attributes.deadline)
        request.headers.add(HeaderName::deadline, millisecondsLeft(*attributes.deadline, m_context.io.now()));
    startExchange(call, ExchangeTarget::Peer, node.peers, std::move(request));
}

void CallTable::startAtService(Call &call)
{
    const UpstreamMember *best = nullptr;
    for (const auto &[id, member] : m_context.membership.upstreams()) {
        const bool isCandidate = member.vm.service == call.attributes().service && member.takesWork(m_context.io.now())
                                 && std::ranges::find(call.history.excluded, id) == call.history.excluded.end();
        if (!isCandidate)
            continue;
        const auto isNear
            = [&](const UpstreamMember &each) { return each.vm.region == call.attributes().callerRegion; };
        const auto outstanding = [&](const UpstreamMember &each) {
            return std::ranges::count_if(m_calls, [&](const auto &entry) {
                return entry.second->stage == CallStage::AtService && entry.second->upstream == each.vm.id;
            });
        };
        if (!best || (isNear(member) && !isNear(*best))
            || (isNear(member) == isNear(*best) && outstanding(member) < outstanding(*best)))
            best = &member;
    }
    if (!best) {
        attemptFailed(call, {Verdict::NotRun, ErrorCode::NoUpstream, "no worker of the service takes calls now",
                             noPlaceRetryAfter});
        return;
    }
    call.upstream = best->vm.id;
    setStage(call, CallStage::AtService);
    Http::Request request{call.parsed.method, call.parsed.path, {}, call.parsed.body};
    if (!call.parsed.contentType.empty())
        request.headers.add("Content-Type", call.parsed.contentType);
    if (!call.attributes().idempotencyKey.empty())
        request.headers.add(HeaderName::idempotencyKey, call.attributes().idempotencyKey);
    startExchange(call, ExchangeTarget::Upstream, best->vm.endpoint, std::move(request));
}

void CallTable::startExchange(Call &call, ExchangeTarget target, const Http::Endpoint &endpoint, Http::Request request)
{
    Http::RequestOptions options;
    options.connectTimeout = connectTimeout;
    options.idleTimeout = call.parsed.streamed ? streamIdleTimeout : unstreamedIdleTimeout;
    options.mayReuseConnection = call.attributes().idempotent;
    call.answer = {};
    const auto with = [this, id = call.id()](auto action) {
        return [this, id, action](const auto &...arguments) {
            if (auto *found = find(id))
                (this->*action)(*found, arguments...);
        };
    };
    ExchangeObserver observer;
    observer.onHead = with(&CallTable::onHead);
    observer.onPiece = with(&CallTable::onPiece);
    observer.onEnd = with(&CallTable::onEnd);
    observer.onFailure = with(&CallTable::onTransportFailure);
    call.exchange = m_context.io.exchange(target, endpoint, std::move(request), options, std::move(observer));
}

} // namespace Gypsumtally
