#pragma once

#include "keyvalue/keyvalueclient.h"

#include <functional>

namespace Gypsumtally
{

/// Keeps the node's only lease alive, and acquires a new one when it has expired. Use only on the event loop's thread.
class NodeLease
{
public:
    /// @p onLease is called with each new lease. The keys of an earlier lease may have been deleted by then.
    NodeLease(Http::EventLoop &loop, KeyValueClient &store, std::chrono::seconds ttl,
              std::function<void(LeaseId)> onLease);

    /// Acquires the first lease. Call once.
    void start();

    /// Revokes the lease and acquires no other.
    void release();

    /// Returns the current lease, or 0.
    LeaseId id() const;

private:
    void grant();
    void renew();

    Http::EventLoop &m_loop;
    KeyValueClient &m_store;
    std::chrono::seconds m_ttl;
    std::function<void(LeaseId)> m_onLease;
    LeaseId m_lease = 0;
    bool m_released = false;
};

} // namespace Gypsumtally
