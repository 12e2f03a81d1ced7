#pragma once

#include "load/fleet.h"

#include "common/enumtable.h"

#include <deque>
#include <vector>

namespace Gypsumtally::Load
{

/// The algorithm by which a baseline policy chooses an engine.
enum class BaselineKind {
    RandomWorker,
    LeastLoaded,
    AdapterAffinity, ///< Rendezvous hashing by adapter.
};

/// A simple policy for comparison. It chooses an engine with up-to-date knowledge of all engines, runs the calls of an
/// engine in the order of class and arrival, loads adapters on demand in the order of the requests at the weight
/// store's rate, and evicts the least recently used adapter that no running or waiting call uses.
class BaselinePolicy
{
public:
    BaselinePolicy(Fleet &fleet, BaselineKind kind, std::uint64_t seed);

private:
    struct Queue {
        std::vector<CallId> waiting; ///< Sorted by class, then arrival.
        std::unordered_map<AdapterNumber, Instant> lastUse;
        std::set<AdapterNumber> requestedLoads;
    };
    struct LoadRequest {
        EngineNumber engine = 0;
        AdapterNumber adapter = 0;
    };

    void arrive(CallState &call);
    EngineNumber choose(const CallState &call);
    void enqueue(EngineNumber engine, CallState &call);
    void pump(EngineNumber engine);
    void serveStore();
    bool makeRoom(EngineNumber engine);
    void reroute(EngineNumber engine);
    bool waitsFor(EngineNumber engine, AdapterNumber adapter);

    Fleet &m_fleet;
    BaselineKind m_kind;
    std::mt19937_64 m_random;
    std::vector<Queue> m_queues;
    std::deque<LoadRequest> m_store;
};

} // namespace Gypsumtally::Load
