#include "gateway/orderterm.h"

#include "support/table.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <tuple>
#include <utility>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Duration minOrderGap = std::chrono::seconds{3}; ///< Minimum time between orders of two nodes.
constexpr Duration step = std::chrono::milliseconds{10};
constexpr Duration maxCopyAge = std::chrono::seconds{6}; ///< Of the copy that the store comes back from.
constexpr Duration historyTime = std::chrono::minutes{3};
constexpr unsigned nodes = 4;
constexpr std::uint64_t seeds = 40;

/// Rates of injected faults per second, for each node or for the store.
struct LeaseFaults {
    double keyDeletions = 0; ///< The store deletes the leased record without notifying the holder.
    double partitions = 0; ///< A node and the store are partitioned for a while.
    double restarts = 0;
    double freezes = 0; ///< A node's process is suspended for a while.
    double lostReleases = 0; ///< Fraction of lost release messages, 0 to 1; the others are delayed.
    double restorations = 0; ///< The store comes back from a copy that is up to 6 s old.
};

const LeaseFaults faultCases[] = {
    {},
    {.keyDeletions = 0.2},
    {.partitions = 0.2},
    {.restarts = 0.2},
    {.freezes = 0.2},
    {.partitions = 0.1, .restorations = 0.1},
    {.partitions = 0.1, .restarts = 0.2, .freezes = 0.1, .lostReleases = 0.3, .restorations = 0.1},
    {.keyDeletions = 0.1, .partitions = 0.1, .restarts = 0.1, .freezes = 0.1, .lostReleases = 0.5},
};

/// Simulates nodes that acquire the lease of one shard from a store and order whenever they may, in virtual time.
class LeaseHistory
{
public:
    LeaseHistory(const LeaseFaults &faults, std::uint64_t seed)
        : m_faults(faults)
        , m_random(seed)
    {
        for (unsigned i = 0; i < nodes; ++i)
            start(m_nodes[i], i);
    }

    void run()
    {
        for (const auto end = m_now + historyTime; m_now < end; m_now += step) {
            if (m_leased && m_now >= m_leaseEnds)
                m_leased = 0;
            if (happens(m_faults.keyDeletions))
                m_leased = 0;
            if (happens(m_faults.restorations))
                restore();
            m_copies.emplace_back(m_now, std::pair{m_term, m_revision});
            if (m_copies.front().first < m_now - maxCopyAge)
                m_copies.pop_front();
            while (!m_messages.empty() && m_messages.begin()->first <= m_now)
                m_messages.extract(m_messages.begin()).mapped()();
            for (unsigned i = 0; i < nodes; ++i)
                tick(m_nodes[i], i);
        }
    }

    unsigned prematureOrders = 0; ///< Orders that came too soon after those of another node.
    unsigned fallingFences = 0; ///< Orders with a lower fencing token than an earlier one.
    unsigned orders = 0;
    unsigned holders = 0; ///< Number of changes of the ordering node.

private:
    struct Node {
        OrderHolder self;
        OrderLease lease{OrderLeaseSettings{}};
        std::uint64_t leaseId = 0; ///< Lease in the store; 0 if the node does not hold it.
        StoreEra era = 0; ///< The last that the store has stated.
        Instant renewed{};
        Instant partitionedUntil{};
        Instant unavailableUntil{}; ///< Frozen or down until then.
    };

    bool happens(double perSecond)
    {
        return m_chance(m_random) < perSecond * std::chrono::duration<double>(step).count();
    }

    Duration randomDuration(Duration longest)
    {
        return std::chrono::duration_cast<Duration>(longest * m_chance(m_random));
    }

    void start(Node &node, unsigned number)
    {
        const Instant unavailableUntil = node.unavailableUntil;
        node = Node{};
        node.self = {"n" + std::to_string(number), m_now.time_since_epoch().count()};
        node.unavailableUntil = unavailableUntil;
    }

    void tick(Node &node, unsigned number)
    {
        if (m_now < node.unavailableUntil)
            return;
        if (happens(m_faults.freezes)) {
            node.unavailableUntil = m_now + randomDuration(std::chrono::seconds{4});
            return;
        }
        if (happens(m_faults.restarts)) {
            node.unavailableUntil = m_now + randomDuration(std::chrono::seconds{2});
            start(node, number);
            return;
        }
        if (happens(m_faults.partitions))
            node.partitionedUntil = m_now + randomDuration(std::chrono::seconds{6});
        const bool reachesStore = m_now >= node.partitionedUntil;
        if (node.leaseId != 0 && !node.lease.isHeld(m_now))
            lose(node);
        if (reachesStore && std::exchange(node.era, m_era) != m_era && node.leaseId != 0)
            lose(node);
        if (node.leaseId == 0 && reachesStore && m_leased == 0)
            acquire(node);
        else if (node.leaseId != 0 && reachesStore && m_now - node.renewed >= node.lease.settings().renewalValidity / 3)
            renew(node);
        if (node.lease.isSettled(m_now) && reachesStore && m_term.number == node.lease.term())
            m_term.settled = true;
        if (node.lease.mayOrder(m_now))
            order(node, number);
    }

