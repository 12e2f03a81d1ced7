#pragma once

#include "common/clock.h"
#include "gateway/crashledger.h"
#include "gateway/residency.h"
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

/// Prompt tokens that were sent to an upstream.
struct PromptNotice {
    std::string instance;
    double tokens = 0;
};

/// What nodes tell each other, in one datagram. Each part may be empty.
struct GatewayMessage {
    NodeAddress from; ///< Only node and startedAt, unless this is a digest.
    bool takesCallers = true; ///< False from the beginning of a graceful stop, and before the first configuration.
    std::vector<unsigned> ordering; ///< Shards whose engines the sender orders at present.
    std::map<std::string, UpstreamLoad> loads; ///< By upstream instance.
    bool hasLoads = false; ///< Whether @c loads is to replace what was told before.
    std::vector<PromptNotice> prompts; ///< Sent just now.
    std::vector<TargetDemand> used; ///< Since the last message.
    unsigned shard = 0; ///< Whose holder @c wanted is for.
    std::vector<TargetDemand> wanted; ///< Requests that wait for a load.
    std::vector<CrashReport> crashes;
    std::vector<PlacementNotice> placements; ///< From the holder only.
    std::vector<PlacementNotice> missing; ///< To the holder: what engines have refused to serve.
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
