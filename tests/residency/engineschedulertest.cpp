#include "residency/enginescheduler.h"

#include "support/table.h"

#include <map>
#include <random>
#include <set>

using namespace Gypsumtally;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

AdapterVersion adapter(int number)
{
    return {"base", "a" + std::to_string(number), "1"};
}

/// Fake engine and guard that complete every action immediately; Bench checks each action's preconditions.
struct Engine {
    std::uint32_t slots = 2;
    std::set<AdapterVersion> loaded;
    std::set<AdapterVersion> givenUp;
    std::map<CallId, AdapterVersion> running;
    std::vector<CallId> dispatched;
    std::vector<RejectCall> rejected;
    std::size_t loads = 0;
    bool grants = true;
    bool givesUp = true;
    std::vector<RequestLoad> asked;

    bool mayDispatch(const AdapterVersion &a) const
    {
        return loaded.contains(a) && !givenUp.contains(a);
    }
    bool mayEvict(const AdapterVersion &a) const
    {
        return givenUp.contains(a);
    }
    bool isLoaded(const AdapterVersion &a) const
    {
        return loaded.contains(a);
    }
    std::uint32_t freeSlots() const
    {
        return slots - static_cast<std::uint32_t>(loaded.size());
    }
};

/// A scheduler connected to a fake engine.
struct Bench {
    Engine engine;
    EngineScheduler scheduler;
    std::map<CallId, AdapterVersion> calls;
    Instant now{seconds{1000}};
    CallId lastId = 0;

    explicit Bench(SchedulerSettings settings = {.concurrency = 2})
        : scheduler(settings)
    {
    }

    CallId add(int number, ServiceClass serviceClass = ServiceClass::Standard, const char *customer = "c",
               std::optional<Duration> timeout = {})
    {
        CallAttributes call;
        call.id = ++lastId;
        call.model = adapter(number);
        call.customer = {customer};
        call.serviceClass = serviceClass;
        call.arrival = now;
        call.maxTokens = 1000;
        if (timeout)
            call.deadline = now + *timeout;
        calls[call.id] = *call.model;
        SchedulerActions actions;
        scheduler.add(call, now, actions);
        apply(actions);
        return call.id;
    }

    void finish(CallId call)
    {
        engine.running.erase(call);
        scheduler.finished(call, now);
    }

    void settle()
    {
        SchedulerActions actions;
        for (int round = 0; round < 100; ++round, actions.clear()) {
            scheduler.pump(engine, now, actions);
            if (actions.empty())
                return;
            apply(actions);
        }
        cr_assert_fail("the scheduler does not settle: action %zu", actions.empty() ? 99 : actions.front().index());
    }

    void apply(const SchedulerActions &actions)
    {
        for (const auto &action : actions)
            std::visit([&](const auto &a) { apply(a); }, action);
    }
    void apply(const DispatchCall &action)
    {
        cr_assert(engine.mayDispatch(calls[action.call]));
        engine.running[action.call] = calls[action.call];
        engine.dispatched.push_back(action.call);
    }
    void apply(const RequestLoad &action)
    {
        engine.asked.push_back(action);
        if (engine.grants)
            scheduler.loadGranted(action.adapter, now);
    }
    void apply(const WithdrawLoad &)
    {
    }
    void apply(const LoadAdapter &action)
    {
        cr_assert(engine.freeSlots() > 0 && !engine.loaded.contains(action.adapter));
        engine.givenUp.erase(action.adapter);
        engine.loaded.insert(action.adapter);
        ++engine.loads;
        scheduler.loaded(action.adapter, now);
    }
    void apply(const EvictAdapter &action)
    {
        for (const auto &[call, model] : engine.running)
            cr_assert(model != action.adapter);
        cr_assert(engine.givenUp.contains(action.adapter));
        engine.loaded.erase(action.adapter);
        scheduler.evicted(action.adapter, now);
    }
    void apply(const GiveUpAdapter &action)
    {
        for (const auto &[call, model] : engine.running)
            cr_assert(model != action.adapter);
        if (!engine.givesUp) {
            scheduler.giveUpFailed(action.adapter, seconds{5}, now);
            return;
        }
        engine.givenUp.insert(action.adapter);
        scheduler.givenUp(action.adapter, now);
    }
    void apply(const RejectCall &action)
    {
        cr_assert_eq(action.failure.verdict, Verdict::NotRun);
        engine.rejected.push_back(action);
    }
};

} // namespace

Test(EngineScheduler, coalescesMissesIntoOneLoad)
{
    Bench bench{{.concurrency = 8}};
    for (int i = 0; i < 5; ++i)
        bench.add(1);
    bench.settle();
    cr_assert_eq(bench.engine.loads, 1);
    cr_assert_eq(bench.engine.dispatched.size(), 5);
}

Test(EngineScheduler, requestsHighestClassFirst)
{
    Bench bench{{.concurrency = 8, .maxLoads = 1}};
    bench.engine.grants = false;
    bench.add(1, ServiceClass::Bulk);
    bench.settle();
    bench.add(2, ServiceClass::Urgent);
    bench.settle();
    cr_assert_eq(bench.engine.asked.size(), 2);
    cr_assert_eq(bench.engine.asked.back().adapter, adapter(2));
}

