#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace Gypsumtally
{

/// The names of an enumeration, for parsing and printing. `enumNames<E>` is specialised next to each `enum class`.
template<typename E, std::size_t N>
using EnumTable = std::array<std::pair<E, std::string_view>, N>;

/// The name table of E. Specialised as an EnumTable for each enumeration that has names.
template<typename E>
inline constexpr auto enumNames = nullptr;

/// Returns the name of @p value. Precondition: the table of E is complete. Thread-safe.
template<typename E>
constexpr std::string_view nameOf(E value)
{
    for (const auto &[candidate, name] : enumNames<E>) {
        if (candidate == value)
            return name;
    }
    return "unknown";
}

/// Returns the value with @p name, or std::nullopt. Thread-safe.
template<typename E>
constexpr std::optional<E> valueOf(std::string_view name)
{
    for (const auto &[value, candidate] : enumNames<E>) {
        if (candidate == name)
            return value;
    }
    return std::nullopt;
}

} // namespace Gypsumtally
