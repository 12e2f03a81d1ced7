#include "http/eventloop.h"
#include "relay/callerserver.h"
#include "relay/upstreamclient.h"

#include "support/rawcaller.h"
#include "support/rawserver.h"
#include "support/scriptedserver.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

using namespace Gypsumtally;
using namespace Gypsumtally::Relay;

namespace
{

/// A server on loopback and a client on one event loop, which stops when the client's exchange ends.
struct LoopbackPair {
    explicit LoopbackPair(CallerServer::Handler handler)
        : server(loop, {}, std::move(handler))
        , client(loop)
    {
        endpoint = {"127.0.0.1", server.listen({"127.0.0.1", 0}), false};
    }

    /// Sends a request and runs the loop until the exchange has ended.
    void exchange()
    {
        ended = false;
        failure.reset();
        body.clear();
        ExchangeObserver observer;
        observer.onHead = [this](const ResponseHead &head) { status = head.status; };
        observer.onBody = [this](std::string_view piece) { body += piece; };
        observer.onEnd = [this] {
            ended = true;
            loop.stop();
        };
        observer.onFailure = [this](const FailedExchange &failed) {
            failure = failed;
            loop.stop();
        };
        client.send({endpoint, "a"}, {"POST", "/x", {{"Host", "h"}}, "question"}, std::move(observer), {});
        loop.context().restart();
        loop.run();
    }

    Http::EventLoop loop;
    CallerServer server;
    UpstreamClient client;
    Http::Endpoint endpoint;
    unsigned status = 0;
    std::string body;
    bool ended = false;
    std::optional<FailedExchange> failure;
};

} // namespace

Test(Relay, reusesConnection)
{
    LoopbackPair pair([](auto exchange) { exchange->respond({200, {}, exchange->request().body + "!"}); });
    pair.exchange();
    pair.exchange();
    cr_assert(pair.ended);
    cr_assert_eq(pair.body, std::string("question!"));
    cr_assert_eq(pair.client.connectionsOpened(), 1U);
}

Test(Relay, streamsInPieces)
{
    LoopbackPair pair([](auto exchange) {
        exchange->begin(200, {}, std::nullopt);
        exchange->write("one");
        exchange->write("two");
        exchange->end();
    });
    pair.exchange();
    cr_assert(pair.ended);
    cr_assert_eq(pair.body, std::string("onetwo"));
}

Test(Relay, abortedResponseFails)
{
    LoopbackPair pair([](auto exchange) {
        exchange->begin(200, {}, std::nullopt);
        exchange->write("one");
        exchange->abort();
    });
    pair.exchange();
    cr_assert_not(pair.ended);
    cr_assert(pair.failure && pair.failure->sent);
}

Test(Relay, unansweredRequestClosesConnection)
{
    LoopbackPair pair([](auto) {});
    pair.exchange();
    cr_assert(pair.failure && pair.failure->kind == ExchangeFailure::Broken);
}

Test(Relay, refusedConnectionSendsNothing)
{
    LoopbackPair pair([](auto) {});
    pair.endpoint.port = 1;
    pair.exchange();
    cr_assert(pair.failure && pair.failure->kind == ExchangeFailure::NotConnected);
    cr_assert_not(pair.failure->sent);
}

Test(Relay, reportsCallerDisconnect)
{
    bool gone = false;
    std::shared_ptr<CallerExchange> held;
    Http::EventLoop *loop = nullptr;
    LoopbackPair pair([&](auto exchange) {
        held = exchange;
        held->onGone([&] {
            gone = true;
            loop->stop();
        });
        loop->post([&] { pair.client.cancel(1); });
    });
    loop = &pair.loop;
    pair.exchange();
    cr_assert(gone);
}

/// An answer without a length or chunks is whole only if its connection ends in order, which is not used again.
TABLE_TEST(Relay, answersWithoutLengthEndWithTheirConnection, Testing::unframedAnswers)
{
    Http::EventLoop loop;
    Testing::RawServer server(loop, row.bytes, row.end);
    UpstreamClient client(loop);
    std::function<void()> sweep = [&] {
        client.sweep(BootClock{}.now());
        loop.runAfter(std::chrono::milliseconds{20}, sweep);
    };
    sweep();
    SendOptions options;
    options.timeout = std::chrono::milliseconds{300};
    for (unsigned request = 1; request <= 2; ++request) {
        std::string body;
        bool ended = false;
        ExchangeObserver observer;
        observer.onBody = [&](std::string_view piece) { body += piece; };
        observer.onEnd = [&] {
            ended = true;
            loop.stop();
        };
        observer.onFailure = [&](const FailedExchange &) { loop.stop(); };
        client.send({server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}}, std::move(observer), options);
        loop.context().restart();
        loop.run();
        cr_assert_eq(ended, row.isWhole, "%s", row.name);
        if (row.isWhole)
            cr_assert_eq(body, std::string(row.body), "%s", row.name);
        cr_assert_eq(server.connections, request, "%s", row.name);
    }
}

/// A worker reset its connection while the request was being written, and its caller got the part of the answer that
/// had arrived as a whole one.
TABLE_TEST(Relay, answersToHalfWrittenRequestsEndWithTheirFraming, Testing::earlyAnswers)
{
    constexpr unsigned tries = 5; // Which of the client's calls on the socket reports the reset differs.
    for (unsigned number = 0; number < tries; ++number) {
        Http::EventLoop loop;
        Testing::RawServer server(loop, row.bytes, row.end, Testing::smallReceiveBuffer);
        UpstreamClient client(loop);
        std::optional<WholeResponse> answer;
        const auto onResponse = [&](const WholeResponse &response) {
            answer = response;
            loop.stop();
        };
        const Http::Request request{"POST", "/x", {{"Host", "h"}}, std::string(Testing::sizeOfPendingBody(), 'x')};
        client.fetch({server.endpoint(), "a"}, request, onResponse, {});
        loop.runAfter(std::chrono::seconds{5}, [&] { loop.stop(); });
        loop.run();
        cr_assert(answer.has_value(), "%s", row.name);
        cr_assert_eq(answer->head.status != 0, row.isWhole, "%s: %s", row.name, answer->failure.c_str());
        cr_assert(answer->sent, "%s", row.name);
        if (row.isWhole)
            cr_assert_eq(answer->body, std::string("all of it"), "%s", row.name);
    }
}

