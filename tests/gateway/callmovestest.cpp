#include "gateway/callforwarder.h"

#include "support/plaindialect.h"
#include "support/playedclient.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Testing::PlainDialect;
using Testing::PlayedClient;
using Testing::PlayedSend;

namespace
{

/// A caller whose answer is recorded.
class RecordedCaller : public Relay::CallerExchange
{
public:
    explicit RecordedCaller(const std::string &path)
        : m_request{"POST", path, {{"Host", "h"}, {"Id", "r1"}}, "question"}
    {
    }

    const Http::Request &request() const override
    {
        return m_request;
    }

    Instant arrival() const override
    {
        return m_arrival;
    }

    void respond(const Http::Response &response) override
    {
        status = response.status;
        body = response.body;
        isWhole = true;
    }

    void begin(unsigned begun, const Http::Headers &, std::optional<std::uint64_t>) override
    {
        status = begun;
    }

    void write(std::string_view piece) override
    {
        body += piece;
    }

    void end() override
    {
        isWhole = true;
    }

    void abort() override
    {
        isBrokenOff = true;
    }

    void onGone(std::function<void()> task) override
    {
        m_onGone = std::move(task);
    }

    void leave()
    {
        m_onGone();
    }

    unsigned status = 0;
    std::string body;
    bool isWhole = false;
    bool isBrokenOff = false;

private:
    Http::Request m_request;
    Instant m_arrival = BootClock{}.now();
    std::function<void()> m_onGone;
};

/// Where a call is when its upstream falls silent.
enum class Stage {
    PlainSent,
    PlainPart, ///< A part of the body has come.
    StreamSent,
    StreamBegun, ///< The caller has an event.
};

/// Where it was sent, and where a replacement is tried.
enum class Move {
    ToUpstream,
    ToPeer, ///< From an upstream that counts as cut off.
    BetweenPeers,
};

const Http::Headers signedHeaders{{"Id", "r1"}, {"Proof", "p"}};
constexpr char firstEvent[] = "id: 1\ndata: a\n\n";
constexpr char secondEvent[] = "id: 2\ndata: b\n\n";
constexpr Duration sweepInterval = std::chrono::milliseconds{20};
/// Longer than any silence after which another upstream is tried.
constexpr Duration longestSilence = std::chrono::milliseconds{2500};

/// In which peers' contact shows that the node is cut off; shorter than any silence.
constexpr Duration evidenceTime = std::chrono::milliseconds{100};
constexpr Duration timeAfterEnd = std::chrono::milliseconds{200}; ///< In which a call that has ended sends nothing.

bool isStream(Stage stage)
{
    return stage == Stage::StreamSent || stage == Stage::StreamBegun;
}

/// A node with two upstreams and three peers, without a network.
class MoveFixture
{
public:
    explicit MoveFixture(Stage stage, Move move, unsigned attempts = 2)
        : m_stage(stage)
        , m_move(move)
        , m_logging(LogLevel::Error, LogFormat::Text, "n0")
        , m_log(m_logging)
        , m_forwarder(m_loop, m_context, m_log, m_metrics)
        , caller(std::make_shared<RecordedCaller>(isStream(stage) ? "/stream/1" : "/safe/1"))
    {
        TrafficPolicy policy;
        policy.routes
            = {route("/safe/", RequestKind::Idempotent, attempts), route("/stream/", RequestKind::Streaming, attempts)};
        policy.services = {{"s", EngineProfile{}}};
        m_context.node = "n0";
        m_context.hasPeers = true;
        m_context.routes = std::make_shared<RouteTable>(policy);
        m_context.allowance = RetryAllowance({1, 100, std::chrono::seconds{10}, 1});
        m_context.onSend = [](const SendNotice &) {};
        m_context.onLoadRequested
            = [](const std::string &, const ModelTarget &, const std::vector<std::string> &, unsigned) {};
        m_context.isPeerLive = [this](const std::string &node) { return node != lostPeer; };
        m_context.relayPeers = [] {
            std::vector<RelayPeer> peers;
            for (const auto *node : {"n1", "n2", "n3"})
                peers.push_back({node, {}, {"127.0.0.1", 1, false}, 1, 1});
            return peers;
        };
        for (const auto *instance : {"u0", "u1"}) {
            UpstreamRecord record;
            record.instance = instance;
            record.service = "s";
            record.slots = 4;
            record.startedAt = 1;
            m_context.upstreams.onRecord(record, BootClock{}.now());
            m_context.recordProcess(record, BootClock{}.now());
        }
        tick();
        if (move == Move::BetweenPeers)
            cutOff();
        m_forwarder.accept(caller);
        await(1);
        reachStage();
        if (move == Move::ToPeer)
            cutOff();
    }

