#include "gateway/enginechoice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr double minOutcomes = 2; ///< Decayed number of outcomes below which the failure ratio is not significant.
constexpr double badFailureRatio = 0.25; ///< Plain services fail up to 14 in 100 requests in normal operation.
constexpr double badUpstreamPenaltyMs = 3000; ///< Penalty that ranks bad upstreams behind every good one.
/// Silence after which an engine is penalised as unresponsive, in longest pauses that the route allows.
constexpr double silenceInPauses = 2.5;
/// Silence after which an upstream is penalised as unresponsive if the route does not bound pauses, in usual answer
/// times.
constexpr double silenceInAnswerTimes = 20;
constexpr double minSilenceMs = 250;
constexpr double minSlowness = 0.2; ///< Estimates below this are presumed wrong.
constexpr double maxSlowness = 8; ///< Estimates above this are presumed wrong.

constexpr double brittleSpreadMs = 20; ///< Longest random cost, to spread requests over a brittle service's upstreams.
/// A load that is overdue by more than this is no longer presumed to be in progress.
constexpr Duration maxLoadOverrun = std::chrono::milliseconds{800};
/// Longest random cost of engines, so that nodes don't all choose the same one before they know of each other's
/// prompts.
constexpr double engineSpreadMs = 6;
constexpr Duration fullEngineDelay = std::chrono::milliseconds{60}; ///< Delay before a full engine is considered again.
constexpr Duration promptSpan = std::chrono::milliseconds{300}; ///< Time for which a sent prompt may still be queued.
constexpr double stepsPerRunningRequest = 0.15; ///< Delay of a new request by each running one, in steps.
/// Fraction of the prompt pace to use. The rest is a reserve for prompts that two nodes send at the same moment.
constexpr double usablePaceFraction = 0.95;
constexpr Duration maxSlowSilence = std::chrono::seconds{1}; ///< Longer ones have other causes, such as a cut.
/// Longest usual delay of an event by the network and by other work of this node.
constexpr Duration eventJitter = std::chrono::milliseconds{20};
/// Longest penalty of an engine on which a prompt of that size makes streams pause for too long.
constexpr double maxStallPenaltyMs = 3000;
/// Slowness of a plain upstream that costs nothing, so that differences within the usual scatter of answer times don't
/// send all requests to one upstream.
constexpr double plainTolerance = 1.5;
/// Fraction of a pause that prompts may use at least, however slow the engine is estimated to be.
constexpr double minPromptPauseFraction = 0.25;

double msOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

bool isSilent(const Upstream &upstream, const UpstreamDemand &demand, Instant now)
{
    const double longestMs = demand.pace.longestPause > Duration{} ? silenceInPauses * msOf(demand.pace.longestPause)
                                                                   : silenceInAnswerTimes * demand.speed.answerMs;
    return upstream.ownInFlight > 0 && upstream.waitingSince != Instant{}
           && msOf(now - upstream.waitingSince) > std::max(minSilenceMs, longestMs);
}

bool isSuspect(const Upstream &upstream, const UpstreamDemand &demand, Instant now)
{
    return isSilent(upstream, demand, now) || now < upstream.avoidUntil;
}

double penaltyMs(const Upstream &upstream, const UpstreamDemand &demand, Instant now)
{
    double penalty = 0;
    if (upstream.outcomes.weightAt(now) >= minOutcomes && upstream.failureRatio > badFailureRatio)
        penalty += badUpstreamPenaltyMs * upstream.failureRatio;
    if (isSuspect(upstream, demand, now))
        penalty += badUpstreamPenaltyMs;
    return penalty;
}

/// Returns a number from 0 to 1 that differs between the upstreams and between the requests.
double spreadOf(const Upstream &upstream, const UpstreamDemand &demand)
{
    const auto &instance = upstream.record.instance;
    const auto hash = XXH3_64bits_withSeed(instance.data(), instance.size(), demand.spreadSeed);
    return static_cast<double>(hash >> 32U) / 4294967296.0;
}

