#include "gateway/eventsplitter.h"

#include <charconv>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr std::string_view idField = "id:";
constexpr std::size_t maxEventBytes = 256 * 1024;

/// Returns the length of the first complete event in @p bytes, or npos if there is none.
std::size_t firstEventLength(std::string_view bytes)
{
    const auto unix = bytes.find("\n\n");
    const auto dos = bytes.find("\r\n\r\n");
    if (unix == std::string_view::npos && dos == std::string_view::npos)
        return std::string_view::npos;
    return unix < dos ? unix + 2 : dos + 4;
}

} // namespace

void EventSplitter::resumeAfter(std::uint64_t last, bool isConsecutive)
{
    m_lastId = last;
    m_mustFollow = isConsecutive;
}

std::string EventSplitter::feed(std::string_view bytes)
{
    if (m_overflowed || m_isOutOfOrder)
        return {};
    m_partial += bytes;
    std::size_t whole = 0;
    const std::string_view all = m_partial;
    for (auto length = firstEventLength(all); length != std::string_view::npos;
         length = firstEventLength(all.substr(whole))) {
        if (!noteId(all.substr(whole, length))) {
            m_isOutOfOrder = true;
            break;
        }
        ++m_events;
        whole += length;
    }
    auto events = m_partial.substr(0, whole);
    m_partial.erase(0, whole);
    if (m_partial.size() > maxEventBytes) {
        m_overflowed = true;
        m_partial.clear();
    }
    return events;
}

/// Records the id of @p event, if it has one. Returns false if that is out of order.
bool EventSplitter::noteId(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{} && !noteNumber(id))
            return false;
    }
    return true;
}

bool EventSplitter::noteNumber(std::uint64_t id)
{
    if (m_lastId) {
        const bool follows = id == *m_lastId + 1;
        if (id <= *m_lastId || (m_mustFollow && !follows))
            return false;
        m_hasFollowed = m_hasFollowed || follows;
        m_hasSkipped = m_hasSkipped || !follows;
    }
    m_mustFollow = false;
    m_lastId = id;
    return true;
}

} // namespace Gypsumtally::Gateway
