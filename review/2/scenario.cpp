// One gateway loses power. Shortly after it, the first worker of a newer software version comes into service. Callers
// take their streams up at the other gateways, while all workers of the older version serve on.

#include "installation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Review;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t gateways = 3;
constexpr Duration streamInterval = milliseconds{65}; ///< Between two new streams, each at the next gateway.
constexpr unsigned events = 40; ///< Of each stream.
constexpr Duration eventPause = milliseconds{100};
constexpr Duration patience = seconds{15}; ///< `timeout_ms` of the route, and the callers' deadline.
constexpr Duration longestGap = seconds{2}; ///< After which callers abandon a stream: 4 x goal_ms, 8 x gap_target_ms.
constexpr Duration retryPause = milliseconds{300}; ///< After a failure without a Retry-After.
constexpr unsigned maxTries = 4; ///< Of one stream.
constexpr Duration darkTime = milliseconds{3500}; ///< `for_s` of the site's `node_kill` with `power`.
constexpr Duration releaseDelay = milliseconds{600}; ///< From the loss of power to the newer version's first worker.
constexpr unsigned judgedTakeUps = 12;

const char *const configuration = R"({"version": 1, "routes": [
    {"name": "stream", "host": "h.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 15000,
     "goal_ms": 500, "gap_target_ms": 250, "service": "model", "attempts": 2, "can_resume": true}],
    "services": [{"name": "model", "engine": {"slots": 48, "stride": 3, "adapter_slots": 8,
    "models": [{"name": "m", "weights_mb": 65100, "load_s": 5.3, "adapters": 3000, "adapter_mb": 12}]}}],
    "limits": {"header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})";

/// A stream of a caller, over all its tries.
struct Stream {
    std::size_t gateway = 0; ///< Of the current try.
    std::string id; ///< Of the current try.
    std::string firstId; ///< Of the try that brought the first event.
    unsigned lastEvent = 0;
    unsigned tries = 0;
    bool isTakenUp = false;
    bool goesOn = false; ///< It had a further event after it was taken up.
    bool isComplete = false;
    unsigned status = 0; ///< Of the current try.
    Duration retryAfter{}; ///< That the current try's answer asks for.
    std::string partial; ///< Bytes that are no whole event yet.
    std::string versions; ///< Software versions of its events, in order.
    Instant deadline{};
    Instant lastByteAt{};
    Relay::UpstreamClient::Token token = 0;
    bool isWaiting = false; ///< The current try has not ended.
};
using StreamPtr = std::shared_ptr<Stream>;

/// Callers who send streams, abandon those that are silent for too long, and take streams up that broke off.
class Callers
{
public:
    explicit Callers(Installation &installation)
        : m_installation(installation)
        , m_client(installation.loop())
    {
        sweep();
    }

    /// Sends new streams until stop() is called.
    void start()
    {
        if (m_stopped)
            return;
        auto stream = std::make_shared<Stream>();
        stream->deadline = BootClock{}.now() + patience;
        m_streams.push_back(stream);
        send(stream);
        m_installation.loop().runAfter(streamInterval, [this] { start(); });
    }

    void stop()
    {
        m_stopped = true;
    }

    /// Leaves @p gateway out from now on, as it answers no questions for its address.
    void avoid(std::size_t gateway)
    {
        m_avoided = gateway;
    }

    const std::vector<StreamPtr> &streams() const
    {
        return m_streams;
    }

private:
    std::size_t nextGateway()
    {
        do
            m_gateway = (m_gateway + 1) % gateways;
        while (m_gateway == m_avoided);
        return m_gateway;
    }

    void send(const StreamPtr &stream)
    {
        const auto now = BootClock{}.now();
        const auto left = stream->deadline - now;
        if (left <= Duration{} || stream->tries == maxTries)
            return;
        ++stream->tries;
        stream->gateway = nextGateway();
        stream->id = "s" + std::to_string(++m_sent);
        stream->status = 0;
        stream->retryAfter = {};
        stream->partial.clear();
        stream->lastByteAt = now;
        Http::Request request{"POST",
                              "/stream/1",
                              {{"Host", "h.example"},
                               {"X-Request-Id", stream->id},
                               {"X-Timeout-Ms", std::to_string(left.count() / 1000)},
                               {"X-Model", "m"},
                               {"X-Token-Count", "200,120"},
                               {"X-Prompt-Prefix", "aa:100," + std::to_string(m_streams.size()) + ":100"}},
                              "prompt"};
        if (stream->lastEvent > 0) {
            stream->isTakenUp = true;
            request.headers.add("Last-Event-Id", std::to_string(stream->lastEvent));
            request.headers.add("Resumes", stream->firstId);
        }
        m_installation.note(stream->id + " to " + m_installation.nameOf(stream->gateway)
                            + (stream->lastEvent > 0 ? ", resumes " + stream->firstId + " after event "
                                                           + std::to_string(stream->lastEvent)
                                                     : ""));
        Relay::SendOptions options;
        options.connectTimeout = seconds{1};
        options.timeout = left;
        Relay::ExchangeObserver observer;
        observer.onHead = [stream](const Relay::ResponseHead &head) {
            stream->status = head.status;
            const std::string pause(head.headers.get("Retry-After"));
            stream->retryAfter
                = milliseconds{pause.empty() ? 0 : static_cast<long>(1000 * std::strtod(pause.c_str(), nullptr))};
        };
        observer.onBody = [this, stream](std::string_view bytes) { onBytes(*stream, bytes); };
        observer.onEnd = [this, stream] { onOver(stream, true); };
        observer.onFailure = [this, stream](const Relay::FailedExchange &) { onOver(stream, false); };
        stream->isWaiting = true;
        stream->token = m_client.send({m_installation.callersAddress(stream->gateway), {}}, request,
                                      std::move(observer), options);
    }

    void onBytes(Stream &stream, std::string_view bytes)
    {
        stream.lastByteAt = BootClock{}.now();
        if (stream.status != 200)
            return;
        stream.partial += bytes;
        for (auto end = stream.partial.find("\n\n"); end != std::string::npos; end = stream.partial.find("\n\n")) {
            const auto event = stream.partial.substr(0, end);
            stream.partial.erase(0, end + 2);
            stream.lastEvent = static_cast<unsigned>(std::strtoul(event.c_str() + event.find("id: ") + 4, nullptr, 10));
            const auto version = event.substr(event.find("data: ") + 6);
            if (!stream.versions.ends_with(version))
                stream.versions += ' ' + version;
            if (stream.firstId.empty())
                stream.firstId = stream.id;
            stream.goesOn = stream.goesOn || stream.isTakenUp;
        }
    }

    void onOver(const StreamPtr &stream, bool isWhole)
    {
        stream->isWaiting = false;
        m_installation.note(stream->id + " ends: status " + std::to_string(stream->status)
                            + (isWhole ? "" : ", no complete answer") + ", last event "
                            + std::to_string(stream->lastEvent));
        stream->isComplete = isWhole && stream->status == 200;
        if (stream->isComplete)
            return;
        const auto left = stream->deadline - BootClock{}.now();
        const auto pause = stream->retryAfter > Duration{} ? std::min(stream->retryAfter, left / 3) : retryPause;
        m_installation.loop().runAfter(pause, [this, stream] { send(stream); });
    }

    void sweep()
    {
        const auto now = BootClock{}.now();
        m_client.sweep(now);
        for (const auto &stream : m_streams) {
            if (!stream->isWaiting || now - stream->lastByteAt < longestGap)
                continue;
            m_client.cancel(stream->token);
            onOver(stream, false);
        }
        m_installation.loop().runAfter(milliseconds{20}, [this] { sweep(); });
    }

    Installation &m_installation;
    Relay::UpstreamClient m_client;
    std::vector<StreamPtr> m_streams;
    std::size_t m_gateway = 0; ///< Of the last try.
    std::size_t m_avoided = gateways;
    unsigned m_sent = 0;
    bool m_stopped = false;
};

bool hasRelease()
{
    const char *value = std::getenv("RELEASE");
    return !value || std::strcmp(value, "0") != 0;
}

} // namespace