/// Makes @p choice wait for room at @p upstream, whose service is brittle and where @p ownPlaces belong to this node.
void awaitRoom(UpstreamChoice &choice, const Upstream &upstream, const UpstreamDemand &demand, unsigned ownPlaces,
               Instant now)
{
    const auto room = roomFor(upstream, demand.node, ownPlaces, *demand.refusalsPerSecond, now);
    choice.isFull = choice.isFull || room == RoomState::Full;
    choice.isLent = room == RoomState::Lent;
    if (choice.isLent)
        choice.sendAt = std::max(choice.sendAt, now + announcementDelay);
    // Nodes would lend each other the places of the same upstream at the same moment.
    choice.score += brittleSpreadMs * spreadOf(upstream, demand);
}

bool hasUsableSoftware(const UpstreamRecord &record, const UpstreamDemand &demand)
{
    if (demand.softwareVersion)
        return record.softwareVersion == *demand.softwareVersion;
    return !demand.heldVersions.contains(record.softwareVersion);
}

bool isOf(const UpstreamRecord &record, const std::string &service, const std::string *softwareVersion)
{
    return record.service == service && (!softwareVersion || record.softwareVersion == *softwareVersion);
}

double distanceMs(const Upstream &upstream, const UpstreamDemand &demand, const DistanceCost &cost)
{
    if (upstream.record.failureDomain == demand.failureDomain)
        return 0;
    if (demand.regions
        && regionOf(upstream.record.failureDomain, *demand.regions) == regionOf(demand.failureDomain, *demand.regions))
        return cost.crossDomainMs;
    return demand.target.empty() ? cost.plainCrossRegionMs : cost.crossRegionMs;
}

/// Returns the time that an engine of usual speed takes for @p promptTokens and an event, in ms.
double usualPauseMs(const PromptPace &pace, const Estimates::Speed &speed, double promptTokens)
{
    return speed.stepMs * std::max(1U, pace.tokensPerEvent) + promptTokens / speed.promptTokensPerMs;
}

/// Returns the longest pause of the streams of @p upstream, in ms, while it processes @p promptTokens.
double pauseMs(const Upstream &upstream, const PromptPace &pace, const Estimates::Speed &speed, double promptTokens,
               Instant now)
{
    return expectedSlowness(upstream, speed, now) * usualPauseMs(pace, speed, promptTokens);
}

bool canStall(const Upstream &upstream, const PromptPace &pace, Instant now)
{
    return pace.longestPause > Duration{} && upstream.inFlight() > 0 && upstream.capacity.isKnown(now);
}

/// Returns the penalty of an engine that is too slow for the prompt. Another one that serves the request in time, even
/// if it has to wait for its turn there, costs less.
double stallPenaltyMs(const Upstream &upstream, const UpstreamDemand &demand, Instant now)
{
    if (!canStall(upstream, demand.pace, now)
        || pauseMs(upstream, demand.pace, demand.speed, demand.promptTokens, now)
               <= stallFraction * msOf(demand.pace.longestPause))
        return 0;
    return std::clamp(msOf(std::min(demand.wantedBy, demand.latestSend) - now), 0.0, maxStallPenaltyMs);
}

double scoreOf(const Upstream &upstream, const UpstreamDemand &demand, Instant now, const DistanceCost &cost)
{
    const auto &speed = demand.speed;
    const double slots = upstream.usableSlots(now);
    const double inFlight = upstream.inFlight();
    const double distance = distanceMs(upstream, demand, cost);
    const double slowness = expectedSlowness(upstream, speed, now);
    if (demand.target.empty())
        return distance + speed.answerMs * (std::floor(inFlight / slots) + std::max(0.0, slowness - plainTolerance))
               + inFlight / slots + penaltyMs(upstream, demand, now);
    const double queued = std::max(0.0, inFlight + 1 - slots);
    const double crowded = slowness * upstream.capacity.crowding(upstream.inFlight());
    const double ownMs
        = upstream.capacity.isKnown(now) ? (crowded - 1) * usualPauseMs(demand.pace, speed, demand.promptTokens) : 0;
    const double spread = upstream.capacity.isKnown(now) ? engineSpreadMs * spreadOf(upstream, demand) : 0;
    return distance + spread + ownMs + penaltyMs(upstream, demand, now) + stallPenaltyMs(upstream, demand, now)
           + slowness
                 * (upstream.prompts.sum(promptSpan, now) / speed.promptTokensPerMs
                    + inFlight * stepsPerRunningRequest * speed.stepMs + queued * speed.streamMs / slots);
}

} // namespace

