#pragma once

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

/// What may be repeated of a route's requests.
enum class RequestKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Streaming, ///< An event stream; runs at most once unless the route can resume.
};

struct WeightedService {
    std::string service;
    double weight = 1;
};

/// Where requests of one host and path prefix go, and what is promised for them.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout = std::chrono::seconds{30}; ///< The longest time that a request is kept waiting.
    Duration latencyObjective = std::chrono::seconds{1}; ///< Up to the answer, or a stream's first event.
    Duration longestPause{}; ///< Between two events of a stream; zero: not stated.
    Duration callerPatience{}; ///< How long callers wait for a stream's first event; zero: for the whole timeout.
    unsigned priority = 5; ///< 0 is the most urgent.
    unsigned attempts = 1; ///< The most upstreams that one request may run on.
    bool canResume = false; ///< A stream may go on at another upstream after the last event received.
    std::vector<WeightedService> services;

    /// Whether a request that may have run can be sent again.
    bool mayRepeat() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && canResume);
    }
};

struct BaseModel {
    std::string name;
    Duration loadTime = std::chrono::seconds{5}; ///< From the weight store, one at a time.
};

/// What the engines of a service can hold.
struct EngineProfile {
    unsigned slots = 1; ///< Requests in one batch.
    unsigned tokensPerEvent = 1; ///< Of a stream.
    unsigned adapterSlots = 0;
    std::vector<BaseModel> models;
};

struct Service {
    std::string name;
    std::optional<EngineProfile> engine; ///< Not set for plain services.
};

/// Bounds on what callers send.
struct CallerLimits {
    std::uint64_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{3};
    Duration idleTimeout = std::chrono::seconds{15};
};

/// The operators' declaration of one version: all that decides where requests go.
struct TrafficPolicy {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
};

/// Finds routes and services by name. Immutable, so thread-safe.
class RouteTable
{
public:
    explicit RouteTable(TrafficPolicy policy);

    /// Returns the route of @p host whose prefix is the longest that begins @p path, or null.
    const Route *match(std::string_view host, std::string_view path) const;

    const Service *service(std::string_view name) const;

    const TrafficPolicy &policy() const
    {
        return m_policy;
    }

private:
    TrafficPolicy m_policy;
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost; ///< Longest prefix first.
    std::unordered_map<std::string, const Service *> m_services;
};

/// Returns which service of @p route serves the request called @p requestId; equal ids give equal answers.
/// Precondition: the route has a service. Thread-safe.
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
