#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// Splits a stream of server-sent events into complete events, and counts their tokens.
class EventStream
{
public:
    enum class Kind {
        Token,
        Done, ///< `[DONE]`: the response is complete.
        Error, ///< `{"error":...}`: the response will not be completed.
    };

    struct Item {
        Kind kind = Kind::Token;
        std::string text; ///< The event as received, with the blank line that ends it.
    };

    /// Adds received bytes and returns the events that they complete.
    std::vector<Item> feed(std::string_view bytes);

    /// Returns the number of tokens received.
    std::uint32_t tokens() const;

    /// Returns true if `[DONE]` was received.
    bool isDone() const;

    /// Returns the data of an event, without the `data: ` before it and the line ends after it.
    static std::string_view dataOf(std::string_view event);

private:
    std::string m_partial;
    std::uint32_t m_tokens = 0;
    bool m_done = false;
};

} // namespace Gypsumtally
