#include "platform/calldialect.h"

#include "support/table.h"

#include <boost/beast/core/string.hpp>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Platform::CallDialect;

namespace
{

Http::Request request()
{
    return {"POST",
            "/x/1?q=2",
            {{"Host", "A.example:80"},
             {"X-Request-Id", "r1"},
             {"X-Model", "m/a1"},
             {"X-Token-Count", "1460,80"},
             {"X-Timeout-Ms", "15000"},
             {"X-Prompt-Prefix", "5c:800"},
             {"X-Hold", "7"},
             {"X-Expect-Instance", "forged"},
             {"X-Request-Priority", "0"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"Content-Length", "4"},
             {"Resumes", "r0"},
             {"X-Other", "kept"}},
            "body"};
}

struct PartsCase {
    const char *list;
    std::vector<std::uint64_t> shared;
};

const PartsCase parts[] = {
    {"", {}},
    {"5c:800", {}}, // The last part is the request's own.
    {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
    {"5c:800, a:10,b:1", {0x5c, 0xa}},
    {"ffffffffffffffff:1,,b:1", {0xffffffffffffffff}},
    {"5c,b", {0x5c}},
    {"5c:800,b:1,", {0x5c, 0xb}},
};

struct ReplyCase {
    unsigned status;
    Http::Headers headers;
    bool notRun;
    bool isSigned;
    bool isEncoded;
};

const ReplyCase replies[] = {
    {200, {{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}}, false, true, false},
    {503, {{"X-Not-Executed", "1"}}, true, false, false},
    {503, {{"X-Request-Id", "r1"}}, false, false, false}, // Does not state that the request was not run.
    {421, {{"X-Instance-Id", "i-2"}}, true, false, false},
    {500, {{"X-Request-Id", "r1"}, {"X-Response-Signature", "s"}}, false, true, false},
    {200, {{"X-Response-Signature", "s"}, {"Content-Encoding", "gzip"}}, false, true, true},
};

} // namespace

Test(CallDialect, readsRequests)
{
    const auto read = CallDialect::readRequest(request());
    cr_assert(std::holds_alternative<CallerRequest>(read));
    const auto &call = std::get<CallerRequest>(read);
    cr_assert_eq(call.host, std::string("a.example"));
    cr_assert_eq(call.path, std::string("/x/1"));
    cr_assert_eq(call.target, std::string("m/a1"));
    cr_assert(call.timeout == std::chrono::seconds{15});
    cr_assert_eq(call.promptTokens, 1460);
    cr_assert_eq(call.outputTokens, 80);
    cr_assert_eq(call.resumedId, std::string("r0"));
}

TABLE_TEST(CallDialect, readsSharedPartsOfPrompts, parts)
{
    const Http::Request prompted{
        "POST", "/x/1", {{"Host", "a.example"}, {"X-Request-Id", "r1"}, {"X-Prompt-Prefix", row.list}}, {}};
    const auto call = std::get<CallerRequest>(CallDialect::readRequest(prompted));
    cr_assert(call.sharedParts == row.shared, "%s", row.list);
}

Test(CallDialect, rejectsRequestWithoutId)
{
    auto anonymous = request();
    anonymous.headers = {{"Host", "a.example"}};
    cr_assert(std::holds_alternative<BadRequest>(CallDialect::readRequest(anonymous)));
}

Test(CallDialect, forwardsAndDropsHeaders)
{
    const auto sent = CallDialect::writeRequest(request(), {"i-1", std::chrono::milliseconds{900}, 3, 2, 12});
    cr_assert_eq(sent.target, std::string("/x/1?q=2"));
    cr_assert_eq(sent.body, std::string("body"));
    cr_assert_eq(sent.headers.get("X-Request-Id"), std::string("r1"));
    cr_assert_eq(sent.headers.get("X-Prompt-Prefix"), std::string("5c:800"));
    cr_assert_eq(sent.headers.get("X-Other"), std::string("kept"));
    cr_assert_eq(sent.headers.get("Resumes"), std::string("r0"));
    cr_assert_eq(sent.headers.get("X-Expect-Instance"), std::string("i-1"));
    cr_assert_eq(sent.headers.get("X-Expect-Version"), std::string("3"));
    cr_assert_eq(sent.headers.get("X-Request-Priority"), std::string("2"));
    cr_assert_eq(sent.headers.get("X-Timeout-Ms"), std::string("900"));
    cr_assert_eq(sent.headers.get("Last-Event-Id"), std::string("12"));
    for (const auto *dropped : {"X-Hold", "X-Hop", "Connection"})
        cr_assert_not(sent.headers.contains(dropped), "%s", dropped);
}

namespace
{

struct KeyCase {
    const char *authorization;
    const char *key;
};

const KeyCase keys[] = {
    {"Bearer s3cret", "s3cret"},
    {"bearer s3cret", "s3cret"},
    {"BEARER  \ts3cret \t", "s3cret"},
    {"Bearer a b", "a b"}, // No organisation has such a key.
    {"Bearers3cret", ""},
    {"Bearer", ""},
    {"Bearer ", ""},
    {"Bear", ""},
    {"Basic s3cret", ""},
    {"s3cret", ""},
    {"", ""},
};

struct TokensCase {
    const char *tokens;
    double prompt;
    double output;
    bool hasTokens;
};

const TokensCase tokenCounts[] = {
    {"1460,80", 1460, 80, true}, {"0,0", 0, 0, true},       {"1460, 80", 1460, 80, true},
    {"1460", 1460, 0, false},    {"1460,", 1460, 0, false}, {",80", 0, 80, false},
    {"", 0, 0, false},           {"-5,80", 0, 80, false},   {"99999999999,80", 0, 80, false},
};

/// A caller's request with a key and a forged organisation, under names of several cases.
Http::Request requestWithKey(const char *connection)
{
    auto keyed = request();
    for (const auto *name : {"Authorization", "AUTHORIZATION", "authorization"})
        keyed.headers.add(name, "Bearer s3cret");
    for (const auto *name : {"X-Tenant", "x-tenant", "X-TENANT"})
        keyed.headers.add(name, "forged");
    if (*connection != 0)
        keyed.headers.add("Connection", connection);
    return keyed;
}

struct IdentityCase {
    const char *name;
    const char *connection; ///< Connection header of the caller.
    Access::Identity identity;
    std::vector<std::string> organisations; ///< Values of the organisation's header at the upstream.
    std::size_t keys; ///< Headers with the key at the upstream.
};

const IdentityCase identities[] = {
    {"of an organisation", "", {true, "hule930"}, {"hule930"}, 0},
    {"of none", "", {true, ""}, {}, 0},
    {"listed as hop-by-hop", "close, X-Tenant, Authorization", {true, "hule930"}, {"hule930"}, 0},
    {"not checked", "", {}, {"forged", "forged", "forged"}, 3},
};

} // namespace

/// Guards against a key that is read from another scheme, or with a part of its header.
TABLE_TEST(CallDialect, readsKeys, keys)
{
    const Http::Request keyed{
        "POST", "/x/1", {{"Host", "a"}, {"X-Request-Id", "r1"}, {"AUTHORIZATION", row.authorization}}, {}};
    const auto call = std::get<CallerRequest>(CallDialect::readRequest(keyed));
    cr_assert_eq(call.key, std::string(row.key), "%s", row.authorization);
}

/// Guards against a cost of tokens that the caller has not stated.
TABLE_TEST(CallDialect, readsTokenCounts, tokenCounts)
{
    const Http::Request counted{
        "POST", "/x/1", {{"Host", "a"}, {"X-Request-Id", "r1"}, {"X-Token-Count", row.tokens}}, {}};
    const auto call = std::get<CallerRequest>(CallDialect::readRequest(counted));
    cr_assert_eq(call.hasTokens, row.hasTokens, "%s", row.tokens);
    cr_assert_eq(call.promptTokens, row.prompt, "%s", row.tokens);
    cr_assert_eq(call.outputTokens, row.output, "%s", row.tokens);
}

/// Guards against a key or a forged organisation that reaches an upstream.
TABLE_TEST(CallDialect, namesTheOrganisationInsteadOfItsKey, identities)
{
    SendInstructions instructions{"i-1", std::chrono::milliseconds{900}, {}, {}, {}, row.identity};
    const auto sent = CallDialect::writeRequest(requestWithKey(row.connection), instructions);
    std::vector<std::string> organisations;
    std::size_t found = 0;
    for (const auto &[name, value] : sent.headers) {
        if (boost::beast::iequals(name, "X-Tenant"))
            organisations.push_back(value);
        found += value.find("s3cret") == std::string::npos ? 0 : 1;
    }
    cr_assert(organisations == row.organisations, "%s", row.name);
    cr_assert_eq(found, row.keys, "%s", row.name);
}

TABLE_TEST(CallDialect, readsReplies, replies)
{
    const auto reply = CallDialect::readReply({row.status, row.headers, {}});
    cr_assert_eq(reply.notRun, row.notRun);
    cr_assert_eq(reply.isSigned, row.isSigned);
    cr_assert_eq(reply.isEncoded, row.isEncoded);
}

Test(CallDialect, writesEntries)
{
    const auto response
        = Platform::writeEntries({{"10.0.0.1", 80, false}, {"10.0.0.2", 80, false}}, std::chrono::seconds{1});
    cr_assert_eq(response.body, std::string(R"({"addrs":["10.0.0.1:80","10.0.0.2:80"],"ttl_s":1})"));
    cr_assert_eq(Platform::writeEntries({}, std::chrono::seconds{1}).status, 503U);
}
