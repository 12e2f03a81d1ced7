#include "load/benchmark.h"

#include "load/workload.h"

#include "limits/admission.h"
#include "residency/enginescheduler.h"
#include "routing/router.h"

#include <set>

namespace Gypsumtally::Load
{

namespace
{

constexpr std::uint32_t slots = 8;
constexpr std::uint32_t concurrency = 16;

/// Runs @p work, which processes @p calls calls, and returns its time in nanoseconds per call.
template<typename Work>
double nanosecondsEach(std::size_t calls, Work &&work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(calls);
}

std::vector<Arrival> drawCalls(std::uint32_t adapters, std::uint32_t calls)
{
    Deployment deployment;
    deployment.adapters = adapters;
    Workload workload{deployment, Scenario{}, 1};
    std::vector<Arrival> arrivals;
    for (std::uint32_t i = 0; i < calls; ++i)
        arrivals.push_back(workload.next());
    return arrivals;
}

HintTable hintsFor(std::uint32_t engines)
{
    HintTable hints;
    for (std::uint32_t engine = 0; engine < engines; ++engine) {
        UpstreamHint hint;
        hint.upstream = {"engine" + std::to_string(engine)};
        hint.owner = {"node0"};
        hint.region = Workload::regionName(engine % 3);
        hint.base = "base";
        hint.slots = slots;
        hint.freeSlots = 1;
        hint.concurrency = concurrency;
        hint.running = engine % concurrency;
        for (std::uint32_t slot = 0; slot + 1 < slots; ++slot)
            hint.loaded.push_back(digestOf(Workload::adapterName(engine + slot * engines)));
        hints.apply(std::move(hint), Instant{});
    }
    return hints;
}

double costOfAdmission(const std::vector<Arrival> &arrivals)
{
    Admission admission;
    return nanosecondsEach(arrivals.size(), [&] {
        for (const auto &arrival : arrivals) {
            static_cast<void>(admission.admit(arrival.call, arrival.call.arrival));
            admission.finished(arrival.call.id, arrival.call.arrival);
        }
    });
}

double costOfRouting(const std::vector<Arrival> &arrivals, std::uint32_t engines)
{
    Router router{{"node0"}, Workload::regionName(0)};
    const auto hints = hintsFor(engines);
    return nanosecondsEach(arrivals.size(), [&] {
        for (const auto &arrival : arrivals) {
            const auto route = router.route({.call = arrival.call, .excluded = {}}, hints, arrival.call.arrival);
            router.sent(arrival.call.id, std::get<RouteToUpstream>(route).upstream, arrival.call.arrival);
            router.finished(arrival.call.id);
        }
    });
}

/// An engine on which every action takes effect immediately.
struct InstantEngine {
    std::set<AdapterVersion> loaded;
    std::set<AdapterVersion> givenUp;
    std::uint32_t room = slots;

    bool mayDispatch(const AdapterVersion &adapter) const
    {
        return loaded.contains(adapter) && !givenUp.contains(adapter);
    }
    bool mayEvict(const AdapterVersion &adapter) const
    {
        return givenUp.contains(adapter);
    }
    bool isLoaded(const AdapterVersion &adapter) const
    {
        return loaded.contains(adapter);
    }
    std::uint32_t freeSlots() const
    {
        return room - static_cast<std::uint32_t>(loaded.size());
    }
};

/// Executes actions on the engine and reports their completion to the scheduler.
struct Executor {
    EngineScheduler &scheduler;
    InstantEngine &engine;
    Instant now{};

    void operator()(const DispatchCall &action) const
    {
        scheduler.finished(action.call, now);
    }
    void operator()(const RequestLoad &action) const
    {
        scheduler.loadGranted(action.adapter, now);
    }
    void operator()(const LoadAdapter &action) const
    {
        engine.givenUp.erase(action.adapter);
        engine.loaded.insert(action.adapter);
        scheduler.loaded(action.adapter, now);
    }
    void operator()(const EvictAdapter &action) const
    {
        engine.loaded.erase(action.adapter);
        scheduler.evicted(action.adapter, now);
    }
    void operator()(const GiveUpAdapter &action) const
    {
        engine.givenUp.insert(action.adapter);
        scheduler.givenUp(action.adapter, now);
    }
    void operator()(const WithdrawLoad &) const
    {
    }
    void operator()(const RejectCall &) const
    {
    }
};

double costOfScheduling(const std::vector<Arrival> &arrivals)
{
    EngineScheduler scheduler;
    InstantEngine engine;
    SchedulerActions actions;
    return nanosecondsEach(arrivals.size(), [&] {
        for (const auto &arrival : arrivals) {
            const auto now = arrival.call.arrival;
            scheduler.add(arrival.call, now, actions);
            do {
                for (const auto &action : actions)
                    std::visit(Executor{scheduler, engine, now}, action);
                actions.clear();
                scheduler.pump(engine, now, actions);
            } while (!actions.empty());
        }
    });
}

} // namespace

std::vector<DecisionCost> measureDecisions(std::uint32_t adapters, std::uint32_t engines, std::uint32_t calls)
{
    const auto arrivals = drawCalls(adapters, calls);
    return {
        {"admission", adapters, engines, costOfAdmission(arrivals)},
        {"routing", adapters, engines, costOfRouting(arrivals, engines)},
        {"scheduling, including loads and evictions", adapters, engines, costOfScheduling(arrivals)},
    };
}

} // namespace Gypsumtally::Load
