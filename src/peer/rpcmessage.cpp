// The client headers of the JSON-RPC library use exception specifications that C++17 removed. Therefore this file is
// compiled as C++14.
#include "peer/rpcmessage.h"

#include <jsonrpccpp/client.h>

#include <memory>
#include <stdexcept>

namespace Gypsumtally
{

namespace
{

/// Stores the request that the library sends, and passes it a response that is set in advance.
class PreparedConnector : public jsonrpc::IClientConnector
{
public:
    explicit PreparedConnector(std::string response)
        : m_response(std::move(response))
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_request = message;
        result = m_response;
    }

    const std::string &request() const
    {
        return m_request;
    }

private:
    std::string m_request;
    std::string m_response;
};

bool parse(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string problem;
    return reader->parse(text.data(), text.data() + text.size(), &value, &problem);
}

std::string write(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace

std::string encodeRpcRequest(const std::string &method, const std::string &params)
{
    Json::Value parsed;
    if (!parse(params, parsed) || !(parsed.isObject() || parsed.isArray()))
        throw std::invalid_argument("parameters of a control call must be an object or an array");
    PreparedConnector connector(R"({"jsonrpc":"2.0","id":1,"result":null})");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(method, parsed);
    return connector.request();
}

RpcResponse decodeRpcResponse(const std::string &body)
{
    RpcResponse response;
    try {
        PreparedConnector connector(body);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        response.result = write(client.CallMethod("any", Json::Value(Json::objectValue)));
    } catch (const jsonrpc::JsonRpcException &error) {
        response.isError = true;
        response.errorCode = error.GetCode();
        response.errorMessage = error.GetMessage();
    } catch (const std::exception &error) {
        response.isError = true;
        response.errorCode = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        response.errorMessage = error.what();
    }
    return response;
}

} // namespace Gypsumtally
