#include "gateway/sendschedule.h"

#include "gatewayfleet/requestlimitcheck.h"
#include "support/simulation.h"
#include "support/table.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Testing::milliseconds;
using Testing::seconds;

namespace
{

constexpr Instant now{std::chrono::seconds{100}};

struct Entry {
    const char *node;
    int at; ///< In ms from now.
};

struct NextCase {
    const char *name;
    double perSecond;
    std::vector<Entry> entries;
    std::optional<int> next; ///< In ms from now, for node "a"; nothing if it has its share.
};

const NextCase nextTimes[] = {
    {"empty", 2, {}, 0},
    {"after a request that was just sent", 2, {{"b", 0}}, 440},
    {"after one that was sent earlier", 2, {{"b", -600}}, 0},
    {"after several at once", 2, {{"b", -10}, {"c", -10}, {"d", 0}}, 1430},
    {"before a reserved time", 2, {{"b", 700}}, 0},
    {"between reserved times", 2, {{"b", 0}, {"b", 1200}}, 440},
    {"after reserved times", 2, {{"b", 0}, {"c", 500}, {"d", 1000}}, 1440},
    {"own share is reserved", 2, {{"a", 100}, {"a", 600}, {"a", 1100}, {"b", 1600}}, {}},
    {"own share is reserved, but a time is free now", 2, {{"a", 600}, {"a", 1100}, {"a", 1600}, {"b", 2100}}, 0},
    {"share of many waiting nodes", 1, {{"a", 100}, {"b", 1100}, {"c", 2100}, {"d", 3100}}, {}},
    {"one for each at least", 1, {{"e", 100}, {"b", 1100}, {"c", 2100}, {"d", 3100}}, 4040},
    {"no requests are accepted", 0, {{"b", 0}}, 3940},
    {"high limit", 100, {{"b", 0}, {"b", 0}}, 0},
};

} // namespace

TABLE_TEST(SendSchedule, nextTime, nextTimes)
{
    SendSchedule schedule;
    for (const auto &entry : row.entries)
        schedule.add(entry.node, now + milliseconds{entry.at}, now);
    const auto next = schedule.nextFor("a", row.perSecond, now, now);
    cr_assert_eq(next.has_value(), row.next.has_value(), "%s", row.name);
    if (next)
        cr_assert_eq((*next - now).count() / 1000, *row.next, "%s: %d", row.name,
                     static_cast<int>((*next - now).count() / 1000));
}

Test(SendSchedule, removesOneOfTheNodesRequests)
{
    SendSchedule schedule;
    schedule.add("a", now + milliseconds{100}, now);
    schedule.add("b", now + milliseconds{600}, now);
    schedule.remove("a", now + milliseconds{600});
    schedule.remove("c", now + milliseconds{600});
    cr_assert_eq((schedule.nextFree(2, now) - now).count() / 1000, 1040);
    schedule.remove("b", now + milliseconds{620});
    schedule.remove("a", now + milliseconds{100});
    cr_assert(schedule.nextFree(2, now) == now);
}

Test(SendSchedule, requestsForOneTimeAreDueInTurn)
{
    SendSchedule schedule;
    const auto at = now + milliseconds{500};
    for (const auto *node : {"c", "a", "b"})
        schedule.add(node, at, now);
    cr_assert(schedule.dueAt("a", 2, at) == at);
    cr_assert(schedule.dueAt("b", 2, at) == at + milliseconds{440});
    cr_assert(schedule.dueAt("c", 2, at) == at + milliseconds{940});
}

Test(SendSchedule, requestIsDueLaterAfterTheLimitWasLowered)
{
    SendSchedule schedule;
    const auto at = now + milliseconds{500};
    schedule.add("b", now, now);
    schedule.add("a", at, now);
    cr_assert(schedule.dueAt("a", 2, at) == at);
    cr_assert(schedule.dueAt("a", 1, at) == at + milliseconds{440});
}

namespace
{

struct EarlierCase {
    unsigned requests; ///< Of all nodes, in the second before the limit began.
    double perSecond;
    int next; ///< In ms after the begin.
};

const EarlierCase earlierRequests[] = {{0, 2, 0}, {5, 2, 0}, {7, 2, 940}, {24, 5, 2540}, {100, 0, 4060}};

} // namespace

TABLE_TEST(SendSchedule, floodBeforeTheLimitCounts, earlierRequests)
{
    SendSchedule schedule;
    for (unsigned i = 0; i < row.requests; ++i)
        schedule.addUnlimited(now - milliseconds{500});
    schedule.begin(now);
    cr_assert_eq(schedule.takeEarlier(now), row.requests);
    cr_assert_eq(schedule.takeEarlier(now), 0U, "told once");
    cr_assert_eq((schedule.nextFree(row.perSecond, now) - now).count() / 1000, row.next);
}

