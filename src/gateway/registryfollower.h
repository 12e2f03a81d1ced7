#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "gateway/registrydelta.h"
#include "http/eventloop.h"

#include <algorithm>
#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The ID of a lease in the store; 0 if there is none.
using StoreLease = std::uint64_t;

/// The result of a watch call on the store.
struct WatchResult {
    bool answered = false; ///< False if the call failed or was not answered in time.
    bool historyLost = false; ///< The store has compacted the changes since the given revision.
    std::vector<KeyChange> changes;
    Revision revision = 0; ///< The next watch resumes after it.
};

/// The client of the platform's key-value store. Callbacks run on the loop's thread, after the call has returned.
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
    /// Passes true if the lease was renewed, false if it has ended, nothing if the store did not answer.
    store.renewLease(lease, onRenewed);
    store.endLease(lease);
};

/// A follower of the keys under one prefix, which reads a snapshot and then watches for changes. Reads a new snapshot
/// after a failed watch or when the store has compacted its history. Loop's thread only.
template<GatewayStore Store>
class RegistryFollower
{
public:
    /// Callbacks for the state of the keys and of the store.
    struct Observer {
        std::function<void(const std::vector<KeyValue> &)> onSnapshot;
        std::function<void(const KeyChange &)> onChange;
        std::function<void()> onBatchEnd; ///< Called after a snapshot, and after the changes of one answer or delta.
        std::function<void(bool)> onReachable; ///< Called after the first call and on each change.
        std::function<void(const RegistryDelta &)> onRead = {}; ///< Called with changes that this node has read itself.
        std::function<void()> onAnswered = {}; ///< Called when the store has answered with a snapshot.
        /// Called with the revision in each answer of the store, which it had not passed yet when the call was made.
        std::function<void(Revision revision, Instant calledAt)> onRevision = {};
        /// Called when all changes up to @p time have been applied.
        std::function<void(Instant time)> onCurrent = {};
    };

    /// The initial pause and the timeout of watches.
    struct Timing {
        /// Pause between two calls, so that changes arrive in batches; each answer is a billed call.
        Duration pause{};
        /// Timeout of one watch, after which a dead connection is detected.
        Duration watchTimeout = std::chrono::seconds{1};
    };

    RegistryFollower(Http::EventLoop &loop, Store &store, std::string prefix, Timing timing, Observer observer)
        : m_loop(loop)
        , m_store(store)
        , m_prefix(std::move(prefix))
        , m_timing(timing)
        , m_observer(std::move(observer))
    {
        m_pauses.afterChanges = timing.pause;
    }

    /// Starts with a snapshot. Call once.
    void start()
    {
        read();
    }

    /// Abandons a pending watch and reads a snapshot at once. For use when another connection to the store has failed,
    /// as this one may have failed undetected.
    void reconnect()
    {
        if (m_state == State::Waiting)
            read();
    }

    /// Forgets what was read, as the store has come back from an older copy, which gives revisions out again, and reads
    /// a snapshot at once. Results of earlier calls are ignored.
    void restart()
    {
        m_revision = m_newestChange = m_sought = 0;
        m_known.clear();
        read();
    }

    /// Reads a snapshot at once, unless one is being read.
    void readAgain()
    {
        if (m_state != State::Reading)
            read();
    }

    /// Retries at once if a retry is scheduled after a failure. To be called when the store has answered another call
    /// of this node, or a call of another node.
    void retryNow()
    {
        if (m_retryScheduled)
            read();
    }

    /// Applies changes that another node has read, if they continue this node's revision, and postpones this node's
    /// next call. Calls the store at once if changes before the delta are missing. A node that cannot reach the store
    /// stays up to date by deltas alone. @p readAt is a time at which the store had no later changes, if one is known.
    void onDelta(const RegistryDelta &delta, std::optional<Instant> readAt = {})
    {
        const bool isGap = delta.after > m_revision;
        if (m_state == State::Reading) {
            if (isGap)
                retryNow();
            if (m_revision == 0 || isGap || delta.revision < m_revision)
                return;
            setReachable(true);
            m_retryScheduled = false;
            m_state = State::Pausing;
        }
        if (!isGap && delta.revision > m_revision)
            apply(delta.changes, delta.revision);
        if (!isGap && readAt)
            noteCurrent(*readAt);
        if (m_state == State::Pausing)
            followAfter(isGap ? Duration{} : m_pauses.afterChanges, !isGap);
    }