    /// Runs the loop for @p time.
    void run(Duration time)
    {
        m_loop.runAfter(time, [this] { m_loop.stop(); });
        m_loop.context().restart();
        m_loop.run();
    }

    /// Runs the loop until the node has sent @p number requests; fails the test if it does not.
    void await(std::size_t number)
    {
        const auto until = BootClock{}.now() + longestSilence;
        while (sends().size() < number && BootClock{}.now() < until)
            run(sweepInterval / 2);
        cr_assert_geq(sends().size(), number, "%zu sends, stage %d, move %d", sends().size(), static_cast<int>(m_stage),
                      static_cast<int>(m_move));
    }

    /// Lets the first upstream be silent until a replacement is tried, and returns that send.
    PlayedSend &awaitReplacement()
    {
        if (m_move == Move::BetweenPeers)
            lostPeer = sends().front().destination.instance.substr(0, 2);
        await(2);
        return sends().at(1);
    }

    PlayedSend &original()
    {
        return sends().front();
    }

    static std::deque<PlayedSend> &sends()
    {
        return PlayedClient::sends();
    }

    /// Returns the headers of an answer at the place of the original send, or of the replacement.
    Http::Headers headersOf(bool isReplacement, Verdict verdict = Verdict::MayHaveRun, bool mayTryAnother = false) const
    {
        const bool isFromPeer = m_move == Move::BetweenPeers || (isReplacement && m_move == Move::ToPeer);
        if (!isFromPeer)
            return verdict == Verdict::NotRun ? Http::Headers{{"Id", "r1"}, {"Not-Run", "1"}} : signedHeaders;
        return writeRelayedAnswer(signedHeaders, {verdict, verdict == Verdict::NotRun ? 0U : 1U, 0, {}, mayTryAnother});
    }

    /// Plays the rest of the answer at @p send.
    void goOn(PlayedSend &send)
    {
        const bool isReplacement = &send != &original();
        if (isReplacement || m_stage == Stage::PlainSent || m_stage == Stage::StreamSent)
            send.begin(200, headersOf(isReplacement, Verdict::Ran));
        if (isStream(m_stage)) {
            if (m_stage == Stage::StreamSent)
                send.write(firstEvent);
            send.write(secondEvent);
        } else {
            send.write(isReplacement || m_stage == Stage::PlainSent ? "whole" : "le");
        }
        send.end();
    }

    void assertWhole(const char *name) const
    {
        const std::string expected = isStream(m_stage) ? std::string(firstEvent) + secondEvent : "whole";
        cr_assert(caller->isWhole, "%s: no whole answer, %s", name, caller->isBrokenOff ? "broken off" : "open");
        cr_assert_eq(caller->status, 200U, "%s: %u %s", name, caller->status, caller->body.c_str());
        cr_assert_eq(caller->body, expected, "%s: %s", name, caller->body.c_str());
    }

    /// Fails the test if a request is still open.
    static void assertNoneOpen(const char *name)
    {
        for (const auto &send : sends())
            cr_assert(!send.isOpen, "%s: a request to %s is open", name, send.destination.instance.c_str());
    }

    /// Fails the test if the node counts anything of a call that has ended.
    void assertNothingLeft(const char *name)
    {
        cr_assert_eq(m_forwarder.activeCalls(), 0U, "%s", name);
        for (const auto &[instance, upstream] : m_context.upstreams.all())
            cr_assert_eq(upstream.ownInFlight, 0U, "%s: %u at %s", name, upstream.ownInFlight, instance.c_str());
    }

    void stop()
    {
        const auto now = BootClock{}.now();
        m_forwarder.beginStop(StopSchedule(now, now, std::chrono::seconds{8}));
        m_forwarder.endCalls();
    }

    void passDeadline()
    {
        m_forwarder.sweep(BootClock{}.now() + std::chrono::seconds{6});
    }

private:
    static Route route(const char *prefix, RequestKind kind, unsigned attempts)
    {
        Route route;
        route.host = "h";
        route.prefix = prefix;
        route.kind = kind;
        route.canResume = kind == RequestKind::Streaming;
        route.attempts = attempts;
        route.services = {{"s", 1}};
        return route;
    }

