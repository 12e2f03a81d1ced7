#include "gateway/enginechoice.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr double outcomeHalfLifeSeconds = 3;
constexpr double fewestOutcomes = 2; ///< A ratio that rests on less says nothing.
constexpr double badFailureRatio = 0.25; ///< Plain services fail up to 14 in 100 requests on an ordinary day.
constexpr double badUpstreamMs = 3000; ///< Sorts bad upstreams behind every good one.
constexpr Duration silentAfter = std::chrono::milliseconds{700}; ///< Many steps of a loaded engine.
/// Weights of one more figure in the learnt time for a token. What lengthens a pause, such as a prompt that this node
/// has not heard of, says nothing of the speed, so that shorter ones count for more. A stream has some forty.
constexpr double shorterStepWeight = 0.2;
constexpr double longerStepWeight = 0.02;
constexpr Duration promptEcho = std::chrono::milliseconds{500}; ///< Until the steps that read a prompt are over.

constexpr Duration fullPause = std::chrono::milliseconds{60}; ///< Until a full engine is looked at again.
constexpr Duration promptSpan = std::chrono::milliseconds{300}; ///< Prompts sent within it may still be waiting.
constexpr double leastStepMs = 10.1; ///< Of an engine without a prompt; the platform's sheet says 10.1 and more.
constexpr double stepMsPerRequest = 0.033; ///< Its longer steps beside more streams; the platform's sheet.
constexpr double loadedStepMs = 12; ///< Of an ordinary engine at its usual load, for what a pause leaves to prompts.
constexpr double prefillTokensPerMs = 20.4; ///< The platform's sheet.
constexpr double usedPace = 0.95; ///< The rest is for prompts that two nodes send at the same moment.

double msOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

bool isSilent(const Upstream &upstream, Instant now)
{
    return upstream.ownInFlight > 0 && upstream.waitingSince != Instant{} && now - upstream.waitingSince > silentAfter;
}

double decayedOutcomes(const Upstream &upstream, Instant now)
{
    const double seconds = msOf(now - upstream.lastOutcome) / 1000;
    return upstream.outcomes * std::exp2(-seconds / outcomeHalfLifeSeconds);
}

double penaltyMs(const Upstream &upstream, Instant now)
{
    double penalty = 0;
    if (decayedOutcomes(upstream, now) >= fewestOutcomes && upstream.failureRatio > badFailureRatio)
        penalty += badUpstreamMs * upstream.failureRatio;
    if (isSilent(upstream, now) || now < upstream.avoidUntil)
        penalty += badUpstreamMs;
    return penalty;
}

double distanceMs(const Upstream &upstream, const UpstreamDemand &demand, const EngineSpeed &speed)
{
    if (upstream.record.failureDomain == demand.failureDomain)
        return 0;
    if (demand.regions
        && regionOf(upstream.record.failureDomain, *demand.regions) == regionOf(demand.failureDomain, *demand.regions))
        return speed.crossDomainMs;
    return demand.target.empty() ? speed.plainCrossRegionMs : speed.crossRegionMs;
}

double scoreOf(const Upstream &upstream, const UpstreamDemand &demand, Instant now, const EngineSpeed &speed)
{
    const double slots = std::max(1U, upstream.record.slots);
    const double inFlight = upstream.inFlight();
    const double distance = distanceMs(upstream, demand, speed);
    if (demand.target.empty())
        return distance + speed.plainServiceMs * std::floor(inFlight / slots) + inFlight / slots
               + penaltyMs(upstream, now);
    const double queued = std::max(0.0, inFlight + 1 - slots);
    return distance + penaltyMs(upstream, now)
           + slownessOf(upstream)
                 * (upstream.prompts.sum(promptSpan, now) / prefillTokensPerMs + inFlight * speed.msPerRunningRequest
                    + queued * speed.msPerQueuedRequest);
}

} // namespace

const std::string &regionOf(const std::string &failureDomain, const Regions &regions)
{
    const auto it = regions.find(failureDomain);
    return it == regions.end() ? failureDomain : it->second;
}

double slownessOf(const Upstream &upstream)
{
    return std::max(1.0, upstream.stepMs / (leastStepMs + stepMsPerRequest * upstream.inFlight()));
}

double tokensWithinPause(const PromptPace &pace, double slowness)
{
    const double forPrompts = msOf(pace.longestPause) / slowness - loadedStepMs * std::max(1U, pace.tokensPerEvent);
    return std::max(0.0, forPrompts) * prefillTokensPerMs * usedPace * pace.share;
}

std::optional<UpstreamChoice> chooseUpstream(const UpstreamTable &table, const UpstreamDemand &demand, Instant now,
                                             const EngineSpeed &speed)
{
    std::optional<UpstreamChoice> best;
    for (const auto &[instance, upstream] : table.all()) {
        if (upstream.record.draining || upstream.record.service != demand.service
            || std::ranges::find(demand.excluded, instance) != demand.excluded.end())
            continue;
        UpstreamChoice choice{instance, 0, now, now, false, 0};
        if (!demand.target.empty()) {
            const auto *copy = upstream.residency.find(demand.target);
            if (!copy || (copy->version < demand.leastVersion))
                continue;
            choice.version = copy->version;
            choice.usableAt = copy->usableAt;
        }
        choice.sendAt = choice.usableAt;
        if (!demand.target.empty() && demand.pace.longestPause > Duration{})
            choice.sendAt
                = upstream.prompts.roomAt(demand.promptTokens, tokensWithinPause(demand.pace, slownessOf(upstream)),
                                          demand.pace.longestPause, std::max(choice.usableAt, now));
        choice.isFull = !demand.target.empty() && upstream.inFlight() >= upstream.record.slots;
        if (choice.isFull)
            choice.sendAt = std::max(choice.sendAt, now + fullPause);
        choice.score = scoreOf(upstream, demand, now, speed) + std::max(0.0, msOf(choice.sendAt - now));
        if (!best || choice.score < best->score)
            best = choice;
    }
    return best;
}

bool hasUpstream(const UpstreamTable &table, const std::string &service)
{
    return std::ranges::any_of(table.all(), [&](const auto &item) {
        return item.second.record.service == service && !item.second.record.draining;
    });
}

void noteOutcome(Upstream &upstream, bool failed, Instant now)
{
    const double before = decayedOutcomes(upstream, now);
    upstream.failureRatio = (upstream.failureRatio * before + (failed ? 1 : 0)) / (before + 1);
    upstream.outcomes = before + 1;
    upstream.lastOutcome = now;
}

void notePause(Upstream &upstream, Duration pause, unsigned tokensPerEvent, Instant now)
{
    if (upstream.prompts.sum(promptEcho, now) > 0)
        return;
    noteStep(upstream, msOf(pause) / std::max(1U, tokensPerEvent));
    ++upstream.ownSteps;
}

void noteStep(Upstream &upstream, double stepMs)
{
    if (upstream.stepMs == 0)
        upstream.stepMs = stepMs;
    const double weight = stepMs < upstream.stepMs ? shorterStepWeight : longerStepWeight;
    upstream.stepMs += weight * (stepMs - upstream.stepMs);
}

} // namespace Gypsumtally::Gateway
