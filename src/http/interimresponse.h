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

/// Returns true if @p status is that of a response that ends a request. 101 is none, as no request of this system asks
/// to switch protocols. Thread-safe.
constexpr bool isFinal(unsigned status)
{
    constexpr unsigned firstFinal = 200;
    constexpr unsigned lastFinal = 599;
    return status >= firstFinal && status <= lastFinal;
}

} // namespace Gypsumtally::Http
