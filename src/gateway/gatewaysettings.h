#pragma once

#include "common/clock.h"
#include "http/message.h"
#include "settings/settings.h"
#include "yaml/problem.h"

#include <map>
#include <optional>
#include <string>

namespace Gypsumtally::Gateway
{

/// Settings of one gateway process.
struct GatewaySettings {
    std::string node;
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string> regions; ///< The region of each failure domain.
    /// Time for which upstreams keep serving after they have announced that they leave.
    Duration drainBound = std::chrono::milliseconds{2500};
    Http::Endpoint callers;
    Http::Endpoint readiness;
    Http::Endpoint entries; ///< Answers callers' queries for the nodes to connect to.
    Http::Endpoint peers; ///< UDP for reports, TCP for relayed calls.
    std::optional<Http::Endpoint> metrics;
    Http::Endpoint store;
    /// Local address of connections to upstreams; the kernel chooses it if the address is empty, and the port if it
    /// is 0.
    Http::Endpoint connectFrom;
    double linkBytesPerSecond = 12.5e6; ///< Rate of the machine's link; positive.
    /// Relative capacity of the machine for work on behalf of other nodes: its share of a core over 0.25, or its link
    /// rate over 100 Mbit/s, whichever is less.
    double capacity = 1;
    /// Limit in bytes for answers that are buffered until they are complete: a quarter of the memory.
    std::size_t answerBufferBytes = 64 * 1024 * 1024;
    /// Limit in bytes for all that is held on behalf of callers, their buffered answers included.
    std::size_t callerMemoryBytes = 256 * 1024 * 1024 / 3;
    std::optional<std::size_t> maxDescriptors; ///< File descriptors of the process.
    bool urgentReserve = false; ///< Keeps a part of engines' capacity for urgent calls while they are short of it.
    Duration orderHandover = std::chrono::milliseconds{3000}; ///< Minimum time between the orders of two nodes.
    Duration stopGrace = std::chrono::seconds{8}; ///< From SIGTERM to SIGKILL.
    double retryRatio = 0.2; ///< Retries allowed per request.
    double retrySlack = 0; ///< Retries allowed in addition, over the whole fleet in one window.
    Duration retryWindow = std::chrono::seconds{10}; ///< Length of the sliding window in which retries are counted.
    Duration entryTtl = std::chrono::seconds{1}; ///< Time for which callers may cache the list of nodes.
    /// Learns recent speeds and limits of upstreams; off only for comparison.
    bool adaptiveCapacity = false;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Json;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

/// Returns @p running with the reloadable settings, which a running process can change, replaced by those of @p read.
/// Thread-safe.
GatewaySettings applyReloadable(GatewaySettings running, const GatewaySettings &read);

/// Reads settings from YAML text; problems name @p file. Thread-safe.
Parsed<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &file);

/// Reads a settings file. Thread-safe.
Parsed<GatewaySettings> loadGatewaySettings(const std::string &file);

} // namespace Gypsumtally::Gateway
