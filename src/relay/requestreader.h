#pragma once

#include "http/message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Gypsumtally::Relay
{

/// What a caller may send.
struct RequestLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

/// Parses one HTTP/1.1 request from the bytes of a connection. Not thread-safe; does no I/O.
///
/// Trailers of a chunked body are dropped, and a request whose length could be read in two ways is refused, so that
/// what is forwarded cannot hide a second request.
class RequestReader
{
public:
    enum class State {
        Idle, ///< No byte of a request has come.
        Reading,
        Complete,
        Failed,
    };

    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Takes bytes; returns how many belong to this request. Precondition: neither Complete nor Failed.
    std::size_t feed(std::string_view bytes);

    State state() const
    {
        return m_state;
    }

    /// Whether the caller waits for `100 Continue` before it sends the body. True once for a request.
    bool takeExpectContinue();

    /// The status and reason to refuse with. Precondition: the state is Failed.
    unsigned refusalStatus() const
    {
        return m_refusalStatus;
    }

    const std::string &refusalReason() const
    {
        return m_refusalReason;
    }

    /// Returns the request. Precondition: the state is Complete; called once.
    Http::Request takeRequest();

    /// Whether the caller keeps the connection open after this request.
    bool keepsConnection() const
    {
        return m_keepsConnection;
    }

private:
    struct Private;

    void readHead();
    void fail(unsigned status, std::string reason);

    std::unique_ptr<Private> m_d;
    State m_state = State::Idle;
    Http::Request m_request;
    bool m_keepsConnection = true;
    bool m_expectContinue = false;
    unsigned m_refusalStatus = 0;
    std::string m_refusalReason;
};

} // namespace Gypsumtally::Relay
