#pragma once

#include "residency/callqueue.h"
#include "residency/loadbroker.h"

#include <algorithm>
#include <array>

namespace Gypsumtally
{

/// Minimum retry delay sent to a rejected caller.
inline constexpr Duration minRetryAfter = std::chrono::milliseconds{250};

/// Allowed wait for a load, by service class. A call's due time is its arrival plus this. Loads are ordered by due
/// time, so a call that has waited long enough overtakes newer calls of a higher class.
inline constexpr std::array<Duration, 3> allowedLoadWait{std::chrono::seconds{0}, std::chrono::seconds{5},
                                                         std::chrono::seconds{20}};

/// Returns the load priority of the calls that wait for one adapter. Thread-safe.
inline LoadPriority priorityOf(const AdapterQueue &queue)
{
    LoadPriority priority;
    priority.waiters = queue.size;
    priority.oldest = Instant::max();
    bool found = false;
    for (std::size_t index = 0; index < queue.byClass.size(); ++index) {
        if (queue.byClass[index].empty())
            continue;
        if (!found)
            priority.serviceClass = static_cast<ServiceClass>(index);
        found = true;
        priority.oldest = std::min(priority.oldest, queue.byClass[index].front().call.arrival);
    }
    return priority;
}

/// Returns the earliest due time (arrival plus the allowed wait of the class) of a queue's calls, or Instant::max() if
/// the queue is empty. Thread-safe.
inline Instant dueTimeOf(const AdapterQueue &queue)
{
    Instant due = Instant::max();
    for (std::size_t index = 0; index < queue.byClass.size(); ++index) {
        if (!queue.byClass[index].empty())
            due = std::min(due, queue.byClass[index].front().call.arrival + allowedLoadWait[index]);
    }
    return due;
}

} // namespace Gypsumtally
