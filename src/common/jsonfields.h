#pragma once

#include "common/jsonnumber.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally
{

/// Parses @p text as a JSON object; returns std::nullopt if it is not one. Thread-safe.
inline std::optional<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

// Accessors for fields of JSON from external systems. They return an empty value for a field that is missing or has
// another type. Thread-safe.

inline const boost::json::object *objectAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

inline const boost::json::array *arrayAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_array() : nullptr;
}

/// Calls @p take with each object in the list @p name; other elements are skipped.
template<typename Take>
void eachObjectAt(const boost::json::object &object, std::string_view name, Take &&take)
{
    const auto *list = arrayAt(object, name);
    if (!list)
        return;
    for (const auto &each : *list) {
        if (const auto *element = each.if_object())
            take(*element);
    }
}

inline std::string textAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string{};
}

inline bool flagAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

template<typename Number>
Number numberAt(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? numberFrom<Number>(*value).value_or(Number{}) : Number{};
}

/// Returns the strings in the list @p name; other elements are skipped.
inline std::vector<std::string> textsAt(const boost::json::object &object, std::string_view name)
{
    std::vector<std::string> texts;
    const auto *list = arrayAt(object, name);
    if (!list)
        return texts;
    for (const auto &each : *list) {
        if (each.is_string())
            texts.emplace_back(each.get_string());
    }
    return texts;
}

} // namespace Gypsumtally
