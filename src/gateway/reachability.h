#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// How an upstream failed to answer this node.
enum class ReachFailure {
    NotConnected, ///< A connection was refused or closed, so that the path or the process has failed.
    Unanswered, ///< A connection or a probe brought nothing in time, which a silent upstream does too.
    Broken, ///< An exchange broke off.
    Silent, ///< An exchange has brought nothing for long.
};

/// Why an upstream counts as cut off from this node.
enum class ReachEvidence {
    PeerContact, ///< It has answered another node since it began to fail this one.
    OtherCuts, ///< Others are cut off, and nothing has arrived from it or its like since.
};

/// What an upstream has answered.
enum class ContactKind {
    Request, ///< A request or a question for its state.
    Order, ///< An order, which an engine may take while it answers nothing else.
};

/// A process that a node fails to reach.
struct FailedReach {
    UpstreamProcess process;
    bool isQuestion = false; ///< The node asks the others whether the process answers them.

    friend bool operator==(const FailedReach &, const FailedReach &) = default;
};

/// The latest contact of a node with a process.
struct ReachContact {
    UpstreamProcess process;
    Duration age{}; ///< Time from the contact to the report.

    friend bool operator==(const ReachContact &, const ReachContact &) = default;
};

/// An upstream that this node has lost or found.
struct ReachChange {
    UpstreamProcess process;
    bool isLost = false;
    ReachEvidence evidence = ReachEvidence::PeerContact;
    ReachFailure failure = ReachFailure::NotConnected; ///< The last one.
    Duration
        lasted{}; ///< Time from the first failure if it was lost, if that had failed; or from the loss if it was found.
    std::string peer; ///< The node that had contact; empty if none had.
    Duration peerContactAfter{}; ///< Time from the first failure to that contact.
};

/// Tells which upstream processes this node is cut off from: those that fail it while they answer other nodes. What
/// fails all nodes is an outage of the upstream and no cut. Evidence travels on request: a node with failures asks, and
/// a few nodes that have had contact since, or have probed the upstream, answer. Not thread-safe; does no I/O.
class Reachability
{
public:
    /// Time from a failure to the arrival of other nodes' evidence.
    static constexpr Duration evidenceTime = std::chrono::milliseconds{250};
    /// Limit on the processes in each part of a report.
    static constexpr std::size_t maxReported = 128;

    /// Sets the current process of an instance, an upstream of @p service.
    void onProcess(const UpstreamProcess &process, const std::string &service, Instant now);

    /// Records that @p instance has no process any more.
    void onGone(const std::string &instance, Instant now);

    /// Records that @p process has failed this node. Failures that a silent upstream causes too show a cut only with a
    /// probe that another node's contact has overtaken.
    void onFailure(const UpstreamProcess &process, Instant now, ReachFailure failure = ReachFailure::NotConnected);

    /// Records that bytes of an answer of @p process to a request that was sent at @p sentAt have arrived here. Answers
    /// to requests that were sent before a connection failed do not disprove that failure.
    void onContact(const UpstreamProcess &process, Instant now, Instant sentAt = Instant::max(),
                   ContactKind kind = ContactKind::Request);

    /// Records that peer @p node has had bytes from @p process at @p at.
    void onPeerContact(const std::string &node, const UpstreamProcess &process, Instant at);

    /// Records that peer @p node fails to reach the process of @p failed. @p self is this node and @p peers are the
    /// other live ones, from which few are selected to probe the process.
    void onPeerFailure(const std::string &node, const FailedReach &failed, const std::string &self,
                       const std::set<std::string> &peers, Instant now);

    /// Records that @p processes are all that @p node is cut off from.
    void onPeerCuts(const std::string &node, const std::vector<UpstreamProcess> &processes, Instant now);

    /// Returns true if this node does not reach the current process of @p instance while other nodes do.
    bool isCutOff(const std::string &instance, Instant now) const;

    /// Returns true if peer @p node has reported that it does not reach @p instance.
    bool isPeerCutOff(const std::string &node, const std::string &instance, Instant now) const;

    /// Returns true if @p process has answered another node after it failed this one at @p since.
    bool hasAnsweredPeerSince(const UpstreamProcess &process, Instant since) const;

    /// Returns the instances that this node is cut off from.
    const std::set<std::string> &cutOff() const
    {
        return m_cutOff;
    }

    /// Returns the processes that this node is cut off from, at most maxReported.
    std::vector<UpstreamProcess> cuts() const;

    /// Removes the instances for which @p isKnown returns false.
    template<typename IsKnown>
    void retain(IsKnown &&isKnown, Instant now)
    {
        std::vector<std::string> gone;
        for (const auto &[instance, startedAt] : m_current) {
            if (!isKnown(instance))
                gone.push_back(instance);
        }
        for (const auto &instance : gone)
            onGone(instance, now);
    }

    /// Returns true if cuts() has changed since the last call.
    bool takeCutsChanged()
    {
        return std::exchange(m_cutsChanged, false);
    }

    /// Returns true if processes have failed this node that were not reported yet.
    bool hasNewFailures() const
    {
        return m_hasNewFailures;
    }

    /// Returns the failures to report to all nodes now. Each is returned a few times, as datagrams may be lost.
    std::vector<FailedReach> takeFailures(Instant now);

