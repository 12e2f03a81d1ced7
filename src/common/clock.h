#pragma once

#include <chrono>
#include <concepts>
#include <ctime>

namespace Gypsumtally
{

/// A duration in microseconds, as used by all code that makes decisions without I/O.
using Duration = std::chrono::microseconds;

/// The tag of the monotonic time scale that decisions use. Its epoch differs between nodes.
struct DecisionTime {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionTime>;
};

/// A point on a node's monotonic time scale. Values of different nodes must not be compared.
using Instant = DecisionTime::time_point;

/// A clock that returns an Instant.
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<Instant>;
};

/// The machine's monotonic clock. Thread-safe.
class SteadyClock
{
public:
    Instant now() const
    {
        return Instant{std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())};
    }
};

/// A monotonic clock that, unlike SteadyClock, advances while the machine is suspended. Lease holders need this, since
/// their leases expire during suspension. Thread-safe.
class BootClock
{
public:
    Instant now() const
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Instant{std::chrono::seconds{time.tv_sec} + Duration{time.tv_nsec / 1000}};
    }
};

/// A clock that advances only by calls of advance(). Not thread-safe.
class VirtualClock
{
public:
    Instant now() const
    {
        return m_now;
    }

    /// Moves the clock forward. Precondition: @p step is not negative.
    void advance(Duration step)
    {
        m_now += step;
    }

private:
    Instant m_now{};
};

} // namespace Gypsumtally
