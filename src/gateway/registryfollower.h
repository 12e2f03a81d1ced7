#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "gateway/registryshare.h"
#include "http/eventloop.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// A lease of the store; 0 for none.
using StoreLease = std::uint64_t;

/// What came of waiting for changes.
struct WatchResult {
    bool answered = false;
    bool historyLost = false; ///< The changes since the given revision are not to be had any more.
    std::vector<KeyChange> changes;
    Revision revision = 0; ///< Where to go on.
};

/// The platform's key-value service, as gateways use it. Replies come later, on the loop's thread.
template<typename S>
concept GatewayStore
    = requires(S &store, const KeyTransaction &transaction, StoreLease lease, const std::string &text,
               Revision revision, Duration duration, std::function<void(KeyReply)> onReply,
               std::function<void(WatchResult)> onWatch, std::function<void(std::optional<StoreLease>)> onLease,
               std::function<void(std::optional<bool>)> onRenewed)
{
    store.transact(transaction, lease, onReply);
    store.readPrefix(text, onReply);
    store.watch(text, revision, duration, onWatch);
    store.grantLease(duration, onLease);
    store.renewLease(lease, onRenewed); ///< true: renewed; false: it has ended; nothing: no answer.
    store.endLease(lease);
};

/// Follows the keys under one prefix: a snapshot first, then changes, a new snapshot when history was lost.
/// Loop's thread only.
template<GatewayStore Store>
class RegistryFollower
{
public:
    struct Observer {
        std::function<void(const std::vector<KeyValue> &)> onSnapshot;
        std::function<void(const KeyChange &)> onChange;
        std::function<void()> onBatchEnd; ///< After the changes of one answer.
        std::function<void(bool)> onReachable; ///< The service answers, or does not.
        std::function<void(const RegistryShare &)> onRead = {}; ///< What this node's own call has brought, if anything.
        std::function<void()> onAnswered = {}; ///< The service has answered this node with a snapshot.
    };

    struct Pace {
        Duration pause{}; ///< Between two calls, so that changes come in batches; each answer is a priced call.
        Duration longestWait = std::chrono::seconds{1}; ///< Of one call; a silent connection shows after it.
    };

    RegistryFollower(Http::EventLoop &loop, Store &store, std::string prefix, Pace pace, Observer observer)
        : m_loop(loop)
        , m_store(store)
        , m_prefix(std::move(prefix))
        , m_pace(pace)
        , m_observer(std::move(observer))
    {
        m_pauses.afterChanges = pace.pause;
    }

    /// Starts to follow. Call once.
    void start()
    {
        read();
    }

    /// Asks anew at once: the connection that waits may be dead, as others to the service are.
    void renew()
    {
        if (m_state == State::Waiting)
            read();
    }

    /// The store has just answered a node: a call that is put off after a failure is made at once.
    void retryNow()
    {
        if (m_retryIsPutOff)
            read();
    }

    /// Takes in what another node has read, if it follows on what is known here; puts off the next call of this node.
    /// What is missing between is asked for at once. A node that does not reach the store goes on by shares alone.
    void onShared(const RegistryShare &share)
    {
        const bool isGap = share.after > m_revision;
        if (m_state == State::Reading) {
            if (isGap)
                retryNow();
            if (m_revision == 0 || isGap || share.revision < m_revision)
                return;
            setReachable(true);
            m_retryIsPutOff = false;
            m_state = State::Pausing;
        }
        if (!isGap && share.revision > m_revision)
            apply(share.changes, share.revision);
        if (m_state == State::Pausing)
            followAfter(isGap ? Duration{} : m_pauses.afterChanges, !isGap);
    }

    /// Whether the call that has brought the last share was made since nobody had told anything for long.
    bool wasOverdue() const
    {
        return m_overdue;
    }

    /// Returns a share without changes for nodes that know as much as this one, or nothing while it reads a snapshot.
    std::optional<RegistryShare> signOfLife() const
    {
        return m_state == State::Reading ? std::nullopt : std::optional(RegistryShare{m_revision, {}, m_revision});
    }

    /// How long this node waits before its next call.
    struct Pauses {
        Duration afterChanges{}; ///< That came from the store or another node.
        Duration afterNothing{}; ///< The store had waited for changes in vain.
        Duration afterFailure = std::chrono::milliseconds{300};
        Duration afterSnapshot{};
    };

    void setPauses(const Pauses &pauses)
    {
        m_pauses = pauses;
    }

private:
    enum class State {
        Reading, ///< A snapshot, or about to.
        Waiting, ///< For the answer to a watch.
        Pausing, ///< Until the next watch.
    };

