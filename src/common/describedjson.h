#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "common/identifiers.h"
#include "common/jsonnumber.h"
#include "common/modelname.h"

#include <boost/describe.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/mp11/algorithm.hpp>

#include <concepts>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Gypsumtally
{

/// The error thrown for JSON of an unexpected type or value; what() contains the key and the allowed values.
class JsonShapeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Converts a member name to snake case, for example `failureDomain` to `failure_domain`. Thread-safe.
inline std::string jsonKey(std::string_view memberName)
{
    std::string key;
    for (const char c : memberName) {
        if (c >= 'A' && c <= 'Z')
            key.append(1, '_').append(1, static_cast<char>(c - 'A' + 'a'));
        else
            key += c;
    }
    return key;
}

template<typename T>
concept Described = boost::describe::has_describe_members<T>::value;

/// Converts a value to JSON. Structs described by BOOST_DESCRIBE_STRUCT become objects with keys in snake case;
/// enumerations are written by name and durations in microseconds.
template<Described T>
boost::json::value toJson(const T &value);
/// Reads the form that toJson() writes into @p value; @p key names it in errors. Throws JsonShapeError.
template<Described T>
void readJson(const boost::json::value &json, T &value, const std::string &key);

template<typename T>
    requires std::is_arithmetic_v<T> || std::same_as<T, std::string> boost::json::value toJson(const T &value)
    {
        return boost::json::value(value);
    }

template<typename T>
    requires std::is_enum_v<T> boost::json::value toJson(const T &value)
    {
        return boost::json::value(nameOf(value));
    }

template<typename Tag>
boost::json::value toJson(const Identifier<Tag> &value)
{
    return boost::json::value(value.value);
}

inline boost::json::value toJson(const AdapterVersion &value)
{
    return boost::json::value(toModelName(value));
}

inline boost::json::value toJson(Duration value)
{
    return value.count();
}

template<typename T>
boost::json::value toJson(const std::optional<T> &value)
{
    return value ? toJson(*value) : boost::json::value(nullptr);
}

template<typename T>
boost::json::value toJson(const std::vector<T> &values)
{
    boost::json::array array;
    for (const auto &value : values)
        array.push_back(toJson(value));
    return array;
}

template<Described T>
boost::json::value toJson(const T &value)
{
    boost::json::object object;
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>(
        [&](auto member) { object[jsonKey(member.name)] = toJson(value.*member.pointer); });
    return object;
}

inline void readJson(const boost::json::value &json, std::string &value, const std::string &key)
{
    if (!json.is_string())
        throw JsonShapeError(key + " must be a string");
    value = std::string(json.get_string());
}

inline void readJson(const boost::json::value &json, bool &value, const std::string &key)
{
    if (!json.is_bool())
        throw JsonShapeError(key + " must be true or false");
    value = json.get_bool();
}

template<typename T>
    requires std::is_arithmetic_v<T>
void readJson(const boost::json::value &json, T &value, const std::string &key)
{
    const auto number = numberFrom<T>(json);
    if (!number)
        throw JsonShapeError(key + " must be a number that fits");
    value = *number;
}

template<typename T>
    requires std::is_enum_v<T>
void readJson(const boost::json::value &json, T &value, const std::string &key)
{
    const auto found = json.is_string() ? valueOf<T>(json.get_string()) : std::nullopt;
    if (!found)
        throw JsonShapeError(key + " must be a known name");
    value = *found;
}

template<typename Tag>
void readJson(const boost::json::value &json, Identifier<Tag> &value, const std::string &key)
{
    readJson(json, value.value, key);
}

inline void readJson(const boost::json::value &json, AdapterVersion &value, const std::string &key)
{
    auto model = json.is_string() ? parseModelName(std::string_view(json.get_string())) : std::nullopt;
    if (!model)
        throw JsonShapeError(key + " must be BASE/ADAPTER@VERSION");
    value = std::move(*model);
}

inline void readJson(const boost::json::value &json, Duration &value, const std::string &key)
{
    Duration::rep count = 0;
    readJson(json, count, key);
    value = Duration{count};
}

template<typename T>
void readJson(const boost::json::value &json, std::optional<T> &value, const std::string &key)
{
    if (json.is_null())
        value.reset();
    else
        readJson(json, value.emplace(), key);
}

template<typename T>
void readJson(const boost::json::value &json, std::vector<T> &values, const std::string &key)
{
    if (!json.is_array())
        throw JsonShapeError(key + " must be an array");
    values.clear();
    for (const auto &element : json.get_array())
        readJson(element, values.emplace_back(), key + "[]");
}

template<Described T>
void readJson(const boost::json::value &json, T &value, const std::string &key)
{
    if (!json.is_object())
        throw JsonShapeError((key.empty() ? "parameters" : key) + " must be an object");
    boost::mp11::mp_for_each<boost::describe::describe_members<T, boost::describe::mod_public>>([&](auto member) {
        const auto name = jsonKey(member.name);
        if (const auto *found = json.get_object().if_contains(name))
            readJson(*found, value.*member.pointer, key.empty() ? name : key + '.' + name);
    });
}

/// Returns a described struct read from JSON. Members of missing keys keep their default and unknown keys are ignored,
/// so that daemons of adjacent versions are compatible. Throws JsonShapeError. Thread-safe.
template<Described T>
T fromJson(const boost::json::value &json)
{
    T value;
    readJson(json, value, {});
    return value;
}

} // namespace Gypsumtally
