#include "gateway/placementcontroller.h"

#include "support/table.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;

namespace
{

struct SilentOrders {
    static Http::Request writeOrder(const EngineOrder &, const std::string &, std::uint64_t)
    {
        return {};
    }

    static OrderOutcome readOutcome(unsigned)
    {
        return OrderOutcome::Unknown;
    }

    static Http::Request writeInspection(const std::string &)
    {
        return {};
    }

    static std::optional<EngineReport> readReport(const std::string &)
    {
        return std::nullopt;
    }

    static UpstreamStatement readStatement(const Relay::ResponseHead &)
    {
        return {};
    }
};

/// A store that grants leases, and passes each change to all nodes.
class LeaseStore
{
public:
    struct Shared {
        std::map<std::string, std::pair<std::string, Revision>> values;
        std::map<std::string, StoreLease> leases; ///< Of the keys that are bound to one.
        Revision revision = 0;
        StoreLease lastLease = 0;
        std::vector<std::function<void(const std::string &, const std::optional<std::string> &, Revision)>> watchers;
    };

    /// Replaces the contents by those of @p copy, in which no lease is left, and lets all watchers read them.
    static void restore(Shared &shared, const Shared &copy)
    {
        shared.values = copy.values;
        shared.revision = copy.revision;
        for (const auto &[key, lease] : copy.leases)
            shared.values.erase(key);
        shared.leases.clear();
    }

    LeaseStore(Http::EventLoop &loop, Shared &shared)
        : m_loop(loop)
        , m_shared(shared)
    {
    }

    void transact(const KeyTransaction &transaction, StoreLease lease, const std::function<void(KeyReply)> &onReply)
    {
        m_loop.post([this, transaction, lease, onReply] {
            KeyReply reply;
            reply.outcome = KeyOutcome::Applied;
            for (const auto &compare : transaction.compares) {
                const auto it = m_shared.values.find(compare.key);
                if ((it == m_shared.values.end() ? 0 : it->second.second) != compare.modRevision)
                    reply.outcome = KeyOutcome::Conflict;
            }
            if (reply.outcome != KeyOutcome::Applied)
                return onReply(reply);
            reply.revision = ++m_shared.revision;
            for (const auto &put : transaction.puts) {
                m_shared.values[put.key] = {put.value, reply.revision};
                if (put.lifetime == KeyLifetime::NodeLease)
                    m_shared.leases[put.key] = lease;
            }
            onReply(reply);
            for (const auto &put : transaction.puts)
                notify(put.key, put.value);
        });
    }

    void readPrefix(const std::string &, const std::function<void(KeyReply)> &)
    {
    }

    void watch(const std::string &, Revision, Duration, const std::function<void(WatchResult)> &)
    {
    }

    void grantLease(Duration, const std::function<void(std::optional<StoreLease>)> &onLease)
    {
        m_loop.post([lease = ++m_shared.lastLease, onLease] { onLease(lease); });
    }

    void renewLease(StoreLease lease, const std::function<void(std::optional<bool>)> &onRenewed)
    {
        m_loop.post([this, lease, onRenewed] {
            bool isLive = false;
            for (const auto &[key, each] : m_shared.leases)
                isLive = isLive || each == lease;
            onRenewed(isLive);
        });
    }

    void endLease(StoreLease lease)
    {
        m_loop.post([this, lease] {
            for (const auto &[key, each] : std::map(m_shared.leases)) {
                if (each != lease)
                    continue;
                m_shared.leases.erase(key);
                m_shared.values.erase(key);
                ++m_shared.revision;
                notify(key, std::nullopt);
            }
        });
    }

private:
    void notify(const std::string &key, const std::optional<std::string> &value)
    {
        for (const auto &watcher : m_shared.watchers)
            watcher(key, value, m_shared.revision);
    }

    Http::EventLoop &m_loop;
    Shared &m_shared;
};

constexpr Duration handover = milliseconds{1500};

class Holder
{
public:
    Holder(Http::EventLoop &loop, LeaseStore::Shared &shared, const std::string &name, Duration acquireDelay)
        : m_store(loop, shared)
        , m_logging(LogLevel::Error, LogFormat::Text, name)
        , m_log(m_logging)
        , orders(loop, m_store, m_context, m_log, m_metrics, {name, 1}, 0, {"holder", "term"}, settings())
    {
        m_context.node = name;
        orders.setAcquireDelay(acquireDelay);
        orders.onReleased([this] { ++releases; });
        shared.watchers.push_back(
            [this](const std::string &key, const std::optional<std::string> &value, Revision revision) {
                if (key == "term")
                    orders.onTermRecord(value, revision);
                else
                    orders.onHolderRecord(value, revision);
            });
        orders.setEra(1);
        orders.onHolderRecord(std::nullopt, 0);
    }

    /// Reads a snapshot of the store's records.
    void readRecords(const LeaseStore::Shared &shared)
    {
        const auto at = [&](const std::string &key) {
            const auto it = shared.values.find(key);
            return it == shared.values.end() ? std::pair{std::optional<std::string>{}, Revision{}}
                                             : std::pair{std::optional(it->second.first), it->second.second};
        };
        const auto term = at("term");
        orders.onTermRecord(term.first, term.second);
        const auto holder = at("holder");
        orders.onHolderRecord(holder.first, holder.second);
    }

private:
    static OrderLeaseSettings settings()
    {
        OrderLeaseSettings settings;
        settings.handover = handover;
        return settings;
    }

