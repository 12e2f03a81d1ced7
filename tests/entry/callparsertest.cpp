#include "entry/callparser.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct BodyCase {
    const char *body;
    const char *message; ///< Part of the error message; empty if the body is valid.
};

const BodyCase bodies[] = {
    {R"({"model":"b/a@1","prompt":"x"})", ""},
    {R"({"model":"b/a@1","prompt":["x"],"stream":true,"max_tokens":5})", ""},
    {R"({"model":"b/a@1")", "not JSON"},
    {R"({"model":"b/a@1","prompt":"x"} {})", "not JSON"},
    {R"({"model":"b/a@1","prompt":"x","model":"b/c@1"})", "model: is given twice"},
    {R"([])", "JSON object"},
    {R"([{"model":"b/a@1","prompt":"x"}])", "JSON object"},
    {R"({"nested":{"model":"b/a@1"},"prompt":"x"})", "model"},
    {R"({"model":"b/a@1","prompt":"x","max_tokens":[5]})", "max_tokens"},
    {R"({"model":"b/a@1","prompt":"x","max_tokens":5.5})", "max_tokens"},
    {R"({"prompt":"x"})", "model"},
    {R"({"model":7,"prompt":"x"})", "model"},
    {R"({"model":"a","prompt":"x"})", "'a' is not BASE/ADAPTER@VERSION"},
    {R"({"model":"b/a@1"})", "prompt"},
    {R"({"model":"b/a@1","prompt":"x","stream":"yes"})", "stream"},
    {R"({"model":"b/a@1","prompt":"x","max_tokens":0})", "max_tokens"},
};

struct HeaderCase {
    const char *name;
    const char *value;
    bool valid;
    ErrorCode code;
};

const std::string longKey(129, 'k');

const HeaderCase headers[] = {
    {HeaderName::serviceClass, "bulk", true, {}},
    {HeaderName::serviceClass, "soon", false, ErrorCode::BadRequest},
    {HeaderName::deadline, "500", true, {}},
    {HeaderName::deadline, "0", false, ErrorCode::DeadlineExceeded},
    {HeaderName::deadline, "-3", false, ErrorCode::DeadlineExceeded},
    {HeaderName::deadline, "1s", false, ErrorCode::BadRequest},
    {HeaderName::idempotent, "false", true, {}},
    {HeaderName::idempotent, "no", false, ErrorCode::BadRequest},
    {HeaderName::idempotencyKey, "shift-17", true, {}},
    {HeaderName::idempotencyKey, "shift 17", false, ErrorCode::BadRequest},
    {HeaderName::idempotencyKey, longKey.c_str(), false, ErrorCode::BadRequest},
};

Http::Request modelRequest(std::string body)
{
    return {"POST", "/v1/completions", {}, std::move(body)};
}

} // namespace

TABLE_TEST(CallParser, checksModelBodies, bodies)
{
    const auto result = parseModelCall(modelRequest(row.body), Instant{});
    const std::string expected = row.message;
    if (expected.empty()) {
        cr_assert(std::holds_alternative<ParsedCall>(result), "%s", row.body);
        return;
    }
    const auto *failure = std::get_if<Failure>(&result);
    cr_assert_not_null(failure, "%s", row.body);
    cr_assert_neq(failure->message.find(expected), std::string::npos, "%s", failure->message.c_str());
    cr_assert_eq(failure->verdict, Verdict::NotRun);
}

TABLE_TEST(CallParser, checksHeaders, headers)
{
    auto request = modelRequest(R"({"model":"b/a@1","prompt":"x"})");
    request.headers.add(row.name, row.value);
    const auto result = parseModelCall(request, Instant{});
    cr_assert_eq(std::holds_alternative<ParsedCall>(result), row.valid, "%s: %s", row.name, row.value);
    if (!row.valid)
        cr_assert_eq(std::get<Failure>(result).code, row.code);
}

namespace
{

struct EngineBodyCase {
    const char *body;
    const char *members; ///< That the engine gets behind those that the system sets.
};

const EngineBodyCase engineBodies[] = {
    {R"({"model":"b/a@1","prompt":"x","request_id":"mine"})", R"("model":"b/a@1","prompt":"x")"},
    {R"({"priority":0,"model":"b/a@1","resume_from":{"a":[1]},"prompt":"x"})", R"("model":"b/a@1","prompt":"x")"},
    {R"({ "mod\u0065l" : "b\/a@1", "prompt" : [ ] })", R"("model":"b/a@1","prompt":[])"},
    {R"({"model":"b/a@1","prompt":[{"priority":[1,-2.50,1e3]},{},true,null,18446744073709551615]})",
     R"("model":"b/a@1","prompt":[{"priority":[1,-2.50,1e3]},{},true,null,18446744073709551615])"},
    {R"({"model":"b/a@1","prompt":"a\n\"\\\u0001\u00e9,{[:"})",
     "\"model\":\"b/a@1\",\"prompt\":\"a\\n\\\"\\\\\\u0001\u00e9,{[:\""},
};

} // namespace

/// Guards against engines that get another request than the caller's, or members that only the system sets.
TABLE_TEST(CallParser, passesOnTheCallersMembers, engineBodies)
{
    const auto result = parseModelCall(modelRequest(row.body), Instant{});
    const auto body = engineBody(std::get<ParsedCall>(result), "r1", 4);
    const auto expected = R"({"request_id":"r1","priority":1,"resume_from":4,)" + std::string(row.members) + '}';
    cr_assert_eq(body, expected, "%s", body.c_str());
}

Test(CallParser, splitsServiceAndPath)
{
    const Http::Request request{"POST", "/v1/services/registry/finds/7?x=1", {}, "find"};
    const auto call = std::get<ParsedCall>(parseServiceCall(request, Instant{}));
    cr_assert_eq(call.attributes.service, std::string("registry"));
    cr_assert_eq(call.path, std::string("/finds/7?x=1"));
}