int main(int, char **arguments)
{
    Installation installation(arguments[1]);
    auto &store = installation.store();
    store.put("op/config", configuration);
    for (const auto *name : {"e1", "e2", "e3"})
        installation.addUpstream(name, "model", true).setStream(events, eventPause);
    for (const auto *zone : {"z1", "z2", "z3"})
        installation.addGateway(zone, store.endpoint());
    installation.waitUntilReady();
    installation.run(seconds{2});
    Callers callers(installation);
    callers.start();
    installation.run(seconds{8});
    if (hasTrouble()) {
        callers.avoid(0);
        installation.losePower(0, darkTime);
    }
    installation.run(releaseDelay);
    if (hasRelease()) {
        installation.note("e4, of version v2, comes into service");
        installation.addUpstream("e4", "model", true, "v2").setStream(events, eventPause);
    }
    installation.run(seconds{12});
    callers.stop();
    installation.run(seconds{10});

    unsigned sent = 0;
    unsigned begun = 0;
    unsigned takenUp = 0;
    unsigned goOn = 0;
    installation.note("streams: first id, taken up, goes on, complete, versions");
    for (const auto &stream : callers.streams()) {
        ++sent;
        begun += stream->firstId.empty() ? 0 : 1;
        takenUp += stream->isTakenUp ? 1 : 0;
        goOn += stream->goesOn ? 1 : 0;
        installation.note((stream->firstId.empty() ? "-" : stream->firstId) + (stream->isTakenUp ? " yes" : " no")
                          + (stream->goesOn ? " yes" : " no") + (stream->isComplete ? " yes" : " no")
                          + stream->versions);
    }
    const bool isBroken = takenUp >= judgedTakeUps && goOn * sent * 2 < begun * takenUp;
    installation.note(isBroken ? "the rule was broken" : "the rule held");
    installation.writeLedger();
    std::printf("%u of %u streams taken up went on, %u of %u new ones began\n", goOn, takenUp, begun, sent);
    if (begun * 2 < sent || (hasTrouble() && takenUp < judgedTakeUps))
        installation.giveUp("too few streams began or were taken up");
    return isBroken ? 1 : 0;
}