    void read()
    {
        ++m_generation;
        m_state = State::Reading;
        m_retryIsPutOff = false;
        m_store.readPrefix(m_prefix, [this, generation = m_generation](const KeyReply &reply) {
            if (generation != m_generation)
                return;
            setReachable(reply.outcome == KeyOutcome::Applied);
            if (reply.outcome != KeyOutcome::Applied)
                return readAfter(m_pauses.afterFailure);
            if (m_observer.onAnswered)
                m_observer.onAnswered();
            if (m_revision > 0 && m_observer.onRead)
                m_observer.onRead(changesTo(reply));
            m_known.clear();
            for (const auto &value : reply.values)
                m_known[value.key] = value.modRevision;
            m_observer.onSnapshot(reply.values);
            if (m_observer.onBatchEnd)
                m_observer.onBatchEnd();
            m_revision = reply.revision;
            if (m_pauses.afterSnapshot > Duration{})
                followAfter(m_pauses.afterSnapshot);
            else
                follow();
        });
    }

    void follow()
    {
        const auto generation = ++m_generation;
        m_state = State::Waiting;
        const auto after = m_revision;
        m_store.watch(m_prefix, after, m_pace.longestWait, [this, generation, after](const WatchResult &result) {
            if (generation != m_generation)
                return;
            if (result.historyLost)
                return readAfter(m_pauses.afterFailure);
            if (!result.answered) {
                // Changes made while a wait was cut may never be told: what stands now is read anew.
                const bool wasReachable = m_reachable;
                setReachable(false);
                return readAfter(wasReachable ? Duration{} : m_pauses.afterFailure);
            }
            setReachable(true);
            if (m_observer.onRead)
                m_observer.onRead({after, result.changes, result.revision});
            apply(result.changes, result.revision);
            followAfter(result.changes.empty() ? m_pauses.afterNothing : m_pauses.afterChanges);
        });
    }

    void readAfter(Duration pause)
    {
        m_state = State::Reading;
        m_retryIsPutOff = true;
        m_loop.runAfter(pause, [this, generation = ++m_generation] {
            if (generation == m_generation)
                read();
        });
    }

    /// Returns what has changed up to a snapshot since what is known here, for nodes that know as much.
    RegistryShare changesTo(const KeyReply &snapshot) const
    {
        RegistryShare share{m_revision, {}, snapshot.revision};
        std::set<std::string> present;
        for (const auto &value : snapshot.values) {
            present.insert(value.key);
            const auto known = m_known.find(value.key);
            const bool isNew = known == m_known.end() || known->second != value.modRevision;
            if (isNew && value.modRevision <= snapshot.revision) // Later ones will be told by the next watch.
                share.changes.push_back({value.key, value.value, value.modRevision});
        }
        for (const auto &[key, revision] : m_known) {
            if (!present.contains(key))
                share.changes.push_back({key, {}, snapshot.revision});
        }
        std::ranges::sort(share.changes, {}, &KeyChange::revision);
        return share;
    }

    /// Makes the next call after @p pause, unless something comes before.
    void followAfter(Duration pause, bool isPatience = true)
    {
        m_state = State::Pausing;
        m_loop.runAfter(pause, [this, isPatience, generation = ++m_generation] {
            if (generation != m_generation)
                return;
            m_overdue = isPatience;
            follow();
        });
    }

    void apply(const std::vector<KeyChange> &changes, Revision revision)
    {
        const auto known = m_revision;
        m_revision = std::max(m_revision, revision);
        for (const auto &change : changes) {
            if (change.revision <= known)
                continue;
            if (change.value)
                m_known[change.key] = change.revision;
            else
                m_known.erase(change.key);
            m_observer.onChange(change);
        }
        if (!changes.empty() && m_observer.onBatchEnd)
            m_observer.onBatchEnd();
    }

    void setReachable(bool reachable)
    {
        if (m_reachable == reachable && m_reported)
            return;
        m_reported = true;
        m_reachable = reachable;
        if (m_observer.onReachable)
            m_observer.onReachable(reachable);
    }

    Http::EventLoop &m_loop;
    Store &m_store;
    std::string m_prefix;
    Pace m_pace;
    Pauses m_pauses;
    Observer m_observer;
    Revision m_revision = 0;
    std::map<std::string, Revision> m_known; ///< The keys that there are, and their last changes.
    std::uint64_t m_generation = 0; ///< Of the call under way; answers to earlier ones are ignored.
    State m_state = State::Reading;
    bool m_retryIsPutOff = false; ///< After a failure.
    bool m_overdue = false;
    bool m_reachable = false;
    bool m_reported = false;
};

} // namespace Gypsumtally::Gateway