/// Guards against a success that counts as whole although its upstream cannot have received the request.
TABLE_TEST(Relay, successesWithoutLengthFollowTheWholeRequest, Testing::unreadRequests)
{
    Http::EventLoop loop;
    Testing::RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nall of it", Testing::ConnectionEnd::Shutdown,
                              Testing::smallReceiveBuffer);
    UpstreamClient client(loop);
    std::optional<WholeResponse> answer;
    const auto onResponse = [&](const WholeResponse &response) {
        answer = response;
        loop.stop();
    };
    client.fetch({server.endpoint(), "a"}, {"POST", "/x", {{"Host", "h"}}, std::string(row.bodyBytes, 'x')}, onResponse,
                 {});
    loop.runAfter(std::chrono::seconds{5}, [&] { loop.stop(); });
    loop.run();
    cr_assert(answer.has_value(), "%s", row.name);
    cr_assert_eq(answer->head.status == 200, row.isWhole, "%s: %s", row.name, answer->failure.c_str());
}

/// Guards against an answer that counts as whole although its connection ended inside its head or body.
TABLE_TEST(Relay, failsIfAnswerIsCutAtAnyByte, Testing::delimitedAnswers)
{
    const std::string whole = row;
    for (std::size_t length = 1; length <= whole.size(); ++length) {
        for (const auto end : {Testing::ConnectionEnd::Close, Testing::ConnectionEnd::Reset}) {
            Http::EventLoop loop;
            Testing::RawServer server(loop, whole.substr(0, length), end);
            UpstreamClient client(loop);
            WholeResponse answer;
            const auto onResponse = [&](const WholeResponse &response) {
                answer = response;
                loop.stop();
            };
            client.fetch({server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}}, onResponse, {});
            loop.run();
            cr_assert_eq(answer.head.status, length == whole.size() ? 200U : 0U, "%zu bytes", length);
            cr_assert_eq(answer.body, std::string(length == whole.size() ? "xyz" : ""), "%zu bytes", length);
        }
    }
}

/// A body without a length is bounded like others.
Test(Relay, endlessAnswerWithoutLengthIsAbandoned)
{
    constexpr std::size_t maxBody = 64 * 1024;
    Http::EventLoop loop;
    Testing::RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\n" + std::string(2 * maxBody, 'x'),
                              Testing::ConnectionEnd::KeepOpen);
    UpstreamClient client(loop);
    SendOptions options;
    options.maxBodyBytes = maxBody;
    std::optional<WholeResponse> received;
    client.fetch(
        {server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}},
        [&](const WholeResponse &response) {
            received = response;
            loop.stop();
        },
        options);
    loop.run();
    cr_assert(received.has_value());
    cr_assert_eq(received->head.status, 0U);
}

namespace
{

using Testing::RawCaller;

const char question[] = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nqq";
const char lastQuestion[] = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nqq";

/// A server that answers each request at once, unless it holds the answers back.
struct AnsweringServer {
    explicit AnsweringServer(const CallerServerSettings &settings = {})
        : server(loop, settings, [this](auto exchange) { take(std::move(exchange)); })
    {
        endpoint = {"127.0.0.1", server.listen({"127.0.0.1", 0}), false};
    }

    void take(std::shared_ptr<CallerExchange> exchange)
    {
        ++requests;
        if (holdsAnswers)
            held.push_back(std::move(exchange));
        else
            exchange->respond({200, {}, answer});
    }

    void answerHeld()
    {
        for (const auto &exchange : std::exchange(held, {}))
            exchange->respond({200, {}, "a"});
    }

    Http::EventLoop loop;
    std::vector<std::shared_ptr<CallerExchange>> held;
    unsigned requests = 0; ///< That were read as a whole.
    bool holdsAnswers = false;
    std::string answer = "a";
    CallerServer server;
    Http::Endpoint endpoint;
};

unsigned answersIn(const std::string &text)
{
    unsigned count = 0;
    for (auto at = text.find("HTTP/1.1 200"); at != std::string::npos; at = text.find("HTTP/1.1 200", at + 1))
        ++count;
    return count;
}

} // namespace

/// A request that came on a connection after its last answer was discarded, and nothing told of it.
Test(Relay, countsRequestsLeftUnanswered)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(lastQuestion);
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 1U);
    cr_assert_eq(server.server.losses().requests, 0U);
    caller.send(question);
    caller.wait();
    cr_assert_eq(server.server.losses().requests, 1U);
    cr_assert_eq(server.requests, 1U);
}

/// A connection beyond the limit is closed unread, so that its caller sends the request again elsewhere.
Test(Relay, closesConnectionsBeyondTheLimitUnread)
{
    CallerServerSettings settings;
    settings.maxConnections = 1;
    AnsweringServer server(settings);
    RawCaller first(server.loop, server.endpoint);
    RawCaller second(server.loop, server.endpoint);
    second.send(question);
    first.wait();
    cr_assert(second.wasReset());
    cr_assert_eq(server.server.losses().connections, 1U);
    cr_assert_eq(server.requests, 0U);
    first.send(question);
    first.wait();
    cr_assert_eq(answersIn(first.received()), 1U);
}

namespace
{

/// Where a caller's request is when its connection closes.
enum class Place {
    InFlight, ///< Its answer is not there yet.
    HalfRead,
    InKernel, ///< In the kernel's buffer, unread.
    OnItsWay, ///< It arrives after the close.
};

void expireIdle(AnsweringServer &server)
{
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{16});
}

