#include "daemon/requestserver.h"

#include "entry/callparser.h"
#include "entry/failureresponse.h"

#include <type_traits>

namespace Gypsumtally
{

namespace
{

constexpr Duration overloadRetryAfter = std::chrono::seconds{1};
constexpr std::string_view bearerPrefix = "Bearer ";

Http::Response refusal(unsigned status, const std::string &reason)
{
    constexpr unsigned bodyTooLarge = 413;
    const auto code = status == bodyTooLarge ? ErrorCode::BodyTooLarge : ErrorCode::BadRequest;
    auto response = failureResponse({Verdict::NotRun, code, reason, std::nullopt});
    response.status = status;
    return response;
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

RequestServer::RequestServer(Http::EventLoop &loop, Audience audience, const Http::ServerLimits &limits,
                             Outbox<NodeEvent> &outbox, Authenticate authenticate)
    : m_audience(audience)
    , m_outbox(outbox)
    , m_authenticate(std::move(authenticate))
    , m_server(
          loop, limits,
          [this](Http::Request request, const std::shared_ptr<Http::Responder> &responder) {
              received(std::move(request), responder);
          },
          refusal)
{
}

std::uint16_t RequestServer::listen(const Http::Endpoint &endpoint)
{
    return m_server.listen(endpoint);
}

void RequestServer::drain()
{
    m_server.drain();
}

void RequestServer::received(Http::Request request, const std::shared_ptr<Http::Responder> &responder)
{
    if (request.path() == "/healthz")
        responder->respond({200, {{"Content-Type", "text/plain"}}, "ok\n"});
    else if (m_audience == Audience::Callers)
        receivedFromCaller(std::move(request), responder);
    else
        receivedFromPeer(std::move(request), responder);
}

void RequestServer::receivedFromCaller(Http::Request request, const std::shared_ptr<Http::Responder> &responder)
{
    if (shedIfFull(responder))
        return;
    const auto path = request.path();
    const auto ask = [&](NodeQuery query) {
        const auto id = registerResponder(responder);
        m_outbox.send(QueryArrived{id, query, {request.query("region")}, id});
    };
    if (isModelPath(path))
        takeCall(parseModelCall(request, m_clock.now()), responder);
    else if (path.starts_with("/v1/services/"))
        takeCall(parseServiceCall(request, m_clock.now()), responder);
    else if (path == "/v1/entries")
        ask(NodeQuery::Entries);
    else if (path == "/readyz")
        ask(NodeQuery::Ready);
    else if (path == "/metrics")
        ask(NodeQuery::Metrics);
    else
        responder->respond(failureResponse(
            {Verdict::NotRun, ErrorCode::UnknownRoute, "no such path: " + std::string(path), std::nullopt}));
}

void RequestServer::receivedFromPeer(Http::Request request, const std::shared_ptr<Http::Responder> &responder)
{
    const auto bearer = m_authenticate(tokenOf(request));
    if (bearer == Bearer::Nobody) {
        responder->respond(failureResponse(
            {Verdict::NotRun, ErrorCode::Unauthorized, "a peer key or an operator token is needed", std::nullopt}));
        return;
    }
    if (shedIfFull(responder))
        return;
    if (request.path() == "/control") {
        const auto id = registerResponder(responder);
        m_outbox.send(ControlArrived{id, bearer == Bearer::Operator, std::move(request.body)});
    } else if (bearer == Bearer::Peer && isModelPath(request.path())) {
        takeCall(parseModelCall(request, m_clock.now()), responder);
    } else {
        responder->respond(failureResponse(
            {Verdict::NotRun, ErrorCode::UnknownRoute, "no such path: " + std::string(request.path()), std::nullopt}));
    }
}

void RequestServer::takeCall(std::variant<ParsedCall, Failure> result,
                             const std::shared_ptr<Http::Responder> &responder)
{
    if (auto *failure = std::get_if<Failure>(&result)) {
        responder->respond(failureResponse(*failure));
        return;
    }
    auto &call = std::get<ParsedCall>(result);
    const auto id = registerResponder(responder);
    call.attributes.id = id;
    responder->onGone([this, id] {
        m_responders.erase(id);
        m_outbox.send(CallerGone{id});
    });
    m_outbox.send(CallArrived{id, std::move(call)});
}

CallId RequestServer::registerResponder(const std::shared_ptr<Http::Responder> &responder)
{
    const auto id = (++m_calls << 1U) | (m_audience == Audience::Peers ? 1U : 0U);
    m_responders.emplace(id, responder);
    return id;
}

bool RequestServer::shedIfFull(const std::shared_ptr<Http::Responder> &responder)
{
    if (m_outbox.waiting() == 0)
        return false;
    responder->respond(
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
    if (auto found = m_responders.extract(action.id))
        found.mapped()->respond(std::move(action.response));
}

void RequestServer::reply(ReplyBegin &&action)
{
    if (const auto found = m_responders.find(action.id); found != m_responders.end())
        found->second->begin(action.status, std::move(action.headers));
}

void RequestServer::reply(ReplyPiece &&action)
{
    if (const auto found = m_responders.find(action.id); found != m_responders.end())
        found->second->write(std::move(action.bytes));
}

void RequestServer::reply(ReplyEnd &&action)
{
    if (auto found = m_responders.extract(action.id))
        found.mapped()->end();
}

} // namespace Gypsumtally
