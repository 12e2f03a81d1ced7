#pragma once

#include "common/clock.h"

namespace Gypsumtally
{

/// Settings of upstream ownership.
struct OwnershipSettings {
    /// Upper bound of the time for which bytes of a closed connection, or from a VM that no longer exists, may still
    /// take effect at an upstream.
    Duration lateBytesBound = std::chrono::seconds(60);
    /// Interval between release calls to one predecessor.
    Duration releaseInterval = std::chrono::milliseconds(500);
    /// Backoff after a call to the key-value service that was not answered. Doubles with each further one, up to
    /// maxRetryDelay; reduced by a jitter of up to one half that depends on the process and the upstream.
    Duration retryDelay = std::chrono::milliseconds(500);
    Duration maxRetryDelay = std::chrono::seconds(8);
    /// Delay after another node took ownership before this node tries to acquire it again.
    Duration reacquireDelay = std::chrono::seconds(5);
};

} // namespace Gypsumtally
