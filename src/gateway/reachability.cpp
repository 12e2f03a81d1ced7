#include "gateway/reachability.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time from a failure after which other nodes' contact is evidence. Before, it may be with bytes that the process sent
/// before it crashed: the longest one-way delay and that of a report, with a reserve.
constexpr Duration contactMargin = std::chrono::milliseconds{40};
/// Time from a question after which a contact answers it; shorter than contactMargin, as the question took time.
constexpr Duration answerMargin = std::chrono::milliseconds{30};
constexpr Duration failureWindow = std::chrono::seconds{2}; ///< Failures further apart have different causes.
constexpr unsigned failuresForCut = 2; ///< Of exchanges; one failed connection suffices.
constexpr unsigned cutsForPresumption = 2;
constexpr unsigned maxReports = 4; ///< Reports of a failure in quick succession.
constexpr Duration reportInterval = std::chrono::milliseconds{100};
constexpr Duration laterReportInterval = std::chrono::seconds{1};
constexpr Duration questionLifetime = std::chrono::seconds{1};
constexpr Duration answerInterval = std::chrono::milliseconds{50}; ///< For one process.
/// Delay of an answer for each node that ranks before this one, so that few nodes answer in a large fleet.
constexpr Duration answerDelayPerRank = std::chrono::milliseconds{4};
constexpr Duration maxAnswerDelay = std::chrono::milliseconds{100};
constexpr Duration probeDelay = std::chrono::milliseconds{50}; ///< From a question, for nodes that have contact.
constexpr unsigned maxProbers = 2; ///< Nodes that probe a process for another one.
constexpr Duration peerProbeInterval = std::chrono::milliseconds{150}; ///< For one process and another node.
constexpr Duration stallTime = std::chrono::milliseconds{200}; ///< Between two calls of takeProbes().
constexpr Duration probeInterval = std::chrono::milliseconds{500}; ///< For one process, and for all that are cut off.
/// Time after an upstream was found in which all others that are cut off are probed once.
constexpr Duration promptProbeTime = std::chrono::seconds{1};
constexpr std::size_t maxPromptProbes = 4; ///< In one call of takeProbes().
constexpr std::size_t maxProbes = 16; ///< In one call of takeProbes().
constexpr Duration peerStateLifetime = std::chrono::seconds{5};
constexpr std::size_t maxPeers = 1024;

} // namespace

Reachability::Link *Reachability::current(const UpstreamProcess &process)
{
    const auto it = m_current.find(process.instance);
    if (it == m_current.end() || it->second != process.startedAt)
        return nullptr;
    const auto link = m_links.find(process);
    return link == m_links.end() ? nullptr : &link->second;
}

/// Returns true if @p process is an earlier process of its instance than the current one.
bool Reachability::isOutdated(const UpstreamProcess &process) const
{
    const auto it = m_current.find(process.instance);
    return it != m_current.end() && process.startedAt < it->second;
}

Reachability::Link &Reachability::currentOrNew(const UpstreamProcess &process, Instant now)
{
    const auto it = m_current.find(process.instance);
    if (it == m_current.end())
        onProcess(process, {}, now);
    else if (it->second != process.startedAt)
        onProcess(process, std::string(m_links[{process.instance, it->second}].service), now);
    return m_links[process];
}

void Reachability::onProcess(const UpstreamProcess &process, const std::string &service, Instant now)
{
    prune(now);
    const auto [it, isNew] = m_current.try_emplace(process.instance, process.startedAt);
    if (!isNew && it->second != process.startedAt) {
        m_links[{process.instance, it->second}].replacedAt = now;
        it->second = process.startedAt;
    }
    auto &link = m_links[process];
    if (link.replacedAt != Instant{})
        closeProbe(link); // It may have ended meanwhile.
    link.service = service;
    link.replacedAt = {};
    update(now);
}

void Reachability::onGone(const std::string &instance, Instant now)
{
    const auto it = m_current.find(instance);
    if (it == m_current.end())
        return;
    m_links[{instance, it->second}].replacedAt = now;
    m_current.erase(it);
    update(now);
}

void Reachability::prune(Instant now)
{
    std::erase_if(m_links, [&](const auto &item) {
        return item.second.replacedAt != Instant{} && now - item.second.replacedAt > peerStateLifetime;
    });
    std::erase_if(m_peers, [&](const auto &item) { return now - item.second.statedAt > peerStateLifetime; });
}

void Reachability::clearFailures(Link &link)
{
    link.failingSince = {};
    link.failures = 0;
    link.isFailing = false;
    link.isUnanswered = false;
    link.isShownCut = false;
    link.reports = 0;
    link.isProbedForPeer = false;
}

