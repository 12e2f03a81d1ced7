#pragma once

#include "gateway/dialect.h"
#include "gateway/trafficpolicy.h"

#include <cstdint>
#include <optional>

namespace Gypsumtally::Gateway
{

/// Whose a call is and how urgent it is, under one configuration.
struct CallAccess {
    Access::Identity identity;
    unsigned urgency = 0; ///< 0 to Access::lastUrgency; 0 goes first.
    std::uint64_t checkedVersion = 0; ///< Version of the configuration.

    /// Returns the urgency by which nodes order calls and reserve capacity. It is the same for all calls if the
    /// configuration has no organisations, as engines then order them by the priority of their routes alone.
    unsigned schedulingUrgency() const
    {
        return identity.isChecked ? urgency : 0;
    }
};

/// Returns the access of @p request on @p route under @p routes; nothing if it lacks the key of an organisation.
/// Thread-safe.
std::optional<CallAccess> accessOf(const CallerRequest &request, const Route &route, const RouteTable &routes);

/// Checks @p access again if @p routes are of another version than the last check: under the route that matches
/// @p request now, or @p route if none does. Returns false if the key is not valid any more. Thread-safe.
bool renewAccess(CallAccess &access, const CallerRequest &request, const Route &route, const RouteTable &routes);

} // namespace Gypsumtally::Gateway
