#include "gateway/upstreammonitor.h"
#include "http/eventloop.h"

#include "support/plaindialect.h"
#include "support/table.h"

#include <deque>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

struct MonitorDialect : Testing::PlainDialect {
    static UpstreamReply readReply(const Relay::ResponseHead &head)
    {
        auto reply = PlainDialect::readReply(head);
        reply.wrongInstance = head.status == 421;
        return reply;
    }
};

/// An ExchangeClient without a network, whose questions the test answers.
class QuestionClient
{
public:
    using Token = Relay::UpstreamClient::Token;

    explicit QuestionClient(Http::EventLoop &)
    {
    }

    Token send(const Relay::Destination &, const Http::Request &, const Relay::ExchangeObserver &observer,
               const Relay::SendOptions &)
    {
        questions.push_back([observer](const Relay::WholeResponse &response) {
            if (response.head.status == 0)
                observer.onFailure({Relay::ExchangeFailure::Broken, response.sent, {}, false, response.isLate});
            else
                observer.onHead(response.head);
        });
        return questions.size();
    }

    Token fetch(const Relay::Destination &, const Http::Request &,
                const std::function<void(const Relay::WholeResponse &)> &onResponse, const Relay::SendOptions &)
    {
        questions.push_back(onResponse);
        return questions.size();
    }

    Token connect(const Relay::Destination &, const std::function<void(Relay::ConnectResult)> &onResult,
                  const Relay::SendOptions &)
    {
        connections.push_back(onResult);
        return 0;
    }

    void connectFrom(const Http::Endpoint &)
    {
    }

    void cancel(Token)
    {
    }

    void noteRefusal(Token, const std::string &)
    {
    }

    void dropIdle(const Relay::Destination &)
    {
    }

    void sweep(Instant)
    {
    }

    std::deque<std::function<void(const Relay::WholeResponse &)>> questions;
    std::deque<std::function<void(Relay::ConnectResult)>> connections;
};

/// One engine and what asks it for its state.
class MonitorFixture
{
public:
    MonitorFixture()
        : m_client(m_loop)
        , monitor(m_client, m_context)
    {
        TrafficPolicy policy;
        policy.services = {{"s", EngineProfile{}}};
        m_context.node = "n0";
        m_context.hasPeers = true;
        m_context.routes = std::make_shared<RouteTable>(policy);
        m_context.onSend = [this](const SendNotice &notice) { announced += notice.requests; };
        UpstreamRecord record;
        record.instance = process.instance;
        record.service = "s";
        record.startedAt = process.startedAt;
        m_context.upstreams.onRecord(record, BootClock{}.now());
        m_context.recordProcess(record, BootClock{}.now());
    }

    Upstream &engine()
    {
        return *m_context.upstreams.find(process.instance);
    }

    void state(std::optional<double> limit)
    {
        UpstreamStatement statement;
        statement.requestLimit = limit;
        m_context.recordStatement(process, statement, BootClock{}.now(), BootClock{}.now());
    }

    void breakExchange()
    {
        monitor.onBroken(process, std::nullopt, true, BootClock{}.now());
    }

    void probe()
    {
        m_context.recordFailure(process, ReachFailure::Broken, BootClock{}.now());
        monitor.sweep(BootClock{}.now());
    }

    void verify()
    {
        monitor.verify(engine(), [](ProcessCheck) {});
    }

    /// Answers all questions so far.
    void answer(unsigned status, const Http::Headers &headers)
    {
        for (const auto &question : std::exchange(m_client.questions, {}))
            question({{status, headers, {}}, "7", true});
    }

    /// Ends all questions and connections so far without an answer.
    void fail(bool isLate)
    {
        for (const auto &question : std::exchange(m_client.questions, {}))
            question({{}, {}, true, isLate});
        for (const auto &connection : std::exchange(m_client.connections, {}))
            connection(isLate ? Relay::ConnectResult::Late : Relay::ConnectResult::Failed);
    }

    void hearFromPeer()
    {
        m_context.reach.onPeerContact("n1", process, BootClock{}.now() + std::chrono::milliseconds{100});
        m_context.applyReach(BootClock{}.now());
    }

    std::size_t questions() const
    {
        return m_client.questions.size();
    }

    std::size_t connections() const
    {
        return m_client.connections.size();
    }

    const UpstreamProcess process{"e0", 7};
    int announced = 0; ///< Requests that other nodes were told of.

private:
    Http::EventLoop m_loop;
    CallContext m_context;
    QuestionClient m_client;

public:
    UpstreamMonitor<MonitorDialect, QuestionClient> monitor;
};

