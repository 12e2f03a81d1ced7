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
    /// Expects the events to go on after the one with id @p last. If @p isConsecutive, the next id must be the
    /// following number, otherwise any larger one. Precondition: nothing was fed yet.
    void resumeAfter(std::uint64_t last, bool isConsecutive);

    /// Adds received bytes and returns all events that are complete now, byte for byte as received. Returns nothing
    /// after an overflow, and none from the first event on that is out of order.
    std::string feed(std::string_view bytes);

    /// Returns true if an event repeats an id, goes back behind one, or does not go on where it was expected to.
    bool isOutOfOrder() const
    {
        return m_isOutOfOrder;
    }

    /// Returns true if an event had the id after that of the one before it.
    bool hasFollowed() const
    {
        return m_hasFollowed;
    }

    /// Returns true if an event had a larger id than that.
    bool hasSkipped() const
    {
        return m_hasSkipped;
    }

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
    bool noteId(std::string_view event);
    bool noteNumber(std::uint64_t id);

    std::string m_partial;
    bool m_overflowed = false;
    bool m_isOutOfOrder = false;
    bool m_mustFollow = false; ///< The next id is expected to be the one after m_lastId.
    bool m_hasFollowed = false;
    bool m_hasSkipped = false;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

} // namespace Gypsumtally::Gateway
