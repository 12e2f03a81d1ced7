#include "gateway/callforwarder.h"

#include "support/endlessserver.h"
#include "support/ownaddress.h"
#include "support/plaindialect.h"
#include "support/rawcaller.h"
#include "support/rawserver.h"
#include "support/scriptedserver.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Testing::PlainDialect;

namespace
{

using Exchange = std::shared_ptr<Relay::CallerExchange>;

Http::EventLoop *fixtureLoop = nullptr; ///< Event loop of the current test's fixture.
class ForwarderFixture;
ForwarderFixture *currentFixture = nullptr;

constexpr std::int64_t startTime = 7; ///< That upstreams state when they are asked.

Http::Headers signedFor(const Exchange &exchange)
{
    return {{"Id", std::string(exchange->request().headers.get("Id"))}, {"Proof", "p"}};
}

void answer(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), "whole"});
}

void fail(const Exchange &exchange)
{
    exchange->respond({500, signedFor(exchange), "failed"});
}

void refuseUnstarted(const Exchange &exchange)
{
    exchange->respond({503, {{"Not-Run", "1"}}, ""});
}

void applyBriefBackpressure(const Exchange &exchange)
{
    exchange->respond({503, {{"Not-Run", "1"}, {"Away-Ms", "300"}}, ""});
}

void applyBackpressure(const Exchange &exchange)
{
    exchange->respond({503, {{"Not-Run", "1"}, {"Away-Ms", "20000"}}, ""});
}

void answerAndLeave(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Leaving", "1");
    exchange->respond({200, headers, "whole"});
}

void refuseById(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Not-Run", "1");
    exchange->respond({503, headers, ""});
}

void answerAndLimit(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Limit", "1000");
    exchange->respond({200, headers, "whole"});
}

void refuseAndLeave(const Exchange &exchange)
{
    exchange->respond({503, {{"Not-Run", "1"}, {"Leaving", "1"}}, ""});
}

void failAndLeave(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Leaving", "1");
    exchange->respond({500, headers, "failed"});
}

