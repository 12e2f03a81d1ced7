#include "gatewayfleet/requestlimitcheck.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;

namespace
{

struct Stated {
    double at;
    std::optional<double> limit;
};

struct Flow {
    double from;
    double to;
    double perSecond;
};

struct CheckCase {
    const char *name;
    std::vector<Stated> stated;
    std::vector<Flow> arrivals;
    bool isKept;
};

const CheckCase checks[] = {
    {"no limit", {}, {{0, 20, 50}}, true},
    {"within the limit", {{10, 2.0}}, {{0, 10, 4}, {10, 30, 2}}, true},
    {"within the tolerance", {{10, 2.0}}, {{0, 30, 4}}, true}, // 16 of 17.
    {"beyond the tolerance", {{10, 2.0}}, {{0, 30, 5}}, false},
    {"beyond it in the first three seconds", {{10, 2.0}}, {{0, 11, 5}, {11, 30, 2}}, true},
    {"burst", {{10, 2.0}}, {{10, 20, 2}, {20, 20.1, 120}}, false},
    {"lowered", {{10, 4.0}, {20, 1.0}}, {{10, 30, 4}}, false},
    {"lowered and kept", {{10, 4.0}, {20, 1.0}}, {{10, 20, 4}, {20, 30, 1}}, true},
    {"ended", {{10, 2.0}, {20, std::nullopt}}, {{10, 20, 2}, {20, 30, 50}}, true},
    {"ended and stated again",
     {{10, 2.0}, {20, std::nullopt}, {25, 2.0}},
     {{10, 20, 2}, {20, 25, 5}, {25, 40, 5}},
     false},
};

constexpr Instant start{std::chrono::seconds{100}};

Instant at(double seconds)
{
    return start + Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

RequestLimitRecord recordOf(const CheckCase &check)
{
    RequestLimitRecord record;
    for (const auto &each : check.stated)
        record.onStated(at(each.at), each.limit);
    for (const auto &flow : check.arrivals) {
        for (double time = flow.from; time < flow.to; time += 1 / flow.perSecond)
            record.onArrival(at(time), "n");
    }
    return record;
}

} // namespace

TABLE_TEST(RequestLimitCheck, findsViolations, checks)
{
    auto record = recordOf(row);
    cr_assert_eq(record.violations().empty(), row.isKept, "%s", row.name);
    record.excuse("n", at(0), at(100));
    cr_assert(record.violations().empty(), "%s, excused", row.name);
}

Test(RequestLimitCheck, tellsHowMuchOfTheLimitIsUsed)
{
    const auto record = recordOf({"", {{10, 2.0}}, {{0, 30, 1}}, true});
    cr_assert_float_eq(record.use(at(12), at(20)), 0.5, 0.07);
}
