#pragma once

#include "load/results.h"
#include "load/scenario.h"
#include "load/workload.h"

#include "common/verdict.h"

#include <deque>
#include <functional>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Load
{

using EngineNumber = std::uint32_t;
using AdapterNumber = std::uint32_t;

/// An event queue in virtual time. Events due at the same time run in the order of their scheduling.
class EventQueue
{
public:
    Instant now() const
    {
        return m_now;
    }

    /// Schedules @p task after @p delay.
    void after(Duration delay, std::function<void()> task);

    /// Runs all events due up to and including @p end.
    void runUntil(Instant end);

private:
    struct Event {
        Instant at{};
        std::uint64_t sequence = 0;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Instant m_now{};
};

/// A simulated engine with adapter slots and one continuous batch. Step time grows with the number of calls in the
/// batch.
struct EngineModel {
    struct Running {
        CallId call = 0;
        AdapterNumber adapter = 0;
        std::uint32_t tokensLeft = 0;
    };

    std::uint32_t region = 0;
    bool alive = true;
    bool leaving = false;
    std::uint32_t incarnation = 0; ///< Incremented when the engine is lost.
    std::set<AdapterNumber> loaded;
    std::set<AdapterNumber> loading;
    std::vector<Running> running;
    bool stepping = false;
};

enum class LoadOutcome {
    Loaded,
    Refused, ///< The weight store refused the load because of its rate limit.
    Lost, ///< The engine was lost during the load.
};

/// The state and measurements of a call in progress.
struct CallState {
    Arrival arrival;
    std::optional<Instant> stalledSince;
    Duration stalled{}; ///< Total time spent waiting for its adapter to be loaded.
    bool running = false;
    bool ended = false;
};

/// Simulates the engines, weight store and callers of one run in virtual time and collects the results. A policy sets
/// the callbacks and controls calls and adapters with the methods below. Not thread-safe.
class Fleet
{
public:
    Fleet(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed);

    EventQueue events;
    std::vector<EngineModel> engines;
    Results results;

    /// Called for each new call.
    std::function<void(CallState &)> onArrival;
    std::function<void(EngineNumber, CallState &)> onFinished; ///< The engine has completed the call.
    std::function<void(CallState &)> onEnded; ///< The call has ended with any result.
    std::function<void(EngineNumber)> onLeaving; ///< The engine is reclaimed; onGone follows after the notice.
    std::function<void(EngineNumber)> onGone; ///< The engine is lost with its running calls.
    std::function<void(EngineNumber)> onBack; ///< The engine was replaced by one without loaded adapters.

    /// Runs the whole scenario. Call only once.
    void run();

    const Deployment &deployment() const;
    const Scenario &scenario() const;

    /// Starts a call on an engine. Precondition: its adapter is loaded there.
    void start(EngineNumber engine, CallState &call);

    /// Ends a call as not run. Does nothing if it has already ended.
    void reject(CallState &call);

    /// Records the begin and the end of the time that a call waits for its adapter to be loaded. Repeated calls do
    /// nothing.
    void beginStall(CallState &call);
    void endStall(CallState &call);

    /// Loads an adapter and calls @p done once with the outcome. Precondition: a slot is free.
    void load(EngineNumber engine, AdapterNumber adapter, std::function<void(LoadOutcome)> done);

    /// Evicts an adapter. Precondition: no running call uses it.
    void evict(EngineNumber engine, AdapterNumber adapter);

    /// Returns true if the two regions can currently reach each other.
    bool connected(std::uint32_t first, std::uint32_t second) const;

    /// Returns the one-way network latency between two regions, or within one.
    Duration hop(std::uint32_t first, std::uint32_t second) const;

    /// Returns true during an outage of the key-value service.
    bool keyValueDown() const;

    /// Returns the state of a call, or nullptr if it has ended.
    CallState *find(CallId call);

private:
    void scheduleArrival();
    void scheduleReclaims();
    void step(EngineNumber engine);
    void lose(EngineNumber engine);
    void finish(EngineNumber engine, CallState &call);
    void end(CallState &call, CallEnd end);
    bool isMeasured(const CallState &call) const;
    bool within(const std::optional<Span> &span) const;
    bool storeAccepts();

    Deployment m_deployment;
    Scenario m_scenario;
    Workload m_workload;
    std::unordered_map<CallId, CallState> m_calls;
    std::deque<Instant> m_loadStarts; ///< Start times of the loads of the last second.
    std::uint32_t m_loadsInFlight = 0;
};

} // namespace Gypsumtally::Load
