#include "processes/scenarios.h"

#include "processes/crowdthread.h"
#include "processes/processstatus.h"
#include "processes/waiting.h"

#include <csignal>

namespace Gypsumtally::Processes
{
namespace
{

constexpr std::size_t callsDuringFault = 60;
constexpr std::int64_t reclaimNoticeMicroseconds = 3'000'000;

FleetOptions fleet(bool fencing = true)
{
    FleetOptions options;
    options.fencing = fencing;
    return options;
}

FleetOptions scarceSlots(bool fencing)
{
    auto options = fleet(fencing);
    options.adapters = 9;
    options.slots = 2;
    return options;
}

FleetOptions sixEngines()
{
    auto options = fleet();
    options.engines = 6;
    return options;
}

void killDaemon(ScenarioContext &context)
{
    context.allowLossAt(0);
    context.daemon(0).process().kill();
    context.workload().excludeEntry(0);
    context.workload().awaitCompleteAnswers(callsDuringFault);
    context.daemon(0).start();
    context.fleet().awaitReady();
    waitUntil("listing of the restarted daemon", [&] { return context.listsEntry(1, 0); });
}

/// Resumes a daemon after its lease has expired and other daemons have taken over. The daemon continues with its stale
/// state.
void freezeDaemonPastLeaseExpiry(ScenarioContext &context)
{
    context.workload().excludeEntry(0);
    context.daemon(0).process().signal(SIGSTOP);
    waitUntil("expiry of the lease", [&] { return !context.isRegistered(0); });
    context.workload().awaitCompleteAnswers(callsDuringFault);
    context.daemon(0).process().signal(SIGCONT);
    context.workload().awaitCompleteAnswers(callsDuringFault);
    waitUntil("new registration of the daemon", [&] { return context.isRegistered(0); });
}

void restartEngine(ScenarioContext &context)
{
    context.engine(0).process().kill();
    context.workload().awaitCompleteAnswers(callsDuringFault);
    context.engine(0).start();
    context.workload().awaitCompleteAnswers(callsDuringFault);
}

/// Disturbs the key-value service. Model calls must succeed during the fault; bookings may fail with "not-run" at once
/// and must succeed again after recovery.
void disturbKeyValue(ScenarioContext &context, const json::object &fault, const json::object &recovery)
{
    Fleet::sendControl(context.fleet().keyValue(), fault);
    context.workload().awaitCompleteAnswers(callsDuringFault);
    Fleet::sendControl(context.fleet().keyValue(), recovery);
    const auto booked = [&] {
        std::size_t complete = 0;
        for (const auto &result : context.results().all())
            complete += result.isComplete && !result.booking.key.empty() ? 1 : 0;
        return complete;
    };
    const auto before = booked();
    waitUntil("bookings after recovery", [&] { return booked() >= before + 5; });
}

void refuseKeyValueCalls(ScenarioContext &context)
{
    disturbKeyValue(context, {{"outage", "refuse"}}, {{"outage", "none"}});
}

void hangKeyValue(ScenarioContext &context)
{
    disturbKeyValue(context, {{"outage", "hang"}}, {{"outage", "none"}});
}

void slowKeyValue(ScenarioContext &context)
{
    disturbKeyValue(context, {{"delay_ms", 150}, {"reply_delay_ms", 150}}, {{"delay_ms", 0}, {"reply_delay_ms", 0}});
}

void loseKeyValueReplies(ScenarioContext &context)
{
    disturbKeyValue(context, {{"lose_reply", 0.2}}, {{"lose_reply", 0}});
}

void loseOrders(ScenarioContext &context)
{
    for (const auto &engine : context.fleet().engines())
        Fleet::sendControl(*engine, {{"drop_orders", 3}, {"lose_order_replies", 3}, {"order_delay_ms", 100}});
    context.workload().awaitCompleteAnswers(callsDuringFault);
    for (const auto &engine : context.fleet().engines())
        Fleet::sendControl(*engine, {{"drop_orders", 0}, {"lose_order_replies", 0}, {"order_delay_ms", 0}});
}

void reclaimEngine(ScenarioContext &context)
{
    Fleet::sendControl(context.fleet().vmList(),
                       {{"upsert", json::array{context.fleet().vm(context.engine(0), "leaving")}}});
    const auto last = SteadyClock{}.now().time_since_epoch().count() + reclaimNoticeMicroseconds;
    waitUntil("end of the reclaim notice", [&] { return SteadyClock{}.now().time_since_epoch().count() > last; });
    context.workload().awaitCompleteAnswers(callsDuringFault);
    for (const auto &event : context.engine(0).journal()) {
        if (Fakes::textAt(event, "event") == "start" && Fakes::integerAt(event, "t") > last)
            context.addViolation("request started on a VM after its reclaim notice ended: " + json::serialize(event));
    }
}

/// Stops a daemon with SIGTERM. Callers use their cached entry list until they receive one without this daemon.
void stopDaemonGracefully(ScenarioContext &context)
{
    context.daemon(0).process().signal(SIGTERM);
    waitUntil("removal of the stopped daemon from the entry list", [&] { return !context.listsEntry(1, 0); });
    context.workload().excludeEntry(0);
    if (context.daemon(0).process().wait(waitTimeout) != 0)
        context.addViolation("the daemon did not exit with status 0");
}

void checkMemory(ScenarioContext &context)
{
    constexpr std::size_t machineKilobytes = std::size_t{260} * 1024;
    for (const auto &daemon : context.fleet().daemons()) {
        const auto peak = memoryOf(daemon->process().id(), "VmHWM");
        if (peak > machineKilobytes)
            context.addViolation("too much memory: " + daemon->name() + " has taken " + std::to_string(peak) + " kB");
    }
}

/// Lets crowds of untrusted callers use both listeners of all daemons, while one daemon is stopped and started again
/// and another one is killed.
void sendCrowds(ScenarioContext &context)
{
    std::vector<Http::Endpoint> listeners;
    for (std::size_t index = 0; index < context.fleet().daemons().size(); ++index) {
        listeners.push_back(context.daemon(index).endpoint());
        listeners.push_back(context.fleet().peerEndpoint(index));
    }
    const CrowdThread crowds(std::move(listeners), context.seed());
    context.workload().awaitCompleteAnswers(callsDuringFault);
    checkMemory(context);
    context.allowLossAt(1);
    context.daemon(1).process().kill();
    context.daemon(1).start();
    context.workload().awaitCompleteAnswers(callsDuringFault);
    stopDaemonGracefully(context);
    context.daemon(0).start();
    context.fleet().awaitReady();
    context.workload().awaitCompleteAnswers(callsDuringFault);
    checkMemory(context);
}

std::size_t startCrashedEngines(ScenarioContext &context)
{
    std::size_t crashed = 0;
    for (const auto &engine : context.fleet().engines()) {
        if (engine->process().isRunning())
            continue;
        engine->start();
        ++crashed;
    }
    return crashed;
}

/// Sends a request that crashes every engine that runs it. Every node must soon quarantine it, that is, answer without
/// running it. Requests that ran on the same engine at the time of a crash must not be quarantined.
void sendCrashingRequest(ScenarioContext &context)
{
    constexpr std::size_t maxCrashes = 8;
    const ModelCall crashing{"base/adapter-0@1", "CRASH-ENGINE", 4, false};
    std::size_t crashes = 0;
    std::size_t consecutiveRejections = 0;
    waitUntil("quarantine of the crashing request on every node", [&] {
        auto &daemon = context.daemon(consecutiveRejections % context.fleet().daemons().size());
        const auto result = send(daemon.endpoint(), crashing);
        const auto crashed = startCrashedEngines(context);
        crashes += crashed;
        const bool isRefused = result.code == "quarantined" && result.verdict == "not-run" && crashed == 0;
        consecutiveRejections = isRefused ? consecutiveRejections + 1 : 0;
        return consecutiveRejections == 2 * context.fleet().daemons().size() || crashes > maxCrashes;
    });
    if (crashes > maxCrashes)
        context.addViolation("the crashing request crashed too many engines: " + std::to_string(crashes));
    context.workload().awaitCompleteAnswers(callsDuringFault);
    for (const auto &result : context.results().all()) {
        if (result.code == "quarantined")
            context.addViolation("quarantined for the crash of another request: " + result.model.prompt);
    }
}

void crashServiceRepeatedly(ScenarioContext &context, const json::object &fault)
{
    auto &service = *context.fleet().services().front();
    for (int times = 0; times < 3; ++times) {
        Fleet::sendControl(service, fault);
        waitUntil("crash of the service", [&] { return !service.process().isRunning(); });
        context.workload().awaitCompleteAnswers(callsDuringFault / 3);
        service.start();
        waitUntil("restart of the service", [&] { return Fleet::answers(service.endpoint(), "/fake/journal", 200); });
    }
}

/// Loses the reply of bookings that have run. Callers retry a booking with an unknown outcome through another node.
void crashServiceAfterEffect(ScenarioContext &context)
{
    crashServiceRepeatedly(context, {{"crash_after", 1}});
}

void crashServiceBeforeEffect(ScenarioContext &context)
{
    crashServiceRepeatedly(context, {{"crash_before", 1}});
}

} // namespace

const std::array<Scenario, scenarioCount> scenarios{{
    {"undisturbed", 15, fleet(),
     [](ScenarioContext &context) { context.workload().awaitCompleteAnswers(callsDuringFault); }},
    {"daemon-killed", 1, fleet(), killDaemon},
    {"daemon-killed-without-fencing", 2, scarceSlots(false), killDaemon},
    {"daemon-frozen-with-fencing", 3, scarceSlots(true), freezeDaemonPastLeaseExpiry},
    {"daemon-frozen-without-fencing", 4, scarceSlots(false), freezeDaemonPastLeaseExpiry},
    {"engine-restarted", 5, fleet(), restartEngine},
    {"store-refuses", 6, fleet(), refuseKeyValueCalls},
    {"store-hangs", 7, fleet(), hangKeyValue},
    {"store-slow", 8, fleet(), slowKeyValue},
    {"store-loses-replies", 9, scarceSlots(false), loseKeyValueReplies},
    {"orders-lost", 10, scarceSlots(false), loseOrders},
    {"engine-reclaimed", 11, fleet(), reclaimEngine},
    {"daemon-stopped", 12, fleet(), stopDaemonGracefully},
    {"service-crashes-after", 13, fleet(), crashServiceAfterEffect},
    {"service-crashes-before", 14, fleet(), crashServiceBeforeEffect},
    {"crashing-request", 16, sixEngines(), sendCrashingRequest},
    {"callers-crowd", 17, fleet(), sendCrowds},
}};

} // namespace Gypsumtally::Processes
