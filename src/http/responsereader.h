#pragma once

#include "http/connectionend.h"
#include "http/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally::Http
{

/// Status and headers of a response.
struct ResponseHead {
    unsigned status = 0;
    Headers headers;
    std::optional<std::uint64_t> length; ///< Length of the body in bytes, if the head states it.
};

/// Parses one HTTP/1.1 response from the bytes of a connection, without the interim responses before it. Not
/// thread-safe; does no I/O.
class ResponseReader
{
public:
    enum class State {
        Reading,
        Complete,
        Failed, ///< The bytes are not an HTTP response, or not a complete one.
    };

    struct Observer {
        std::function<void(const ResponseHead &)> onHead;
        std::function<void(std::string_view)> onBody;
    };

    explicit ResponseReader(Observer observer);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// Parses @p bytes and calls the observer before it returns. Precondition: the state is Reading.
    void feed(std::string_view bytes);

    /// Returns the number of bytes received after the end of the response. Precondition: the state is Complete.
    std::size_t surplus() const
    {
        return m_surplus;
    }

    /// Handles the end of the connection, which completes a body without a stated length if endsBody() says so.
    /// Any other unfinished response fails.
    void finish(const ConnectionEnd &end);

    State state() const
    {
        return m_state;
    }

    /// Returns true if the upstream keeps the connection open. Precondition: the state is Complete.
    bool keepsConnection() const;

    /// Returns how long the upstream keeps an idle connection open, if the response states it.
    std::optional<unsigned> keepAliveSeconds() const
    {
        return m_keepAliveSeconds;
    }

    /// Returns why the state is Failed.
    const std::string &problem() const
    {
        return m_problem;
    }

private:
    struct Private;

    std::size_t parse(std::string_view bytes);
    void skipInterim();
    void readHead();

    std::unique_ptr<Private> m_d;
    Observer m_observer;
    State m_state = State::Reading;
    std::optional<unsigned> m_keepAliveSeconds;
    std::string m_problem;
    std::string m_unparsed; ///< Beginning of a line whose rest was not received yet.
    std::size_t m_surplus = 0;
};

} // namespace Gypsumtally::Http
