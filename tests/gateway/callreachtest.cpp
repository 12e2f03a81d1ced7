#include "gateway/callforwarder.h"
#include "gateway/reachreport.h"

#include "support/cuttablelink.h"
#include "support/plaindialect.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;
using Testing::CuttableLink;
using Testing::LinkState;

namespace
{

using Exchange = std::shared_ptr<Relay::CallerExchange>;

constexpr std::size_t upstreamCount = 3;

/// Counts the sends of all nodes by upstream.
struct CountingDialect : Testing::PlainDialect {
    static inline unsigned sends = 0;

    static Http::Request writeRequest(const Http::Request &request, const SendInstructions &instructions)
    {
        ++sends;
        return PlainDialect::writeRequest(request, instructions);
    }
};

/// One node, which reaches each upstream through a link of its own.
class ReachNode
{
public:
    ReachNode(Http::EventLoop &loop, const std::string &name, const std::vector<UpstreamRecord> &upstreams,
              const std::shared_ptr<const RouteTable> &routes)
        : m_logging(LogLevel::Error, LogFormat::Text, name)
        , m_log(m_logging)
        , forwarder(loop, context, m_log, m_metrics)
        , m_entry(loop, {}, [this](const Exchange &exchange) { forwarder.accept(exchange); })
    {
        context.node = name;
        context.routes = routes;
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
        context.onCrash = [this](const CrashReport &) { ++crashes; };
        context.onReachChange = [this](const ReachChange &change) { ++(change.isLost ? lost : found); };
        entry = {"127.0.0.1", m_entry.listen({"127.0.0.1", 0}), false};
    }

    CallContext context;
    std::vector<std::unique_ptr<CuttableLink>> links; ///< To the upstreams, in their order.
    Http::Endpoint entry;
    unsigned crashes = 0; ///< Reported to the other nodes.
    unsigned lost = 0;
    unsigned found = 0;

private:
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;

public:
    CallForwarder<CountingDialect> forwarder;

private:
    Relay::CallerServer m_entry;
};

/// How the process of a plain worker, or only an exchange with it, ends.
enum class WorkerEnd {
    ExchangeOnly,
    Process,
    ProcessLater, ///< Its listener outlives its exchanges.
};

/// Several nodes that exchange their reports, and scripted upstreams, on one event loop over the loopback interface.
class ReachFixture
{
public:
    explicit ReachFixture(std::size_t nodeCount)
        : m_client(m_loop)
    {
        CountingDialect::sends = 0;
        TrafficPolicy policy;
        policy.routes = {route("/safe/", RequestKind::Idempotent), route("/stream/", RequestKind::Streaming)};
        policy.services = {{"s", EngineProfile{}}};
        const auto routes = std::make_shared<RouteTable>(policy);
        std::vector<UpstreamRecord> records;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            m_upstreams.push_back(std::make_unique<Relay::CallerServer>(
                m_loop, Relay::CallerServerSettings{}, [this, i](const Exchange &exchange) { serve(i, exchange); }));
            UpstreamRecord record;
            record.instance = "u" + std::to_string(i);
            record.service = "s";
            record.slots = 64;
            record.startedAt = 1;
            record.endpoint = {"127.0.0.1", m_upstreams.back()->listen({"127.0.0.1", 0}), false};
            records.push_back(record);
        }
        for (std::size_t i = 0; i < nodeCount; ++i)
            nodes.push_back(std::make_unique<ReachNode>(m_loop, "n" + std::to_string(i), records, routes));
        for (auto &node : nodes) {
            node->context.hasPeers = nodeCount > 1;
            for (std::size_t i = 0; i < upstreamCount; ++i)
                node->context.upstreams.find("u" + std::to_string(i))
                    ->residency.onLoading("m/a", 0, BootClock{}.now() - std::chrono::seconds{1}, BootClock{}.now());
        }
        tick();
    }

    /// Ends the nodes before their event loop, which their servers use.
    ~ReachFixture()
    {
        nodes.clear();
    }

