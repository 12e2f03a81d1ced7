#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "estimates/servicespeed.h"
#include "gateway/crashledger.h"
#include "gateway/reachability.h"
#include "gateway/registrydelta.h"
#include "gateway/residency.h"
#include "gateway/streamversions.h"
#include "gateway/upstreamstatement.h"
#include "gateway/upstreamtable.h"
#include "scheduling/urgency.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The identity, endpoints, start time and capacity of a node's process.
struct NodeAddress {
    std::string node;
    std::string failureDomain;
    std::string region;
    Http::Endpoint callers;
    Http::Endpoint peers;
    std::int64_t startedAt = 0; ///< Wall clock, in ms since the Unix epoch.
    double capacity = 1; ///< Relative capacity of the machine's processor or link, whichever is scarcer.

    friend bool operator==(const NodeAddress &, const NodeAddress &) = default;
};

/// The number of requests for one target of a service.
struct TargetDemand {
    std::string service;
    ModelTarget target;
    double requests = 0;
    std::vector<std::string> unfit; ///< Instances of engines whose copy cannot serve the waiting request.
};

/// A copy of a target that an engine holds, loads or has dropped, as reported by the holder of the order lease.
struct PlacementNotice {
    std::string instance;
    ModelTarget target;
    std::uint64_t version = 0; ///< 0 if unknown.
    bool dropped = false;
    Duration usableIn{}; ///< Time from the notice until the copy is usable.
};

/// A request that a node sends to an upstream, or has scheduled to send; or the withdrawal of such a notice.
struct SendNotice {
    std::string instance;
    double tokens = 0; ///< Prompt tokens; negative in a withdrawal.
    Duration in{}; ///< Time from the notice until the request is sent.
    /// 1 if the upstream limits its requests or is brittle, -1 in a withdrawal; 0 if not, as other requests are not
    /// counted.
    int requests = 0;
};

/// The request limit of an upstream, or its end, as known to the reporting node.
struct LimitNotice {
    UpstreamProcess process;
    std::optional<double> perSecond; ///< Nothing if the upstream does not limit its requests any more.
    Duration age{}; ///< Time from RequestLimit::asOf to the notice.
    unsigned earlierSends
        = 0; ///< The node's own in the second before it learnt of the limit; only in its first notice.
};

/// The brittleness of a service, or its end, as known to the reporting node.
struct BrittlenessNotice {
    std::string service;
    std::optional<unsigned> refusalsPerSecond; ///< Nothing if the service is not brittle any more.
    Duration age{}; ///< Time from Brittleness::asOf to the notice.
};

/// A node's estimates of an upstream's speed.
struct StepNotice {
    std::string instance;
    double stepMs = 0; ///< Milliseconds per token of a stream; 0 if there is no new estimate.
    /// The node's samples since its last notice, of the upstream's speed; without weight if there are none.
    Estimates::CapacityReport recent{};
    Duration age{}; ///< Time from the samples to the notice.
};

/// A node's estimate of a service's speed.
struct SpeedNotice {
    std::string service;
    Estimates::EstimatedSpeed speed;
};

/// An upstream that has applied backpressure to the reporting node.
struct TurnAwayNotice {
    UpstreamProcess process;
    Duration time{}; ///< Time from the notice until it accepts requests from that node again.
};

/// A node's announcement that it sends no more orders to a shard's engines. A successor then need not wait for the end
/// of its lease.
struct ReleaseNotice {
    unsigned shard = 0;
    std::uint64_t term = 0; ///< Lease term in which the node held the shard.
    /// Time since the last order in that term or an earlier one; negative if orders may still be sent for so long.
    Duration sinceLastOrder{};
};

/// What a node reaches. What fails all nodes counts as reached.
struct NodeReach {
    bool services = true; ///< Of each service, it reaches some upstream.
    bool engines = true; ///< It reaches at least half of the engines.

    friend bool operator==(const NodeReach &, const NodeReach &) = default;
};

