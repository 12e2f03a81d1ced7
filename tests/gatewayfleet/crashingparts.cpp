#include "gatewayfleet/crashingparts.h"

#include <algorithm>
#include <sstream>

namespace Gypsumtally::GatewayFleet
{

namespace
{

constexpr std::size_t toleratedCrashes = 5;
constexpr Duration reactionTime = std::chrono::seconds{3}; ///< From the last tolerated crash.
constexpr std::size_t toleratedArrivals = 3;

} // namespace

void CrashingParts::add(const std::string &part)
{
    m_parts[part];
}

std::optional<std::string> CrashingParts::partIn(const Http::Request &request) const
{
    std::istringstream parts{std::string(request.headers.get("X-Prompt-Prefix"))};
    std::string part;
    while (std::getline(parts, part, ',') && !parts.eof()) {
        const auto id = part.substr(0, part.find(':'));
        if (m_parts.contains(id))
            return id;
    }
    return std::nullopt;
}

void CrashingParts::onArrival(const std::string &part, const std::string &node, Instant at)
{
    m_parts.at(part).arrivals.push_back({node, at});
}

void CrashingParts::onCrash(const std::string &part, Instant at)
{
    m_parts.at(part).crashes.push_back(at);
}

void CrashingParts::excuse(const std::string &node, Instant from, Instant to)
{
    m_excuses.emplace(node, Excuse{from, to});
}

std::size_t CrashingParts::crashes(const std::string &part) const
{
    const auto it = m_parts.find(part);
    return it == m_parts.end() ? 0 : it->second.crashes.size();
}

bool CrashingParts::isExcused(const Arrival &arrival) const
{
    const auto [first, last] = m_excuses.equal_range(arrival.node);
    return std::any_of(
        first, last, [&](const auto &item) { return arrival.at >= item.second.from && arrival.at <= item.second.to; });
}

std::vector<std::string> CrashingParts::violations() const
{
    std::vector<std::string> found;
    for (const auto &[part, record] : m_parts) {
        if (record.crashes.size() < toleratedCrashes)
            continue;
        const auto bound = record.crashes[toleratedCrashes - 1] + reactionTime;
        const auto late = static_cast<std::size_t>(std::ranges::count_if(
            record.arrivals, [&](const Arrival &arrival) { return arrival.at > bound && !isExcused(arrival); }));
        if (late > toleratedArrivals)
            found.push_back(std::to_string(late) + " requests with part " + part + " arrived 3 s after it had crashed "
                            + std::to_string(toleratedCrashes) + " engines; " + std::to_string(record.crashes.size())
                            + " crashed in all");
    }
    return found;
}

} // namespace Gypsumtally::GatewayFleet
