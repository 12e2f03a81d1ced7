#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"

#include <cstddef>
#include <deque>

namespace Gypsumtally::Gateway
{

/// Times at which the store had not passed a revision yet. As one counter numbers the changes of all keys, they show
/// how long ago a change may have been made. Not thread-safe.
class RevisionTimes
{
public:
    /// Records that the store had not passed @p revision at @p time.
    void record(Revision revision, Instant time);

    /// Returns the earliest time at which the change with @p revision may have been made; Instant::min() if nothing
    /// is known of it.
    Instant earliestTimeOf(Revision revision) const;

private:
    static constexpr std::size_t maxPoints = 64; ///< The oldest are dropped.

    struct Point {
        Revision revision = 0;
        Instant time{};
    };

    std::deque<Point> m_points; ///< In ascending order of both the revisions and the times.
};

} // namespace Gypsumtally::Gateway
