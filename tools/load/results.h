#pragma once

#include "load/workload.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Gypsumtally::Load
{

/// The result of a call.
enum class CallEnd {
    Answered,
    Late, ///< Answered after its deadline.
    NotRun, ///< Rejected without having run.
    Lost, ///< Lost with its engine or connection while it ran.
};

/// The results of the calls of one service class. Times are in seconds.
struct ClassResults {
    std::array<std::uint64_t, 4> ends{}; ///< Number of calls, indexed by CallEnd.
    std::vector<double> latencies; ///< Latencies of answered calls.
    std::vector<double> stalls; ///< Times that calls waited for their adapter to be loaded, one for each call.

    std::uint64_t calls() const;
    std::uint64_t count(CallEnd end) const;
};

/// The results of one run. Not thread-safe.
class Results
{
public:
    std::string policy;
    std::array<ClassResults, 3> classes;
    std::map<std::string, std::uint64_t> answeredByCustomer; ///< Number of answered calls by customer.
    std::vector<std::uint32_t> answeredPerBucket; ///< By arrival time over the whole run, including the warm-up.
    std::vector<std::vector<double>> urgentStallsPerBucket; ///< In seconds, likewise.
    std::uint64_t inTime = 0; ///< Number of calls answered within their deadline during the measured time.
    double seconds = 0; ///< Measured time.
    double batchTokens = 0; ///< Number of tokens generated during the measured time.
    double batchCapacity = 0; ///< Number of tokens that full batches would have generated in the same steps.
    std::uint64_t crossRegionBytes = 0;
    std::uint64_t loads = 0;
    std::uint64_t storeRefusals = 0; ///< Number of loads that the weight store refused because of its rate limit.
    std::uint32_t maxLoadsPerSecond = 0; ///< Maximum number of loads started in any one-second window.

    static constexpr Duration bucket = std::chrono::seconds{10}; ///< Length of a bucket.

    /// Returns the goodput: calls per second answered within their deadline.
    double goodput() const;

    /// Returns the mean utilization of the batches, from 0 to 1.
    double batchFill() const;
    double crossRegionBytesPerCall() const;
    std::uint64_t calls() const;
};

/// Returns the @p part quantile of @p values, where @p part is from 0 to 1. Returns 0 if there are no values.
double quantile(std::vector<double> values, double part);

} // namespace Gypsumtally::Load
