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
        questions.push_back([observer](const Relay::WholeResponse &response) { observer.onHead(response.head); });
        return questions.size();
    }

    Token fetch(const Relay::Destination &, const Http::Request &,
                const std::function<void(const Relay::WholeResponse &)> &onResponse, const Relay::SendOptions &)
    {
        questions.push_back(onResponse);
        return questions.size();
    }

    Token connect(const Relay::Destination &, const std::function<void(Relay::ConnectResult)> &,
                  const Relay::SendOptions &)
    {
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

    std::size_t questions() const
    {
        return m_client.questions.size();
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
