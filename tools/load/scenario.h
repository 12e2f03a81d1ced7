#pragma once

#include "common/clock.h"
#include "residency/policyweights.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Load
{

/// The size and the latencies of a fleet, and its ordinary load.
struct Deployment {
    std::string name;
    std::uint32_t engines = 12;
    std::uint32_t nodes = 6;
    std::uint32_t regions = 3;
    std::uint32_t adapters = 3000;
    std::uint32_t slots = 8; ///< Adapter slots of an engine.
    std::uint32_t maxRunning = 16; ///< Maximum number of calls in an engine's batch.
    double loadsPerSecond = 3; ///< Rate limit of the weight store.
    Duration loadTime = std::chrono::milliseconds{250}; ///< Duration with at most fullSpeedLoads in flight.
    std::uint32_t fullSpeedLoads = 8; ///< Loads that run in parallel at full speed.
    Duration domainHop{1500}; ///< One-way latency within a region, in microseconds.
    Duration regionHop = std::chrono::milliseconds{8}; ///< One-way latency between regions.
    Duration clientHop = std::chrono::milliseconds{3}; ///< One-way latency between caller and entry node.
    double callsPerSecond = 8; ///< Ordinary load.
    double skew = 1.2; ///< Exponent of the Zipf distribution of adapters.
    std::array<double, 3> classMix{0.4, 0.2, 0.4}; ///< Fractions of urgent, standard and bulk calls.
    std::array<std::uint32_t, 3> meanTokens{96, 256, 384}; ///< Mean answer length by class.
    /// Time from arrival to deadline by class.
    std::array<Duration, 3> timeouts{std::chrono::seconds{10}, std::chrono::seconds{30}, std::chrono::seconds{300}};
    std::uint32_t customers = 8;
    PolicyWeights weights{};
};

/// A half-open interval of virtual time, relative to the start of the run.
struct Span {
    Duration from{};
    Duration to{};
};

/// The load and the faults of one run. Times are relative to the start of the run.
struct Scenario {
    std::string name;
    Duration warmUp = std::chrono::seconds{120}; ///< Time before the measured time.
    Duration length = std::chrono::seconds{600}; ///< Measured time.
    double loadFactor = 1; ///< Factor by which the deployment's ordinary load is multiplied.
    std::optional<Duration> shiftAt{}; ///< Time at which the popularity of all adapters changes.
    std::optional<Span> regionCut{}; ///< Interval in which the last region is partitioned from the others.
    std::optional<Duration> reclaimAt{}; ///< Start of the minute in which a third of the engines is reclaimed.
    std::optional<Span> keyValueOutage{};
    double greedyFraction = 0; ///< Fraction of all calls that one customer sends beyond its equal share of the rest.
};

/// Returns the deployment named @p name, or nothing if there is none. Thread-safe.
std::optional<Deployment> deploymentNamed(const std::string &name);

/// Returns the names of all deployments. Thread-safe.
std::vector<std::string> deploymentNames();

/// Returns the scenario named @p name, or nothing if there is none. Thread-safe.
std::optional<Scenario> scenarioNamed(const std::string &name);

/// Returns the names of all scenarios. Thread-safe.
std::vector<std::string> scenarioNames();

} // namespace Gypsumtally::Load