/// A configuration shortens both time-outs, and more than their new length passes.
void shortenTimeouts(AnsweringServer &server)
{
    CallerServerSettings settings;
    settings.headerTimeout = std::chrono::milliseconds{200};
    settings.idleTimeout = std::chrono::milliseconds{500};
    server.server.setSettings(settings);
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{1});
}

void stop(AnsweringServer &server)
{
    server.server.announceClose();
    server.server.stopAccepting();
}

struct CloseCase {
    const char *name;
    void (*close)(AnsweringServer &server); ///< Closes connections that are idle.
    Place place;
    bool isAnswered; ///< Otherwise the request must remain unread.
};

const CloseCase closes[] = {
    {"idle for too long, in the kernel", expireIdle, Place::InKernel, true},
    {"idle for too long, on its way", expireIdle, Place::OnItsWay, false},
    {"shorter time-outs, in flight", shortenTimeouts, Place::InFlight, true},
    {"shorter time-outs, half read", shortenTimeouts, Place::HalfRead, true},
    {"shorter time-outs, in the kernel", shortenTimeouts, Place::InKernel, true},
    {"shorter time-outs, on its way", shortenTimeouts, Place::OnItsWay, true},
    {"stop, in flight", stop, Place::InFlight, true},
    {"stop, half read", stop, Place::HalfRead, true},
    {"stop, in the kernel", stop, Place::InKernel, true},
    {"stop, on its way", stop, Place::OnItsWay, false},
};

/// Lets a request come to @p place, closes as in @p row, and lets the rest of the request come.
void closeAround(const CloseCase &row, AnsweringServer &server, RawCaller &caller)
{
    const std::string_view text = question;
    std::size_t early = 0;
    if (row.place == Place::InFlight || row.place == Place::InKernel)
        early = text.size();
    else if (row.place == Place::HalfRead)
        early = text.size() / 2;
    server.holdsAnswers = row.place == Place::InFlight;
    caller.send(text.substr(0, early));
    if (row.place != Place::InKernel)
        caller.wait();
    row.close(server);
    caller.wait();
    caller.send(text.substr(early));
    caller.wait();
    server.answerHeld();
    caller.wait();
}

} // namespace

/// Guards against a whole request that is read on a connection that closes, and then gets no answer.
TABLE_TEST(Relay, answersOrLeavesRequestsUnread, closes)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 1U, "%s", row.name);
    closeAround(row, server, caller);
    const auto answers = answersIn(caller.received());
    cr_assert_eq(answers, row.isAnswered ? 2U : 1U, "%s: %u answers", row.name, answers);
    cr_assert_eq(server.requests, answers, "%s: %u read", row.name, server.requests);
    cr_assert_eq(server.server.losses().requests, 0U, "%s", row.name);
    cr_assert(row.isAnswered || caller.wasReset(), "%s", row.name);
}

/// New time-outs hold for what begins after them.
Test(Relay, appliesShorterTimeoutToConnectionsThatBecomeIdleLater)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    shortenTimeouts(server);
    cr_assert_eq(server.server.connections(), 1U);
    caller.send(question);
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 2U);
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{1});
    cr_assert_eq(server.server.connections(), 0U);
}

/// A request that a new configuration allows was refused with 413 on a connection that had been idle at the change.
Test(Relay, appliesSizeLimitsToIdleConnections)
{
    CallerServerSettings settings;
    settings.limits.bodyBytes = 1;
    AnsweringServer server(settings);
    RawCaller caller(server.loop, server.endpoint);
    caller.wait();
    server.server.setSettings({});
    caller.send(question);
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 1U, "%s", caller.received().c_str());
}

namespace
{

/// When the second of two pipelined requests comes, while the first is in progress.
enum class SecondComes {
    BeforeStop,
    InKernelAtAnswer, ///< It is unread when the answer to the first one is made.
    AfterLastHead, ///< The answer to the first one has begun, and has said that it is the last.
};

struct PipelineCase {
    const char *name;
    SecondComes second;
    unsigned answers; ///< A second request without an answer must remain unread.
};

const PipelineCase pipelines[] = {
    {"before the stop", SecondComes::BeforeStop, 2},
    {"in the kernel at the answer", SecondComes::InKernelAtAnswer, 2},
    {"after the head of the last answer", SecondComes::AfterLastHead, 1},
};

} // namespace

/// Guards against a pipelined request that is read and then dropped, as the answer before it was the last.
TABLE_TEST(Relay, answersPipelinedRequestsAtStop, pipelines)
{
    AnsweringServer server;
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    if (row.second == SecondComes::BeforeStop) {
        caller.send(question);
        caller.wait();
    }
    stop(server);
    const auto first = std::exchange(server.held, {}).at(0);
    if (row.second == SecondComes::InKernelAtAnswer)
        caller.send(question);
    first->begin(200, {}, 1);
    if (row.second == SecondComes::AfterLastHead) {
        caller.send(question);
        caller.wait();
    }
    first->write("a");
    first->end();
    caller.wait();
    server.answerHeld();
    caller.wait();
    server.server.sweep(BootClock{}.now());
    caller.wait();
    const auto answers = answersIn(caller.received());
    cr_assert_eq(answers, row.answers, "%s: %u answers", row.name, answers);
    cr_assert_eq(server.requests, answers, "%s: %u read", row.name, server.requests);
    cr_assert(row.answers == 2 || caller.wasReset(), "%s", row.name);
    cr_assert(row.answers == 1 || caller.hasEnd(), "%s", row.name);
}

namespace
{

/// When the next request comes on a connection whose answer began before the stop, and so announced no close.
enum class NextComes {
    DuringAnswer, ///< It is read before the stop.
    HalfDuringAnswer, ///< Its rest comes after the answer.
    AfterAnswer,
};

struct LastAnswerCase {
    const char *name;
    NextComes next;
    unsigned answers; ///< A next request without an answer must remain unread.
};

const LastAnswerCase lastAnswers[] = {
    {"read during the answer", NextComes::DuringAnswer, 2},
    {"half read during the answer", NextComes::HalfDuringAnswer, 2},
    {"after the answer", NextComes::AfterAnswer, 1},
};

} // namespace

