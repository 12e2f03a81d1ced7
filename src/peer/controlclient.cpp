#include "peer/controlclient.h"

#include "peer/controlserver.h"
#include "peer/peerkeys.h"
#include "peer/rpcmessage.h"

#include <boost/json.hpp>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxShownBodyBytes = 200;

ControlErrorCode codeOf(int number)
{
    const auto code = static_cast<ControlErrorCode>(number);
    for (const auto &[known, name] : enumNames<ControlErrorCode>) {
        if (known == code)
            return code;
    }
    return ControlErrorCode::Internal;
}

} // namespace

Http::Request controlRequest(const std::string &key, const std::string &method, const std::string &params)
{
    return {"POST",
            controlPath,
            {{"Content-Type", "application/json"}, {"Authorization", bearerHeader(key)}},
            encodeRpcRequest(method, params)};
}

ControlReply readControlReply(unsigned status, const std::string &body)
{
    if (status == 401)
        return ControlError{ControlErrorCode::Forbidden, "the daemon does not accept this key or token"};
    if (status != 200) {
        return ControlError{ControlErrorCode::Internal,
                            "HTTP status " + std::to_string(status) + ": " + body.substr(0, maxShownBodyBytes)};
    }
    const auto response = decodeRpcResponse(body);
    if (response.isError)
        return ControlError{codeOf(response.errorCode), response.errorMessage};
    boost::system::error_code error;
    auto result = json::parse(response.result, error);
    if (error)
        return ControlError{ControlErrorCode::ParseError, error.message()};
    return result;
}

ControlReply readControlReply(const Http::TransportFailure &failure)
{
    return ControlError{failure.sent ? ControlErrorCode::Lost : ControlErrorCode::Unreachable, failure.reason};
}

ControlReply callControl(const Http::Endpoint &endpoint, const std::string &key, const std::string &method,
                         const json::value &params, Http::RequestOptions options)
{
    const auto result = Http::fetch(endpoint, controlRequest(key, method, json::serialize(params)), options);
    if (!result.response)
        return readControlReply(result.failure);
    return readControlReply(result.response->status, result.response->body);
}

ControlClient::ControlClient(Http::Client &client, std::function<std::string()> key)
    : m_client(client)
    , m_key(std::move(key))
{
}

Http::Client::Token ControlClient::call(const Http::Endpoint &endpoint, const std::string &method,
                                        const json::value &params, Callback done, Http::RequestOptions options)
{
    struct Pending {
        unsigned status = 0;
        std::string body;
        Callback done;
    };
    const auto pending = std::make_shared<Pending>();
    pending->done = std::move(done);
    Http::ResponseObserver observer;
    observer.onHead = [pending](unsigned status, const Http::Headers &) { pending->status = status; };
    observer.onBody = [pending](std::string_view piece) { pending->body += piece; };
    observer.onEnd = [pending] { pending->done(readControlReply(pending->status, pending->body)); };
    observer.onFailure = [pending](const Http::TransportFailure &failure) { pending->done(readControlReply(failure)); };
    return m_client.send(endpoint, controlRequest(m_key(), method, json::serialize(params)), std::move(observer),
                         options);
}

void ControlClient::cancel(Http::Client::Token token)
{
    m_client.cancel(token);
}

} // namespace Gypsumtally