void streamAndLeave(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Leaving", "1");
    exchange->begin(200, headers, std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    exchange->end();
}

void answerAnother(const Exchange &exchange)
{
    exchange->respond({200, {{"Id", "another"}, {"Proof", "p"}}, "another's"});
}

void cut(const Exchange &exchange)
{
    exchange->abort();
}

void streamAndCut(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\nid: 2\nda");
    exchange->abort();
}

/// Sends @p bytes @p times times, each after @p pause, and then ends the stream.
void writeLater(const Exchange &exchange, const std::string &bytes, Duration pause, int times)
{
    if (times == 0)
        return exchange->end();
    fixtureLoop->runAfter(pause, [=] {
        exchange->write(bytes);
        writeLater(exchange, bytes, pause, times - 1);
    });
}

/// Sends an event, then single bytes for 10 s, which is longer than callers wait.
void streamBytesOnly(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    writeLater(exchange, ":", std::chrono::milliseconds{100}, 100);
}

void streamSlowly(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    writeLater(exchange, "data: a\n\n", std::chrono::milliseconds{700}, 3);
}

/// Longer than any silence after which a request is moved to another upstream, and shorter than callers wait.
constexpr Duration soundSilence = std::chrono::milliseconds{1300};

void streamAfterSilence(const Exchange &exchange)
{
    fixtureLoop->runAfter(soundSilence, [exchange] {
        exchange->begin(200, signedFor(exchange), std::nullopt);
        exchange->write("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        exchange->end();
    });
}

void streamWithSilence(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    fixtureLoop->runAfter(soundSilence, [exchange] {
        exchange->write("id: 2\ndata: b\n\n");
        exchange->end();
    });
}

void answerAfterSilence(const Exchange &exchange)
{
    fixtureLoop->runAfter(soundSilence, [exchange] { answer(exchange); });
}

/// Sends the rest of the stream after the event from which the request resumes.
void streamRest(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    if (exchange->request().headers.get("Resume").empty())
        exchange->write("id: 1\ndata: a\n\n");
    exchange->write("id: 2\ndata: b\n\n");
    exchange->end();
}

/// Refuses a request, but answers a liveness check.
void aliveOrRefuse(const Exchange &exchange)
{
    if (exchange->request().target == "/alive")
        return exchange->respond({200, {}, std::to_string(startTime)});
    refuseById(exchange);
}

/// How far a request is when the configuration changes.
enum class ChangeStage {
    Accepted, ///< Waits before its first send.
    Received, ///< By an upstream, which has not answered.
    Refused, ///< By all upstreams, which apply backpressure.
    Streaming, ///< The caller has received a part of the answer.
};

/// A forwarder with two scripted upstreams, on one event loop over the loopback interface.
class ForwarderFixture
{
public:
    using Responder = void (*)(const Exchange &);

    explicit ForwarderFixture(std::vector<Responder> responders)
        : m_responders(std::move(responders))
        , m_logging(LogLevel::Error, LogFormat::Text, "n")
        , m_log(m_logging)
        , m_forwarder(m_loop, m_context, m_log, m_metrics)
        , m_upstreams{makeUpstream(0), makeUpstream(1)}
        , m_entry(m_loop, {}, [this](const Exchange &exchange) { acceptFromCaller(exchange); })
        , m_client(m_loop)
    {
        fixtureLoop = &m_loop;
        currentFixture = this;
        TrafficPolicy policy;
        policy.routes
            = {route("/safe/", RequestKind::Idempotent, false), route("/once/", RequestKind::NonIdempotent, false),
               route("/stream/", RequestKind::Streaming, true), route("/solo/", RequestKind::Streaming, false),
               route("/paced/", RequestKind::Streaming, true)};
        policy.routes.back().longestPause = std::chrono::milliseconds{300};
        policy.routes.back().callerPatience = std::chrono::milliseconds{3200};
        policy.services = {{"s", EngineProfile{}}};
        m_context.routes = std::make_shared<RouteTable>(policy);
        m_context.allowance = RetryAllowance({1, 100, std::chrono::seconds{10}, 1});
        int number = 0;
        for (auto &server : m_upstreams) {
            UpstreamRecord record;
            record.instance = "u" + std::to_string(number++);
            record.service = "s";
            record.slots = 4;
            record.endpoint = {m_address, server->listen({m_address, 0}), false};
            m_context.upstreams.onRecord(record, BootClock{}.now());
        }
        m_context.onLoadRequested
            = [](const std::string &, const ModelTarget &, const std::vector<std::string> &, unsigned) {};
        m_context.onSend = [this](const SendNotice &notice) {
            announced.push_back({notice.instance, notice.in});
            announcedTokens += notice.tokens;
        };
        tick();
    }

    /// Replaces the endpoints of both upstreams with @p endpoint.
    void replaceUpstreams(const Http::Endpoint &endpoint)
    {
        for (const auto *instance : {"u0", "u1"}) {
            auto record = m_context.upstreams.find(instance)->record;
            record.endpoint = endpoint;
            m_context.upstreams.onRecord(record, BootClock{}.now());
        }
    }

    /// Fills the prompt windows of both upstreams until @p time from now.
    void fillPromptWindows(Duration time)
    {
        const auto now = BootClock{}.now();
        for (const auto *instance : {"u0", "u1"}) {
            for (Duration at{}; at < time; at += std::chrono::milliseconds{100})
                m_context.upstreams.find(instance)->prompts.add(2000, now + at, now);
        }
    }

    /// Lets buffered answers take memory of @p budget only.
    void limitMemory(Budget::MemoryBudget &budget)
    {
        m_context.memory = &budget;
    }

    /// Lets @p calls of urgency 0 be in demand.
    void addUrgentDemand(unsigned calls)
    {
        m_context.reservesCapacity = true;
        for (unsigned i = 0; i < calls; ++i) {
            m_context.reserve.onArrived("s", 0, 100, BootClock{}.now());
            m_context.reserve.onStarted("s", 0, 500, BootClock{}.now());
        }
    }

    /// Sends a request whose caller disconnects after @p time.
    void askAndDisconnect(const std::string &path, const ModelTarget &target, Duration time)
    {
        m_loop.runAfter(time, [this] { m_client.cancel(1); });
        m_loop.runAfter(2 * time, [this] { m_loop.stop(); });
        ask(path, target);
    }

    Upstream &upstream(const std::string &instance)
    {
        return *m_context.upstreams.find(instance);
    }

    /// Makes the service brittle, and the node one of several.
    void makeBrittle(unsigned refusalsPerSecond, NodeRank rank)
    {
        m_context.upstreams.setBrittleness("s", {refusalsPerSecond, BootClock{}.now()});
        m_context.rank = rank;
    }

    /// Leaves no further sends of one request to the node.
    void spendRetries()
    {
        m_context.allowance.setBound({0, 0, std::chrono::seconds{10}, 1});
    }

    /// Withholds the configuration until @p time from now, or for good if @p time is zero.
    void configureAfter(Duration time)
    {
        const auto routes = std::exchange(m_context.routes, nullptr);
        if (time == Duration{})
            return;
        m_loop.runAfter(time, [this, routes] {
            m_context.routes = routes;
            m_forwarder.onConfiguration();
        });
    }

    /// Puts the configuration in force that @p change makes of the one before.
    void configure(void (*change)(TrafficPolicy &policy))
    {
        auto policy = m_context.routes->policy();
        ++policy.version;
        change(policy);
        m_context.routes = std::make_shared<RouteTable>(std::move(policy));
        std::erase_if(m_context.speeds, [&](const auto &item) { return !m_context.routes->service(item.first); });
        m_forwarder.onConfiguration();
    }

    /// Lets two software versions serve, of which both upstreams have the first, so that streams are resumed only at
    /// processes that state their start time.
    void mixSoftware()
    {
        for (const auto *instance : {"u0", "u1"}) {
            upstream(instance).record.startedAt = startTime;
            upstream(instance).record.softwareVersion = "v1";
        }
        m_context.streams.onServing("s", {{"v1", 2}, {"v2", 1}}, BootClock{}.now());
    }

    /// Lets load orders be available, as they are once a node has found their holder.
    void startLoads()
    {
        m_context.loadOrdersAvailable = true;
    }

    /// Simulates an outage of load orders that began @p time ago.
    void stopLoads(Duration time)
    {
        m_context.loadOrdersAvailable = false;
        m_context.loadOutageSince = BootClock{}.now() - time;
    }

    /// Returns the request limits that the node knows of both upstreams.
    unsigned knownLimits()
    {
        return (m_context.upstreams.find("u0")->limitsRequests() ? 1 : 0)
               + (m_context.upstreams.find("u1")->limitsRequests() ? 1 : 0);
    }

    Http::EventLoop &loop()
    {
        return m_loop;
    }

    /// Records a load of @p target at upstream @p instance that ends after @p time, which may be negative.
    void load(const std::string &instance, const ModelTarget &target, Duration time, std::uint64_t version = 0)
    {
        const auto now = BootClock{}.now();
        m_context.upstreams.find(instance)->residency.onLoading(target, version, now + time, now);
    }

    /// Limits @p organisation to one request per second, of which it can send one now.
    void limit(const std::string &organisation)
    {
        const auto now = BootClock{}.now();
        m_context.fleetAllowance.setLimits({{organisation, {1, 1, 1, false}}}, now - std::chrono::seconds{4});
        for (auto age = std::chrono::milliseconds{4000}; age.count() >= 0; age -= std::chrono::milliseconds{100})
            m_context.fleetAllowance.setHeardShare(1, now - age);
    }

    /// Returns what the limited organisation @p organisation was charged.
    double chargedTo(const std::string &organisation)
    {
        return m_context.fleetAllowance.uses(BootClock{}.now()).at(organisation).granted;
    }

    /// Records that @p version of @p target was declared @p age ago, of which this node learns now.
    void declare(const ModelTarget &target, std::uint64_t version, Duration age)
    {
        const auto now = BootClock{}.now();
        m_context.declare(target, version, now - age, now);
    }

    /// Sends a request to @p path and returns the status of the answer, or 0 if the answer was incomplete.
    unsigned ask(const std::string &path, const ModelTarget &target = {})
    {
        if (m_entryEndpoint.port == 0)
            m_entryEndpoint = {m_address, m_entry.listen({m_address, 0}), false};
        body.clear();
        Relay::ExchangeObserver observer;
        observer.onHead = [this](const Relay::ResponseHead &head) {
            m_status = head.status;
            retryAfter = std::string(head.headers.get("Retry-After"));
        };
        observer.onBody = [this](std::string_view piece) {
            body += piece;
            changeAt(ChangeStage::Streaming);
        };
        observer.onEnd = [this] { m_loop.stop(); };
        const auto asked = BootClock{}.now();
        observer.onFailure = [this](const Relay::FailedExchange &) {
            m_status = 0;
            m_loop.stop();
        };
        Http::Request request{"POST", path, {{"Host", "h"}, {"Id", requestId}}, "question"};
        if (!target.empty())
            request.headers.add("Target", target);
        if (!key.empty())
            request.headers.add("Key", key);
        m_client.send({m_entryEndpoint, {}}, request, std::move(observer), {});
        m_loop.context().restart();
        m_loop.run();
        elapsed = BootClock{}.now() - asked;
        return m_status;
    }

    /// Lets @p callers send @p requests requests each at once, and returns how many are refused within @p time.
    std::size_t askPipelined(std::size_t callers, std::size_t requests, Duration time)
    {
        const Http::Endpoint entry{"127.0.0.1", m_entry.listen({"127.0.0.1", 0}), false};
        std::vector<std::unique_ptr<Testing::RawCaller>> all;
        std::string text;
        for (std::size_t request = 0; request < requests; ++request)
            text += "POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: r" + std::to_string(request)
                    + "\r\nContent-Length: 1\r\n\r\nq";
        for (std::size_t caller = 0; caller < callers; ++caller) {
            all.push_back(std::make_unique<Testing::RawCaller>(m_loop, entry));
            all.back()->send(text);
        }
        Testing::RawCaller::runLoop(m_loop, time);
        std::size_t refusals = 0;
        for (const auto &caller : all) {
            const auto &answers = caller->received();
            for (auto at = answers.find("HTTP/1.1 503"); at != std::string::npos;
                 at = answers.find("HTTP/1.1 503", at + 1))
                ++refusals;
        }
        return refusals;
    }

    /// Lets a caller send a request and leave before the node's loop has run, or, if @p waits, while the request waits
    /// for a place that becomes free before the loop runs again. Precondition: ask() was called.
    void askAndLeave(bool waits, bool resets)
    {
        makeBrittle(3, {0, 1});
        auto caller = std::make_unique<Testing::RawCaller>(m_loop, m_entryEndpoint);
        for (const auto *instance : {"u0", "u1"})
            upstream(instance).peersInFlight = waits ? 4 : 0;
        caller->send("POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: r2\r\nContent-Length: 1\r\n\r\nq");
        if (waits)
            caller->wait(std::chrono::milliseconds{60});
        cr_assert_eq(m_forwarder.activeCalls(), waits ? 1U : 0U);
        if (resets)
            caller->reset();
        caller.reset();
        for (const auto *instance : {"u0", "u1"})
            upstream(instance).peersInFlight = 0;
        m_forwarder.onPlacement();
        Testing::RawCaller::runLoop(m_loop, std::chrono::milliseconds{100});
        cr_assert_eq(m_forwarder.activeCalls(), 0U);
    }

    /// Lets the node get SIGTERM @p time from now, and SIGKILL @p grace later.
    void stopAfter(Duration time, Duration grace)
    {
        m_loop.runAfter(time, [this, grace] {
            const auto now = BootClock{}.now();
            const StopSchedule schedule(now, now, grace);
            m_forwarder.beginStop(schedule);
            m_loop.runAfter(schedule.endOfCalls() - BootClock{}.now(), [this] { m_forwarder.endCalls(); });
        });
    }

    /// Lets the node be stopped for @p time by now, with @p grace; with @p others, another node takes calls.
    void beginStopBefore(Duration time, Duration grace, bool others)
    {
        if (others)
            m_context.relayPeers = [] { return std::vector<RelayPeer>(1); };
        const auto stoppedAt = BootClock{}.now() - time;
        m_forwarder.beginStop(StopSchedule(stoppedAt, stoppedAt, grace));
    }

    const StopCounts &stopCounts()
    {
        return m_forwarder.stopCounts();
    }

    /// Passes @p exchange to the forwarder and runs the loop for @p time.
    void accept(const std::shared_ptr<Relay::CallerExchange> &exchange, Duration time)
    {
        m_forwarder.accept(exchange);
        m_loop.runAfter(time, [this] { m_loop.stop(); });
        m_loop.context().restart();
        m_loop.run();
    }

    /// Puts the configuration of @p change in force when the next request has reached @p stage, in the same turn of the
    /// loop. @p prepare is called just before the request is accepted.
    void configureAt(ChangeStage stage, void (*change)(TrafficPolicy &policy),
                     void (*prepare)(ForwarderFixture &fixture))
    {
        m_stage = stage;
        m_change = change;
        m_prepare = prepare;
    }

    /// Runs @p action at @p delay after the change that configureAt() has scheduled.
    void afterChange(Duration delay, const std::function<void()> &action)
    {
        if (m_change)
            m_afterChange.push_back([this, delay, action] { m_loop.runAfter(delay, action); });
        else
            m_loop.runAfter(delay, action);
    }

    /// Runs the loop until the upstreams have received @p number requests, for @p time at most.
    void awaitSends(unsigned number, Duration time)
    {
        const auto until = BootClock{}.now() + time;
        while (sends < number && BootClock{}.now() < until) {
            m_loop.runAfter(std::chrono::milliseconds{10}, [this] { m_loop.stop(); });
            m_loop.context().restart();
            m_loop.run();
        }
    }

    /// Returns true if the change that configureAt() has scheduled is in force.
    bool isChanged() const
    {
        return !m_change;
    }

    struct Announcement {
        std::string instance;
        Duration in{};
    };

    /// Sends a request with @p key over the connection of @p caller and returns the bytes of the answer.
    std::string askOver(Testing::RawCaller &caller, const std::string &key)
    {
        const auto before = caller.received().size();
        caller.send("POST /safe/1 HTTP/1.1\r\nHost: h\r\nId: r2\r\nKey: " + key + "\r\nContent-Length: 1\r\n\r\nq");
        for (int i = 0; i < 200 && caller.received().size() == before; ++i)
            caller.wait(std::chrono::milliseconds{10});
        return caller.received().substr(before);
    }

    /// Connects a caller. Precondition: ask() was called.
    std::unique_ptr<Testing::RawCaller> connect()
    {
        return std::make_unique<Testing::RawCaller>(m_loop, m_entryEndpoint);
    }

    std::string metrics()
    {
        return m_metrics.text(BootClock{}.now());
    }

    std::string requestId = "r1"; ///< Of the next request.
    std::string key = "k1"; ///< Of the caller's organisation; empty: states none.
    std::string body;
    Duration elapsed{}; ///< Time that the last request took.
    std::string retryAfter; ///< Retry-After of the last answer.
    unsigned sends = 0;
    std::string received; ///< What the upstreams have received, to explain a failure.
    std::vector<std::size_t> sentTo; ///< Index of the upstream that received each send.
    std::vector<std::string> versions; ///< Adapter version that each send asked for; empty if any may serve.
    std::vector<std::string> organisations; ///< That each send named; "unchecked" if it did not state any or none.
    std::vector<std::string> priorities; ///< That each send stated.
    double announcedTokens = 0; ///< Sum over all announcements; withdrawals count as negative.
    std::vector<Announcement> announced; ///< Prompt announcements to other nodes.

private:
    static Route route(const char *prefix, RequestKind kind, bool canResume)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.kind = kind;
        route.canResume = canResume;
        route.attempts = 2;
        route.services = {{"s", 1}};
        return route;
    }

    void acceptFromCaller(const Exchange &exchange)
    {
        if (const auto prepare = std::exchange(m_prepare, nullptr))
            prepare(*this);
        m_forwarder.accept(exchange);
        changeAt(ChangeStage::Accepted);
    }

    void changeAt(ChangeStage stage)
    {
        if (!m_change || stage != m_stage)
            return;
        configure(std::exchange(m_change, nullptr));
        for (const auto &start : std::exchange(m_afterChange, {}))
            start();
    }

    bool isRefusedByAll()
    {
        return std::ranges::all_of(m_context.upstreams.all(),
                                   [](const auto &item) { return item.second.backpressureUntil != Instant{}; });
    }

    std::unique_ptr<Relay::CallerServer> makeUpstream(std::size_t number)
    {
        return std::make_unique<Relay::CallerServer>(
            m_loop, Relay::CallerServerSettings{}, [this, number](const Exchange &exchange) {
                const auto &request = exchange->request();
                received += request.method + ' ' + request.target + ' ' + std::string(request.headers.get("Id"))
                            + " at " + std::to_string(number) + "; ";
                sentTo.push_back(number);
                versions.emplace_back(request.headers.get("Version"));
                organisations.emplace_back(
                    request.headers.contains("Organisation") ? request.headers.get("Organisation") : "unchecked");
                priorities.emplace_back(request.headers.get("Priority"));
                const auto responder = m_responders[std::min<std::size_t>(sends++, m_responders.size() - 1)];
                changeAt(ChangeStage::Received);
                if (responder)
                    responder(exchange);
                else
                    m_held.push_back(exchange);
            });
    }

    void tick()
    {
        if (isRefusedByAll())
            changeAt(ChangeStage::Refused);
        m_forwarder.sweep(BootClock{}.now());
        m_client.sweep(BootClock{}.now());
        if (++m_ticks == ticksUntilLateAnswer && !m_held.empty())
            answer(m_held.back());
        m_loop.runAfter(std::chrono::milliseconds{20}, [this] { tick(); });
    }

    /// Far more than the silence after which an upstream counts as unresponsive.
    static constexpr int ticksUntilLateAnswer = 60;

    const std::string m_address = Testing::ownLoopbackAddress();
    std::vector<Responder> m_responders;
    std::vector<Exchange> m_held;
    int m_ticks = 0;
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;
    Http::EventLoop m_loop;
    CallContext m_context;
    CallForwarder<PlainDialect> m_forwarder;
    std::array<std::unique_ptr<Relay::CallerServer>, 2> m_upstreams;
    Relay::CallerServer m_entry;
    Relay::UpstreamClient m_client;
    Http::Endpoint m_entryEndpoint;
    unsigned m_status = 0;
    ChangeStage m_stage = ChangeStage::Accepted;
    void (*m_change)(TrafficPolicy &policy) = nullptr; ///< Not in force yet.
    void (*m_prepare)(ForwarderFixture &fixture) = nullptr;
    std::vector<std::function<void()>> m_afterChange;
};

struct ForwardCase {
    const char *path;
    /// A responder for each send; the last repeats. Null: no answer until much later.
    std::vector<ForwarderFixture::Responder> responders;
    unsigned status;
    const char *body; ///< Null: not checked.
    unsigned sends;
};

const ForwardCase cases[] = {
    {"/safe/1", {answer}, 200, "whole", 1},
    {"/safe/1", {fail, answer}, 200, "whole", 2},
    {"/safe/1", {fail, fail}, 500, "failed", 2}, // No attempts left: forwards the upstream's error unchanged.
    {"/safe/1", {cut, answer}, 200, "whole", 2},
    {"/safe/1", {answerAnother, answer}, 200, "whole", 2},
    {"/safe/1", {nullptr, answer}, 200, "whole", 2},
    {"/safe/1", {nullptr, nullptr}, 200, "whole", 2}, // The last attempt is not abandoned for silence.
    {"/once/1", {answer}, 200, "whole", 1},
    {"/once/1", {cut, answer}, 502, nullptr, 1}, // May have run: not retried, and no Retry-After.
    {"/once/1", {answerAnother, answer}, 502, nullptr, 1},
    {"/once/1", {fail, answer}, 500, "failed", 1},
    {"/once/1", {refuseUnstarted, answer}, 200, "whole", 2},
    {"/stream/1", {streamRest}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 1},
    {"/stream/1", {streamAndCut, streamRest}, 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2},
    {"/stream/1", {streamAndCut, streamAndCut}, 0, nullptr, 2},
    {"/solo/1", {streamAndCut, streamRest}, 0, "id: 1\ndata: a\n\n", 1}, // Aborted after a complete event.
    {"/solo/1", {cut, streamRest}, 502, nullptr, 1},
    {"/none/1", {answer}, 404, nullptr, 0},
};

} // namespace

