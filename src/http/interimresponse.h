#pragma once

namespace Gypsumtally::Http
{

/// Limit on the interim responses before one response.
inline constexpr unsigned maxInterimResponses = 16;

/// Returns true if a response with @p status precedes the one to the request. 101 (Switching Protocols) is a final one.
/// Thread-safe.
constexpr bool isInterim(unsigned status)
{
    constexpr unsigned switchingProtocols = 101;
    return status / 100 == 1 && status != switchingProtocols;
}

} // namespace Gypsumtally::Http
