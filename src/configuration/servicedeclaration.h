#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// A rule for the calls of a plain service with a given method and path prefix.
struct ServiceCallRule {
    std::string method; ///< HTTP method, or `*` for any.
    std::string pathPrefix; ///< Matches whole segments: `/book` covers `/book` and `/book/7`, not `/bookings`.
    bool idempotent = false;
};

/// A plain service and the rules that define which of its calls are idempotent.
struct ServiceDeclaration {
    std::string name;
    std::vector<ServiceCallRule> calls;

    /// Returns true if a call may be repeated. The rule with the longest matching prefix decides; for equal prefixes, a
    /// named method takes precedence over `*`. Returns false if no rule matches or if the path is ambiguous.
    /// @p target may contain a query. Thread-safe.
    bool isIdempotent(std::string_view method, std::string_view target) const;
};

/// Returns the path of @p target as a service would interpret it, with percent-encoding, empty segments and dot
/// segments resolved; std::nullopt if services may interpret it differently. Thread-safe.
std::optional<std::string> normalisePath(std::string_view target);

} // namespace Gypsumtally
