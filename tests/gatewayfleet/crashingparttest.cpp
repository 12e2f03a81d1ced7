#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct CrashCase {
    const char *name;
    FleetSize size;
    Load load; ///< From the end of the warm-up.
    std::vector<const char *> parts; ///< That crash engines.
    void (*disturb)(Fleet &); ///< Schedules further events, from the end of the warm-up.
};

constexpr Duration warmUp = seconds{7}; ///< Covers the first acquisition of the order leases and loads of all adapters.
constexpr Duration learning = seconds{13}; ///< Time in which the parts must be found, and all engines be back.
constexpr Duration judged = seconds{5}; ///< Time after that in which callers' answers are judged.
constexpr double servedShare = 0.95; ///< Of sound streams, in that time.

constexpr std::size_t mostCrashes = 8; ///< By one part: five, and three requests more.

constexpr Load ordinary{20, 4, 20, 3};
constexpr Load few{4, 1, 3, 1};

void nothing(Fleet &)
{
}

void crashEngines(Fleet &fleet)
{
    for (std::size_t number = 0; number < fleet.engines(); ++number) {
        fleet.engine(number).behaviour.breakRatio = 0.1;
        fleet.after(milliseconds{700} * (number + 1), [&fleet, number] { fleet.engine(number).crash(seconds{1}); });
    }
    for (const std::size_t number : {0, 1, 2})
        fleet.after(seconds{9}, [&fleet, number] { fleet.engine(number).crash(seconds{1}); });
}

void disturbNodes(Fleet &fleet)
{
    fleet.after(milliseconds{500}, [&fleet] { fleet.freeze(1, seconds{2}); });
    fleet.after(seconds{1}, [&fleet] { fleet.restart(2, milliseconds{500}); });
    fleet.after(seconds{2}, [&fleet] { fleet.stop(3); });
    fleet.after(seconds{9}, [&fleet] { fleet.restart(4, milliseconds{300}); });
}

void loseStore(Fleet &fleet)
{
    fleet.after(milliseconds{300}, [&fleet] { fleet.store().setDown(true); });
    fleet.after(seconds{6}, [&fleet] { fleet.store().setDown(false); });
}

const CrashCase cases[] = {
    {"among sound requests", {6, 6, 2}, ordinary, {"bad1"}, nothing},
    {"in a fleet with few requests", {6, 6, 2}, few, {"bad1"}, nothing},
    {"two parts at once", {6, 6, 2}, {20, 4, 20, 5}, {"bad1", "bad2"}, nothing},
    {"beside ordinary crashes and broken streams", {6, 6, 2}, ordinary, {"bad1"}, crashEngines},
    {"while nodes freeze, are killed and stopped", {6, 6, 2}, ordinary, {"bad1"}, disturbNodes},
    {"in an outage of the store", {6, 6, 2}, ordinary, {"bad1"}, loseStore},
    {"before a fleet that reports through relays", {20, 6, 2}, ordinary, {"bad1"}, nothing},
    {"of engines that keep their instances",
     {6, 6, 2},
     ordinary,
     {"bad1"},
     [](Fleet &fleet) {
         for (std::size_t number = 0; number < fleet.engines(); ++number)
             fleet.engine(number).behaviour.keepsInstance = true;
     }},
};

void begin(Fleet &fleet, const CrashCase &row)
{
    fleet.waitUntilReady();
    fleet.setLoad({row.load.reads, row.load.books, row.load.streams, 0});
    fleet.run(warmUp);
    for (const auto *part : row.parts)
        fleet.addCrashingPart(part);
    fleet.setLoad(row.load);
    row.disturb(fleet);
    fleet.run(learning);
}

std::size_t crashesOf(const Fleet &fleet, const CrashCase &row)
{
    std::size_t crashes = 0;
    for (const auto *part : row.parts)
        crashes += fleet.crashingParts().crashes(part);
    return crashes;
}

void finish(Fleet &fleet, const CrashCase &row)
{
    fleet.clearTallies();
    fleet.run(judged);
    fleet.setLoad({});
    fleet.run(seconds{1});
    const auto problems = fleet.finish();
    if (!problems.empty())
        fleet.keepFiles();
    cr_expect(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(),
              problems.empty() ? "" : problems.front().c_str());
    const auto &sound = fleet.tally(CallerRequest::Stream);
    cr_expect_geq(sound.served, servedShare * sound.sent, "%s: %u of %u sound streams served", row.name, sound.served,
                  sound.sent);
}

} // namespace

/// A part that many prompts share crashes each engine that begins an answer on it, and no two of the requests are
/// alike.
TABLE_TEST(CrashingPart, isBlockedOnAllNodesAfterFewCrashes, cases)
{
    Fleet fleet(row.size, 1);
    begin(fleet, row);
    const auto crashes = crashesOf(fleet, row);
    finish(fleet, row);
    cr_expect_eq(crashesOf(fleet, row), crashes, "%s: engines still crash", row.name);
    for (const auto *part : row.parts)
        cr_expect_leq(fleet.crashingParts().crashes(part), mostCrashes, "%s: part %s has crashed %zu engines", row.name,
                      part, fleet.crashingParts().crashes(part));
}

/// All nodes lose power after a part was blocked, and none of them remembers it.
Test(CrashingPart, staysBlockedAfterAllNodesWereKilled)
{
    const auto &row = cases[0];
    Fleet fleet(row.size, 2);
    begin(fleet, row);
    const auto crashes = crashesOf(fleet, row);
    for (std::size_t node = 0; node < fleet.nodes(); ++node)
        fleet.restart(node, seconds{1});
    fleet.run(seconds{8});
    finish(fleet, row);
    cr_expect_eq(crashesOf(fleet, row), crashes, "%zu engines have crashed before, %zu in all", crashes,
                 crashesOf(fleet, row));
}
