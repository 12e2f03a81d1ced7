#include "gateway/adaptercacheestimate.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

void AdapterCacheEstimate::onHeld(const ModelTarget &target)
{
    auto &heldAt = m_heldAt[target];
    if (heldAt != 0)
        m_capacity += capacityGrowth;
    m_byRecency.erase(heldAt);
    heldAt = ++m_holdCount;
    m_byRecency.emplace(heldAt, target);
    trim();
}

void AdapterCacheEstimate::onCacheMiss()
{
    const auto fewer = static_cast<std::size_t>(shrinkFactor * static_cast<double>(m_heldAt.size()));
    m_capacity = std::max(minCapacity, fewer);
    trim();
}

void AdapterCacheEstimate::trim()
{
    while (m_heldAt.size() > m_capacity) {
        m_heldAt.erase(m_byRecency.begin()->second);
        m_byRecency.erase(m_byRecency.begin());
    }
}

} // namespace Gypsumtally::Gateway
