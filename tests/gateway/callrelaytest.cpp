#include "gateway/callforwarder.h"

#include "support/cuttablelink.h"
#include "support/plaindialect.h"
#include "support/rawcaller.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Testing::CuttableLink;
using Testing::LinkState;
using Testing::PlainDialect;

namespace
{

using Exchange = std::shared_ptr<Relay::CallerExchange>;

constexpr std::size_t upstreamCount = 2;

/// Answer to one request of a test's caller.
struct CallerAnswer {
    unsigned status = 0; ///< 0 if the answer was incomplete.
    std::string body;
    std::string retryAfter;
    Duration elapsed{};
    bool isDone = false;
};

/// One node, which reaches each upstream through a link of its own.
class RelayNode
{
public:
    RelayNode(Http::EventLoop &loop, const std::string &name, const std::vector<UpstreamRecord> &upstreams,
              const std::shared_ptr<const RouteTable> &routes)
        : m_logging(LogLevel::Error, LogFormat::Text, name)
        , m_log(m_logging)
        , m_forwarder(loop, context, m_log, m_metrics)
        , m_entry(loop, {}, [this](const Exchange &exchange) { m_forwarder.accept(exchange); })
        , m_relayed(loop, {}, [this](const Exchange &exchange) {
            ++received;
            m_forwarder.acceptRelayed(exchange, takesCalls);
        })
    {
        context.node = name;
        context.routes = routes;
        context.hasPeers = true;
        context.allowance = RetryAllowance({1, 100, std::chrono::seconds{10}, 1});
        for (auto record : upstreams) {
            links.push_back(std::make_unique<CuttableLink>(loop.context(), record.endpoint));
            record.endpoint = links.back()->endpoint();
            context.upstreams.onRecord(record, BootClock{}.now());
            context.recordProcess(record, BootClock{}.now());
        }
        context.onLoadRequested
            = [](const std::string &, const ModelTarget &, const std::vector<std::string> &, unsigned) {};
        context.onSend = [](const SendNotice &) {};
        entry = {"127.0.0.1", m_entry.listen({"127.0.0.1", 0}), false};
        const Http::Endpoint relayed{"127.0.0.1", m_relayed.listen({"127.0.0.1", 0}), false};
        link = std::make_unique<CuttableLink>(loop.context(), relayed);
    }

    void sweep(Instant now)
    {
        m_forwarder.sweep(now);
        m_entry.sweep(now);
        m_relayed.sweep(now);
    }

    /// Lets the node take calls of other nodes with bodies of @p bytes at most.
    void limitRelayedBodies(std::size_t bytes)
    {
        Relay::CallerServerSettings settings;
        settings.limits.bodyBytes = bytes;
        m_relayed.setSettings(settings);
    }

    /// Cuts the node off from all upstreams, or ends the cut.
    void setLinks(LinkState state)
    {
        for (const auto &link : links)
            link->set(state);
    }

    CallContext context;
    std::vector<std::unique_ptr<CuttableLink>> links; ///< To the upstreams, in their order.
    Http::Endpoint entry;
    std::unique_ptr<CuttableLink> link; ///< From all other nodes, for their calls.
    unsigned received = 0; ///< Calls of other nodes.
    bool takesCalls = true; ///< Not about to stop.
    bool isListed = true; ///< The others know that it takes calls.
    bool isLive = true;

private:
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;
    CallForwarder<PlainDialect> m_forwarder;
    Relay::CallerServer m_entry;
    Relay::CallerServer m_relayed;
};

/// Several nodes and scripted upstreams on one event loop over the loopback interface.
class RelayFixture
{
public:
    explicit RelayFixture(std::size_t nodeCount)
        : m_client(m_loop)
    {
        TrafficPolicy policy;
        policy.routes = {route("/safe/", RequestKind::Idempotent), route("/once/", RequestKind::NonIdempotent),
                         route("/stream/", RequestKind::Streaming), route("/paced/", RequestKind::Streaming)};
        policy.routes.back().longestPause = std::chrono::milliseconds{300};
        policy.services = {{"s", EngineProfile{}}};
        const auto routes = std::make_shared<RouteTable>(policy);
        std::vector<UpstreamRecord> records;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            m_upstreams.push_back(std::make_unique<Relay::CallerServer>(
                m_loop, Relay::CallerServerSettings{}, [this](const Exchange &exchange) { serve(exchange); }));
            UpstreamRecord record;
            record.instance = "u" + std::to_string(i);
            record.service = "s";
            record.slots = 8;
            record.startedAt = 1;
            record.endpoint = {"127.0.0.1", m_upstreams.back()->listen({"127.0.0.1", 0}), false};
            records.push_back(record);
        }
        for (std::size_t i = 0; i < nodeCount; ++i)
            nodes.push_back(std::make_unique<RelayNode>(m_loop, "n" + std::to_string(i), records, routes));
        for (const auto &node : nodes) {
            node->context.relayPeers = [this, self = node.get()] { return peersOf(*self); };
            node->context.isPeerLive = [this](const std::string &name) { return find(name).isLive; };
        }
        tick();
    }

