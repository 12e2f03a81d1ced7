#pragma once

#include "processes/scenariocontext.h"

#include <array>

namespace Gypsumtally::Processes
{

inline constexpr std::size_t scenarioCount = 17;

/// The faults under which the guarantees are checked with real processes.
extern const std::array<Scenario, scenarioCount> scenarios;

} // namespace Gypsumtally::Processes
