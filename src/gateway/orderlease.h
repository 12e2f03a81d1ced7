#pragma once

#include "common/clock.h"

#include <cstdint>
#include <optional>

namespace Gypsumtally::Gateway
{

struct OrderLeaseSettings {
    Duration ttl = std::chrono::milliseconds{1200}; ///< Time to live of the lease in the store.
    /// Time after the sending of a renewal during which the holder may order. Shorter than the TTL. After a successor
    /// has acquired the lease, it waits for this time and the handover.
    Duration renewalValidity = std::chrono::milliseconds{700};
    /// Minimum time between the last order of one holder and the first order of the next.
    Duration handover = std::chrono::milliseconds{3300};
};

/// Release message of a holder that has stopped ordering.
struct ReleasedOrders {
    std::uint64_t term = 0; ///< Grows by one with each holder of a shard.
    Instant lastOrderAt{}; ///< Latest time at which it or a predecessor may order; may be in the future.
};

/// Relation of a holder to the previous one.
enum class Predecessor {
    Other, ///< On another machine, or may not have waited long enough for its predecessors.
    Own, ///< This process or an earlier one of this machine; it no longer orders.
};

/// Tracks whether this node may order engines to load and unload. Only one node at a time may order; fencing tokens
/// alone do not ensure this, as some engines ignore them. Times must come from a clock that also advances while the
/// machine is suspended. Not thread-safe; does no I/O.
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings = {});

    /// Records that the lease was acquired for @p term by a call sent at @p sent. @p fence is the fencing token, which
    /// grows with each holder.
    void onAcquired(std::uint64_t term, std::uint64_t fence, Instant sent, Instant now, Predecessor predecessor);

    /// Records that a renewal sent at @p sent has succeeded.
    void onRenewed(Instant sent);

    /// Records that the lease has expired or was released.
    void onLost();

    /// Records that the holder of some term has stopped ordering. If it is the direct predecessor, this node only waits
    /// for the handover time after the last order.
    void onReleased(const ReleasedOrders &released);

    /// Records that an order is sent at @p now. Precondition: mayOrder().
    void onOrder(Instant now);

    /// Returns true if an order may be sent at @p now.
    bool mayOrder(Instant now) const;

    /// Returns true if this node may still hold the lease at @p now.
    bool isHeld(Instant now) const;

    /// Returns true if this node holds the lease and no earlier holder can still be ordering at @p now.
    bool isSettled(Instant now) const
    {
        return m_held && now >= m_mayOrderFrom;
    }

    /// Returns the release message for a successor. Precondition: the lease was held.
    ReleasedOrders released() const;

    /// Returns the fencing token.
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
    void applyRelease(const ReleasedOrders &released);

    OrderLeaseSettings m_settings;
    bool m_held = false;
    std::uint64_t m_term = 0;
    std::uint64_t m_fence = 0;
    Instant m_renewed{}; ///< When the last successful renewal was sent.
    Instant m_mayOrderFrom{}; ///< When this holder may start to order.
    Instant m_lastOrderAt{};
    std::optional<ReleasedOrders> m_released; ///< Release message of the latest term received so far.
};

} // namespace Gypsumtally::Gateway
