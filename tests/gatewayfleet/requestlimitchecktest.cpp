#include "gatewayfleet/requestlimitcheck.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;

namespace
{

constexpr double never = 1000;

struct Stated {
    double at;
    std::optional<double> limit;
    double heldFor = 0; ///< Time until the first answer leaves.
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
    {"held back", {{10, 2.0, 3}}, {{0, 13, 10}, {13, 30, 2}}, true},
    {"held back, and not kept once it has left", {{10, 2.0, 3}}, {{0, 13, 2}, {13, 30, 5}}, false},
    {"held back, flood in the second before it leaves", {{10, 2.0, 3}}, {{12.1, 13, 25}, {13, 30, 2}}, false},
    {"held back, flood before that", {{10, 2.0, 3}}, {{10, 11.9, 25}, {13, 30, 2}}, true},
    {"never told", {{10, 2.0, never}}, {{0, 30, 50}}, true},
    {"lowered, held back", {{10, 4.0}, {20, 1.0, 3}}, {{10, 23, 4}, {23, 30, 1}}, true},
    {"lowered, held back, not kept", {{10, 4.0}, {20, 1.0, 3}}, {{10, 30, 4}}, false},
    {"lowered, held back, higher one not kept", {{10, 4.0}, {20, 1.0, 8}}, {{10, 20, 4}, {20, 27, 9}}, false},
    {"lowered twice, the first one told late",
     {{10, 4.0}, {20, 2.0, 8}, {24, 1.0, 1}},
     {{10, 25, 4}, {25, 40, 3}},
     false},
    {"raised, held back", {{10, 1.0}, {20, 4.0, 5}}, {{10, 20, 1}, {20, 40, 4}}, true},
    {"lowered untold, then less", {{10, 4.0}, {20, 1.0, never}, {22, 3.0, 6}}, {{10, 28, 5}, {28, 40, 3}}, true},
    {"untold before its end", {{10, 2.0, never}, {12, std::nullopt}, {20, 2.0}}, {{10, 20, 5}, {20, 40, 5}}, false},
};

constexpr Instant start{std::chrono::seconds{100}};

Instant at(double seconds)
{
    return start + Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

RequestLimitRecord recordOf(const CheckCase &check)
{
    RequestLimitRecord record;
    for (const auto &each : check.stated) {
        record.onStated(at(each.at), each.limit);
        if (each.limit)
            record.onDelivered(at(each.at + each.heldFor), *each.limit);
    }
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
