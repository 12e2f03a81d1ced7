#include "peer/controlserver.h"

#include "common/verdict.h"

#include "peer/jsonconversion.h"

#include <boost/json.hpp>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server.h>

#include <cassert>
#include <map>
#include <optional>
#include <vector>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

/// Passes one request to the library and stores its response.
class BodyConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *) override
    {
        m_response = response;
        return true;
    }

    std::string respond(const std::string &request)
    {
        m_response.clear();
        try {
            OnRequest(request);
        } catch (const std::exception &) { // The library does not catch its parser's exception for deep nesting.
            return R"({"error":{"code":-32700,"message":"nested too deeply"},"id":null,"jsonrpc":"2.0"})";
        }
        return std::exchange(m_response, {});
    }

private:
    std::string m_response;
};

struct Invocation {
    std::string method;
    json::value params;
};

std::optional<ControlError> runHandler(const ControlServer::Handler &handler, const json::value &params,
                                       const ControlServer::Answer &answer)
{
    try {
        handler(params, answer);
        return std::nullopt;
    } catch (const std::exception &error) {
        return ControlError{ControlErrorCode::InvalidParams, error.what()};
    }
}

Http::Response errorResponse(unsigned status, ErrorCode code, const std::string &message)
{
    const json::object error{{"code", nameOf(code)}, {"message", message}, {"verdict", nameOf(Verdict::NotRun)}};
    return {status, {{"Content-Type", "application/json"}}, json::serialize(json::object{{"error", error}})};
}

} // namespace

/// Runs asynchronous methods with the library, which needs the reply to a call before its handler returns. Each body
/// passes through the library twice: first to collect the methods and parameters of its calls, and again, once all
/// replies have arrived, to write the response.
struct ControlServer::Private : public jsonrpc::IProcedureInvokationHandler,
                                public std::enable_shared_from_this<ControlServer::Private> {
    struct Method {
        ControlRole role = ControlRole::Peer;
        Handler handler;
    };

    /// A body whose response is not written yet.
    struct Exchange {
        std::string body;
        std::vector<Invocation> invocations;
        std::vector<std::optional<ControlReply>> replies;
        std::size_t unanswered = 0;
        std::function<void(std::string)> done;
    };

    Private()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        connector.SetHandler(protocol.get());
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        if (replayed == nullptr) {
            collected.push_back({procedure.GetProcedureName(), fromJsonCpp(input)});
            return;
        }
        const auto &reply = *replayed->replies[nextReply++];
        if (const auto *error = std::get_if<ControlError>(&reply))
            throw jsonrpc::JsonRpcException(static_cast<int>(error->code), error->message);
        output = toJsonCpp(std::get<json::value>(reply));
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {
    }

    void recordReply(const std::shared_ptr<Exchange> &exchange, std::size_t index, ControlReply reply)
    {
        if (exchange->replies[index])
            return;
        exchange->replies[index] = std::move(reply);
        if (--exchange->unanswered > 0)
            return;
        replayed = exchange.get();
        nextReply = 0;
        auto response = connector.respond(exchange->body);
        replayed = nullptr;
        exchange->done(std::move(response));
    }

    void start(const std::shared_ptr<Exchange> &exchange, std::size_t index, ControlRole role)
    {
        const auto &[name, params] = exchange->invocations[index];
        const auto &method = methods.at(name);
        if (method.role != role) {
            recordReply(exchange, index,
                        ControlError{ControlErrorCode::Forbidden,
                                     name + " is for a caller with the key of a " + std::string(nameOf(method.role))});
            return;
        }
        const auto answer = [self = weak_from_this(), exchange, index](ControlReply reply) {
            if (const auto server = self.lock())
                server->recordReply(exchange, index, std::move(reply));
        };
        if (auto error = runHandler(method.handler, params, answer))
            recordReply(exchange, index, std::move(*error));
    }

    BodyConnector connector;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::map<std::string, Method> methods;
    PeerKeys peerKeys;
    PeerKeys operatorKeys;
    std::vector<Invocation> collected;
    const Exchange *replayed = nullptr; ///< The exchange being answered; null while invocations are collected.
    std::size_t nextReply = 0;
};

ControlServer::ControlServer()
    : m_d(std::make_shared<Private>())
{
}

ControlServer::~ControlServer() = default;

void ControlServer::add(const std::string &method, ControlRole role, Handler handler)
{
    const bool isNew = m_d->methods.emplace(method, Private::Method{role, std::move(handler)}).second;
    assert(isNew);
    static_cast<void>(isNew);
    m_d->protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, static_cast<const char *>(nullptr)));
}

void ControlServer::addImmediate(const std::string &method, ControlRole role,
                                 std::function<ControlReply(const json::value &)> handler)
{
    add(method, role,
        [handler = std::move(handler)](const json::value &params, const Answer &answer) { answer(handler(params)); });
}

void ControlServer::setKeys(PeerKeys peers, PeerKeys operators)
{
    m_d->peerKeys = std::move(peers);
    m_d->operatorKeys = std::move(operators);
}

void ControlServer::call(const std::string &body, ControlRole role, std::function<void(std::string)> done)
{
    m_d->collected.clear();
    auto response = m_d->connector.respond(body);
    if (m_d->collected.empty()) {
        done(std::move(response));
        return;
    }
    const auto exchange = std::make_shared<Private::Exchange>();
    exchange->body = body;
    exchange->invocations = std::move(m_d->collected);
    exchange->unanswered = exchange->invocations.size();
    exchange->replies.resize(exchange->unanswered);
    exchange->done = std::move(done);
    for (std::size_t i = 0; i < exchange->invocations.size(); ++i)
        m_d->start(exchange, i, role);
}

void ControlServer::serve(const Http::Request &request, const std::shared_ptr<Http::Responder> &responder)
{
    if (request.method != "POST") {
        responder->respond(errorResponse(405, ErrorCode::BadRequest, "control calls are POST requests"));
        return;
    }
    const auto key = bearerKey(request.headers);
    const bool isOperator = m_d->operatorKeys.accepts(key);
    if (!isOperator && !m_d->peerKeys.accepts(key)) {
        responder->respond(errorResponse(401, ErrorCode::Unauthorized,
                                         "needs 'Authorization: Bearer KEY' with a peer's key or an operator's token"));
        return;
    }
    call(request.body, isOperator ? ControlRole::Operator : ControlRole::Peer, [responder](std::string body) {
        responder->respond({200, {{"Content-Type", "application/json"}}, std::move(body)});
    });
}

} // namespace Gypsumtally
