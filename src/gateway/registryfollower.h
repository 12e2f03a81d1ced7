#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "http/eventloop.h"

#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// A lease of the store; 0 for none.
using StoreLease = std::uint64_t;

/// One change of a key; without a value it was removed.
struct KeyChange {
    std::string key;
    std::optional<std::string> value;
    Revision revision = 0;
};

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
    }

    /// Starts to follow. Call once.
    void start()
    {
        read();
    }

    /// Asks anew at once: the connection that waits may be dead, as others to the service are.
    void renew()
    {
        if (!m_waiting)
            return;
        ++m_generation;
        m_waiting = false;
        read();
    }

private:
    static constexpr Duration retryPause = std::chrono::milliseconds{300};

    void read()
    {
        m_store.readPrefix(m_prefix, [this](const KeyReply &reply) {
            setReachable(reply.outcome == KeyOutcome::Applied);
            if (reply.outcome != KeyOutcome::Applied)
                return m_loop.runAfter(retryPause, [this] { read(); });
            m_observer.onSnapshot(reply.values);
            if (m_observer.onBatchEnd)
                m_observer.onBatchEnd();
            m_revision = reply.revision;
            follow();
        });
    }

    void follow()
    {
        const auto generation = ++m_generation;
        m_waiting = true;
        m_store.watch(m_prefix, m_revision, m_pace.longestWait, [this, generation](const WatchResult &result) {
            if (generation != m_generation)
                return;
            m_waiting = false;
            if (result.historyLost)
                return m_loop.runAfter(m_pace.pause, [this] { read(); });
            if (!result.answered) {
                // Changes made while a wait was cut may never be told: what stands now is read anew.
                const bool wasReachable = m_reachable;
                setReachable(false);
                return m_loop.runAfter(wasReachable ? Duration{} : retryPause, [this] { read(); });
            }
            setReachable(true);
            m_revision = result.revision;
            for (const auto &change : result.changes)
                m_observer.onChange(change);
            if (!result.changes.empty() && m_observer.onBatchEnd)
                m_observer.onBatchEnd();
            m_loop.runAfter(result.changes.empty() ? Duration{} : m_pace.pause, [this] { follow(); });
        });
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
    Observer m_observer;
    Revision m_revision = 0;
    std::uint64_t m_generation = 0; ///< Of the call under way; answers to earlier ones are ignored.
    bool m_waiting = false;
    bool m_reachable = false;
    bool m_reported = false;
};

} // namespace Gypsumtally::Gateway
