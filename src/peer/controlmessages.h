#pragma once

#include "common/describedjson.h"
#include "common/identifiers.h"
#include "configuration/configurationkeeper.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// Names of the control methods, which docs/CONTROL.md describes.
namespace ControlMethod
{
inline constexpr const char *configGet = "config.get";
inline constexpr const char *configApply = "config.apply";
inline constexpr const char *configHistory = "config.history";
inline constexpr const char *configAnnounce = "config.announce"; ///< Between peers.
inline constexpr const char *configFetch = "config.fetch"; ///< Between peers.
inline constexpr const char *status = "status";
inline constexpr const char *explain = "explain";
inline constexpr const char *drain = "drain";
inline constexpr const char *quarantineList = "quarantine.list";
inline constexpr const char *quarantineClear = "quarantine.clear";
inline constexpr const char *reportBurn = "report.burn";
} // namespace ControlMethod

/// Parameters of a method that takes none.
struct NoParameters {
};
BOOST_DESCRIBE_STRUCT(NoParameters, (), ())

BOOST_DESCRIBE_STRUCT(Problem, (), (file, line, key, message))
BOOST_DESCRIBE_STRUCT(SettingChange, (), (key, before, after))
BOOST_DESCRIBE_STRUCT(ConfigurationChange, (), (version, id, author, reason, submittedAtMs))
BOOST_DESCRIBE_STRUCT(ApplyRequest, (), (changeId, baseVersion, author, reason, submittedAtMs, text, isRepeated))
BOOST_DESCRIBE_STRUCT(ApplyResult, (), (outcome, version, problems, changesSince, settingsSince, settingsWanted))

/// Result of config.get: the newest configuration that the node holds.
struct ConfigurationView {
    ConfigurationVersion version = 0; ///< 0 if none was ever applied; the built-in defaults are then in force.
    ConfigurationVersion versionInForce = 0; ///< Lower than `version` if the daemon could not read that version.
    std::string text;
    std::vector<Problem> problems; ///< Reasons why `version` is not in force.
};
BOOST_DESCRIBE_STRUCT(ConfigurationView, (), (version, versionInForce, text, problems))

/// Result of config.history.
struct ConfigurationHistory {
    std::vector<ConfigurationChange> changes; ///< Newest first.
};
BOOST_DESCRIBE_STRUCT(ConfigurationHistory, (), (changes))

/// Parameters and result of config.announce.
struct VersionAnnouncement {
    NodeId node; ///< The node that sends the announcement or the reply.
    ConfigurationVersion version = 0;
};
BOOST_DESCRIBE_STRUCT(VersionAnnouncement, (), (node, version))

/// Result of config.fetch.
struct EncodedConfiguration {
    std::string record; ///< Result of ConfigurationRecord::encode(); empty if the node has no configuration.
};
BOOST_DESCRIBE_STRUCT(EncodedConfiguration, (), (record))

struct NodeStatus {
    NodeId node;
    RegionId region;
    FailureDomainId failureDomain;
    Incarnation incarnation;
    std::string callersAddress;
    std::string peersAddress;
    std::string state; ///< `live`, `stopping` or `suspect`.
    ConfigurationVersion configurationVersion = 0; ///< Version in force on that node.
};
BOOST_DESCRIBE_STRUCT(NodeStatus, (),
                      (node, region, failureDomain, incarnation, callersAddress, peersAddress, state,
                       configurationVersion))

struct UpstreamStatus {
    UpstreamId upstream;
    std::string kind; ///< `engine` or `service`.
    RegionId region;
    std::string address;
    std::string state; ///< `live`, `leaving`, `draining` or `gone`.
    NodeId owner; ///< Empty while no node owns the upstream.
    Epoch epoch = 0;
    bool fencingChecked = false;
    std::uint64_t slots = 0;
    std::vector<std::string> adapters; ///< Loaded adapters, in the view of the replying node.
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
};
BOOST_DESCRIBE_STRUCT(UpstreamStatus, (),
                      (upstream, kind, region, address, state, owner, epoch, fencingChecked, slots, adapters, running,
                       waiting))

/// Result of status.
struct FleetStatus {
    NodeId node; ///< The replying node.
    bool keyValueReachable = false;
    ConfigurationVersion configurationVersion = 0;
    std::uint64_t adaptersKnown = 0;
    std::uint64_t adaptersLoaded = 0;
    std::vector<NodeStatus> nodes;
    std::vector<UpstreamStatus> upstreams;
};
BOOST_DESCRIBE_STRUCT(FleetStatus, (),
                      (node, keyValueReachable, configurationVersion, adaptersKnown, adaptersLoaded, nodes, upstreams))

struct ExplainRequest {
    std::string adapter; ///< `BASE/ADAPTER@VERSION`.
};
BOOST_DESCRIBE_STRUCT(ExplainRequest, (), (adapter))

/// An upstream that holds or is loading an adapter.
struct AdapterPlacement {
    UpstreamId upstream;
    NodeId owner;
    std::string state; ///< `loaded`, `loading` or `evicting`.
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
};
BOOST_DESCRIBE_STRUCT(AdapterPlacement, (), (upstream, owner, state, running, waiting))

/// Result of explain.
struct AdapterExplanation {
    std::string adapter;
    bool isKnown = false; ///< True if the catalogue lists the adapter.
    NodeId home; ///< The node that coalesces concurrent misses of the adapter.
    std::uint64_t waiting = 0; ///< Requests that wait for a load.
    std::vector<AdapterPlacement> placements;
    std::vector<std::string> reasons; ///< Reasons for the placements, one sentence each.
};
BOOST_DESCRIBE_STRUCT(AdapterExplanation, (), (adapter, isKnown, home, waiting, placements, reasons))

struct DrainRequest {
    std::string target; ///< Id of a node or of an upstream.
};
BOOST_DESCRIBE_STRUCT(DrainRequest, (), (target))

/// Result of drain. Repeating the call reports the progress.
struct DrainProgress {
    std::string target;
    bool isFinished = false;
    std::uint64_t requestsLeft = 0;
    std::string message;
};
BOOST_DESCRIBE_STRUCT(DrainProgress, (), (target, isFinished, requestsLeft, message))

struct QuarantineItem {
    std::string fingerprint;
    std::vector<UpstreamId> upstreams; ///< Upstreams that ended while they ran the request.
};
BOOST_DESCRIBE_STRUCT(QuarantineItem, (), (fingerprint, upstreams))

/// Result of quarantine.list.
struct QuarantineList {
    std::vector<QuarantineItem> entries;
};
BOOST_DESCRIBE_STRUCT(QuarantineList, (), (entries))

struct QuarantineClearRequest {
    std::string fingerprint; ///< Empty to clear all entries.
};
BOOST_DESCRIBE_STRUCT(QuarantineClearRequest, (), (fingerprint))

struct QuarantineClearResult {
    std::uint64_t cleared = 0;
};
BOOST_DESCRIBE_STRUCT(QuarantineClearResult, (), (cleared))

} // namespace Gypsumtally