    /// Sends a request to node @p node.
    std::shared_ptr<CallerAnswer> ask(std::size_t node, const std::string &path, const ModelTarget &target = {})
    {
        auto answer = std::make_shared<CallerAnswer>();
        const auto asked = BootClock{}.now();
        const auto finish = [answer, asked] {
            answer->elapsed = BootClock{}.now() - asked;
            answer->isDone = true;
        };
        Relay::ExchangeObserver observer;
        observer.onHead = [answer](const Relay::ResponseHead &head) {
            answer->status = head.status;
            answer->retryAfter = std::string(head.headers.get("Retry-After"));
        };
        observer.onBody = [answer](std::string_view piece) { answer->body += piece; };
        observer.onEnd = finish;
        observer.onFailure = [answer, finish](const Relay::FailedExchange &) {
            answer->status = 0;
            finish();
        };
        Http::Request request{"POST", path, {{"Host", "h"}, {"Id", "r" + std::to_string(++m_asked)}}, "question"};
        if (!target.empty())
            request.headers.add("Target", target);
        if (!key.empty())
            request.headers.add("Key", key);
        lastToken = m_client.send({nodes[node]->entry, {}}, request, std::move(observer), {});
        return answer;
    }

    Http::EventLoop &loop()
    {
        return m_loop;
    }

    /// Runs the loop for @p time.
    void run(Duration time)
    {
        m_loop.runAfter(time, [this] { m_loop.stop(); });
        m_loop.context().restart();
        m_loop.run();
    }

    /// Runs the loop until @p answer is complete, for 6 s at most.
    void await(const std::shared_ptr<CallerAnswer> &answer)
    {
        for (int i = 0; i < 600 && !answer->isDone; ++i)
            run(std::chrono::milliseconds{10});
    }

    /// Tells all nodes that @p holder, or both upstreams if it is null, hold @p target.
    void hold(const ModelTarget &target, const char *holder = nullptr)
    {
        const auto now = BootClock{}.now();
        for (const auto &node : nodes) {
            for (const auto *instance : {"u0", "u1"}) {
                if (!holder || std::string(holder) == instance)
                    node->context.upstreams.find(instance)->residency.onLoading(target, 0,
                                                                                now - std::chrono::seconds{1}, now);
            }
        }
    }

    /// Disconnects the caller of the last request.
    void disconnect()
    {
        m_client.cancel(lastToken);
    }

    /// Sends @p request to @p endpoint and returns the head of the answer.
    Relay::ResponseHead fetch(const Http::Endpoint &endpoint, const Http::Request &request)
    {
        Relay::ResponseHead head;
        m_client.fetch({endpoint, {}}, request, [&](const Relay::WholeResponse &response) { head = response.head; },
                       {});
        for (int i = 0; i < 100 && head.status == 0; ++i)
            run(std::chrono::milliseconds{10});
        return head;
    }

    /// Returns the number of calls that nodes have received from others.
    unsigned relayed() const
    {
        unsigned sum = 0;
        for (const auto &node : nodes)
            sum += node->received;
        return sum;
    }

    /// Returns the node, other than the first one, that has received a call from another one.
    RelayNode &receiver()
    {
        return **std::ranges::find_if(nodes, [](const auto &node) { return node->received > 0; });
    }

