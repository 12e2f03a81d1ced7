#include "gatewayfleet/gatewayfleet.h"
#include "gatewayfleet/soakrunner.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(unsigned, first_seed, 1, "seed of the first run");
ABSL_FLAG(unsigned, runs, 1, "number of runs, with successive seeds");
ABSL_FLAG(unsigned, nodes, 0, "number of gateways; 0 draws one for each run");
ABSL_FLAG(bool, keep, false, "keep the logs of runs that find a problem");

namespace
{

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration warmUp = seconds{6}; ///< Covers the first acquisition of the order leases.
constexpr Duration disturbances = seconds{14};
/// Time from the last disturbance until callers must be served again: a successor's wait for an order lease, two
/// seconds for the registry, and the loads of all adapters.
constexpr Duration recovery = seconds{9};
constexpr Duration judged = seconds{3}; ///< Time after that in which callers' answers are judged.
constexpr double servedAfterwards = 0.9;
constexpr unsigned toleratedJoins = 2; ///< Streams with events of two software versions.
constexpr Load ordinaryLoad{20, 8, 8, 0, 15, 2, 2};
constexpr Load crashingLoad{20, 8, 8, 2, 15, 2, 2};
constexpr Duration stopGrace = seconds{8};
constexpr double longRatio = 0.2; ///< Of streams and of long work that last several seconds.
constexpr unsigned judgedTakeUps = 12; ///< Fewer streams that are taken up are not judged.

/// Draws what happens to one fleet.
class Soak
{
public:
    Soak(Fleet &fleet, unsigned seed)
        : m_fleet(fleet)
        , m_silences(seed)
    {
    }

    /// Schedules disturbances, single ones and series that overlap, and the end of all of them.
    void schedule()
    {
        const unsigned count = 6 + below(12);
        for (unsigned i = 0; i < count; ++i)
            m_fleet.after(below(disturbances), [this] { disturb(); });
        if (below(2) == 0)
            m_fleet.after(below(disturbances / 2), [this] { stopSeries(); });
        m_fleet.after(disturbances, [this] { end(); });
    }

private:
    std::uint64_t below(std::uint64_t limit)
    {
        return m_fleet.random()() % limit;
    }

    Duration below(Duration limit)
    {
        return Duration{static_cast<std::int64_t>(below(static_cast<std::uint64_t>(limit.count())))};
    }

    std::size_t anyNode()
    {
        return below(m_fleet.nodes());
    }

    UpstreamStandIn &anyUpstream()
    {
        const auto number = below(m_fleet.engines() + m_fleet.workers());
        return number < m_fleet.engines() ? m_fleet.engine(number) : m_fleet.worker(number - m_fleet.engines());
    }

    void disturb()
    {
        switch (below(30)) {
        case 0:
            return m_fleet.freeze(anyNode(), milliseconds{100} + below(seconds{4}));
        case 1:
            return m_fleet.restart(anyNode(), below(seconds{2}));
        case 2:
            return m_fleet.stop(anyNode(), cacheTime());
        case 3:
            return reloadSeries();
        case 4:
            return killMany();
        case 5:
            return storeOutage();
        case 6:
            return fail(anyUpstream());
        case 7:
        case 8:
            return replace(m_fleet.engine(below(m_fleet.engines())));
        case 9:
            return makePartCrash();
        case 10:
        case 11:
            return anyUpstream().silence(milliseconds{200} + below(milliseconds{1200}));
        case 12:
        case 13:
            return partitionSome();
        case 14:
        case 15:
            return declareSeries();
        case 16:
            return m_fleet.writeOddRecord();
        case 17:
            return makeBrittle();
        case 18:
        case 19:
            return stopSeries();
        case 20:
        case 21:
            return changeConfigurations();
        case 22:
        case 23:
            return releaseNewer();
        case 24:
        case 25:
        case 26:
            return hush();
        case 27:
            return m_fleet.writeOddConfiguration();
        default:
            return changeLimit(anyUpstream());
        }
    }

    void reloadSeries()
    {
        const auto node = anyNode();
        for (int i = 0; i < 3; ++i)
            m_fleet.after(i * milliseconds{100}, [this, node] { m_fleet.reload(node); });
    }

    /// Callers use the address of a node for a second after it was asked to stop, or until its process is gone.
    Duration cacheTime()
    {
        return below(2) == 0 ? Fleet::addressCacheTime : stopGrace;
    }

    /// Stops several nodes in turn, so that their stops overlap or follow each other.
    void stopSeries()
    {
        const auto first = anyNode();
        const auto pause = milliseconds{100} + below(seconds{2});
        const auto count = 1 + below(std::min<std::size_t>(m_fleet.nodes() - 1, 5));
        for (std::size_t i = 0; i < count; ++i) {
            m_fleet.after(static_cast<long>(i) * pause,
                          [this, node = (first + i) % m_fleet.nodes()] { m_fleet.stop(node, cacheTime()); });
        }
        if (below(2) == 0)
            changeConfigurations();
    }