void Reachability::onFailure(const UpstreamProcess &process, Instant now, ReachFailure failure)
{
    if (isOutdated(process))
        return;
    auto &link = currentOrNew(process, now);
    m_hasNewFailures = m_hasNewFailures || link.reports == 0;
    const bool isUnconnected = failure == ReachFailure::NotConnected || failure == ReachFailure::Unanswered;
    const bool isForPeer = link.isProbedForPeer && isUnconnected && link.failures == 0;
    if (!link.isShownCut && link.failingSince != Instant{} && now - link.failedAt > failureWindow)
        clearFailures(link);
    link.isProbedForPeer = isForPeer;
    if (link.failingSince == Instant{})
        link.failingSince = now;
    link.failedAt = now;
    link.failure = failure;
    ++link.failures;
    if (isUnconnected)
        link.connectFailedAt = now;
    link.isUnanswered = link.isUnanswered || failure == ReachFailure::Unanswered;
    const bool isBrokenOften = failure == ReachFailure::Broken && link.failures >= failuresForCut;
    link.isFailing = link.isFailing || failure == ReachFailure::NotConnected || isBrokenOften;
    update(now);
}

void Reachability::onContact(const UpstreamProcess &process, Instant now, Instant sentAt, ContactKind kind)
{
    if (isOutdated(process))
        return;
    auto &link = currentOrNew(process, now);
    const auto previous = std::exchange(link.contactAt, now);
    if (kind == ContactKind::Request)
        link.requestContactAt = std::max(link.requestContactAt, std::min(sentAt, now));
    const bool disprovesFailure = link.connectFailedAt == Instant{} || sentAt >= link.connectFailedAt;
    link.isProbedForPeer = false;
    if (link.failingSince != Instant{} && disprovesFailure)
        clearFailures(link);
    else if (m_cutOff.empty() || previous > m_lastCutBegan)
        return;
    update(now);
}

void Reachability::onPeerContact(const std::string &node, const UpstreamProcess &process, Instant at)
{
    const auto it = m_links.find(process);
    if (it == m_links.end() || at <= it->second.peerContactAt)
        return;
    auto &link = it->second;
    link.peerContactAt = at;
    link.peer = node;
    onAnswered(link, at);
    if (link.isFailing)
        update(std::max(at, link.failedAt));
}

/// Leaves only the questions that a contact at @p contactAt does not answer.
void Reachability::onAnswered(Link &link, Instant contactAt)
{
    if (link.askedAt != Instant{} && contactAt >= link.askedAt + answerMargin)
        link.askedAt = contactAt >= link.lastAskedAt + answerMargin ? Instant{} : link.lastAskedAt;
}

void Reachability::onPeerFailure(const std::string &node, const FailedReach &failed, const std::string &self,
                                 const std::set<std::string> &peers, Instant now)
{
    auto *link = current(failed.process);
    if (!link || node == self || (!m_peers.contains(node) && m_peers.size() >= maxPeers))
        return;
    auto &peer = m_peers[node];
    peer.statedAt = now;
    std::erase_if(peer.failedAt, [&](const auto &item) { return now - item.second > failureWindow; });
    const bool isRepeated = !peer.failedAt.insert_or_assign(failed.process, now).second && link->askedAt != Instant{};
    if (!failed.isQuestion)
        return;
    link->rank = rankFor(failed.process, self, peers, now);
    if (!isRepeated)
        link->lastAskedAt = now;
    if (link->askedAt == Instant{} || now - link->askedAt > questionLifetime)
        link->askedAt = now;
}

unsigned Reachability::rankFor(const UpstreamProcess &process, const std::string &self,
                               const std::set<std::string> &peers, Instant now) const
{
    const auto key = XXH3_64bits(process.instance.data(), process.instance.size());
    const auto own = rendezvousScore(key, self);
    return static_cast<unsigned>(std::ranges::count_if(peers, [&](const auto &node) {
        const auto it = m_peers.find(node);
        const auto fails = [&](const PeerState &peer) {
            const auto failed = peer.failedAt.find(process);
            return !peer.cutOff.empty() || (failed != peer.failedAt.end() && now - failed->second < failureWindow);
        };
        return (it == m_peers.end() || !fails(it->second)) && rendezvousScore(key, node) > own;
    }));
}

void Reachability::onPeerCuts(const std::string &node, const std::vector<UpstreamProcess> &processes, Instant now)
{
    if (processes.empty() && !m_peers.contains(node))
        return;
    if (!m_peers.contains(node) && m_peers.size() >= maxPeers)
        return;
    auto &peer = m_peers[node];
    peer.statedAt = now;
    peer.cutOff.clear();
    for (const auto &process : processes)
        peer.cutOff.insert(process.instance);
}

bool Reachability::isCutOff(const std::string &instance, Instant /*now*/) const
{
    return m_cutOff.contains(instance);
}

