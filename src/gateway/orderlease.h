#pragma once

#include "common/clock.h"

#include <cstdint>
#include <optional>

namespace Gypsumtally::Gateway
{

struct OrderLeaseSettings {
    Duration ttl = std::chrono::milliseconds{1200}; ///< Of the lease in the store.
    /// What a renewal allows, from its sending on. Shorter than the lease: a successor waits for it once more.
    Duration permission = std::chrono::milliseconds{700};
    /// Between the last order of one holder and the first of the next one, at least.
    Duration handover = std::chrono::milliseconds{3300};
};

/// A holder that gives no more orders.
struct ReleasedOrders {
    std::uint64_t term = 0; ///< Counts the holders of a shard.
    Instant lastOrderAt{}; ///< When it, or one before it, may have ordered last; perhaps to come.
};

/// What a holder has to do with the one before it.
enum class Predecessor {
    Other, ///< Another machine, or one that may not have waited for others long enough.
    Own, ///< An earlier process of this machine, or this one: its orders have ended.
};

/// Whether this node may order engines to load and unload. Exactly one node holds the lease; fencing tokens alone do
/// not do, as some engines ignore them. Times must count suspensions. Not thread-safe; does no I/O.
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings = {});

    /// The lease was taken for @p term with a call sent at @p sent. @p fence grows with each holder.
    void onAcquired(std::uint64_t term, std::uint64_t fence, Instant sent, Instant now, Predecessor predecessor);

    /// A renewal that was sent at @p sent has succeeded.
    void onRenewed(Instant sent);

    /// The lease has ended or was given back.
    void onLost();

    /// The holder of some term has said that it gives no more orders; a successor need not wait for its lease.
    void onReleased(const ReleasedOrders &released);

    /// An order is written at @p now. Precondition: mayOrder().
    void onOrder(Instant now);

    /// Whether an order may be written at this moment.
    bool mayOrder(Instant now) const;

    /// Whether the lease can still be held.
    bool isHeld(Instant now) const;

    /// Whether no earlier holder can be ordering any more at @p now.
    bool isSettled(Instant now) const
    {
        return m_held && now >= m_from;
    }

    /// Returns what a successor has to know. Precondition: the lease was held.
    ReleasedOrders released() const;

    std::uint64_t fence() const
    {
        return m_fence;
    }

    std::uint64_t term() const
    {
        return m_term;
    }

    const OrderLeaseSettings &settings() const
    {
        return m_settings;
    }

private:
    void takeUp(const ReleasedOrders &released);

    OrderLeaseSettings m_settings;
    bool m_held = false;
    std::uint64_t m_term = 0;
    std::uint64_t m_fence = 0;
    Instant m_renewed{}; ///< When the last renewal that succeeded was sent.
    Instant m_from{};
    Instant m_lastOrderAt{};
    std::optional<ReleasedOrders> m_released; ///< By the holder of the latest term that has said so.
};

} // namespace Gypsumtally::Gateway