    /// Cuts node @p node off from all upstreams and lets it find out.
    void cutOff(std::size_t node, LinkState state = LinkState::Reset)
    {
        nodes[node]->setLinks(state);
        await(ask(node, "/safe/1"));
        run(std::chrono::milliseconds{300});
        for (const auto &each : nodes)
            each->received = 0;
        served = 0;
    }

private:
    Http::EventLoop m_loop;

public:
    std::vector<std::unique_ptr<RelayNode>> nodes;
    unsigned served = 0; ///< Requests that upstreams have received.
    unsigned abandoned = 0; ///< Requests whose sender has left the upstream.
    std::string key; ///< Of the caller's organisation; empty: states none.
    std::vector<std::string> organisations; ///< That each request at an upstream named.
    bool failsResumed = false; ///< Upstreams fail requests that go on with a stream.
    Relay::UpstreamClient::Token lastToken = 0;

private:
    static Route route(const char *prefix, RequestKind kind)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.kind = kind;
        route.canResume = kind == RequestKind::Streaming;
        route.attempts = 2;
        route.services = {{"s", 1}};
        return route;
    }

    /// Answers whole requests at once, and streams with four events.
    void serve(const Exchange &exchange)
    {
        if (exchange->request().target == "/alive")
            return exchange->respond({200, {}, "1"});
        ++served;
        organisations.emplace_back(exchange->request().headers.get("Organisation"));
        const Http::Headers headers{{"Id", std::string(exchange->request().headers.get("Id"))}, {"Proof", "p"}};
        exchange->onGone([this] { ++abandoned; });
        if (failsResumed && exchange->request().headers.contains("Resume"))
            return exchange->respond({500, headers, "id: 9\ndata: failed\n\n"});
        const auto &path = exchange->request().target;
        if (path.ends_with("/slow"))
            return m_loop.runAfter(slowAnswerTime, [exchange, headers] { exchange->respond({200, headers, "whole"}); });
        if (!path.starts_with("/stream/") && !path.starts_with("/paced/"))
            return exchange->respond({200, headers, "whole"});
        exchange->begin(200, headers, std::nullopt);
        const auto resume = std::string(exchange->request().headers.get("Resume"));
        writeEvents(exchange, resume.empty() ? 1 : std::stoi(resume) + 1);
    }

    void writeEvents(const Exchange &exchange, int next)
    {
        if (next > eventCount)
            return exchange->end();
        exchange->write("id: " + std::to_string(next) + "\ndata: x\n\n");
        m_loop.runAfter(eventInterval, [this, exchange, next] { writeEvents(exchange, next + 1); });
    }

    RelayNode &find(const std::string &name)
    {
        return **std::ranges::find_if(nodes, [&](const auto &node) { return node->context.node == name; });
    }

    std::vector<RelayPeer> peersOf(const RelayNode &self) const
    {
        std::vector<RelayPeer> peers;
        for (const auto &node : nodes) {
            if (node.get() != &self && node->isLive && node->isListed)
                peers.push_back({node->context.node, {}, node->link->endpoint(), 1, 1});
        }
        return peers;
    }

    /// Tells each node what the others reach.
    void exchangeReach(Instant now)
    {
        for (const auto &node : nodes) {
            for (const auto &peer : nodes) {
                if (peer == node)
                    continue;
                node->context.reach.onPeerCuts(peer->context.node, peer->context.reach.cuts(), now);
                for (std::size_t i = 0; i < upstreamCount; ++i) {
                    if (peer->links[i]->state() == LinkState::Open)
                        node->context.reach.onPeerContact(peer->context.node, {"u" + std::to_string(i), 1}, now);
                }
            }
        }
    }

    void tick()
    {
        const auto now = BootClock{}.now();
        exchangeReach(now);
        for (const auto &node : nodes) {
            node->context.applyReach(now);
            node->sweep(now);
        }
        m_client.sweep(now);
        m_loop.runAfter(std::chrono::milliseconds{20}, [this] { tick(); });
    }

    static constexpr int eventCount = 4;
    static constexpr Duration eventInterval = std::chrono::milliseconds{50};
    static constexpr Duration slowAnswerTime = std::chrono::milliseconds{300};

    std::vector<std::unique_ptr<Relay::CallerServer>> m_upstreams;
    Relay::UpstreamClient m_client;
    unsigned m_asked = 0;
};

const std::string wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n";

struct CutCase {
    LinkState state;
    const char *path;
    const char *target;
};

const CutCase cuts[] = {
    {LinkState::Open, "/once/1", ""},       {LinkState::Open, "/stream/1", "m/a"},
    {LinkState::Reset, "/safe/1", ""},      {LinkState::Reset, "/once/1", ""},
    {LinkState::Reset, "/stream/1", ""},    {LinkState::Reset, "/stream/1", "m/a"},
    {LinkState::Hangs, "/safe/1", ""},      {LinkState::Hangs, "/once/1", ""},
    {LinkState::Hangs, "/stream/1", ""},    {LinkState::Hangs, "/stream/1", "m/a"},
    {LinkState::RefusesNew, "/once/1", ""}, {LinkState::RefusesNew, "/stream/1", "m/a"},
};

/// Limit for a whole answer: longer than failed connections to both upstreams and a stream take, and shorter than
/// callers wait.
constexpr Duration servedInTime = std::chrono::milliseconds{1500};

} // namespace

TABLE_TEST(CallRelay, firstAttemptsAtNodeCutOffFromUpstreamsAreServed, cuts)
{
    RelayFixture fixture(3);
    fixture.hold("m/a");
    fixture.nodes[0]->setLinks(row.state);
    const auto answer = fixture.ask(0, row.path, row.target);
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U, "%u", answer->status);
    const std::string expected = std::string(row.path).starts_with("/stream/") ? wholeStream : "whole";
    cr_assert_eq(answer->body, expected, "%s", answer->body.c_str());
    cr_assert(answer->elapsed < servedInTime, "%ld ms", static_cast<long>(answer->elapsed.count() / 1000));
    cr_assert_eq(fixture.served, 1U);
}

namespace
{

struct PooledCase {
    const char *path;
    const char *target;
};

const PooledCase pooled[] = {{"/safe/1", ""}, {"/stream/1", ""}, {"/stream/1", "m/a"}};

/// Limit for a whole answer after a silence, a failed connection and a stream; callers wait for 3.2 s at least.
constexpr Duration servedAfterSilence = std::chrono::milliseconds{2500};

} // namespace

TABLE_TEST(CallRelay, callsOnPooledConnectionsThatHangAreServed, pooled)
{
    RelayFixture fixture(3);
    fixture.hold("m/a");
    std::array<std::shared_ptr<CallerAnswer>, 8> before;
    for (auto &answer : before)
        answer = fixture.ask(0, "/stream/1");
    for (const auto &answer : before)
        fixture.await(answer);
    fixture.served = 0;
    fixture.nodes[0]->setLinks(LinkState::Hangs);
    const auto answer = fixture.ask(0, row.path, row.target);
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U, "%u %s", answer->status, answer->body.c_str());
    cr_assert(answer->elapsed < servedAfterSilence, "%ld ms", static_cast<long>(answer->elapsed.count() / 1000));
    cr_assert_eq(fixture.served, 1U);
}

