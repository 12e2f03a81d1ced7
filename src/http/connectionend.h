#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Gypsumtally::Http
{

/// What a client knows of a connection at its end, from all of its calls on the socket.
struct ConnectionEnd {
    bool isOrderly = true; ///< No call has reported an error: the peer has closed the connection.
    bool isRequestDelivered = true; ///< The peer's kernel has acknowledged the whole request.
};

/// Returns true if the end of a connection is the end of a body without a stated length, in a response with @p status.
/// A success states that the request was received (RFC 9110, 15.3), so that one to a request that was not delivered has
/// been broken off; any other status may answer the first part of a request. Thread-safe.
constexpr bool endsBody(const ConnectionEnd &end, unsigned status)
{
    constexpr unsigned successClass = 2;
    return end.isOrderly && (end.isRequestDelivered || status / 100 != successClass);
}

/// Returns true if the peer's kernel has acknowledged all bytes that were written to @p socket, or if that cannot be
/// told. Precondition: @p socket is a connected TCP socket. Thread-safe.
inline bool isAllAcknowledged(int socket)
{
    int unacknowledged = 0;
    return ::ioctl(socket, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

} // namespace Gypsumtally::Http
