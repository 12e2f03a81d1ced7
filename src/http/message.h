#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally::Http
{

/// Header fields in the order in which they were added. Names are case-insensitive.
class Headers
{
public:
    Headers() = default;
    Headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    /// Appends a field.
    void add(std::string name, std::string value)
    {
        m_fields.emplace_back(std::move(name), std::move(value));
    }

    /// Returns the first value of @p name, or an empty string.
    std::string_view get(std::string_view name) const;

    /// Returns true if there is a field called @p name.
    bool contains(std::string_view name) const;

    auto begin() const
    {
        return m_fields.begin();
    }

    auto end() const
    {
        return m_fields.end();
    }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct Request {
    std::string method = "GET";
    std::string target = "/"; ///< Path and query, as sent.
    Headers headers;
    std::string body;

    /// Returns the target without its query.
    std::string_view path() const;

    /// Returns the value of the query parameter @p name, percent-decoded, or an empty string.
    std::string query(std::string_view name) const;
};

struct Response {
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// The address and port of a server. The address is a numeric IP address.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;
    bool tls = false;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses `ADDRESS:PORT` or `[IPV6]:PORT`; returns an endpoint with port 0 if @p text is neither. Thread-safe.
Endpoint parseEndpoint(std::string_view text);

/// Returns the text form that parseEndpoint() parses. Thread-safe.
std::string toString(const Endpoint &endpoint);

} // namespace Gypsumtally::Http
