#include "peer/jsonconversion.h"

#include <boost/json.hpp>

#include <jsoncpp/json/json.h>

namespace Gypsumtally
{

namespace json = boost::json;

json::value fromJsonCpp(const Json::Value &value)
{
    switch (value.type()) {
    case Json::nullValue:
        return nullptr;
    case Json::intValue:
        return value.asInt64();
    case Json::uintValue:
        return value.asUInt64();
    case Json::realValue:
        return value.asDouble();
    case Json::stringValue:
        return json::value(value.asString());
    case Json::booleanValue:
        return value.asBool();
    case Json::arrayValue: {
        json::array array;
        for (const auto &element : value)
            array.push_back(fromJsonCpp(element));
        return array;
    }
    case Json::objectValue: {
        json::object object;
        for (auto entry = value.begin(); entry != value.end(); ++entry)
            object[entry.name()] = fromJsonCpp(*entry);
        return object;
    }
    }
    return nullptr;
}

Json::Value toJsonCpp(const json::value &value)
{
    switch (value.kind()) {
    case json::kind::null:
        return Json::nullValue;
    case json::kind::bool_:
        return value.get_bool();
    case json::kind::int64:
        return Json::Int64{value.get_int64()};
    case json::kind::uint64:
        return Json::UInt64{value.get_uint64()};
    case json::kind::double_:
        return value.get_double();
    case json::kind::string:
        return std::string(value.get_string());
    case json::kind::array: {
        Json::Value array(Json::arrayValue);
        for (const auto &element : value.get_array())
            array.append(toJsonCpp(element));
        return array;
    }
    case json::kind::object: {
        Json::Value object(Json::objectValue);
        for (const auto &entry : value.get_object())
            object[std::string(entry.key())] = toJsonCpp(entry.value());
        return object;
    }
    }
    return Json::nullValue;
}

} // namespace Gypsumtally
