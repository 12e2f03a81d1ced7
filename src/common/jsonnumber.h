#pragma once

#include <boost/json/value.hpp>

#include <cmath>
#include <concepts>
#include <limits>
#include <optional>
#include <type_traits>
#include <utility>

namespace Gypsumtally
{

/// Returns @p number as a Number, or nothing if it has a fraction or a Number cannot hold it. Thread-safe.
template<std::integral Number>
std::optional<Number> toWhole(double number)
{
    const double end = std::ldexp(1.0, std::numeric_limits<Number>::digits);
    const double begin = std::is_signed_v<Number> ? -end : 0;
    if (!(number >= begin && number < end) || std::floor(number) != number)
        return std::nullopt;
    return static_cast<Number>(number);
}

/// Returns @p value as a Number, or nothing if it is not a number or a Number cannot hold it: out of range, not finite,
/// or with a fraction for an integral Number. Thread-safe.
template<typename Number>
    requires std::is_arithmetic_v<Number> std::optional<Number> numberFrom(const boost::json::value &value)
    {
        if constexpr (std::is_floating_point_v<Number>) {
            boost::system::error_code error;
            const auto number = value.to_number<Number>(error);
            return !error && std::isfinite(number) ? std::optional(number) : std::nullopt;
        } else {
            if (const auto *number = value.if_double())
                return toWhole<Number>(*number);
            if (const auto *number = value.if_int64(); number && std::in_range<Number>(*number))
                return static_cast<Number>(*number);
            if (const auto *number = value.if_uint64(); number && std::in_range<Number>(*number))
                return static_cast<Number>(*number);
            return std::nullopt;
        }
    }

} // namespace Gypsumtally
