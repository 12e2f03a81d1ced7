// All gateways are stopped and started again in turn. Callers that cannot learn of other addresses keep to their open
// channels. What a gateway accepts on them must be answered, also while it stops.

#include "installation.h"

#include "common/jsonfields.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <set>

using namespace Gypsumtally;
using namespace Gypsumtally::Review;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t gateways = 2;
constexpr unsigned callersPerZone = 24;
constexpr Duration restartGap = milliseconds{1000}; ///< Between two SIGTERMs; `gap_s` of `roll_term`.
constexpr Duration excusedTime = seconds{3}; ///< From SIGTERM on; requests sent then may be at work at the end.
constexpr Duration stopTime = seconds{9}; ///< `grace_s` and one second.
constexpr Duration patience = seconds{15}; ///< `timeout_ms` of the route, and the callers' deadline.
constexpr unsigned events = 120; ///< Of each stream; the site has up to 188.
constexpr Duration eventPause = milliseconds{38}; ///< Between two events, which take three steps of 10.1 ms and more.

const char *const configuration = R"({"version": 1, "routes": [
    {"name": "stream", "host": "h.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 15000,
     "goal_ms": 800, "gap_target_ms": 300, "service": "model", "attempts": 1}],
    "services": [{"name": "model", "engine": {"slots": 48, "stride": 3, "adapter_slots": 8,
    "models": [{"name": "m", "weights_mb": 65100, "load_s": 5.3, "adapters": 3000, "adapter_mb": 12}]}}],
    "limits": {"header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// A request and how it ended.
struct StreamCall {
    std::string id;
    std::size_t gateway = 0;
    Instant sentAt{};
    Instant endedAt{}; ///< Not set if it has not ended yet.
    unsigned status = 0; ///< 0 if there was no complete answer.
};

/// A caller that sends one stream request after the other on one open channel. It asks the gateways where to connect,
/// keeps the answer for its time to live or three times as long, and longer if it gets no other one.
class Caller
{
public:
    Caller(Installation &installation, std::vector<StreamCall> &calls, std::size_t zone, unsigned number)
        : m_installation(installation)
        , m_calls(calls)
        , m_zone(zone)
        , m_number(number)
        , m_client(installation.loop())
        , m_random(static_cast<unsigned>(zone * callersPerZone + number))
    {
        sweep();
        resolve(0);
    }

    void stop()
    {
        m_stopped = true;
    }

private:
    static constexpr Duration resolveTimeout = seconds{1};
    static constexpr Duration retryPause = milliseconds{500};

    void sweep()
    {
        m_client.sweep(BootClock{}.now());
        m_installation.loop().runAfter(milliseconds{20}, [this] { sweep(); });
    }

    /// Asks the @p attempt-th nearest gateway for addresses.
    void resolve(std::size_t attempt)
    {
        if (attempt == gateways) {
            m_installation.loop().runAfter(retryPause, [this] { resolve(0); });
            return;
        }
        Relay::SendOptions options;
        options.connectTimeout = resolveTimeout;
        options.timeout = resolveTimeout;
        options.maxIdleAge = {};
        const auto zone = "z" + std::to_string(m_zone + 1);
        m_client.fetch(
            {m_installation.directoryAddress((m_zone + attempt) % gateways), {}},
            {"GET", "/resolve?name=h.example&region=r1&zone=" + zone, {{"Host", "directory"}}, {}},
            [this, attempt](const Relay::WholeResponse &response) { onResolved(attempt, response); }, options);
    }

    void onResolved(std::size_t attempt, const Relay::WholeResponse &response)
    {
        const auto answer = response.head.status == 200 ? parseObject(response.body) : std::nullopt;
        const auto *addresses = answer ? arrayAt(*answer, "addrs") : nullptr;
        if (!addresses || addresses->empty())
            return resolve(attempt + 1);
        m_addresses.clear();
        for (const auto &address : *addresses)
            m_addresses.emplace_back(address.as_string());
        const auto ttl = numberAt<std::int64_t>(*answer, "ttl_s") * (m_number % 3 == 0 ? 3 : 1);
        m_installation.loop().runAfter(seconds{ttl}, [this] { resolve(0); });
        if (!std::exchange(m_started, true))
            m_installation.loop().runAfter(eventPause * events * m_number / callersPerZone, [this] { sendNext(); });
    }

    /// Sends the next request on the open channel, or on a new one if its address is not to be used any more.
    void sendNext()
    {
        if (m_stopped)
            return;
        if (std::ranges::find(m_addresses, m_address) == m_addresses.end())
            m_address = m_addresses[m_random() % m_addresses.size()];
        std::size_t gateway = 0;
        while (Http::toString(m_installation.callersAddress(gateway)) != m_address)
            ++gateway;
        const auto index = m_calls.size();
        const auto id = "s" + std::to_string(index);
        m_calls.push_back({id, gateway, BootClock{}.now(), {}, 0});
        const Http::Request request{"POST",
                                    "/stream/1",
                                    {{"Host", "h.example"},
                                     {"X-Request-Id", id},
                                     {"X-Timeout-Ms", std::to_string(patience.count() / 1000)},
                                     {"X-Model", "m"},
                                     {"X-Token-Count", "200,360"},
                                     {"X-Prompt-Prefix", "aa:100," + std::to_string(index) + ":100"}},
                                    "prompt"};
        Relay::SendOptions options;
        options.connectTimeout = seconds{1};
        options.timeout = patience;
        m_client.fetch(
            {m_installation.callersAddress(gateway), {}}, request,
            [this, index](const Relay::WholeResponse &response) {
                auto &call = m_calls[index];
                call.endedAt = BootClock{}.now();
                call.status = response.head.status;
                if (call.status == 200)
                    return sendNext();
                m_address.clear();
                m_installation.loop().runAfter(retryPause, [this] { sendNext(); });
            },
            options);
    }

    Installation &m_installation;
    std::vector<StreamCall> &m_calls;
    std::size_t m_zone;
    unsigned m_number;
    Relay::UpstreamClient m_client;
    std::mt19937 m_random; ///< Picks addresses.
    std::vector<std::string> m_addresses;
    std::string m_address; ///< Of the open channel.
    bool m_started = false;
    bool m_stopped = false;
};

} // namespace

