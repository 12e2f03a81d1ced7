#pragma once

#include <algorithm>
#include <string>

namespace Gypsumtally::Scheduling
{

/// Number of urgencies, which range from 0, the most urgent, to 9.
inline constexpr unsigned urgencyCount = 10;

/// Returns the urgency of requests with @p priority. Thread-safe.
constexpr unsigned urgencyOf(unsigned priority)
{
    return std::min(urgencyCount - 1, priority);
}

/// The number of calls of one urgency that wait at a node for capacity of a service.
struct WaitingCount {
    std::string service;
    unsigned urgency = 0;
    unsigned calls = 0;

    friend bool operator==(const WaitingCount &, const WaitingCount &) = default;
};

} // namespace Gypsumtally::Scheduling