/// Guards against a request that a stopping server takes long after the stop, behind an answer that began before it.
TABLE_TEST(Relay, leavesRequestsUnreadBehindAnswersThatBeganBeforeTheStop, lastAnswers)
{
    AnsweringServer server;
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    const std::string_view text = question;
    const auto first = std::exchange(server.held, {}).at(0);
    first->begin(200, {}, 1);
    std::size_t early = 0;
    if (row.next != NextComes::AfterAnswer)
        early = row.next == NextComes::DuringAnswer ? text.size() : text.size() / 2;
    caller.send(text.substr(0, early));
    caller.wait();
    stop(server);
    first->write("a");
    first->end();
    caller.send(text.substr(early));
    caller.wait();
    server.answerHeld();
    caller.wait();
    server.server.sweep(BootClock{}.now());
    caller.wait();
    const auto answers = answersIn(caller.received());
    cr_assert_eq(answers, row.answers, "%s: %u answers", row.name, answers);
    cr_assert_eq(server.requests, answers, "%s: %u read", row.name, server.requests);
    cr_assert(row.answers == 2 || caller.wasReset(), "%s", row.name);
}

/// Guards against a request whose connection still waits to be accepted when a stopping node stops accepting, as after
/// a stall, and is then reset.
Test(Relay, answersRequestsOfConnectionsThatWaitToBeAccepted)
{
    AnsweringServer server;
    RawCaller first(server.loop, server.endpoint);
    RawCaller second(server.loop, server.endpoint);
    first.send(question);
    second.send(question);
    stop(server);
    first.wait();
    cr_assert_eq(answersIn(first.received()), 1U, "%s", first.received().c_str());
    cr_assert_eq(answersIn(second.received()), 1U, "%s", second.received().c_str());
}

/// Guards against a connection that was accepted in the turn of the loop in which a node stops accepting, and is
/// dropped.
Test(Relay, answersRequestsOfConnectionsThatAreBeingAccepted)
{
    AnsweringServer server;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<RawCaller>(server.loop, server.endpoint));
        callers.back()->send(question);
    }
    server.loop.runAfter(Duration{}, [&] { stop(server); });
    callers.front()->wait();
    for (const auto &caller : callers)
        cr_expect_eq(answersIn(caller->received()), 1U, "%s", caller->received().c_str());
}

/// Guards against a request that has come in part when the process exits, and then gets no answer.
Test(Relay, refusesRequestsThatHaveComeInPart)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(std::string_view(question).substr(0, std::string_view(question).size() / 2));
    caller.wait();
    stop(server);
    cr_assert(!server.server.isDrained());
    server.server.refuseRest();
    caller.wait();
    cr_assert(caller.received().starts_with("HTTP/1.1 503"), "%s", caller.received().c_str());
    cr_assert_eq(server.requests, 0U);
    cr_assert(server.server.isDrained());
}

/// A caller that leaves must be noticed also behind a request that stays unread.
Test(Relay, noticesDepartureBehindUnreadRequest)
{
    AnsweringServer server;
    server.holdsAnswers = true;
    bool isGone = false;
    auto caller = std::make_unique<RawCaller>(server.loop, server.endpoint);
    caller->send(question);
    caller->wait();
    stop(server);
    server.held.at(0)->onGone([&] { isGone = true; });
    server.held.at(0)->begin(200, {}, 1);
    caller->send(question);
    caller->wait();
    caller->received();
    caller.reset();
    RawCaller::runLoop(server.loop, std::chrono::milliseconds{30});
    server.server.sweep(BootClock{}.now());
    cr_assert(isGone);
}

namespace
{

constexpr std::size_t largeAnswer = 12 * 1024 * 1024; ///< More than the kernel's buffers hold.

CallerServerSettings settingsForLargeAnswers()
{
    CallerServerSettings settings;
    settings.maxBufferedBytes = 2 * largeAnswer;
    return settings;
}

struct SlowReaderCase {
    const char *name;
    const char *request;
    void (*close)(AnsweringServer &server); ///< Called when the answer has been made.
    bool endsSending; ///< The caller ends its sending direction once the answer has begun.
    bool isKept; ///< The connection remains open after the answer.
};

void linger(AnsweringServer &server)
{
    server.server.sweep(BootClock{}.now() + std::chrono::milliseconds{1500});
}

void stopAndLinger(AnsweringServer &server)
{
    stop(server);
    linger(server);
}

const SlowReaderCase slowReaders[] = {
    {"last answer", lastQuestion, linger, false, false},
    {"kept connection, at a stop", question, stopAndLinger, false, true},
    {"half-closed", question, linger, true, false},
};

} // namespace

/// Guards against an answer that is cut off because its caller takes a second or two to read it.
TABLE_TEST(Relay, deliversAnswersToSlowReaders, slowReaders)
{
    AnsweringServer server(settingsForLargeAnswers());
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(row.request);
    caller.wait();
    server.held.at(0)->respond({200, {}, std::string(largeAnswer, 'x')});
    server.held.clear();
    cr_assert_eq(server.server.activeRequests(), 0U, "%s", row.name);
    cr_assert_not(server.server.isDrained(), "%s", row.name);
    if (row.endsSending)
        caller.endSending();
    caller.wait();
    row.close(server);
    std::size_t before = 0;
    do {
        before = caller.received().size();
        caller.wait();
    } while (caller.received().size() > before);
    cr_assert_geq(caller.received().size(), largeAnswer, "%s: %zu", row.name, caller.received().size());
    cr_assert(server.server.isDrained(), "%s", row.name);
    cr_assert_eq(caller.hasEnd(), !row.isKept, "%s", row.name);
}