    void reachStage()
    {
        if (m_stage == Stage::PlainSent || m_stage == Stage::StreamSent)
            return;
        original().begin(200, headersOf(false, isStream(m_stage) ? Verdict::MayHaveRun : Verdict::Ran));
        original().write(m_stage == Stage::StreamBegun ? firstEvent : "who");
    }

    /// Lets the node believe that it is cut off from both upstreams.
    void cutOff()
    {
        for (const auto *instance : {"u0", "u1"}) {
            const UpstreamProcess process{instance, 1};
            m_context.recordFailure(process, ReachFailure::NotConnected, BootClock{}.now());
            m_context.recordFailure(process, ReachFailure::NotConnected, BootClock{}.now());
            m_cut.push_back(process);
        }
        run(evidenceTime);
        for (const auto *instance : {"u0", "u1"})
            cr_assert(m_context.upstreams.find(instance)->isCutOff);
    }

    void tick()
    {
        const auto now = BootClock{}.now();
        for (const auto &process : m_cut)
            m_context.reach.onPeerContact("n1", process, now);
        m_context.applyReach(now);
        m_forwarder.sweep(now);
        m_loop.runAfter(sweepInterval, [this] { tick(); });
    }

    Stage m_stage;
    Move m_move;
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;
    Http::EventLoop m_loop;
    CallContext m_context;
    CallForwarder<PlainDialect, PlayedClient> m_forwarder;
    std::vector<UpstreamProcess> m_cut;

public:
    std::shared_ptr<RecordedCaller> caller;
    std::string lostPeer; ///< The peer that is not heard of.
};

/// How a replacement does not go on with the call.
enum class Setback {
    None, ///< It is silent too.
    NotRun,
    NotRunByPeerItself, ///< For a reason that other peers may not have.
    Failed, ///< An answer with status 500.
    FailedAtPeer, ///< The same, which a peer passes on as its upstream's.
    Broken,
    NotConnected,
    PortRefused,
    Malformed,
    HeadThenBroken,
    HeadThenEnd, ///< Without an event or a body.
    HeadThenPart, ///< An incomplete event, then the end.
};

constexpr std::array setbacks{Setback::None,           Setback::NotRun,       Setback::NotRunByPeerItself,
                              Setback::Failed,         Setback::FailedAtPeer, Setback::Broken,
                              Setback::NotConnected,   Setback::PortRefused,  Setback::Malformed,
                              Setback::HeadThenBroken, Setback::HeadThenEnd,  Setback::HeadThenPart};
constexpr std::array stages{Stage::PlainSent, Stage::PlainPart, Stage::StreamSent, Stage::StreamBegun};
constexpr std::array moves{Move::ToUpstream, Move::ToPeer, Move::BetweenPeers};

void play(MoveFixture &fixture, PlayedSend &replacement, Setback setback)
{
    using Relay::ExchangeFailure;
    switch (setback) {
    case Setback::None:
        return;
    case Setback::NotRun:
        replacement.begin(429, fixture.headersOf(true, Verdict::NotRun));
        return replacement.end();
    case Setback::NotRunByPeerItself:
        replacement.begin(503, fixture.headersOf(true, Verdict::NotRun, true));
        return replacement.end();
    case Setback::Failed:
        replacement.begin(500, fixture.headersOf(true));
        replacement.write("failed");
        return replacement.end();
    case Setback::FailedAtPeer:
        replacement.begin(500, fixture.headersOf(true, Verdict::Ran));
        replacement.write("failed");
        return replacement.end();
    case Setback::Broken:
        return replacement.fail(ExchangeFailure::Broken, true);
    case Setback::NotConnected:
        return replacement.fail(ExchangeFailure::NotConnected, false);
    case Setback::PortRefused:
        return replacement.fail(ExchangeFailure::NotConnected, false, true);
    case Setback::Malformed:
        return replacement.fail(ExchangeFailure::Malformed, true);
    case Setback::HeadThenBroken:
        replacement.begin(200, fixture.headersOf(true));
        return replacement.fail(ExchangeFailure::Broken, true);
    case Setback::HeadThenEnd:
        replacement.begin(200, fixture.headersOf(true));
        return replacement.end();
    case Setback::HeadThenPart:
        replacement.begin(200, fixture.headersOf(true));
        replacement.write("id: 2\nda");
        return replacement.end();
    }
}

struct SetbackCase {
    Stage stage;
    Move move;
    Setback setback;
    std::string name;
};

/// Each stage, move and setback. A plain answer that is whole, even if it is empty, is no setback.
const auto setbackCases = [] {
    std::array<SetbackCase, stages.size() * moves.size() * setbacks.size()> all;
    std::size_t i = 0;
    for (const auto stage : stages) {
        for (const auto move : moves) {
            for (const auto setback : setbacks) {
                const bool isWhole = setback == Setback::HeadThenEnd || setback == Setback::HeadThenPart;
                all.at(i++) = {stage, move, isStream(stage) || !isWhole ? setback : Setback::HeadThenBroken,
                               "stage " + std::to_string(static_cast<int>(stage)) + ", move "
                                   + std::to_string(static_cast<int>(move)) + ", setback "
                                   + std::to_string(static_cast<int>(setback))};
            }
        }
    }
    return all;
}();

} // namespace