bool Reachability::isPeerCutOff(const std::string &node, const std::string &instance, Instant now) const
{
    const auto it = m_peers.find(node);
    return it != m_peers.end() && now - it->second.statedAt < peerStateLifetime && it->second.cutOff.contains(instance);
}

bool Reachability::hasAnsweredPeerSince(const UpstreamProcess &process, Instant since) const
{
    const auto it = m_links.find(process);
    return it != m_links.end() && it->second.peerContactAt != Instant{}
           && it->second.peerContactAt >= since + contactMargin;
}

std::vector<UpstreamProcess> Reachability::cuts() const
{
    std::vector<UpstreamProcess> processes;
    for (const auto &instance : m_cutOff) {
        if (processes.size() == maxReported)
            break;
        processes.push_back({instance, m_current.at(instance)});
    }
    return processes;
}

bool Reachability::isPresumedCut(const Link &link, const Scope &service, const Scope &all) const
{
    if (all.shownCuts < cutsForPresumption)
        return false;
    if (link.isFailing)
        return true;
    const auto isBeyondReach = [](const Scope &scope) {
        return scope.shownCuts >= cutsForPresumption && scope.contactAt < scope.lastFailureBegan;
    };
    return isBeyondReach(service) || isBeyondReach(all);
}

void Reachability::update(Instant now)
{
    std::map<std::string, Scope> services;
    Scope all;
    const auto count = [](Scope &scope, const Link &link) {
        scope.contactAt = std::max(scope.contactAt, link.contactAt);
        if (!link.isShownCut)
            return;
        ++scope.shownCuts;
        scope.lastFailureBegan = std::max(scope.lastFailureBegan, link.failingSince);
    };
    for (auto &[process, link] : m_links) {
        if (link.replacedAt != Instant{})
            continue;
        if (link.isFailing && link.peerContactAt >= link.failingSince + contactMargin)
            link.isShownCut = true;
        count(services[link.service], link);
        count(all, link);
    }
    m_lastCutBegan = all.lastFailureBegan;
    std::set<std::string> cutOff;
    if (all.shownCuts > 0) {
        for (const auto &[process, link] : m_links) {
            if (link.replacedAt == Instant{} && (link.isShownCut || isPresumedCut(link, services[link.service], all)))
                cutOff.insert(process.instance);
        }
    }
    const auto before = std::exchange(m_cutOff, std::move(cutOff));
    m_cutsChanged = m_cutsChanged || before != m_cutOff;
    for (const auto &instance : m_cutOff) {
        if (!before.contains(instance))
            addChange(instance, true, now);
    }
    for (const auto &instance : before) {
        if (!m_cutOff.contains(instance))
            addChange(instance, false, now);
    }
}

void Reachability::addChange(const std::string &instance, bool isLost, Instant now)
{
    const auto current = m_current.find(instance);
    if (current == m_current.end())
        return;
    const UpstreamProcess process{instance, current->second};
    auto &link = m_links[process];
    ReachChange change{
        process, isLost, link.isShownCut ? ReachEvidence::PeerContact : ReachEvidence::OtherCuts, link.failure, {},
        {},      {}};
    if (!isLost) {
        m_foundAt = now;
        change.lasted = now - link.lostAt;
    } else {
        link.lostAt = now;
        change.lasted = link.failingSince == Instant{} ? Duration{} : std::max(Duration{}, now - link.failingSince);
    }
    if (link.isShownCut) {
        change.peer = link.peer;
        change.peerContactAfter = link.peerContactAt - link.failingSince;
    }
    m_changes.push_back(std::move(change));
}

std::vector<FailedReach> Reachability::takeFailures(Instant now)
{
    std::vector<FailedReach> failures;
    m_hasNewFailures = false;
    for (auto &[process, link] : m_links) {
        if (link.failingSince == Instant{} || link.replacedAt != Instant{} || m_cutOff.contains(process.instance)
            || now - link.failedAt > failureWindow)
            continue;
        const auto interval = link.reports < maxReports ? reportInterval : laterReportInterval;
        const bool isDue
            = link.reports == 0
              || (now - link.reportedAt >= interval && (link.reports < maxReports || link.failedAt > link.reportedAt));
        if (!isDue || failures.size() == maxReported)
            continue;
        failures.push_back({process, !link.isProbedForPeer});
        link.reportedAt = now;
        ++link.reports;
    }
    return failures;
}