namespace
{

/// What happens to a call after its node was cut off, or to one that is in progress.
enum class Event {
    Cut, ///< The node is cut off from all upstreams.
    PeerDies, ///< The connection to the peer that has the call is reset.
    PeerFreezes, ///< The peer sends nothing any more, neither reports nor answers.
    PeerIsUnheard, ///< The peer's reports are lost.
    PeerStops, ///< The peer takes no further calls.
    PeerIsCut, ///< The peer's connections to all upstreams are reset.
    Heal, ///< The node reaches the upstreams again.
    ServiceReplacedAtNode, ///< A desired state replaces the upstreams' service, which only the call's node knows.
    ServiceReplacedAtPeer, ///< Only the peer knows.
};

struct MidCallCase {
    const char *name;
    Event event;
    LinkState state; ///< In a cut.
    const char *path;
    unsigned status;
    unsigned served; ///< Requests that upstreams receive.
    unsigned relayed; ///< Calls that peers receive.
};

const MidCallCase midCalls[] = {
    {"stream reset", Event::Cut, LinkState::Reset, "/stream/1", 200, 2, 1},
    {"stream hangs", Event::Cut, LinkState::Hangs, "/stream/1", 200, 2, 1},
    {"stream lives on", Event::Cut, LinkState::RefusesNew, "/stream/1", 200, 1, 0},
    {"idempotent reset", Event::Cut, LinkState::Reset, "/safe/slow", 200, 2, 1},
    {"once reset", Event::Cut, LinkState::Reset, "/once/slow", 502, 1, 0},
    {"once lives on", Event::Cut, LinkState::RefusesNew, "/once/slow", 200, 1, 0},
    {"stream at a peer that dies", Event::PeerDies, LinkState::Reset, "/stream/1", 200, 2, 2},
    {"idempotent at a peer that dies", Event::PeerDies, LinkState::Reset, "/safe/slow", 200, 2, 2},
    {"once at a peer that dies", Event::PeerDies, LinkState::Reset, "/once/slow", 502, 1, 1},
    {"stream at a peer that freezes", Event::PeerFreezes, LinkState::Reset, "/stream/1", 200, 2, 2},
    {"idempotent at a peer that freezes", Event::PeerFreezes, LinkState::Reset, "/safe/slow", 200, 2, 2},
    {"stream at a peer that is not heard", Event::PeerIsUnheard, LinkState::Reset, "/stream/1", 200, 1, 1},
    {"once at a peer that is not heard", Event::PeerIsUnheard, LinkState::Reset, "/once/slow", 200, 1, 1},
    {"stream at a peer that stops", Event::PeerStops, LinkState::Reset, "/stream/1", 200, 1, 1},
    {"once at a peer that stops", Event::PeerStops, LinkState::Reset, "/once/slow", 200, 1, 1},
    {"stream at a peer that is cut off", Event::PeerIsCut, LinkState::Reset, "/stream/1", 200, 2, 2},
    {"idempotent at a peer that is cut off", Event::PeerIsCut, LinkState::Reset, "/safe/slow", 200, 2, 2},
    {"once at a peer that is cut off", Event::PeerIsCut, LinkState::Reset, "/once/slow", 502, 1, 1},
    {"stream when the cut ends", Event::Heal, LinkState::Reset, "/stream/1", 200, 1, 1},
    {"stream, new state at node", Event::ServiceReplacedAtNode, LinkState::Reset, "/stream/1", 200, 1, 1},
    {"once, new state at node", Event::ServiceReplacedAtNode, LinkState::Reset, "/once/slow", 200, 1, 1},
    {"stream, new state at peer", Event::ServiceReplacedAtPeer, LinkState::Reset, "/stream/1", 200, 1, 1},
    {"once, new state at peer", Event::ServiceReplacedAtPeer, LinkState::Reset, "/once/slow", 200, 1, 1},
    {"once when the cut ends", Event::Heal, LinkState::Reset, "/once/slow", 200, 1, 1},
};

void replaceService(CallContext &context)
{
    auto policy = context.routes->policy();
    ++policy.version;
    policy.services = {{"t", EngineProfile{}}};
    for (auto &route : policy.routes)
        route.services = {{"t", 1}};
    context.routes = std::make_shared<RouteTable>(std::move(policy));
}

void happen(RelayFixture &fixture, Event event, LinkState state)
{
    switch (event) {
    case Event::Cut:
        return fixture.nodes[0]->setLinks(state);
    case Event::PeerDies:
        fixture.receiver().isListed = false;
        return fixture.receiver().link->set(LinkState::Reset);
    case Event::PeerFreezes:
        fixture.receiver().isLive = false;
        return fixture.receiver().link->set(LinkState::Hangs);
    case Event::PeerIsUnheard:
        fixture.receiver().isLive = false;
        return;
    case Event::PeerStops:
        fixture.receiver().isListed = false;
        fixture.receiver().takesCalls = false;
        return;
    case Event::PeerIsCut:
        return fixture.receiver().setLinks(LinkState::Reset);
    case Event::ServiceReplacedAtNode:
        return replaceService(fixture.nodes[0]->context);
    case Event::ServiceReplacedAtPeer:
        return replaceService(fixture.receiver().context);
    case Event::Heal:
        return fixture.nodes[0]->setLinks(LinkState::Open);
    }
}

} // namespace