Test(EngineScheduler, servesUrgentFirstAndAgedBulkInTime)
{
    Bench bench{{.queue = {.maxCalls = 4096}, .concurrency = 1}};
    std::set<CallId> bulk;
    for (int i = 0; i < 20; ++i)
        bulk.insert(bench.add(1, ServiceClass::Bulk));
    std::size_t bulkServed = 0;
    std::size_t bulkServedEarly = 0;
    for (int round = 0; round < 200; ++round) {
        bench.add(1, ServiceClass::Urgent);
        bench.add(1, ServiceClass::Urgent);
        bench.settle();
        const auto call = bench.engine.dispatched.back();
        bulkServed += bulk.contains(call);
        bulkServedEarly += bulk.contains(call) && round < 10;
        bench.now += milliseconds{500};
        bench.finish(call);
    }
    cr_assert_eq(bulkServedEarly, 0);
    cr_assert_eq(bulkServed, 20);
}

Test(EngineScheduler, sharesEquallyBetweenCustomers)
{
    Bench bench{{.concurrency = 1}};
    std::map<CallId, bool> light;
    for (int i = 0; i < 100; ++i)
        light[bench.add(1, ServiceClass::Standard, "heavy")] = false;
    for (int i = 0; i < 20; ++i)
        light[bench.add(2, ServiceClass::Standard, "light")] = true;
    std::size_t lightServed = 0;
    for (int round = 0; round < 40; ++round) {
        bench.settle();
        const auto call = bench.engine.dispatched.back();
        lightServed += light[call];
        bench.finish(call);
    }
    cr_assert(lightServed >= 17, "the light customer got %zu of 40", lightServed);
}

Test(EngineScheduler, boundsQueueAndShedsBulkFirst)
{
    Bench bench{{.queue = {.maxCalls = 4}, .concurrency = 1}};
    bench.engine.grants = false;
    for (int i = 0; i < 4; ++i)
        bench.add(i, ServiceClass::Bulk);
    const auto refused = bench.add(9, ServiceClass::Bulk);
    cr_assert_eq(bench.engine.rejected.back().call, refused);
    const auto urgent = bench.add(9, ServiceClass::Urgent);
    cr_assert_neq(bench.engine.rejected.back().call, urgent);
    cr_assert_eq(bench.engine.rejected.size(), 2);
    cr_assert(bench.engine.rejected.back().failure.retryAfter.has_value());
    cr_assert_eq(bench.scheduler.load().waiting, 4);
}

Test(EngineScheduler, rejectsCallsPastDeadline)
{
    Bench bench;
    bench.engine.grants = false;
    const auto call = bench.add(1, ServiceClass::Urgent, "c", seconds{2});
    bench.settle();
    cr_assert_eq(bench.scheduler.nextWake().value(), bench.now + seconds{2});
    bench.now += seconds{2};
    bench.settle();
    cr_assert_eq(bench.engine.rejected.at(0).call, call);
    cr_assert_eq(bench.engine.rejected.at(0).failure.code, ErrorCode::DeadlineExceeded);
    cr_assert_eq(bench.scheduler.load().waiting, 0);
}

Test(EngineScheduler, rejectsCallsInOutageWithoutFreeSlots)
{
    Bench bench;
    const auto first = bench.add(1);
    const auto second = bench.add(2);
    bench.engine.givesUp = false;
    bench.settle();
    bench.finish(first);
    bench.finish(second);
    bench.add(3);
    bench.settle();
    bench.now += seconds{2};
    bench.settle();
    cr_assert_eq(bench.engine.rejected.size(), 1);
    cr_assert_eq(bench.engine.rejected[0].failure.code, ErrorCode::PlatformUnavailable);
    cr_assert_eq(bench.engine.loads, 2);
}

Test(EngineScheduler, rejectsWaitersOfFailedLoad)
{
    Bench bench;
    bench.engine.grants = false;
    bench.add(1);
    bench.settle();
    SchedulerActions actions;
    bench.scheduler.loadFailed(adapter(1), true, bench.now, actions);
    bench.apply(actions);
    cr_assert_eq(bench.engine.rejected.at(0).failure.code, ErrorCode::UnknownAdapter);
}

namespace
{

const std::uint32_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

} // namespace

// Bench checks each action; here every call must end exactly once.
TABLE_TEST(EngineScheduler, keepsInvariantsInRandomHistories, seeds)
{
    std::mt19937 random{row};
    Bench bench{{.concurrency = 3}};
    bench.engine.slots = 3;
    for (int step = 0; step < 2000; ++step) {
        bench.now += milliseconds{random() % 200};
        bench.engine.givesUp = step % 500 < 400;
        if (random() % 2)
            bench.add(static_cast<int>(random() % 12), static_cast<ServiceClass>(random() % 3), "c",
                      seconds{1 + random() % 60});
        if (random() % 8 == 0 && bench.lastId > 0)
            bench.engine.rejected.resize(bench.engine.rejected.size()
                                         + bench.scheduler.cancel(1 + random() % bench.lastId));
        if (random() % 2 && !bench.engine.running.empty())
            bench.finish(bench.engine.running.begin()->first);
        bench.settle();
    }
    bench.engine.givesUp = true;
    for (int step = 0; step < 3000; ++step) {
        bench.now += milliseconds{100};
        if (!bench.engine.running.empty())
            bench.finish(bench.engine.running.begin()->first);
        bench.settle();
    }
    cr_assert_eq(bench.scheduler.load().waiting, 0);
    cr_assert_eq(bench.engine.dispatched.size() + bench.engine.rejected.size(), bench.lastId);
    cr_assert(bench.engine.dispatched.size() > bench.lastId / 2);
}