/// A kept connection closed as idle while its caller was still reading the answer.
Test(Relay, countsIdleTimeFromTheLastBytesOfAnAnswer)
{
    auto settings = settingsForLargeAnswers();
    settings.idleTimeout = std::chrono::milliseconds{300};
    AnsweringServer server(settings);
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    server.held.at(0)->respond({200, {}, std::string(largeAnswer, 'x')});
    server.held.clear();
    constexpr std::size_t portion = largeAnswer / 6;
    for (std::size_t size = portion; size <= largeAnswer; size += portion) {
        caller.read(size);
        caller.wait(std::chrono::milliseconds{100});
        server.server.sweep(BootClock{}.now());
    }
    cr_assert_geq(caller.received().size(), largeAnswer, "%zu", caller.received().size());
}

/// A caller that does not read its answer does not hold its connection for good.
Test(Relay, closesConnectionOfCallerThatDoesNotRead)
{
    AnsweringServer server(settingsForLargeAnswers());
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(lastQuestion);
    caller.wait();
    server.held.at(0)->respond({200, {}, std::string(largeAnswer, 'x')});
    server.held.clear();
    caller.wait();
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{16});
    cr_assert_eq(server.server.connections(), 0U);
}

/// A stop cut off requests that were half read when the last answer had ended.
Test(Relay, isNotDrainedWhileARequestIsRead)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    const std::string_view text = question;
    caller.send(text.substr(0, text.size() / 2));
    caller.wait();
    stop(server);
    cr_assert_not(server.server.isDrained());
    caller.send(text.substr(text.size() / 2));
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 1U);
    cr_assert(server.server.isDrained());
}

namespace
{

struct RefusalCase {
    const char *name;
    unsigned status; ///< Of the first response.
    bool isAnonymous; ///< Of the first request.
    bool isSecondAnonymous;
    std::size_t connections; ///< Used for both.
};

const RefusalCase refusals[] = {
    {"answer to an anonymous request", 200, true, true, 1},
    {"refusal of an anonymous request", 409, true, true, 2},
    {"refusal of an anonymous request, then one with an id", 503, true, false, 2},
    {"refusal of a request with an id, then an anonymous one", 421, false, true, 2},
    {"refusal of a request with an id, then another", 421, false, false, 1},
};

} // namespace

/// Orders and inspections, whose responses bear no id, could take an earlier refusal for their response.
TABLE_TEST(Relay, anonymousRequestsAvoidRefusals, refusals)
{
    Http::EventLoop loop;
    Testing::ScriptedServer server(loop, [&](const Testing::ScriptedRequest &) {
        return "HTTP/1.1 " + std::to_string(row.status) + " X\r\nContent-Length: 0\r\n\r\n";
    });
    UpstreamClient client(loop);
    for (const bool isSecond : {false, true}) {
        SendOptions options;
        options.isAnonymous = isSecond ? row.isSecondAnonymous : row.isAnonymous;
        options.requestId = options.isAnonymous ? "" : isSecond ? "r2" : "r1";
        UpstreamClient::Token token = 0;
        ExchangeObserver observer;
        observer.onHead = [&](const ResponseHead &head) {
            if (head.status >= 400 && !options.isAnonymous)
                client.noteRefusal(token, options.requestId);
        };
        observer.onEnd = [&] { loop.stop(); };
        token = client.send({server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}}, std::move(observer), options);
        loop.context().restart();
        loop.run();
    }
    cr_assert_eq(server.connections(), row.connections, "%s: %zu", row.name, server.connections());
}

namespace
{

/// Bytes that arrive on an idle connection.
const char *const strayBytes[] = {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "x"};

} // namespace

/// A response that arrives while no request waits is not the response to the next one.
TABLE_TEST(Relay, bytesOnIdleConnectionSpoilIt, strayBytes)
{
    Http::EventLoop loop;
    Testing::ScriptedServer server(
        loop, [](const Testing::ScriptedRequest &) { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; });
    UpstreamClient client(loop);
    unsigned status = 0;
    for (const bool isSecond : {false, true}) {
        if (isSecond)
            server.write(1, row);
        ExchangeObserver observer;
        observer.onHead = [&](const ResponseHead &head) { status = head.status; };
        observer.onEnd = [&] { loop.stop(); };
        observer.onFailure = [&](const FailedExchange &) { loop.stop(); };
        client.send({server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}}, std::move(observer), {});
        loop.context().restart();
        loop.run();
        cr_assert_eq(status, 200U);
    }
    cr_assert_eq(server.connections(), 2U);
}

/// A request was refused with 408 after a stall of the process, although the rest of it had arrived in time.
Test(Relay, readsTheRestOfARequestBeforeItIsLate)
{
    const std::string large(200 * 1024, 'q');
    const auto text
        = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large;
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(text.substr(0, 100));
    caller.wait();
    caller.send(text.substr(100));
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{4});
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), 1U, "%s", caller.received().c_str());
}

/// Guards against a process that ends because a caller has pipelined many requests.
Test(Relay, answersManyPipelinedRequests)
{
    constexpr unsigned requests = 12000;
    std::string text;
    for (unsigned i = 0; i < requests; ++i)
        text += "GET / HTTP/1.1\r\n\r\n";
    AnsweringServer server(settingsForLargeAnswers());
    server.holdsAnswers = true;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(question);
    caller.wait();
    caller.send(text);
    caller.wait();
    server.holdsAnswers = false;
    server.answerHeld();
    std::size_t before = 0;
    do {
        before = caller.received().size();
        caller.wait(std::chrono::milliseconds{100});
    } while (caller.received().size() > before);
    cr_assert_eq(answersIn(caller.received()), requests + 1);
}

