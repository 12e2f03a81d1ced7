#pragma once

#include "allowances/fleetallowance.h"
#include "budget/memorybudget.h"
#include "estimates/pacemargin.h"
#include "gateway/crashledger.h"
#include "gateway/declaredversion.h"
#include "gateway/enginechoice.h"
#include "gateway/gatewaymessage.h"
#include "gateway/reachability.h"
#include "gateway/relaychoice.h"
#include "gateway/retryallowance.h"
#include "gateway/streamversions.h"
#include "gateway/trafficpolicy.h"
#include "gateway/upstreamstatement.h"
#include "gateway/upstreamtable.h"
#include "scheduling/capacityreserve.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace Gypsumtally::Gateway
{

/// Demand for one target at this node.
struct TargetUse {
    std::string service;
    unsigned inFlight = 0; ///< Requests in progress.
    unsigned started = 0; ///< Requests begun since the last report to the lease holder.
};

/// State and callbacks with which this node decides how to route requests. Not thread-safe: for the loop's thread only.
struct CallContext {
    std::string node; ///< This node.
    std::string failureDomain;
    Regions regions;
    std::shared_ptr<const RouteTable> routes; ///< Null until the first configuration is received.
    Instant configuredAt{}; ///< When they were put in force.
    UpstreamTable upstreams;
    Reachability reach; ///< Of the upstreams, from this node and the others.
    bool hasPeers = false; ///< Other nodes are live, whose evidence tells a cut from a crash.
    std::map<std::string, Estimates::ServiceSpeed> speeds; ///< By service.
    std::map<std::string, Estimates::PaceMargin> paceMargins; ///< By service.
    Scheduling::CapacityReserve reserve; ///< Of services' capacity for urgent calls.
    /// Less urgent calls leave a part of the capacity to urgent ones. If not, they only go after those that wait.
    bool reservesCapacity = false;
    bool hasAdaptiveCapacity = false; ///< Learns recent speeds and limits of upstreams; see Upstream::capacity.
    Instant lastTickAt{}; ///< Of this node's loop, which ticks at short intervals.
    Instant stalledAt{}; ///< End of the last interval between ticks that was much longer: the node read nothing then.
    /// By service: the slowness of an upstream up to which callers get what they need.
    std::map<std::string, double> tolerableSlowness;
    RetryAllowance allowance{RetryBound{}};
    Allowances::FleetAllowance fleetAllowance; ///< Of organisations.
    CrashLedger crashes;
    bool awaitsVerdicts = false; ///< The store's verdicts on causes of crashes are not known yet.
    StreamVersions streams;
    std::unordered_map<ModelTarget, DeclaredVersion> declared;
    std::unordered_map<ModelTarget, TargetUse> uses;
    /// Fraction of upstreams' request limits that this node and those in contact with it may use.
    double limitShare = 1;
    NodeRank rank; ///< This node's among the live ones.
    std::size_t maxBufferedAnswerBytes = 64 * 1024 * 1024; ///< Limit on the buffered bytes of all incomplete answers.
    Budget::MemoryBudget *memory = nullptr; ///< Limits the buffered answers as well; null: it does not.
    std::size_t maxRelayedCalls = 200; ///< Limit on the calls of other nodes in progress here.
    /// True if some node orders loads, or if this node has started too recently to have received reports of one.
    bool loadOrdersAvailable = false;
    /// Start of the outage of load orders. It is assumed to last for as long again, as the lengths of outages differ by
    /// orders of magnitude.
    Instant loadOutageSince{};
    /// Returns the peers that calls may be passed to.
    std::function<std::vector<RelayPeer>()> relayPeers;
    /// Returns true if peer @p node is live; it may be about to stop.
    std::function<bool(const std::string &node)> isPeerLive;
    /// Requests a load of @p target from a lease holder. @p attempt counts the request's earlier ones; copies at the
    /// engines in @p unfit cannot serve it.
    std::function<void(const std::string &service, const ModelTarget &target, const std::vector<std::string> &unfit,
                       unsigned attempt)>
        onLoadRequested;
    /// Announces to the other nodes that a request is sent to an upstream, or withdraws an announcement.
    std::function<void(const SendNotice &notice)> onSend;
    /// Reports to the other nodes how many requests of this one are in flight at an upstream.
    std::function<void(const std::string &instance)> onLoadChanged;
    /// Notifies the lease holder that an engine does not hold a target.
    std::function<void(const std::string &instance, const ModelTarget &target)> onMissing;

    /// Logs the effects of a statement by @p process and broadcasts them to the other nodes.
    std::function<void(const UpstreamProcess &process, const StatementEffect &effect,
                       const std::vector<std::string> &unreadable)>
        onStatement;

    /// Broadcasts what this node has seen of the crash of an upstream.
    std::function<void(const CrashReport &report)> onCrash;
    /// Logs that a presumed crash was none, as the upstream has answered other nodes since.
    std::function<void(const CrashReport &report)> onCrashRefuted;
    /// Broadcasts what follows from a success for causes of crashes.
    std::function<void(const SuccessEffects &effects)> onSuccess;

    /// Broadcasts that a stream of this node broke off, so that its caller may take it up at any node.
    std::function<void(const StreamOrigin &stream)> onStreamBroken;
    /// Returns the last time at which a node may have begun streams that has not been heard from since @p time.
    std::function<Instant(Instant time)> lastUnheard;
    /// Reads from the store at which software version other nodes' streams began.
    std::function<void()> onStreamWanted;

    /// Logs that an upstream was lost or found, and lets waiting calls be routed again.
    std::function<void(const ReachChange &change)> onReachChange;
    /// Reports to the other nodes without delay that an upstream has failed this node.
    std::function<void()> onReachFailure;

    /// Records the current process of an upstream.
    void recordProcess(const UpstreamRecord &record, Instant now);

    /// Records that @p process has failed this node, which tells nothing about the process itself.
    void recordFailure(const UpstreamProcess &process, ReachFailure failure, Instant now);

    /// Records that bytes of an answer of @p process to what was sent at @p sentAt have arrived.
    void recordContact(const UpstreamProcess &process, Instant now, Instant sentAt,
                       ContactKind kind = ContactKind::Request);

    /// Applies changes of the reach to the upstreams. To be called after evidence of other nodes was recorded.
    void applyReach(Instant now);

    /// Records that an upstream wrote an answer to a request with @p causes that was sent at @p sentAt.
    void recordSuccess(const std::vector<CrashCause> &causes, Instant sentAt, Instant now);

    /// Applies the statement in an answer of @p process to a request that was sent at @p sentAt; see applyStatement().
    void recordStatement(const UpstreamProcess &process, const UpstreamStatement &statement, Instant now,
                         Instant sentAt = {});

    /// Records in the upstream's tables that this node sends the request of @p notice, and announces it to the others.
    void announceSend(const SendNotice &notice, Instant now);

    /// Records the declaration of a version of @p target; see DeclaredVersion::declare().
    bool declare(const ModelTarget &target, std::uint64_t version, Instant earliest, Instant now);

    /// Returns the oldest version of @p target that may serve at @p now; 0 if any may.
    std::uint64_t minVersion(const ModelTarget &target, Instant now) const;
};

} // namespace Gypsumtally::Gateway
