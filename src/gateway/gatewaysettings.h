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

/// The settings of one gateway process.
struct GatewaySettings {
    std::string node;
    std::string failureDomain;
    std::string region;
    std::map<std::string, std::string> regions; ///< Of failure domains.
    Duration drainBound
        = std::chrono::milliseconds{2500}; ///< How long upstreams serve after they said that they leave.
    Http::Endpoint callers;
    Http::Endpoint readiness;
    Http::Endpoint entries; ///< Where callers ask which nodes to use.
    Http::Endpoint peers; ///< UDP.
    std::optional<Http::Endpoint> metrics;
    Http::Endpoint store;
    /// How well the machine suits work for other nodes: its share of a core against a quarter of one, or its link
    /// against 100 Mbit/s, whichever is less.
    double capacity = 1;
    /// Of answers that are kept until they are whole: a quarter of the memory.
    std::size_t keptAnswerBytes = 64 * 1024 * 1024;
    Duration orderHandover = std::chrono::milliseconds{3000}; ///< Between the orders of two nodes, at least.
    Duration stopGrace = std::chrono::seconds{8}; ///< From SIGTERM to SIGKILL.
    double retryRatio = 0.2;
    double retrySlack = 0; ///< Of the whole fleet in one window.
    Duration retryWindow = std::chrono::seconds{10};
    Duration entryTtl = std::chrono::seconds{1}; ///< How long callers keep an answer to which nodes to use.
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Json;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

/// Returns @p running with those of @p read that a process can take over while it runs. Thread-safe.
GatewaySettings takeOver(GatewaySettings running, const GatewaySettings &read);

/// Reads settings from YAML text; @p file is for problems. Thread-safe.
Parsed<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &file);

/// Reads a settings file. Thread-safe.
Parsed<GatewaySettings> loadGatewaySettings(const std::string &file);

} // namespace Gypsumtally::Gateway
