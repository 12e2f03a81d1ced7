#pragma once

#include "gateway/registryfollower.h"
#include "gateway/revisiontimes.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The role of a node in reading changes from the store. Every node reads a snapshot at its start.
enum class ReadRole {
    Joining, ///< Has just started and has not received reports of the other nodes yet.
    Reader, ///< Reads all changes on behalf of its failure domain.
    Standby, ///< Receives the reader's deltas, and calls the store only if they are overdue or have gaps.
};

/// The followers of all views of the store that a node needs. In each failure domain one node, the reader, sends the
/// changes to the others, which call the store themselves only when these stop or have gaps. Loop's thread only.
template<GatewayStore Store>
class RegistryViews
{
public:
    using Follower = RegistryFollower<Store>;
    using Observer = typename Follower::Observer;

    /// The key prefix of a view and the observer of its changes.
    struct View {
        std::string prefix;
        Observer observer;
    };

    /// Called with changes that this node has read itself. @p isOverdue is true if it has made the call because no
    /// delta arrived in time.
    using OnRead = std::function<void(const RegistryUpdate &update, bool isOverdue)>;

    /// @p drainBound is the time for which upstreams keep serving after they have announced that they leave.
    /// @p jitterFactor, from 1 to 1.3, differs between nodes and scales the pause of a standby: the first one to call
    /// the store reads for all. @p onRead is called with changes to be sent to the nodes of the failure domain.
    RegistryViews(Http::EventLoop &loop, Store &store, Duration drainBound, View operatorDocuments,
                  View upstreamRecords, View ownRecords, double jitterFactor, OnRead onRead)
        : m_jitterFactor(jitterFactor)
        , m_onRead(std::move(onRead))
        , m_operatorDocuments(loop, store, operatorDocuments.prefix, {operatorPause, operatorWatchTimeout},
                              withPublishing(RegistryView::OperatorDocuments, std::move(operatorDocuments.observer)))
        , m_upstreamRecords(loop, store, upstreamRecords.prefix, {upstreamPause(drainBound), shortWatchTimeout},
                            withPublishing(RegistryView::UpstreamRecords, std::move(upstreamRecords.observer)))
        , m_ownRecords(loop, store, ownRecords.prefix, {ownPause, longWatchTimeout},
                       withPublishing(RegistryView::OwnRecords, std::move(ownRecords.observer)))
    {
    }

    /// Starts with a snapshot of each view. Call once.
    void start()
    {
        m_operatorDocuments.start();
        m_upstreamRecords.start();
        m_ownRecords.start();
    }

    /// Sets the role of this node, and with it the pauses between its calls.
    void setRole(ReadRole role, Duration drainBound)
    {
        const auto pause = upstreamPause(drainBound);
        const auto standbyPause = std::chrono::duration_cast<Duration>(pause * standbyPauseFactor * m_jitterFactor);
        const auto pausesOf = [&](Duration pauseOfReader, Duration joiningPause) -> typename Follower::Pauses {
            switch (role) {
            case ReadRole::Reader:
                return {pauseOfReader, {}, retryPause, {}};
            case ReadRole::Standby:
                return {standbyPause, standbyPause, standbyPause, standbyPause};
            case ReadRole::Joining:
                break;
            }
            return {joiningPause, joiningPause, retryPause, joiningPause};
        };
        m_operatorDocuments.setPauses(pausesOf(operatorPause, joiningPause));
        m_upstreamRecords.setPauses(pausesOf(pause, joiningPause));
        m_ownRecords.setPauses(pausesOf(ownPause, joiningOwnPause));
    }

    /// Applies changes that the reader of the failure domain has sent, which arrived at @p arrivedAt or later.
    void onDelta(const RegistryUpdate &update, Instant arrivedAt)
    {
        std::optional<Instant> readAt;
        if (update.delta.age)
            readAt = arrivedAt - *update.delta.age;
        if (readAt)
            m_revisionTimes.record(update.delta.revision, *readAt);
        followerOf(update.view).onDelta(update.delta, readAt);
    }

    /// Returns the earliest time at which the change with @p revision may have been made in the store; Instant::min()
    /// if nothing is known of it, as for what the first snapshot contains.
    Instant earliestTimeOf(Revision revision) const
    {
        return m_revisionTimes.earliestTimeOf(revision);
    }

    /// Calls the store soon if this node lacks the change of the operator's documents at @p revision, which another
    /// node knows.
    void onNewerOperatorChange(Revision revision)
    {
        m_operatorDocuments.onNewerChange(revision);
    }

