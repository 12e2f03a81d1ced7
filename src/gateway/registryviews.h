#pragma once

#include "gateway/registryfollower.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The part that a node takes in reading changes from the store. Every node reads a snapshot at its start.
enum class ReadRole {
    Unsettled, ///< Has just started and has not received reports of the other nodes yet.
    Reader, ///< Reads all changes on behalf of its failure domain.
    ReadFor, ///< Standby: receives the reader's deltas, and calls the store only if they are overdue or have gaps.
};

/// Follows all views of the store that a node needs. In each failure domain one node, the reader, sends the changes to
/// the others, which call the store themselves only when these stop or have gaps. Loop's thread only.
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
    /// @p patienceFactor, from 1 to 1.3, differs between nodes and scales the pause of a standby: the first one to call
    /// the store reads for all. @p onRead is called with changes to be sent to the nodes of the failure domain.
    RegistryViews(Http::EventLoop &loop, Store &store, Duration drainBound, View operatorDocuments,
                  View upstreamRecords, View ownRecords, double patienceFactor, OnRead onRead)
        : m_patienceFactor(patienceFactor)
        , m_onRead(std::move(onRead))
        , m_operatorDocuments(loop, store, operatorDocuments.prefix, {operatorPause, longWait},
                              sharing(RegistryView::OperatorDocuments, std::move(operatorDocuments.observer)))
        , m_upstreamRecords(loop, store, upstreamRecords.prefix, {upstreamPause(drainBound), shortWait},
                            sharing(RegistryView::UpstreamRecords, std::move(upstreamRecords.observer)))
        , m_ownRecords(loop, store, ownRecords.prefix, {ownPause, longWait},
                       sharing(RegistryView::OwnRecords, std::move(ownRecords.observer)))
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
        const auto patience = std::chrono::duration_cast<Duration>(pause * sharedPauseFactor * m_patienceFactor);
        const auto pausesOf = [&](Duration pauseOfReader, Duration unsettledPause) -> typename Follower::Pauses {
            switch (role) {
            case ReadRole::Reader:
                return {pauseOfReader, {}, retryPause, {}};
            case ReadRole::ReadFor:
                return {patience, patience, patience, patience};
            case ReadRole::Unsettled:
                break;
            }
            return {unsettledPause, unsettledPause, retryPause, unsettledPause};
        };
        m_operatorDocuments.setPauses(pausesOf(operatorPause, unsettledPause));
        m_upstreamRecords.setPauses(pausesOf(pause, unsettledPause));
        m_ownRecords.setPauses(pausesOf(ownPause, unsettledOwnPause));
    }

    /// Applies changes that the reader of the failure domain has sent.
    void onShared(const RegistryUpdate &update)
    {
        followerOf(update.view).onShared(update.share);
    }

    /// Reads the other views anew after the watch on the upstreams' records has failed: their connections may be dead,
    /// too, with the failure not detected yet.
    void renewOthers()
    {
        m_operatorDocuments.renew();
        m_ownRecords.renew();
    }

private:
    static constexpr Duration operatorPause = std::chrono::milliseconds{100};
    /// Pause of the reader between two watches of the upstreams' records, as a fraction of the drain bound. Upstreams
    /// write heartbeats many times a second, which are read in batches.
    static constexpr double upstreamPausePart = 0.32;
    static constexpr Duration ownPause = std::chrono::milliseconds{100};
    /// Timeout of the watch on the upstreams' records. Heartbeats answer it long before, so that a dead connection is
    /// detected there first. The other watches wait longer, as each call is billed, and are restarted when this one
    /// fails.
    static constexpr Duration shortWait = std::chrono::seconds{1};
    static constexpr Duration longWait = std::chrono::seconds{10};
    /// Factor of a standby's pause over the reader's; it allows for a call and a datagram. Both pauses and one call
    /// stay within the drain bound together.
    static constexpr double sharedPauseFactor = 1.3;
    static constexpr Duration unsettledPause = std::chrono::milliseconds{1200};
    /// Shorter for the nodes' own records: where all nodes of a fleet start together, they must discover each other
    /// before one of them acquires the order leases.
    static constexpr Duration unsettledOwnPause = std::chrono::milliseconds{400};
    /// Pause after a failed call, except for a standby.
    static constexpr Duration retryPause = std::chrono::milliseconds{400};

    static Duration upstreamPause(Duration drainBound)
    {
        return std::chrono::duration_cast<Duration>(drainBound * upstreamPausePart);
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

    Observer sharing(RegistryView view, Observer observer)
    {
        observer.onRead = [this, view](const RegistryShare &share) {
            m_onRead({view, share}, followerOf(view).wasOverdue());
            if (view == RegistryView::UpstreamRecords)
                shareSignsOfLife();
        };
        observer.onAnswered = [this] {
            for (auto *follower : {&m_operatorDocuments, &m_upstreamRecords, &m_ownRecords})
                follower->retryNow();
        };
        return observer;
    }

    /// Confirms this node's revisions of the other views to the failure domain when the store has answered for the
    /// upstreams' records, which shows that it is reachable.
    void shareSignsOfLife()
    {
        if (const auto share = m_operatorDocuments.signOfLife())
            m_onRead({RegistryView::OperatorDocuments, *share}, m_upstreamRecords.wasOverdue());
        if (const auto share = m_ownRecords.signOfLife())
            m_onRead({RegistryView::OwnRecords, *share}, m_upstreamRecords.wasOverdue());
    }

    double m_patienceFactor;
    OnRead m_onRead;
    Follower m_operatorDocuments;
    Follower m_upstreamRecords;
    Follower m_ownRecords;
};

} // namespace Gypsumtally::Gateway