const std::string &regionOf(const std::string &failureDomain, const Regions &regions)
{
    const auto it = regions.find(failureDomain);
    return it == regions.end() ? failureDomain : it->second;
}

double slownessOf(const Upstream &upstream, const Estimates::Speed &speed)
{
    if (upstream.step.value() <= 0)
        return 1;
    return std::clamp(upstream.step.value() / speed.stepMs, minSlowness, maxSlowness);
}

double slownessNow(const Upstream &upstream, const Estimates::Speed &speed, Instant now)
{
    if (!upstream.capacity.isKnown(now))
        return slownessOf(upstream, speed);
    const double usualMs = upstream.residency.isEmpty() ? speed.answerMs : speed.stepMs;
    return std::clamp(upstream.capacity.slowness(usualMs, upstream.step.value(), now), minSlowness, maxSlowness);
}

double expectedSlowness(const Upstream &upstream, const Estimates::Speed &speed, Instant now)
{
    const double slowness = slownessNow(upstream, speed, now);
    if (!upstream.capacity.isKnown(now))
        return slowness;
    return std::clamp(std::max(slowness, overdueSlowness(upstream, speed, now)), minSlowness, maxSlowness);
}

double overdueSlowness(const Upstream &upstream, const Estimates::Speed &speed, Instant now)
{
    if (upstream.lastEventAt == Instant{} || upstream.ownInFlight == 0)
        return 0;
    const auto silence = now - upstream.lastEventAt;
    if (silence > maxSlowSilence)
        return 0;
    const double tokens
        = std::max(0.0, upstream.prompts.sum(silence + promptTransit, now) - upstream.prompts.sum({}, now));
    return msOf(silence - eventJitter)
           / (speed.stepMs * std::max(1U, upstream.tokensPerEvent) + tokens / speed.promptTokensPerMs);
}

double tokensWithinPause(const PromptPace &pace, const Estimates::Speed &speed, double slowness)
{
    const double pauseMs = msOf(pace.longestPause);
    const double forPrompts = pauseMs - slowness * speed.stepMs * std::max(1U, pace.tokensPerEvent);
    return std::max(minPromptPauseFraction * pauseMs, forPrompts) * speed.promptTokensPerMs / slowness
           * usablePaceFraction * pace.share;
}

