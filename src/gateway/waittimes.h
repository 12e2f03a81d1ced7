#pragma once

#include "common/clock.h"
#include "common/enumtable.h"

#include <array>
#include <optional>
#include <utility>

namespace Gypsumtally::Gateway
{

/// The reasons for which a request waits at its entry node.
enum class WaitCause {
    Load, ///< No engine holds the adapter, and no load of it is in progress.
    LoadInProgress, ///< The load of the adapter is in progress.
    Room, ///< The engines that hold the adapter have no free slot.
    Pace, ///< The engine has to process other prompts first, so as not to stall its streams.
    Backpressure, ///< Every upstream applies backpressure until a stated time.
    RequestLimit, ///< The upstream limits its requests, and others go first.
    StreamVersion, ///< It is being found out at which software version the stream may go on.
    Connection, ///< The upstreams have accepted no connections.
    Verdict, ///< It is about to be decided whether a part of its prompt crashes upstreams.
    Reach, ///< It is being found out whether this node is cut off from upstreams that have failed.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::WaitCause, 10> enumNames<Gateway::WaitCause>{{
    {Gateway::WaitCause::Load, "load"},
    {Gateway::WaitCause::LoadInProgress, "coming_load"},
    {Gateway::WaitCause::Room, "room"},
    {Gateway::WaitCause::Pace, "pace"},
    {Gateway::WaitCause::Backpressure, "return"},
    {Gateway::WaitCause::RequestLimit, "request_limit"},
    {Gateway::WaitCause::StreamVersion, "stream_version"},
    {Gateway::WaitCause::Connection, "connection"},
    {Gateway::WaitCause::Verdict, "verdict"},
    {Gateway::WaitCause::Reach, "reach"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// The time that a request has waited, by cause. Not thread-safe; does no I/O.
class WaitTimes
{
public:
    /// Begins a wait for @p cause at @p now, and ends the current wait if there is one.
    void begin(WaitCause cause, Instant now)
    {
        end(now);
        m_cause = cause;
        m_since = now;
    }

    /// Ends the current wait, if there is one, at @p now.
    void end(Instant now)
    {
        if (const auto cause = std::exchange(m_cause, std::nullopt))
            m_times[static_cast<std::size_t>(*cause)] += now - m_since;
    }

    /// Returns the total time of the waits for @p cause that have ended. A wait ends with begin() or end().
    Duration of(WaitCause cause) const
    {
        return m_times[static_cast<std::size_t>(cause)];
    }

private:
    std::array<Duration, enumNames<WaitCause>.size()> m_times{};
    std::optional<WaitCause> m_cause;
    Instant m_since{};
};

} // namespace Gypsumtally::Gateway
