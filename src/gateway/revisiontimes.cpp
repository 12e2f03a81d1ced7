#include "gateway/revisiontimes.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

void RevisionTimes::record(Revision revision, Instant time)
{
    const bool isKnown = std::ranges::any_of(
        m_points, [&](const Point &point) { return point.revision <= revision && point.time >= time; });
    if (isKnown)
        return;
    std::erase_if(m_points, [&](const Point &point) { return point.revision >= revision && point.time <= time; });
    m_points.insert(std::ranges::lower_bound(m_points, revision, {}, &Point::revision), {revision, time});
    if (m_points.size() > maxPoints)
        m_points.pop_front();
}

Instant RevisionTimes::earliestTimeOf(Revision revision) const
{
    const auto next = std::ranges::lower_bound(m_points, revision, {}, &Point::revision);
    return next == m_points.begin() ? Instant::min() : std::prev(next)->time;
}

} // namespace Gypsumtally::Gateway