std::optional<UpstreamChoice> chooseUpstream(const UpstreamTable &table, const UpstreamDemand &demand, Instant now,
                                             const DistanceCost &cost)
{
    std::optional<UpstreamChoice> best;
    PlaceDealer dealer(demand.rank);
    for (const auto &[instance, upstream] : table.all()) {
        if (upstream.record.service != demand.service)
            continue;
        const auto ownPlaces = demand.refusalsPerSecond ? dealer.deal(upstream, now) : 0;
        const bool isOpen
            = demand.isBehindCut ? upstream.isCutOff && upstream.staysInService() : upstream.takesRequests(now);
        if (!isOpen || std::ranges::find(demand.excluded, instance) != demand.excluded.end()
            || !hasUsableSoftware(upstream.record, demand))
            continue;
        UpstreamChoice choice{instance, 0, now, now};
        choice.isLimited = upstream.limitsRequests();
        choice.isSuspect = isSuspect(upstream, demand, now);
        if (!demand.target.empty()) {
            const auto *copy = upstream.residency.find(demand.target);
            if (!copy || (copy->version < demand.minVersion))
                continue;
            choice.version = copy->version;
            choice.usableAt = copy->usableAt;
        }
        choice.sendAt = choice.usableAt;
        if (choice.isLimited) {
            const auto next = upstream.sends.nextFor(demand.node, *upstream.requestLimit.perSecond * demand.limitShare,
                                                     std::max(choice.usableAt, now), now);
            if (!next || *next > demand.latestSend)
                continue;
            choice.sendAt = *next;
        }
        if (!demand.target.empty() && demand.pace.longestPause > Duration{})
            choice.sendAt = upstream.prompts.earliestSendAt(
                std::max(demand.promptTokens, demand.usualTokens),
                tokensWithinPause(demand.pace, demand.speed, expectedSlowness(upstream, demand.speed, now)),
                demand.pace.longestPause, std::max(choice.sendAt, now));
        choice.isFull = !demand.target.empty()
                        && upstream.inFlight() >= usableSlots(upstream, demand.target, demand.slotShare, now);
        if (demand.refusalsPerSecond)
            awaitRoom(choice, upstream, demand, ownPlaces, now);
        if (choice.isFull)
            choice.sendAt = std::max(choice.sendAt, now + fullEngineDelay);
        choice.score += scoreOf(upstream, demand, now, cost) + std::max(0.0, msOf(choice.sendAt - now));
        if (!best || choice.score < best->score)
            best = choice;
    }
    return best;
}

WaitCause causeOf(const UpstreamChoice &choice, Instant now)
{
    if (choice.usableAt > now)
        return WaitCause::LoadInProgress;
    if (choice.isFull)
        return WaitCause::Room;
    return choice.isLimited ? WaitCause::RequestLimit : WaitCause::Pace;
}

bool isStillLoading(const Upstream &upstream, const ModelTarget &target, Instant now)
{
    const auto *copy = target.empty() ? nullptr : upstream.residency.find(target);
    return copy && copy->loadedByOrder && now - copy->usableAt < maxLoadOverrun;
}

unsigned usableSlots(const Upstream &upstream, const ModelTarget &target, double share, Instant now)
{
    const auto slots = target.empty() ? upstream.record.slots : upstream.usableSlots(now);
    return share >= 1 ? slots : std::max(1U, static_cast<unsigned>(std::ceil(share * slots)));
}

bool hasFreeSlot(const UpstreamTable &table, const std::string &service, const ModelTarget &target, double share,
                 Instant now)
{
    return std::ranges::any_of(table.all(), [&](const auto &item) {
        const auto &upstream = item.second;
        return upstream.record.service == service && upstream.takesRequests(now)
               && upstream.inFlight() < usableSlots(upstream, target, share, now);
    });
}

bool wouldStall(const Upstream &upstream, const PromptPace &pace, const Estimates::Speed &speed, Instant now)
{
    if (!canStall(upstream, pace, now))
        return false;
    const double later = upstream.prompts.sum({}, now);
    const double tokens = upstream.prompts.sum(pace.longestPause, now) - later;
    return pauseMs(upstream, pace, speed, tokens, now) > msOf(pace.longestPause);
}

bool hasUpstream(const UpstreamTable &table, const std::string &service, Instant now,
                 const std::string *softwareVersion)
{
    return std::ranges::any_of(table.all(), [&](const auto &item) {
        return isOf(item.second.record, service, softwareVersion) && item.second.takesRequests(now);
    });
}

UpstreamCounts countUpstreams(const UpstreamTable &table, const UpstreamDemand &demand, Instant now)
{
    UpstreamCounts counts;
    for (const auto &[instance, upstream] : table.all()) {
        if (upstream.record.service != demand.service || !upstream.staysInService()
            || !hasUsableSoftware(upstream.record, demand))
            continue;
        if (upstream.isCutOff)
            ++counts.cutOff;
        else if (upstream.backpressureUntil > now || upstream.limitsRequests())
            ++counts.limiting;
        else if (isSuspect(upstream, demand, now))
            ++counts.suspect;
        else
            ++counts.open;
    }
    return counts;
}

