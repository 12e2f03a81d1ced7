#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

#include <optional>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// What callers must get while a limit is in force.
enum class Service {
    Whole, ///< Other upstreams serve what the limits leave no room for.
    Limited, ///< The limits bound what is served; they are used, and the rest is refused in time.
    Disturbed, ///< Requests fail for other reasons.
};

struct LimitCase {
    const char *name;
    FleetSize size;
    Service service;
    void (*disturb)(Fleet &); ///< Schedules the case's events, from the end of the warm-up.
    Duration time; ///< Length of the run after the warm-up.
};

constexpr Load ordinary{20, 4, 8};
constexpr double engineLimit = 2; ///< About half of what an engine gets of the ordinary load.
constexpr double workerLimit = 5; ///< About a fifth of what the first worker of the plain service gets.
constexpr Duration warmUp = seconds{7}; ///< Covers the first acquisition of the order leases and loads of all adapters.
constexpr double wholeService = 0.98; ///< Fraction of the requests that are served where others can serve them.
constexpr double usedLimit = 0.85; ///< Fraction of a limit that is used where requests are waiting.

void limitOneOfEach(Fleet &fleet)
{
    fleet.engine(0).setLimit(engineLimit);
    fleet.worker(0).setLimit(workerLimit);
}

void endLimits(Fleet &fleet)
{
    fleet.engine(0).setLimit(std::nullopt);
    fleet.worker(0).setLimit(std::nullopt);
}

/// Changes the limit of one engine and one worker to each of @p factors times the usual one, every 4 s.
void changeLimits(Fleet &fleet, const std::vector<double> &factors)
{
    Duration at{};
    for (const double factor : factors) {
        fleet.after(at, [&fleet, factor] {
            fleet.engine(0).setLimit(factor * engineLimit);
            fleet.worker(0).setLimit(factor * workerLimit);
        });
        at += seconds{4};
    }
}

const LimitCase cases[] = {
    {"stated", {6, 2, 2}, Service::Whole, limitOneOfEach, seconds{10}},
    {"raised and lowered",
     {6, 2, 2},
     Service::Whole,
     [](Fleet &fleet) {
         changeLimits(fleet, {1, 1.5, 0.75, 1});
     },
     seconds{16}},
    {"ended and stated again",
     {6, 2, 2},
     Service::Whole,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.after(seconds{5}, [&fleet] { endLimits(fleet); });
         fleet.after(seconds{8}, [&fleet] { limitOneOfEach(fleet); });
     },
     seconds{15}},
    {"stated by all of a service",
     {6, 2, 2},
     Service::Limited,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.engine(1).setLimit(engineLimit);
         fleet.worker(1).setLimit(workerLimit);
     },
     seconds{10}},
    {"of upstreams that fail requests and break streams",
     {6, 2, 2},
     Service::Disturbed,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         for (const auto number : {0, 1}) {
             fleet.engine(number).behaviour.breakRatio = 0.3;
             fleet.worker(number).behaviour.failureRatio = 0.3;
         }
     },
     seconds{10}},
    {"while nodes freeze, are killed and stopped",
     {6, 2, 2},
     Service::Disturbed,
     [](Fleet &fleet) {
         limitOneOfEach(fleet);
         fleet.after(seconds{2}, [&fleet] { fleet.freeze(1, seconds{2}); });
         fleet.after(seconds{3}, [&fleet] { fleet.restart(2, milliseconds{500}); });
         fleet.after(seconds{4}, [&fleet] { fleet.stop(3); });
         fleet.after(seconds{5}, [&fleet] { fleet.reload(4); });
     },
     seconds{12}},
    {"before a fleet that reports through relays", {20, 2, 2}, Service::Whole, limitOneOfEach, seconds{10}},
    {"stated while all upstreams are silent",
     {18, 2, 2},
     Service::Disturbed,
     [](Fleet &fleet) {
         for (const auto number : {0, 1}) {
             fleet.engine(number).silence(milliseconds{1400});
             fleet.worker(number).silence(milliseconds{1400});
         }
         fleet.after(milliseconds{100}, [&fleet] { limitOneOfEach(fleet); });
     },
     seconds{8}},
};

/// Checks what callers got in the run.
void checkService(Fleet &fleet, const LimitCase &row, Instant end)
{
    for (const auto kind : {CallerRequest::Read, CallerRequest::Book, CallerRequest::Stream}) {
        const auto &tally = fleet.tally(kind);
        cr_expect_eq(tally.broken, 0U, "%s, kind %d: %u requests without a whole answer", row.name,
                     static_cast<int>(kind), tally.broken);
        cr_expect_eq(tally.refusedWithoutTime, 0U, "%s, kind %d", row.name, static_cast<int>(kind));
        cr_expect_eq(tally.lateRefusals, 0U, "%s, kind %d: %u refused late", row.name, static_cast<int>(kind),
                     tally.lateRefusals);
        if (row.service == Service::Whole)
            cr_expect_geq(tally.served, wholeService * tally.sent, "%s, kind %d: %u of %u served", row.name,
                          static_cast<int>(kind), tally.served, tally.sent);
    }
    if (row.service != Service::Limited)
        return;
    for (auto *upstream : {&fleet.engine(0), &fleet.worker(0)}) {
        const double use = upstream->limits.use(end - seconds{7}, end - seconds{1});
        cr_expect_geq(use, usedLimit, "%s: %.2f of a limit used", row.name, use);
    }
}

} // namespace

/// An upstream states how many requests a second it accepts from all nodes together, and nodes send more.
TABLE_TEST(LimitedUpstream, nodesTogetherKeepTheRequestLimit, cases)
{
    Fleet fleet(row.size, 1);
    fleet.waitUntilReady();
    fleet.setLoad(ordinary);
    fleet.run(warmUp);
    fleet.clearTallies();
    row.disturb(fleet);
    fleet.run(row.time);
    const auto end = BootClock{}.now();
    fleet.setLoad({});
    fleet.run(seconds{1});
    const auto problems = fleet.finish();
    cr_assert(problems.empty(), "%s: %zu problems, the first: %s", row.name, problems.size(), problems.front().c_str());
    if (row.service != Service::Disturbed)
        checkService(fleet, row, end);
}