    CallContext m_context;
    LeaseStore m_store;
    Logging m_logging;
    GatewayLog m_log;
    Metrics m_metrics;

public:
    PlacementController<SilentOrders, LeaseStore> orders;
    unsigned releases = 0;
};

/// Two nodes that may hold the lease of one shard.
class Holders
{
public:
    Holders()
        : a(m_loop, m_shared, "a", milliseconds{50})
        , b(m_loop, m_shared, "b", milliseconds{300})
    {
        a.orders.onReleased([this] { b.orders.onReleasedByOther(*a.orders.released(BootClock{}.now())); });
        b.orders.onReleased([this] { a.orders.onReleasedByOther(*b.orders.released(BootClock{}.now())); });
        tick();
    }

    void run(Duration time)
    {
        m_loop.runAfter(time, [this] { m_loop.stop(); });
        m_loop.context().restart();
        m_loop.run();
    }

    LeaseStore::Shared copyStore() const
    {
        return m_shared;
    }

    /// Lets the store come back from @p copy in a new era.
    void restoreStore(const LeaseStore::Shared &copy)
    {
        LeaseStore::restore(m_shared, copy);
        for (auto *holder : {&a, &b}) {
            holder->orders.setEra(2);
            holder->readRecords(m_shared);
        }
    }

    unsigned doubleOrdering = 0; ///< Ticks at which both may order.
    Duration shortestTurn = Duration::max(); ///< Shortest time between orders of different nodes.

private:
    void tick()
    {
        const auto now = BootClock{}.now();
        a.orders.tick(now);
        b.orders.tick(now);
        doubleOrdering += a.orders.isOrdering() && b.orders.isOrdering();
        for (auto *holder : {&a, &b}) {
            if (!holder->orders.isOrdering())
                continue;
            if (m_lastOrderer && m_lastOrderer != holder)
                shortestTurn = std::min(shortestTurn, now - m_lastOrderAt);
            m_lastOrderer = holder;
            m_lastOrderAt = now;
        }
        m_loop.runAfter(milliseconds{20}, [this] { tick(); });
    }

    Http::EventLoop m_loop;
    LeaseStore::Shared m_shared;
    const Holder *m_lastOrderer = nullptr;
    Instant m_lastOrderAt{};

public:
    Holder a;
    Holder b;
};

struct CutCase {
    const char *name;
    int cutMs; ///< Length of the first holder's cut.
    bool cutsBoth;
    bool isMoved; ///< The other node orders at the end of the cut or after it.
};

const CutCase cuts[] = {
    {"a brief cut", 500, false, false},
    {"a long cut", 5000, false, true},
    {"a cut of both", 5000, true, false},
};

} // namespace

/// The holder of an order lease kept it while it could send no order, for 12 s.
TABLE_TEST(PlacementController, givesUpTheLeaseOfEnginesThatItIsCutOffFrom, cuts)
{
    Holders holders;
    holders.run(milliseconds{5000});
    cr_assert(holders.a.orders.isOrdering(), "%s: the first holder", row.name);
    holders.a.orders.setReachesEngines(false);
    holders.b.orders.setReachesEngines(!row.cutsBoth);
    holders.run(milliseconds{row.cutMs});
    cr_assert_eq(holders.b.orders.isOrdering(), row.isMoved, "%s: at the end of the cut", row.name);
    if (row.cutMs > 1500)
        cr_assert_not(holders.a.orders.isHolder(), "%s: kept the lease", row.name);
    holders.a.orders.setReachesEngines(true);
    holders.b.orders.setReachesEngines(true);
    holders.run(milliseconds{1500});
    cr_assert_eq(holders.b.orders.isOrdering(), row.isMoved, "%s: after the cut", row.name);
    cr_assert_neq(holders.a.orders.isOrdering(), row.isMoved, "%s: after the cut", row.name);
    cr_assert_eq(holders.doubleOrdering, 0U, "%s: two holders", row.name);
}

/// Two nodes ordered in turn after the store had come back from a copy that named the earlier one as the last holder.
Test(PlacementController, waitsForHoldersThatARestoredStoreHasLost)
{
    Holders holders;
    holders.run(milliseconds{4000});
    cr_assert(holders.a.orders.isOrdering(), "the first holder");
    const auto copy = holders.copyStore();
    holders.a.orders.setReachesEngines(false);
    holders.run(milliseconds{4500});
    cr_assert(holders.b.orders.isOrdering(), "the second holder");
    holders.a.orders.setReachesEngines(true);
    holders.shortestTurn = Duration::max();
    holders.restoreStore(copy);
    holders.run(milliseconds{5000});
    cr_assert(holders.a.orders.isOrdering() || holders.b.orders.isOrdering(), "a holder in the new era");
    cr_assert_eq(holders.doubleOrdering, 0U);
    cr_assert_geq(holders.shortestTurn, handover, "%lld us between orders of two nodes",
                  static_cast<long long>(holders.shortestTurn.count()));
}
