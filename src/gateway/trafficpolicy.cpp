#include "gateway/trafficpolicy.h"

#include "routing/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

std::vector<Access::RouteAccess> accessOf(const std::vector<Route> &routes)
{
    std::vector<Access::RouteAccess> access;
    access.reserve(routes.size());
    for (const auto &route : routes)
        access.push_back({route.priority, route.isPublic});
    return access;
}

} // namespace

RouteTable::RouteTable(TrafficPolicy policy)
    : m_policy(std::move(policy))
    , m_access(m_policy.organisations, accessOf(m_policy.routes))
{
    for (const auto &route : m_policy.routes)
        m_byHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_byHost)
        std::ranges::stable_sort(routes, [](const Route *first, const Route *second) {
            return first->prefix.size() > second->prefix.size();
        });
    for (const auto &service : m_policy.services)
        m_services.emplace(service.name, &service);
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(std::string(host));
    if (routes == m_byHost.end())
        return nullptr;
    for (const auto *route : routes->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto it = m_services.find(std::string(name));
    return it == m_services.end() ? nullptr : it->second;
}

const std::string &chooseService(const Route &route, std::string_view requestId)
{
    if (route.services.size() == 1)
        return route.services.front().service;
    double total = 0;
    for (const auto &each : route.services)
        total += each.weight;
    const auto hash = XXH3_64bits(requestId.data(), requestId.size());
    double left = fractionOf(hash) * total;
    for (const auto &each : route.services) {
        left -= each.weight;
        if (left < 0)
            return each.service;
    }
    return route.services.back().service;
}

} // namespace Gypsumtally::Gateway
