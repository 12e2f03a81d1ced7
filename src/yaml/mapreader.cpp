#include "yaml/mapreader.h"

#include <arpa/inet.h>

#include <charconv>
#include <cmath>

namespace Gypsumtally
{

namespace
{

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

bool isIpNumber(const std::string &address)
{
    in6_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 || inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

template<typename T>
std::optional<T> parseNumber(const std::string &text)
{
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

void ProblemLog::add(const YAML::Node &node, std::string key, std::string message)
{
    addAtLine(node.Mark().line + 1, std::move(key), std::move(message));
}

void ProblemLog::addAtLine(int line, std::string key, std::string message)
{
    problems.push_back({file, line, std::move(key), std::move(message)});
}

std::string convertScalar(const std::string &text, std::string &value)
{
    if (text.empty())
        return "must not be empty";
    value = text;
    return {};
}

std::string convertScalar(const std::string &text, bool &value)
{
    if (text != "true" && text != "false")
        return "must be true or false";
    value = text == "true";
    return {};
}

std::string convertScalar(const std::string &text, Http::Endpoint &value)
{
    const auto endpoint = Http::parseEndpoint(text);
    if (!isIpNumber(endpoint.address) || (endpoint.port == 0 && !text.ends_with(":0")))
        return "must be ADDRESS:PORT or [IPV6]:PORT, with the address as an IP number";
    value = endpoint;
    return {};
}

std::string convertScalar(const std::string &text, double &value, Bounds<double> bounds)
{
    const auto number = parseNumber<double>(text);
    if (!number || !std::isfinite(*number) || *number < bounds.min || *number > bounds.max)
        return "must be a number from " + formatNumber(bounds.min) + " to " + formatNumber(bounds.max);
    value = *number;
    return {};
}

std::string convertScalar(const std::string &text, std::uint64_t &value, Bounds<std::uint64_t> bounds)
{
    const auto number = parseNumber<std::uint64_t>(text);
    if (!number || *number < bounds.min || *number > bounds.max)
        return "must be a whole number from " + std::to_string(bounds.min) + " to " + std::to_string(bounds.max);
    value = *number;
    return {};
}

std::string convertScalar(const std::string &text, Duration &value, Bounds<Duration> bounds)
{
    const auto duration = parseDuration(text);
    if (!duration || *duration < bounds.min || *duration > bounds.max) {
        return "must be a time from " + toString(bounds.min) + " to " + toString(bounds.max)
               + " with one of the units us, ms, s, m, h, d";
    }
    value = *duration;
    return {};
}

MapReader::MapReader(const YAML::Node &node, std::string path, ProblemLog &log)
    : m_node(node)
    , m_path(std::move(path))
    , m_log(log)
{
    if (!m_node.IsMap()) {
        m_log.add(m_node, m_path, "must be a map of keys and values");
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : m_node) {
        if (!entry.first.IsScalar())
            m_log.add(entry.first, m_path, "keys must be single values");
        else if (!seen.insert(entry.first.Scalar()).second)
            m_log.add(entry.first, keyOf(entry.first.Scalar()), "is given twice");
    }
}

YAML::Node MapReader::child(const std::string &name, Presence presence)
{
    m_known.insert(name);
    const YAML::Node &map = m_node;
    if (map.IsMap()) {
        const auto found = map[name];
        if (found.IsDefined())
            return found;
        if (presence == Presence::Required)
            m_log.add(m_node, keyOf(name), "is missing");
    }
    return YAML::Node{YAML::NodeType::Undefined};
}

void MapReader::map(const std::string &name, Presence presence, const std::function<void(MapReader &)> &read)
{
    const auto node = child(name, presence);
    if (!node.IsDefined())
        return;
    MapReader nested(node, keyOf(name), m_log);
    if (!node.IsMap())
        return;
    read(nested);
    nested.finish();
}

void MapReader::finish()
{
    if (!m_node.IsMap())
        return;
    for (const auto &entry : m_node) {
        if (!entry.first.IsScalar() || m_known.contains(entry.first.Scalar()))
            continue;
        std::string allowed;
        for (const auto &name : m_known)
            allowed += (allowed.empty() ? "" : ", ") + name;
        m_log.add(entry.first, keyOf(entry.first.Scalar()), "unknown key; allowed here: " + allowed);
    }
}

std::string MapReader::keyOf(const std::string &name) const
{
    return m_path.empty() ? name : m_path + '.' + name;
}

void readDocument(const std::string &text, ProblemLog &log, const std::function<void(MapReader &)> &read)
{
    YAML::Node document;
    try {
        document = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        log.addAtLine(error.mark.line + 1, {}, "not YAML: " + error.msg);
        return;
    }
    MapReader reader(document, {}, log);
    if (!document.IsMap())
        return;
    read(reader);
    reader.finish();
}

} // namespace Gypsumtally