    ReachFixture(const ReachFixture &) = delete;
    ReachFixture &operator=(const ReachFixture &) = delete;

    /// Sends streams and other requests to each node from now on, twenty a second each.
    void callAll()
    {
        for (auto &node : nodes) {
            ask(*node, "/safe/1", {});
            ask(*node, "/stream/1", "m/a");
        }
        m_loop.runAfter(milliseconds{50}, [this] { callAll(); });
    }

    /// Runs the loop for @p time.
    void run(Duration time)
    {
        m_loop.runAfter(time, [this] { m_loop.stop(); });
        m_loop.context().restart();
        m_loop.run();
    }

    /// Sends one request to @p node.
    void ask(ReachNode &node, const std::string &path, const ModelTarget &target)
    {
        Relay::ExchangeObserver observer;
        observer.onHead = [this](const Relay::ResponseHead &head) { served += head.status == 200; };
        Http::Request request{"POST", path, {{"Host", "h"}, {"Id", "r" + std::to_string(++m_asked)}}, "question"};
        if (!target.empty())
            request.headers.add("Target", target);
        m_client.send({node.entry, {}}, request, std::move(observer), {});
    }

    /// Ends the process of an upstream, as all nodes see it.
    void crash(std::size_t upstream)
    {
        for (auto &node : nodes)
            node->links[upstream]->set(LinkState::Reset);
    }

    /// Lets the next request that any upstream gets break off, and its process end as in @p end.
    void breakNext(WorkerEnd end)
    {
        m_nextEnd = end;
    }

    bool isCutOff(std::size_t node, std::size_t upstream)
    {
        return nodes[node]->context.upstreams.find("u" + std::to_string(upstream))->isCutOff;
    }

private:
    Http::EventLoop m_loop; ///< Outlives the nodes, whose connections belong to it.

public:
    unsigned served = 0;
    std::vector<std::unique_ptr<ReachNode>> nodes;

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

    void serve(std::size_t upstream, const Exchange &exchange)
    {
        if (const auto end = std::exchange(m_nextEnd, std::nullopt))
            return breakExchange(upstream, exchange, *end);
        const Http::Headers headers{{"Id", std::string(exchange->request().headers.get("Id"))}, {"Proof", "p"}};
        if (!exchange->request().target.starts_with("/stream/"))
            return exchange->respond({200, headers, "1"});
        exchange->begin(200, headers, std::nullopt);
        const auto resume = std::string(exchange->request().headers.get("Resume"));
        writeEvents(exchange, resume.empty() ? 1 : std::stoi(resume) + 1);
    }

    void breakExchange(std::size_t upstream, const Exchange &exchange, WorkerEnd end)
    {
        exchange->abort();
        if (end == WorkerEnd::Process)
            crash(upstream);
        else if (end == WorkerEnd::ProcessLater)
            m_loop.runAfter(listenerTime, [this, upstream] { crash(upstream); });
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
        for (const auto &node : nodes) {
            node->forwarder.sweep(now);
            NodeReport report;
            report.from.node = node->context.node;
            if (addReachNews(report, node->context.reach, now))
                m_loop.runAfter(datagramTime, [this, report] { deliver(report); });
        }
        m_client.sweep(now);
        m_loop.runAfter(milliseconds{20}, [this] { tick(); });
    }

    void deliver(const NodeReport &report)
    {
        for (const auto &node : nodes) {
            if (node->context.node == report.from.node)
                continue;
            std::set<std::string> peers;
            for (const auto &other : nodes) {
                if (other != node)
                    peers.insert(other->context.node);
            }
            const auto now = BootClock{}.now();
            applyReachNews(node->context.reach, report, true, node->context.node, peers, now);
            node->context.applyReach(now);
        }
    }

    static constexpr int eventCount = 4;
    static constexpr Duration eventInterval = milliseconds{50};
    static constexpr Duration datagramTime = milliseconds{5};
    static constexpr Duration listenerTime = milliseconds{150}; ///< From the end of a process's exchanges.

