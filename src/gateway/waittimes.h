#pragma once

#include "common/clock.h"
#include "common/enumtable.h"

#include <array>
#include <optional>
#include <utility>

namespace Gypsumtally::Gateway
{

/// What a request waits for at its entry node.
enum class WaitCause {
    Load, ///< No engine holds the adapter.
    ComingLoad, ///< The load that it needs is under way.
    Room, ///< The engines that hold the adapter have no free slot.
    Pace, ///< Prompts that are sent to the engine already.
    Return, ///< Every upstream wants no requests for a time.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::WaitCause, 5> enumNames<Gateway::WaitCause>{{
    {Gateway::WaitCause::Load, "load"},
    {Gateway::WaitCause::ComingLoad, "coming_load"},
    {Gateway::WaitCause::Room, "room"},
    {Gateway::WaitCause::Pace, "pace"},
    {Gateway::WaitCause::Return, "return"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// For how long a request has waited, by cause. Not thread-safe; does no I/O.
class WaitTimes
{
public:
    /// From @p now on the request waits for @p cause, whatever it has waited for before.
    void begin(WaitCause cause, Instant now)
    {
        end(now);
        m_cause = cause;
        m_since = now;
    }

    /// The request waits no longer.
    void end(Instant now)
    {
        if (const auto cause = std::exchange(m_cause, std::nullopt))
            m_times[static_cast<std::size_t>(*cause)] += now - m_since;
    }

    /// Returns what was waited for @p cause until the last call of begin() or end().
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
