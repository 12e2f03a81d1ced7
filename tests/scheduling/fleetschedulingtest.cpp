#include "scheduling/waitingqueue.h"

#include "support/table.h"

#include <cmath>
#include <memory>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Scheduling;

namespace
{

constexpr Duration tick = std::chrono::milliseconds{10};
constexpr Duration serviceTime = std::chrono::milliseconds{400};
constexpr Duration objective = std::chrono::milliseconds{600}; ///< Longest wait of a call that is in time.
constexpr Duration patience = std::chrono::milliseconds{1200}; ///< Longest wait of a call that is sent at all.
constexpr Duration reportInterval = std::chrono::milliseconds{400};
constexpr unsigned slots = 12; ///< Of each engine.
constexpr double capacityPerEngine = slots / 0.4; ///< In calls per second.
constexpr double lostReports = 0.1;
constexpr std::array<unsigned, 2> urgencies{1, 4};

struct FleetCase {
    const char *name;
    unsigned nodes;
    double load; ///< Offered load as a multiple of the engines' capacity.
    double urgentPart; ///< Part of the calls that is urgent.
    double urgentNodes; ///< Part of the nodes that get urgent calls; the others get less urgent ones only.
    double urgentInTime; ///< Fraction that is to be in time. 0.9 where they fit in; less where the nodes have to learn.
};

const FleetCase fleets[] = {
    {"one node at twice the capacity", 1, 2, 0.3, 1, 0.9},
    {"3 nodes at twice the capacity", 3, 2, 0.3, 1, 0.9},
    {"76 nodes at twice the capacity", 76, 2, 0.3, 1, 0.9},
    {"301 nodes at twice the capacity", 301, 2, 0.3, 1, 0.9},
    {"urgent calls alone exceed the capacity", 3, 2, 0.75, 1, 0},
    {"urgent calls of 76 nodes alone exceed the capacity", 76, 2, 0.75, 1, 0},
    {"urgent calls at one node of 3", 3, 2, 0.3, 0.34, 0.8},
    {"urgent calls at a third of 76 nodes", 76, 2, 0.3, 0.34, 0.8},
    {"enough capacity", 76, 0.7, 0.3, 1, 0.99},
};

struct Call {
    unsigned kind = 0; ///< Index in urgencies.
    Instant arrival{};
};

struct Counts {
    double arrived = 0;
    double served = 0;
    double inTime = 0;
};

struct Node {
    CapacityReserve reserve;
    WaitingQueue<const Call *> queue{reserve};
    std::vector<std::unique_ptr<Call>> calls;
    std::uint64_t sequence = 0;
};

/// Nodes that serve calls of two urgencies at shared engines, one for two nodes. Each node decides alone, and knows the
/// others from their reports.
class Fleet
{
public:
    explicit Fleet(const FleetCase &row)
        : m_case(row)
        , m_nodes(row.nodes)
        , m_ends(std::max(1U, row.nodes / 2))
    {
    }

    void run(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            for (auto &ends : m_ends)
                std::erase_if(ends, [&](Instant at) { return at <= m_now; });
            if ((m_now - Instant{}) % reportInterval == Duration{})
                exchangeReports();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                const auto number = (i * 7 + static_cast<std::size_t>((m_now - Instant{}) / tick)) % m_nodes.size();
                accept(m_nodes[number], static_cast<double>(number) < std::ceil(m_case.urgentNodes * m_case.nodes));
                serve(m_nodes[number]);
            }
        }
    }

    std::array<Counts, 2> counts;

