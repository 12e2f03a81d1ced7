#pragma once

#include "common/clock.h"

#include <cstddef>

namespace Gypsumtally::Gateway
{

/// The part of a machine's link for messages on behalf of other nodes. Calls and their connections have the rest, so
/// that they do not wait behind such messages. Not thread-safe; does no I/O.
class LinkBudget
{
public:
    static constexpr double share = 0.5; ///< Of the link's rate.

    /// Precondition: @p linkBytesPerSecond is positive.
    explicit LinkBudget(double linkBytesPerSecond);

    /// Returns the time after which @p bytes may leave, behind all that was taken before, and takes them.
    Duration take(std::size_t bytes, Instant now);

    /// Returns the time after which all that was taken has left.
    Duration backlog(Instant now) const;

private:
    double m_bytesPerSecond;
    Instant m_freeAt{}; ///< When all that was taken has left.
};

} // namespace Gypsumtally::Gateway
