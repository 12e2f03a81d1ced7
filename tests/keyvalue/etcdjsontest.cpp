#include "keyvalue/etcdjson.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct ReplyCase {
    const char *body;
    bool valid;
    KeyOutcome outcome;
    Revision revision;
    std::size_t values;
};

const ReplyCase replies[] = {
    {R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}],"count":"1"})", true,
     KeyOutcome::Applied, 7, 1},
    {R"({"header":{"revision":"7"}})", true, KeyOutcome::Applied, 7, 0},
    {R"({"header":{"revision":"8"},"succeeded":true,"responses":[{"response_put":{}}]})", true, KeyOutcome::Applied, 8,
     0},
    {R"({"header":{"revision":"8"},"responses":[{"response_range":{"kvs":[{"key":"YQ==","mod_revision":"2"}]}}]})",
     true, KeyOutcome::Conflict, 8, 1},
    {R"({"header":{"revision":"8"},"succeeded":false})", true, KeyOutcome::Conflict, 8, 0},
    {R"({"error":"etcdserver: request timed out"})", false, KeyOutcome::Unknown, 0, 0},
    {"not json", false, KeyOutcome::Unknown, 0, 0},
};

struct PrefixCase {
    const char *prefix;
    const char *end;
};

const PrefixCase prefixes[] = {{"/a/", "/a0"}, {"a", "b"}, {"a\xff", "b"}};

} // namespace

TABLE_TEST(EtcdJson, readsReplies, replies)
{
    const auto reply = EtcdJson::parseReply(row.body);
    cr_assert_eq(reply.has_value(), row.valid);
    if (!reply)
        return;
    cr_assert_eq(reply->outcome, row.outcome);
    cr_assert_eq(reply->revision, row.revision);
    cr_assert_eq(reply->values.size(), row.values);
    if (row.values > 0)
        cr_assert_eq(reply->values[0].key, std::string("a"));
}

TABLE_TEST(EtcdJson, computesPrefixEnd, prefixes)
{
    cr_assert_eq(EtcdJson::prefixEnd(row.prefix), std::string(row.end));
}

Test(EtcdJson, readsWatchMessages)
{
    const auto message = EtcdJson::parseWatchMessage(
        R"({"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"9"}},)"
        R"({"type":"DELETE","kv":{"key":"Yw==","mod_revision":"9"}}]}})");
    cr_assert(message.has_value());
    cr_assert_eq(message->changes.size(), 2);
    cr_assert_eq(message->changes[0].entry.value, std::string("b"));
    cr_assert_not(message->changes[0].deleted);
    cr_assert(message->changes[1].deleted);
}

Test(EtcdJson, distinguishesExpiredLeaseFromFailure)
{
    cr_assert_eq(EtcdJson::parseKeepAlive(R"({"result":{"ID":"1","TTL":"5"}})").value(), 5);
    cr_assert_eq(EtcdJson::parseKeepAlive(R"({"result":{"ID":"1"}})").value(), 0);
    cr_assert_not(EtcdJson::parseKeepAlive("{}").has_value());
}
