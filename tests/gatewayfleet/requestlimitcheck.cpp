#include "gatewayfleet/requestlimitcheck.h"

#include <algorithm>

namespace Gypsumtally::GatewayFleet
{

namespace
{

constexpr Duration window = std::chrono::seconds{4};
constexpr Duration rampUp = std::chrono::seconds{3}; ///< Time from a limit's coming into force until it is binding.
constexpr double tolerance = 1.5; ///< Factor on the limit that the platform tolerates.
constexpr double slack = 5; ///< Requests per window that the platform tolerates in addition.

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void RequestLimitRecord::onStated(Instant at, std::optional<double> limit)
{
    if (m_stated.empty() ? limit.has_value() : m_stated.back().limit != limit)
        m_stated.push_back({at, limit});
}

void RequestLimitRecord::onDelivered(Instant at, double limit, const std::string &address)
{
    m_deliveries.push_back({at, limit, address});
}

void RequestLimitRecord::onArrival(Instant at, const std::string &node, const std::string &description)
{
    m_arrivals.push_back({at, node, description});
}

void RequestLimitRecord::excuse(const std::string &node, Instant from, Instant to)
{
    m_excuses.emplace(node, Excuse{from, to});
}

bool RequestLimitRecord::isExcused(const Arrival &arrival) const
{
    const auto [first, last] = m_excuses.equal_range(arrival.node);
    return std::any_of(
        first, last, [&](const auto &item) { return arrival.at >= item.second.from && arrival.at <= item.second.to; });
}

/// Returns the limits with the times from which they are in force: the end of a limit and a higher one from the change
/// itself, others from the first answer that has told a node, unless a newer one is in force then.
std::vector<RequestLimitRecord::Stated> RequestLimitRecord::inForce() const
{
    struct Event {
        Instant at{};
        std::size_t change = 0; ///< Index in m_stated.
        bool isDelivery = false;
    };
    std::vector<Event> events;
    for (std::size_t change = 0; change < m_stated.size(); ++change)
        events.push_back({m_stated[change].at, change, false});
    for (const auto &delivery : m_deliveries) {
        for (std::size_t change = m_stated.size(); change-- > 0;) {
            if (m_stated[change].at > delivery.at || m_stated[change].limit != delivery.limit)
                continue;
            events.push_back({delivery.at, change, true});
            break;
        }
    }
    std::ranges::stable_sort(events, {}, &Event::at);
    std::vector<Stated> limits;
    std::size_t next = 0; ///< Earliest change that is newer than the one in force.
    for (const auto &event : events) {
        const auto &limit = m_stated[event.change].limit;
        const auto known = limits.empty() ? std::nullopt : limits.back().limit;
        const bool needsDelivery = limit && (!known || *limit < *known);
        if (event.change < next || (needsDelivery && !event.isDelivery))
            continue;
        next = event.change + 1;
        if (limit != known)
            limits.push_back({event.at, limit});
    }
    return limits;
}

/// Returns since when limits are in force at @p at; nothing if none is.
std::optional<Instant> RequestLimitRecord::limitedSince(const std::vector<Stated> &limits, Instant at)
{
    std::optional<Instant> since;
    for (const auto &each : limits) {
        if (each.at > at)
            break;
        if (!each.limit)
            since.reset();
        else if (!since)
            since = each.at;
    }
    return since;
}

/// Returns the requests that @p limits permit between @p from and @p to, counting the time before the first one like
/// that after it; nothing if a part of the time was unlimited.
std::optional<double> RequestLimitRecord::permitted(const std::vector<Stated> &limits, Instant from, Instant to)
{
    double requests = 0;
    for (std::size_t i = 0; i < limits.size(); ++i) {
        const auto begin = i == 0 ? from : std::max(from, limits[i].at);
        const auto end = i + 1 < limits.size() ? std::min(to, limits[i + 1].at) : to;
        if (end <= begin)
            continue;
        if (!limits[i].limit)
            return std::nullopt;
        requests += *limits[i].limit * secondsOf(end - begin);
    }
    return requests;
}

std::vector<std::string> RequestLimitRecord::violations() const
{
    std::vector<std::string> found;
    const auto limits = inForce();
    if (limits.empty())
        return found;
    std::vector<Instant> counted;
    for (const auto &arrival : m_arrivals) {
        if (!isExcused(arrival))
            counted.push_back(arrival.at);
    }
    const auto begin = limits.front().at;
    std::size_t first = 0;
    for (std::size_t last = 0; last < counted.size(); ++last) {
        const auto end = counted[last];
        while (counted[first] <= end - window)
            ++first;
        const auto since = limitedSince(limits, end);
        const auto allowed = permitted(limits, end - window, end);
        const double arrived = static_cast<double>(last - first + 1);
        if (since && end >= *since + rampUp && allowed && arrived > tolerance * *allowed + slack)
            found.push_back(std::to_string(arrived) + " requests in 4 s, " + std::to_string(secondsOf(end - begin))
                            + " s after the first limit; limits permit " + std::to_string(*allowed));
    }
    return found;
}

double RequestLimitRecord::use(Instant from, Instant to) const
{
    const auto arrived = std::ranges::count_if(
        m_arrivals, [&](const Arrival &arrival) { return arrival.at >= from && arrival.at < to; });
    return static_cast<double>(arrived) / permitted(inForce(), from, to).value_or(1);
}

void RequestLimitRecord::write(std::ostream &stream, Duration logOffset) const
{
    std::multimap<Instant, std::string> lines;
    for (const auto &each : m_stated)
        lines.emplace(each.at, "limit " + (each.limit ? std::to_string(*each.limit) : "none"));
    for (const auto &each : m_deliveries)
        lines.emplace(each.at, "delivered " + std::to_string(each.limit) + " to " + each.address);
    for (const auto &each : m_arrivals)
        lines.emplace(each.at,
                      "arrival " + each.description + " of " + each.node + (isExcused(each) ? " excused" : ""));
    for (const auto &[at, text] : lines)
        stream << (at + logOffset).time_since_epoch().count() / 1000 << ' ' << text << '\n';
}

} // namespace Gypsumtally::GatewayFleet