TABLE_TEST(CallRelay, callsGoOnAfterEventsInMidCall, midCalls)
{
    RelayFixture fixture(3);
    if (row.event != Event::Cut)
        fixture.cutOff(0);
    const auto answer = fixture.ask(0, row.path);
    fixture.run(std::chrono::milliseconds{120});
    happen(fixture, row.event, row.state);
    fixture.await(answer);
    cr_assert_eq(answer->status, row.status, "%s: %u %s", row.name, answer->status, answer->body.c_str());
    if (row.status == 200) {
        const std::string expected = std::string(row.path).starts_with("/stream/") ? wholeStream : "whole";
        cr_assert_eq(answer->body, expected, "%s: %s", row.name, answer->body.c_str());
    }
    cr_assert(answer->retryAfter.empty());
    cr_assert_eq(fixture.served, row.served, "%s: served %u", row.name, fixture.served);
    cr_assert_eq(fixture.relayed(), row.relayed, "%s: relayed %u", row.name, fixture.relayed());
}

/// Guards against an upstream's error, with its head, in the middle of a stream that goes on through a peer.
Test(CallRelay, passesNoErrorOnInABegunStream)
{
    RelayFixture fixture(2);
    fixture.failsResumed = true;
    Testing::RawCaller caller(fixture.loop(), fixture.nodes[0]->entry);
    caller.send("POST /stream/1 HTTP/1.1\r\nHost: h\r\nId: r9\r\nContent-Length: 1\r\n\r\nq");
    fixture.run(std::chrono::milliseconds{120});
    fixture.nodes[0]->setLinks(LinkState::Reset);
    fixture.run(std::chrono::milliseconds{800});
    const auto received = std::string(caller.received());
    cr_assert_eq(fixture.relayed(), 1U);
    cr_assert_neq(received.find("id: 1\n"), std::string::npos, "%s", received.c_str());
    cr_assert_eq(received.find("500"), std::string::npos, "%s", received.c_str());
    cr_assert_eq(received.find("failed"), std::string::npos, "%s", received.c_str());
}

namespace
{

const char *const unheardPaths[] = {"/once/slow", "/safe/slow", "/stream/1"};

} // namespace

/// Guards against a call that is given up at a sound peer whose reports are late, although no other peer takes it.
TABLE_TEST(CallRelay, callsStayAtPeerThatIsNotHeardOf, unheardPaths)
{
    RelayFixture fixture(2);
    fixture.cutOff(0);
    const auto answer = fixture.ask(0, row);
    fixture.run(std::chrono::milliseconds{120});
    fixture.nodes[1]->isLive = false;
    fixture.run(std::chrono::milliseconds{60});
    fixture.nodes[1]->isLive = true;
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U, "%s: %u %s", row, answer->status, answer->body.c_str());
    cr_assert_eq(fixture.relayed(), 1U, "%s: relayed %u", row, fixture.relayed());
}

/// Guards against a begun answer that is broken off at a silent peer because several others have refused the call.
Test(CallRelay, streamsLeaveSilentPeerAfterRefusalsOfOthers)
{
    RelayFixture fixture(6);
    fixture.cutOff(0);
    for (std::size_t node : {1U, 2U, 3U})
        fixture.nodes[node]->takesCalls = false; // Which the others do not know yet.
    std::array<std::shared_ptr<CallerAnswer>, 40> answers;
    for (auto &answer : answers)
        answer = fixture.ask(0, "/stream/1");
    fixture.run(std::chrono::milliseconds{120});
    fixture.nodes[4]->link->set(LinkState::Hangs);
    for (const auto &answer : answers) {
        fixture.await(answer);
        cr_assert_eq(answer->status, 200U, "%u %s", answer->status, answer->body.c_str());
        cr_assert_eq(answer->body, wholeStream, "%s", answer->body.c_str());
    }
}

Test(CallRelay, newCallsGoDirectAfterCutEnds)
{
    RelayFixture fixture(2);
    fixture.cutOff(0);
    fixture.await(fixture.ask(0, "/once/1"));
    cr_assert_eq(fixture.relayed(), 1U);
    fixture.nodes[0]->setLinks(LinkState::Open);
    for (const auto *instance : {"u0", "u1"})
        fixture.nodes[0]->context.recordContact({instance, 1}, BootClock{}.now(), BootClock{}.now());
    const auto answer = fixture.ask(0, "/once/1");
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U);
    cr_assert_eq(fixture.relayed(), 1U);
}

Test(CallRelay, callerLeavesWhileCallIsAtPeer)
{
    RelayFixture fixture(2);
    fixture.cutOff(0);
    fixture.ask(0, "/stream/1");
    fixture.run(std::chrono::milliseconds{80});
    cr_assert_eq(fixture.served, 1U);
    fixture.disconnect();
    fixture.run(std::chrono::milliseconds{40});
    cr_assert_eq(fixture.abandoned, 1U);
}

