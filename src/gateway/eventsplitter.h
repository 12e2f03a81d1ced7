#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Gateway
{

/// Cuts a server-sent event stream into whole events, so that a stream which breaks inside an event can go on at
/// another upstream without a torn event. Not thread-safe.
class EventSplitter
{
public:
    /// Adds received bytes and returns all events that are whole now, as they came.
    std::string feed(std::string_view bytes);

    /// Returns the id of the last whole event that has one.
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }

    /// Returns the number of whole events.
    std::uint64_t events() const
    {
        return m_events;
    }

    /// Whether the bytes of one event are more than are kept: this is no event stream. What comes then is dropped.
    bool hasOverflowed() const
    {
        return m_overflowed;
    }

    /// Whether bytes of an event wait for their rest.
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
