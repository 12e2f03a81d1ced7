#include "http/client.h"

#include "http/eventloop.h"
#include "http/server.h"
#include "support/endlessserver.h"
#include "support/rawserver.h"
#include "support/scriptedserver.h"
#include "support/table.h"

#include <optional>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Http;

namespace
{

Response refuse(unsigned status, const std::string &reason)
{
    return {status, {}, reason};
}

struct StreamCase {
    int pieces;
    bool aborted;
};

const StreamCase streams[] = {{0, false}, {1, false}, {50, false}, {3, true}};

} // namespace

TABLE_TEST(Client, distinguishesCompleteFromAbortedStream, streams)
{
    EventLoop loop;
    Server server(
        loop, {},
        [&](const Request &, const std::shared_ptr<Responder> &responder) {
            responder->begin(200, {});
            for (int i = 0; i < row.pieces; ++i)
                responder->write("piece;");
            if (row.aborted)
                responder->abort();
            else
                responder->end();
        },
        refuse);
    const Endpoint endpoint{"127.0.0.1", server.listen({"127.0.0.1", 0, false}), false};
    Client client(loop);
    std::string body;
    bool ended = false;
    bool failed = false;
    ResponseObserver observer;
    observer.onBody = [&](std::string_view piece) { body += piece; };
    observer.onEnd = [&] {
        ended = true;
        loop.stop();
    };
    observer.onFailure = [&](const TransportFailure &failure) {
        failed = failure.sent;
        loop.stop();
    };
    client.send(endpoint, {}, observer);
    loop.run();
    cr_assert_eq(ended, !row.aborted);
    cr_assert_eq(failed, row.aborted);
    if (!row.aborted)
        cr_assert_eq(body.size(), static_cast<std::size_t>(row.pieces) * 6);
}

Test(Client, refusedConnectionSendsNothing)
{
    EventLoop loop;
    std::uint16_t port = 0;
    {
        Server closed(
            loop, {}, [](const Request &, const std::shared_ptr<Responder> &) {}, refuse);
        port = closed.listen({"127.0.0.1", 0, false});
    }
    const auto result = fetch({"127.0.0.1", port, false}, {});
    cr_assert_not(result.response.has_value());
    cr_assert_not(result.failure.sent);
}

Test(Client, reusesOpenConnection)
{
    EventLoop loop;
    Server server(
        loop, {},
        [](const Request &, const std::shared_ptr<Responder> &responder) {
            responder->respond({200, {}, "ok"});
        },
        refuse);
    const Endpoint endpoint{"127.0.0.1", server.listen({"127.0.0.1", 0, false}), false};
    Client client(loop);
    std::vector<std::size_t> connections;
    std::function<void(int)> next = [&](int left) {
        if (left == 0) {
            loop.stop();
            return;
        }
        ResponseObserver observer;
        observer.onEnd = [&, left] {
            connections.push_back(server.connections());
            next(left - 1);
        };
        client.send(endpoint, {}, observer);
    };
    next(3);
    loop.run();
    cr_assert_eq(connections, (std::vector<std::size_t>{1, 1, 1}));
}

Test(Client, serverReportsDisconnect)
{
    EventLoop loop;
    bool gone = false;
    std::shared_ptr<Responder> held;
    Client client(loop);
    Client::Token token = 0;
    Server server(
        loop, {},
        [&](const Request &, std::shared_ptr<Responder> responder) {
            held = std::move(responder);
            held->onGone([&] {
                gone = true;
                loop.stop();
            });
            client.cancel(token);
        },
        refuse);
    const Endpoint endpoint{"127.0.0.1", server.listen({"127.0.0.1", 0, false}), false};
    token = client.send(endpoint, {}, {});
    loop.run();
    cr_assert(gone);
    held.reset();
}