/// Guards against a call that leaves a sound but silent upstream before another one goes on with its answer.
TABLE_TEST(CallMoves, keepsSilentUpstreamUntilAnotherGoesOn, setbackCases)
{
    MoveFixture fixture(row.stage, row.move);
    auto &replacement = fixture.awaitReplacement();
    cr_assert(fixture.original().isOpen, "%s: left for a request that may be refused", row.name.c_str());
    play(fixture, replacement, row.setback);
    fixture.run(2 * sweepInterval);
    cr_assert(!fixture.caller->isBrokenOff, "%s: broken off", row.name.c_str());
    cr_assert(fixture.original().isOpen, "%s: left", row.name.c_str());
    fixture.goOn(fixture.original());
    fixture.run(2 * sweepInterval);
    fixture.assertWhole(row.name.c_str());
    MoveFixture::assertNoneOpen(row.name.c_str());
}

namespace
{

struct MoveCase {
    Stage stage;
    Move move;
};

const MoveCase moveCases[] = {
    {Stage::PlainSent, Move::ToUpstream},    {Stage::PlainPart, Move::ToUpstream},
    {Stage::StreamSent, Move::ToUpstream},   {Stage::StreamBegun, Move::ToUpstream},
    {Stage::PlainSent, Move::ToPeer},        {Stage::PlainPart, Move::ToPeer},
    {Stage::StreamSent, Move::ToPeer},       {Stage::StreamBegun, Move::ToPeer},
    {Stage::PlainSent, Move::BetweenPeers},  {Stage::PlainPart, Move::BetweenPeers},
    {Stage::StreamSent, Move::BetweenPeers}, {Stage::StreamBegun, Move::BetweenPeers},
};

} // namespace

/// Guards against two runs whose events reach the caller, and against one that goes on for nobody.
TABLE_TEST(CallMoves, leavesSilentUpstreamWhenAnotherGoesOn, moveCases)
{
    MoveFixture fixture(row.stage, row.move);
    auto &replacement = fixture.awaitReplacement();
    fixture.goOn(replacement);
    fixture.assertWhole("replaced");
    cr_assert(fixture.original().isCancelled);
    MoveFixture::assertNoneOpen("replaced");
}

namespace
{

/// How the silent upstream gives up a call that is tried elsewhere too.
enum class Loss {
    Broken,
    Malformed,
    Failed, ///< With status 500; in place of an answer only.
    NotRun, ///< In place of an answer only.
    EndInsideEvent, ///< Of a stream that has begun.
};

struct LossCase {
    Stage stage;
    Move move;
    Loss loss;
};

const LossCase losses[] = {
    {Stage::PlainSent, Move::ToUpstream, Loss::Broken},
    {Stage::PlainSent, Move::ToUpstream, Loss::Failed},
    {Stage::PlainSent, Move::ToUpstream, Loss::NotRun},
    {Stage::PlainPart, Move::ToUpstream, Loss::Broken},
    {Stage::StreamSent, Move::ToUpstream, Loss::Broken},
    {Stage::StreamSent, Move::ToUpstream, Loss::Failed},
    {Stage::StreamSent, Move::ToUpstream, Loss::NotRun},
    {Stage::StreamBegun, Move::ToUpstream, Loss::Broken},
    {Stage::StreamBegun, Move::ToUpstream, Loss::Malformed},
    {Stage::StreamBegun, Move::ToUpstream, Loss::EndInsideEvent},
    {Stage::StreamBegun, Move::ToPeer, Loss::Broken},
    {Stage::StreamBegun, Move::ToPeer, Loss::EndInsideEvent},
    {Stage::StreamSent, Move::ToPeer, Loss::NotRun},
    {Stage::PlainSent, Move::BetweenPeers, Loss::Broken},
    {Stage::StreamBegun, Move::BetweenPeers, Loss::Broken},
    {Stage::StreamSent, Move::BetweenPeers, Loss::NotRun},
};

void play(MoveFixture &fixture, PlayedSend &original, Loss loss)
{
    switch (loss) {
    case Loss::Broken:
        return original.fail(Relay::ExchangeFailure::Broken, true);
    case Loss::Malformed:
        return original.fail(Relay::ExchangeFailure::Malformed, true);
    case Loss::Failed:
        original.begin(500, fixture.headersOf(false));
        original.write("failed");
        return original.end();
    case Loss::NotRun:
        original.begin(503, fixture.headersOf(false, Verdict::NotRun));
        return original.end();
    case Loss::EndInsideEvent:
        original.write("id: 2\nda");
        return original.end();
    }
}

} // namespace

