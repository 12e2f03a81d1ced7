#pragma once

#include <string>

namespace Gypsumtally
{

/// A decoded JSON-RPC response. This header must also compile as C++14.
struct RpcResponse {
    bool isError = false;
    int errorCode = 0;
    std::string errorMessage;
    std::string result; ///< JSON; empty for an error.
};

/// Returns a JSON-RPC 2.0 request. @p params is a JSON object or array. Throws std::invalid_argument if it is neither.
/// Thread-safe.
std::string encodeRpcRequest(const std::string &method, const std::string &params);

/// Parses the response to a request from encodeRpcRequest(). Thread-safe.
RpcResponse decodeRpcResponse(const std::string &body);

} // namespace Gypsumtally
