#include "gateway/orderlease.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

OrderLease::OrderLease(OrderLeaseSettings settings)
    : m_settings(settings)
{
}

void OrderLease::onAcquired(std::uint64_t term, std::uint64_t fence, Instant sent, Instant now, Predecessor predecessor)
{
    // The store may delete a key long before its lease ends without notifying the holder, which keeps ordering for as
    // long as its last renewal allows.
    const auto predecessorsUntil = now + m_settings.renewalValidity;
    m_held = true;
    m_term = term;
    m_fence = fence;
    m_renewed = sent;
    m_mayOrderFrom = predecessor == Predecessor::Own ? now : predecessorsUntil + m_settings.handover;
    if (m_released)
        applyRelease(*m_released);
}

void OrderLease::onRenewed(Instant sent)
{
    m_renewed = std::max(m_renewed, sent);
}

void OrderLease::onLost()
{
    m_held = false;
}

void OrderLease::onReleased(const ReleasedOrders &released)
{
    if (m_released && released.term < m_released->term)
        return;
    m_released = released;
    if (m_held)
        applyRelease(released);
}

void OrderLease::applyRelease(const ReleasedOrders &released)
{
    if (released.term + 1 == m_term)
        m_mayOrderFrom = std::min(m_mayOrderFrom, released.lastOrderAt + m_settings.handover);
}

void OrderLease::onOrder(Instant now)
{
    m_lastOrderAt = now;
}

bool OrderLease::isHeld(Instant now) const
{
    return m_held && now < m_renewed + m_settings.ttl;
}

bool OrderLease::mayOrder(Instant now) const
{
    return m_held && now >= m_mayOrderFrom && now < m_renewed + m_settings.renewalValidity;
}

ReleasedOrders OrderLease::released() const
{
    return {m_term, std::max(m_lastOrderAt, m_mayOrderFrom - m_settings.handover)};
}

} // namespace Gypsumtally::Gateway
