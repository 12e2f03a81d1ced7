#pragma once

#include "keyvalue/keyvalueclient.h"

#include <functional>

namespace Gypsumtally
{

/// Keeps the node's one lease alive, and takes a new one when it has expired. Loop's thread only.
class NodeLease
{
public:
    /// @p onLease is called with each new lease, before which keys of an older one may have gone.
    NodeLease(Http::EventLoop &loop, KeyValueClient &store, std::chrono::seconds ttl,
              std::function<void(LeaseId)> onLease);

    /// Takes the first lease. Call once.
    void start();

    /// Gives the lease back and takes no other.
    void release();

    /// Returns the present lease, or 0.
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
