#pragma once

#include "estimates/servicespeed.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Gateway
{

/// What the fleet has learnt and keeps in the store, for nodes that all start anew: figures that are learnt slowly
/// under load, or make a load while they are wrong.
struct FleetEstimates {
    std::map<std::string, Estimates::LearntSpeed> speeds; ///< By service.
    double storeFactor = 0; ///< What the weight store serves over what is taken for granted; 0: not known.
};

/// Whether @p current is worth writing where the store has @p stored. Thread-safe.
bool isWorthStoring(const FleetEstimates &current, const FleetEstimates &stored);

/// The form of the estimates in the store. Thread-safe.
std::string encode(const FleetEstimates &estimates);

/// Returns nothing if @p text holds no estimates. Thread-safe.
std::optional<FleetEstimates> decodeFleetEstimates(std::string_view text);

} // namespace Gypsumtally::Gateway
