#pragma once

#include "access/accesstable.h"
#include "common/clock.h"
#include "common/enumtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The kinds of requests, which decide if a request that may have run can be repeated.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Streaming, ///< An event stream; runs at most once unless the route can resume.
};

/// A service of a route, and its share of the route's requests relative to the other weights.
struct WeightedService {
    std::string service;
    double weight = 1;
};

/// The destination and the service objectives of the requests of one host and path prefix.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout = std::chrono::seconds{30}; ///< Upper bound on the time until a request's deadline.
    Duration latencyObjective = std::chrono::seconds{1}; ///< For the time to the answer, or to a stream's first event.
    Duration longestPause{}; ///< Bound on the time between two events of a stream; zero: not bounded.
    Duration callerPatience{}; ///< Time that callers wait for a stream's first event; zero: the whole timeout.
    unsigned priority = 5; ///< 0 is the most urgent.
    unsigned attempts = 1; ///< Number of upstreams that one request may run on.
    bool canResume = false; ///< A stream may be resumed at another upstream, after the last event received.
    bool isPublic = false; ///< Requests need no key of an organisation.
    std::vector<WeightedService> services;

    /// Returns true if a request that may have run can be sent again.
    bool mayRepeat() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && canResume);
    }
};

/// A base model that the engines of a service can load.
struct BaseModel {
    std::string name;
    Duration loadTime = std::chrono::seconds{5}; ///< From the weight store, without concurrent loads.
};

/// The capacity of each engine of a service.
struct EngineProfile {
    unsigned slots = 1; ///< Requests in one batch.
    unsigned tokensPerEvent = 1; ///< Tokens in one event of a stream.
    unsigned adapterSlots = 0; ///< Adapters that can be loaded at once.
    std::vector<BaseModel> models;
};

/// A service with engines, or a plain one.
struct Service {
    std::string name;
    std::optional<EngineProfile> engine; ///< Not set for plain services.
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};
};

/// A version of the operators' configuration, with everything that decides how requests are routed.
struct TrafficPolicy {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /// Whose requests are served; nothing if requests belong to no organisation and need no key.
    std::optional<std::vector<Access::Organisation>> organisations;
};

/// Looks up routes by host and path, and services by name. Immutable, so thread-safe.
class RouteTable
{
public:
    /// Precondition: Access::problemOf() finds nothing in the organisations of @p policy.
    explicit RouteTable(TrafficPolicy policy);

    /// Returns the route of @p host with the longest prefix of @p path, or null if none matches.
    const Route *match(std::string_view host, std::string_view path) const;

    /// Returns the service called @p name, or null if there is none.
    const Service *service(std::string_view name) const;

    const TrafficPolicy &policy() const
    {
        return m_policy;
    }

    /// Returns whose requests are served and how urgent they are.
    const Access::AccessTable &access() const
    {
        return m_access;
    }

private:
    TrafficPolicy m_policy;
    Access::AccessTable m_access;
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< Longest prefix first.
    std::unordered_map<std::string, const Service *> m_services;
};

/// Returns the service of @p route for the request with id @p requestId, selected by a hash of the id in proportion to
/// the weights; equal ids give equal services. Precondition: the route has a service. Thread-safe.
const std::string &chooseService(const Route &route, std::string_view requestId);

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::RequestKind, 3> enumNames<Gateway::RequestKind>{{
    {Gateway::RequestKind::Idempotent, "idempotent"},
    {Gateway::RequestKind::NonIdempotent, "non-idempotent"},
    {Gateway::RequestKind::Streaming, "streaming"},
}};

} // namespace Gypsumtally
