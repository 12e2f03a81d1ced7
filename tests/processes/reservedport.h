#pragma once

#include "http/message.h"

#include <cstdint>

namespace Gypsumtally::Processes
{

/// Reserves a free port of 127.0.0.1 for the lifetime of this object. The socket is bound with SO_REUSEADDR but never
/// listens, so that a process can listen on the port, also after a restart.
class ReservedPort
{
public:
    /// Throws std::system_error if no port is free.
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_port, false};
    }

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

} // namespace Gypsumtally::Processes
