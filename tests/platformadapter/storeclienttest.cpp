#include "platform/storeclient.h"

#include "support/rawserver.h"
#include "support/scriptedserver.h"
#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace Gypsumtally;

namespace
{

struct ReplyCase {
    const char *name;
    std::string body;
    bool isAnswer;
    std::size_t values; ///< Of a snapshot, or changes of a watch.
};

std::string item(const std::string &revision, const std::string &value = "djE=")
{
    return R"({"key":"p/a","value":")" + value + R"(","revision":)" + revision + "}";
}

std::string snapshot(const std::string &items, const std::string &revision)
{
    return R"({"items":[)" + items + R"(],"more_pages":false,"as_of":)" + revision + "}";
}

std::string events(const std::string &items, const std::string &revision)
{
    return R"({"events":[)" + items + R"(],"as_of":)" + revision + "}";
}

const ReplyCase snapshots[] = {
    {"usual", snapshot(item("7"), "9"), true, 1},
    {"base64 that is not valid", snapshot(item("7", "*"), "9"), true, 1},
    {"item of another type", snapshot("7," + item("7"), "9"), true, 1},
    {"revision of another type", snapshot(item("7"), R"("9")"), false, 0},
    {"revision negative", snapshot(item("7"), "-9"), false, 0},
    {"revision infinite", snapshot(item("7"), "1e999"), false, 0},
    {"revision beyond 2^53", snapshot(item("7"), "9223372036854775807"), false, 0},
    {"without a revision", R"({"items":[]})", false, 0},
    {"not an object", "[7]", false, 0},
    {"100,000 deep", std::string(100000, '['), false, 0},
};

const ReplyCase watches[] = {
    {"usual", events(item("7"), "9"), true, 1},
    {"nothing", events("", "9"), true, 0},
    {"base64 that is not valid", events(item("7", "*"), "9"), true, 1},
    {"revision beyond 2^53", events(item("7"), "9223372036854775807"), false, 0},
    {"revision before the call's", events(item("7"), "3"), true, 1},
    {"without a revision", R"({"events":[]})", false, 0},
    {"event's revision infinite", events(item("1e999"), "9"), false, 0},
    {"event's revision of another type", events(item(R"("7")"), "9"), false, 0},
    {"event of another type", events("7", "9"), false, 0},
    {"not an object", "7", false, 0},
};

const ReplyCase leases[] = {
    {"usual", R"({"lease":7,"ttl_ms":5000})", true, 0},
    {"negative", R"({"lease":-7})", false, 0},
    {"infinite", R"({"lease":1e999})", false, 0},
    {"of another type", R"({"lease":"7"})", false, 0},
    {"beyond 64 bits", R"({"lease":18446744073709551616.0})", false, 0},
};

/// A client of a store that answers each call with @p body.
struct Asker {
    explicit Asker(const std::string &body)
        : server(loop,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                     + "\r\n\r\n" + body,
                 Testing::ConnectionEnd::Close)
        , client(loop, server.endpoint())
    {
    }

    void run()
    {
        loop.runAfter(std::chrono::seconds{2}, [this] { loop.stop(); });
        loop.run();
    }

    Http::EventLoop loop;
    Testing::RawServer server;
    Platform::StoreClient client;
};

} // namespace

/// Guards against a node that follows from an odd revision, and so misses what comes after.
TABLE_TEST(StoreClient, takesValidSnapshotsOnly, snapshots)
{
    Asker asker(row.body);
    std::optional<KeyReply> reply;
    asker.client.readPrefix("p/", [&](const KeyReply &each) {
        reply = each;
        asker.loop.stop();
    });
    asker.run();
    cr_assert(reply.has_value(), "%s", row.name);
    cr_assert_eq(reply->outcome == KeyOutcome::Applied, row.isAnswer, "%s", row.name);
    cr_assert_eq(reply->values.size(), row.values, "%s", row.name);
}

TABLE_TEST(StoreClient, takesValidWatchesOnly, watches)
{
    Asker asker(row.body);
    std::optional<Gateway::WatchResult> result;
    asker.client.watch("p/", 5, std::chrono::seconds{1}, [&](const Gateway::WatchResult &each) {
        result = each;
        asker.loop.stop();
    });
    asker.run();
    cr_assert(result.has_value(), "%s", row.name);
    cr_assert_eq(result->answered, row.isAnswer, "%s", row.name);
    cr_assert_eq(result->changes.size(), row.values, "%s", row.name);
}

