#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "estimates/servicespeed.h"
#include "gateway/crashledger.h"
#include "gateway/registryshare.h"
#include "gateway/residency.h"
#include "gateway/upstreamstatement.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Where callers and peers reach a node, and since when its process has run.
struct NodeAddress {
    std::string node;
    std::string failureDomain;
    std::string region;
    Http::Endpoint callers;
    Http::Endpoint peers;
    std::int64_t startedAt = 0;
    double capacity
        = 1; ///< How well its machine suits work for others: its processor or its link, whichever is scarcer.

    friend bool operator==(const NodeAddress &, const NodeAddress &) = default;
};

/// How often a target of a service was asked for.
struct TargetDemand {
    std::string service;
    ModelTarget target;
    double requests = 0;
    std::vector<std::string> unfit; ///< Engines whose copy does not help the request that waits.
};

/// A copy that engines hold or drop, as the holder of the order lease tells all nodes.
struct PlacementNotice {
    std::string instance;
    ModelTarget target;
    std::uint64_t version = 0;
    bool dropped = false;
    Duration usableIn{};
};

/// Prompt tokens that are sent to an upstream.
struct PromptNotice {
    std::string instance;
    double tokens = 0;
    Duration in{}; ///< When they will be, from the notice on.
};

/// The speed of an engine as a node has learnt it.
struct StepNotice {
    std::string instance;
    double stepMs = 0; ///< For a token of a stream.
};

/// The speed of a service as a node has learnt it.
struct SpeedNotice {
    std::string service;
    Estimates::LearntSpeed speed;
};

/// An upstream wants no requests from the node that tells of it.
struct TurnAwayNotice {
    UpstreamProcess process;
    Duration time{};
};

/// A node gives no more orders to a shard's engines.
struct ReleaseNotice {
    unsigned shard = 0;
    std::uint64_t term = 0; ///< That it held the shard's lease in.
    Duration quietFor{}; ///< Since when nobody has ordered in that term or before; negative: until when one may.
};

/// What one node tells all others. Each part may be empty.
struct NodeReport {
    NodeAddress from; ///< Only node and startedAt, unless this is a digest.
    std::uint64_t sequence = 0; ///< Grows with each report of a process: one may overtake another.
    bool takesCallers = true; ///< False from the beginning of a graceful stop, and before the first configuration.
    bool reachesStore = true; ///< The store has answered the last call that follows it.
    std::vector<unsigned> ordering; ///< Shards whose engines the node orders at present.
    std::vector<ReleaseNotice> released; ///< Shards that it ordered until a moment ago.
    std::map<std::string, unsigned> inFlight; ///< Its requests at work, by upstream instance.
    bool hasInFlight = false; ///< Whether @c inFlight replaces what was told before.
    std::map<std::string, unsigned> changedInFlight; ///< Its requests at work at upstreams where that has changed.
    std::vector<StepNotice> steps; ///< Learnt since the last digest.
    std::vector<SpeedNotice> speeds; ///< With digests.
    std::vector<PromptNotice> prompts; ///< Sent just now, or about to be.
    std::vector<CrashReport> crashes;
    std::vector<UpstreamProcess> departures; ///< That have told the node that they leave.
    std::vector<TurnAwayNotice> turnedAway; ///< Just now.
    std::vector<PlacementNotice> placements; ///< From a holder only.
};

/// To whom the receiver of a message passes its reports on.
enum class Onward {
    Nobody,
    OwnDomain, ///< To the nodes of its failure domain.
    Everywhere, ///< To those, and to a relay of each other domain.
};

/// One datagram between nodes. Each part may be empty.
struct GatewayMessage {
    std::string sender; ///< The node that it came from, which may have passed on reports of others.
    Onward onward = Onward::Nobody;
    std::vector<NodeReport> reports;
    std::vector<TargetDemand> used; ///< To the holder: since the last message.
    unsigned shard = 0; ///< Whose holder @c wanted is for.
    std::vector<TargetDemand> wanted; ///< To the holder: requests that wait for a load.
    std::vector<PlacementNotice> missing; ///< To the holder: what engines have refused to serve.
    std::vector<PlacementNotice> found; ///< From the holder: copies of what the receiver wanted.
    std::vector<RegistryUpdate> registry; ///< What the sender has read of the store for its failure domain.
};

/// Thread-safe.
std::string encode(const GatewayMessage &message);

/// Returns nothing if @p text is no message. Thread-safe.
std::optional<GatewayMessage> decodeGatewayMessage(std::string_view text);

/// The form of an address in the store. Thread-safe.
std::string encode(const NodeAddress &address);

/// Returns nothing if @p text is no address. Thread-safe.
std::optional<NodeAddress> decodeNodeAddress(std::string_view text);

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::Onward, 3> enumNames<Gateway::Onward>{{
    {Gateway::Onward::Nobody, "nobody"},
    {Gateway::Onward::OwnDomain, "own-domain"},
    {Gateway::Onward::Everywhere, "everywhere"},
}};

} // namespace Gypsumtally
