#pragma once

#include "load/fleet.h"

#include "limits/admission.h"
#include "residency/enginescheduler.h"
#include "residency/loadbroker.h"
#include "routing/router.h"

#include <array>
#include <memory>
#include <vector>

namespace Gypsumtally::Load
{

/// Settings of the components under test.
struct PolicySettings {
    RouterSettings router{};
    SchedulerSettings scheduler{};
    LoadBrokerSettings broker{};
    AdmissionSettings admission{};
    bool prefetches = true; ///< Prefetch adapters.
};

/// Returns settings for the size and the weights of a deployment. Thread-safe.
PolicySettings settingsFor(const Deployment &deployment);

/// Runs the production routing, admission, scheduling and load broker code in the simulation. Each node has a router,
/// hints and admission; each engine has a scheduler on its owner, a node in its region. Messages have the latencies of
/// the deployment and are not delivered across a region cut.
class GypsumtallyPolicy
{
public:
    GypsumtallyPolicy(Fleet &fleet, PolicySettings settings);

private:
    struct Node {
        std::uint32_t region = 0;
        NodeId id;
        std::unique_ptr<Router> router;
        std::unique_ptr<Admission> admission;
        HintTable hints;
    };
    struct Engine {
        UpstreamId id;
        std::uint32_t owner = 0;
        std::unique_ptr<EngineScheduler> scheduler;
        std::set<AdapterNumber> givenUp; ///< Given up in the ownership record: never dispatched to, may be evicted.
        std::set<AdapterNumber> pendingGiveUps; ///< Writes of the record that give these adapters up are in flight.
        std::uint64_t sequence = 0;
        Epoch epoch = 1;
        bool leaving = false;
        std::optional<Instant> wakeAt;
    };
    /// The dispatches and evictions that ownership permits on one engine.
    struct Guard {
        const GypsumtallyPolicy &policy;
        EngineNumber engine;

        bool mayDispatch(const AdapterVersion &adapter) const;
        bool mayEvict(const AdapterVersion &adapter) const;
        bool isLoaded(const AdapterVersion &adapter) const;
        std::uint32_t freeSlots() const;
    };
    /// The routing history of a call.
    struct RoutingHistory {
        std::uint32_t entry = 0;
        std::vector<UpstreamId> excluded;
        std::uint32_t attempts = 0;
    };

    void arrive(CallState &call);
    void route(std::uint32_t node, CallId id, bool atHome);
    void deliver(std::uint32_t from, EngineNumber engine, CallId id);
    void add(EngineNumber engine, CallState &call);
    void refused(EngineNumber engine, CallId id, bool elsewhere);
    void ended(CallState &call);
    void pump(EngineNumber engine);
    void planWake(EngineNumber engine);
    void apply(EngineNumber engine, const SchedulerActions &actions);
    void apply(EngineNumber engine, const DispatchCall &action);
    void apply(EngineNumber engine, const RequestLoad &action);
    void apply(EngineNumber engine, const WithdrawLoad &action);
    void apply(EngineNumber engine, const LoadAdapter &action);
    void apply(EngineNumber engine, const EvictAdapter &action);
    void apply(EngineNumber engine, const GiveUpAdapter &action);
    void apply(EngineNumber engine, const RejectCall &action);
    void pumpBroker(std::size_t broker);
    std::size_t brokerOf(EngineNumber engine) const;
    std::uint32_t regionOfBroker(std::size_t broker) const;
    void publish();
    UpstreamHint hintOf(EngineNumber engine);
    void prefetch();
    void reset(EngineNumber engine);
    void startLeaving(EngineNumber engine);
    AdapterNumber numberOf(const AdapterVersion &adapter) const;
    EngineNumber engineOf(const UpstreamId &id) const;

    Fleet &m_fleet;
    PolicySettings m_settings;
    std::vector<Node> m_nodes;
    std::vector<Engine> m_engines;
    /// The broker of the whole fleet, and the fallback broker of a region that is cut off from it.
    std::array<std::unique_ptr<LoadBroker>, 2> m_brokers;
    std::array<std::optional<Instant>, 2> m_brokerWake;
    std::unordered_map<CallId, RoutingHistory> m_routingHistories;
    std::unordered_map<AdapterVersion, AdapterNumber> m_numbers;
    std::vector<AdapterDigest> m_digests;
    std::unordered_map<UpstreamId, EngineNumber> m_engineNumbers;
};

} // namespace Gypsumtally::Load
