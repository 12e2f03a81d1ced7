#include "scheduling/capacityreserve.h"

#include <algorithm>

namespace Gypsumtally::Scheduling
{

namespace
{

/// Part of the capacity that is reserved for the more urgent demand, as a multiple of it. Demand that a node observes
/// in two seconds varies by about that much.
constexpr double headroom = 1.25;
/// Utilisation of slots at which capacity begins to be short, and from which it is.
constexpr double beginningShortage = 0.8;
constexpr double fullShortage = 0.95;
/// Calls that wait, as a fraction of those that have started lately, from which capacity is short for their class.
constexpr double shortageBacklog = 0.25;
/// Fraction of a class's calls that start, relative to that of all calls, below which the class starves. Callers need a
/// quarter; the rest is for calls that start but are late.
constexpr double minRelativeService = 0.4;
constexpr double negligibleArrivals = 0.1; ///< Decayed number below which a class is not in demand.
constexpr double minArrivals = 3; ///< Decayed number below which a class is not judged.
/// Decayed number of starts from which they tell the node's throughput.
constexpr double minStarts = 8;
/// Factor by which the throughput may grow while a call waits, so that it is refused only if it has no chance.
constexpr double maxSpeedUp = 2;
constexpr Duration forgetTime = std::chrono::seconds{10}; ///< Longer than reports are under way.

} // namespace

void CapacityReserve::onArrived(const std::string &service, unsigned urgency, double promptTokens, Instant now)
{
    auto &arrived = m_services[service][urgency];
    arrived.arrived.count(now);
    arrived.prompts.count(now, promptTokens);
    arrived.promptSquares.count(now, promptTokens * promptTokens);
}

void CapacityReserve::onStarted(const std::string &service, unsigned urgency, double tokens, Instant now)
{
    auto &started = m_services[service][urgency];
    started.starts.count(now);
    started.served.count(now);
    started.tokens.count(now, std::max(1.0, tokens));
}

void CapacityReserve::onWaited(const std::string &service, unsigned urgency, Duration waited, Instant now)
{
    if (waited >= minDelay)
        m_services[service][urgency].delayed.count(now);
}

void CapacityReserve::onRefused(const std::string &service, unsigned urgency, Instant now)
{
    m_services[service][urgency].delayed.count(now);
}

void CapacityReserve::setWaiting(std::vector<WaitingCount> counts, Instant now)
{
    expire(now);
    m_hasNews = m_hasNews || std::ranges::any_of(counts, [&](const WaitingCount &count) {
                    return std::ranges::none_of(m_waiting, [&](const WaitingCount &before) {
                        return before.service == count.service && before.urgency == count.urgency;
                    });
                });
    m_waiting = std::move(counts);
}

void CapacityReserve::onPeerWaiting(const std::string &node, std::int64_t startedAt, std::uint64_t sequence,
                                    std::vector<WaitingCount> counts, Instant now)
{
    auto &peer = m_peers[node];
    if (std::pair(peer.startedAt, peer.sequence) > std::pair(startedAt, sequence))
        return;
    countAtPeers(peer.counts, -1);
    countAtPeers(counts, 1);
    peer = {startedAt, sequence, now, std::move(counts)};
}

std::vector<WaitingCount> CapacityReserve::takeNews(Instant now)
{
    if (m_waiting.empty() || (!m_hasNews && now - m_toldAt < repeatInterval))
        return {};
    return tellWaiting(now);
}

const std::vector<WaitingCount> &CapacityReserve::tellWaiting(Instant now)
{
    m_hasNews = false;
    m_toldAt = now;
    return m_waiting;
}

bool CapacityReserve::yields(const std::string &service, unsigned urgency, unsigned nodes, Instant now) const
{
    return isBelowOthers(service, urgency, nodes, now) && !isStarving(service, urgency, now);
}

bool CapacityReserve::isBelowOthers(const std::string &service, unsigned urgency, unsigned nodes, Instant now) const
{
    return demandAbove(service, urgency, nodes, now).reserve > negligibleReserve;
}

double CapacityReserve::usualPrompt(const std::string &service, unsigned urgency, Instant now) const
{
    const auto it = m_services.find(service);
    const double prompts = it == m_services.end() ? 0 : it->second[urgency].prompts.weightAt(now);
    return prompts > 0 ? it->second[urgency].promptSquares.weightAt(now) / prompts : 0;
}

bool CapacityReserve::isShared(const std::string &service, Instant now) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && std::ranges::count_if(it->second, [&](const UrgencyClass &each) {
                                         return each.arrived.lastWeight() > 0
                                                && each.arrived.weightAt(now) > negligibleArrivals;
                                     }) > 1;
}