    std::vector<std::unique_ptr<Relay::CallerServer>> m_upstreams;
    Relay::UpstreamClient m_client;
    unsigned m_asked = 0;
    std::optional<WorkerEnd> m_nextEnd;
};

struct CutCase {
    const char *name;
    LinkState state;
    std::size_t nodes;
    std::size_t cutNodes;
    std::size_t cutUpstreams;
    int shownMs;
    bool isLost = true; ///< Open connections that live on still reach the upstreams.
};

const CutCase cuts[] = {
    {"all reset", LinkState::Reset, 3, 1, 3, 500},
    {"all hang", LinkState::Hangs, 3, 1, 3, 1200},
    {"new ones refused", LinkState::RefusesNew, 3, 1, 3, 900, false},
    {"two of three nodes", LinkState::Reset, 3, 2, 3, 600},
    {"some upstreams", LinkState::Reset, 3, 1, 2, 500},
    {"one upstream hangs", LinkState::Hangs, 3, 1, 1, 1200},
};

} // namespace

/// Failures of upstreams that a node is cut off from were reported as crashes, and their prompts were suspects.
TABLE_TEST(CallReach, reportsNoCrashesOfUpstreamsThatAnswerOtherNodes, cuts)
{
    ReachFixture fixture(row.nodes);
    fixture.callAll();
    fixture.run(milliseconds{500});
    for (std::size_t node = 0; node < row.cutNodes; ++node) {
        for (std::size_t upstream = 0; upstream < row.cutUpstreams; ++upstream)
            fixture.nodes[node]->links[upstream]->set(row.state);
    }
    fixture.run(milliseconds{row.shownMs});
    for (std::size_t node = 0; node < row.nodes; ++node) {
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
            const bool isCut = node < row.cutNodes && upstream < row.cutUpstreams;
            cr_assert(fixture.isCutOff(node, upstream) == isCut || (isCut && !row.isLost), "%s: node %zu, upstream %zu",
                      row.name, node, upstream);
        }
    }
    fixture.run(milliseconds{1500});
    for (const auto &node : fixture.nodes) {
        cr_assert_eq(node->crashes, 0U, "%s: %u crashes reported by %s", row.name, node->crashes,
                     node->context.node.c_str());
        for (const auto &[instance, upstream] : node->context.upstreams.all())
            cr_assert_lt(upstream.failureRatio, 0.2, "%s: %f", row.name, upstream.failureRatio);
    }
    for (std::size_t node = 0; node < row.cutNodes; ++node) {
        for (std::size_t upstream = 0; upstream < row.cutUpstreams; ++upstream)
            fixture.nodes[node]->links[upstream]->set(LinkState::Open);
    }
    fixture.run(milliseconds{1000});
    for (std::size_t node = 0; node < row.nodes; ++node) {
        for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream)
            cr_assert_not(fixture.isCutOff(node, upstream), "%s: node %zu, upstream %zu", row.name, node, upstream);
    }
}

namespace
{

struct CrashCase {
    const char *name;
    std::size_t nodes;
    bool isBesideCut; ///< The first node is cut off from the others.
};

const CrashCase crashes[] = {{"one node", 1, false}, {"three nodes", 3, false}, {"beside a cut", 3, true}};

} // namespace

TABLE_TEST(CallReach, reportsCrashesThatAllNodesSee, crashes)
{
    ReachFixture fixture(row.nodes);
    fixture.callAll();
    fixture.run(milliseconds{500});
    if (row.isBesideCut) {
        fixture.nodes[0]->links[1]->set(LinkState::Reset);
        fixture.run(milliseconds{600});
    }
    fixture.crash(2);
    fixture.run(milliseconds{600});
    for (std::size_t node = row.isBesideCut ? 1 : 0; node < row.nodes; ++node) {
        cr_assert_eq(fixture.nodes[node]->crashes, 1U, "%s: %u at node %zu", row.name, fixture.nodes[node]->crashes,
                     node);
        cr_assert_not(fixture.isCutOff(node, 2), "%s: node %zu", row.name, node);
    }
}

