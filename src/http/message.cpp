#include "http/message.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace Gypsumtally::Http
{

namespace
{

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, toLower, toLower);
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

std::string_view Headers::get(std::string_view name) const
{
    const auto it
        = std::ranges::find_if(m_fields, [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
    return it == m_fields.end() ? std::string_view{} : std::string_view{it->second};
}

bool Headers::contains(std::string_view name) const
{
    return std::ranges::any_of(m_fields, [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
}

std::string_view Request::path() const
{
    const std::string_view whole = target;
    return whole.substr(0, whole.find('?'));
}

std::string Request::query(std::string_view name) const
{
    const std::string_view whole = target;
    const auto mark = whole.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view{} : whole.substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string{} : percentDecoded(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

Endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    auto address = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    if (address.starts_with('[') && address.ends_with(']'))
        address = address.substr(1, address.size() - 2);
    Endpoint endpoint{std::string(address), 0, false};
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    boost::system::error_code badAddress;
    boost::asio::ip::make_address(endpoint.address, badAddress);
    if (error != std::errc{} || end != port.data() + port.size() || badAddress)
        endpoint.port = 0;
    return endpoint;
}

std::string toString(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const auto host = isIpv6 ? '[' + endpoint.address + ']' : endpoint.address;
    return host + ':' + std::to_string(endpoint.port);
}

} // namespace Gypsumtally::Http
