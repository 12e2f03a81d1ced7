#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Gateway
{

/// Splits a server-sent event stream into complete events, so that a stream that breaks inside an event can be resumed
/// at another upstream without a truncated event. Not thread-safe.
class EventSplitter
{
public:
    /// Adds received bytes and returns all events that are complete now, byte for byte as received. Returns nothing
    /// after an overflow.
    std::string feed(std::string_view bytes);

    /// Returns the id of the last complete event that has one.
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }

    /// Returns the number of complete events.
    std::uint64_t events() const
    {
        return m_events;
    }

    /// Returns true if an incomplete event has exceeded the buffer limit, so that this cannot be an event stream. All
    /// later bytes are dropped.
    bool hasOverflowed() const
    {
        return m_overflowed;
    }

    /// Returns true if an incomplete event is buffered, or was dropped after an overflow.
    bool hasPartial() const
    {
        return m_overflowed || !m_partial.empty();
    }

private:
    void noteId(std::string_view event);

    std::string m_partial;
    bool m_overflowed = false;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace Gypsumtally::Gateway
