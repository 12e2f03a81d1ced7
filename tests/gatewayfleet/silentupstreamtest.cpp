#include "gatewayfleet/gatewayfleet.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

struct SilenceCase {
    const char *name;
    FleetSize size;
    unsigned silent; ///< Engines that fall silent together, again and again.
    bool changesConfiguration;
    bool stopsNodes;
};

const SilenceCase silences[] = {
    {"all engines", {3, 2, 2}, 2, true, false},
    {"some engines", {3, 4, 2}, 2, true, false},
    {"all engines, without changes", {3, 2, 2}, 2, false, false},
    {"some engines, beside stops in series", {6, 4, 2, seconds{8}}, 2, true, true},
};

constexpr Load load{20, 8, 40, 0, 5};
constexpr double longRatio = 0.5; ///< Of streams that last longer than a silence.
constexpr int episodes = 4;
constexpr Duration episode = seconds{3};

} // namespace

/// Guards against streams that are broken off, and desired states that are late, while sound engines are silent.
TABLE_TEST(SilentUpstream, streamsGoOnAfterSilences, silences)
{
    Fleet fleet(row.size, 1);
    fleet.waitUntilReady();
    fleet.countOnlyBindingTakeUps();
    fleet.probeConfigurations();
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.longRatio = longRatio;
    fleet.setLoad(load);
    fleet.run(seconds{6});
    for (int i = 0; i < episodes; ++i) {
        fleet.after(i * episode, [&] {
            if (row.changesConfiguration)
                fleet.changeConfiguration();
            if (row.stopsNodes)
                fleet.stop(static_cast<std::size_t>(i));
        });
        fleet.after(i * episode + milliseconds{600}, [&] {
            for (std::size_t number = 0; number < row.silent; ++number)
                fleet.engine(number).silence(milliseconds{1200});
        });
    }
    fleet.run(episodes * episode);
    fleet.setLoad({});
    fleet.run(seconds{7});
    const auto configurationLines = fleet.logLines("written_within_ms");
    const auto tally = fleet.tally(CallerRequest::Stream);
    const auto problems = fleet.finish();
    if (!problems.empty())
        fleet.keepFiles();
    for (const auto &problem : problems)
        cr_log_warn("%s: %s", row.name, problem.c_str());
    cr_assert(problems.empty(), "%s: %zu problems", row.name, problems.size());
    cr_assert_gt(configurationLines, 0U);
    cr_assert_gt(fleet.configurationProbes().judged(), 0U);
    cr_assert_gt(tally.sent, 0U);
}
