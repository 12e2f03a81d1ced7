#pragma once

#include "common/enumtable.h"

#include <boost/json/value.hpp>

#include <string>
#include <variant>

namespace Gypsumtally
{

/// Reason for the failure of a control call. The values are the `code` of the JSON-RPC error.
enum class ControlErrorCode {
    ParseError = -32700,
    InvalidRequest = -32600,
    MethodNotFound = -32601,
    InvalidParams = -32602,
    Internal = -32603,
    Forbidden = -32041, ///< The key does not permit this method.
    NotFound = -32042, ///< The node has no object of the name given in the call.
    Unavailable = -32043, ///< The daemon cannot process the call now; nothing was done.
    Unreachable = -32050, ///< The call was not sent. Set by the caller's side, never sent over the network.
    Lost = -32051, ///< The call was sent and no reply arrived. Set by the caller's side, never sent over the network.
};

template<>
inline constexpr EnumTable<ControlErrorCode, 10> enumNames<ControlErrorCode>{{
    {ControlErrorCode::ParseError, "parse_error"},
    {ControlErrorCode::InvalidRequest, "invalid_request"},
    {ControlErrorCode::MethodNotFound, "method_not_found"},
    {ControlErrorCode::InvalidParams, "invalid_params"},
    {ControlErrorCode::Internal, "internal"},
    {ControlErrorCode::Forbidden, "forbidden"},
    {ControlErrorCode::NotFound, "not_found"},
    {ControlErrorCode::Unavailable, "unavailable"},
    {ControlErrorCode::Unreachable, "unreachable"},
    {ControlErrorCode::Lost, "lost"},
}};

struct ControlError {
    ControlErrorCode code = ControlErrorCode::Internal;
    std::string message;
};

/// The result of a control call, or the error that prevented it.
using ControlReply = std::variant<boost::json::value, ControlError>;

} // namespace Gypsumtally
