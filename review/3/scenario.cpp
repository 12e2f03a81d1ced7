// The store comes back from an older copy shortly after the orders to engines went from one gateway to another one. Two
// gateways must not give orders to one engine within `lease_ms` of each other, nor with a falling generation number.

#include "installation.h"

#include <cstdio>
#include <map>

using namespace Gypsumtally;
using namespace Gypsumtally::Review;

namespace
{

constexpr Duration leaseTime = std::chrono::milliseconds{3000}; ///< `lease_ms`
constexpr unsigned adapters = 60; ///< More than the engines hold, so that loads are always needed.

const char *const configuration = R"({"version": 1, "routes": [
    {"name": "stream", "host": "h.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 6000,
     "goal_ms": 800, "gap_target_ms": 300, "service": "model", "attempts": 2, "can_resume": true}],
    "services": [{"name": "model", "engine": {"slots": 48, "stride": 3, "adapter_slots": 8,
    "models": [{"name": "m", "weights_mb": 65100, "load_s": 5.3, "adapters": 3000, "adapter_mb": 12}]}}],
    "limits": {"header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// Returns the holder of the last accepted order to any engine, or an empty string.
std::string lastHolder(const Installation &installation, const std::string &engine)
{
    std::string holder;
    for (const auto &order : installation.ledger().orders) {
        if (order.instance == engine)
            holder = order.holder;
    }
    return holder;
}

bool hasOrdersOf(const Installation &installation, const std::string &engine, const std::string &holder, Instant since)
{
    for (const auto &order : installation.ledger().orders) {
        if (order.instance == engine && order.holder == holder && order.at >= since)
            return true;
    }
    return false;
}

/// Returns the number of violations: orders that follow one of another holder too soon, or with a lower number.
unsigned check(Installation &installation)
{
    struct Last {
        std::string holder;
        std::int64_t fence = 0;
        std::map<std::string, Instant> lastByHolder;
        std::map<std::int64_t, std::string> holders;
    };
    std::map<std::string, Last> engines;
    unsigned violations = 0;
    const auto report = [&](const Order &order, const std::string &text) {
        if (++violations <= 20)
            installation.note("BROKEN at " + std::to_string(installation.millisecondsOf(order.at))
                              + " ms: " + order.instance + " got an order of " + order.holder + " with number "
                              + std::to_string(order.fence) + ' ' + text);
    };
    for (const auto &order : installation.ledger().orders) {
        auto &last = engines[order.instance];
        for (const auto &[holder, at] : last.lastByHolder) {
            if (holder != order.holder && order.at - at < leaseTime)
                report(order, std::to_string((order.at - at).count() / 1000) + " ms after one of " + holder);
        }
        if (order.fence < last.fence)
            report(order, "after one with number " + std::to_string(last.fence));
        const auto [known, isNew] = last.holders.emplace(order.fence, order.holder);
        if (!isNew && known->second != order.holder)
            report(order, "which " + known->second + " has used too");
        last.fence = std::max(last.fence, order.fence);
        last.lastByHolder[order.holder] = order.at;
    }
    return violations;
}

} // namespace

int main(int, char **arguments)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    Installation installation(arguments[1]);
    auto &store = installation.store();
    store.put("op/config", configuration);
    for (const auto *name : {"e1", "e2", "e3"})
        installation.addUpstream(name, "model", true);
    for (const auto *zone : {"z1", "z2"})
        installation.addGateway(zone, store.endpoint());
    installation.waitUntilReady();
    unsigned next = 0;
    const auto form = [&next] {
        return CallForm{"POST", "/stream/1", seconds{6}, "m/a" + std::to_string(1 + next++ * 7 % adapters)};
    };
    for (std::size_t gateway = 0; gateway < 2; ++gateway)
        installation.keepSending(gateway, milliseconds{150}, form);
    const std::string engine = "e1";
    if (!installation.runUntil([&] { return !lastHolder(installation, engine).empty(); }, seconds{20}))
        installation.giveUp("no gateway gives orders");
    installation.run(seconds{4});
    const auto first = lastHolder(installation, engine);
    installation.note(first + " orders " + engine);

    // Planned work: the holder is restarted, and the other gateway takes over its orders.
    store.saveCopy();
    const auto copiedAt = BootClock{}.now();
    installation.note("copy of the store at revision " + std::to_string(store.revision()));
    installation.restartByTerm(installation.gatewayOf(first));
    const auto hasSuccessor = [&] { return lastHolder(installation, engine) != first; };
    if (!installation.runUntil(hasSuccessor, seconds{12}))
        installation.giveUp("no other gateway takes over");
    installation.note(lastHolder(installation, engine) + " orders " + engine);
    installation.run(milliseconds{1500});
    if (hasTrouble()) {
        installation.note("the store is away at revision " + std::to_string(store.revision()));
        store.goAway();
        installation.run(milliseconds{300});
        store.restore();
        installation.note("the store is back from the copy, "
                          + std::to_string((BootClock{}.now() - copiedAt).count() / 1000) + " ms old, at revision "
                          + std::to_string(store.revision()));
    }
    installation.run(seconds{10});
    installation.stopSending();
    installation.run(milliseconds{500});
    const auto violations = check(installation);
    installation.note(violations == 0 ? "the rule held" : "the rule was broken");
    installation.writeLedger();
    if (!hasOrdersOf(installation, engine, lastHolder(installation, engine), copiedAt))
        installation.giveUp("there were no orders");
    std::printf("%u violations\n", violations);
    return violations == 0 ? 0 : 1;
}