namespace
{

/// Nodes with views of one upstream's schedule, which learn of each other's requests over a network that delays and
/// loses messages and cuts off nodes, in virtual time.
class SharedSchedule
{
public:
    SharedSchedule(std::uint64_t seed, unsigned nodes, Duration longestDelay, double loss)
        : m_simulation(seed)
        , m_longestDelay(longestDelay)
        , m_loss(loss)
    {
        for (unsigned number = 0; number < nodes; ++number)
            m_nodes.push_back(std::make_unique<Node>(Node{"n" + std::to_string(number), {}, false, {}}));
    }

    /// Sets the limit in the view of all nodes.
    void setLimit(double perSecond)
    {
        m_limit = perSecond;
        record.onStated(m_simulation.now(), perSecond);
        record.onDelivered(m_simulation.now(), perSecond);
    }

    /// Sends @p requests requests at once, and then sets the limit in the view of all nodes.
    void floodThenLimit(unsigned requests, double perSecond)
    {
        for (unsigned i = 0; i < requests; ++i) {
            m_nodes[0]->schedule.addUnlimited(m_simulation.now());
            send(*m_nodes[0]);
        }
        setLimit(perSecond);
        for (auto &node : m_nodes)
            node->schedule.begin(m_simulation.now());
        const auto earlier = m_nodes[0]->schedule.takeEarlier(m_simulation.now());
        for (std::size_t number = 1; number < m_nodes.size(); ++number)
            m_nodes[number]->schedule.addEarlier(earlier);
    }

    /// Lets @p perSecond requests a second arrive at random nodes for @p time.
    void run(double perSecond, Duration time)
    {
        const auto end = m_simulation.now() + time;
        arrive(perSecond, end);
        m_simulation.run(end);
    }

    /// Lets only the first @p nodes have requests.
    void restrictTo(std::size_t nodes)
    {
        m_busyNodes = nodes;
    }

    void setCut(std::size_t node, bool isCut)
    {
        m_nodes[node]->isCut = isCut;
    }

    Instant now() const
    {
        return m_simulation.now();
    }

    unsigned sentBy(std::size_t node) const
    {
        return m_nodes[node]->sent;
    }

    GatewayFleet::RequestLimitRecord record;

private:
    struct Node {
        std::string name;
        SendSchedule schedule;
        bool isCut = false;
        unsigned sent = 0;
    };

    static constexpr Duration patience = seconds{3}; ///< Longest useful wait of a request.

    void arrive(double perSecond, Instant end)
    {
        const auto pause
            = Duration{static_cast<std::int64_t>(2e3 * static_cast<double>(m_simulation.below(1000)) / perSecond)};
        if (m_simulation.now() + pause >= end)
            return;
        m_simulation.after(pause, [this, perSecond, end] {
            const auto count = m_busyNodes == 0 ? m_nodes.size() : m_busyNodes;
            request(*m_nodes[m_simulation.below(count)], m_simulation.now() + patience);
            arrive(perSecond, end);
        });
    }

    void request(Node &node, Instant latest)
    {
        const auto now = m_simulation.now();
        const auto next = node.schedule.nextFor(node.name, m_limit, now, now);
        if (!next || *next > latest)
            return;
        announce(node, *next);
        if (*next == now)
            return send(node);
        await(node, *next, latest);
    }

    /// Sends the request that is scheduled for @p at when it is due, or drops it if that is later than @p latest.
    void await(Node &node, Instant at, Instant latest)
    {
        m_simulation.after(node.schedule.dueAt(node.name, m_limit, at) - m_simulation.now(), [this, &node, at, latest] {
            const auto due = node.schedule.dueAt(node.name, m_limit, at);
            if (due <= m_simulation.now())
                return send(node);
            if (due <= latest)
                return await(node, at, latest);
            withdraw(node, at);
        });
    }

    void send(Node &node)
    {
        ++node.sent;
        record.onArrival(m_simulation.now(), node.name);
    }

    void announce(Node &node, Instant at)
    {
        node.schedule.add(node.name, at, m_simulation.now());
        tellOthers(node, [this, name = node.name, at](Node &other, Duration delay) {
            other.schedule.add(name, at + delay, m_simulation.now());
        });
    }

    void withdraw(Node &node, Instant at)
    {
        node.schedule.remove(node.name, at);
        tellOthers(node, [name = node.name, at](Node &other, Duration) { other.schedule.remove(name, at); });
    }

    template<typename Effect>
    void tellOthers(const Node &node, const Effect &effect)
    {
        for (auto &other : m_nodes) {
            if (other.get() == &node || node.isCut || other->isCut || m_simulation.chance(m_loss))
                continue;
            const Duration delay{static_cast<std::int64_t>(m_simulation.below(m_longestDelay.count()))};
            m_simulation.after(delay, [effect, &other, delay] { effect(*other, delay); });
        }
    }