    void changeConfigurations()
    {
        const auto pause = below(seconds{2});
        for (unsigned i = 0; i < 1 + below(4); ++i)
            m_fleet.after(i * pause, [this] { m_fleet.changeConfiguration(); });
    }

    /// Lets sound engines fall silent together, all of them or some, beside changes of the configuration. Workers of
    /// the plain service may fall silent as well, twice, beside reloads, stops and newer software.
    void hush()
    {
        const auto time = milliseconds{600} + below(milliseconds{800});
        const auto count = below(2) == 0 ? m_fleet.engines() : 1 + below(m_fleet.engines());
        for (std::size_t number = 0; number < count; ++number)
            m_fleet.engine(number).silence(time);
        if (below(2) == 0)
            changeConfigurations();
        hushAgain(time);
    }

    /// Has a generator of its own, so that the other draws of a seed stay as they are.
    void hushAgain(Duration time)
    {
        if (m_silences() % 2 == 0) {
            for (std::size_t number = 0; number < m_fleet.workers(); ++number)
                m_fleet.after(time / 4, [this, number, time] { m_fleet.worker(number).silence(time); });
        }
        if (m_silences() % 2 == 0) {
            for (std::size_t number = 0; number < m_fleet.engines(); ++number)
                m_fleet.after(2 * time, [this, number, time] { m_fleet.engine(number).silence(time); });
        }
        switch (m_silences() % 4) {
        case 0:
            return reloadSeries();
        case 1:
            return stopSeries();
        case 2:
            return releaseNewer();
        default:
            return;
        }
    }

    /// Replaces half of the engines in turn by ones of a newer software version; a node may freeze or lose power at
    /// about the same time.
    void releaseNewer()
    {
        const auto pause = milliseconds{500} + below(seconds{1});
        for (std::size_t number = 1; number < m_fleet.engines(); number += 2) {
            m_fleet.after(seconds{1} + static_cast<long>(number / 2) * pause, [this, number] {
                m_fleet.engine(number).behaviour.software = "v2";
                m_fleet.engine(number).crash(milliseconds{200});
            });
        }
        const auto node = anyNode();
        const auto at = below(seconds{2});
        if (below(3) == 0)
            m_fleet.after(at, [this, node] { m_fleet.freeze(node, seconds{2}); });
        else if (below(2) == 0)
            m_fleet.after(at, [this, node] { m_fleet.losePower(node, seconds{1}); });
    }

    void killMany()
    {
        for (std::size_t node = 0; node < m_fleet.nodes(); ++node) {
            if (below(2) == 0)
                m_fleet.restart(node, below(seconds{1}));
        }
    }

    void storeOutage()
    {
        const auto time = below(seconds{3});
        m_fleet.store().setDown(true);
        m_fleet.excuseAll(time);
        m_fleet.after(time, [this] { m_fleet.store().setDown(false); });
    }

    void fail(UpstreamStandIn &upstream)
    {
        upstream.behaviour.failureRatio = 0.1 * static_cast<double>(below(4));
        upstream.behaviour.breakRatio = 0.1 * static_cast<double>(below(4));
    }

    /// Cuts some of the nodes, at least one and never all, from all upstreams.
    void partitionSome()
    {
        const auto state = partitions[below(partitions.size())];
        const auto time = milliseconds{500} + below(seconds{5});
        const auto first = anyNode();
        const auto count = 1 + below(m_fleet.nodes() - 1);
        for (std::size_t i = 0; i < count; ++i)
            m_fleet.partition((first + i) % m_fleet.nodes(), state, time);
    }

    /// Declares up to three versions of one adapter, some seconds apart or at once.
    void declareSeries()
    {
        const auto adapter = static_cast<unsigned>(below(8));
        const auto pause = below(seconds{4});
        for (unsigned i = 0; i < 1 + below(3); ++i)
            m_fleet.after(i * pause, [this, adapter] { m_fleet.declareNextVersion(adapter); });
    }

    /// Crashes an engine, which starts again with one of two software versions, at times under the same instance.
    void replace(UpstreamStandIn &engine)
    {
        engine.behaviour.software = below(2) == 0 ? "v1" : "v2";
        engine.behaviour.keepsInstance = below(3) == 0;
        engine.crash(milliseconds{300} + below(seconds{2}));
    }

    /// Makes callers send streams with a prompt part that crashes engines.
    void makePartCrash()
    {
        if (m_crashingParts == maxCrashingParts)
            return;
        m_fleet.addCrashingPart("bad" + std::to_string(++m_crashingParts));
        m_fleet.setLoad(crashingLoad);
    }

