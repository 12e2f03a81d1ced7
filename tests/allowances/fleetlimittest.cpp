#include "allowances/fleetallowance.h"

#include "support/table.h"

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>
#include <utility>

using namespace Gypsumtally;
using namespace Gypsumtally::Allowances;

namespace
{

constexpr Duration step = std::chrono::milliseconds{10};
constexpr Duration reportInterval = std::chrono::milliseconds{50};
constexpr Duration digestInterval = std::chrono::milliseconds{450};
constexpr Duration heardTime = std::chrono::milliseconds{1200}; ///< As in MemberTable::heardShare().
constexpr Duration window = std::chrono::seconds{8};
constexpr Instant start{std::chrono::seconds{100}};
constexpr Instant changeAt = start + std::chrono::seconds{16}; ///< A failure or a changed limit.
constexpr Instant floodEnd = start + std::chrono::seconds{34};
constexpr Instant end = start + std::chrono::seconds{40};
constexpr Duration configurationTime = std::chrono::seconds{4};
constexpr std::array<double, 3> costs{200, 714, 1632};

const std::string organisation = "o";

/// What happens at changeAt.
enum class Change {
    None,
    Cut, ///< A third of the nodes is cut off from the others, for 10 s.
    KillAll, ///< All nodes are replaced by new processes.
    KillOne,
    HalveLimit, ///< Nodes learn of it within 4 s.
};

struct FleetCase {
    const char *name;
    std::size_t nodes;
    double rate; ///< And burst, in tokens.
    double usualLoad; ///< In relation to the rate.
    double floodLoad;
    Change change = Change::None;
    bool isUneven = false; ///< Callers prefer few nodes.
    double loss = 0; ///< Part of the deliveries of reports.
    int floodAfter = 12; ///< Seconds; 16 is the time of the change.
};

constexpr double large = 285911;
constexpr double small = 20000;

const FleetCase fleets[] = {
    {"1 node", 1, large, 0.5, 7},
    {"16 nodes", 16, large, 0.5, 7},
    {"76 nodes", 76, large, 0.5, 7},
    {"301 nodes", 301, large, 0.5, 7},
    {"1 node, small", 1, small, 0.5, 7},
    {"16 nodes, small", 16, small, 0.5, 7},
    {"76 nodes, small", 76, small, 0.5, 7},
    {"301 nodes, small", 301, small, 0.5, 7},
    {"nearly the limit", 76, large, 0.95, 0.95},
    {"nearly the limit, uneven", 76, large, 0.95, 0.95, Change::None, true},
    {"nearly the limit, small, uneven", 76, small, 0.95, 0.95, Change::None, true},
    {"uneven", 76, large, 0.9, 6, Change::None, true},
    {"uneven, small", 76, small, 0.9, 6, Change::None, true},
    {"cut", 76, large, 0.9, 6, Change::Cut},
    {"cut after a burst", 76, large, 0.5, 7, Change::Cut},
    {"cut during a burst", 76, large, 0.5, 7, Change::Cut, false, 0, 15},
    {"cut before a burst", 76, large, 0.5, 7, Change::Cut, false, 0, 16},
    {"cut before a burst, small", 76, small, 0.5, 7, Change::Cut, false, 0, 16},
    {"cut before a burst, 16 nodes", 16, large, 0.5, 7, Change::Cut, false, 0, 16},
    {"cut, small, uneven", 76, small, 0.9, 6, Change::Cut, true},
    {"cut, 301 nodes", 301, large, 0.9, 6, Change::Cut},
    {"all killed", 76, large, 0.5, 7, Change::KillAll},
    {"all killed before a burst", 76, large, 0.5, 7, Change::KillAll, false, 0, 16},
    {"all killed during a burst", 76, large, 0.5, 7, Change::KillAll, false, 0, 15},
    {"all killed, small", 76, small, 0.5, 7, Change::KillAll},
    {"one killed", 76, large, 0.9, 6, Change::KillOne, true},
    {"reports lost", 76, large, 0.9, 7, Change::None, true, 0.2},
    {"reports lost, small", 76, small, 0.9, 7, Change::None, true, 0.2},
    {"limit halved", 76, large, 0.9, 6, Change::HalveLimit},
    {"limit halved, small", 16, small, 0.9, 6, Change::HalveLimit},
};

struct Node {
    FleetAllowance allowance;
    std::int64_t startedAt = 1;
    std::uint64_t sequence = 0;
    Instant digestAt{};
    Instant learnsAt{}; ///< Of the changed limit.
    std::vector<Instant> heard; ///< By node.
    bool isAlive = true;
};

struct Report {
    std::size_t from = 0;
    PeerSums sums;
};

struct Retry {
    Instant at;
    double cost = 0;
    unsigned attempt = 0;

