#pragma once

#include "allowances/limit.h"

#include <string>
#include <vector>

namespace Gypsumtally::Access
{

inline constexpr unsigned defaultPriority = 5; ///< Of organisations and routes.

/// A customer whose callers identify themselves by keys.
struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    unsigned priority = defaultPriority; ///< 0 is the most urgent; takes precedence over that of a route.
    Allowances::Limit limit;

    friend bool operator==(const Organisation &, const Organisation &) = default;
};

/// The organisation on whose behalf a request was sent.
struct Identity {
    bool isChecked = false; ///< False if the configuration has no organisations.
    std::string organisation; ///< Empty if the request belongs to none, as on a public route.

    friend bool operator==(const Identity &, const Identity &) = default;
};

} // namespace Gypsumtally::Access