    /// Makes the upstreams of one service brittle.
    void makeBrittle()
    {
        const bool isEngine = below(2) == 0;
        const auto refusals = 1 + static_cast<unsigned>(below(4));
        for (std::size_t number = 0; number < (isEngine ? m_fleet.engines() : m_fleet.workers()); ++number)
            (isEngine ? m_fleet.engine(number) : m_fleet.worker(number)).behaviour.refusalsBorne = refusals;
    }

    void changeLimit(UpstreamStandIn &upstream)
    {
        if (below(4) == 0)
            upstream.setLimit(std::nullopt);
        else
            upstream.setLimit(0.5 + 0.1 * static_cast<double>(below(80)));
    }

    void end()
    {
        m_fleet.store().setDown(false);
        for (std::size_t number = 0; number < m_fleet.engines(); ++number)
            calm(m_fleet.engine(number));
        for (std::size_t number = 0; number < m_fleet.workers(); ++number)
            calm(m_fleet.worker(number));
    }

    static void calm(UpstreamStandIn &upstream)
    {
        upstream.behaviour.failureRatio = 0;
        upstream.behaviour.breakRatio = 0;
        upstream.behaviour.refusalsBorne.reset();
        upstream.behaviour.longRatio = 0;
        upstream.setLimit(std::nullopt);
    }

    static constexpr unsigned maxCrashingParts = 2;
    static constexpr std::array partitions{PathState::Silent, PathState::Reset, PathState::ClosedToNew};

    Fleet &m_fleet;
    std::mt19937_64 m_silences;
    unsigned m_crashingParts = 0;
};

FleetSize drawSize(unsigned seed)
{
    std::mt19937_64 random(seed);
    const unsigned nodes = absl::GetFlag(FLAGS_nodes);
    return {nodes > 0 ? nodes : 3 + static_cast<unsigned>(random() % 18), 2 + static_cast<unsigned>(random() % 4),
            2 + static_cast<unsigned>(random() % 2), stopGrace};
}

void makeSomeLong(Fleet &fleet)
{
    for (std::size_t number = 0; number < fleet.engines(); ++number)
        fleet.engine(number).behaviour.longRatio = longRatio;
    for (std::size_t number = 0; number < fleet.workers(); ++number)
        fleet.worker(number).behaviour.longRatio = 1;
}

/// Returns a description if streams that are taken up go on less than half as often as new ones begin.
std::vector<std::string> takeUpProblems(const StreamCallers::Tally &tally)
{
    const double resumed = static_cast<double>(tally.resumed) / std::max(1U, tally.takenUp);
    const double begun = static_cast<double>(tally.begun) / std::max(1U, tally.sent);
    if (tally.takenUp < judgedTakeUps || resumed >= begun / 2)
        return {};
    return {std::to_string(tally.resumed) + " of " + std::to_string(tally.takenUp) + " streams taken up go on, "
            + std::to_string(tally.begun) + " of " + std::to_string(tally.sent) + " new ones begin"};
}

/// Runs one seed. Returns the number of problems, which it prints.
std::size_t run(unsigned seed)
{
    const auto size = drawSize(seed);
    Fleet fleet(size, seed);
    fleet.waitUntilReady();
    fleet.countOnlyBindingTakeUps();
    fleet.probeConfigurations();
    makeSomeLong(fleet);
    fleet.setLoad(ordinaryLoad);
    fleet.run(warmUp);
    Soak soak(fleet, seed);
    soak.schedule();
    fleet.run(disturbances + recovery);
    fleet.clearTallies();
    fleet.run(judged);
    fleet.setLoad({});
    fleet.run(seconds{2});
    auto problems = fleet.finish();
    const auto streams = fleet.streamCallers().takeTally();
    std::ranges::move(takeUpProblems(streams), std::back_inserter(problems));
    if (const auto joined = fleet.streamCallers().joinedStreams(); joined > toleratedJoins)
        problems.push_back(std::to_string(joined) + " streams have events of two software versions");
    for (const auto kind : {CallerRequest::Read, CallerRequest::Book, CallerRequest::Work, CallerRequest::Stream}) {
        const auto &tally = fleet.tally(kind);
        if (tally.served < servedAfterwards * tally.sent)
            problems.push_back(std::to_string(tally.served) + " of " + std::to_string(tally.sent)
                               + " requests of one kind are served after the disturbances");
    }
    std::printf("seed %u: %u nodes, %u engines, %u workers, %u streams taken up, %zu problems\n", seed, size.nodes,
                size.engines, size.workers, streams.takenUp, problems.size());
    printProblems(problems);
    if (!problems.empty() && absl::GetFlag(FLAGS_keep))
        fleet.keepFiles();
    return problems.size();
}

} // namespace

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage("disturbs real gateways at random and checks what callers and upstreams see");
    absl::ParseCommandLine(argc, argv);
    return runSeeds("gateway-soak", absl::GetFlag(FLAGS_first_seed), absl::GetFlag(FLAGS_runs), run);
}