    /// Makes a call soon if this node lacks the change at @p revision, which another node knows: the channel of a
    /// pending watch may be silent. Does nothing for a revision that a call was made for.
    void onNewerChange(Revision revision)
    {
        if (revision <= std::max(m_revision, m_sought) || m_searchScheduled)
            return;
        m_searchScheduled = true;
        m_loop.runAfter(newsPause + m_pauses.afterNothing, [this, revision] {
            m_searchScheduled = false;
            if (revision <= m_revision)
                return;
            m_sought = revision;
            if (m_state == State::Pausing)
                return followAfter({}, false);
            reconnect();
        });
    }

    /// Returns the revision of the newest change that this node knows; 0 if it knows none.
    Revision newestChange() const
    {
        return m_newestChange;
    }

    /// Returns true if this node made its last watch because its pause had passed without a delta of another node,
    /// false if it did so to get missing changes.
    bool wasOverdue() const
    {
        return m_overdue;
    }

    /// Returns a delta without changes, which confirms this node's revision to nodes that have the same one; nothing
    /// while a snapshot is read.
    std::optional<RegistryDelta> emptyDelta() const
    {
        return m_state == State::Reading ? std::nullopt : std::optional(RegistryDelta{m_revision, {}, m_revision, {}});
    }

    /// The pauses before this node's next call to the store.
    struct Pauses {
        Duration afterChanges{}; ///< After changes from the store or from another node.
        Duration afterNothing{}; ///< After a watch that has ended without changes.
        Duration afterFailure = std::chrono::milliseconds{300};
        Duration afterSnapshot{};
    };

    void setPauses(const Pauses &pauses)
    {
        m_pauses = pauses;
    }

private:
    /// Time that a change takes at most to arrive by a watch after another node has told of it.
    static constexpr Duration newsPause = std::chrono::milliseconds{700};

    enum class State {
        Reading, ///< Reads a snapshot, or waits for the retry of one.
        Waiting, ///< Waits for the answer to a watch.
        Pausing, ///< Waits before the next watch.
    };

