#pragma once

#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Relay
{

/// Status and headers of a response.
struct ResponseHead {
    unsigned status = 0;
    Http::Headers headers;
    std::optional<std::uint64_t> length; ///< Set if the head states the body's length.
};

/// Parses one HTTP/1.1 response from the bytes of a connection. Not thread-safe; does no I/O.
class ResponseReader
{
public:
    enum class State {
        Reading,
        Complete,
        Failed, ///< The bytes are not a response.
    };

    struct Observer {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string_view)> onBody;
    };

    explicit ResponseReader(Observer observer);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// Takes bytes. The observer is called from within. Precondition: the state is Reading.
    void feed(std::string_view bytes);

    /// Returns how many bytes came after the end of the response. Precondition: the state is Complete.
    std::size_t surplus() const
    {
        return m_surplus;
    }

    /// The connection has ended in order. A body without a stated length is complete with it, any other is not.
    void finish();

    State state() const
    {
        return m_state;
    }

    /// Whether the upstream keeps the connection open. Precondition: the state is Complete.
    bool keepsConnection() const;

    /// How long the upstream keeps an idle connection, if it has said so.
    std::optional<unsigned> keepAliveSeconds() const
    {
        return m_keepAliveSeconds;
    }

    const std::string &problem() const
    {
        return m_problem;
    }

private:
    struct Private;

    std::size_t parse(std::string_view bytes);
    void readHead();

    std::unique_ptr<Private> m_d;
    Observer m_observer;
    State m_state = State::Reading;
    std::optional<unsigned> m_keepAliveSeconds;
    std::string m_problem;
    std::string m_unparsed; ///< The beginning of a line whose rest has not come.
    std::size_t m_surplus = 0;
};

} // namespace Gypsumtally::Relay
