#include "fakes/fakekeyvalue.h"

#include "fakes/runningfake.h"
#include "support/table.h"

#include <absl/strings/escaping.h>

using namespace Gypsumtally;
using namespace Gypsumtally::Fakes;

namespace
{

using Store = RunningFake<FakeKeyValue>;

std::string put(const std::string &key, const std::string &value, std::int64_t lease = 0)
{
    return json::serialize(json::object{
        {"key", absl::Base64Escape(key)}, {"value", absl::Base64Escape(value)}, {"lease", std::to_string(lease)}});
}

std::string swap(const std::string &key, const std::string &target, std::int64_t number, const std::string &value)
{
    const auto encoded = absl::Base64Escape(key);
    const json::object compare{{"key", encoded},
                               {"target", target},
                               {"result", "EQUAL"},
                               {target == "MOD"      ? "mod_revision"
                                : target == "CREATE" ? "create_revision"
                                                     : "version",
                                std::to_string(number)}};
    const json::object write{{"request_put", {{"key", encoded}, {"value", absl::Base64Escape(value)}}}};
    const json::object read{{"request_range", {{"key", encoded}}}};
    return json::serialize(json::object{
        {"compare", json::array{compare}}, {"success", json::array{write}}, {"failure", json::array{read}}});
}

json::array valuesOf(const Store &store, const std::string &prefix, const std::string &end)
{
    const auto reply = store.answer(
        "/v3/kv/range",
        json::serialize(json::object{{"key", absl::Base64Escape(prefix)}, {"range_end", absl::Base64Escape(end)}}));
    return reply.contains("kvs") ? reply.at("kvs").as_array() : json::array{};
}

struct CompareCase {
    const char *target;
    std::int64_t number;
    bool holds;
};

/// Compares against a key that was created at revision 2 and overwritten at revision 3.
const CompareCase compareCases[] = {
    {"MOD", 3, true},     {"MOD", 2, false},    {"MOD", 0, false},     {"CREATE", 2, true},
    {"CREATE", 3, false}, {"VERSION", 2, true}, {"VERSION", 0, false},
};

struct LossCase {
    const char *fault;
    unsigned status; ///< 0 if the connection was closed without a reply.
    bool takesEffect;
};

const LossCase lossCases[] = {
    {R"({"lose_next":1})", 0, true},
    {R"({"lose_reply":1.0})", 0, true},
    {R"({"outage":"refuse"})", 503, false},
    {R"({"reply_delay_ms":20,"delay_ms":20})", 200, true},
};

} // namespace

TABLE_TEST(FakeKeyValue, comparesBeforeItWrites, compareCases)
{
    const Store store(KeyValueOptions{});
    store.answer("/v3/kv/put", put("a", "1"));
    store.answer("/v3/kv/put", put("a", "2"));
    const auto reply = store.answer("/v3/kv/txn", swap("a", row.target, row.number, "3"));
    cr_assert_eq(reply.contains("succeeded"), row.holds);
    cr_assert_eq(textAt(reply.at("header").as_object(), "revision"), std::string(row.holds ? "4" : "3"));
    const auto &response = reply.at("responses").as_array().front().as_object();
    cr_assert_eq(response.contains("response_range"), !row.holds);
}

TABLE_TEST(FakeKeyValue, losesRepliesAfterTheEffect, lossCases)
{
    const Store store(KeyValueOptions{});
    store.answer("/fake/control", row.fault);
    cr_assert_eq(store.status("/v3/kv/put", put("a", "1")), row.status);
    store.answer("/fake/control", R"({"outage":"none","lose_reply":0,"lose_next":0})");
    cr_assert_eq(valuesOf(store, "a", "b").size(), row.takesEffect ? 1U : 0U);
}

Test(FakeKeyValue, expiredLeaseDeletesKeysAndNotifiesWatch)
{
    const Store store(KeyValueOptions{});
    store.answer("/v3/lease/grant", R"({"TTL":"1","ID":"7"})");
    store.answer("/v3/kv/put", put("nodes/a", "1", 7));
    cr_assert_eq(store.status("/v3/kv/put", put("nodes/b", "1", 8)), 404U);
    std::string lines;
    Http::EventLoop loop;
    Http::Client client(loop);
    Http::ResponseObserver observer;
    observer.onBody = [&](std::string_view piece) {
        lines += piece;
        if (lines.find("DELETE") != std::string::npos)
            loop.stop();
    };
    const std::string watch = R"({"create_request":{"key":"bm9kZXMv","range_end":"bm9kZXMw","start_revision":"2"}})";
    client.send(store.endpoint(), {"POST", "/v3/watch", {}, watch}, observer);
    loop.run();
    cr_assert_neq(lines.find("\"created\":true"), std::string::npos);
    cr_assert_neq(lines.find("\"mod_revision\":\"2\""), std::string::npos);
    cr_assert(valuesOf(store, "nodes/", "nodes0").empty());
    const auto keepAlive = store.answer("/v3/lease/keepalive", R"({"ID":"7"})");
    cr_assert_not(keepAlive.at("result").as_object().contains("TTL"));
    cr_assert_eq(store.journal().at("calls").as_object().at("watch").as_int64(), 1);
}

Test(FakeKeyValue, watchFromCompactedRevisionIsCancelled)
{
    const Store store(KeyValueOptions{});
    store.answer("/v3/kv/put", put("a", "1"));
    store.answer("/fake/control", R"({"compact":true})");
    const auto watch = store.post("/v3/watch", R"({"create_request":{"key":"YQ==","start_revision":"1"}})");
    cr_assert_neq(watch.response->body.find("\"compact_revision\":\"2\""), std::string::npos);
}
