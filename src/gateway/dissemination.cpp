#include "gateway/dissemination.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr double usualRelays = 2; ///< That share the reports of a failure domain of equal machines of capacity 1.

double capacityOf(const std::vector<NodeAddress> &nodes)
{
    return std::accumulate(nodes.begin(), nodes.end(), 0.0,
                           [](double sum, const NodeAddress &node) { return sum + node.capacity; });
}

bool contains(const std::vector<NodeAddress> &nodes, const NodeAddress &node)
{
    return std::ranges::find(nodes, node) != nodes.end();
}

template<typename Item>
void append(std::vector<Item> &to, std::vector<Item> &&from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

/// Merges a report into another one of the same process. Keeps all events of both; for state, the later report wins.
void merge(NodeReport &into, NodeReport &&from)
{
    append(into.sends, std::move(from.sends));
    append(into.crashes, std::move(from.crashes));
    append(into.acquittals, std::move(from.acquittals));
    append(into.lifted, std::move(from.lifted));
    append(into.proposals, std::move(from.proposals));
    append(into.verdicts, std::move(from.verdicts));
    append(into.brokenStreams, std::move(from.brokenStreams));
    append(into.placements, std::move(from.placements));
    append(into.steps, std::move(from.steps));
    append(into.speeds, std::move(from.speeds));
    append(into.departures, std::move(from.departures));
    append(into.turnedAway, std::move(from.turnedAway));
    append(into.limits, std::move(from.limits));
    append(into.brittleness, std::move(from.brittleness));
    append(into.released, std::move(from.released));
    append(into.failedReach, std::move(from.failedReach));
    append(into.contacts, std::move(from.contacts));
    if (from.hasCutOff && (!into.hasCutOff || from.sequence > into.sequence)) {
        into.hasCutOff = true;
        into.cutOff = std::move(from.cutOff);
    }
    into.operatorRevision = std::max(into.operatorRevision, from.operatorRevision);
    if (from.sequence < into.sequence) {
        if (!into.hasInFlight) {
            into.changedInFlight.merge(from.changedInFlight);
            into.hasInFlight = from.hasInFlight;
            into.inFlight = std::move(from.inFlight);
        }
        into.spent.merge(from.spent);
        return;
    }
    into.sequence = from.sequence;
    into.takesCallers = from.takesCallers;
    into.reachesStore = from.reachesStore;
    into.reach = from.reach;
    into.ordering = std::move(from.ordering);
    if (from.from.callers.port != 0)
        into.from = std::move(from.from);
    if (from.hasInFlight) {
        into.hasInFlight = true;
        into.inFlight = std::move(from.inFlight);
        into.changedInFlight.clear(); // Older than the full counts.
    }
    from.changedInFlight.merge(into.changedInFlight);
    into.changedInFlight = std::move(from.changedInFlight);
    from.spent.merge(into.spent);
    into.spent = std::move(from.spent);
}

} // namespace

void Dissemination::HeldReports::advanceTo(Instant now)
{
    const auto time = now - std::exchange(asOf, now);
    if (time == Duration{})
        return; // All reports of one message.
    for (auto &report : reports)
        advance(report, time);
}

void Dissemination::HeldReports::add(NodeReport report, Instant now)
{
    advanceTo(now);
    const auto same = std::ranges::find_if(reports, [&](const NodeReport &each) {
        return each.from.node == report.from.node && each.from.startedAt == report.from.startedAt;
    });
    if (same == reports.end())
        reports.push_back(std::move(report));
    else
        merge(*same, std::move(report));
}

std::vector<NodeReport> Dissemination::HeldReports::take(Instant now)
{
    advanceTo(now);
    return std::exchange(reports, {});
}

Dissemination::Dissemination(DisseminationSettings settings)
    : m_settings(settings)
{
}

void Dissemination::add(NodeReport report, Instant now)
{
    m_own.add(std::move(report), now);
}

void Dissemination::onMessage(const GatewayMessage &message, Instant now)
{
    if (message.forwardScope == ForwardScope::None)
        return;
    auto &held = message.forwardScope == ForwardScope::Everywhere ? m_forEverywhere : m_forOwnDomain;
    for (const auto &report : message.reports)
        held.add(report, now);
}

bool Dissemination::isEmpty() const
{
    return m_own.reports.empty() && m_forEverywhere.reports.empty() && m_forOwnDomain.reports.empty();
}

