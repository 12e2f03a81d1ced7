#include "fakes/fakeengine.h"

#include "fakes/fakeweightstore.h"
#include "fakes/runningfake.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Fakes;

namespace
{

using Engine = RunningFake<FakeEngine>;

constexpr const char *first = R"({"lora_name":"base/adapter-0@1"})";
constexpr const char *second = R"({"lora_name":"base/adapter-1@1"})";
constexpr const char *loadPath = "/v1/load_lora_adapter";
constexpr const char *unloadPath = "/v1/unload_lora_adapter";

std::string completion(const std::string &more)
{
    return R"({"model":"base/adapter-0@1","prompt":"hello","max_tokens":5,"request_id":"r")" + more + "}";
}

EngineOptions oneSlot(bool fencing = true)
{
    EngineOptions options;
    options.slots = 1;
    options.fencing = fencing;
    options.tokenInterval = std::chrono::milliseconds{1};
    options.reportLag = Duration::zero();
    return options;
}

struct FencingCase {
    bool fencing;
    unsigned staleStatus;
};

const FencingCase fencingCases[] = {{true, 412}, {false, 200}};

struct OrderCase {
    const char *fault;
    bool loads;
};

const OrderCase orderCases[] = {{R"({"drop_orders":1})", false}, {R"({"lose_order_replies":1})", true}};

struct ResumeCase {
    const char *body;
    const char *path;
    std::size_t firstToken;
};

const ResumeCase resumeCases[] = {
    {R"(,"stream":true)", "/v1/completions", 0},
    {R"(,"stream":true,"resume_from":2)", "/v1/completions", 2},
    {R"(,"stream":true,"resume_from":5)", "/v1/completions", 5},
};

} // namespace

TABLE_TEST(FakeEngine, rejectsStaleOrdersOnlyWithFencing, fencingCases)
{
    const Engine engine(oneSlot(row.fencing));
    cr_assert_eq(engine.status(loadPath, first, {{"X-Fencing-Token", "5"}}), 200U);
    cr_assert_eq(engine.status(unloadPath, first, {{"X-Fencing-Token", "4"}}), row.staleStatus);
    cr_assert_eq(engine.count("fenced"), row.fencing ? 1U : 0U);
}

TABLE_TEST(FakeEngine, losesOrdersBeforeOrAfterTheirEffect, orderCases)
{
    const Engine engine(oneSlot());
    engine.answer("/fake/control", row.fault);
    cr_assert_eq(engine.status(loadPath, first), 0U);
    cr_assert_eq(engine.journal().at("adapters").as_array().size(), row.loads ? 1U : 0U);
}

TABLE_TEST(FakeEngine, streamsFromResumeOffset, resumeCases)
{
    const Engine engine(oneSlot());
    engine.answer(loadPath, first);
    const auto result = engine.post(row.path, completion(row.body));
    std::string expected;
    for (auto token = row.firstToken; token < 5; ++token) {
        const auto text = tokenText("base/adapter-0@1", "hello", token);
        expected
            += R"(data: {"choices":[{"index":0,"text":")" + text + R"("}],"token":)" + std::to_string(token) + "}\n\n";
    }
    cr_assert_eq(result.response->body, expected + "data: [DONE]\n\n");
}

Test(FakeEngine, answersDependOnModelAndPrompt)
{
    const Engine engine(oneSlot());
    cr_assert_eq(engine.status("/v1/completions", completion("")), 404U);
    engine.answer(loadPath, first);
    const auto answer = engine.answer("/v1/completions", completion(""));
    const auto &choice = answer.at("choices").as_array().front().as_object();
    cr_assert_eq(textAt(choice, "text"), answerText("base/adapter-0@1", "hello", 5));
    cr_assert_neq(textAt(choice, "text"), answerText("base/adapter-0@2", "hello", 5));
}

Test(FakeEngine, evictionDuringRequestIsRecorded)
{
    auto options = oneSlot();
    options.tokenInterval = std::chrono::milliseconds{50};
    const Engine engine(options);
    engine.answer(loadPath, first);
    cr_assert_eq(engine.status(loadPath, second), 409U);
    std::thread caller([&] { engine.post("/v1/completions", completion("")); });
    while (engine.count("start") == 0)
        std::this_thread::yield();
    engine.answer(unloadPath, first);
    caller.join();
    cr_assert_eq(engine.count("violation"), 1U);
}

Test(FakeEngine, cancelEndsARun)
{
    auto options = oneSlot();
    options.tokenInterval = std::chrono::milliseconds{50};
    const Engine engine(options);
    engine.answer(loadPath, first);
    Http::FetchResult result;
    std::thread caller([&] { result = engine.post("/v1/completions", completion(R"(,"stream":true)")); });
    while (engine.count("start") == 0)
        std::this_thread::yield();
    engine.answer("/v1/cancel", R"({"request_id":"r"})");
    caller.join();
    cr_assert_eq(result.response->body.find("[DONE]"), std::string::npos);
    cr_assert_eq(textAt(engine.journal().at("events").as_array().back().as_object(), "how"), std::string("cancelled"));
}

Test(FakeEngine, loadsAtTheRateOfTheWeightStore)
{
    const RunningFake<FakeWeightStore> store(WeightStoreOptions{"base", 2, 0.001});
    auto options = oneSlot();
    options.slots = 3;
    options.weightStore = store.endpoint();
    const Engine engine(options);
    cr_assert_eq(engine.status(loadPath, R"({"lora_name":"base/unknown@1"})"), 404U);
    cr_assert_eq(engine.status(loadPath, first), 200U);
    cr_assert_eq(engine.status(loadPath, second), 429U);
    store.answer("/fake/control", R"({"add":["base/adapter-0@2"],"loads_per_second":0})");
    cr_assert_eq(engine.status(loadPath, R"({"lora_name":"base/adapter-0@2"})"), 200U);
}

Test(FakeEngine, loadsSlowDownWithMoreThanEightInFlight)
{
    cr_assert_eq(loadTime(1).count(), 250000);
    cr_assert_eq(loadTime(8).count(), 250000);
    cr_assert_eq(loadTime(16).count(), 500000);
}
