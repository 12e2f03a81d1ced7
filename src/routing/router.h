#pragma once

#include "common/call.h"
#include "common/verdict.h"
#include "residency/policyweights.h"
#include "routing/hinttable.h"

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// Decision to send the call to an upstream, through the node that owns it.
struct RouteToUpstream {
    UpstreamId upstream;
    NodeId owner;
    bool needsLoad = false; ///< No hint says that the adapter is loaded there.
};

/// Decision to forward the routing query to the adapter's home node, which coalesces the misses of all nodes into one
/// load.
struct RouteToHome {
    NodeId home;
};

using Route = std::variant<RouteToUpstream, RouteToHome, Failure>;

/// Input of one routing decision.
struct RouteQuery {
    const CallAttributes &call;
    std::span<const UpstreamId> excluded; ///< Upstreams that refused this call or failed at it.
    bool suspect = false; ///< An upstream crashed while it ran this call.
    bool atHome = false; ///< The query was forwarded to this node as the adapter's home.
};

/// Settings of Router. Costs of routes are compared as times.
struct RouterSettings {
    PolicyWeights weights{};
    Duration loadTime = std::chrono::milliseconds{250}; ///< Duration of an adapter load once it is granted.
    Duration loadPrice = std::chrono::milliseconds{2000}; ///< Cost of one load, in waiting time of calls.
    Duration callTime = std::chrono::seconds{5}; ///< Typical duration of a call.
    Duration regionHop = std::chrono::milliseconds{16}; ///< Round-trip time between regions.
    Duration transferCostPerKibibyte
        = std::chrono::milliseconds{4}; ///< Cost of a KiB sent between regions, in waiting time.
    std::size_t bytesPerToken = 96; ///< Size of a token in a streamed answer.
    Duration placementTime = std::chrono::seconds{5}; ///< Time for which misses of an adapter reuse one placement.
    std::size_t maxTracked = 32768; ///< Maximum number of adapters whose demand is tracked.
};

/// An adapter to prefetch, and the engine to load it on.
struct PrefetchCandidate {
    AdapterVersion adapter;
    RouteToUpstream place;
};

/// Chooses an upstream for each call from gossiped hints. Every node has one. Not thread-safe; does no I/O.
class Router
{
public:
    Router(NodeId self, RegionId region, RouterSettings settings = {});

    /// Sets the nodes among which the adapters' homes are chosen. Precondition: @p members contains this node.
    void setMembers(std::vector<NodeId> members);

    /// Applies changed settings.
    void setSettings(RouterSettings settings);

    /// Returns the route of a call, or a Failure with verdict NotRun if no upstream can take it.
    Route route(const RouteQuery &query, const HintTable &hints, Instant now);

    /// Records that @p call was sent to @p upstream, so that it counts before a hint includes it.
    void sent(CallId call, const UpstreamId &upstream, Instant now);

    /// Records that a call recorded by sent() has ended. Does nothing for an unknown call.
    void finished(CallId call);

    /// Returns at most @p limit adapters to prefetch: those homed at this node that are in demand and that no engine
    /// has loaded. Leaves out adapters that the cheapest engine for them is already loading.
    std::vector<PrefetchCandidate> prefetchCandidates(const HintTable &hints, std::size_t limit, Instant now);

    /// Returns the home node of an adapter. Precondition: setMembers() was called.
    const NodeId &homeOf(AdapterDigest adapter) const;

private:
    /// Calls that this node sent to one upstream.
    struct Local {
        std::uint32_t outstanding = 0;
        std::uint32_t sentSinceHint = 0; ///< Calls that the latest hint does not include yet.
        Instant hintSeen{}; ///< Time at which that hint was received.
    };
    /// Engine chosen for an adapter's next load, which misses reuse for a while.
    struct Placement {
        UpstreamId upstream;
        Instant until{};
    };
    /// Demand for one adapter from the queries to this node.
    struct Demand {
        AdapterVersion adapter;
        double decayedCalls = 0; ///< Number of calls, exponentially decayed.
        /// Meant for the waiting time in microseconds, exponentially decayed, that calls lose because no reachable
        /// engine has the adapter loaded. Always 0: it is decayed and reset, but never increased.
        double regret = 0;
        Instant updated{}; ///< Time as of which the figures are decayed.
    };
    /// Cheapest upstream, or none if the entry is null.
    struct Choice {
        const HintEntry *entry = nullptr;
        double cost = 0; ///< In microseconds of waiting time.
    };

    Route routeModel(const RouteQuery &query, const HintTable &hints, Instant now);
    Route routeService(const RouteQuery &query, const HintTable &hints) const;
    Route routeSuspect(const RouteQuery &query, const HintTable &hints) const;
    Choice cheapest(const RouteQuery &query, const HintTable::Entries &entries, AdapterDigest digest,
                    bool holders) const;
    double holderCost(const RouteQuery &query, const HintEntry &entry) const;
    double loadCost(const RouteQuery &query, const HintEntry &entry, AdapterDigest digest) const;
    double regionCost(const CallAttributes &call, const HintEntry &entry) const;
    double outstandingAt(const HintEntry &entry) const;
    double waitAt(const HintEntry &entry) const;
    double occupancy(const HintEntry &entry) const;
    const HintEntry *placed(const RouteQuery &query, const HintTable &hints, AdapterDigest digest, Instant now) const;
    Demand &track(const CallAttributes &call, AdapterDigest digest, Instant now);
    void prune(Instant now);

    NodeId m_self;
    RegionId m_region;
    RouterSettings m_settings;
    std::vector<NodeId> m_members;
    std::unordered_map<UpstreamId, Local> m_local;
    std::unordered_map<CallId, UpstreamId> m_sent;
    std::unordered_map<AdapterDigest, Placement> m_placements;
    std::unordered_map<AdapterDigest, Demand> m_demand;
};

} // namespace Gypsumtally