int main(int, char **arguments)
{
    Installation installation(arguments[1]);
    auto &store = installation.store();
    store.put("op/config", configuration);
    for (const auto *name : {"e1", "e2"})
        installation.addUpstream(name, "model", true).setStream(events, eventPause);
    for (const auto *zone : {"z1", "z2"})
        installation.addGateway(zone, store.endpoint());
    installation.waitUntilReady();
    installation.run(seconds{2});
    std::vector<StreamCall> calls;
    calls.reserve(100000);
    std::vector<std::unique_ptr<Caller>> callers;
    for (unsigned number = 0; number < callersPerZone * gateways; ++number)
        callers.push_back(std::make_unique<Caller>(installation, calls, number % gateways, number / gateways));
    installation.run(seconds{12});
    if (hasTrouble()) {
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            installation.restartByTerm(gateway);
            installation.run(restartGap);
        }
    }
    installation.run(seconds{16});
    for (const auto &caller : callers)
        caller->stop();
    installation.run(seconds{8});

    std::set<std::string> passedOn;
    for (const auto &run : installation.ledger().runs)
        passedOn.insert(run.id);
    unsigned cut = 0;
    unsigned complete = 0;
    installation.note("calls: id, gateway, sent at ms, ended at ms, status (0: no complete answer)");
    for (const auto &call : calls) {
        const bool hasEnded = call.endedAt != Instant{};
        installation.note(call.id + ' ' + installation.nameOf(call.gateway) + ' '
                          + std::to_string(installation.millisecondsOf(call.sentAt)) + ' '
                          + (hasEnded ? std::to_string(installation.millisecondsOf(call.endedAt)) : "-") + ' '
                          + std::to_string(call.status));
        complete += call.status == 200 ? 1 : 0;
        const auto stoppedAt = installation.stoppedAt(call.gateway);
        if (stoppedAt == Instant{} || !hasEnded || call.status != 0 || !passedOn.contains(call.id)
            || call.sentAt <= stoppedAt + excusedTime || call.endedAt > stoppedAt + stopTime
            || call.endedAt >= call.sentAt + patience)
            continue;
        ++cut;
        installation.note("BROKEN: " + call.id + " was sent " + std::to_string((call.sentAt - stoppedAt).count() / 1000)
                          + " ms after the SIGTERM, passed on to a worker and cut "
                          + std::to_string((call.endedAt - stoppedAt).count() / 1000) + " ms after the SIGTERM");
    }
    installation.note(cut == 0 ? "the rule held" : "the rule was broken");
    installation.writeLedger();
    if (complete < callersPerZone)
        installation.giveUp("too few streams were answered");
    std::printf("%u requests were cut, %u streams were complete\n", cut, complete);
    return cut == 0 ? 0 : 1;
}
