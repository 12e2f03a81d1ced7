#pragma once

#include <boost/json/value.hpp>

namespace Json
{
class Value;
}

namespace Gypsumtally
{

/// Converts between the JSON values of the JSON-RPC library and those of the rest of the program. Thread-safe.
boost::json::value fromJsonCpp(const Json::Value &value);
Json::Value toJsonCpp(const boost::json::value &value);

} // namespace Gypsumtally
