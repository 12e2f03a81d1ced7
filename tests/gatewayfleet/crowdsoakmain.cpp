#include "gatewayfleet/gatewayfleet.h"
#include "gatewayfleet/soakrunner.h"
#include "processes/processstatus.h"
#include "processes/untrustedcallers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
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
using Processes::UntrustedBytes;
using Processes::UntrustedCallers;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t memoryMb = 64; ///< Of each node's machine, as the settings state it at first.
constexpr std::size_t maxDescriptors = 600; ///< Of each node.
constexpr std::size_t maxBody = 1024 * kilobyte;
constexpr std::size_t chunk = 64 * kilobyte;
constexpr Duration warmUp = seconds{5};
constexpr Duration disturbances = seconds{8};
constexpr Duration recovery = seconds{4}; ///< Until restarted nodes are ready again.
constexpr Duration step = milliseconds{200};
constexpr unsigned maxAttempts = 25; ///< Of the ordinary request, one a step.
constexpr Load ordinaryLoad{15, 6, 6};

/// The callers' time-outs are long, so that the nodes' memory is bounded by its limits alone.
const std::string limits = R"({"header_bytes": 16384, "max_body_bytes": )" + std::to_string(maxBody)
                           + R"(, "header_timeout_ms": 60000, "idle_timeout_ms": 60000})";

const std::string head = "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd:{n}\r\n";
const std::string legalHead = head + "Content-Length: " + std::to_string(maxBody) + "\r\n\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string piece(chunk, 'x');
const std::string largeChunk = "10000\r\n" + piece + "\r\n";

struct Crowd {
    std::size_t callers;
    UntrustedBytes bytes; ///< That each of them sends.
};

const std::array<Crowd, 8> crowds{{
    {64, {legalHead, piece, maxBody / chunk - 1}},
    {64, {legalHead, piece, maxBody / chunk}},
    {64, {legalHead, piece, maxBody / chunk, false, {}, true}},
    {64, {chunkedHead, largeChunk, maxBody / chunk - 1}},
    {32, {chunkedHead, Processes::oneByteChunks(chunk), maxBody / chunk - 1}},
    {32, {chunkedHead, largeChunk, 4 * maxBody / chunk}},
    {200, {head + "X-Long: ", std::string(kilobyte, 'x'), 1, true}},
    {400, {}},
}};

std::string machineOf(std::size_t megabytes)
{
    return "{memory_mb: " + std::to_string(megabytes) + ", max_descriptors: " + std::to_string(maxDescriptors) + '}';
}

/// Draws what happens to one fleet, and checks what its nodes take meanwhile.
class CrowdSoak
{
public:
    explicit CrowdSoak(Fleet &fleet)
        : m_fleet(fleet)
    {
    }

    /// Schedules crowds and disturbances, single ones and series that overlap, and runs them.
    void run()
    {
        for (std::size_t number = 0; number < 3 + below(4); ++number)
            m_fleet.after(below(disturbances), [this] { sendCrowd(); });
        for (std::size_t number = 0; number < 3 + below(6); ++number)
            m_fleet.after(below(disturbances), [this] { disturb(); });
        for (auto left = disturbances; left > Duration::zero(); left -= step) {
            m_fleet.run(step);
            check();
        }
    }

