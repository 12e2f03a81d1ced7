#pragma once

#include <chrono>
#include <concepts>
#include <ctime>

namespace Gypsumtally
{

/// Durations in the decision code; microseconds.
using Duration = std::chrono::microseconds;

/// Tag of the time line that decisions run on: monotonic, with an epoch of its own on every node.
struct DecisionTime {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<DecisionTime>;
};

/// A point on a node's monotonic time line. Never compared between nodes.
using Instant = DecisionTime::time_point;

/// A source of time for decisions.
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

/// Like SteadyClock, but also counts the time that the machine was suspended, as lease holders must. Thread-safe.
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

/// A clock that moves only when it is told to. Not thread-safe.
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
