#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// What becomes of streams that are taken up.
enum class TakeUps {
    GoOn, ///< Half as often as new streams begin, at least.
    Any, ///< The users' rule does not bind, as fewer than two engines of their version serve.
    Refused, ///< Those of before, as their version serves no more.
};

struct MixCase {
    const char *name;
    FleetSize size;
    TakeUps takeUps;
    void (*disturb)(Fleet &); ///< Schedules the case's events, from the end of the warm-up.
};

constexpr Duration warmUp = seconds{10}; ///< Covers order leases, loads of all adapters and the second version's start.
constexpr Duration disturbances = seconds{14};
constexpr Duration eventPause = milliseconds{250}; ///< Makes a stream last 1.5 s.
constexpr unsigned toleratedStreams = 2; ///< With events of two software versions.
constexpr unsigned judgedTakeUps = 12; ///< Fewer are not judged.
constexpr Load load{2, 1, 0, 0, 12};

void breakStreams(Fleet &fleet, double ratio)
{
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.breakRatio = ratio;
}

void killNodesInTurn(Fleet &fleet)
{
    for (std::size_t number = 0; number < fleet.nodes(); ++number) {
        fleet.after(seconds{1} + milliseconds{1500} * number,
                    [&fleet, number] { fleet.restart(number, milliseconds{500}); });
    }
}

void killAllNodes(Fleet &fleet)
{
    for (std::size_t number = 0; number < fleet.nodes(); ++number)
        fleet.restart(number, milliseconds{500});
}

const MixCase cases[] = {
    {"engines break streams off", {6, 4, 1}, TakeUps::GoOn, [](Fleet &fleet) { breakStreams(fleet, 0.4); }},
    {"nodes are killed in turn", {6, 4, 1}, TakeUps::GoOn, killNodesInTurn},
    {"all nodes are killed",
     {6, 4, 1},
     TakeUps::GoOn,
     [](Fleet &fleet) {
         fleet.after(seconds{2}, [&fleet] { killAllNodes(fleet); });
         fleet.after(seconds{6}, [&fleet] { breakStreams(fleet, 0.4); });
     }},
    {"all nodes are killed when the older version has left",
     {6, 4, 1},
     TakeUps::Refused,
     [](Fleet &fleet) {
         for (const std::size_t number : {0, 2})
             fleet.engine(number).retire(milliseconds{900});
         fleet.after(seconds{1}, [&fleet] { killAllNodes(fleet); });
     }},
    {"engines start again under their instances at the other version",
     {6, 4, 1},
     TakeUps::Any,
     [](Fleet &fleet) {
         for (std::size_t number = 0; number < fleet.engines(); ++number) {
             auto &engine = fleet.engine(number);
             engine.behaviour.keepsInstance = true;
             fleet.after(seconds{2 * static_cast<long>(number)}, [&engine] {
                 engine.behaviour.software = engine.behaviour.software == "v1" ? "v2" : "v1";
                 engine.crash(milliseconds{200});
             });
         }
     }},
    {"nodes are frozen and killed in an outage of the store",
     {6, 4, 1},
     TakeUps::Any,
     [](Fleet &fleet) {
         fleet.store().setDown(true);
         fleet.after(seconds{1}, [&fleet] { fleet.freeze(0, seconds{3}); });
         fleet.after(seconds{2}, [&fleet] { fleet.restart(1, milliseconds{500}); });
         fleet.after(seconds{3}, [&fleet] { fleet.engine(0).crash(seconds{1}); });
         fleet.after(seconds{5}, [&fleet] { fleet.store().setDown(false); });
     }},
    {"nodes of a fleet that reports through relays are killed", {20, 4, 1}, TakeUps::GoOn, killNodesInTurn},
};

/// Replaces every second engine by one of a newer software version.
void mixVersions(Fleet &fleet)
{
    for (std::size_t number = 0; number < fleet.engines(); ++number) {
        fleet.engine(number).behaviour.answerTime = eventPause;
        if (number % 2 == 0)
            continue;
        fleet.engine(number).behaviour.software = "v2";
        fleet.engine(number).crash(milliseconds{200});
    }
}

} // namespace