std::vector<std::string> upstreamsOfOtherSoftware(const UpstreamTable &table, const std::string &service,
                                                  const std::string &softwareVersion)
{
    std::vector<std::string> others;
    for (const auto &[instance, upstream] : table.all()) {
        if (upstream.record.service == service && upstream.record.softwareVersion != softwareVersion)
            others.push_back(instance);
    }
    return others;
}

bool canLoad(const UpstreamTable &table, const std::string &service, const ModelTarget &target, double limitShare,
             Instant now, const std::string *softwareVersion)
{
    return std::ranges::any_of(table.all(), [&](const auto &item) {
        const auto &upstream = item.second;
        if (!isOf(upstream.record, service, softwareVersion) || !upstream.takesRequests(now))
            return false;
        return !upstream.limitsRequests()
               || (!upstream.residency.find(target)
                   && upstream.sends.nextFree(*upstream.requestLimit.perSecond * limitShare, now) <= now);
    });
}

std::optional<Instant> endOfRequestLimit(const UpstreamTable &table, const std::string &service, double limitShare,
                                         Instant now, const std::string *softwareVersion)
{
    std::optional<Instant> earliest;
    for (const auto &[instance, upstream] : table.all()) {
        if (!isOf(upstream.record, service, softwareVersion) || !upstream.takesRequests(now)
            || !upstream.limitsRequests())
            continue;
        const auto next = upstream.sends.nextFree(*upstream.requestLimit.perSecond * limitShare, now);
        earliest = std::min(earliest.value_or(next), next);
    }
    return earliest;
}

std::optional<Instant> endOfBackpressure(const UpstreamTable &table, const std::string &service, Instant now,
                                         const std::string *softwareVersion)
{
    std::optional<Instant> earliest;
    for (const auto &[instance, upstream] : table.all()) {
        if (isOf(upstream.record, service, softwareVersion) && upstream.staysInService()
            && upstream.backpressureUntil > now)
            earliest = std::min(earliest.value_or(upstream.backpressureUntil), upstream.backpressureUntil);
    }
    return earliest;
}

double utilisationOf(const UpstreamTable &table, const std::string &service, Instant now)
{
    double slots = 0;
    double inFlight = 0;
    for (const auto &[instance, upstream] : table.all()) {
        if (upstream.record.service != service || !upstream.takesRequests(now))
            continue;
        slots += upstream.usableSlots(now);
        inFlight += upstream.inFlight();
    }
    return slots == 0 ? 1 : inFlight / slots;
}

unsigned ownInFlightOf(const UpstreamTable &table, const std::string &service)
{
    unsigned ownInFlight = 0;
    for (const auto &[instance, upstream] : table.all())
        ownInFlight += upstream.record.service == service ? upstream.ownInFlight : 0;
    return ownInFlight;
}

std::vector<std::string> saturatedEngines(const UpstreamTable &table, const ModelTarget &target, Instant now)
{
    std::vector<std::string> holders;
    for (const auto &[instance, upstream] : table.all()) {
        const bool hasRoom = !upstream.isCutOff && upstream.backpressureUntil <= now
                             && upstream.inFlight() < upstream.usableSlots(now) && !upstream.limitsRequests();
        if (!hasRoom && upstream.residency.find(target))
            holders.push_back(instance);
    }
    return holders;
}

void noteOutcome(Upstream &upstream, bool failed, Instant now)
{
    const double before = upstream.outcomes.weightAt(now);
    upstream.failureRatio = (upstream.failureRatio * before + (failed ? 1 : 0)) / (before + 1);
    upstream.outcomes.count(now);
}

void notePause(Upstream &upstream, Duration pause, unsigned tokensPerEvent, Instant now)
{
    upstream.step.add(msOf(pause) / std::max(1U, tokensPerEvent), now);
    ++upstream.ownStepSamples;
}

void noteStep(Upstream &upstream, double stepMs, Instant now)
{
    upstream.step.onPeerReport(stepMs, now);
}

} // namespace Gypsumtally::Gateway