std::vector<ReachContact> Reachability::takeAnswers(Instant now)
{
    std::vector<ReachContact> answers;
    for (auto &[process, link] : m_links) {
        if (link.askedAt == Instant{})
            continue;
        if (now - link.askedAt > questionLifetime) {
            link.askedAt = {};
            continue;
        }
        const auto delay = std::min<Duration>(answerDelayPerRank * link.rank, maxAnswerDelay);
        if (link.requestContactAt < link.askedAt + answerMargin || now < link.askedAt + answerMargin + delay
            || now - link.answeredAt < answerInterval || answers.size() == maxReported)
            continue;
        answers.push_back({process, now - link.requestContactAt});
        link.answeredAt = now;
        onAnswered(link, link.requestContactAt);
    }
    return answers;
}

/// Returns true if a failure of @p link is to be confirmed: once, and again after each contact of another node.
bool Reachability::needsProbe(const Link &link, Instant now)
{
    if (link.failingSince == Instant{} || link.isFailing || link.openProbeAt != Instant{})
        return false;
    if (link.isUnanswered && link.peerContactAt >= link.failingSince + contactMargin
        && link.probedAt < link.peerContactAt)
        return true;
    return (link.probedAt == Instant{} || now - link.probedAt >= probeInterval) && now - link.failedAt <= failureWindow
           && link.probedAt < link.failingSince;
}

void Reachability::closeProbe(Link &link)
{
    link.openProbeAt = {};
    link.overtakenAt = {};
}

void Reachability::openProbe(Link &link, Instant now)
{
    closeProbe(link);
    link.probedAt = now;
    link.openProbeAt = now;
    // The other nodes are asked again, as their contact must be later than the probe.
    if (link.isUnanswered)
        link.reports = 0;
}

/// Shows the cuts of links whose probes other nodes' contacts have overtaken. What had arrived when the contact was
/// seen has been read by the next call.
void Reachability::confirmCuts(Instant now)
{
    const bool hasStoodStill = now - std::exchange(m_confirmedAt, now) > stallTime;
    bool isAnyConfirmed = false;
    for (auto &[process, link] : m_links) {
        if (!link.isUnanswered || link.isShownCut || link.replacedAt != Instant{} || link.openProbeAt == Instant{}
            || link.peerContactAt < link.openProbeAt + contactMargin)
            continue;
        if (link.overtakenAt == Instant{} || hasStoodStill)
            link.overtakenAt = now;
        else if (now - link.overtakenAt >= contactMargin)
            isAnyConfirmed = link.isShownCut = true;
    }
    if (isAnyConfirmed)
        update(now);
}

std::vector<UpstreamProcess> Reachability::takeProbes(Instant now)
{
    confirmCuts(now);
    std::vector<UpstreamProcess> probes;
    for (auto &[process, link] : m_links) {
        if (probes.size() == maxProbes)
            break;
        if (link.replacedAt != Instant{} || m_cutOff.contains(process.instance)
            || (link.probedAt != Instant{} && now - link.probedAt < peerProbeInterval))
            continue;
        const bool isAsked = link.askedAt != Instant{} && now - link.askedAt <= questionLifetime
                             && now - link.askedAt >= probeDelay && link.rank < maxProbers
                             && link.requestContactAt < link.askedAt + answerMargin && link.failingSince == Instant{};
        if (!isAsked && !needsProbe(link, now))
            continue;
        openProbe(link, now);
        link.isProbedForPeer = isAsked;
        probes.push_back(process);
    }
    addCutProbes(probes, now);
    return probes;
}

void Reachability::addCutProbes(std::vector<UpstreamProcess> &probes, Instant now)
{
    if (m_cutOff.empty())
        return;
    std::vector<std::pair<Instant, UpstreamProcess>> waiting;
    for (const auto &process : cuts())
        waiting.emplace_back(m_links[process].probedAt, process);
    std::ranges::sort(waiting);
    const bool isPrompt
        = m_foundAt != Instant{} && now - m_foundAt < promptProbeTime && waiting.front().first < m_foundAt;
    if (!isPrompt && m_cutProbedAt != Instant{} && now - m_cutProbedAt < probeInterval)
        return;
    for (const auto &[probedAt, process] : waiting) {
        if (probes.size() >= maxProbes || (isPrompt && probedAt >= m_foundAt))
            break;
        m_links[process].probedAt = now;
        probes.push_back(process);
        m_cutProbedAt = now;
        if (!isPrompt || probes.size() >= maxPromptProbes)
            break;
    }
}

void Reachability::onProbed(const UpstreamProcess &process, Instant now)
{
    if (auto *link = current(process))
        openProbe(*link, now);
}

void Reachability::onProbeEnded(const UpstreamProcess &process, Instant startedAt)
{
    if (auto *link = current(process); link && link->openProbeAt <= startedAt)
        closeProbe(*link);
}

bool Reachability::hasFailedToConnect(const UpstreamProcess &process) const
{
    const auto it = m_links.find(process);
    return it != m_links.end() && it->second.connectFailedAt != Instant{};
}

std::vector<ReachChange> Reachability::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace Gypsumtally::Gateway
