#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct HaltCase {
    const char *name;
    unsigned seed;
    Duration shortest;
    Duration longest;
    Duration pause; ///< Longest time from one halt of the fleet to the next.
    unsigned silent; ///< Engines that fall silent together, again and again.
    bool stops; ///< Nodes are stopped in turn, and some streams are long.
};

const HaltCase halts[] = {
    {"short halts", 1, milliseconds{30}, milliseconds{150}, milliseconds{120}, 0, false},
    {"halts", 2, milliseconds{30}, milliseconds{500}, milliseconds{300}, 0, false},
    {"halts beside silences", 3, milliseconds{30}, milliseconds{500}, milliseconds{300}, 2, false},
    {"halts beside planned stops", 4, milliseconds{30}, milliseconds{500}, milliseconds{300}, 0, true},
};

const FleetSize size{3, 4, 3, seconds{8}};
constexpr Load load{40, 20, 20, 0, 5, 5, 2};
constexpr Duration haltedTime = seconds{12};
constexpr Duration silenceInterval = seconds{3};
constexpr Duration silence = milliseconds{1200};
constexpr Duration stopInterval = seconds{5};
constexpr Duration cacheTime = milliseconds{3500}; ///< Callers use a node for longer than it takes requests.
constexpr double longRatio = 0.2;

/// Halts a node that is drawn at random, and schedules the next halt until @p end.
void haltNext(Fleet &fleet, const HaltCase &row, Instant end)
{
    auto &random = fleet.random();
    const auto draw = [&](Duration from, Duration to) {
        return Duration{std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(random)};
    };
    if (BootClock{}.now() >= end)
        return;
    fleet.halt(random() % fleet.nodes(), draw(row.shortest, row.longest));
    fleet.after(draw({}, row.pause), [&fleet, &row, end] { haltNext(fleet, row, end); });
}

} // namespace

/// Guards against nodes that are short of processor and break off answers, or judge others by their own delay.
TABLE_TEST(HaltedNode, keepsRulesBesideShortHalts, halts)
{
    Fleet fleet(size, row.seed);
    fleet.waitUntilReady();
    fleet.setLoad(load);
    fleet.run(seconds{2});
    const auto lostBefore = fleet.logLines("\"reach_lost\"");
    haltNext(fleet, row, BootClock{}.now() + haltedTime);
    for (Duration at{}; row.silent > 0 && at < haltedTime; at += silenceInterval)
        fleet.after(at, [&] {
            for (std::size_t number = 0; number < row.silent; ++number)
                fleet.engine(number).silence(silence);
        });
    for (std::size_t number = 0; row.stops && number < fleet.nodes(); ++number)
        fleet.after(static_cast<long>(number) * stopInterval, [&fleet, number] { fleet.stop(number, cacheTime); });
    for (std::size_t number = 0; row.stops && number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.longRatio = longRatio;
    fleet.run(haltedTime);
    fleet.setLoad({});
    fleet.run(seconds{9});
    const auto lost = fleet.logLines("\"reach_lost\"") - lostBefore;
    const auto tally = fleet.tally(CallerRequest::Stream);
    const auto problems = fleet.finish();
    if (!problems.empty() || (row.silent == 0 && !row.stops && lost > 0))
        fleet.keepFiles();
    for (const auto &problem : problems)
        cr_log_warn("%s: %s", row.name, problem.c_str());
    cr_assert(problems.empty(), "%s: %zu problems", row.name, problems.size());
    cr_assert(row.silent > 0 || row.stops || lost == 0, "%s: %u sound places count as lost", row.name, lost);
    cr_assert_gt(fleet.halts(), 0U, "%s", row.name);
    cr_assert_gt(tally.served, 0U, "%s", row.name);
}
