#include "gateway/callaccess.h"

namespace Gypsumtally::Gateway
{

std::optional<CallAccess> accessOf(const CallerRequest &request, const Route &route, const RouteTable &routes)
{
    const auto identity = routes.access().identify(request.key, route.isPublic);
    if (!identity)
        return std::nullopt;
    return CallAccess{*identity, routes.access().urgencyOf(*identity, route.priority), routes.policy().version};
}

bool renewAccess(CallAccess &access, const CallerRequest &request, const Route &route, const RouteTable &routes)
{
    if (access.checkedVersion == routes.policy().version)
        return true;
    const auto *current = routes.match(request.host, request.path);
    const auto renewed = accessOf(request, current ? *current : route, routes);
    if (renewed)
        access = *renewed;
    return renewed.has_value();
}

} // namespace Gypsumtally::Gateway
