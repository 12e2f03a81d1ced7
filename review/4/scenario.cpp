// One open channel between the gateways of a zone and the store goes silent for good: the one on which one of them
// watches the operators' documents for all. A version of an adapter that is declared more than `stable_ms` later must
// be used by all requests that begin `version_ms` after its ack.

#include "installation.h"
#include "silentproxy.h"

#include <cstdio>
#include <map>

using namespace Gypsumtally;
using namespace Gypsumtally::Review;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration versionBound = seconds{5}; ///< `version_ms`
constexpr Duration stableTime = seconds{3}; ///< `stable_ms`
constexpr Duration margin = seconds{1};
constexpr std::size_t gateways = 3;
constexpr unsigned adapters = 2; ///< The engines have places for more.

const char *const configuration = R"({"version": 1, "routes": [
    {"name": "stream", "host": "h.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 6000,
     "goal_ms": 800, "gap_target_ms": 300, "service": "model", "attempts": 2, "can_resume": true}],
    "services": [{"name": "model", "engine": {"slots": 48, "stride": 3, "adapter_slots": 8,
    "models": [{"name": "m", "weights_mb": 65100, "load_s": 5.3, "adapters": 3000, "adapter_mb": 12}]}}],
    "limits": {"header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// Returns the gateway that gave the last order to the engine that ran the last request for @p adapter.
std::string holderOfEngineWith(Installation &installation, const std::string &adapter)
{
    std::string engine;
    for (const auto &run : installation.ledger().runs) {
        if (run.adapter == adapter)
            engine = run.instance;
    }
    std::string holder;
    for (const auto &order : installation.ledger().orders) {
        if (order.instance == engine)
            holder = order.holder;
    }
    if (holder.empty())
        installation.giveUp("no gateway has ordered an engine with " + adapter);
    return holder;
}

} // namespace

int main(int, char **arguments)
{
    Installation installation(arguments[1]);
    auto &store = installation.store();
    std::vector<std::unique_ptr<SilentProxy>> paths; // From each gateway to the store.
    store.put("op/config", configuration);
    for (const auto *name : {"e1", "e2", "e3"})
        installation.addUpstream(name, "model", true);
    for (const auto *zone : {"z1", "z2", "z3"}) {
        paths.push_back(std::make_unique<SilentProxy>(installation.loop(), store.endpoint()));
        installation.addGateway(zone, paths.back()->endpoint());
    }
    installation.waitUntilReady();
    unsigned next = 0;
    const auto form = [&next] {
        return CallForm{"POST", "/stream/1", seconds{6}, "m/a" + std::to_string(1 + next++ % adapters)};
    };
    for (std::size_t gateway = 0; gateway < gateways; ++gateway)
        installation.keepSending(gateway, milliseconds{40}, form);
    installation.run(seconds{10});

    const auto holder = holderOfEngineWith(installation, "a1");
    installation.note(holder + " orders an engine that holds a1");
    auto silentAt = Instant{};
    if (hasTrouble()) {
        auto &path = *paths[installation.gatewayOf(holder)];
        path.silenceNext("/kv-watch?prefix=op/", [&] { silentAt = BootClock{}.now(); });
        if (!installation.runUntil([&] { return silentAt != Instant{}; }, seconds{20}))
            installation.giveUp("there was no watch on the operators' documents");
        installation.note("the channel of the watch on the operators' documents is silent");
    }
    installation.run(stableTime + margin);

    const auto revision = installation.declareVersion("a1", 2);
    const auto acknowledgedAt = BootClock{}.now();
    installation.note("version 2 of adapter a1 acknowledged at revision " + std::to_string(revision));
    installation.run(versionBound + seconds{10});
    installation.stopSending();
    installation.run(seconds{2});

    std::map<std::string, std::string> nodes;
    for (const auto &call : installation.calls())
        nodes[call.id] = call.node;
    unsigned outdated = 0;
    unsigned current = 0;
    for (const auto &run : installation.ledger().runs) {
        if (run.adapter != "a1" || run.at < acknowledgedAt + versionBound)
            continue;
        if (run.version >= 2) {
            ++current;
            continue;
        }
        ++outdated;
        installation.note("BROKEN: " + run.id + ", sent to " + nodes[run.id] + ", began on version "
                          + std::to_string(run.version) + " at " + run.instance + ' '
                          + std::to_string((run.at - acknowledgedAt).count() / 1000) + " ms after the ack");
    }
    installation.note(std::to_string(current) + " requests began on version 2 after the bound");
    installation.note(outdated == 0 ? "the rule held" : "the rule was broken");
    installation.writeLedger();
    if (current == 0 && outdated == 0)
        installation.giveUp("no request for the adapter ran after the bound");
    std::printf("%u requests began on an older version after the bound, %u on the new one\n", outdated, current);
    return outdated == 0 ? 0 : 1;
}