    /// Returns the revision of the newest change of the operator's documents that this node knows; 0 if it knows none.
    Revision newestOperatorChange() const
    {
        return m_operatorDocuments.newestChange();
    }

    /// Reads snapshots of the other views after the watch on the upstreams' records has failed: their connections may
    /// have failed too, undetected so far.
    void reconnectOthers()
    {
        m_operatorDocuments.reconnect();
        m_ownRecords.reconnect();
    }

    /// Reads all views anew, as the store has come back from an older copy.
    void restart()
    {
        m_revisionTimes = {};
        m_operatorDocuments.restart();
        m_upstreamRecords.restart();
        m_ownRecords.restart();
    }

    /// Calls the store, whose answer states its era, as another node has reported a later one.
    void confirmEra()
    {
        m_ownRecords.readAgain();
    }

private:
    static constexpr Duration operatorPause = std::chrono::milliseconds{100};
    /// Pause of the reader between two watches of the upstreams' records, as a fraction of the drain bound. All
    /// upstreams together write heartbeats many times a second, which are read in batches.
    static constexpr double upstreamPauseFraction = 0.32;
    static constexpr Duration ownPause = std::chrono::milliseconds{100};
    /// Timeout of the watch on the upstreams' records. Heartbeats answer it long before, so that a dead connection is
    /// detected there first. The other watches wait longer, as each call is billed, and are restarted when this one
    /// fails.
    static constexpr Duration shortWatchTimeout = std::chrono::seconds{1};
    /// Timeout of the watch on the operator's documents. A channel that has gone silent withholds them for no longer
    /// than this and the time for the store's answer, together the time after which the users' rules bind again (3 s),
    /// also where no peer tells of newer ones.
    static constexpr Duration operatorWatchTimeout = std::chrono::milliseconds{2300};
    static constexpr Duration longWatchTimeout = std::chrono::seconds{10};
    /// Factor of a standby's pause over the reader's; it allows for a call and a datagram. Both pauses and one call
    /// stay within the drain bound together.
    static constexpr double standbyPauseFactor = 1.3;
    static constexpr Duration joiningPause = std::chrono::milliseconds{1200};
    /// Pause of a joining node for the nodes' own records. Shorter than joiningPause: where all nodes of a fleet start
    /// together, they must discover each other before one of them acquires the order leases.
    static constexpr Duration joiningOwnPause = std::chrono::milliseconds{400};
    /// Pause after a failed call, except for a standby.
    static constexpr Duration retryPause = std::chrono::milliseconds{400};

    static Duration upstreamPause(Duration drainBound)
    {
        return std::chrono::duration_cast<Duration>(drainBound * upstreamPauseFraction);
    }

    Follower &followerOf(RegistryView view)
    {
        switch (view) {
        case RegistryView::OperatorDocuments:
            return m_operatorDocuments;
        case RegistryView::UpstreamRecords:
            return m_upstreamRecords;
        case RegistryView::OwnRecords:
            break;
        }
        return m_ownRecords;
    }

    Observer withPublishing(RegistryView view, Observer observer)
    {
        observer.onRead = [this, view](const RegistryDelta &delta) {
            m_onRead({view, delta}, followerOf(view).wasOverdue());
            if (view == RegistryView::UpstreamRecords)
                publishEmptyDeltas();
        };
        observer.onRevision
            = [this](Revision revision, Instant calledAt) { m_revisionTimes.record(revision, calledAt); };
        observer.onAnswered = [this] {
            for (auto *follower : {&m_operatorDocuments, &m_upstreamRecords, &m_ownRecords})
                follower->retryNow();
        };
        return observer;
    }

    /// Confirms this node's revisions of the other views to the failure domain when the store has answered for the
    /// upstreams' records, which shows that it is reachable.
    void publishEmptyDeltas()
    {
        if (const auto delta = m_operatorDocuments.emptyDelta())
            m_onRead({RegistryView::OperatorDocuments, *delta}, m_upstreamRecords.wasOverdue());
        if (const auto delta = m_ownRecords.emptyDelta())
            m_onRead({RegistryView::OwnRecords, *delta}, m_upstreamRecords.wasOverdue());
    }

    double m_jitterFactor;
    OnRead m_onRead;
    RevisionTimes m_revisionTimes;
    Follower m_operatorDocuments;
    Follower m_upstreamRecords;
    Follower m_ownRecords;
};

} // namespace Gypsumtally::Gateway
