#pragma once

#include "estimates/servicespeed.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Gateway
{

/// The estimates that the fleet keeps in the store, so that they survive a restart of all nodes: those that are slow to
/// learn under load, or that cause load while they are wrong.
struct FleetEstimates {
    std::map<std::string, Estimates::EstimatedSpeed> speeds; ///< By service.
    double storeFactor = 0; ///< Learnt capacity of the weight store as a multiple of the assumed one; 0: not known.
};

/// Returns true if @p current differs enough from @p stored, the estimates in the store, to be written. Thread-safe.
bool isWorthStoring(const FleetEstimates &current, const FleetEstimates &stored);

/// Returns the JSON form in which the store keeps the estimates. Thread-safe.
std::string encode(const FleetEstimates &estimates);

/// Returns the estimates that @p text encodes, or nothing if it encodes none. Thread-safe.
std::optional<FleetEstimates> decodeFleetEstimates(std::string_view text);

} // namespace Gypsumtally::Gateway