    bool operator<(const Retry &other) const
    {
        return at > other.at;
    }
};

/// A fleet under load from callers, a part of whom come back when they are told to.
class Fleet
{
public:
    explicit Fleet(const FleetCase &setup)
        : m_setup(setup)
        , m_nodes(setup.nodes)
        , m_inTransit(maxDelaySteps + 1)
    {
        std::vector<double> weights;
        for (std::size_t i = 0; i < setup.nodes; ++i)
            weights.push_back(setup.isUneven ? 1 / static_cast<double>(i + 1) : 1);
        m_entry = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        for (auto &node : m_nodes) {
            node.heard.resize(setup.nodes);
            node.digestAt = start + digestInterval * (m_random() % 100) / 100;
            node.learnsAt = changeAt + configurationTime * (m_random() % 100) / 100;
            node.allowance.setLimits({{organisation, limit()}}, start);
        }
    }

    void run()
    {
        for (m_now = start; m_now < end; m_now += step) {
            if (m_now == changeAt)
                change();
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                tick(i);
            call();
            check();
        }
    }

    double highest() const
    {
        return m_highest;
    }

    /// Returns the part of what one bucket for all would have granted that the fleet did not grant.
    double unused() const
    {
        return 1 - m_granted / m_ideal;
    }

private:
    static constexpr std::size_t maxDelaySteps = 10;
    static constexpr unsigned maxAttempts = 3;

    Limit limit() const
    {
        return {m_setup.rate, m_setup.rate, 200, true};
    }

    bool isCut(std::size_t from, std::size_t to) const
    {
        const bool isDuring = m_now >= changeAt && m_now < changeAt + std::chrono::seconds{10};
        return m_setup.change == Change::Cut && isDuring && (from % 3 == 0) != (to % 3 == 0);
    }

