#include "processes/scenarios.h"

#include "processes/waiting.h"

#include <csignal>

namespace Gypsumtally::Processes
{
namespace
{

constexpr std::size_t callsDuring = 60;
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

void killADaemon(Stage &stage)
{
    stage.expectLossAt(0);
    stage.daemon(0).process().kill();
    stage.workload().leaveOut(0);
    stage.workload().awaitWhole(callsDuring);
    stage.daemon(0).start();
    stage.fleet().awaitReady();
    awaitThat("listing of the restarted daemon", [&] { return stage.entriesHold(1, 0); });
}

/// Resumes a daemon after its lease has expired and other daemons have taken over. The daemon continues with its stale
/// state.
void freezeADaemonPastItsLease(Stage &stage)
{
    stage.workload().leaveOut(0);
    stage.daemon(0).process().signal(SIGSTOP);
    awaitThat("expiry of the lease", [&] { return !stage.isRegistered(0); });
    stage.workload().awaitWhole(callsDuring);
    stage.daemon(0).process().signal(SIGCONT);
    stage.workload().awaitWhole(callsDuring);
    awaitThat("new registration of the daemon", [&] { return stage.isRegistered(0); });
}

void restartAnEngine(Stage &stage)
{
    stage.engine(0).process().kill();
    stage.workload().awaitWhole(callsDuring);
    stage.engine(0).start();
    stage.workload().awaitWhole(callsDuring);
}

/// Disturbs the key-value service. Model calls must succeed during the fault; bookings may fail with "not-run" at once
/// and must succeed again after recovery.
void cutOffTheStore(Stage &stage, const json::object &fault, const json::object &cure)
{
    Fleet::order(stage.fleet().keyValue(), fault);
    stage.workload().awaitWhole(callsDuring);
    Fleet::order(stage.fleet().keyValue(), cure);
    const auto booked = [&] {
        std::size_t whole = 0;
        for (const auto &result : stage.results().all())
            whole += result.whole && !result.booking.key.empty() ? 1 : 0;
        return whole;
    };
    const auto before = booked();
    awaitThat("bookings after recovery", [&] { return booked() >= before + 5; });
}

void refuseTheStore(Stage &stage)
{
    cutOffTheStore(stage, {{"outage", "refuse"}}, {{"outage", "none"}});
}

void hangTheStore(Stage &stage)
{
    cutOffTheStore(stage, {{"outage", "hang"}}, {{"outage", "none"}});
}

void slowTheStore(Stage &stage)
{
    cutOffTheStore(stage, {{"delay_ms", 150}, {"reply_delay_ms", 150}}, {{"delay_ms", 0}, {"reply_delay_ms", 0}});
}

void loseTheStoresReplies(Stage &stage)
{
    cutOffTheStore(stage, {{"lose_reply", 0.2}}, {{"lose_reply", 0}});
}

void loseOrders(Stage &stage)
{
    for (const auto &engine : stage.fleet().engines())
        Fleet::order(*engine, {{"drop_orders", 3}, {"lose_order_replies", 3}, {"order_delay_ms", 100}});
    stage.workload().awaitWhole(callsDuring);
    for (const auto &engine : stage.fleet().engines())
        Fleet::order(*engine, {{"drop_orders", 0}, {"lose_order_replies", 0}, {"order_delay_ms", 0}});
}

void reclaimAnEngine(Stage &stage)
{
    Fleet::order(stage.fleet().vmList(), {{"upsert", json::array{stage.fleet().vm(stage.engine(0), "leaving")}}});
    const auto last = SteadyClock{}.now().time_since_epoch().count() + reclaimNoticeMicroseconds;
    awaitThat("end of the reclaim notice", [&] { return SteadyClock{}.now().time_since_epoch().count() > last; });
    stage.workload().awaitWhole(callsDuring);
    for (const auto &event : stage.engine(0).journal()) {
        if (Fakes::textAt(event, "event") == "start" && Fakes::integerAt(event, "t") > last)
            stage.fail("request started on a VM after its reclaim notice ended: " + json::serialize(event));
    }
}

/// Stops a daemon with SIGTERM. Callers use their cached entry list until they receive one without this daemon.
void stopADaemonGracefully(Stage &stage)
{
    stage.daemon(0).process().signal(SIGTERM);
    awaitThat("removal of the stopped daemon from the entry list", [&] { return !stage.entriesHold(1, 0); });
    stage.workload().leaveOut(0);
    if (stage.daemon(0).process().wait(longWait) != 0)
        stage.fail("the daemon did not exit with status 0");
}

std::size_t startCrashedEngines(Stage &stage)
{
    std::size_t crashed = 0;
    for (const auto &engine : stage.fleet().engines()) {
        if (engine->process().isRunning())
            continue;
        engine->start();
        ++crashed;
    }
    return crashed;
}

/// Sends a request that crashes every engine that runs it. Every node must soon quarantine it, that is, answer without
/// running it. Requests that ran on the same engine at the time of a crash must not be quarantined.
void sendACrashingRequest(Stage &stage)
{
    constexpr std::size_t mostCrashes = 8;
    const ModelCall crashing{"base/adapter-0@1", "CRASH-ENGINE", 4, false};
    std::size_t crashes = 0;
    std::size_t nodesThatRefuse = 0;
    awaitThat("quarantine of the crashing request on every node", [&] {
        auto &daemon = stage.daemon(nodesThatRefuse % stage.fleet().daemons().size());
        const auto result = send(daemon.endpoint(), crashing);
        const auto crashed = startCrashedEngines(stage);
        crashes += crashed;
        const bool isRefused = result.code == "quarantined" && result.verdict == "not-run" && crashed == 0;
        nodesThatRefuse = isRefused ? nodesThatRefuse + 1 : 0;
        return nodesThatRefuse == 2 * stage.fleet().daemons().size() || crashes > mostCrashes;
    });
    if (crashes > mostCrashes)
        stage.fail("the crashing request crashed too many engines: " + std::to_string(crashes));
    stage.workload().awaitWhole(callsDuring);
    for (const auto &result : stage.results().all()) {
        if (result.code == "quarantined")
            stage.fail("quarantined for the crash of another request: " + result.model.prompt);
    }
}

void breakTheService(Stage &stage, const json::object &fault)
{
    auto &service = *stage.fleet().services().front();
    for (int times = 0; times < 3; ++times) {
        Fleet::order(service, fault);
        awaitThat("crash of the service", [&] { return !service.process().isRunning(); });
        stage.workload().awaitWhole(callsDuring / 3);
        service.start();
        awaitThat("restart of the service", [&] { return Fleet::answers(service.endpoint(), "/fake/journal", 200); });
    }
}

/// Loses the reply of bookings that have run. Callers retry a booking with an unknown outcome through another node.
void crashTheServiceAfterTheEffect(Stage &stage)
{
    breakTheService(stage, {{"crash_after", 1}});
}

void crashTheServiceBeforeTheEffect(Stage &stage)
{
    breakTheService(stage, {{"crash_before", 1}});
}

} // namespace

const std::array<Scenario, scenarioCount> scenarios{{
    {"undisturbed", 15, fleet(), [](Stage &stage) { stage.workload().awaitWhole(callsDuring); }},
    {"daemon-killed", 1, fleet(), killADaemon},
    {"daemon-killed-without-fencing", 2, scarceSlots(false), killADaemon},
    {"daemon-frozen-with-fencing", 3, scarceSlots(true), freezeADaemonPastItsLease},
    {"daemon-frozen-without-fencing", 4, scarceSlots(false), freezeADaemonPastItsLease},
    {"engine-restarted", 5, fleet(), restartAnEngine},
    {"store-refuses", 6, fleet(), refuseTheStore},
    {"store-hangs", 7, fleet(), hangTheStore},
    {"store-slow", 8, fleet(), slowTheStore},
    {"store-loses-replies", 9, scarceSlots(false), loseTheStoresReplies},
    {"orders-lost", 10, scarceSlots(false), loseOrders},
    {"engine-reclaimed", 11, fleet(), reclaimAnEngine},
    {"daemon-stopped", 12, fleet(), stopADaemonGracefully},
    {"service-crashes-after", 13, fleet(), crashTheServiceAfterTheEffect},
    {"service-crashes-before", 14, fleet(), crashTheServiceBeforeTheEffect},
    {"crashing-request", 16, sixEngines(), sendACrashingRequest},
}};

} // namespace Gypsumtally::Processes