namespace
{

struct EndlessCase {
    const char *head;
    const char *filler;
};

const EndlessCase endless[] = {
    {"HTTP/1.1 200 ", "OK"},
    {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=", "b"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "b"},
};

} // namespace

TABLE_TEST(Client, abandonsEndlessAnswers, endless)
{
    EventLoop loop;
    Testing::EndlessServer server(loop, row.head, row.filler);
    Client client(loop);
    bool ended = false;
    bool failed = false;
    ResponseObserver observer;
    observer.onEnd = [&] {
        ended = true;
        loop.stop();
    };
    observer.onFailure = [&](const TransportFailure &failure) {
        failed = failure.sent;
        loop.stop();
    };
    client.send(server.endpoint(), {"GET", "/", {}, {}}, observer);
    loop.runAfter(std::chrono::seconds{3}, [&] { loop.stop(); });
    loop.run();
    cr_assert(failed);
    cr_assert_not(ended);
    cr_assert_lt(server.bytesSent, 8U * 1024 * 1024, "%zu", server.bytesSent);
}

namespace
{

/// Sends a request and returns the body of the answer; nothing if that is not whole.
std::optional<std::string> wholeBody(EventLoop &loop, Client &client, const Endpoint &endpoint,
                                     const RequestOptions &options, const Request &request = {})
{
    std::string body;
    bool ended = false;
    ResponseObserver observer;
    observer.onBody = [&](std::string_view piece) { body += piece; };
    observer.onEnd = [&] {
        ended = true;
        loop.stop();
    };
    observer.onFailure = [&](const TransportFailure &) { loop.stop(); };
    client.send(endpoint, request, observer, options);
    loop.context().restart();
    loop.run();
    return ended ? std::optional(body) : std::nullopt;
}

} // namespace

/// An answer without a length or chunks is whole only if its connection ends in order, which is not used again.
TABLE_TEST(Client, answersWithoutLengthEndWithTheirConnection, Testing::unframedAnswers)
{
    EventLoop loop;
    Testing::RawServer server(loop, row.bytes, row.end);
    Client client(loop);
    RequestOptions options;
    options.idleTimeout = std::chrono::milliseconds{300};
    for (unsigned request = 1; request <= 2; ++request) {
        const auto body = wholeBody(loop, client, server.endpoint(), options);
        cr_assert_eq(body.has_value(), row.isWhole, "%s", row.name);
        if (row.isWhole)
            cr_assert_eq(*body, std::string(row.body), "%s", row.name);
        cr_assert_eq(server.connections, request, "%s", row.name);
    }
}

/// Guards against a part of an answer that counts as whole although its connection was reset while the request was
/// being written. This client reads no answer until the request is written, and may lose whole ones.
TABLE_TEST(Client, takesNoCutAnswersToHalfWrittenRequests, Testing::earlyAnswers)
{
    EventLoop loop;
    Testing::RawServer server(loop, row.bytes, row.end, Testing::smallReceiveBuffer);
    Client client(loop);
    RequestOptions options;
    options.idleTimeout = std::chrono::milliseconds{300};
    const Request request{"POST", "/", {}, std::string(Testing::sizeOfPendingBody(), 'x')};
    const auto body = wholeBody(loop, client, server.endpoint(), options, request);
    cr_assert(!body || (row.isWhole && *body == "all of it"), "%s", row.name);
}

/// Guards against a success that counts as whole although its server cannot have received the request.
TABLE_TEST(Client, successesWithoutLengthFollowTheWholeRequest, Testing::unreadRequests)
{
    EventLoop loop;
    Testing::RawServer server(loop, "HTTP/1.1 200 OK\r\n\r\nall of it", Testing::ConnectionEnd::Shutdown,
                              Testing::smallReceiveBuffer);
    Client client(loop);
    const auto body
        = wholeBody(loop, client, server.endpoint(), {}, {"POST", "/", {}, std::string(row.bodyBytes, 'x')});
    cr_assert_eq(body.has_value(), row.isWhole, "%s", row.name);
}

/// Guards against an answer that counts as whole although its connection ended inside its head or body.
TABLE_TEST(Client, failsIfAnswerIsCutAtAnyByte, Testing::delimitedAnswers)
{
    const std::string whole = row;
    for (std::size_t length = 1; length <= whole.size(); ++length) {
        for (const auto end : {Testing::ConnectionEnd::Close, Testing::ConnectionEnd::Reset}) {
            EventLoop loop;
            Testing::RawServer server(loop, whole.substr(0, length), end);
            Client client(loop);
            const auto body = wholeBody(loop, client, server.endpoint(), {});
            cr_assert_eq(body.has_value(), length == whole.size(), "%zu bytes", length);
            cr_assert(!body || *body == "xyz", "%s", body->c_str());
        }
    }
}

namespace
{

struct Attempt {
    unsigned heads = 0; ///< Number of heads that were passed on.
    bool ended = false;
    bool failed = false; ///< The request was sent, and the answer failed before the time was over.
};

/// Sends a request to a server that writes @p bytes in pieces of @p pieceBytes, or all at once if that is 0.
Attempt attemptWith(const std::string &bytes, std::size_t pieceBytes)
{
    EventLoop loop;
    Testing::RawServer server(loop, bytes, Testing::ConnectionEnd::KeepOpen);
    server.pieceBytes = pieceBytes;
    Client client(loop);
    Attempt attempt;
    ResponseObserver observer;
    observer.onHead = [&](unsigned, const Headers &) { ++attempt.heads; };
    observer.onEnd = [&] {
        attempt.ended = true;
        loop.stop();
    };
    observer.onFailure = [&](const TransportFailure &failure) {
        attempt.failed = failure.sent && !failure.timedOut;
        loop.stop();
    };
    client.send(server.endpoint(), {}, observer);
    loop.runAfter(std::chrono::seconds{3}, [&] { loop.stop(); });
    loop.run();
    return attempt;
}

constexpr std::size_t pieceSizes[] = {0, 1};

} // namespace

/// Guards against a body that the caller gets in a coding that it has not asked for.
TABLE_TEST(Client, removesAllTransferCodings, Testing::codedAnswers)
{
    EventLoop loop;
    Testing::RawServer server(loop, std::string(row.version) + " 200 OK\r\n" + row.fields + "\r\n" + row.body,
                              Testing::ConnectionEnd::Close);
    Client client(loop);
    const auto body = wholeBody(loop, client, server.endpoint(), {});
    cr_assert_eq(body.has_value(), row.isWhole, "%s", row.name);
    if (row.isWhole)
        cr_assert_eq(*body, std::string(row.decoded), "%s", row.name);
}

/// Guards against bytes that are no response, of a worker in trouble, which the caller gets as one.
TABLE_TEST(Client, failsIfTheStatusIsInvalid, Testing::invalidStatusLines)
{
    const std::string invalid = std::string(row) + "\r\nContent-Length: 3\r\n\r\nxyz";
    for (const auto &bytes : {invalid, "HTTP/1.1 100 Continue\r\n\r\n" + invalid}) {
        for (const auto pieceBytes : pieceSizes) {
            const auto attempt = attemptWith(bytes, pieceBytes);
            cr_assert(attempt.failed, "%s", row);
            cr_assert(!attempt.ended && attempt.heads == 0, "%s", row);
        }
    }
}

/// Guards against a line that is no field, of a worker in trouble, in a head that the caller gets.
TABLE_TEST(Client, failsIfAFieldIsInvalid, Testing::invalidFields)
{
    const auto responses = Testing::responsesWith(row.line);
    for (const auto &bytes : responses) {
        for (const auto pieceBytes : pieceSizes) {
            const auto attempt = attemptWith(bytes, pieceBytes);
            cr_assert(attempt.failed && !attempt.ended, "%s", row.name);
            cr_assert_eq(attempt.heads, &bytes == &responses.back() ? 1U : 0U, "%s", row.name);
        }
    }
}

namespace
{

struct RepetitionCase {
    const char *name;
    const char *first; ///< Written as the first response.
    const char *whileIdle; ///< Written between the requests; null if nothing is.
    std::size_t connections; ///< Used for both requests.
};

const char refusedResponse[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const char twoResponses[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const char okResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

const RepetitionCase repetitions[] = {
    {"answer", okResponse, nullptr, 1},
    {"refusal", refusedResponse, nullptr, 2},
    {"more bytes than the response", twoResponses, nullptr, 2},
    {"refusal while idle", okResponse, refusedResponse, 2},
};

} // namespace

/// Requests took an upstream's earlier refusal, written once more, for their own response.
TABLE_TEST(Client, reusesNoConnectionThatMayRepeatResponses, repetitions)
{
    EventLoop loop;
    Testing::ScriptedServer server(loop, [&](const Testing::ScriptedRequest &request) {
        return request.connection == 1 && request.number == 1 ? row.first : okResponse;
    });
    Client client(loop);
    for (const bool isSecond : {false, true}) {
        if (isSecond && row.whileIdle)
            server.write(1, row.whileIdle);
        ResponseObserver observer;
        observer.onEnd = [&] { loop.stop(); };
        observer.onFailure = [&](const TransportFailure &) { loop.stop(); };
        client.send(server.endpoint(), {}, observer);
        loop.context().restart();
        loop.run();
    }
    cr_assert_eq(server.connections(), row.connections, "%s: %zu", row.name, server.connections());
}
