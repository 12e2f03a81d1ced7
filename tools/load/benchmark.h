#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Gypsumtally::Load
{

/// The processor cost of one kind of decision.
struct DecisionCost {
    std::string decision;
    std::uint32_t adapters = 0;
    std::uint32_t engines = 0;
    double nanoseconds = 0; ///< Mean time per call.
};

/// Measures the wall-clock time of admission, routing and scheduling per call, with a Zipf-distributed load over
/// @p adapters adapters, @p engines engines and @p calls calls.
std::vector<DecisionCost> measureDecisions(std::uint32_t adapters, std::uint32_t engines, std::uint32_t calls);

} // namespace Gypsumtally::Load