    Testing::Simulation m_simulation;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Duration m_longestDelay;
    double m_loss;
    double m_limit = 0;
    std::size_t m_busyNodes = 0;
};

struct SharedCase {
    unsigned nodes;
    int longestDelayMs;
    double loss;
    double limit;
    double demand; ///< Requests per second.
};

const SharedCase sharedSchedules[] = {
    {1, 1, 0, 2, 20},        {9, 20, 0, 1.5, 10},      {9, 20, 0, 2.2, 4},      {9, 20, 0.05, 2.2, 60},
    {9, 20, 0.3, 5, 60},     {31, 40, 0.01, 1.5, 30},  {31, 40, 0.01, 20, 200}, {301, 100, 0.01, 1.5, 20},
    {301, 100, 0.01, 8, 40}, {301, 100, 0.01, 20, 60},
};

constexpr unsigned sharedSeeds = 20;
constexpr unsigned largeFleetSeeds = 3; ///< Runs of large fleets take seconds.
constexpr double usedFraction = 0.9; ///< Of the limit or the demand, whichever is lower.

} // namespace

TABLE_TEST(SendSchedule, nodesShareTheLimit, sharedSchedules)
{
    const unsigned seeds = row.nodes > 100 ? largeFleetSeeds : sharedSeeds;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        SharedSchedule shared(seed, row.nodes, milliseconds{row.longestDelayMs}, row.loss);
        shared.setLimit(row.limit);
        shared.run(row.demand, seconds{30});
        const auto violations = shared.record.violations();
        cr_assert(violations.empty(), "%u nodes, limit %.1f, seed %u: %s", row.nodes, row.limit, seed,
                  violations.front().c_str());
        const double use = shared.record.use(shared.now() - seconds{20}, shared.now());
        const double wanted = std::min(1.0, row.demand / row.limit);
        cr_assert_geq(use, usedFraction * wanted, "%u nodes, limit %.1f, seed %u: %.2f used", row.nodes, row.limit,
                      seed, use);
    }
}

Test(SendSchedule, changedLimitsAreKept)
{
    for (unsigned seed = 1; seed <= sharedSeeds; ++seed) {
        SharedSchedule shared(seed, 9, milliseconds{20}, 0.01);
        for (const double limit : {8.0, 1.5, 4.0, 0.5, 20.0, 2.0}) {
            shared.setLimit(limit);
            shared.run(30, seconds{5});
        }
        const auto violations = shared.record.violations();
        cr_assert(violations.empty(), "seed %u: %s", seed, violations.front().c_str());
    }
}

Test(SendSchedule, nodesWithFewRequestsGetTheirShare)
{
    SharedSchedule shared(1, 9, milliseconds{20}, 0);
    shared.setLimit(4);
    shared.restrictTo(1);
    shared.run(60, seconds{20});
    shared.restrictTo(0);
    const auto before = shared.sentBy(0);
    shared.run(60, seconds{90});
    for (unsigned node = 0; node < 9; ++node) {
        const double share = (shared.sentBy(node) - (node == 0 ? before : 0)) / (4.0 * 90);
        cr_assert_geq(share, 0.5 / 9, "node %u has %.3f of the limit", node, share);
    }
}

Test(SendSchedule, nodeThatReturnsAfterCutKeepsTheLimit)
{
    SharedSchedule shared(1, 9, milliseconds{20}, 0);
    shared.setLimit(2);
    shared.run(20, seconds{10});
    shared.setCut(3, true);
    const auto cut = shared.now();
    shared.run(20, seconds{10});
    shared.setCut(3, false);
    shared.record.excuse("n3", cut, shared.now() + seconds{4});
    shared.run(20, seconds{20});
    cr_assert(shared.record.violations().empty());
}

namespace
{

struct FloodCase {
    unsigned requests;
    double limit;
};

const FloodCase floods[] = {{0, 2}, {8, 2}, {12, 2}, {17, 2}, {20, 5.4}, {28, 5.4}, {37, 5.4}, {60, 10}};

} // namespace

TABLE_TEST(SendSchedule, floodRightBeforeALimitIsWithinItsFirstWindow, floods)
{
    for (unsigned seed = 1; seed <= sharedSeeds; ++seed) {
        SharedSchedule shared(seed, 9, milliseconds{20}, 0);
        shared.run(1, seconds{1});
        shared.floodThenLimit(row.requests, row.limit);
        shared.run(10 * row.limit, seconds{10});
        const auto violations = shared.record.violations();
        cr_assert(violations.empty(), "%u requests before a limit of %.1f, seed %u: %s", row.requests, row.limit, seed,
                  violations.front().c_str());
    }
}