TABLE_TEST(CallForwarder, answersByOutcome, cases)
{
    ForwarderFixture fixture(row.responders);
    cr_assert_eq(fixture.ask(row.path), row.status);
    if (row.body)
        cr_assert_eq(fixture.body, std::string(row.body), "%s", fixture.body.c_str());
    cr_assert_eq(fixture.sends, row.sends);
}

namespace
{

struct LoadCase {
    int usableInMs;
    bool ahead; ///< The announcement precedes the send.
};

const LoadCase loads[] = {{-100, false}, {200, true}, {20, true}};

} // namespace

TABLE_TEST(CallForwarder, announcesEachPromptOnce, loads)
{
    ForwarderFixture fixture({streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{row.usableInMs});
    cr_assert_eq(fixture.ask("/stream/1", "m/a"), 200U);
    cr_assert_eq(fixture.sends, 1U);
    cr_assert_eq(fixture.announced.size(), 1U);
    cr_assert_eq(fixture.announced.front().instance, std::string("u0"));
    cr_assert_eq(fixture.announced.front().in > Duration{}, row.ahead);
}

namespace
{

struct LeaveCase {
    const char *path;
    ForwarderFixture::Responder responder; ///< Gives the first answer, which announces that the upstream leaves.
    unsigned status;
};

const LeaveCase leaves[] = {
    {"/safe/1", answerAndLeave, 200},   {"/once/1", answerAndLeave, 200}, {"/safe/1", refuseAndLeave, 200},
    {"/stream/1", streamAndLeave, 200}, {"/safe/1", failAndLeave, 200},
};

} // namespace

TABLE_TEST(CallForwarder, excludesLeavingUpstream, leaves)
{
    ForwarderFixture fixture({row.responder, answer, answer, answer, answer, answer});
    cr_assert_eq(fixture.ask(row.path), row.status);
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(fixture.ask("/safe/1"), 200U);
    const auto left = fixture.sentTo.front();
    cr_assert_eq(std::ranges::count(fixture.sentTo, left), 1);
}

Test(CallForwarder, avoidsUpstreamUnderBackpressure)
{
    ForwarderFixture fixture({applyBackpressure, answer, answer, answer, answer});
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(fixture.ask("/once/1"), 200U);
    cr_assert_eq(std::ranges::count(fixture.sentTo, fixture.sentTo.front()), 1);
}

Test(CallForwarder, refusesWithRetryAfterUnderFullBackpressure)
{
    ForwarderFixture fixture({applyBackpressure, applyBackpressure, answer});
    const auto before = BootClock{}.now();
    for (int i = 0; i < 3; ++i) {
        cr_assert_eq(fixture.ask("/once/1"), 429U);
        const double seconds = std::stod(fixture.retryAfter);
        cr_assert(seconds > 18 && seconds <= 20, "%s", fixture.retryAfter.c_str());
    }
    cr_assert(BootClock{}.now() - before < std::chrono::seconds{1});
    cr_assert_eq(fixture.sends, 2U);
}

Test(CallForwarder, waitsOutBriefBackpressure)
{
    ForwarderFixture fixture({applyBriefBackpressure, applyBriefBackpressure, answer});
    const auto before = BootClock{}.now();
    cr_assert_eq(fixture.ask("/once/1"), 200U);
    cr_assert(BootClock{}.now() - before >= std::chrono::milliseconds{295});
    cr_assert_eq(fixture.sends, 3U);
}

Test(CallForwarder, queuedStreamAvoidsUpstreamUnderBackpressure)
{
    ForwarderFixture fixture({applyBackpressure, streamRest, streamRest, streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{-100});
    fixture.load("u1", "m/a", std::chrono::milliseconds{-100});
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(fixture.ask("/stream/1", "m/a"), 200U);
    cr_assert_eq(std::ranges::count(fixture.sentTo, fixture.sentTo.front()), 1);
}

namespace
{

struct EndlessCase {
    const char *path;
    const char *head;
    const char *filler;
};

const char chunked[] = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n";
const char closing[] = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nConnection: close\r\n\r\n";

const EndlessCase endless[] = {
    {"/once/1", "HTTP/1.1 200 ", "OK"},
    {"/once/1", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    {"/once/1", chunked, "0"},
    {"/once/1", "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n3;a=", "b"},
    {"/once/1", "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
    {"/once/1", closing, "x"},
    {"/once/1", chunked, "1\r\nx\r\n"},
    {"/once/1", "HTTP/1.1 500 Failed\r\nId: r1\r\nProof: p\r\nConnection: close\r\n\r\n", "x"},
    {"/stream/1", closing, "x"},
    {"/stream/1", closing, "data: x\n"},
    {"/stream/1", chunked, "1\r\nx\r\n"},
    {"/solo/1", closing, ": comment\n"},
};

/// Limit on the bytes of one send: an answer of 4 MiB in chunks of one byte, which take six bytes each on the wire,
/// plus the kernel's buffers.
constexpr std::size_t maxReceivedPerSend = 32 * 1024 * 1024;

} // namespace

/// An answer that never completes is abandoned long before the deadline, and the caller receives an error.
TABLE_TEST(CallForwarder, abandonsEndlessAnswers, endless)
{
    ForwarderFixture fixture({answer});
    Testing::EndlessServer server(fixture.loop(), row.head, row.filler);
    fixture.replaceUpstreams(server.endpoint());
    cr_assert_eq(fixture.ask(row.path), 502U);
    cr_assert(fixture.elapsed < std::chrono::milliseconds{4500});
    cr_assert_leq(server.connections, 2U);
    cr_assert_lt(server.bytesSent, server.connections * maxReceivedPerSend);
}

namespace
{

constexpr std::size_t largeAnswerBytes = 600 * 1024;

void answerLarge(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), std::string(largeAnswerBytes, 'x')});
}

struct AnswerMemoryCase {
    const char *name;
    std::size_t total; ///< Of the budget, in bytes.
    unsigned status;
};

const AnswerMemoryCase answerMemories[] = {
    {"enough", 8 * largeAnswerBytes, 200},
    {"too little", largeAnswerBytes, 502},
};

} // namespace

/// Guards against answers that are buffered beyond the callers' memory, and against memory that stays charged.
TABLE_TEST(CallForwarder, bufferedAnswersTakeMemoryOfCallers, answerMemories)
{
    Budget::MemoryLimits limits;
    limits.total = row.total;
    limits.reserve = row.total / 4;
    Budget::MemoryBudget budget(limits);
    ForwarderFixture fixture({answerLarge});
    fixture.limitMemory(budget);
    cr_assert_eq(fixture.ask("/once/1"), row.status);
    cr_assert_eq(budget.used(), 0U);
}

namespace
{

struct InvalidAnswerCase {
    const char *name;
    const char *path;
    const char *statusLine;
    const char *header; ///< Further line of the head.
    unsigned invalid; ///< Sends that get an invalid response; further ones get a whole answer or stream.
    unsigned status; ///< That the caller gets.
    unsigned sends;
};

const InvalidAnswerCase invalidAnswers[] = {
    {"not idempotent, 000", "/once/1", "HTTP/1.1 000 Unknown", "", 1, 502, 1},
    {"not idempotent, 600", "/once/1", "HTTP/1.1 600 Unknown", "", 1, 502, 1},
    {"not idempotent, 999", "/once/1", "HTTP/1.1 999 Unknown", "", 1, 502, 1},
    {"not idempotent, 101", "/once/1", "HTTP/1.1 101 Switching Protocols", "", 1, 502, 1},
    {"not idempotent, folded line", "/once/1", "HTTP/1.1 200 OK", "Folded: a\r\n b\r\n", 1, 502, 1},
    {"not idempotent, said to be not run", "/once/1", "HTTP/1.1 000 Unknown", "Not-Run: 1\r\n", 1, 502, 1},
    {"idempotent, once", "/safe/1", "HTTP/1.1 000 Unknown", "", 1, 200, 2},
    {"idempotent, each time", "/safe/1", "HTTP/1.1 000 Unknown", "", 9, 502, 2},
    {"stream that can resume", "/stream/1", "HTTP/1.1 000 Unknown", "", 1, 200, 2},
    {"stream that cannot", "/solo/1", "HTTP/1.1 000 Unknown", "", 1, 502, 1},
};

} // namespace

/// A worker in trouble sent status 000, which its caller got as a response.
TABLE_TEST(CallForwarder, passesOnNoInvalidResponse, invalidAnswers)
{
    ForwarderFixture fixture({answer});
    unsigned sends = 0;
    const std::string rest = "\r\nId: r1\r\nProof: p\r\n";
    Testing::ScriptedServer server(fixture.loop(), [&](const Testing::ScriptedRequest &) {
        if (++sends <= row.invalid)
            return row.statusLine + rest + row.header + "Content-Length: 3\r\n\r\nodd";
        return "HTTP/1.1 200 OK" + rest + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
    });
    fixture.replaceUpstreams(server.endpoint());
    const auto status = fixture.ask(row.path);
    cr_assert_eq(status, row.status, "%s: status %u", row.name, status);
    cr_assert(fixture.body.find("odd") == std::string::npos, "%s: %s", row.name, fixture.body.c_str());
    cr_assert_eq(sends, row.sends, "%s: %u", row.name, sends);
}

namespace
{

struct UnframedAnswerCase {
    const char *name;
    const char *path;
    const char *bytes; ///< After the head of the upstream's answer, which states neither a length nor chunks.
    Testing::ConnectionEnd end;
    unsigned status; ///< That the caller gets; 0 if it gets no whole answer.
    const char *body;
};

const UnframedAnswerCase unframed[] = {
    {"whole", "/once/1", "all of it", Testing::ConnectionEnd::Close, 200, "all of it"},
    {"reset", "/once/1", "only a pa", Testing::ConnectionEnd::Reset, 502, ""},
    {"a stream", "/solo/1", "id: 1\ndata: a\n\n", Testing::ConnectionEnd::Close, 200, "id: 1\ndata: a\n\n"},
    {"a stream, ended inside an event", "/solo/1", "id: 1\ndata: a\n\nid: 2\nda", Testing::ConnectionEnd::Close, 0,
     "id: 1\ndata: a\n\n"},
    {"a stream, reset after an event", "/solo/1", "id: 1\ndata: a\n\n", Testing::ConnectionEnd::Reset, 0,
     "id: 1\ndata: a\n\n"},
    {"a stream without an event", "/solo/1", "", Testing::ConnectionEnd::Close, 502, ""},
};

} // namespace

/// An upstream's answer without a length or chunks is framed for the caller, who can tell whether it is whole.
TABLE_TEST(CallForwarder, framesAnswersWithoutLength, unframed)
{
    ForwarderFixture fixture({answer});
    Testing::RawServer server(fixture.loop(), std::string("HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\n") + row.bytes,
                              row.end);
    fixture.replaceUpstreams(server.endpoint());
    const auto status = fixture.ask(row.path);
    cr_assert_eq(status, row.status, "%s: status %u", row.name, status);
    if (row.status != 502)
        cr_assert_eq(fixture.body, std::string(row.body), "%s", row.name);
}

/// Guards against a caller that gets a body in a transfer coding, whose name is not passed on.
TABLE_TEST(CallForwarder, passesOnNoCodedBody, Testing::codedAnswers)
{
    ForwarderFixture fixture({answer});
    Testing::RawServer server(
        fixture.loop(), std::string(row.version) + " 200 OK\r\nId: r1\r\nProof: p\r\n" + row.fields + "\r\n" + row.body,
        Testing::ConnectionEnd::Close);
    fixture.replaceUpstreams(server.endpoint());
    const auto status = fixture.ask("/once/1");
    cr_assert_eq(status, row.isWhole ? 200U : 502U, "%s: status %u", row.name, status);
    if (row.isWhole)
        cr_assert_eq(fixture.body, std::string(row.decoded), "%s: %s", row.name, fixture.body.c_str());
}

namespace
{

struct CutAnswerCase {
    const char *path;
    const char *bytes; ///< A whole answer, whose connection ends before its last byte.
};

const CutAnswerCase cutAnswers[] = {
    {"/once/1", "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 3\r\n\r\nxyz"},
    {"/once/1", "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n"},
    {"/solo/1",
     "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
};

} // namespace

/// Guards against an answer that is passed on as whole although its upstream has closed inside its head or body.
TABLE_TEST(CallForwarder, framesNoCutAnswerAsWhole, cutAnswers)
{
    const std::string whole = row.bytes;
    for (std::size_t length = 1; length < whole.size(); ++length) {
        ForwarderFixture fixture({answer});
        Testing::RawServer server(fixture.loop(), whole.substr(0, length),
                                  length % 2 == 0 ? Testing::ConnectionEnd::Close : Testing::ConnectionEnd::Reset);
        fixture.replaceUpstreams(server.endpoint());
        const auto status = fixture.ask(row.path);
        cr_assert(status == 502 || status == 0, "%s after %zu bytes: status %u", row.path, length, status);
    }
}

/// A stream that sends single bytes but completes no event is abandoned like a silent one.
Test(CallForwarder, abandonsStreamWithoutEvents)
{
    ForwarderFixture fixture({streamBytesOnly, streamRest});
    cr_assert_eq(fixture.ask("/stream/1"), 200U);
    cr_assert_eq(fixture.body, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    cr_assert(fixture.elapsed < std::chrono::milliseconds{2500});
    cr_assert_eq(fixture.sends, 2U);
}

namespace
{

struct SilenceCase {
    const char *name;
    const char *path;
    const char *target;
    ForwarderFixture::Responder responder; ///< Of the silent upstream, u0.
    const char *body; ///< Of its whole answer.
    void (*spoilOther)(ForwarderFixture &fixture); ///< Makes u1 unable to take the request.
};

const char wholeStream[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

void fillOther(ForwarderFixture &fixture)
{
    fixture.upstream("u1").peersInFlight = 4;
}

void dropCopyOfOther(ForwarderFixture &fixture)
{
    fixture.upstream("u1").residency.onDropped("m/a", BootClock{}.now());
}

void loadCopyOfOther(ForwarderFixture &fixture)
{
    dropCopyOfOther(fixture);
    fixture.load("u1", "m/a", std::chrono::seconds{4});
}

void fillPromptWindowOfOther(ForwarderFixture &fixture)
{
    const auto now = BootClock{}.now();
    for (Duration at{}; at < std::chrono::seconds{4}; at += std::chrono::milliseconds{100})
        fixture.upstream("u1").prompts.add(2000, now + at, now);
}

void applyBackpressureOfOther(ForwarderFixture &fixture)
{
    fixture.upstream("u1").backpressureUntil = BootClock{}.now() + std::chrono::seconds{20};
}

void avoidOther(ForwarderFixture &fixture)
{
    fixture.upstream("u1").avoidUntil = BootClock{}.now() + std::chrono::seconds{4};
}

void changeSoftwareOfOther(ForwarderFixture &fixture)
{
    fixture.upstream("u1").record.softwareVersion = "v2";
}

void spendRetries(ForwarderFixture &fixture)
{
    fixture.spendRetries();
}

const SilenceCase silences[] = {
    {"begun, other full", "/paced/1", "m/a", streamWithSilence, wholeStream, fillOther},
    {"begun, other without copy", "/paced/1", "m/a", streamWithSilence, wholeStream, dropCopyOfOther},
    {"begun, other loading", "/paced/1", "m/a", streamWithSilence, wholeStream, loadCopyOfOther},
    {"begun, other reading prompts", "/paced/1", "m/a", streamWithSilence, wholeStream, fillPromptWindowOfOther},
    {"begun, other under backpressure", "/paced/1", "m/a", streamWithSilence, wholeStream, applyBackpressureOfOther},
    {"begun, other of another software", "/paced/1", "m/a", streamWithSilence, wholeStream, changeSoftwareOfOther},
    {"begun, other avoided", "/paced/1", "m/a", streamWithSilence, wholeStream, avoidOther},
    {"begun, no budget", "/paced/1", "m/a", streamWithSilence, wholeStream, spendRetries},
    {"begun without target, no budget", "/stream/1", "", streamWithSilence, wholeStream, spendRetries},
    {"not begun, other full", "/paced/1", "m/a", streamAfterSilence, wholeStream, fillOther},
    {"not begun, no budget", "/paced/1", "m/a", streamAfterSilence, wholeStream, spendRetries},
    {"plain, other under backpressure", "/safe/1", "", answerAfterSilence, "whole", applyBackpressureOfOther},
    {"plain, no budget", "/safe/1", "", answerAfterSilence, "whole", spendRetries},
};

} // namespace

/// Guards against a request that is cut off at a silent upstream although no other upstream can take it.
TABLE_TEST(CallForwarder, staysAtSilentUpstreamWithoutAnother, silences)
{
    ForwarderFixture fixture({row.responder, fail});
    for (const auto *instance : {"u0", "u1"})
        fixture.load(instance, "m/a", std::chrono::milliseconds{-1000});
    fixture.loop().runAfter(std::chrono::milliseconds{100}, [&] { row.spoilOther(fixture); });
    const auto status = fixture.ask(row.path, row.target);
    cr_assert_eq(status, 200U, "%s: status %u", row.name, status);
    cr_assert_eq(fixture.body, std::string(row.body), "%s: %s", row.name, fixture.body.c_str());
    cr_assert_eq(fixture.sends, 1U, "%s: %u sends", row.name, fixture.sends);
}

namespace
{

struct ExpectedVersionCase {
    const char *name;
    std::vector<std::pair<std::uint64_t, int>> declarations; ///< Version and age in milliseconds.
    std::uint64_t held; ///< Version of the copies.
    const char *expected;
};

const ExpectedVersionCase expectedVersions[] = {
    {"none declared", {}, 1, ""},
    {"newest", {{2, 100}}, 2, "2"},
    {"older, in the grace period", {{2, 100}}, 1, ""},
    {"older than the newest, first bound over", {{2, 9000}, {3, 100}}, 2, "2"},
    {"newest of two", {{2, 9000}, {3, 100}}, 3, "3"},
};

} // namespace

/// Guards against a request on a version that is ruled out, where this node's view of an engine is older than the
/// engine.
TABLE_TEST(CallForwarder, statesVersionOnceAnyIsRuledOut, expectedVersions)
{
    ForwarderFixture fixture({streamRest});
    for (const auto *instance : {"u0", "u1"})
        fixture.load(instance, "m/a", std::chrono::milliseconds{-1000}, row.held);
    for (const auto &[version, age] : row.declarations)
        fixture.declare("m/a", version, std::chrono::milliseconds{age});
    cr_assert_eq(fixture.ask("/paced/1", "m/a"), 200U, "%s", row.name);
    cr_assert_eq(fixture.versions.front(), std::string(row.expected), "%s: %s", row.name,
                 fixture.versions.front().c_str());
}

namespace
{

void streamWithoutEvent(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    fixtureLoop->runAfter(soundSilence, [exchange] { exchange->end(); });
}

void streamWithShortPause(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    fixtureLoop->runAfter(std::chrono::milliseconds{400}, [exchange] {
        exchange->write("id: 2\ndata: b\n\n");
        exchange->end();
    });
}

constexpr int boundIsNear = 4600; ///< Age of a declaration, in milliseconds.
constexpr int boundIsNotNear = 3000;

struct QueuedCase {
    const char *name;
    const char *path;
    ForwarderFixture::Responder responder; ///< Of u0, whose copy has version 1.
    int declaredMs; ///< Age of the declaration of version 2, of which the node learns after the send.
    std::uint64_t versionOfOther; ///< Version of the copy of u1, which is loaded after that; 0 if it has none.
    unsigned status;
    unsigned sends;
    bool isLeft; ///< The request leaves u0 before it begins.
};

const QueuedCase queuedCases[] = {
    {"not answered", "/stream/1", nullptr, boundIsNear, 2, 200, 2, true},
    {"head without an event", "/stream/1", streamWithoutEvent, boundIsNear, 2, 200, 2, true},
    {"may not run again", "/solo/1", streamWithoutEvent, boundIsNear, 2, 502, 1, true},
    {"no other copy", "/stream/1", streamWithoutEvent, boundIsNear, 0, 502, 1, true},
    {"begun", "/stream/1", streamWithShortPause, boundIsNear, 2, 200, 1, false},
    {"bound not near", "/stream/1", streamSlowly, boundIsNotNear, 2, 200, 1, false},
    {"not a stream", "/safe/1", answerAfterSilence, boundIsNear, 0, 200, 1, false}, // It shows no beginning.
};

} // namespace

/// Guards against a request that waits in an engine until the bound of a newer version is over, and then begins.
TABLE_TEST(CallForwarder, leavesSupersededCopyBeforeItBegins, queuedCases)
{
    ForwarderFixture fixture({row.responder, streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{-1000}, 1);
    fixture.loop().runAfter(std::chrono::milliseconds{100}, [&] {
        fixture.declare("m/a", 2, std::chrono::milliseconds{row.declaredMs});
        if (row.versionOfOther > 0)
            fixture.load("u1", "m/a", std::chrono::milliseconds{-1000}, row.versionOfOther);
    });
    const auto status = fixture.ask(row.path, "m/a");
    cr_assert_eq(status, row.status, "%s: status %u", row.name, status);
    cr_assert_eq(fixture.sends, row.sends, "%s: %u sends", row.name, fixture.sends);
    cr_assert_eq(fixture.elapsed < std::chrono::milliseconds{400}, row.isLeft, "%s", row.name);
}

namespace
{

struct RefusedMoveCase {
    const char *name;
    const char *path;
    const char *target;
    std::vector<ForwarderFixture::Responder> responders; ///< The last one may be that of either upstream.
    const char *body;
    unsigned sends; ///< With the liveness check of an upstream that broke off.
};

const RefusedMoveCase refusedMoves[] = {
    {"silent stream", "/paced/1", "m/a", {streamWithSilence, refuseById, streamRest}, wholeStream, 3},
    {"broken stream", "/paced/1", "m/a", {streamAndCut, aliveOrRefuse, aliveOrRefuse, streamRest}, wholeStream, 4},
    {"silent plain request", "/safe/1", "", {answerAfterSilence, refuseById, answer}, "whole", 3},
};

} // namespace

/// Guards against a request that is given up because the upstream to which it moved had no room at that moment.
TABLE_TEST(CallForwarder, keepsUpstreamThatRefusedAMovedRequest, refusedMoves)
{
    ForwarderFixture fixture(row.responders);
    for (const auto *instance : {"u0", "u1"})
        fixture.load(instance, "m/a", std::chrono::milliseconds{-1000});
    const auto status = fixture.ask(row.path, row.target);
    cr_assert_eq(status, 200U, "%s: status %u, %s", row.name, status, fixture.received.c_str());
    cr_assert_eq(fixture.body, std::string(row.body), "%s: %s", row.name, fixture.body.c_str());
    cr_assert_eq(fixture.sends, row.sends, "%s: %s", row.name, fixture.received.c_str());
}

/// Guards against a stream that is broken off, although its silent upstream goes on, as the next one is unreachable.
Test(CallForwarder, staysAtSilentUpstreamIfNextIsUnreachable)
{
    ForwarderFixture fixture({streamWithSilence, streamRest});
    for (const auto *instance : {"u0", "u1"})
        fixture.load(instance, "m/a", std::chrono::milliseconds{-1000});
    fixture.loop().runAfter(std::chrono::milliseconds{100}, [&] { fixture.upstream("u1").record.endpoint.port = 1; });
    const auto status = fixture.ask("/paced/1", "m/a");
    cr_assert_eq(status, 200U, "%u %s", status, fixture.received.c_str());
    cr_assert_eq(fixture.body, std::string(wholeStream), "%s", fixture.body.c_str());
    cr_assert_eq(fixture.sends, 1U, "%s", fixture.received.c_str());
}

namespace
{

/// Ends as an answer to a resumed stream does if its upstream has nothing to say.
void streamNothing(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), ""});
}

void streamErrorText(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Content-Type", "text/plain");
    exchange->respond({200, headers, "the engine failed\n\n"});
}

void streamWithOtherStatus(const Exchange &exchange)
{
    exchange->respond({206, signedFor(exchange), "id: 2\ndata: b\n\n"});
}

void streamFromTheStart(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"});
}

void streamAfterGap(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), "id: 4\ndata: d\n\n"});
}

