#pragma once

#include <cstddef>

namespace Gypsumtally::Capacity
{

/// The mean cost of a daemon without callers.
struct IdleCost {
    double coreFraction = 0; ///< Processor time as a fraction of one core.
    double residentBytes = 0;
    double keyValueCallsPerSecond = 0; ///< Excludes the watch that is open all the time.
};

/// Runs @p daemons daemons with two engines each and no calls for 18 s, the last 10 s of which are measured. Throws
/// std::runtime_error if a process does not start.
IdleCost measureIdle(std::size_t daemons);

} // namespace Gypsumtally::Capacity