    /// Ends the crowds, and checks that each node answers an ordinary request once it is back.
    std::vector<std::string> finish()
    {
        m_callers.clear();
        m_fleet.run(recovery);
        for (std::size_t node = 0; node < m_fleet.nodes(); ++node) {
            if (!isOrdinaryRequestAnswered(node))
                m_problems.push_back("node " + std::to_string(node) + " answers no ordinary request afterwards");
        }
        check();
        return std::move(m_problems);
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

    /// Lets a crowd use one node, or all, until it leaves or the disturbances end.
    void sendCrowd()
    {
        const auto &crowd = crowds.at(below(crowds.size()));
        const auto first = below(m_fleet.nodes());
        const auto count = below(3) == 0 ? m_fleet.nodes() : 1;
        const auto time = seconds{1} + below(disturbances);
        for (std::size_t number = 0; number < count; ++number) {
            const auto node = (first + number) % m_fleet.nodes();
            const auto callers = std::make_shared<UntrustedCallers>(m_fleet.loop(), m_fleet.callersOf(node),
                                                                    crowd.callers, crowd.bytes);
            m_callers.push_back(callers);
            m_fleet.allowUnread(node);
            m_fleet.after(time, [this, callers] { std::erase(m_callers, callers); });
        }
    }

    void disturb()
    {
        const auto node = below(m_fleet.nodes());
        switch (below(7)) {
        case 0:
            return m_fleet.restart(node, below(seconds{1}));
        case 1:
            return m_fleet.freeze(node, milliseconds{100} + below(seconds{2}));
        case 2:
            return stopSeries(node);
        case 3:
            return changeConfigurations();
        default:
            return changeMemory();
        }
    }

    /// Stops some nodes in turn while callers go on to use their connections.
    void stopSeries(std::size_t first)
    {
        const auto pause = below(seconds{2});
        for (std::size_t i = 0; i < 1 + below(m_fleet.nodes() - 1); ++i) {
            m_fleet.after(static_cast<long>(i) * pause,
                          [this, node = (first + i) % m_fleet.nodes()] { m_fleet.stopWithCallers(node); });
        }
    }

    void changeConfigurations()
    {
        for (unsigned i = 0; i < 1 + below(3); ++i)
            m_fleet.after(i * below(seconds{1}), [this] { m_fleet.changeConfiguration(); });
    }

    /// Lowers the memory of all nodes, and restores it some time later.
    void changeMemory()
    {
        const auto lowered = memoryMb / 4 + below(memoryMb / 2);
        setMemory(lowered);
        m_fleet.after(below(seconds{3}), [this] { setMemory(memoryMb); });
    }

    void setMemory(std::size_t megabytes)
    {
        for (std::size_t node = 0; node < m_fleet.nodes(); ++node) {
            m_fleet.setMachine(node, machineOf(megabytes));
            m_fleet.reload(node);
        }
    }

    void check()
    {
        for (std::size_t node = 0; node < m_fleet.nodes(); ++node) {
            const auto id = m_fleet.processOf(node).id();
            const auto peak = Processes::memoryOf(id, "VmHWM");
            const auto open = Processes::descriptorsOf(id);
            if (peak > memoryMb * kilobyte)
                report(node, "has taken " + std::to_string(peak) + " kB");
            if (open > maxDescriptors)
                report(node, "has " + std::to_string(open) + " descriptors open");
        }
    }

    void report(std::size_t node, const std::string &problem)
    {
        m_problems.push_back("node " + std::to_string(node) + ' ' + problem);
    }

    bool isOrdinaryRequestAnswered(std::size_t node)
    {
        Relay::UpstreamClient client(m_fleet.loop());
        const auto isAnswered = std::make_shared<bool>(false);
        for (unsigned attempt = 0; attempt < maxAttempts && !*isAnswered; ++attempt) {
            client.fetch({m_fleet.callersOf(node), {}},
                         {"GET", "/read/1", {{"Host", "h"}, {"X-Request-Id", "s:0"}}, {}},
                         [isAnswered](const Relay::WholeResponse &response) {
                             *isAnswered = *isAnswered || response.head.status == 200;
                         },
                         {});
            m_fleet.run(step);
            client.sweep(BootClock{}.now());
        }
        return *isAnswered;
    }

    Fleet &m_fleet;
    std::vector<std::shared_ptr<UntrustedCallers>> m_callers;
    std::vector<std::string> m_problems;
};

/// Runs one seed. Returns the number of problems, which it prints.
std::size_t run(unsigned seed)
{
    std::mt19937_64 random(seed);
    const unsigned nodes = absl::GetFlag(FLAGS_nodes);
    FleetSize size{nodes > 0 ? nodes : 2 + static_cast<unsigned>(random() % 5), 2, 4};
    size.machine = machineOf(memoryMb);
    size.limits = limits;
    Fleet fleet(size, seed);
    fleet.waitUntilReady();
    fleet.setLoad(ordinaryLoad);
    fleet.run(warmUp);
    CrowdSoak soak(fleet);
    soak.run();
    auto problems = soak.finish();
    fleet.setLoad({});
    fleet.run(seconds{2});
    std::ranges::move(fleet.finish(), std::back_inserter(problems));
    std::printf("seed %u: %u nodes, %zu problems\n", seed, size.nodes, problems.size());
    printProblems(problems);
    if (!problems.empty() && absl::GetFlag(FLAGS_keep))
        fleet.keepFiles();
    return problems.size();
}

} // namespace

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage("lets crowds of untrusted callers use gateways that are disturbed at random");
    absl::ParseCommandLine(argc, argv);
    return runSeeds("crowd-soak", absl::GetFlag(FLAGS_first_seed), absl::GetFlag(FLAGS_runs), run);
}
