#include "gateway/keptadapters.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

void KeptAdapters::onHeld(const ModelTarget &target)
{
    auto &heldAt = m_heldAt[target];
    if (heldAt != 0)
        m_most += growth;
    m_byHolding.erase(heldAt);
    heldAt = ++m_holdings;
    m_byHolding.emplace(heldAt, target);
    trim();
}

void KeptAdapters::onNotKept()
{
    const auto fewer = static_cast<std::size_t>(shrinkFactor * static_cast<double>(m_heldAt.size()));
    m_most = std::max(fewest, fewer);
    trim();
}

void KeptAdapters::trim()
{
    while (m_heldAt.size() > m_most) {
        m_heldAt.erase(m_byHolding.begin()->second);
        m_byHolding.erase(m_byHolding.begin());
    }
}

} // namespace Gypsumtally::Gateway
