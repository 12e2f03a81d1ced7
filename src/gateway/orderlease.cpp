#include "gateway/orderlease.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

OrderLease::OrderLease(OrderLeaseSettings settings)
    : m_settings(settings)
{
}

void OrderLease::onAcquired(std::uint64_t fence, Instant sent, Instant now, bool isOwnPredecessor)
{
    m_held = true;
    m_fence = fence;
    m_until = sent + m_settings.ttl;
    m_from = isOwnPredecessor ? now : now + m_settings.handoverWait;
}

void OrderLease::onRenewed(Instant sent)
{
    m_until = std::max(m_until, sent + m_settings.ttl);
}

void OrderLease::onLost()
{
    m_held = false;
}

bool OrderLease::isHeld(Instant now) const
{
    return m_held && now < m_until;
}

bool OrderLease::mayOrder(Instant now) const
{
    return m_held && now >= m_from && now < m_until - m_settings.margin;
}

} // namespace Gypsumtally::Gateway
