#include "fakes/fakeserver.h"

#include "fakes/fakeservice.h"
#include "fakes/fakevmlist.h"
#include "fakes/fakeweightstore.h"
#include "fakes/runningfake.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Fakes;

namespace
{

struct ServiceCase {
    const char *fault;
    unsigned status;
    std::int64_t times;
};

const ServiceCase serviceCases[] = {
    {"{}", 200, 1},
    {R"({"not_started":1})", 503, 0},
    {R"({"outage":"refuse"})", 503, 0},
    {R"({"delay_ms":20,"work_ms":20})", 200, 1},
};

} // namespace

TABLE_TEST(FakeService, countsCallsThatRan, serviceCases)
{
    const RunningFake<FakeService> service(false);
    service.answer("/fake/control", row.fault);
    cr_assert_eq(service.status("/book/7", "x", {{"Idempotency-Key", "k"}}), row.status);
    const auto report = service.journal();
    const auto &ran = report.at("ran").as_object();
    cr_assert_eq(ran.contains("/book/7 k") ? ran.at("/book/7 k").as_int64() : 0, row.times);
}

Test(FakeVmList, showsAChangeAfterItsLag)
{
    const RunningFake<FakeVmList> list(Duration::zero());
    list.answer("/fake/control", R"({"upsert":[{"id":"e1","role":"engine"},{"id":"e2","role":"engine"}]})");
    list.answer("/fake/control", R"({"remove":["e2"]})");
    cr_assert_eq(list.answer("/v1/vms", "").at("vms").as_array().size(), 1U);
    list.answer("/fake/control", R"({"lag_ms":60000,"remove":["e1"]})");
    cr_assert_eq(list.answer("/v1/vms", "").at("vms").as_array().size(), 1U);
}

Test(FakeWeightStore, catalogueIsSentOncePerRevision)
{
    const RunningFake<FakeWeightStore> store(WeightStoreOptions{"base", 3, 0});
    const auto first = store.post("/v1/catalogue", "");
    cr_assert_eq(parseObject(first.response->body).at("adapters").as_array().size(), 3U);
    const std::string tag{first.response->headers.get("ETag")};
    cr_assert_eq(store.status("/v1/catalogue", "", {{"If-None-Match", tag}}), 304U);
    store.answer("/fake/control", R"({"add":["base/new@1"]})");
    cr_assert_eq(store.status("/v1/catalogue", "", {{"If-None-Match", tag}}), 200U);
}
