#pragma once

#include "http/message.h"
#include "relay/requestlimits.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Gypsumtally::Relay
{

/// Parses one HTTP/1.1 request from the bytes of a connection. Not thread-safe; does no I/O.
///
/// Trailers of a chunked body are dropped, and a request with an ambiguous length is rejected, so that a forwarded
/// request cannot smuggle a second one.
class RequestReader
{
public:
    enum class State {
        Idle, ///< No byte of a request was received.
        Reading,
        Complete,
        Failed,
    };

    explicit RequestReader(const RequestLimits &limits);
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// Parses @p bytes and returns how many of them belong to this request. Precondition: the state is neither Complete
    /// nor Failed.
    std::size_t feed(std::string_view bytes);

    State state() const
    {
        return m_state;
    }

    /// Returns true, once per request, if the caller waits for `100 Continue` before it sends the body.
    bool takeExpectContinue();

    /// Returns the HTTP status to reject the request with. Precondition: the state is Failed.
    unsigned refusalStatus() const
    {
        return m_refusalStatus;
    }

    /// Returns the reason to reject the request with. Precondition: the state is Failed.
    const std::string &refusalReason() const
    {
        return m_refusalReason;
    }

    /// Returns the head of the request, without its body; null if it has not arrived or the reader has failed.
    const Http::Request *head() const;

    /// Moves the request out. Call once. Precondition: the state is Complete.
    Http::Request takeRequest();

    /// Returns how much more memory the request may hold once @p bytes more of it have been fed.
    std::size_t growthFor(std::size_t bytes) const;

    /// Returns about how many bytes of memory the request holds.
    std::size_t heldBytes() const;

    /// Returns true if the caller keeps the connection open after this request.
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
    std::size_t m_headBytes = 0; ///< Of memory that the head holds.
    Http::Request m_request;
    bool m_keepsConnection = true;
    bool m_expectContinue = false;
    unsigned m_refusalStatus = 0;
    std::string m_refusalReason;
};

} // namespace Gypsumtally::Relay