/// Two software versions of a service serve, and the events of one stream come from both.
TABLE_TEST(MixedSoftware, streamsGoOnOnlyAtTheVersionThatBeganThem, cases)
{
    Fleet fleet(row.size, 1);
    fleet.waitUntilReady();
    mixVersions(fleet);
    fleet.setLoad(load);
    fleet.run(warmUp);
    fleet.streamCallers().takeTally();
    row.disturb(fleet);
    fleet.run(disturbances);
    fleet.setLoad({});
    fleet.run(seconds{3});
    const auto problems = fleet.finish();
    if (!problems.empty())
        fleet.keepFiles();
    cr_expect(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(),
              problems.empty() ? "" : problems.front().c_str());
    cr_expect_leq(fleet.streamCallers().joinedStreams(), toleratedStreams,
                  "%s: %u streams have events of two software versions", row.name,
                  fleet.streamCallers().joinedStreams());
    const auto tally = fleet.streamCallers().takeTally();
    cr_expect_eq(tally.lateRefusals, 0U, "%s: %u take-ups refused late", row.name, tally.lateRefusals);
    if (row.takeUps == TakeUps::GoOn && tally.takenUp >= judgedTakeUps) {
        const double resumed = static_cast<double>(tally.resumed) / tally.takenUp;
        const double begun = static_cast<double>(tally.begun) / std::max(1U, tally.sent);
        cr_expect_geq(resumed, begun / 2, "%s: %u of %u streams taken up go on, %u of %u new ones begin", row.name,
                      tally.resumed, tally.takenUp, tally.begun, tally.sent);
    }
    if (row.takeUps == TakeUps::Refused)
        cr_expect_gt(tally.refusedTakeUps, 0U, "%s: no take-up was refused", row.name);
}

namespace
{

struct JoinCase {
    const char *name;
    TakeUps takeUps;
    void (*disturb)(Fleet &); ///< Schedules the case's events, 600 ms before an engine of a newer version.
};

constexpr Duration joinDelay = milliseconds{600};
constexpr Duration longEventPause = milliseconds{500}; ///< Makes a stream last 3 s.
constexpr Load joinLoad{2, 1, 0, 0, 20};
constexpr std::size_t lostNodes = 3;

const JoinCase joins[] = {
    {"nodes hang and are killed", TakeUps::GoOn,
     [](Fleet &fleet) {
         for (std::size_t number = 0; number < lostNodes; ++number) {
             fleet.freeze(number, seconds{4});
             fleet.after(milliseconds{3500}, [&fleet, number] { fleet.restart(number, milliseconds{500}); });
         }
     }},
    {"nodes are out of step", TakeUps::Any,
     [](Fleet &fleet) {
         for (std::size_t number = 0; number < lostNodes; ++number)
             fleet.freeze(number, seconds{6});
         breakStreams(fleet, 0.4);
     }},
};

} // namespace

/// The streams of nodes that were lost within a second of the first engine of a newer version were refused.
TABLE_TEST(MixedSoftware, streamsGoOnWhenAVersionJoins, joins)
{
    Fleet fleet({6, 4, 1}, 1);
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.answerTime = longEventPause;
    fleet.waitUntilReady();
    fleet.setLoad(joinLoad);
    fleet.run(warmUp);
    fleet.streamCallers().takeTally();
    row.disturb(fleet);
    fleet.after(joinDelay, [&fleet] {
        auto &engine = fleet.engine(fleet.engines() - 1);
        engine.behaviour.software = "v2";
        engine.crash(milliseconds{50});
    });
    fleet.run(disturbances);
    fleet.setLoad({});
    fleet.run(seconds{3});
    fleet.finish();
    cr_expect_leq(fleet.streamCallers().joinedStreams(), toleratedStreams,
                  "%s: %u streams have events of two software versions", row.name,
                  fleet.streamCallers().joinedStreams());
    const auto tally = fleet.streamCallers().takeTally();
    cr_expect_geq(tally.takenUp, judgedTakeUps, "%s: only %u streams taken up", row.name, tally.takenUp);
    if (row.takeUps == TakeUps::GoOn)
        cr_expect_geq(2 * tally.resumed, tally.takenUp, "%s: %u of %u streams taken up go on", row.name, tally.resumed,
                      tally.takenUp);
}
