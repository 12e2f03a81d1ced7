#include "gateway/dissemination.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

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
}

void addTo(std::vector<NodeReport> &reports, NodeReport &&report)
{
    const auto same = std::ranges::find_if(reports, [&](const NodeReport &each) {
        return each.from.node == report.from.node && each.from.startedAt == report.from.startedAt;
    });
    if (same == reports.end())
        reports.push_back(std::move(report));
    else
        merge(*same, std::move(report));
}

} // namespace

Dissemination::Dissemination(DisseminationSettings settings)
    : m_settings(settings)
{
}

void Dissemination::add(NodeReport report)
{
    addTo(m_own, std::move(report));
}

void Dissemination::onMessage(const GatewayMessage &message)
{
    if (message.forwardScope == ForwardScope::None)
        return;
    auto &reports = message.forwardScope == ForwardScope::Everywhere ? m_forEverywhere : m_forOwnDomain;
    for (auto report : message.reports)
        addTo(reports, std::move(report));
}

bool Dissemination::isEmpty() const
{
    return m_own.empty() && m_forEverywhere.empty() && m_forOwnDomain.empty();
}

bool Dissemination::isDirect(const MemberTable &members, Instant now) const
{
    return members.peerCount(now) <= m_settings.directPeers;
}

Duration Dissemination::pause(const MemberTable &members, Instant now) const
{
    if (isDirect(members, now))
        return {};
    return m_settings.pause + m_settings.pausePerNode * members.peerCountIn(members.self().failureDomain, now);
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
    const auto &self = members.self();
    const auto relays = members.relaysOf(self.failureDomain, m_settings.relaysPerDomain, now);
    return std::ranges::find(relays, self) != relays.end();
}

std::vector<Dissemination::Delivery> Dissemination::flush(const MemberTable &members, Instant now)
{
    std::vector<Delivery> deliveries;
    const auto &self = members.self();
    auto own = std::exchange(m_own, {});
    auto everywhere = std::exchange(m_forEverywhere, {});
    auto ownDomain = std::exchange(m_forOwnDomain, {});
    if (isDirect(members, now)) {
        send(own, ForwardScope::None, members.peers(now), members, deliveries);
    } else {
        const auto relays = members.relaysOf(self.failureDomain, m_settings.relaysPerDomain, now);
        const bool isRelay = std::ranges::find(relays, self) != relays.end();
        if (isRelay) {
            for (auto &report : own)
                addTo(everywhere, std::move(report));
        } else if (!own.empty()) {
            send(own, ForwardScope::Everywhere, {relays[m_nextRelay++ % relays.size()]}, members, deliveries);
        }
    }
    if (!everywhere.empty()) {
        std::vector<NodeAddress> elsewhere;
        for (const auto &domain : members.failureDomains(now)) {
            const auto relays = members.relaysOf(domain, m_settings.relaysPerDomain, now);
            if (domain != self.failureDomain && !relays.empty())
                elsewhere.push_back(relays[m_nextRelay % relays.size()]);
        }
        ++m_nextRelay;
        send(everywhere, ForwardScope::OwnDomain, elsewhere, members, deliveries);
        for (auto &report : everywhere)
            addTo(ownDomain, std::move(report));
    }
    send(ownDomain, ForwardScope::None, members.peersIn(self.failureDomain, now), members, deliveries);
    return deliveries;
}

} // namespace Gypsumtally::Gateway