Test(CallRelay, peersThatRefuseAreFollowedByOthers)
{
    RelayFixture fixture(4);
    fixture.nodes[1]->takesCalls = false; // Stops, which the others do not know yet.
    fixture.nodes[2]->setLinks(LinkState::Reset); // Cut off, which it does not know yet.
    fixture.cutOff(0);
    for (int i = 0; i < 12; ++i) {
        const auto answer = fixture.ask(0, "/once/1");
        fixture.await(answer);
        cr_assert_eq(answer->status, 200U, "%u %s", answer->status, answer->body.c_str());
        cr_assert(answer->elapsed < servedInTime);
    }
    cr_assert_eq(fixture.served, 12U);
}

/// A peer that was suspended answered relayed calls by the configuration of before.
Test(CallRelay, peersWithAnOlderConfigurationTakeNoCalls)
{
    RelayFixture fixture(3);
    fixture.cutOff(0);
    auto policy = fixture.nodes[0]->context.routes->policy();
    ++policy.version;
    policy.routes.front().prefix = "/new/";
    const auto newer = std::make_shared<RouteTable>(policy);
    for (const std::size_t node : {0, 2})
        fixture.nodes[node]->context.routes = newer;
    for (int i = 0; i < 8; ++i) {
        const auto answer = fixture.ask(0, "/new/1");
        fixture.await(answer);
        cr_assert_eq(answer->status, 200U, "%u", answer->status);
    }
    cr_assert_gt(fixture.nodes[1]->received, 0U);
}

namespace
{

/// Whether the node and its peers know that the caller's key was withdrawn.
struct RelayedKeyCase {
    const char *name;
    bool isCutOff; ///< From all upstreams; otherwise from the one that holds the target.
    bool nodeKnows;
    bool peersKnow;
    unsigned status;
};

const RelayedKeyCase relayedKeys[] = {
    {"valid", true, false, false, 200},
    {"withdrawn at the peer", true, false, true, 401},
    {"withdrawn at all", true, true, true, 401},
    {"valid, node reaches an upstream", false, false, false, 200},
    {"withdrawn at the peer, node reaches an upstream", false, false, true, 401},
};

std::shared_ptr<const RouteTable> routesWithKey(const RouteTable &routes, std::uint64_t version, const char *key)
{
    auto policy = routes.policy();
    policy.version = version;
    policy.organisations = {{{"first", {key}, 1, {}}}};
    return std::make_shared<RouteTable>(std::move(policy));
}

} // namespace

/// Guards against a call that runs through a peer, or after its refusal at the own node, though its key was withdrawn.
TABLE_TEST(CallRelay, peersCheckTheKey, relayedKeys)
{
    RelayFixture fixture(2);
    fixture.hold("m/a", "u0");
    const auto &routes = *fixture.nodes[0]->context.routes;
    const auto before = routesWithKey(routes, 1, "k1");
    const auto after = routesWithKey(routes, 2, "k2");
    if (row.isCutOff) {
        fixture.cutOff(0);
    } else {
        fixture.nodes[0]->links[0]->set(LinkState::Reset);
        fixture.nodes[0]->context.recordFailure({"u0", 1}, ReachFailure::NotConnected, BootClock{}.now());
        fixture.run(std::chrono::milliseconds{150});
        const auto now = BootClock{}.now();
        fixture.nodes[0]->context.upstreams.find("u1")->residency.onLoading("m/a", 0, now + std::chrono::seconds{1},
                                                                            now);
    }
    fixture.nodes[0]->context.routes = row.nodeKnows ? after : before;
    fixture.nodes[1]->context.routes = row.peersKnow ? after : before;
    fixture.key = "k1";
    const auto answer = fixture.ask(0, "/stream/1", "m/a");
    fixture.await(answer);
    cr_assert_eq(answer->status, row.status, "%s: %u %s", row.name, answer->status, answer->body.c_str());
    cr_assert_eq(fixture.relayed(), row.nodeKnows ? 0U : 1U, "%s: %u", row.name, fixture.relayed());
    cr_assert_eq(fixture.served, row.status == 200 ? 1U : 0U, "%s: %u", row.name, fixture.served);
    if (row.status == 200)
        cr_assert_eq(fixture.organisations.back(), std::string("first"), "%s", row.name);
}

/// Requests that had not run were answered 502 if the limit on bodies was smaller at the peer than at their node.
Test(CallRelay, peersWithASmallerLimitOnBodiesAreFollowedByOthers)
{
    RelayFixture fixture(3);
    fixture.cutOff(0);
    fixture.nodes[1]->limitRelayedBodies(4);
    for (const auto *path : {"/once/1", "/safe/1", "/stream/1"}) {
        for (int i = 0; i < 8; ++i) {
            const auto answer = fixture.ask(0, path);
            fixture.await(answer);
            cr_assert_eq(answer->status, 200U, "%s: %u %s", path, answer->status, answer->body.c_str());
        }
    }
    cr_assert_eq(fixture.served, 24U);
}

/// A call that no peer takes is refused as not run.
Test(CallRelay, refusesCallsTooLargeForAllPeers)
{
    RelayFixture fixture(3);
    fixture.cutOff(0);
    for (const std::size_t node : {1, 2})
        fixture.nodes[node]->limitRelayedBodies(4);
    const auto answer = fixture.ask(0, "/once/1");
    fixture.await(answer);
    cr_assert_eq(answer->status, 503U, "%u %s", answer->status, answer->body.c_str());
    cr_assert_eq(fixture.served, 0U);
}