void streamTwice(const Exchange &exchange)
{
    exchange->respond({200, signedFor(exchange), "id: 2\ndata: b\n\nid: 2\ndata: b\n\n"});
}

void streamHeadOfError(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Content-Type", "text/plain");
    exchange->respond({500, headers, "HTTP/1.1 500 Failed\r\n\r\nfailed\n\n"});
}

struct SecondRunCase {
    const char *name;
    ForwarderFixture::Responder second;
    const char *body; ///< That the caller gets, of an answer that is not whole.
};

constexpr char firstOfTwo[] = "id: 1\ndata: a\n\n";

const SecondRunCase secondRuns[] = {
    {"without an event", streamNothing, firstOfTwo},
    {"no event stream", streamErrorText, firstOfTwo},
    {"another status", streamWithOtherStatus, firstOfTwo},
    {"from the start", streamFromTheStart, firstOfTwo},
    {"after a gap", streamAfterGap, firstOfTwo},
    {"an event twice", streamTwice, wholeStream},
    {"an error with a head in its text", streamHeadOfError, firstOfTwo},
};

void streamTwoAndCut(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 0\ndata: z\n\nid: 1\ndata: a\n\nid: 2\nda");
    exchange->abort();
}

} // namespace

/// Guards against text that is no part of a stream in its middle, and against a stream that ends as if it were whole.
TABLE_TEST(CallForwarder, passesOnNothingButTheRestOfAStream, secondRuns)
{
    ForwarderFixture fixture({streamTwoAndCut, row.second});
    const auto status = fixture.ask("/stream/1");
    cr_assert_eq(status, 0U, "%s: status %u, %s", row.name, status, fixture.body.c_str());
    const std::string expected = std::string("id: 0\ndata: z\n\n") + row.body;
    cr_assert_eq(fixture.body, expected, "%s: %s", row.name, fixture.body.c_str());
    cr_assert_eq(fixture.sends, 2U, "%s: %u sends", row.name, fixture.sends);
}