TABLE_TEST(StoreClient, takesValidLeasesOnly, leases)
{
    Asker asker(row.body);
    std::optional<std::optional<Gateway::StoreLease>> lease;
    asker.client.grantLease(std::chrono::seconds{5}, [&](std::optional<Gateway::StoreLease> each) {
        lease = each;
        asker.loop.stop();
    });
    asker.run();
    cr_assert(lease.has_value(), "%s", row.name);
    cr_assert_eq(lease->has_value(), row.isAnswer, "%s", row.name);
}

namespace
{

struct EraCase {
    const char *name;
    std::vector<std::string> eras; ///< In the answers to one call after the other; empty if none is stated.
    std::vector<bool> areAnswered;
    std::vector<StoreEra> reported;
    unsigned unreadable = 0;
};

const EraCase eras[] = {
    {"none", {"", ""}, {true, true}, {}},
    {"the same", {"3", "3"}, {true, true}, {3}},
    {"rises", {"3", "4"}, {true, true}, {3, 4}},
    {"falls", {"4", "3", "4"}, {true, false, true}, {4}},
    {"not a number", {"4", "x"}, {true, true}, {4}, 1},
};

} // namespace

/// Answers from before the store came back from an older copy were taken for ones from after it.
TABLE_TEST(StoreClient, tellsErasOfTheStoreApart, eras)
{
    Http::EventLoop loop;
    std::size_t answers = 0;
    const auto body = snapshot(item("7"), "9");
    Testing::ScriptedServer server(loop, [&](const Testing::ScriptedRequest &) {
        const auto &era = row.eras[answers];
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
               + (era.empty() ? "" : "Store-Era: " + era + "\r\n") + "\r\n" + body;
    });
    Platform::StoreClient client(loop, server.endpoint());
    std::vector<StoreEra> reported;
    unsigned unreadable = 0;
    client.onEra([&](StoreEra era) { reported.push_back(era); });
    client.onUnreadableEra([&](const std::string &) { ++unreadable; });
    std::vector<bool> areAnswered;
    std::function<void()> ask = [&] {
        client.readPrefix("p/", [&](const KeyReply &reply) {
            areAnswered.push_back(reply.outcome == KeyOutcome::Applied);
            if (++answers == row.eras.size())
                return loop.stop();
            loop.post(ask);
        });
    };
    ask();
    loop.runAfter(std::chrono::seconds{2}, [&] { loop.stop(); });
    loop.run();
    cr_assert(areAnswered == row.areAnswered, "%s", row.name);
    cr_assert(reported == row.reported, "%s", row.name);
    cr_assert_eq(unreadable, row.unreadable, "%s", row.name);
}

namespace
{

struct EarlyReplyCase {
    const char *name;
    const char *bytes;
    Testing::ConnectionEnd end;
    KeyOutcome outcome;
};

const EarlyReplyCase earlyReplies[] = {
    {"applied without a length, reset", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}", Testing::ConnectionEnd::Reset,
     KeyOutcome::Unknown},
    {"applied without a length, closed", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}", Testing::ConnectionEnd::Close,
     KeyOutcome::Unknown},
    {"applied without a length, shut down", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":7}", Testing::ConnectionEnd::Shutdown,
     KeyOutcome::Unknown},
    {"applied without a body, reset", "HTTP/1.1 200 OK\r\n\r\n", Testing::ConnectionEnd::Reset, KeyOutcome::Unknown},
    {"conflict without a length, reset", "HTTP/1.1 412 Conflict\r\n\r\n", Testing::ConnectionEnd::Reset,
     KeyOutcome::Unknown},
    {"refused without a length, shut down", "HTTP/1.1 503 Down\r\n\r\n", Testing::ConnectionEnd::Shutdown,
     KeyOutcome::Unavailable},
};

} // namespace

/// Guards against a write that counts as applied although its connection was reset before the store had read it.
TABLE_TEST(StoreClient, reportsNoOutcomeOfAHalfWrittenTransaction, earlyReplies)
{
    Http::EventLoop loop;
    Testing::RawServer server(loop, row.bytes, row.end, Testing::smallReceiveBuffer);
    Platform::StoreClient client(loop, server.endpoint());
    KeyTransaction transaction;
    transaction.puts.push_back({"p/a", std::string(Testing::sizeOfPendingBody(), 'x'), KeyLifetime::Durable});
    std::optional<KeyReply> reply;
    client.transact(transaction, 0, [&](const KeyReply &each) {
        reply = each;
        loop.stop();
    });
    loop.runAfter(std::chrono::seconds{5}, [&] { loop.stop(); });
    loop.run();
    cr_assert(reply.has_value(), "%s", row.name);
    cr_assert(reply->outcome == row.outcome, "%s", row.name);
}
