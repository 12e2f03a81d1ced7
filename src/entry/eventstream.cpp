#include "entry/eventstream.h"

namespace Gypsumtally
{

namespace
{

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data: ";

} // namespace

std::vector<EventStream::Item> EventStream::feed(std::string_view bytes)
{
    m_partial += bytes;
    std::vector<Item> items;
    std::size_t begin = 0;
    for (auto end = m_partial.find(eventEnd); end != std::string::npos; end = m_partial.find(eventEnd, begin)) {
        Item item{Kind::Token, m_partial.substr(begin, end + eventEnd.size() - begin)};
        begin = end + eventEnd.size();
        const auto data = dataOf(item.text);
        if (data == "[DONE]") {
            item.kind = Kind::Done;
            m_done = true;
        } else if (data.starts_with(R"({"error")")) {
            item.kind = Kind::Error;
        } else {
            ++m_tokens;
        }
        items.push_back(std::move(item));
    }
    m_partial.erase(0, begin);
    return items;
}

std::uint32_t EventStream::tokens() const
{
    return m_tokens;
}

bool EventStream::isDone() const
{
    return m_done;
}

std::string_view EventStream::dataOf(std::string_view event)
{
    if (event.starts_with(dataField))
        event.remove_prefix(dataField.size());
    while (event.ends_with('\n'))
        event.remove_suffix(1);
    return event;
}

} // namespace Gypsumtally