namespace
{

/// A caller that has sent another request behind its last answer, and has not read that answer.
struct UnreadRequest {
    UnreadRequest()
        : server(settingsForLargeAnswers())
        , caller(std::make_unique<RawCaller>(server.loop, server.endpoint))
    {
        server.holdsAnswers = true;
        caller->send(lastQuestion);
        caller->wait();
        server.held.at(0)->respond({200, {}, std::string(answerBytes, 'x')});
        server.held.clear();
        caller->send(question);
        caller->wait();
    }

    static constexpr std::size_t answerBytes = 1024 * 1024; ///< Fit the kernel's buffers, but not the caller's alone.

    AnsweringServer server;
    std::unique_ptr<RawCaller> caller;
};

} // namespace

/// Guards against an answer that is cut off by the reset of a connection whose caller has sent another request.
Test(Relay, deliversLastAnswerBeforeUnreadRequestIsReset)
{
    constexpr Duration longestDelivery = std::chrono::seconds{2}; // The caller's kernel may acknowledge bytes late.
    UnreadRequest unread;
    auto &server = unread.server.server;
    auto &caller = *unread.caller;
    cr_assert_eq(server.losses().requests, 1U);
    cr_assert_not(server.isDrained());
    server.sweep(BootClock{}.now() + std::chrono::milliseconds{1500});
    const auto hasAnswer = [&] { return caller.received().size() >= UnreadRequest::answerBytes; };
    const auto until = BootClock{}.now() + longestDelivery;
    bool isDrained = false;
    while (!isDrained && BootClock{}.now() < until) {
        caller.received();
        caller.wait(std::chrono::milliseconds{10});
        isDrained = server.isDrained();
        cr_assert(!isDrained || hasAnswer(), "drained with %zu bytes received", caller.received().size());
    }
    cr_assert(isDrained, "%zu bytes received", caller.received().size());
    server.sweep(BootClock{}.now());
    cr_assert_eq(server.connections(), 0U);
    caller.wait();
    cr_assert(caller.wasReset());
}

/// A caller that leaves or does not read its answer does not hold its connection for good.
Test(Relay, closesConnectionOfUnreadRequest)
{
    UnreadRequest slow;
    slow.server.server.sweep(BootClock{}.now() + std::chrono::seconds{16});
    cr_assert_eq(slow.server.server.connections(), 0U);
    UnreadRequest left;
    left.caller.reset();
    RawCaller::runLoop(left.server.loop, std::chrono::milliseconds{30});
    cr_assert(left.server.server.isDrained());
    left.server.server.sweep(BootClock{}.now());
    cr_assert_eq(left.server.server.connections(), 0U);
}

/// A request that does not come as a whole is refused.
Test(Relay, refusesHalfARequestThatIsLate)
{
    AnsweringServer server;
    RawCaller caller(server.loop, server.endpoint);
    caller.send(std::string_view(question).substr(0, 30));
    caller.wait();
    caller.send(std::string_view(question).substr(30, 10));
    server.server.sweep(BootClock{}.now() + std::chrono::seconds{4});
    caller.wait();
    cr_assert(caller.received().starts_with("HTTP/1.1 408"), "%s", caller.received().c_str());
    cr_assert_eq(server.requests, 0U);
}

namespace
{

struct ConnectCase {
    const char *name;
    bool isListening;
    ConnectResult result;
};

const ConnectCase connects[] = {
    {"a process listens", true, ConnectResult::Connected},
    {"no process listens", false, ConnectResult::Refused},
};

} // namespace

/// A connection that was to be closed at once stayed open, and its success was not reported.
TABLE_TEST(Relay, reportsWhetherAConnectionWasMade, connects)
{
    AnsweringServer server;
    UpstreamClient client(server.loop);
    if (!row.isListening)
        server.server.stopAccepting();
    std::optional<ConnectResult> result;
    client.connect({server.endpoint, "a"}, [&](ConnectResult outcome) { result = outcome; }, {});
    RawCaller::runLoop(server.loop, std::chrono::milliseconds{100});
    cr_assert(result == row.result, "%s", row.name);
    cr_assert_eq(server.server.connections(), 0U, "%s", row.name);
}

namespace
{

/// What the kernel holds for a client whose process was stopped for longer than the client's time-outs.
enum class Arrived {
    Nothing, ///< Not even the connection.
    Connection,
    PartOfAnswer,
    Answer,
};

struct StallCase {
    const char *name;
    Arrived arrived;
    std::size_t bodyBytes;
    bool isWhole;
};

const StallCase stalls[] = {
    {"no connection", Arrived::Nothing, 10, false},
    {"a connection", Arrived::Connection, 10, true},
    {"a part of the answer", Arrived::PartOfAnswer, 10, false},
    {"an answer", Arrived::Answer, 10, true},
    {"an answer that is read in pieces", Arrived::Answer, 100 * 1000, true},
};

/// A server that runs only when the test says so, while the client does not.
class HeldServer
{
public:
    explicit HeldServer(Http::EventLoop &loop, bool takesConnections)
        : m_acceptor(loop.context())
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(takesConnections ? 8 : 0);
        while (!takesConnections && m_filling.size() < 3) {
            m_filling.emplace_back(loop.context(), tcp::v4());
            m_filling.back().native_non_blocking(true);
            const auto address = m_acceptor.local_endpoint();
            static_cast<void>(::connect(m_filling.back().native_handle(), address.data(),
                                        static_cast<socklen_t>(address.size()))); // Goes on in the kernel.
        }
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port(), false};
    }

    /// Accepts the client's connection, reads its request, for which @p run lets the client go on, and sends @p bytes.
    void answer(std::string_view bytes, const std::function<void()> &run)
    {
        std::array<char, 4096> request{};
        tcp::socket socket(m_acceptor.get_executor());
        boost::system::error_code error = boost::asio::error::would_block;
        m_acceptor.non_blocking(true);
        for (int i = 0; i < maxRuns && error; ++i) {
            run();
            m_acceptor.accept(socket, error);
        }
        cr_assert_not(error, "no connection");
        socket.non_blocking(true);
        for (int i = 0; i < maxRuns && socket.read_some(boost::asio::buffer(request), error) == 0; ++i)
            run();
        cr_assert_not(error, "no request");
        socket.non_blocking(false);
        boost::asio::write(socket, boost::asio::buffer(bytes));
        m_open.push_back(std::move(socket));
    }

