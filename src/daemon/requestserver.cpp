#include "daemon/requestserver.h"

#include "entry/callparser.h"
#include "entry/failureresponse.h"

#include <type_traits>
#include <utility>

namespace Gypsumtally
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds{50};
constexpr std::uint64_t ticksPerReport = 20; ///< Bounds the log lines about losses to one in a second.
constexpr Duration idleTimeout = std::chrono::seconds{60};
constexpr Duration requestTimeout = std::chrono::seconds{60}; ///< From the first to the last byte of a request.
constexpr Duration overloadRetryAfter = std::chrono::seconds{1};
constexpr std::string_view bearerPrefix = "Bearer ";

ErrorCode codeOf(const Relay::Rejection &rejection)
{
    constexpr unsigned bodyTooLarge = 413;
    switch (rejection.cause) {
    case Relay::RejectionCause::BadRequest:
        return rejection.status == bodyTooLarge ? ErrorCode::BodyTooLarge : ErrorCode::BadRequest;
    case Relay::RejectionCause::ShortOfMemory:
    case Relay::RejectionCause::TooManyConnections:
        return ErrorCode::Overloaded;
    case Relay::RejectionCause::Stopping:
        return ErrorCode::Stopping;
    case Relay::RejectionCause::Dropped:
        return ErrorCode::Internal;
    }
    return ErrorCode::Internal;
}

Http::Response writeRejection(const Relay::Rejection &rejection)
{
    auto response = failureResponse({rejection.verdict, codeOf(rejection), rejection.reason, rejection.retryAfter});
    if (rejection.cause == Relay::RejectionCause::BadRequest)
        response.status = rejection.status;
    return response;
}

Http::Response unauthorized()
{
    return failureResponse(
        {Verdict::NotRun, ErrorCode::Unauthorized, "a peer key or an operator token is needed", std::nullopt});
}

bool isModelPath(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

std::string_view tokenOf(const Http::Request &request)
{
    const auto field = request.headers.get("Authorization");
    return field.starts_with(bearerPrefix) ? field.substr(bearerPrefix.size()) : std::string_view{};
}

} // namespace

RequestServer::RequestServer(Http::EventLoop &loop, Audience audience, const ListenerLimits &limits,
                             Budget::MemoryBudget &memory, Outbox<NodeEvent> &outbox, Authenticate authenticate)
    : m_loop(loop)
    , m_audience(audience)
    , m_outbox(outbox)
    , m_authenticate(std::move(authenticate))
    , m_memory(memory)
    , m_server(loop, serverSettings(limits), [this](const Exchange &exchange) { received(exchange); })
{
    m_memory.onShort([this] { m_loop.post([this] { m_memory.shed(BootClock{}.now()); }); });
    m_server.onUnanswered([this](const Relay::UnansweredRequest &request) { ++m_unanswered[request.cause]; });
}

Relay::CallerServerSettings RequestServer::serverSettings(const ListenerLimits &limits)
{
    Relay::CallerServerSettings settings;
    settings.limits = limits.requests;
    settings.headerTimeout = requestTimeout;
    settings.idleTimeout = idleTimeout;
    settings.maxConnections = limits.connections;
    settings.maxBufferedBytes = limits.unsentBytes;
    settings.writeRejection = writeRejection;
    settings.memory = &m_memory;
    if (m_audience == Audience::Peers)
        settings.checkHead = [this](const Http::Request &head) { return checkPeerHead(head); };
    return settings;
}

std::uint16_t RequestServer::listen(const Http::Endpoint &endpoint)
{
    const auto port = m_server.listen(endpoint);
    m_loop.post([this] { tick(); });
    return port;
}

void RequestServer::drain()
{
    m_server.announceClose();
    m_server.stopAccepting();
}

void RequestServer::refuseRest()
{
    m_server.refuseRest();
}