bool Dissemination::isDirect(const MemberTable &members, Instant now) const
{
    return members.peerCount(now) <= m_settings.directPeers;
}

Duration Dissemination::pause(const MemberTable &members, Instant now) const
{
    if (isDirect(members, now))
        return {};
    const auto &self = members.self();
    const auto pause = m_settings.pause + m_settings.pausePerNode * members.peerCountIn(self.failureDomain, now);
    const auto relays = relaysOf(self.failureDomain, members, now);
    if (!contains(relays, self))
        return pause;
    const double factor = capacityOf(relays) / (usualRelays * self.capacity);
    return std::chrono::duration_cast<Duration>(pause * std::clamp(factor, 1.0, m_settings.maxPauseFactor));
}

std::vector<NodeAddress> Dissemination::relaysOf(const std::string &failureDomain, const MemberTable &members,
                                                 Instant now) const
{
    const auto nodes = static_cast<double>(members.peerCountIn(failureDomain, now));
    const double spare = std::max(m_settings.spareRelayCapacity, nodes / m_settings.nodesPerRelayCapacity);
    return members.relaysOf(failureDomain, spare, now);
}

/// A smooth weighted round robin.
const NodeAddress &Dissemination::nextOf(const std::vector<NodeAddress> &relays, const std::string &self)
{
    const auto seed = XXH3_64bits(self.data(), self.size());
    for (const auto &relay : relays) {
        // Differs between senders, so that they do not choose the same relay at the same time.
        const auto initial
            = relay.capacity * fractionOf(XXH3_64bits_withSeed(relay.node.data(), relay.node.size(), seed));
        m_credits.try_emplace(relay.node, initial).first->second += relay.capacity;
    }
    const auto &next
        = *std::ranges::max_element(relays, {}, [this](const NodeAddress &relay) { return m_credits[relay.node]; });
    m_credits[next.node] -= capacityOf(relays);
    return next;
}

void Dissemination::send(const std::vector<NodeReport> &reports, ForwardScope forwardScope,
                         const std::vector<NodeAddress> &targets, const MemberTable &members,
                         std::vector<Delivery> &deliveries) const
{
    if (targets.empty())
        return;
    for (std::size_t first = 0; first < reports.size(); first += m_settings.reportsPerMessage) {
        const auto last = std::min(reports.size(), first + m_settings.reportsPerMessage);
        Delivery delivery{{}, targets};
        delivery.message.sender = members.self().node;
        delivery.message.forwardScope = forwardScope;
        delivery.message.reports.assign(reports.begin() + static_cast<std::ptrdiff_t>(first),
                                        reports.begin() + static_cast<std::ptrdiff_t>(last));
        deliveries.push_back(std::move(delivery));
    }
}

bool Dissemination::isRelay(const MemberTable &members, Instant now) const
{
    if (isDirect(members, now))
        return false;
    return contains(relaysOf(members.self().failureDomain, members, now), members.self());
}

std::vector<Dissemination::Delivery> Dissemination::flush(const MemberTable &members, Instant now)
{
    std::vector<Delivery> deliveries;
    const auto &self = members.self();
    auto own = m_own.take(now);
    if (isDirect(members, now)) {
        send(own, ForwardScope::None, members.peers(now), members, deliveries);
    } else {
        const auto relays = relaysOf(self.failureDomain, members, now);
        if (contains(relays, self)) {
            for (auto &report : own)
                m_forEverywhere.add(std::move(report), now);
        } else if (!own.empty()) {
            send(own, ForwardScope::Everywhere, {nextOf(relays, self.node)}, members, deliveries);
        }
    }
    auto everywhere = m_forEverywhere.take(now);
    if (!everywhere.empty()) {
        std::vector<NodeAddress> elsewhere;
        for (const auto &domain : members.failureDomains(now)) {
            const auto relays = relaysOf(domain, members, now);
            if (domain != self.failureDomain && !relays.empty())
                elsewhere.push_back(nextOf(relays, self.node));
        }
        send(everywhere, ForwardScope::OwnDomain, elsewhere, members, deliveries);
        for (auto &report : everywhere)
            m_forOwnDomain.add(std::move(report), now);
    }
    send(m_forOwnDomain.take(now), ForwardScope::None, members.peersIn(self.failureDomain, now), members, deliveries);
    return deliveries;
}

} // namespace Gypsumtally::Gateway