Test(CallRelay, refusesAtOnceIfAllPeersAreCutOff)
{
    RelayFixture fixture(4);
    fixture.nodes[3]->isListed = false; // Reaches the upstreams, but stops.
    for (std::size_t node = 0; node < 3; ++node)
        fixture.cutOff(node);
    for (const auto *path : {"/safe/1", "/once/1", "/stream/1"}) {
        const auto answer = fixture.ask(0, path);
        fixture.await(answer);
        cr_assert_eq(answer->status, 503U);
        cr_assert(!answer->retryAfter.empty());
        cr_assert(answer->elapsed < std::chrono::milliseconds{200}, "%ld", static_cast<long>(answer->elapsed.count()));
    }
    cr_assert_eq(fixture.served, 0U);
}

Test(CallRelay, passesOnPeersRefusal)
{
    RelayFixture fixture(2);
    fixture.cutOff(0);
    for (const auto *instance : {"u0", "u1"})
        fixture.nodes[1]->context.upstreams.find(instance)->backpressureUntil
            = BootClock{}.now() + std::chrono::seconds{20};
    const auto answer = fixture.ask(0, "/once/1");
    fixture.await(answer);
    cr_assert_eq(answer->status, 429U);
    const double seconds = std::stod(answer->retryAfter);
    cr_assert(seconds > 18 && seconds <= 20, "%s", answer->retryAfter.c_str());
    cr_assert_eq(fixture.served, 0U);
}

Test(CallRelay, limitsCallsOfOtherNodes)
{
    RelayFixture fixture(3);
    fixture.cutOff(0);
    for (std::size_t node : {1U, 2U})
        fixture.nodes[node]->context.maxRelayedCalls = 1;
    std::array<std::shared_ptr<CallerAnswer>, 3> answers;
    for (auto &answer : answers)
        answer = fixture.ask(0, "/once/slow");
    for (const auto &answer : answers)
        fixture.await(answer);
    const auto withStatus = [&](unsigned status) {
        return std::ranges::count_if(answers, [&](const auto &answer) { return answer->status == status; });
    };
    cr_assert_eq(withStatus(200), 2);
    cr_assert_eq(withStatus(503), 1);
    const auto later = fixture.ask(0, "/once/1");
    fixture.await(later);
    cr_assert_eq(later->status, 200U);
}

namespace
{

Http::Request relayedRequest()
{
    const Http::Request request{"POST", "/once/1", {{"Host", "h"}, {"Id", "r0"}}, "question"};
    return writeRelayedRequest(request, {"n9", std::chrono::seconds{2}, {}, 0, 0, 1, false, false, {}, {}});
}

} // namespace

Test(CallRelay, relaysNoCallTwice)
{
    RelayFixture fixture(3);
    fixture.cutOff(0);
    const auto head = fixture.fetch(fixture.nodes[0]->link->endpoint(), relayedRequest());
    cr_assert_eq(head.status, 503U);
    const auto answer = readRelayedAnswer(head.headers);
    cr_assert(answer && answer->verdict == Verdict::NotRun && answer->mayTryAnother);
    cr_assert_eq(fixture.nodes[1]->received + fixture.nodes[2]->received, 0U);
    cr_assert_eq(fixture.served, 0U);
}

Test(CallRelay, takesOnlyRelayedCalls)
{
    RelayFixture fixture(2);
    const Http::Request bare{"POST", "/once/1", {{"Host", "h"}, {"Id", "r0"}}, "question"};
    cr_assert_eq(fixture.fetch(fixture.nodes[1]->link->endpoint(), bare).status, 400U);
    cr_assert_eq(fixture.served, 0U);
    cr_assert_eq(fixture.fetch(fixture.nodes[1]->link->endpoint(), relayedRequest()).status, 200U);
    cr_assert_eq(fixture.served, 1U);
}

Test(CallRelay, ignoresRelayHeadersOfCallers)
{
    RelayFixture fixture(2);
    fixture.cutOff(0);
    cr_assert_eq(fixture.fetch(fixture.nodes[0]->entry, relayedRequest()).status, 200U);
    cr_assert_eq(fixture.relayed(), 1U);
}

namespace
{

struct BudgetCase {
    bool isCutBefore; ///< Otherwise the node is cut off while it streams.
    double slack; ///< Of the node's allowance.
    double taken; ///< Repeats that the node's allowance counts.
    double takenByPeer; ///< Repeats that the peer's allowance counts.
};

const BudgetCase budgets[] = {{true, 100, 0, 0}, {false, 100, 1, 0}, {false, 0, 0, 1}};

} // namespace