namespace
{

struct LoneBreakCase {
    const char *name;
    std::size_t nodes;
    WorkerEnd end;
};

const LoneBreakCase loneBreaks[] = {
    {"one node, crash", 1, WorkerEnd::Process},
    {"one node, listener ends later", 1, WorkerEnd::ProcessLater},
    {"one node, reset only", 1, WorkerEnd::ExchangeOnly},
    {"three nodes, crash", 3, WorkerEnd::Process},
    {"three nodes, listener ends later", 3, WorkerEnd::ProcessLater},
    {"three nodes, reset only", 3, WorkerEnd::ExchangeOnly},
};

} // namespace

/// A request that crashes each plain worker was passed on without end in a quiet hour, as no node knew of the crashes.
TABLE_TEST(CallReach, reportsCrashOfAPlainWorkerAtASingleBrokenExchange, loneBreaks)
{
    ReachFixture fixture(row.nodes);
    fixture.breakNext(row.end);
    fixture.ask(*fixture.nodes[0], "/safe/1", {});
    fixture.run(milliseconds{1200});
    const auto expected = row.end == WorkerEnd::ExchangeOnly ? 0U : 1U;
    cr_assert_eq(fixture.nodes[0]->crashes, expected, "%s: %u crashes reported", row.name, fixture.nodes[0]->crashes);
}

namespace
{

struct SummaryCase {
    const char *name;
    std::vector<std::string> cutOff;
    NodeReach reach;
};

const SummaryCase summaries[] = {
    {"nothing", {}, {true, true}},
    {"one worker", {"w0"}, {true, true}},
    {"all workers", {"w0", "w1"}, {false, true}},
    {"half of the engines", {"e0", "e1"}, {true, true}},
    {"most engines", {"e0", "e1", "e2"}, {true, false}},
    {"all engines", {"e0", "e1", "e2", "e3"}, {false, false}},
};

} // namespace

TABLE_TEST(CallReach, summarisesWhatANodeReaches, summaries)
{
    UpstreamTable table;
    for (const auto *instance : {"e0", "e1", "e2", "e3", "w0", "w1"}) {
        UpstreamRecord record;
        record.instance = instance;
        record.service = instance[0] == 'e' ? "model" : "plain";
        table.onRecord(record, BootClock{}.now());
        table.find(instance)->isCutOff = std::ranges::find(row.cutOff, std::string(instance)) != row.cutOff.end();
    }
    cr_assert(reachOf(table, {"model"}) == row.reach, "%s", row.name);
}

/// A node that no upstream accepted connections from tried again at once, nine times within 10 ms.
Test(CallReach, boundsSendsOfARequestThatIsNotAccepted)
{
    ReachFixture fixture(1);
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream)
        fixture.crash(upstream);
    fixture.ask(*fixture.nodes[0], "/safe/1", {});
    fixture.run(milliseconds{100});
    cr_assert_leq(CountingDialect::sends, 2 * upstreamCount, "%u sends in 100 ms", CountingDialect::sends);
    fixture.run(milliseconds{1900});
    cr_assert_leq(CountingDialect::sends, 16U, "%u sends in 2 s", CountingDialect::sends);
}

/// A node that is cut off kept sending there.
Test(CallReach, sendsNothingToUpstreamsThatItIsCutOffFrom)
{
    ReachFixture fixture(3);
    fixture.callAll();
    fixture.run(milliseconds{500});
    for (const auto &link : fixture.nodes[0]->links)
        link->set(LinkState::Reset);
    fixture.run(milliseconds{500});
    CountingDialect::sends = 0;
    const auto asked = fixture.served;
    fixture.run(milliseconds{1000});
    cr_assert_leq(CountingDialect::sends, 4 * 20 + 20, "%u sends for two nodes that are not cut off",
                  CountingDialect::sends);
    cr_assert_gt(fixture.served, asked + 60);
}
