#include "upstream/engineprotocol.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct AnswerCase {
    unsigned status;
    const char *body;
    SendOutcome order;
    Verdict request;
};

const AnswerCase answers[] = {
    {404, R"({"error":{"code":"not_loaded"}})", SendOutcome::Refused, Verdict::NotRun},
    {409, R"({"error":{"code":"no_free_slot"}})", SendOutcome::Refused, Verdict::NotRun},
    {412, R"({"error":{"code":"stale_fencing_token"}})", SendOutcome::Refused, Verdict::NotRun},
    {429, R"({"error":{"code":"store_busy"}})", SendOutcome::Refused, Verdict::NotRun},
    {503, R"({"error":{"code":"overloaded"}})", SendOutcome::Refused, Verdict::NotRun},
    {503, "", SendOutcome::Unknown, Verdict::MayHaveRun},
    {404, "not found", SendOutcome::Unknown, Verdict::MayHaveRun},
    {500, R"({"error":{"code":"not_loaded"}})", SendOutcome::Unknown, Verdict::MayHaveRun},
    {502, R"({"error":"x"})", SendOutcome::Unknown, Verdict::MayHaveRun},
};

const char *const badReports[] = {"", "[]", "{}", R"({"slots":8})"};

} // namespace

TABLE_TEST(EngineProtocol, onlyAnExplicitRefusalMeansNotRun, answers)
{
    cr_assert_eq(parseOrderResult(row.status, {}, row.body).outcome, row.order);
    cr_assert_eq(parseEngineError(row.status, row.body).verdict, row.request);
}

TABLE_TEST(EngineProtocol, rejectsInvalidReports, badReports)
{
    cr_assert_not(parseEngineStatus(row, Instant{}).has_value());
}

Test(EngineProtocol, parsesReport)
{
    const auto status = parseEngineStatus(
        R"({"incarnation":"i1","base":"b","slots":8,"max_running":16,"adapters":["b/a@1","odd"],"loading":["b/c@2"],)"
        R"("running":["r1","r2"],"waiting":3,"fencing":true,"fencing_token":4})",
        Instant{});
    cr_assert(status.has_value());
    cr_assert_eq(status->report.slots, 8);
    cr_assert_eq(status->report.loaded.size(), 1);
    cr_assert_eq(status->report.otherAdapters, 1);
    cr_assert_eq(status->report.loading.size(), 1);
    cr_assert_eq(status->running, 2);
    cr_assert_eq(status->maxRunning, 16);
    cr_assert(status->checksFencing);
}

Test(EngineProtocol, ordersCarryEpochAsFencingToken)
{
    const auto request = orderRequest({1, OrderKind::Unload, {"b", "a", "1"}, 42});
    cr_assert_eq(request.target, std::string("/v1/unload_lora_adapter"));
    cr_assert_eq(request.headers.get("X-Fencing-Token"), std::string("42"));
    cr_assert_eq(request.body, std::string(R"({"lora_name":"b/a@1"})"));
}

Test(EngineProtocol, distinguishesBusyStoreFromUnknownAdapter)
{
    const auto busy = parseOrderResult(429, {{"Retry-After", "0.5"}}, R"({"error":{"code":"store_busy"}})");
    cr_assert(busy.isStoreBusy);
    cr_assert_eq(busy.retryAfter, Duration{500'000});
    cr_assert(parseOrderResult(404, {}, R"({"error":{"code":"unknown_adapter"}})").isUnknownAdapter);
}