    void read()
    {
        ++m_generation;
        m_state = State::Reading;
        m_retryScheduled = false;
        const auto calledAt = BootClock{}.now();
        m_store.readPrefix(m_prefix, [this, generation = m_generation, calledAt](const KeyReply &reply) {
            if (generation != m_generation)
                return;
            setReachable(reply.outcome == KeyOutcome::Applied);
            if (reply.outcome != KeyOutcome::Applied)
                return readAfter(m_pauses.afterFailure);
            if (m_observer.onAnswered)
                m_observer.onAnswered();
            noteRevision(reply.revision, calledAt);
            if (m_revision > 0 && m_observer.onRead)
                m_observer.onRead(deltaTo(reply, calledAt));
            noteSnapshot(reply);
            m_observer.onSnapshot(followed(reply.values));
            if (m_observer.onBatchEnd)
                m_observer.onBatchEnd();
            m_revision = reply.revision;
            noteCurrent(calledAt);
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
        const auto calledAt = BootClock{}.now();
        m_store.watch(m_prefix, after, m_timing.watchTimeout,
                      [this, generation, after, calledAt](const WatchResult &result) {
                          if (generation != m_generation)
                              return;
                          if (result.historyLost)
                              return readAfter(m_pauses.afterFailure);
                          if (!result.answered) {
                              // A resumed watch may miss changes made while the connection was cut: reads a snapshot
                              // instead.
                              const bool wasReachable = m_reachable;
                              setReachable(false);
                              return readAfter(wasReachable ? Duration{} : m_pauses.afterFailure);
                          }
                          setReachable(true);
                          noteRevision(result.revision, calledAt);
                          if (m_observer.onRead)
                              m_observer.onRead({after, result.changes, result.revision, BootClock{}.now() - calledAt});
                          apply(result.changes, result.revision);
                          noteCurrent(calledAt);
                          followAfter(result.changes.empty() ? m_pauses.afterNothing : m_pauses.afterChanges);
                      });
    }

    void readAfter(Duration pause)
    {
        m_state = State::Reading;
        m_retryScheduled = true;
        m_loop.runAfter(pause, [this, generation = ++m_generation] {
            if (generation == m_generation)
                read();
        });
    }

    /// Records the keys of @p snapshot. The store may have come back with an earlier revision.
    void noteSnapshot(const KeyReply &snapshot)
    {
        if (snapshot.revision < m_revision)
            m_newestChange = m_sought = 0;
        auto before = std::exchange(m_known, {});
        for (const auto &value : snapshot.values) {
            m_known[value.key] = value.modRevision;
            m_newestChange = std::max(m_newestChange, value.modRevision);
            before.erase(value.key);
        }
        if (!before.empty()) // Removed at an unknown revision up to the snapshot's.
            m_newestChange = snapshot.revision;
    }

    void noteRevision(Revision revision, Instant calledAt)
    {
        if (m_observer.onRevision)
            m_observer.onRevision(revision, calledAt);
    }

    void noteCurrent(Instant time)
    {
        if (m_observer.onCurrent)
            m_observer.onCurrent(time);
    }

    /// Returns the changes from this node's revision to @p snapshot, read by a call at @p calledAt, for nodes at the
    /// same revision.
    RegistryDelta deltaTo(const KeyReply &snapshot, Instant calledAt) const
    {
        RegistryDelta delta{m_revision, {}, snapshot.revision, BootClock{}.now() - calledAt};
        std::set<std::string> present;
        for (const auto &value : snapshot.values) {
            present.insert(value.key);
            const auto known = m_known.find(value.key);
            const bool isNew = known == m_known.end() || known->second != value.modRevision;
            if (isNew && value.modRevision <= snapshot.revision) // The next watch reports later ones.
                delta.changes.push_back({value.key, value.value, value.modRevision});
        }
        for (const auto &[key, revision] : m_known) {
            if (!present.contains(key))
                delta.changes.push_back({key, {}, snapshot.revision});
        }
        std::ranges::sort(delta.changes, {}, &KeyChange::revision);
        return delta;
    }

    /// Makes the next watch after @p pause, unless a delta or another call replaces it. @p isOverdue is false if
    /// the watch is made to get missing changes.
    void followAfter(Duration pause, bool isOverdue = true)
    {
        m_state = State::Pausing;
        m_loop.runAfter(pause, [this, isOverdue, generation = ++m_generation] {
            if (generation != m_generation)
                return;
            m_overdue = isOverdue;
            follow();
        });
    }

    void apply(const std::vector<KeyChange> &changes, Revision revision)
    {
        const auto known = m_revision;
        m_revision = std::max(m_revision, revision);
        for (const auto &change : changes) {
            if (change.revision <= known || !change.key.starts_with(m_prefix))
                continue;
            m_newestChange = std::max(m_newestChange, change.revision);
            if (change.value)
                m_known[change.key] = change.revision;
            else
                m_known.erase(change.key);
            m_observer.onChange(change);
        }
        if (!changes.empty() && m_observer.onBatchEnd)
            m_observer.onBatchEnd();
    }

    /// Returns the @p values whose keys start with the prefix, as observers expect of all.
    std::vector<KeyValue> followed(std::vector<KeyValue> values) const
    {
        std::erase_if(values, [&](const KeyValue &value) { return !value.key.starts_with(m_prefix); });
        return values;
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
    Timing m_timing;
    Pauses m_pauses;
    Observer m_observer;
    Revision m_revision = 0;
    Revision m_newestChange = 0;
    Revision m_sought = 0; ///< Known to another node; a call was made for it.
    bool m_searchScheduled = false;
    std::map<std::string, Revision> m_known; ///< The present keys and the revisions of their last changes.
    std::uint64_t m_generation = 0; ///< Number of the current call or timer; results of earlier ones are ignored.
    State m_state = State::Reading;
    bool m_retryScheduled = false; ///< True if a snapshot is to be read after a pause.
    bool m_overdue = false;
    bool m_reachable = false;
    bool m_reported = false;
};

} // namespace Gypsumtally::Gateway