/// A slow stream that keeps sending events is not abandoned.
Test(CallForwarder, keepsSlowStream)
{
    ForwarderFixture fixture({streamSlowly, streamRest});
    cr_assert_eq(fixture.ask("/stream/1"), 200U);
    cr_assert_eq(fixture.sends, 1U);
    cr_assert(fixture.elapsed > std::chrono::milliseconds{2000});
}

namespace
{

struct FullWindowCase {
    int windowFullMs; ///< Time for which the engines' prompt windows are full.
    unsigned status;
    int leastMs; ///< Bounds on the time until the answer.
    int mostMs;
};

const FullWindowCase fullWindows[] = {
    {0, 200, 0, 200},
    {1000, 200, 700, 1500},
    {4000, 429, 0, 200}, // Longer than the caller waits: refused at once.
    {60000, 429, 0, 200},
};

} // namespace

/// A request that cannot be served while its caller waits is refused immediately, not at its deadline.
TABLE_TEST(CallForwarder, refusesImmediatelyIfTooLate, fullWindows)
{
    ForwarderFixture fixture({streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{-1000});
    fixture.load("u1", "m/a", std::chrono::milliseconds{-1000});
    fixture.fillPromptWindows(std::chrono::milliseconds{row.windowFullMs});
    cr_assert_eq(fixture.ask("/paced/1", "m/a"), row.status);
    cr_assert(fixture.elapsed >= std::chrono::milliseconds{row.leastMs}, "%ld",
              static_cast<long>(fixture.elapsed.count()));
    cr_assert(fixture.elapsed <= std::chrono::milliseconds{row.mostMs}, "%ld",
              static_cast<long>(fixture.elapsed.count()));
    cr_assert_eq(fixture.retryAfter.empty(), row.status == 200);
}

namespace
{

struct YieldCase {
    const char *name;
    unsigned urgentCalls; ///< In demand lately.
    int leastMs; ///< Bounds on the time from the first announcement to the send.
    int mostMs;
};

/// Makes the callers' organisation less urgent than another one.
void addUrgentOrganisation(TrafficPolicy &policy)
{
    policy.organisations = {{{"urgent", {"k0"}, 0, {}}, {"usual", {"k1"}, 5, {}}}};
}

const YieldCase yieldCases[] = {
    {"the most urgent class", 0, 700, 1500},
    {"more urgent calls are in demand", 10, 0, 300},
};

} // namespace

/// Guards against less urgent requests that reserve the prompt pace far ahead, so that urgent ones find it taken.
TABLE_TEST(CallForwarder, reservesNotFarAheadOfUrgentRequests, yieldCases)
{
    ForwarderFixture fixture({streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{-1000});
    fixture.fillPromptWindows(std::chrono::milliseconds{1000});
    fixture.configure(addUrgentOrganisation);
    fixture.addUrgentDemand(row.urgentCalls);
    cr_assert_eq(fixture.ask("/paced/1", "m/a"), 200U, "%s", row.name);
    cr_assert_not(fixture.announced.empty(), "%s", row.name);
    const auto in = fixture.announced.front().in.count() / 1000;
    cr_assert(in >= row.leastMs && in <= row.mostMs, "%s: %ld ms", row.name, static_cast<long>(in));
}

/// Announcements are withdrawn if the caller disconnects, so that engines are not kept free for a prompt that will
/// never be sent.
Test(CallForwarder, withdrawsAnnouncementOnDisconnect)
{
    ForwarderFixture fixture({streamRest});
    fixture.load("u0", "m/a", std::chrono::milliseconds{-1000});
    fixture.fillPromptWindows(std::chrono::milliseconds{1500});
    fixture.askAndDisconnect("/paced/1", "m/a", std::chrono::milliseconds{300});
    cr_assert_eq(fixture.sends, 0U);
    cr_assert_geq(fixture.announced.size(), 2U);
    cr_assert_eq(fixture.announcedTokens, 0);
}

namespace
{

struct StartCase {
    int configuredAfter; ///< Time until the configuration is known, in ms; 0: never.
    const char *path;
    unsigned status;
    int longest; ///< Bound on the time until the answer, in ms.
};

/// All nodes have been restarted, and callers retry before the nodes have read the configuration.
const StartCase starts[] = {
    {50, "/safe/1", 200, 200},
    {50, "/once/1", 200, 200},
    {50, "/unknown/1", 404, 200},
    {0, "/safe/1", 503, 600}, // The store is unavailable as well.
};

} // namespace

TABLE_TEST(CallForwarder, waitsForFirstConfiguration, starts)
{
    ForwarderFixture fixture({answer});
    fixture.configureAfter(std::chrono::milliseconds{row.configuredAfter});
    cr_assert_eq(fixture.ask(row.path), row.status);
    cr_assert(fixture.elapsed < std::chrono::milliseconds{row.longest});
    cr_assert_eq(fixture.retryAfter.empty(), row.status != 503);
}

/// A node without a configuration ended when it refused a request behind which the next ones had come in.
Test(CallForwarder, refusesPipelinedRequestsWithoutConfiguration)
{
    constexpr std::size_t callers = 16;
    constexpr std::size_t requests = 4; // Of each caller.
    ForwarderFixture fixture({answer});
    fixture.configureAfter({});
    const auto refusals = fixture.askPipelined(callers, requests, std::chrono::seconds{4});
    cr_assert_eq(refusals, callers * requests, "%zu requests refused", refusals);
}

namespace
{

struct ReturnCase {
    int windowFullMs; ///< Time for which the engines' prompt windows are full; 0: they do not hold the adapter.
    int noLoadsMs; ///< Time since load orders stopped.
    double least; ///< Bounds on the Retry-After, in seconds.
    double most;
};

/// Engines without room for more prompts, and outages in which nothing can be loaded. Callers retry once only.
const ReturnCase returns[] = {
    {4000, 0, 1.4, 1.5}, // Callers with a timeout of 5 s accept no longer delay.
    {0, 200, 0.9, 1.1}, // Many outages are short: the shortest Retry-After.
    {0, 1300, 1.2, 1.4}, // The outage is assumed to last for as long again.
    {0, 60000, 1.4, 1.5},
};

} // namespace

TABLE_TEST(CallForwarder, retryAfterMatchesExpectedService, returns)
{
    ForwarderFixture fixture({streamRest});
    if (row.windowFullMs > 0) {
        fixture.load("u0", "m/a", std::chrono::milliseconds{-1000});
        fixture.load("u1", "m/a", std::chrono::milliseconds{-1000});
        fixture.fillPromptWindows(std::chrono::milliseconds{row.windowFullMs});
    }
    fixture.stopLoads(std::chrono::milliseconds{row.noLoadsMs});
    const auto status = fixture.ask("/paced/1", "m/a");
    cr_assert(status == 429 || status == 503);
    cr_assert(fixture.elapsed < std::chrono::milliseconds{300});
    const double seconds = std::stod(fixture.retryAfter);
    cr_assert(seconds >= row.least && seconds <= row.most, "%f", seconds);
}

namespace
{

struct LimitEndCase {
    const char *name;
    ForwarderFixture::Responder second; ///< Answers the second request, without a limit.
    unsigned limits; ///< Known afterwards.
};

const LimitEndCase limitEnds[] = {
    {"answer", answer, 0},         {"failure that has run", fail, 0},
    {"refusal", refuseById, 1},    {"answer of another request", answerAnother, 1},
    {"broken connection", cut, 1},
};

} // namespace

TABLE_TEST(CallForwarder, endsRequestLimitByWholeAnswersOnly, limitEnds)
{
    ForwarderFixture fixture({answerAndLimit, row.second, answer});
    cr_assert_eq(fixture.ask("/once/1"), 200U);
    fixture.ask("/once/1");
    cr_assert_eq(fixture.sentTo.at(1), fixture.sentTo.at(0));
    cr_assert_eq(fixture.knownLimits(), row.limits, "%s: %u", row.name, fixture.knownLimits());
}

namespace
{

/// A caller whose connection turns out to be closed when the head of the answer is sent.
class GoneCaller : public Relay::CallerExchange
{
public:
    const Http::Request &request() const override
    {
        return m_request;
    }

    Instant arrival() const override
    {
        return m_arrival;
    }

    void respond(const Http::Response &) override
    {
    }

    void begin(unsigned, const Http::Headers &, std::optional<std::uint64_t>) override
    {
        wasBegun = true;
        m_onGone();
    }

    void write(std::string_view) override
    {
    }

    void end() override
    {
    }

    void abort() override
    {
    }

    void onGone(std::function<void()> task) override
    {
        m_onGone = std::move(task);
    }

    bool wasBegun = false;

private:
    Http::Request m_request{"POST", "/stream/1", {{"Host", "h"}, {"Id", "r1"}}, "question"};
    Instant m_arrival = BootClock{}.now();
    std::function<void()> m_onGone;
};

} // namespace

/// The process ended when a caller was found gone while the first event of its stream was passed on.
Test(CallForwarder, survivesCallerThatIsGoneAtTheFirstEvent)
{
    ForwarderFixture fixture({streamRest});
    const auto caller = std::make_shared<GoneCaller>();
    fixture.accept(caller, std::chrono::milliseconds{300});
    cr_assert(caller->wasBegun);
}

namespace
{

/// An upstream that refuses the first request on its first connection and writes that refusal once more instead of the
/// answer to each later request there. It answers a request on each other connection and closes that.
class RepeatingUpstream
{
public:
    /// @p refusal is a status line and headers without the length; @p statement are more headers of the repetition.
    RepeatingUpstream(Http::EventLoop &loop, const std::string &refusal, const std::string &statement = {})
        : m_refusal("HTTP/1.1 " + refusal + "Content-Length: 0\r\n\r\n")
        , m_repetition("HTTP/1.1 " + refusal + statement + "Content-Length: 0\r\n\r\n")
        , m_server(loop, [this](const Testing::ScriptedRequest &request) { return reply(request); })
    {
    }

    Http::Endpoint endpoint() const
    {
        return m_server.endpoint();
    }

    unsigned hidden = 0; ///< Number of requests that may run, as the repetition only takes the place of their answer.

private:
    std::string reply(const Testing::ScriptedRequest &request)
    {
        if (request.connection == 1) {
            if (request.number == 1)
                return m_refusal;
            ++hidden;
            return m_repetition;
        }
        const auto begin = request.text.find("Id: ") + 4;
        const auto id = request.text.substr(begin, request.text.find("\r\n", begin) - begin);
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole";
    }

    std::string m_refusal;
    std::string m_repetition;
    Testing::ScriptedServer m_server;
};

struct RepeatedRefusalCase {
    const char *name;
    const char *refusal;
    const char *path;
    const char *secondId; ///< Of the second request.
    unsigned status; ///< Of the answer to the second request.
    unsigned hidden; ///< Number of requests whose answer the repetition hides.
};

const RepeatedRefusalCase repeatedRefusals[] = {
    {"503 to another", "503 Full\r\nId: r1\r\nNot-Run: 1\r\n", "/once/1", "r2", 502, 1},
    {"429 to another", "429 Full\r\nId: r1\r\nNot-Run: 1\r\n", "/once/1", "r2", 502, 1},
    {"421 to another", "421 Misdirected\r\nId: r1\r\nNot-Run: 1\r\n", "/once/1", "r2", 502, 1},
    {"400 to another", "400 Bad\r\nId: r1\r\nNot-Run: 1\r\n", "/once/1", "r2", 502, 1},
    {"to another stream", "503 Full\r\nId: r1\r\nNot-Run: 1\r\n", "/solo/1", "r2", 502, 1},
    {"to another, no second upstream", "503 Full\r\nId: r1\r\nNot-Run: 1\r\n", "/safe/1", "r2", 502, 1},
    {"without an id", "503 Full\r\nNot-Run: 1\r\n", "/once/1", "r2", 200, 0},
    {"to the same request", "503 Full\r\nId: r1\r\nNot-Run: 1\r\n", "/once/1", "r1", 200, 0},
    {"without an id, the same request", "503 Full\r\nNot-Run: 1\r\n", "/once/1", "r1", 200, 0},
};

} // namespace

/// Callers were told that requests had not run when an upstream wrote an earlier refusal once more.
TABLE_TEST(CallForwarder, believesNoRepeatedRefusal, repeatedRefusals)
{
    ForwarderFixture fixture({answer});
    RepeatingUpstream upstream(fixture.loop(), row.refusal);
    fixture.replaceUpstreams(upstream.endpoint());
    fixture.upstream("u1").isLeaving = true;
    fixture.ask("/once/1");
    fixture.requestId = row.secondId;
    const auto status = fixture.ask(row.path);
    cr_assert_eq(upstream.hidden, row.hidden, "%s: %u", row.name, upstream.hidden);
    cr_assert_eq(status, row.status, "%s: %u", row.name, status);
}

namespace
{

const char *const repeatedStatements[] = {"Leaving: 1\r\n", "Limit: 1\r\n", "Away-Ms: 3000\r\n"};

} // namespace

/// Upstreams were avoided or limited because of what an answer to another request stated.
TABLE_TEST(CallForwarder, ignoresStatementsToOtherRequests, repeatedStatements)
{
    ForwarderFixture fixture({answer});
    RepeatingUpstream upstream(fixture.loop(), "503 Full\r\nId: r1\r\nNot-Run: 1\r\n", row);
    fixture.replaceUpstreams(upstream.endpoint());
    fixture.upstream("u1").isLeaving = true;
    fixture.ask("/once/1");
    fixture.requestId = "r2";
    fixture.ask("/once/1");
    cr_assert(fixture.upstream("u0").takesRequests(BootClock{}.now()), "%s", row);
    cr_assert_eq(fixture.knownLimits(), 0U, "%s", row);
}

namespace
{

constexpr Duration checkTime = std::chrono::seconds{1}; ///< For a liveness check that comes after the answer.
constexpr Duration answerDelay = std::chrono::milliseconds{150}; ///< From the change to the rest of the answer.

void streamLate(const Exchange &exchange)
{
    currentFixture->afterChange(answerDelay, [exchange] { streamRest(exchange); });
}

void answerLate(const Exchange &exchange)
{
    currentFixture->afterChange(answerDelay, [exchange] { answer(exchange); });
}

void streamWithPause(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    currentFixture->afterChange(answerDelay, [exchange] {
        exchange->write("id: 2\ndata: b\n\n");
        exchange->end();
    });
}

void streamAndCutLate(const Exchange &exchange)
{
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 1\ndata: a\n\n");
    currentFixture->afterChange(answerDelay, [exchange] { exchange->abort(); });
}

void failLate(const Exchange &exchange)
{
    currentFixture->afterChange(answerDelay, [exchange] { fail(exchange); });
}

void moveRoutes(TrafficPolicy &policy)
{
    policy.services.push_back({"t", EngineProfile{}});
    for (auto &route : policy.routes)
        route.services = {{"t", 1}};
}

void replaceService(TrafficPolicy &policy)
{
    policy.services = {{"t", EngineProfile{}}};
    for (auto &route : policy.routes)
        route.services = {{"t", 1}};
}

void removeRoutes(TrafficPolicy &policy)
{
    policy.routes.clear();
}

void makePlain(TrafficPolicy &policy)
{
    policy.services = {{"s", std::nullopt}};
}

void shortenTimeouts(TrafficPolicy &policy)
{
    for (auto &route : policy.routes)
        route.timeout = std::chrono::milliseconds{50};
}

void forbidRepeats(TrafficPolicy &policy)
{
    for (auto &route : policy.routes) {
        route.kind = RequestKind::NonIdempotent;
        route.attempts = 1;
    }
}

struct ConfigurationChange {
    const char *name;
    void (*apply)(TrafficPolicy &policy);
};

/// Requires the keys of two organisations, but not on one route.
void requireKeys(TrafficPolicy &policy)
{
    policy.organisations = {{{"first", {"k1", "k1b"}, 1, {}}, {"second", {"k2"}, 2, {}}}};
    policy.routes[1].isPublic = true; // "/once/"
}

void withdrawKey(TrafficPolicy &policy)
{
    policy.organisations->front().keys = {"k1b"};
    policy.routes[1].isPublic = false;
}

void withdrawOrganisations(TrafficPolicy &policy)
{
    policy.organisations->clear();
    policy.routes.clear();
}

const ConfigurationChange changes[] = {
    {"routes moved", moveRoutes},      {"service replaced", replaceService},     {"routes removed", removeRoutes},
    {"service made plain", makePlain}, {"time-outs shortened", shortenTimeouts}, {"repeats forbidden", forbidRepeats},
    {"keys required", requireKeys},
};

struct ChangeCase {
    const char *name;
    ChangeStage stage;
    const char *path;
    const char *target;
    std::vector<ForwarderFixture::Responder> responders;
    const char *body;
    unsigned sends; ///< Received by the upstreams.
    void (*prepare)(ForwarderFixture &fixture); ///< Called just before the request is accepted.
};

void holdAdapter(ForwarderFixture &fixture)
{
    for (const auto *instance : {"u0", "u1"})
        fixture.load(instance, "m/a", std::chrono::milliseconds{-1000});
}

void loadAdapter(ForwarderFixture &fixture)
{
    fixture.load("u0", "m/a", std::chrono::milliseconds{300});
}

void fillWindows(ForwarderFixture &fixture)
{
    holdAdapter(fixture);
    fixture.fillPromptWindows(std::chrono::milliseconds{600});
}

void loadAdapterAtOther(ForwarderFixture &fixture)
{
    fixture.load("u0", "m/a", std::chrono::milliseconds{-1000});
    fixture.load("u1", "m/a", std::chrono::milliseconds{500});
}

void prepareNothing(ForwarderFixture &)
{
}

const ChangeCase changeCases[] = {
    {"waits for a load", ChangeStage::Accepted, "/paced/1", "m/a", {streamRest}, wholeStream, 1, loadAdapter},
    {"waits for the pace", ChangeStage::Accepted, "/paced/1", "m/a", {streamRest}, wholeStream, 1, fillWindows},
    {"waits out backpressure",
     ChangeStage::Refused,
     "/once/1",
     "",
     {applyBriefBackpressure, applyBriefBackpressure, answerLate},
     "whole",
     3,
     prepareNothing},
    {"is sent", ChangeStage::Received, "/once/1", "", {answerLate}, "whole", 1, prepareNothing},
    {"is sent as a stream", ChangeStage::Received, "/paced/1", "m/a", {streamLate}, wholeStream, 1, holdAdapter},
    {"streams", ChangeStage::Streaming, "/paced/1", "m/a", {streamWithPause}, wholeStream, 1, holdAdapter},
    {"is sent again", ChangeStage::Received, "/safe/1", "", {failLate, answer}, "whole", 2, prepareNothing},
    // The liveness check of the upstream that broke the stream off is received like a send.
    {"resumes", ChangeStage::Received, "/paced/1", "m/a", {streamAndCutLate, streamRest}, wholeStream, 3, holdAdapter},
    {"waits to resume",
     ChangeStage::Received,
     "/paced/1",
     "m/a",
     {streamAndCutLate, streamRest},
     wholeStream,
     3,
     loadAdapterAtOther},
};

} // namespace

/// A request that was accepted under one configuration is served by it, whatever the next one changes.
TABLE_TEST(CallForwarder, servesAcceptedRequestsAcrossConfigurations, changeCases)
{
    for (const auto &change : changes) {
        ForwarderFixture fixture(row.responders);
        fixture.configureAt(row.stage, change.apply, row.prepare);
        const auto status = fixture.ask(row.path, row.target);
        cr_assert_eq(status, 200U, "%s, %s: status %u, %s", row.name, change.name, status, fixture.body.c_str());
        cr_assert_eq(fixture.body, std::string(row.body), "%s, %s: %s", row.name, change.name, fixture.body.c_str());
        fixture.awaitSends(row.sends, checkTime);
        cr_assert_eq(fixture.sends, row.sends, "%s, %s: %s", row.name, change.name, fixture.received.c_str());
        cr_assert(fixture.isChanged(), "%s, %s", row.name, change.name);
    }
}

namespace
{

const ConfigurationChange withdrawals[] = {
    {"key withdrawn", withdrawKey},
    {"all organisations and routes withdrawn", withdrawOrganisations},
};

struct WithdrawalCase {
    const char *name;
    ChangeStage stage;
    const char *path;
    const char *target;
    std::vector<ForwarderFixture::Responder> responders;
    unsigned status;
    unsigned sends; ///< Received by the upstreams.
    void (*prepare)(ForwarderFixture &fixture); ///< Called just before the request is accepted.
};

const WithdrawalCase withdrawalCases[] = {
    {"waits for a load", ChangeStage::Accepted, "/paced/1", "m/a", {streamRest}, 401, 0, loadAdapter},
    {"waits for the pace", ChangeStage::Accepted, "/paced/1", "m/a", {streamRest}, 401, 0, fillWindows},
    {"waits out backpressure",
     ChangeStage::Refused,
     "/safe/1",
     "",
     {applyBriefBackpressure, applyBriefBackpressure, answer},
     401,
     2,
     prepareNothing},
    {"is sent", ChangeStage::Received, "/safe/1", "", {answerLate}, 200, 1, prepareNothing},
    {"is sent as a stream", ChangeStage::Received, "/paced/1", "m/a", {streamLate}, 200, 1, holdAdapter},
    {"streams", ChangeStage::Streaming, "/paced/1", "m/a", {streamWithPause}, 200, 1, holdAdapter},
    {"is at a silent upstream", ChangeStage::Received, "/safe/1", "", {nullptr, answer}, 200, 1, prepareNothing},
    {"would be sent again", ChangeStage::Received, "/safe/1", "", {failLate, answer}, 502, 1, prepareNothing},
    {"would be sent again as not run",
     ChangeStage::Received,
     "/safe/1",
     "",
     {refuseUnstarted, answer},
     401,
     1,
     prepareNothing},
    // The liveness check of the upstream that broke the stream off is received like a send.
    {"would resume", ChangeStage::Received, "/paced/1", "m/a", {streamAndCutLate, streamRest}, 0, 2, holdAdapter},
};

} // namespace

/// Guards against a request that runs at an upstream after its key was withdrawn.
TABLE_TEST(CallForwarder, sendsNothingAfterItsKeyIsWithdrawn, withdrawalCases)
{
    for (const auto &change : withdrawals) {
        ForwarderFixture fixture(row.responders);
        fixture.configure(requireKeys);
        fixture.configureAt(row.stage, change.apply, row.prepare);
        const auto status = fixture.ask(row.path, row.target);
        cr_assert_eq(status, row.status, "%s, %s: status %u, %s", row.name, change.name, status, fixture.body.c_str());
        cr_assert(status != 401 || fixture.retryAfter.empty(), "%s, %s", row.name, change.name);
        fixture.awaitSends(row.sends, checkTime);
        cr_assert_eq(fixture.sends, row.sends, "%s, %s: %s", row.name, change.name, fixture.received.c_str());
        cr_assert(fixture.isChanged(), "%s, %s", row.name, change.name);
    }
}

namespace
{

struct KeyCase {
    const char *name;
    const char *path;
    const char *key;
    unsigned status;
    const char *organisation; ///< At the upstream; null: nothing is sent.
};

const KeyCase keyCases[] = {
    {"key", "/safe/1", "k1", 200, "first"},
    {"further key", "/safe/1", "k1b", 200, "first"},
    {"other organisation", "/safe/1", "k2", 200, "second"},
    {"unknown", "/safe/1", "k3", 401, nullptr},
    {"missing", "/safe/1", "", 401, nullptr},
    {"public, key", "/once/1", "k2", 200, "second"},
    {"public, unknown", "/once/1", "k3", 200, ""},
    {"public, missing", "/once/1", "", 200, ""},
    {"no route", "/none/1", "", 404, nullptr},
};

} // namespace

/// Guards against requests that are served without a key, or under the name of another organisation.
TABLE_TEST(CallForwarder, servesOrganisationsByTheirKeys, keyCases)
{
    ForwarderFixture fixture({answer});
    fixture.configure(requireKeys);
    fixture.key = row.key;
    const auto status = fixture.ask(row.path);
    cr_assert_eq(status, row.status, "%s: %u", row.name, status);
    cr_assert_eq(fixture.sends, row.organisation ? 1U : 0U, "%s", row.name);
    if (row.organisation)
        cr_assert_eq(fixture.organisations.front(), std::string(row.organisation), "%s", row.name);
    const auto metrics = fixture.metrics();
    const auto isRefused = metrics.find(R"(code="unauthorized")") != std::string::npos;
    cr_assert_eq(isRefused, row.status == 401, "%s", metrics.c_str());
    cr_assert(!isRefused || metrics.find(R"(verdict="not-run")") != std::string::npos, "%s", metrics.c_str());
}

namespace
{

struct LimitCase {
    const char *name;
    const char *path;
    const char *key;
    std::vector<ForwarderFixture::Responder> responders;
    double charged; ///< For the first request.
    unsigned secondStatus;
};

const LimitCase limitCases[] = {
    {"served", "/safe/1", "k1", {answer}, 1, 429},           {"may have run", "/once/1", "k1", {cut}, 1, 429},
    {"not run", "/safe/1", "k1", {refuseUnstarted}, 0, 503}, {"other organisation", "/safe/1", "k2", {answer}, 0, 200},
    {"no organisation", "/once/1", "", {answer}, 0, 200},
};

} // namespace

/// Guards against requests over an organisation's limit that run, and against charges for requests that have not run.
TABLE_TEST(CallForwarder, keepsOrganisationsToTheirLimits, limitCases)
{
    ForwarderFixture fixture(row.responders);
    fixture.configure(requireKeys);
    fixture.limit("first");
    fixture.key = row.key;
    fixture.ask(row.path);
    cr_assert_eq(fixture.chargedTo("first"), row.charged, "%s: %f", row.name, fixture.chargedTo("first"));
    const auto sends = fixture.sends;
    const auto status = fixture.ask(row.path);
    cr_assert_eq(status, row.secondStatus, "%s: %u %s", row.name, status, fixture.body.c_str());
    if (status != 429)
        return;
    cr_assert_eq(fixture.sends, sends, "%s", row.name);
    cr_assert(!fixture.retryAfter.empty(), "%s", row.name);
    const auto metrics = fixture.metrics();
    const auto refused = metrics.find(R"(code="quota_exceeded")");
    cr_assert(refused != std::string::npos, "%s", metrics.c_str());
    cr_assert(metrics.find(R"(verdict="not-run")", refused) != std::string::npos, "%s", metrics.c_str());
}

/// Guards against a connection whose first request speaks for all others on it.
Test(CallForwarder, checksEachRequestOfAConnection)
{
    ForwarderFixture fixture({answer});
    fixture.ask("/safe/1");
    fixture.configure(requireKeys);
    const auto caller = fixture.connect();
    cr_assert(fixture.askOver(*caller, "k1").starts_with("HTTP/1.1 200"));
    cr_assert(fixture.askOver(*caller, "k3").starts_with("HTTP/1.1 401"));
    cr_assert(fixture.askOver(*caller, "k1").starts_with("HTTP/1.1 200"));
    fixture.configure(withdrawKey);
    cr_assert(fixture.askOver(*caller, "k1").starts_with("HTTP/1.1 401"));
    cr_assert(fixture.askOver(*caller, "k1b").starts_with("HTTP/1.1 200"));
    cr_assert_eq(fixture.sends, 4U);
}

/// Guards against a 401 of a node that knows no keys yet, and against a request that such a node serves without one.
Test(CallForwarder, refusesNoKeyWithoutConfiguration)
{
    ForwarderFixture fixture({answer});
    fixture.configure(requireKeys);
    fixture.key = "k3";
    fixture.configureAfter(std::chrono::milliseconds{100});
    cr_assert_eq(fixture.ask("/safe/1"), 401U);
    fixture.configureAfter({});
    cr_assert_eq(fixture.ask("/safe/1"), 503U);
    cr_assert_eq(fixture.sends, 0U);
}

namespace
{

void changeNothing(TrafficPolicy &)
{
}

void makeUrgent(TrafficPolicy &policy)
{
    requireKeys(policy);
    policy.organisations->back().priority = 0;
    policy.routes.back().priority = 3;
}

struct PriorityCase {
    void (*change)(TrafficPolicy &policy);
    const char *path;
    const char *key;
    const char *priority;
};

/// Organisations of priorities 1 and 2 or 0, one public route, routes of priority 5 and one of 3.
const PriorityCase priorityCases[] = {
    {changeNothing, "/stream/1", "k1", "5"}, {requireKeys, "/stream/1", "k1", "0"},
    {requireKeys, "/stream/1", "k2", "1"},   {makeUrgent, "/paced/1", "k1", "2"},
    {makeUrgent, "/stream/1", "k1", "3"},    {makeUrgent, "/paced/1", "k2", "0"},
    {makeUrgent, "/stream/1", "k2", "1"},
};

} // namespace

/// Guards against an engine that serves a less urgent organisation first.
TABLE_TEST(CallForwarder, statesThePriorityOfTheOrganisation, priorityCases)
{
    ForwarderFixture fixture({streamRest});
    holdAdapter(fixture);
    fixture.configure(row.change);
    fixture.key = row.key;
    cr_assert_eq(fixture.ask(row.path, "m/a"), 200U);
    cr_assert_eq(fixture.priorities.front(), std::string(row.priority), "%s %s: %s", row.path, row.key,
                 fixture.priorities.front().c_str());
}

namespace
{

/// How the other upstream answers liveness checks, while a stream is to be resumed there.
struct VerificationCase {
    const char *name;
    ForwarderFixture::Responder atFirst; ///< Answers checks for some time, and then states the start time.
    bool isResumed;
};

constexpr Duration verificationTrouble = std::chrono::milliseconds{1000}; ///< From the test's start.
Instant troubleUntil{};
ForwarderFixture::Responder verifier = nullptr;

void holdCheck(const Exchange &exchange)
{
    fixtureLoop->runAfter(verificationTrouble, [exchange] {});
}

void refuseCheck(const Exchange &exchange)
{
    exchange->respond({503, {}, ""});
}

void stateAnotherStart(const Exchange &exchange)
{
    exchange->respond({200, {}, std::to_string(startTime + 1)});
}

void verifyOrResume(const Exchange &exchange)
{
    if (exchange->request().target != "/alive")
        return streamRest(exchange);
    if (BootClock{}.now() < troubleUntil)
        return verifier(exchange);
    exchange->respond({200, {}, std::to_string(startTime)});
}

const VerificationCase verifications[] = {
    {"silent", holdCheck, true},
    {"reset", cut, true},
    {"full", refuseCheck, true},
    {"another process", stateAnotherStart, false},
};

} // namespace

/// Guards against a stream that is broken off because the upstream where it is to go on is silent for a second.
TABLE_TEST(CallForwarder, resumesAtUpstreamThatVerifiesLate, verifications)
{
    ForwarderFixture fixture({streamAndCutLate, verifyOrResume});
    holdAdapter(fixture);
    fixture.mixSoftware();
    verifier = row.atFirst;
    troubleUntil = BootClock{}.now() + verificationTrouble;
    const auto status = fixture.ask("/paced/1", "m/a");
    cr_assert_eq(status, row.isResumed ? 200U : 0U, "%s: %u, %s", row.name, status, fixture.received.c_str());
    if (row.isResumed)
        cr_assert_eq(fixture.body, std::string(wholeStream), "%s: %s", row.name, fixture.body.c_str());
    cr_assert_lt(fixture.sends, 20U, "%s: %s", row.name, fixture.received.c_str());
}

namespace
{

/// Sends an event every 200 ms until most of the caller's time has passed, and then breaks off.
void streamLongAndCut(const Exchange &exchange)
{
    constexpr int events = 14;
    exchange->begin(200, signedFor(exchange), std::nullopt);
    for (int event = 1; event <= events; ++event)
        fixtureLoop->runAfter(event * std::chrono::milliseconds{200}, [exchange, event] {
            exchange->write("id: " + std::to_string(event) + "\ndata: a\n\n");
            if (event == events)
                exchange->abort();
        });
}

void streamLastEvent(const Exchange &exchange)
{
    if (exchange->request().target == "/alive")
        return exchange->respond({200, {}, std::to_string(startTime)});
    exchange->begin(200, signedFor(exchange), std::nullopt);
    exchange->write("id: 15\ndata: b\n\n");
    exchange->end();
}

struct LateBreakCase {
    const char *name;
    void (*occupyOther)(ForwarderFixture &fixture); ///< Makes u1 unable to take the stream for some time.
    bool isResumed; ///< The time is shorter than callers wait for the next event.
    int longestMs; ///< Bound on the time until the answer ends.
};

constexpr Duration breakTime = std::chrono::milliseconds{2800}; ///< Of streamLongAndCut().

void freeOtherAfter(ForwarderFixture &fixture, Duration time)
{
    fixture.upstream("u1").peersInFlight = 4;
    fixture.loop().runAfter(time, [&fixture] { fixture.upstream("u1").peersInFlight = 0; });
}

void occupyBriefly(ForwarderFixture &fixture)
{
    freeOtherAfter(fixture, breakTime + std::chrono::milliseconds{500});
}

void occupyForGood(ForwarderFixture &fixture)
{
    fixture.upstream("u1").peersInFlight = 4;
}

void readPrompts(ForwarderFixture &fixture)
{
    const auto now = BootClock{}.now();
    for (Duration at{}; at < breakTime + std::chrono::milliseconds{500}; at += std::chrono::milliseconds{100})
        fixture.upstream("u1").prompts.add(2000, now + at, now);
}

void applyLongBackpressure(ForwarderFixture &fixture)
{
    fixture.upstream("u1").backpressureUntil = BootClock{}.now() + breakTime + std::chrono::milliseconds{900};
}

/// Lets the only upstream of the stream's version apply backpressure while one of another version serves.
void applyLongBackpressureOfVersion(ForwarderFixture &fixture)
{
    applyLongBackpressure(fixture);
    for (const auto *instance : {"u0", "u1"})
        fixture.upstream(instance).record.softwareVersion = "v1";
    fixture.loop().runAfter(breakTime - std::chrono::milliseconds{100},
                            [&fixture] { fixture.upstream("u0").record.softwareVersion = "v2"; });
}

void dropCopyForSomeTime(ForwarderFixture &fixture)
{
    dropCopyOfOther(fixture);
    fixture.loop().runAfter(breakTime + std::chrono::milliseconds{1300},
                            [&fixture] { fixture.load("u1", "m/a", Duration{}); });
}

void loadAfterSomeTime(ForwarderFixture &fixture)
{
    fixture.startLoads();
    dropCopyForSomeTime(fixture);
}

const LateBreakCase lateBreaks[] = {
    {"full for 0.5 s", occupyBriefly, true, 4000},
    {"reading prompts for 0.5 s", readPrompts, true, 4000},
    {"under backpressure for 0.9 s", applyLongBackpressure, true, 4300},
    {"backpressure of the only upstream of its version", applyLongBackpressureOfVersion, true, 4300},
    {"without the adapter for 1.3 s", loadAfterSomeTime, true, 4700},
    {"without the adapter, in an outage of load orders", dropCopyForSomeTime, true, 4700},
    {"full for good", occupyForGood, false, 5000},
};

} // namespace

/// Guards against a stream that is broken off because it has lasted for long when it has to go on elsewhere, although
/// its caller still waits for the next event.
TABLE_TEST(CallForwarder, waitsForRoomLateInAStream, lateBreaks)
{
    ForwarderFixture fixture({streamLongAndCut, streamLastEvent});
    holdAdapter(fixture);
    row.occupyOther(fixture);
    const auto status = fixture.ask("/paced/1", "m/a");
    cr_assert_eq(status, row.isResumed ? 200U : 0U, "%s: %u, %s", row.name, status, fixture.received.c_str());
    cr_assert_eq(fixture.body.ends_with("id: 15\ndata: b\n\n"), row.isResumed, "%s: %s", row.name,
                 fixture.body.c_str());
    cr_assert(fixture.elapsed > breakTime, "%s", row.name);
    cr_assert(fixture.elapsed < std::chrono::milliseconds{row.longestMs}, "%s: %ld", row.name,
              static_cast<long>(fixture.elapsed.count()));
}

namespace
{

void refuseForWantOfRoom(const Exchange &exchange)
{
    auto headers = signedFor(exchange);
    headers.add("Not-Run", "1");
    headers.add("Brittle", "3");
    exchange->respond({503, headers, ""});
}

} // namespace

/// A brittle upstream that was full got the next requests all the same.
Test(CallForwarder, brittleUpstreamThatIsFullGetsNoRequests)
{
    ForwarderFixture fixture({refuseForWantOfRoom, answer, answer, answer});
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(fixture.ask("/once/1"), 200U);
    cr_assert_eq(std::ranges::count(fixture.sentTo, fixture.sentTo.front()), 1);
}

namespace
{

struct RoomCase {
    const char *name;
    unsigned peersInFlight; ///< At each upstream, of four slots.
    int freeAfterMs; ///< Time after which peers have no requests there; 0: never.
    NodeRank rank;
    unsigned status;
    unsigned sends;
    int least; ///< Bounds of the time that the request takes, in ms.
    int most;
};

const RoomCase rooms[] = {
    {"a place of its own", 3, 0, {0, 1}, 200, 1, 0, 200},
    {"peers take all places", 4, 200, {0, 1}, 200, 1, 200, 500},
    {"peers keep all places", 4, 0, {0, 1}, 429, 0, 2000, 2700},
    {"a place of another node", 0, 0, {8, 9}, 200, 1, 25, 300},
    {"no place is spare", 2, 0, {8, 9}, 429, 0, 2000, 2700},
};

} // namespace

/// Nodes sent requests to brittle upstreams that had no room by the sum of all nodes' requests.
TABLE_TEST(CallForwarder, brittleUpstreamsGetRequestsOnlyWithRoom, rooms)
{
    ForwarderFixture fixture({answer});
    fixture.makeBrittle(3, row.rank);
    for (const auto *instance : {"u0", "u1"}) {
        fixture.upstream(instance).peersInFlight = row.peersInFlight;
        if (row.freeAfterMs > 0)
            fixture.loop().runAfter(std::chrono::milliseconds{row.freeAfterMs},
                                    [&fixture, instance] { fixture.upstream(instance).peersInFlight = 0; });
    }
    const auto status = fixture.ask("/once/1");
    cr_assert_eq(status, row.status, "%s: %u", row.name, status);
    cr_assert_eq(fixture.sends, row.sends, "%s: %u sends", row.name, fixture.sends);
    const auto ms = static_cast<int>(fixture.elapsed.count() / 1000);
    cr_assert(ms >= row.least && ms <= row.most, "%s: %d ms", row.name, ms);
    cr_assert_eq(fixture.retryAfter.empty(), row.status == 200, "%s", row.name);
}

namespace
{

constexpr Duration longGrace = std::chrono::seconds{8};
constexpr Duration shortGrace = std::chrono::milliseconds{700}; ///< Less than the longest time of any answer.
constexpr Duration stopTime = std::chrono::milliseconds{100}; ///< From the request to SIGTERM.

struct StopCase {
    const char *name;
    const char *path;
    const char *target;
    void (*prepare)(ForwarderFixture &); ///< Makes the call wait.
    ForwarderFixture::Responder responder;
    Duration grace;
    unsigned status;
    unsigned sends;
};

const StopCase stops[] = {
    {"waits for a load", "/stream/1", "m/a", [](ForwarderFixture &fixture) { fixture.startLoads(); }, answer,
     shortGrace, 503, 0},
    {"waits for a load in progress", "/stream/1", "m/a",
     [](ForwarderFixture &fixture) { fixture.load("u0", "m/a", std::chrono::milliseconds{700}); }, answer, shortGrace,
     503, 0},
    {"waits for its pace", "/paced/1", "m/a",
     [](ForwarderFixture &fixture) {
         fixture.load("u0", "m/a", std::chrono::milliseconds{-100});
         fixture.fillPromptWindows(std::chrono::seconds{1});
     },
     streamRest, shortGrace, 503, 0},
    {"waits out backpressure", "/once/1", "", [](ForwarderFixture &) {}, applyBriefBackpressure, shortGrace, 503, 2},
    {"waits for its configuration", "/once/1", "", [](ForwarderFixture &fixture) { fixture.configureAfter({}); },
     answer, shortGrace, 503, 0},
    {"runs once and is in progress", "/once/1", "", [](ForwarderFixture &) {}, nullptr, shortGrace, 502, 1},
    {"may be repeated and is in progress", "/stream/1", "", [](ForwarderFixture &) {}, nullptr, shortGrace, 502, 1},
    {"its stream has begun", "/stream/1", "", [](ForwarderFixture &) {}, streamBytesOnly, shortGrace, 0, 1},
    {"ends in time", "/once/1", "", [](ForwarderFixture &) {}, answerAfterSilence, longGrace, 200, 1},
};

} // namespace

/// Guards against calls that a stopping node keeps until its exit cuts them silently.
TABLE_TEST(CallForwarder, endsEachCallBeforeTheExit, stops)
{
    ForwarderFixture fixture({row.responder});
    row.prepare(fixture);
    fixture.stopAfter(stopTime, row.grace);
    const auto status = fixture.ask(row.path, row.target);
    cr_expect_eq(status, row.status, "%s: %u", row.name, status);
    cr_expect_eq(fixture.sends, row.sends, "%s: %u sends", row.name, fixture.sends);
    cr_expect_lt(fixture.elapsed, stopTime + row.grace, "%s", row.name);
}

namespace
{

struct LateCase {
    const char *path;
    unsigned status;
    unsigned sends;
};

const LateCase lateCalls[] = {{"/once/1", 503, 0}, {"/solo/1", 503, 0}, {"/safe/1", 200, 1}};

} // namespace

/// Guards against calls that a stopping node sends though its exit may cut them, and that may not run again.
TABLE_TEST(CallForwarder, sendsNothingThatTheExitMayCut, lateCalls)
{
    ForwarderFixture fixture({answer});
    fixture.stopAfter(Duration{}, std::chrono::milliseconds{1200});
    fixture.ask("/none/1"); // Lets the stop begin.
    const auto status = fixture.ask(row.path);
    cr_expect_eq(status, row.status, "%s: %u", row.path, status);
    cr_expect_eq(fixture.sends, row.sends, "%s", row.path);
    cr_expect_eq(fixture.stopCounts().refused, row.sends == 0 ? 1U : 0U, "%s", row.path);
}

namespace
{

struct LateStreamCase {
    const char *name;
    int arrivalMs; ///< After SIGTERM.
    int graceMs;
    bool others; ///< Another node takes calls.
    unsigned status;
};

const LateStreamCase lateStreams[] = {
    {"in time", 2900, 8000, true, 200},
    {"late", 3100, 8000, true, 503},
    {"late, but its deadline is before the exit", 3100, 60000, true, 200},
    {"late, and no other node takes calls", 3100, 8000, false, 200},
};

} // namespace

/// Guards against streams that are taken late and last longer than usual, so that the exit cuts them.
TABLE_TEST(CallForwarder, sendsNoLateStreamThatTheExitMayCut, lateStreams)
{
    ForwarderFixture fixture({streamRest});
    fixture.beginStopBefore(std::chrono::milliseconds{row.arrivalMs}, std::chrono::milliseconds{row.graceMs},
                            row.others);
    const auto status = fixture.ask("/stream/1");
    cr_expect_eq(status, row.status, "%s: %u", row.name, status);
    cr_expect_eq(fixture.sends, row.status == 200 ? 1U : 0U, "%s", row.name);
    cr_expect_eq(fixture.retryAfter.empty(), row.status == 200, "%s", row.name);
}

namespace
{

struct LeavingCase {
    const char *name;
    bool waits; ///< For a place, when its caller leaves.
    bool resets;
};

const LeavingCase leavings[] = {
    {"closes behind its request", false, false},
    {"resets behind its request", false, true},
    {"closes while it waits", true, false},
    {"resets while it waits", true, true},
};

} // namespace

/// A request went to an upstream although its caller's close had arrived, as after a stall of the node.
TABLE_TEST(CallForwarder, sendsNothingForCallerWhoHasLeft, leavings)
{
    ForwarderFixture fixture({answer});
    cr_assert_eq(fixture.ask("/safe/1"), 200U, "%s", row.name);
    const auto before = fixture.sends;
    fixture.askAndLeave(row.waits, row.resets);
    cr_assert_eq(fixture.sends, before, "%s: %u sends", row.name, fixture.sends - before);
}