bool CapacityReserve::isStarving(const std::string &service, unsigned urgency, Instant now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || it->second[urgency].arrived.weightAt(now) < minArrivals)
        return false;
    double arrived = 0;
    double served = 0;
    for (const auto &each : it->second) {
        if (each.arrived.lastWeight() == 0)
            continue;
        arrived += each.arrived.weightAt(now);
        served += each.served.weightAt(now);
    }
    const auto &own = it->second[urgency];
    return own.served.weightAt(now) * arrived < minRelativeService * served * own.arrived.weightAt(now);
}

Duration CapacityReserve::earliestTurn(const std::string &service, unsigned urgency, unsigned callsAhead,
                                       unsigned nodes, Instant now) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !yields(service, urgency, nodes, now))
        return {};
    double starts = 0;
    double perSecond = 0;
    for (const auto &each : it->second) {
        starts += each.starts.weightAt(now);
        perSecond += each.starts.perSecond(now);
    }
    if (starts < minStarts)
        return {};
    return Duration{static_cast<std::int64_t>(callsAhead / (maxSpeedUp * perSecond) * 1e6)};
}

double CapacityReserve::shortageAt(double utilisation)
{
    return std::clamp((utilisation - beginningShortage) / (fullShortage - beginningShortage), 0.0, 1.0);
}

CapacityReserve::Demand CapacityReserve::demandAbove(const std::string &service, unsigned urgency, unsigned nodes,
                                                     Instant now) const
{
    static const Classes none{};
    const auto it = m_services.find(service);
    const auto &classes = it == m_services.end() ? none : it->second;
    const auto waiting = waitingCalls(service, nodes);
    const auto isInDemand
        = [&](unsigned above) { return classes[above].arrived.lastWeight() > 0 || waiting[above] > 0; };
    unsigned first = 0;
    while (first < urgency && !isInDemand(first))
        ++first;
    if (first == urgency)
        return {};
    double starts = 0;
    double tokens = 0;
    for (unsigned each = first; each < urgencyCount; ++each) {
        if (classes[each].starts.lastWeight() == 0)
            continue;
        starts += classes[each].starts.weightAt(now);
        tokens += classes[each].tokens.weightAt(now);
    }
    const double meanTokens = starts > 0 && tokens > 0 ? tokens / starts : 1;
    double urgentStarts = 0;
    double urgentTokens = 0;
    double backlog = 0;
    double backlogTokens = 0;
    for (unsigned above = first; above < urgency; ++above) {
        const double started = classes[above].starts.weightAt(now);
        const double startedTokens = classes[above].tokens.weightAt(now);
        const double delayed = waiting[above] + classes[above].delayed.weightAt(now);
        urgentStarts += started;
        urgentTokens += startedTokens;
        backlog += delayed;
        backlogTokens += delayed * (started >= 1 ? startedTokens / started : meanTokens);
    }
    return {headroom * (urgentTokens + backlogTokens) / std::max(tokens + backlogTokens, meanTokens),
            std::min(1.0, backlog / (shortageBacklog * std::max(1.0, urgentStarts))), meanTokens};
}

/// Returns the calls that wait for capacity of @p service at this node, and at another node on average, by urgency.
std::array<double, urgencyCount> CapacityReserve::waitingCalls(const std::string &service, unsigned nodes) const
{
    std::array<double, urgencyCount> calls{};
    if (const auto it = m_atPeers.find(service); it != m_atPeers.end()) {
        for (unsigned urgency = 0; urgency < urgencyCount; ++urgency)
            calls[urgency] = it->second[urgency] / std::max(1U, nodes);
    }
    for (const auto &count : m_waiting) {
        if (count.service == service)
            calls[count.urgency] += count.calls;
    }
    return calls;
}

void CapacityReserve::countAtPeers(const std::vector<WaitingCount> &counts, double sign)
{
    for (const auto &count : counts)
        m_atPeers[count.service][count.urgency] += sign * count.calls;
}

/// Drops what peers reported too long ago. Keeps their last sequence for long enough to tell late reports.
void CapacityReserve::expire(Instant now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        auto &[node, report] = *it;
        if (now - report.receivedAt > reportLifetime) {
            countAtPeers(report.counts, -1);
            report.counts.clear();
        }
        it = now - report.receivedAt > forgetTime ? m_peers.erase(it) : std::next(it);
    }
    std::erase_if(m_atPeers, [](const auto &service) {
        return std::ranges::all_of(service.second, [](double calls) { return calls == 0; });
    });
}

} // namespace Gypsumtally::Scheduling