private:
    void accept(Node &node, bool isUrgentNode)
    {
        const double perTick = m_case.load * capacityPerEngine * static_cast<double>(m_ends.size()) / m_case.nodes
                               * std::chrono::duration<double>(tick).count();
        const std::array<double, 2> perKind{isUrgentNode ? perTick * m_case.urgentPart * m_case.nodes
                                                               / std::ceil(m_case.urgentNodes * m_case.nodes)
                                                         : 0,
                                            perTick * (1 - m_case.urgentPart)};
        for (unsigned kind = 0; kind < urgencies.size(); ++kind) {
            const auto calls = perKind[kind] > 0 ? std::poisson_distribution<unsigned>(perKind[kind])(m_random) : 0;
            for (unsigned i = 0; i < calls; ++i) {
                node.calls.push_back(std::make_unique<Call>(Call{kind, m_now}));
                node.queue.begin(node.calls.back().get(),
                                 {"s", {urgencies[kind], m_now + objective, m_now + patience}, m_now}, true, m_now);
                node.reserve.onArrived("s", urgencies[kind], 100, m_now);
                ++counts[kind].arrived;
            }
        }
    }

    void serve(Node &node)
    {
        node.queue.report(m_now);
        for (const auto *call : node.queue.inOrder(m_now)) {
            const auto urgency = urgencies[call->kind];
            const double share
                = node.reserve.share("s", urgency, 100, m_case.nodes, m_now, [&] { return utilisation(); });
            auto &ends = m_ends[std::uniform_int_distribution<std::size_t>(0, m_ends.size() - 1)(m_random)];
            if (m_now - call->arrival > patience) {
                node.reserve.onRefused("s", urgency, m_now);
                end(node, call);
            } else if (static_cast<double>(ends.size()) < std::ceil(share * slots)) {
                ends.push_back(m_now + serviceTime);
                node.reserve.onStarted("s", urgency, 100, m_now);
                ++counts[call->kind].served;
                counts[call->kind].inTime += m_now - call->arrival <= objective ? 1 : 0;
                end(node, call);
            }
        }
    }

    void end(Node &node, const Call *call)
    {
        node.queue.end(call, m_now);
        std::erase_if(node.calls, [&](const auto &each) { return each.get() == call; });
    }

    double utilisation() const
    {
        std::size_t running = 0;
        for (const auto &ends : m_ends)
            running += ends.size();
        return static_cast<double>(running) / static_cast<double>(slots * m_ends.size());
    }

    void exchangeReports()
    {
        std::bernoulli_distribution isLost(lostReports);
        for (auto &from : m_nodes) {
            const auto &waiting = from.reserve.tellWaiting(m_now);
            const auto name = "n" + std::to_string(&from - m_nodes.data());
            ++from.sequence;
            for (auto &to : m_nodes) {
                if (&to != &from && !isLost(m_random))
                    to.reserve.onPeerWaiting(name, 1, from.sequence, waiting, m_now);
            }
        }
    }

    const FleetCase &m_case;
    std::mt19937 m_random{1};
    Instant m_now{};
    std::vector<Node> m_nodes;
    std::vector<std::vector<Instant>> m_ends; ///< Of the calls at each engine.
};

} // namespace

/// Guards against urgent calls that are served worse than less urgent ones, less urgent ones that starve, and capacity
/// that is left unused while calls wait.
TABLE_TEST(FleetScheduling, servesUrgentCallsInTime, fleets)
{
    Fleet fleet(row);
    fleet.run(std::chrono::seconds{4});
    fleet.counts = {};
    constexpr Duration time = std::chrono::seconds{6};
    fleet.run(time);
    const auto &[urgent, other] = fleet.counts;
    const double urgentInTime = urgent.inTime / urgent.arrived;
    const double otherInTime = other.inTime / other.arrived;
    const double served = (urgent.served + other.served) / (urgent.arrived + other.arrived);
    cr_log_info("%s: in time %.3f of urgent, %.3f of others; served %.3f of urgent, %.3f of others, %.3f of all",
                row.name, urgentInTime, otherInTime, urgent.served / urgent.arrived, other.served / other.arrived,
                served);
    cr_assert_geq(urgentInTime, otherInTime, "%s: %f and %f", row.name, urgentInTime, otherInTime);
    cr_assert_geq(urgentInTime, row.urgentInTime, "%s: %f", row.name, urgentInTime);
    cr_assert_geq(other.served / other.arrived, served / 4, "%s: %f of %f", row.name, other.served / other.arrived,
                  served);
    cr_assert_geq((urgent.inTime + other.inTime) / (urgent.arrived + other.arrived), 0.6 * std::min(1.0, 1 / row.load),
                  "%s", row.name);
    cr_assert_geq(served, 0.85 * std::min(1.0, 1 / row.load), "%s: %f", row.name, served);
}