TABLE_TEST(CallRelay, countsRequestAndRepeatOnce, budgets)
{
    RelayFixture fixture(2);
    if (row.isCutBefore)
        fixture.cutOff(0);
    constexpr double perRequest = 0.01;
    constexpr double usable = 0.9; ///< Fraction of an allowance.
    fixture.nodes[0]->context.allowance = RetryAllowance({perRequest, row.slack, std::chrono::seconds{10}, 1});
    fixture.nodes[1]->context.allowance = RetryAllowance({perRequest, 100, std::chrono::seconds{10}, 1});
    const auto answer = fixture.ask(0, "/stream/1");
    fixture.run(std::chrono::milliseconds{120});
    fixture.nodes[0]->setLinks(LinkState::Reset);
    for (const auto *instance : {"u0", "u1"}) // As seen by other calls.
        fixture.nodes[0]->context.recordFailure({instance, 1}, ReachFailure::NotConnected, BootClock{}.now());
    fixture.await(answer);
    cr_assert_eq(answer->body, wholeStream);
    const auto left
        = [&](std::size_t node) { return fixture.nodes[node]->context.allowance.left("s", BootClock{}.now()); };
    cr_assert_float_eq(left(0), usable * (row.slack + perRequest) - row.taken, 1e-9, "%f", left(0));
    cr_assert_float_eq(left(1), usable * 100 - row.takenByPeer, 1e-9, "%f", left(1));
}

/// A call waits for its turn at an engine when the node is cut off.
Test(CallRelay, movesWaitingCalls)
{
    RelayFixture fixture(2);
    fixture.hold("m/a");
    const auto now = BootClock{}.now();
    for (const auto *instance : {"u0", "u1"}) {
        for (Duration at{}; at < std::chrono::milliseconds{900}; at += std::chrono::milliseconds{100})
            fixture.nodes[0]->context.upstreams.find(instance)->prompts.add(2000, now + at, now);
    }
    const auto answer = fixture.ask(0, "/paced/1", "m/a");
    fixture.run(std::chrono::milliseconds{60});
    cr_assert_eq(fixture.served, 0U);
    fixture.nodes[0]->setLinks(LinkState::Reset);
    for (const auto *instance : {"u0", "u1"})
        fixture.nodes[0]->context.recordFailure({instance, 1}, ReachFailure::NotConnected, BootClock{}.now());
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U);
    cr_assert_eq(fixture.relayed(), 1U);
    cr_assert(answer->elapsed < std::chrono::milliseconds{600}, "%ld", static_cast<long>(answer->elapsed.count()));
}

/// Guards against a call that is refused because a peer has no room, though its own node can serve it a little later.
Test(CallRelay, waitsForReachedUpstreamIfPeerHasNoRoom)
{
    RelayFixture fixture(2);
    fixture.hold("m/a");
    fixture.nodes[0]->links[0]->set(LinkState::Reset);
    fixture.nodes[0]->context.recordFailure({"u0", 1}, ReachFailure::NotConnected, BootClock{}.now());
    fixture.run(std::chrono::milliseconds{150});
    const auto now = BootClock{}.now();
    for (Duration at{}; at < std::chrono::milliseconds{900}; at += std::chrono::milliseconds{100})
        fixture.nodes[0]->context.upstreams.find("u1")->prompts.add(2000, now + at, now);
    for (const auto *instance : {"u0", "u1"})
        fixture.nodes[1]->context.upstreams.find(instance)->backpressureUntil = now + std::chrono::seconds{20};
    const auto answer = fixture.ask(0, "/paced/1", "m/a");
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U, "%u %s", answer->status, answer->body.c_str());
    cr_assert_eq(answer->body, wholeStream, "%s", answer->body.c_str());
    cr_assert_eq(fixture.relayed(), 1U, "%u", fixture.relayed());
}

namespace
{

struct PartialCase {
    const char *name;
    const char *holder; ///< The engine that holds the target; null: both.
    unsigned relayed;
};

/// The node is cut off from u0 only.
const PartialCase partials[] = {
    {"both", nullptr, 0},
    {"reached", "u1", 0},
    {"behind the cut", "u0", 1},
};

} // namespace

TABLE_TEST(CallRelay, prefersUpstreamsThatNodeReaches, partials)
{
    RelayFixture fixture(2);
    fixture.hold("m/a", row.holder);
    fixture.nodes[0]->links[0]->set(LinkState::Reset);
    fixture.nodes[0]->context.recordFailure({"u0", 1}, ReachFailure::NotConnected, BootClock{}.now());
    fixture.run(std::chrono::milliseconds{150});
    const auto answer = fixture.ask(0, "/stream/1", "m/a");
    fixture.await(answer);
    cr_assert_eq(answer->status, 200U, "%s", row.name);
    cr_assert_eq(fixture.relayed(), row.relayed, "%s: %u", row.name, fixture.relayed());
    cr_assert(answer->elapsed < std::chrono::milliseconds{400});
}

/// Half of the nodes pass many calls at once to the other half.
Test(CallRelay, spreadsLoadOfCutNodes)
{
    RelayFixture fixture(4);
    fixture.cutOff(0);
    fixture.cutOff(1);
    std::array<std::shared_ptr<CallerAnswer>, 40> answers;
    for (std::size_t i = 0; i < answers.size(); ++i)
        answers.at(i) = fixture.ask(i % 2, "/once/slow");
    for (const auto &answer : answers) {
        fixture.await(answer);
        cr_assert_eq(answer->status, 200U);
    }
    cr_assert_eq(fixture.nodes[0]->received + fixture.nodes[1]->received, 0U);
    for (std::size_t node : {2U, 3U})
        cr_assert(fixture.nodes[node]->received >= 16, "%u", fixture.nodes[node]->received);
}