/// One node's report to all others. Each part may be empty.
struct NodeReport {
    NodeAddress from; ///< Full in digests; only node and startedAt otherwise.
    std::uint64_t sequence = 0; ///< Increases with each report of a process, as reports may arrive out of order.
    bool takesCallers = true; ///< False before the first configuration and during a graceful stop.
    bool holdsVersions = false; ///< The node begins no streams at a software version that has just joined.
    bool reachesStore = true; ///< True if the store answered the node's last call for the upstreams' records.
    NodeReach reach;
    Revision operatorRevision = 0; ///< Of the newest change of the operator's documents it knows; in digests only.
    std::vector<unsigned> ordering; ///< Shards whose engines the node may send orders to.
    std::vector<ReleaseNotice> released; ///< Shards whose lease it has released recently.
    std::map<std::string, unsigned> inFlight; ///< Number of its in-flight requests, by upstream instance.
    bool hasInFlight = false; ///< True if @c inFlight replaces all counts reported before.
    std::map<std::string, unsigned> changedInFlight; ///< Changed counts; others stay as reported.
    std::vector<StepNotice> steps; ///< Estimates updated since the last digest, or that have just changed.
    std::vector<SpeedNotice> speeds; ///< Sent in digests only.
    std::vector<SendNotice> sends;
    std::vector<CrashReport> crashes;
    std::vector<CauseAcquittal> acquittals;
    std::vector<CrashCause> proposals; ///< Causes of crashes that the node is about to block.
    std::vector<CrashCause> lifted; ///< Causes that must not be blocked any more.
    std::vector<CrashVerdict> verdicts; ///< That the store may not have yet.
    std::vector<UpstreamProcess> departures; ///< Upstreams that have announced to the node that they leave.
    std::vector<TurnAwayNotice> turnedAway; ///< Upstreams that have just applied backpressure to the node.
    std::vector<LimitNotice> limits;
    std::vector<FailedReach> failedReach; ///< Processes that have just failed the node.
    std::vector<ReachContact> contacts; ///< With processes that nodes have asked about.
    std::vector<UpstreamProcess> cutOff; ///< That the node is cut off from, while others reach them.
    bool hasCutOff = false; ///< True if @c cutOff replaces what the node reported before.
    std::vector<BrittlenessNotice> brittleness;
    std::vector<StreamOrigin> brokenStreams; ///< Streams of the node that callers may take up.
    std::vector<PlacementNotice> placements; ///< Sent by the holder of an order lease only.
    /// What the process has charged to organisations with a rate limit, cumulative: changed sums, or in digests all.
    std::map<std::string, double> spent;

    /// Digests state the full address, and all of what other reports state the changes of.
    bool isDigest() const
    {
        return from.callers.port != 0;
    }
    /// Calls that wait at the node for capacity. Replaces what it reported before if it is not empty, or in digests.
    std::vector<Scheduling::WaitingCount> waiting;
};

/// The nodes to which the receiver of a message forwards the reports in it.
enum class ForwardScope {
    None,
    OwnDomain, ///< The other nodes of its failure domain.
    Everywhere, ///< The nodes of its failure domain and one relay of each other domain.
};

/// One datagram between nodes. Each part may be empty.
struct GatewayMessage {
    std::string sender; ///< The node that has sent the datagram; it may have forwarded reports of others.
    ForwardScope forwardScope = ForwardScope::None;
    std::vector<NodeReport> reports;
    std::vector<TargetDemand> used; ///< To the lease holder: requests since the last message.
    unsigned shard = 0; ///< Shard whose holder receives @c wanted.
    std::vector<TargetDemand> wanted; ///< To the lease holder: requests that wait for a load.
    std::vector<PlacementNotice> missing; ///< To the lease holder: targets that engines have refused to serve.
    std::vector<PlacementNotice> found; ///< From the lease holder: copies of targets that the receiver requested.
    std::vector<StreamOrigin> begunStreams; ///< To the recorder of the failure domain.
    std::vector<RegistryUpdate> registry; ///< Changes that the sender has read from the store for its failure domain.
};

/// Records in the upstream's tables that @p node sends the request of @p notice, or withdraws the notice.
void applySendNotice(UpstreamTable &table, const std::string &node, const SendNotice &notice, Instant now);

/// Updates the times in @p report, which are relative to when it was made, after it has been held for @p time.
/// Thread-safe.
void advance(NodeReport &report, Duration time);

/// Returns the datagram of @p message. Thread-safe.
std::string encode(const GatewayMessage &message);

/// Decodes a datagram; returns nothing if @p text is not a valid message, and skips reports that are not valid.
/// Thread-safe.
std::optional<GatewayMessage> decodeGatewayMessage(std::string_view text);

/// Returns the representation of @p address in the store. Thread-safe.
std::string encode(const NodeAddress &address);

/// Decodes an address from the store; returns nothing if @p text is not a valid one. Thread-safe.
std::optional<NodeAddress> decodeNodeAddress(std::string_view text);

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::ForwardScope, 3> enumNames<Gateway::ForwardScope>{{
    {Gateway::ForwardScope::None, "nobody"},
    {Gateway::ForwardScope::OwnDomain, "own-domain"},
    {Gateway::ForwardScope::Everywhere, "everywhere"},
}};

} // namespace Gypsumtally