/// Makes memory free if it is short, enforces timeouts, and reports what was left unanswered.
void RequestServer::tick()
{
    const auto now = BootClock{}.now();
    m_memory.shed(now);
    m_server.sweep(now);
    if (++m_ticks % ticksPerReport == 0)
        reportLosses();
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

void RequestServer::reportLosses()
{
    const auto &losses = m_server.losses();
    if (losses == m_reported && m_unanswered.empty())
        return;
    ListenerLosses report{m_audience == Audience::Peers, {}, {}, m_server.connections(), m_memory.used()};
    for (const auto &[field, label, count] : Relay::callerLossKinds)
        report.losses.push_back({std::string(field), std::string(label), losses.*count - m_reported.*count});
    for (const auto &[cause, count] : std::exchange(m_unanswered, {}))
        report.unanswered.push_back({std::string(nameOf(cause)), std::string(nameOf(cause)), count});
    m_reported = losses;
    m_outbox.send(std::move(report));
}

/// Rejects requests without a valid key before their bodies are read.
std::optional<Http::Response> RequestServer::checkPeerHead(const Http::Request &head) const
{
    if (m_authenticate(tokenOf(head)) == Bearer::Nobody)
        return unauthorized();
    return std::nullopt;
}

void RequestServer::received(const Exchange &exchange)
{
    auto request = exchange->takeRequest();
    if (request.path() == "/healthz")
        exchange->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    else if (m_audience == Audience::Callers)
        receivedFromCaller(std::move(request), exchange);
    else
        receivedFromPeer(std::move(request), exchange);
}

void RequestServer::receivedFromCaller(Http::Request request, const Exchange &exchange)
{
    if (shedIfFull(exchange))
        return;
    const auto path = request.path();
    const auto ask = [&](NodeQuery query) {
        const auto id = registerExchange(exchange);
        m_outbox.send(QueryArrived{id, query, {request.query("region")}, id});
    };
    if (isModelPath(path))
        takeCall(parseModelCall(request, m_clock.now()), exchange);
    else if (path.starts_with("/v1/services/"))
        takeCall(parseServiceCall(request, m_clock.now()), exchange);
    else if (path == "/v1/entries")
        ask(NodeQuery::Entries);
    else if (path == "/readyz")
        ask(NodeQuery::Ready);
    else if (path == "/metrics")
        ask(NodeQuery::Metrics);
    else
        exchange->respond(failureResponse(
            {Verdict::NotRun, ErrorCode::UnknownRoute, "no such path: " + std::string(path), std::nullopt}));
}

void RequestServer::receivedFromPeer(Http::Request request, const Exchange &exchange)
{
    const auto bearer = m_authenticate(tokenOf(request));
    if (bearer == Bearer::Nobody) {
        exchange->respond(unauthorized());
        return;
    }
    if (shedIfFull(exchange))
        return;
    if (request.path() == "/control") {
        const auto id = registerExchange(exchange);
        m_outbox.send(ControlArrived{id, bearer == Bearer::Operator, std::move(request.body)});
    } else if (bearer == Bearer::Peer && isModelPath(request.path())) {
        takeCall(parseModelCall(request, m_clock.now()), exchange);
    } else {
        exchange->respond(failureResponse(
            {Verdict::NotRun, ErrorCode::UnknownRoute, "no such path: " + std::string(request.path()), std::nullopt}));
    }
}

void RequestServer::takeCall(std::variant<ParsedCall, Failure> result, const Exchange &exchange)
{
    if (auto *failure = std::get_if<Failure>(&result)) {
        exchange->respond(failureResponse(*failure));
        return;
    }
    auto &call = std::get<ParsedCall>(result);
    const auto id = registerExchange(exchange);
    call.attributes.id = id;
    exchange->onGone([this, id, bodyBytes = call.body.size()] { abandon(id, bodyBytes); });
    m_outbox.send(CallArrived{id, std::move(call)});
}

/// Handles the disconnect of a caller. A call that must not run twice goes on, and holds its body until it has ended.
void RequestServer::abandon(CallId id, std::size_t bodyBytes)
{
    m_exchanges.erase(id);
    auto share = std::make_unique<Budget::MemoryShare>(&m_memory);
    share->set(Relay::requestCopies * bodyBytes);
    m_abandoned.emplace(id, std::move(share));
    m_outbox.send(CallerGone{id});
}

CallId RequestServer::registerExchange(const Exchange &exchange)
{
    const auto id = (++m_calls << 1U) | (m_audience == Audience::Peers ? 1U : 0U);
    m_exchanges.emplace(id, exchange);
    return id;
}

bool RequestServer::shedIfFull(const Exchange &exchange)
{
    if (m_outbox.waiting() == 0)
        return false;
    exchange->respond(
        failureResponse({Verdict::NotRun, ErrorCode::Overloaded, "this node is overloaded", overloadRetryAfter}));
    return true;
}

void RequestServer::perform(NodeAction action)
{
    std::visit(
        [this](auto &each) {
            if constexpr (requires { reply(std::move(each)); })
                reply(std::move(each));
        },
        action);
}

void RequestServer::reply(ReplyWhole &&action)
{
    m_abandoned.erase(action.id);
    if (auto found = m_exchanges.extract(action.id))
        found.mapped()->respond(action.response);
}

void RequestServer::reply(ReplyBegin &&action)
{
    if (const auto found = m_exchanges.find(action.id); found != m_exchanges.end())
        found->second->begin(action.status, action.headers, std::nullopt);
}

void RequestServer::reply(ReplyPiece &&action)
{
    if (const auto found = m_exchanges.find(action.id); found != m_exchanges.end())
        found->second->write(action.bytes);
}

void RequestServer::reply(ReplyEnd &&action)
{
    m_abandoned.erase(action.id);
    if (auto found = m_exchanges.extract(action.id))
        found.mapped()->end();
}

} // namespace Gypsumtally
