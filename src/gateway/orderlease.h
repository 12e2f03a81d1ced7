#pragma once

#include "common/clock.h"

#include <cstdint>
#include <optional>

namespace Gypsumtally::Gateway
{

struct OrderLeaseSettings {
    Duration ttl = std::chrono::milliseconds{2400}; ///< Of the lease in the store.
    /// Orders end this long before the lease can: a freeze may lie between the check and the write.
    Duration margin = std::chrono::milliseconds{400};
    /// A new holder waits this long. The store may take a key away long before its lease ends, and the holder need not
    /// hear of it: it goes on until its lease would have ended, and orders of two holders must lie 3 s apart.
    Duration handoverWait = std::chrono::milliseconds{5300};
};

/// Whether this node may order engines to load and unload. Exactly one node holds the lease; fencing tokens alone do
/// not do, as some engines ignore them. Times must count suspensions. Not thread-safe; does no I/O.
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseSettings settings = {});

    /// The lease was taken with a call sent at @p sent. @p fence grows with each holder. With @p isOwnPredecessor the
    /// former holder was an earlier process of this very machine, so that nothing needs to be waited for.
    void onAcquired(std::uint64_t fence, Instant sent, Instant now, bool isOwnPredecessor);

    /// A renewal that was sent at @p sent has succeeded.
    void onRenewed(Instant sent);

    /// The lease has ended or was given back.
    void onLost();

    /// Whether an order may be written at this moment.
    bool mayOrder(Instant now) const;

    /// Whether the lease can still be held.
    bool isHeld(Instant now) const;

    std::uint64_t fence() const
    {
        return m_fence;
    }

    const OrderLeaseSettings &settings() const
    {
        return m_settings;
    }

private:
    OrderLeaseSettings m_settings;
    bool m_held = false;
    std::uint64_t m_fence = 0;
    Instant m_until{};
    Instant m_from{};
};

} // namespace Gypsumtally::Gateway