/// Guards against a replacement that is given up together with the silent upstream.
TABLE_TEST(CallMoves, keepsReplacementWhenSilentUpstreamIsLost, losses)
{
    MoveFixture fixture(row.stage, row.move);
    auto &replacement = fixture.awaitReplacement();
    play(fixture, fixture.original(), row.loss);
    fixture.run(2 * sweepInterval);
    cr_assert(replacement.isOpen);
    cr_assert(!fixture.caller->isBrokenOff && !fixture.caller->isWhole, "%u %s", fixture.caller->status,
              fixture.caller->body.c_str());
    fixture.goOn(replacement);
    fixture.assertWhole("lost");
    MoveFixture::assertNoneOpen("lost");
}

namespace
{

enum class CallEnd {
    CallerLeaves,
    Deadline,
    Exit,
};

struct EndCase {
    Stage stage;
    Move move;
    CallEnd end;
    bool isMoved; ///< Ends while a replacement is tried, rather than before.
    std::string name;
};

constexpr std::array callEnds{CallEnd::CallerLeaves, CallEnd::Deadline, CallEnd::Exit};

const auto ends = [] {
    std::array<EndCase, stages.size() * moves.size() * callEnds.size() * 2> all;
    std::size_t i = 0;
    for (const auto stage : stages) {
        for (const auto move : moves) {
            for (const auto end : callEnds) {
                for (const bool isMoved : {false, true})
                    all.at(i++) = {stage, move, end, isMoved,
                                   "stage " + std::to_string(static_cast<int>(stage)) + ", move "
                                       + std::to_string(static_cast<int>(move)) + ", end "
                                       + std::to_string(static_cast<int>(end)) + (isMoved ? ", moved" : "")};
            }
        }
    }
    return all;
}();

} // namespace

/// Guards against a run that goes on, or begins, after its call has ended.
TABLE_TEST(CallMoves, endsAllThatTheCallHasBegun, ends)
{
    MoveFixture fixture(row.stage, row.move);
    if (row.isMoved)
        fixture.awaitReplacement();
    const auto &caller = *fixture.caller;
    switch (row.end) {
    case CallEnd::CallerLeaves:
        fixture.caller->leave();
        break;
    case CallEnd::Deadline:
        fixture.passDeadline();
        cr_assert(caller.isBrokenOff || caller.status == 504, "%s: %u", row.name.c_str(), caller.status);
        break;
    case CallEnd::Exit:
        fixture.stop();
        cr_assert(caller.isBrokenOff || caller.status == 502, "%s: %u", row.name.c_str(), caller.status);
    }
    const auto sent = MoveFixture::sends().size();
    MoveFixture::assertNoneOpen(row.name.c_str());
    fixture.assertNothingLeft(row.name.c_str());
    fixture.run(timeAfterEnd);
    cr_assert_eq(MoveFixture::sends().size(), sent, "%s: sent after its end", row.name.c_str());
}

/// Guards against a stream that stays behind a cut, as the first peer that was asked had no room.
Test(CallMoves, asksPeersAgainWhileUpstreamIsSilent)
{
    MoveFixture fixture(Stage::StreamBegun, Move::ToPeer);
    constexpr std::size_t refusals = 5; // More than there are peers.
    for (std::size_t refused = 1; refused <= refusals; ++refused) {
        fixture.await(refused + 1);
        play(fixture, MoveFixture::sends().at(refused), Setback::NotRun);
    }
    fixture.await(refusals + 2);
    cr_assert(fixture.original().isOpen);
    fixture.goOn(MoveFixture::sends().at(refusals + 1));
    fixture.assertWhole("asked again");
    MoveFixture::assertNoneOpen("asked again");
}
