#pragma once

#include "gateway/registryfollower.h"

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// What a node reads of the store, beside a snapshot at its start.
enum class ReadRole {
    Unsettled, ///< It has just started and has not heard the others yet.
    Reader, ///< All changes, for its failure domain.
    ReadFor, ///< What the node that reads for it has not told in time.
};

/// All that a node follows in the store. In each failure domain one node reads for the others, which go on by its
/// shares and ask themselves where these end. Loop's thread only.
template<GatewayStore Store>
class RegistryViews
{
public:
    using Follower = RegistryFollower<Store>;
    using Observer = typename Follower::Observer;

    struct View {
        std::string prefix;
        Observer observer;
    };

    /// What this node has read, and whether it has since the reader of its failure domain had told nothing for long.
    using OnRead = std::function<void(const RegistryUpdate &update, bool isOverdue)>;

    /// @p drainBound is how long upstreams serve after they said that they leave. @p patienceFactor, from 1 to 1.3, is
    /// another one for each node: the first one to lose patience reads for all. @p onRead is called with what this
    /// node has read, to be told to the nodes of its failure domain.
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

    /// Starts to follow. Call once.
    void start()
    {
        m_operatorDocuments.start();
        m_upstreamRecords.start();
        m_ownRecords.start();
    }

    /// Sets whether this node reads for the others of its failure domain.
    void setRole(ReadRole role, Duration drainBound)
    {
        const auto pause = upstreamPause(drainBound);
        const auto patience = std::chrono::duration_cast<Duration>(pause * sharedPauseFactor * m_patienceFactor);
        const auto pausesOf = [&](Duration pauseOfReader, Duration unsettledPause) -> typename Follower::Pauses {
            switch (role) {
            case ReadRole::Reader:
                return {pauseOfReader, {}, retryInterval, {}};
            case ReadRole::ReadFor:
                return {patience, patience, patience, patience};
            case ReadRole::Unsettled:
                break;
            }
            return {unsettledPause, unsettledPause, retryInterval, unsettledPause};
        };
        m_operatorDocuments.setPauses(pausesOf(operatorPause, unsettledPause));
        m_upstreamRecords.setPauses(pausesOf(pause, unsettledPause));
        m_ownRecords.setPauses(pausesOf(ownPause, unsettledOwnPause));
    }

    /// Takes in what the node that reads for this one has read.
    void onShared(const RegistryUpdate &update)
    {
        followerOf(update.view).onShared(update.share);
    }

    /// The upstreams' watch has broken: the other connections may be as dead without having shown it yet.
    void renewOthers()
    {
        m_operatorDocuments.renew();
        m_ownRecords.renew();
    }

private:
    static constexpr Duration operatorPause = std::chrono::milliseconds{100};
    /// Heartbeats come many times a second; between two batches of them passes this part of the time that upstreams
    /// serve on after they said that they leave.
    static constexpr double upstreamPausePart = 0.32;
    static constexpr Duration ownPause = std::chrono::milliseconds{100};
    /// Heartbeats answer the upstreams' watch long before this, so that a dead connection shows there first. The others
    /// wait longer, as each call is priced, and ask anew when the upstreams' watch breaks.
    static constexpr Duration shortWait = std::chrono::seconds{1};
    static constexpr Duration longWait = std::chrono::seconds{10};
    /// A node that is read for waits longer by this before it asks itself: the time of a call and a datagram. Both
    /// pauses and a call together stay within the time that drains allow.
    static constexpr double sharedPauseFactor = 1.3;
    static constexpr Duration unsettledPause = std::chrono::milliseconds{1200};
    /// All nodes of a fleet may start together: they are to know of each other before they take the leases of holders.
    static constexpr Duration unsettledOwnPause = std::chrono::milliseconds{400};
    static constexpr Duration retryInterval = std::chrono::milliseconds{400}; ///< Of the node that reads for others.

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

    /// The store has just answered for the upstreams' records: what this node knows of the others stands as well.
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