    void acquire(Node &node)
    {
        const auto predecessor = predecessorOf(m_term, node.self, m_era);
        m_term = termAfter(m_term, node.self, m_era);
        m_term.revision = ++m_revision;
        m_leased = node.leaseId = ++m_lastLease;
        m_leaseEnds = m_now + node.lease.settings().ttl;
        node.renewed = m_now;
        node.lease.onAcquired(m_term.number, fenceOf(m_term, m_revision), m_now, m_now, predecessor);
    }

    /// Replaces the store by a copy of it, without leases.
    void restore()
    {
        if (m_copies.empty())
            return;
        std::tie(m_term, m_revision) = m_copies[m_random() % m_copies.size()].second;
        m_leased = 0;
        ++m_era;
    }

    void renew(Node &node)
    {
        node.renewed = m_now;
        if (m_leased != node.leaseId)
            return lose(node);
        m_leaseEnds = m_now + node.lease.settings().ttl;
        node.lease.onRenewed(m_now);
    }

    void lose(Node &node)
    {
        node.leaseId = 0;
        node.lease.onLost();
        const auto released = node.lease.released();
        for (auto &other : m_nodes) {
            if (&other == &node || m_chance(m_random) < m_faults.lostReleases)
                continue;
            const auto delay = randomDuration(std::chrono::seconds{1});
            m_messages.emplace(m_now + delay, [&other, released, delay] {
                other.lease.onReleased({released.term, released.lastOrderAt + delay});
            });
        }
    }

    void order(Node &node, unsigned number)
    {
        node.lease.onOrder(m_now);
        ++orders;
        fallingFences += node.lease.fence() < m_highestFence;
        m_highestFence = std::max(m_highestFence, node.lease.fence());
        for (unsigned other = 0; other < nodes; ++other) {
            const auto last = m_lastOrders.find(other);
            if (other != number && last != m_lastOrders.end() && m_now - last->second < minOrderGap)
                ++prematureOrders;
        }
        if (std::exchange(m_orderer, number) != number)
            ++holders;
        m_lastOrders[number] = m_now;
    }

    const LeaseFaults &m_faults;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_chance{0, 1};
    std::array<Node, nodes> m_nodes;
    std::multimap<Instant, std::function<void()>> m_messages;
    Instant m_now{std::chrono::seconds{100}};
    OrderTerm m_term; ///< Term record in the store.
    std::uint64_t m_leased = 0; ///< Lease that the holder's record is bound to; 0 if there is no record.
    std::uint64_t m_lastLease = 0;
    Instant m_leaseEnds{};
    Revision m_revision = 0;
    StoreEra m_era = 1;
    std::deque<std::pair<Instant, std::pair<OrderTerm, Revision>>> m_copies; ///< Of the last seconds.
    std::uint64_t m_highestFence = 0;
    std::map<unsigned, Instant> m_lastOrders;
    unsigned m_orderer = nodes;
};

} // namespace

TABLE_TEST(OrderTerm, minimumGapBetweenNodes, faultCases)
{
    unsigned holders = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LeaseHistory history(row, seed);
        history.run();
        cr_assert_eq(history.prematureOrders, 0U, "seed %llu", static_cast<unsigned long long>(seed));
        cr_assert_eq(history.fallingFences, 0U, "seed %llu", static_cast<unsigned long long>(seed));
        cr_assert_gt(history.orders, 1000U, "seed %llu", static_cast<unsigned long long>(seed));
        holders += history.holders;
    }
    const bool isQuiet = row.keyDeletions + row.partitions + row.restarts + row.freezes + row.restorations == 0;
    cr_assert(isQuiet ? holders == seeds : holders > 2 * seeds, "%u", holders);
}

namespace
{

struct PredecessorCase {
    OrderTerm last;
    Predecessor predecessor;
};

const PredecessorCase predecessors[] = {
    {{}, Predecessor::Other},
    {{3, {"n1", 50}, true, 9}, Predecessor::Own}, // An earlier process of this machine.
    {{3, {"n1", 50}, false, 9}, Predecessor::Other}, // That process may still have been waiting for another machine.
    {{3, {"n2", 50}, true, 9}, Predecessor::Other},
    {{3, {"n1", 50}, true, 9, 2, 1}, Predecessor::Other}, // The store may have lost the term of another machine.
    {{3, {"n1", 50}, true, 9, 4, 1}, Predecessor::Own},
};

const char *const invalidRecords[] = {"", "[]", "not json"};

} // namespace

TABLE_TEST(OrderTerm, relationToPredecessor, predecessors)
{
    cr_assert(predecessorOf(row.last, {"n1", 70}, row.last.era == 0 ? 0 : 4) == row.predecessor);
    const auto read = decodeOrderTerm(encode(row.last), row.last.revision);
    cr_assert(read.holder == row.last.holder);
    cr_assert_eq(read.number, row.last.number);
    cr_assert_eq(read.settled, row.last.settled);
    cr_assert_eq(read.era, row.last.era);
    cr_assert_eq(read.firstEra, row.last.firstEra);
}

TABLE_TEST(OrderTerm, invalidTermRecord, invalidRecords)
{
    cr_assert_eq(decodeOrderTerm(std::string(row), 7).number, 0U);
}