private:
    using tcp = boost::asio::ip::tcp;
    static constexpr int maxRuns = 60;

    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_filling; ///< Fill the queue of connections that the kernel makes.
    std::vector<tcp::socket> m_open;
};

} // namespace

/// Guards against a silent upstream that is taken for one that refuses or resets.
Test(Relay, tellsLateFromFailed)
{
    Http::EventLoop loop;
    HeldServer full(loop, false);
    HeldServer silent(loop, true);
    UpstreamClient client(loop);
    SendOptions options;
    options.connectTimeout = std::chrono::milliseconds{50};
    options.timeout = std::chrono::milliseconds{50};
    std::optional<ConnectResult> connection;
    client.connect(
        {full.endpoint(), "a"}, [&](ConnectResult result) { connection = result; }, options);
    std::optional<WholeResponse> response;
    client.fetch(
        {silent.endpoint(), "b"}, {"GET", "/", {{"Host", "b"}}, {}},
        [&](const WholeResponse &received) { response = received; }, options);
    RawCaller::runLoop(loop, std::chrono::milliseconds{100});
    client.sweep(BootClock{}.now());
    cr_assert(connection == ConnectResult::Late);
    cr_assert(response && response->head.status == 0 && response->isLate);
}

/// A connection that had been made, or an answer that had arrived, was given up as late after a stall of the process.
TABLE_TEST(Relay, stalledClientJudgesByWhatHasArrived, stalls)
{
    Http::EventLoop loop;
    HeldServer server(loop, row.arrived != Arrived::Nothing);
    UpstreamClient client(loop);
    SendOptions options;
    if (row.arrived != Arrived::Connection)
        options.timeout = std::chrono::milliseconds{500};
    std::optional<WholeResponse> received;
    client.fetch(
        {server.endpoint(), "a"}, {"GET", "/x", {{"Host", "h"}}, {}},
        [&](const WholeResponse &response) { received = response; }, options);
    const std::function<void()> run = [&] { RawCaller::runLoop(loop, std::chrono::milliseconds{30}); };
    const std::string body(row.bodyBytes, 'x');
    const auto whole = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (row.arrived == Arrived::PartOfAnswer || row.arrived == Arrived::Answer)
        server.answer(std::string_view(whole).substr(0, whole.size() - (row.arrived == Arrived::Answer ? 0 : 1)), run);
    client.sweep(BootClock{}.now() + std::chrono::seconds{1});
    run();
    if (row.arrived == Arrived::Connection) {
        cr_assert_not(received.has_value(), "%s", row.name);
        server.answer(whole, run);
        run();
    }
    cr_assert(received.has_value(), "%s", row.name);
    cr_assert_eq(received->head.status, row.isWhole ? 200U : 0U, "%s", row.name);
    cr_assert_eq(received->body, row.isWhole ? body : std::string(), "%s", row.name);
}

namespace
{

constexpr std::size_t budgetBytes = 1024 * 1024;

/// Of which a large holder may use three quarters.
Budget::MemoryLimits smallBudget()
{
    Budget::MemoryLimits limits;
    limits.total = budgetBytes;
    limits.reserve = budgetBytes / 4;
    limits.trackedBytes = 1024;
    return limits;
}

CallerServerSettings settingsWith(Budget::MemoryBudget &budget)
{
    CallerServerSettings settings;
    settings.memory = &budget;
    return settings;
}

std::string headFor(std::size_t bodyBytes)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

struct WaitingCase {
    const char *name;
    std::string_view sent; ///< By the first caller.
    std::uint64_t CallerLosses::*count;
    std::string_view received; ///< Beginning of what the first caller gets.
};

struct DispatchCase {
    const char *name;
    bool isShed; ///< Before the request in progress is answered.
    std::string_view received; ///< Beginning of what the second caller gets.
    unsigned requests; ///< That are dispatched.
};

const DispatchCase dispatches[] = {
    {"memory becomes free", false, "HTTP/1.1 200", 2},
    {"memory stays short", true, "HTTP/1.1 503", 1},
};

const WaitingCase waiting[] = {
    {"idle", "", &CallerLosses::idle, ""},
    {"with a part of a request", "POST /x HTTP/1.1\r\nHost", &CallerLosses::slow, "HTTP/1.1 503"},
};

} // namespace

/// Guards against a process that runs out of memory, and against ordinary callers that suffer for others.
Test(Relay, refusesRequestsThatHaveArrivedInPartWhileMemoryIsShort)
{
    Budget::MemoryBudget budget(smallBudget());
    AnsweringServer server(settingsWith(budget));
    RawCaller large(server.loop, server.endpoint);
    large.send(headFor(2 * budgetBytes));
    for (std::size_t sent = 0; sent < 2 * budgetBytes - 1; sent += budgetBytes / 16) {
        large.send(std::string(budgetBytes / 16, 'x'));
        large.wait(std::chrono::milliseconds{2});
    }
    cr_assert(budget.isShort());
    cr_assert_leq(budget.used(), budgetBytes);
    RawCaller ordinary(server.loop, server.endpoint);
    ordinary.send(question);
    ordinary.wait();
    cr_assert_eq(answersIn(ordinary.received()), 1U);
    budget.shed(BootClock{}.now() + std::chrono::seconds{1});
    large.wait();
    cr_assert(large.received().starts_with("HTTP/1.1 503"), "%s", large.received().c_str());
    cr_assert_eq(server.server.losses().refusedForMemory, 1U);
    cr_assert_lt(budget.used(), budgetBytes / 8);
    cr_assert_eq(server.requests, 1U);
}

