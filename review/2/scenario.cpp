// Another writer puts an entry with missing fields at the key of a worker, whose service and fields differ from those
// that the worker itself reports. Such an entry names no worker to use, so that no request may be sent by it.

#include "installation.h"

#include <cstdio>
#include <map>

using namespace Gypsumtally;
using namespace Gypsumtally::Review;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t gateways = 3;
constexpr unsigned foreignWrites = 5;
constexpr Duration foreignWritePause = seconds{1}; ///< The worker writes its own entry each 1.2 s.
constexpr std::string_view bookingPath = "/booking/1";
constexpr std::string_view photoPath = "/photo/1";

const char *const configuration = R"({"version": 1, "routes": [
    {"name": "booking", "host": "h.example", "prefix": "/booking/", "kind": "non_idempotent", "timeout_ms": 1200,
     "goal_ms": 120, "service": "registry", "attempts": 1},
    {"name": "photo", "host": "h.example", "prefix": "/photo/", "kind": "idempotent", "timeout_ms": 1200,
     "goal_ms": 120, "service": "photos", "attempts": 2}],
    "services": [{"name": "registry"}, {"name": "photos"}],
    "limits": {"header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// Returns an entry without `version`, `cold_ms` and `seq`, which all workers' own entries have.
std::string foreignEntry(const std::string &address)
{
    return R"({"service": "registry", "address": ")" + address + R"(", "zone": "z1", "slots": 48, "state": "ready"})";
}

CallForm callOf(const std::string &method, std::string_view path)
{
    CallForm form;
    form.method = method;
    form.path = path;
    return form;
}

} // namespace

int main(int, char **arguments)
{
    Installation installation(arguments[1]);
    auto &store = installation.store();
    store.put("op/config", configuration);
    for (const auto *name : {"r1", "r2"})
        installation.addUpstream(name, "registry", false);
    const auto &photos = installation.addUpstream("p1", "photos", false);
    for (const auto *zone : {"z1", "z2", "z3"})
        installation.addGateway(zone, store.endpoint());
    installation.waitUntilReady();
    installation.run(seconds{2});
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        installation.keepSending(gateway, milliseconds{50}, [] { return callOf("POST", bookingPath); });
        installation.keepSending(gateway, milliseconds{100}, [] { return callOf("GET", photoPath); });
    }
    installation.run(seconds{3});
    for (unsigned write = 0; hasTrouble() && write < foreignWrites; ++write) {
        const auto revision = store.put("servers/p1", foreignEntry(photos.address()));
        installation.note("another writer's entry at servers/p1, revision " + std::to_string(revision));
        installation.run(foreignWritePause);
    }
    installation.run(seconds{5});
    installation.stopSending();
    installation.run(seconds{2});

    std::map<std::string, const Call *> calls;
    for (const auto &call : installation.calls())
        calls[call.id] = &call;
    const std::map<std::string_view, char> firstLetters{{bookingPath, 'r'}, {photoPath, 'p'}}; ///< Of their workers.
    unsigned misrouted = 0;
    unsigned sound = 0;
    for (const auto &run : installation.ledger().runs) {
        const auto &call = *calls.at(run.id);
        if (run.instance.front() == firstLetters.at(call.path)) {
            ++sound;
            continue;
        }
        ++misrouted;
        installation.note("BROKEN: " + run.id + " (" + call.path + "), sent to " + call.node + ", was run by "
                          + run.instance + " at " + std::to_string(installation.millisecondsOf(run.at))
                          + " ms; its client got " + std::to_string(call.status));
    }
    installation.note(misrouted == 0 ? "the rule held" : "the rule was broken");
    installation.writeLedger();
    if (sound == 0)
        installation.giveUp("no request ran");
    std::printf("%u requests were run by another service, %u by their own\n", misrouted, sound);
    return misrouted == 0 ? 0 : 1;
}