    void change()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_setup.change == Change::KillOne && i == 0)
                m_nodes[i].isAlive = false;
            if (m_setup.change != Change::KillAll)
                continue;
            m_nodes[i].allowance = {};
            m_nodes[i].allowance.setLimits({{organisation, limit()}}, m_now);
            ++m_nodes[i].startedAt;
            m_nodes[i].sequence = 0;
            std::ranges::fill(m_nodes[i].heard, Instant{});
        }
    }

    void tick(std::size_t index)
    {
        auto &node = m_nodes[index];
        if (!node.isAlive || (m_now - start + step * index) % reportInterval != Duration{})
            return;
        if (m_setup.change == Change::HalveLimit && m_now >= node.learnsAt)
            node.allowance.setLimits({{organisation, {limit().perSecond / 2, limit().burst / 2, 200, true}}}, m_now);
        const auto heard = std::ranges::count_if(node.heard, [&](Instant time) { return m_now - time <= heardTime; });
        node.allowance.setHeardShare(static_cast<double>(1 + heard) / static_cast<double>(m_nodes.size()), m_now);
        const bool isWhole = m_now >= node.digestAt;
        if (!isWhole && !node.allowance.hasChangedSums())
            return;
        const auto changed = node.allowance.takeChangedSums(m_now);
        const PeerSums sums{"n" + std::to_string(index), node.startedAt, ++node.sequence, isWhole,
                            isWhole ? node.allowance.ownSums() : changed};
        if (isWhole)
            node.digestAt = m_now + digestInterval;
        m_inTransit[m_random() % (maxDelaySteps / 2 + 1) + maxDelaySteps / 2].push_back({index, sums});
    }

    void deliver()
    {
        for (const auto &report : m_inTransit.front()) {
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                auto &node = m_nodes[to];
                if (to == report.from || !node.isAlive || isCut(report.from, to) || chance(m_setup.loss))
                    continue;
                node.allowance.onPeerSums(report.sums, m_now);
                node.heard[report.from] = m_now;
            }
        }
        m_inTransit.pop_front();
        m_inTransit.emplace_back();
    }

    void call()
    {
        while (!m_retries.empty() && m_retries.top().at <= m_now) {
            const auto retry = m_retries.top();
            m_retries.pop();
            request(retry.cost, retry.attempt);
        }
        const double load = m_now >= start + std::chrono::seconds{m_setup.floodAfter} && m_now < floodEnd
                                ? m_setup.floodLoad
                                : m_setup.usualLoad;
        const double perStep = load * m_setup.rate * std::chrono::duration<double>(step).count() / meanCost();
        for (auto count = std::poisson_distribution<unsigned>(perStep)(m_random); count > 0; --count)
            request(costs[m_random() % costs.size()], 1);
    }

    static double meanCost()
    {
        return (costs[0] + costs[1] + costs[2]) / static_cast<double>(costs.size());
    }

    bool chance(double probability)
    {
        return probability > 0 && std::bernoulli_distribution(probability)(m_random);
    }

    void request(double cost, unsigned attempt)
    {
        const auto index = m_entry(m_random);
        auto &node = m_nodes[index];
        if (!node.isAlive)
            return;
        grantIdeally(cost);
        const auto decision = node.allowance.take(organisation, cost, m_now, std::chrono::seconds{4});
        if (decision.isGranted) {
            m_granted += cost;
            m_recent.push_back({m_now, cost});
            m_inWindow += cost;
        } else if (attempt < maxAttempts && decision.retryAfter <= std::chrono::seconds{4}) {
            m_retries.push({m_now + decision.retryAfter, cost, attempt + 1});
        }
    }

    /// The same request at one bucket for the whole fleet.
    void grantIdeally(double cost)
    {
        const double rate = m_setup.change == Change::HalveLimit && m_now >= changeAt ? m_setup.rate / 2 : m_setup.rate;
        const auto time = m_now - std::exchange(m_idealAt, m_now);
        m_idealLevel = std::min(rate, m_idealLevel + rate * std::chrono::duration<double>(time).count());
        if (m_idealLevel < cost)
            return;
        m_idealLevel -= cost;
        m_ideal += cost;
    }

    void check()
    {
        while (!m_recent.empty() && m_recent.front().first <= m_now - window) {
            m_inWindow -= m_recent.front().second;
            m_recent.pop_front();
        }
        const bool isHalved = m_setup.change == Change::HalveLimit && m_now >= changeAt + configurationTime + window;
        const double rate = isHalved ? m_setup.rate / 2 : m_setup.rate;
        const double bound = (rate * 8 + rate) * 1.1 + 11000;
        m_highest = std::max(m_highest, m_inWindow / bound);
    }

    FleetCase m_setup;
    std::mt19937_64 m_random{7};
    std::vector<Node> m_nodes;
    std::discrete_distribution<std::size_t> m_entry;
    std::deque<std::vector<Report>> m_inTransit; ///< By the steps until they arrive.
    std::priority_queue<Retry> m_retries;
    std::deque<std::pair<Instant, double>> m_recent;
    Instant m_now = start;
    double m_inWindow = 0;
    double m_highest = 0;
    double m_granted = 0;
    double m_ideal = 0;
    double m_idealLevel = 0;
    Instant m_idealAt = start;
};

} // namespace

/// Guards against nodes that together exceed an organisation's limit, or that leave more than a tenth of it unused.
TABLE_TEST(FleetLimit, isKeptAndUsed, fleets)
{
    Fleet fleet(row);
    fleet.run();
    cr_log_info("%s: highest window %.3f of the bound, unused %.3f", row.name, fleet.highest(), fleet.unused());
    cr_expect_leq(fleet.highest(), 1.0, "%s: %.3f of the bound", row.name, fleet.highest());
    cr_expect_leq(fleet.unused(), 0.1, "%s: %.3f unused", row.name, fleet.unused());
}