/// Guards against a request that is never read on after memory was short.
Test(Relay, readsOnOnceMemoryIsFree)
{
    Budget::MemoryBudget budget(smallBudget());
    Budget::MemoryShare other(&budget);
    other.set(budgetBytes * 7 / 10);
    AnsweringServer server(settingsWith(budget));
    RawCaller caller(server.loop, server.endpoint);
    constexpr std::size_t body = budgetBytes / 8;
    caller.send(headFor(body) + std::string(body, 'x'));
    caller.wait();
    cr_assert_eq(server.requests, 0U);
    other.set(0);
    for (int sweep = 0; sweep < 20 && server.requests == 0; ++sweep) {
        server.server.sweep(BootClock{}.now());
        caller.wait(std::chrono::milliseconds{5});
    }
    cr_assert_eq(answersIn(caller.received()), 1U);
}

/// Guards against whole requests that are passed on, and copied, although there is no memory for the copies.
TABLE_TEST(Relay, dispatchesARequestOnceThereIsMemoryForItsCopies, dispatches)
{
    Budget::MemoryBudget budget(smallBudget());
    AnsweringServer server(settingsWith(budget));
    server.holdsAnswers = true;
    constexpr std::size_t large = budgetBytes * 5 / 16; // Takes twice as much once it is dispatched.
    constexpr std::size_t small = budgetBytes * 5 / 64;
    RawCaller first(server.loop, server.endpoint);
    first.send(headFor(large) + std::string(large, 'x'));
    first.wait();
    RawCaller second(server.loop, server.endpoint);
    second.send(headFor(small) + std::string(small, 'x'));
    second.wait();
    cr_assert_eq(server.requests, 1U, "%s", row.name);
    if (row.isShed)
        budget.shed(BootClock{}.now() + std::chrono::seconds{1});
    server.answerHeld();
    server.holdsAnswers = false;
    server.server.sweep(BootClock{}.now());
    second.wait();
    cr_assert(second.received().starts_with(row.received), "%s: %s", row.name, second.received().c_str());
    cr_assert_eq(second.received().find("Retry-After: ") != std::string::npos, row.isShed, "%s", row.name);
    cr_assert_eq(server.requests, row.requests, "%s", row.name);
}

namespace
{

struct HeadCase {
    const char *name;
    const char *fields; ///< Of the head.
    bool isKnown;
};

const HeadCase heads[] = {
    {"known", "Authorization: a\r\n", true},
    {"stranger", "", false},
    {"stranger who waits to send the body", "Expect: 100-continue\r\n", false},
};

} // namespace

/// Guards against bodies that take memory although their head shows that they will be refused.
TABLE_TEST(Relay, rejectsARequestByItsHeadBeforeItsBodyHasArrived, heads)
{
    CallerServerSettings settings;
    settings.checkHead = [](const Http::Request &head) -> std::optional<Http::Response> {
        if (head.headers.contains("Authorization"))
            return std::nullopt;
        return Http::Response{401, {}, "who is it?"};
    };
    AnsweringServer server(settings);
    RawCaller caller(server.loop, server.endpoint);
    caller.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + std::string(row.fields) + "\r\nx");
    caller.wait();
    cr_assert_eq(caller.received().starts_with("HTTP/1.1 401"), !row.isKnown, "%s: %s", row.name,
                 caller.received().c_str());
    caller.send("x");
    caller.wait();
    cr_assert_eq(answersIn(caller.received()), row.isKnown ? 1U : 0U, "%s", row.name);
    cr_assert_eq(server.requests, row.isKnown ? 1U : 0U, "%s", row.name);
}

/// Guards against answers that take memory without end because their caller does not read them.
Test(Relay, closesConnectionWithUnreadAnswerWhileMemoryIsShort)
{
    Budget::MemoryBudget budget(smallBudget());
    AnsweringServer server(settingsWith(budget));
    server.answer = std::string(budgetBytes * 9 / 10, 'x');
    RawCaller caller(server.loop, server.endpoint);
    unsigned asked = 0;
    for (; asked < 100 && !budget.isShort(); ++asked) {
        caller.send(question);
        caller.wait(std::chrono::milliseconds{5});
    }
    cr_assert(budget.isShort(), "after %u answers", asked);
    budget.shed(BootClock{}.now() + std::chrono::seconds{1});
    cr_assert_eq(server.server.connections(), 0U);
    cr_assert_eq(server.server.losses().closedForMemory, 1U);
    cr_assert_eq(budget.used(), 0U);
}

/// Guards against answers to pipelined requests that pile up because their caller does not read them.
Test(Relay, answersNextPipelinedRequestOnceTheLastAnswersAreRead)
{
    constexpr unsigned count = 200;
    AnsweringServer server;
    server.answer = std::string(100 * 1024, 'x');
    RawCaller caller(server.loop, server.endpoint);
    std::string questions;
    for (unsigned i = 0; i < count; ++i)
        questions += question;
    caller.send(questions);
    caller.wait();
    cr_assert_lt(server.requests, count);
    for (int i = 0; i < 1000 && answersIn(caller.received()) < count; ++i)
        caller.wait(std::chrono::milliseconds{2});
    cr_assert_eq(answersIn(caller.received()), count);
}

/// Guards against connections that wait, and so shut out callers that have a request.
TABLE_TEST(Relay, closesAConnectionThatHasWaitedForANewOne, waiting)
{
    CallerServerSettings settings;
    settings.maxConnections = 1;
    AnsweringServer server(settings);
    RawCaller first(server.loop, server.endpoint);
    first.send(row.sent);
    first.wait(std::chrono::milliseconds{1100});
    RawCaller second(server.loop, server.endpoint);
    second.send(question);
    second.wait();
    cr_assert_eq(answersIn(second.received()), 1U);
    cr_assert_eq(server.server.losses().*row.count, 1U);
    cr_assert_eq(server.server.connections(), 1U);
    cr_assert(first.received().starts_with(row.received), "%s", first.received().c_str());
}