struct QuestionCase {
    const char *name;
    void (MonitorFixture::*ask)();
};

const QuestionCase askers[] = {
    {"an exchange broke", &MonitorFixture::breakExchange},
    {"a failure is to be confirmed", &MonitorFixture::probe},
    {"a stream is to go on", &MonitorFixture::verify},
};

} // namespace

/// Guards against more requests than a limit permits: questions in the second before it were not counted.
TABLE_TEST(UpstreamMonitor, countsQuestionsBeforeLimit, askers)
{
    MonitorFixture fixture;
    (fixture.*row.ask)();
    cr_assert_eq(fixture.questions(), 1U, "%s: %zu questions", row.name, fixture.questions());
    fixture.state(2);
    cr_assert_eq(fixture.engine().sends.takeEarlier(BootClock{}.now()), 1U, "%s", row.name);
}

namespace
{

struct StatementCase {
    const char *name;
    void (MonitorFixture::*ask)();
    std::optional<double> known; ///< Limit before the answer.
    unsigned status;
    Http::Headers headers;
    std::optional<double> limit; ///< Limit after it.
};

const StatementCase statements[] = {
    {"an exchange broke", &MonitorFixture::breakExchange, {}, 200, {{"Limit", "2"}}, 2},
    {"a failure is to be confirmed", &MonitorFixture::probe, {}, 200, {{"Limit", "2"}}, 2},
    {"a stream is to go on", &MonitorFixture::verify, {}, 200, {{"Limit", "2"}}, 2},
    {"no limit", &MonitorFixture::probe, {}, 200, {}, {}},
    {"lowered", &MonitorFixture::verify, 4, 200, {{"Limit", "2"}}, 2},
    {"raised", &MonitorFixture::verify, 2, 200, {{"Limit", "4"}}, 2},
    {"ended", &MonitorFixture::verify, 2, 200, {}, 2},
    {"refused with a limit", &MonitorFixture::verify, 4, 503, {{"Limit", "2"}}, 2},
    {"refused without one", &MonitorFixture::verify, 2, 503, {}, 2},
    {"another process", &MonitorFixture::verify, 2, 421, {{"Limit", "1"}}, 2},
    {"no answer", &MonitorFixture::verify, 2, 0, {}, 2},
};

} // namespace

/// Guards against nodes that learn of a request limit late, as they made nothing of what answers to questions state.
TABLE_TEST(UpstreamMonitor, learnsRequestLimitsFromAnswers, statements)
{
    MonitorFixture fixture;
    if (row.known)
        fixture.state(row.known);
    (fixture.*row.ask)();
    cr_assert_eq(fixture.questions(), 1U, "%s: %zu questions", row.name, fixture.questions());
    fixture.answer(row.status, row.headers);
    cr_assert(fixture.engine().requestLimit.perSecond == row.limit, "%s", row.name);
}

namespace
{

struct UnansweredCase {
    const char *name;
    void (MonitorFixture::*ask)();
    std::optional<double> limit; ///< The engine's, which is then not asked but connected to.
    bool isLate;
    bool isCutOff;
};

const UnansweredCase unanswered[] = {
    {"late after a break", &MonitorFixture::breakExchange, {}, true, false},
    {"broken after a break", &MonitorFixture::breakExchange, {}, false, true},
    {"late probe", &MonitorFixture::probe, {}, true, false},
    {"broken probe", &MonitorFixture::probe, {}, false, true},
    {"late connection after a break", &MonitorFixture::breakExchange, 2, true, false},
    {"failed connection after a break", &MonitorFixture::breakExchange, 2, false, true},
    {"late connection of a probe", &MonitorFixture::probe, 2, true, false},
    {"failed connection of a probe", &MonitorFixture::probe, 2, false, true},
};

} // namespace

/// Guards against silent engines that count as cut off once another node has heard from them.
TABLE_TEST(UpstreamMonitor, asksAgainBeforeALateAnswerShowsACut, unanswered)
{
    MonitorFixture fixture;
    if (row.limit)
        fixture.state(row.limit);
    (fixture.*row.ask)();
    fixture.fail(row.isLate);
    fixture.hearFromPeer();
    cr_expect_eq(fixture.engine().isCutOff, row.isCutOff, "%s", row.name);
    fixture.monitor.sweep(BootClock{}.now() + std::chrono::milliseconds{200});
    if (row.isLate)
        cr_expect_eq(fixture.questions() + fixture.connections(), 1U, "%s: %zu", row.name,
                     fixture.questions() + fixture.connections());
}
