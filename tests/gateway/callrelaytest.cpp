#include "gateway/callforwarder.h"

#include "support/cuttablelink.h"
#include "support/plaindialect.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
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
    {
        context.node = name;
        context.routes = routes;
        context.allowance = RetryAllowance({1, 100, std::chrono::seconds{10}, 1});
        for (auto record : upstreams) {
            links.push_back(std::make_unique<CuttableLink>(loop.context(), record.endpoint));
            record.endpoint = links.back()->endpoint();
            context.upstreams.onRecord(record, BootClock{}.now());
        }
        context.onLoadRequested
            = [](const std::string &, const ModelTarget &, const std::vector<std::string> &, unsigned) {};
        context.onSend = [](const SendNotice &) {};
        entry = {"127.0.0.1", m_entry.listen({"127.0.0.1", 0}), false};
    }

    void sweep(Instant now)
    {
        m_forwarder.sweep(now);
        m_entry.sweep(now);
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

private:
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;
    CallForwarder<PlainDialect> m_forwarder;
    Relay::CallerServer m_entry;
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
                         route("/stream/", RequestKind::Streaming)};
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
        tick();
    }

    /// Sends a request to node @p node.
    std::shared_ptr<CallerAnswer> ask(std::size_t node, const std::string &path, const ModelTarget &target = {})
    {
        const auto answer = std::make_shared<CallerAnswer>();
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
        lastToken = m_client.send({nodes[node]->entry, {}}, request, std::move(observer), {});
        return answer;
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

    /// Tells all nodes that both upstreams hold @p target.
    void hold(const ModelTarget &target)
    {
        const auto now = BootClock{}.now();
        for (const auto &node : nodes) {
            for (std::size_t i = 0; i < upstreamCount; ++i)
                node->context.upstreams.find("u" + std::to_string(i))
                    ->residency.onLoading(target, 0, now - std::chrono::seconds{1}, now);
        }
    }

    std::vector<std::unique_ptr<RelayNode>> nodes;
    unsigned served = 0; ///< Requests that upstreams have received.
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
        ++served;
        const Http::Headers headers{{"Id", std::string(exchange->request().headers.get("Id"))}, {"Proof", "p"}};
        if (!exchange->request().target.starts_with("/stream/"))
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

    void tick()
    {
        const auto now = BootClock{}.now();
        for (const auto &node : nodes)
            node->sweep(now);
        m_client.sweep(now);
        m_loop.runAfter(std::chrono::milliseconds{20}, [this] { tick(); });
    }

    static constexpr int eventCount = 4;
    static constexpr Duration eventInterval = std::chrono::milliseconds{50};

    Http::EventLoop m_loop;
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