    /// Returns the contacts to report to all nodes now, as other nodes have asked.
    std::vector<ReachContact> takeAnswers(Instant now);

    /// Returns the processes to probe now over new connections; the results go to onFailure() and onContact(). Call it
    /// several times per second.
    std::vector<UpstreamProcess> takeProbes(Instant now);

    /// Returns true if a failure of @p process was one to connect, which a connection disproves. Other failures are
    /// disproved by an answer alone, as a connection may be accepted where nothing passes it on.
    bool hasFailedToConnect(const UpstreamProcess &process) const;

    /// Records that @p process is probed now for another reason than takeProbes().
    void onProbed(const UpstreamProcess &process, Instant now);

    /// Records that the probe of takeProbes() or onProbed() that began at @p startedAt has ended, or was not sent. Call
    /// it before its result is recorded. Does nothing if a later probe has begun.
    void onProbeEnded(const UpstreamProcess &process, Instant startedAt);

    /// Returns the upstreams that were lost or found since the last call.
    std::vector<ReachChange> takeChanges();

private:
    struct Link {
        std::string service;
        Instant contactAt{};
        /// When the last request was sent that it has answered; the evidence that other nodes get. A silent upstream
        /// may go on with what it had begun before.
        Instant requestContactAt{};
        Instant failingSince{}; ///< First failure without contact since.
        Instant connectFailedAt{}; ///< Last failed connection.
        Instant failedAt{}; ///< Last failure of any kind.
        ReachFailure failure = ReachFailure::NotConnected; ///< The last one.
        unsigned failures = 0; ///< Without contact since.
        bool isFailing = false; ///< The failures suffice for a cut if other nodes have contact.
        bool isUnanswered = false; ///< A connection or probe brought nothing in time.
        Instant openProbeAt{}; ///< Start of the probe that has not ended.
        Instant overtakenAt{}; ///< Time at which another node's contact was seen that is later than that start.
        bool isShownCut = false; ///< Other nodes have had contact since.
        unsigned reports = 0; ///< Of the failure, to all nodes.
        Instant reportedAt{};
        bool isProbedForPeer = false;
        Instant probedAt{};
        Instant peerContactAt{};
        std::string peer; ///< Had contact at peerContactAt.
        Instant answeredAt{};
        Instant askedAt{}; ///< Earliest question of another node that is not answered yet.
        Instant lastAskedAt{}; ///< Latest question of another node.
        unsigned rank = 0; ///< Of this node among those that may probe for another.
        Instant lostAt{};
        Instant replacedAt{}; ///< Set if it is not the current process of its instance any more.
    };

    struct PeerState {
        std::set<std::string> cutOff; ///< Instances.
        Instant statedAt{};
        std::map<UpstreamProcess, Instant> failedAt;
    };

    using Links = std::map<UpstreamProcess, Link>;

    /// The cuts that have been shown, among the upstreams of one service or of all.
    struct Scope {
        unsigned shownCuts = 0;
        Instant lastFailureBegan{}; ///< Of those that are shown cut.
        Instant contactAt{}; ///< With any upstream.
    };

    Link *current(const UpstreamProcess &process);
    bool isOutdated(const UpstreamProcess &process) const;
    Link &currentOrNew(const UpstreamProcess &process, Instant now);
    void clearFailures(Link &link);
    static void onAnswered(Link &link, Instant contactAt);
    void update(Instant now);
    void addChange(const std::string &instance, bool isLost, Instant now);
    bool isPresumedCut(const Link &link, const Scope &service, const Scope &all) const;
    unsigned rankFor(const UpstreamProcess &process, const std::string &self, const std::set<std::string> &peers,
                     Instant now) const;
    void prune(Instant now);
    static bool needsProbe(const Link &link, Instant now);
    static void openProbe(Link &link, Instant now);
    static void closeProbe(Link &link);
    void confirmCuts(Instant now);
    void addCutProbes(std::vector<UpstreamProcess> &probes, Instant now);

    Links m_links;
    std::map<std::string, std::int64_t> m_current; ///< Start time of the current process, by instance.
    std::map<std::string, PeerState> m_peers;
    std::set<std::string> m_cutOff; ///< Instances.
    std::vector<ReachChange> m_changes;
    bool m_cutsChanged = false;
    bool m_hasNewFailures = false;
    Instant m_confirmedAt{}; ///< Last call of takeProbes().
    Instant m_cutProbedAt{};
    Instant m_foundAt{}; ///< Last time at which an upstream that was cut off was found.
    Instant m_lastCutBegan{}; ///< Latest first failure of an upstream that is shown cut off.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::ReachFailure, 4> enumNames<Gateway::ReachFailure>{{
    {Gateway::ReachFailure::NotConnected, "not_connected"},
    {Gateway::ReachFailure::Unanswered, "unanswered"},
    {Gateway::ReachFailure::Broken, "broken"},
    {Gateway::ReachFailure::Silent, "silent"},
}};

template<>
inline constexpr EnumTable<Gateway::ReachEvidence, 2> enumNames<Gateway::ReachEvidence>{{
    {Gateway::ReachEvidence::PeerContact, "peer_contact"},
    {Gateway::ReachEvidence::OtherCuts, "other_cuts"},
}};

} // namespace Gypsumtally
