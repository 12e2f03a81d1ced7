#include "gateway/capacitylearner.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time before a send from which an earlier prompt or load may still delay the first event.
constexpr Duration interferenceTime = std::chrono::milliseconds{150};
/// Slowness from which an engine's pauses don't adjust the pace margin, as they don't represent other engines.
constexpr double slowEngineThreshold = 1.5;
constexpr double pauseWeight = 0.5; ///< Of a pause that is part of two samples.
/// Time of a plain answer, relative to that of an uncrowded upstream of its service, up to which callers get what they
/// can expect of the service.
constexpr double tolerablePlainSlowness = 2;
/// Slowness up to which an upstream counts as usual, as answer times of one service scatter.
constexpr double minTolerablePlainSlowness = 1.5;
constexpr double overdueRatio = 1.35; ///< Slowness from a silence, relative to the learnt one, that makes it a sample.
constexpr double loggedLimitChange = 0.3; ///< Change of a limit that is logged, as a fraction of the slots.
constexpr Duration limitLogInterval = std::chrono::seconds{5}; ///< Of one upstream.
constexpr std::size_t maxLoggedLimits = 4; ///< Of the upstreams that a slow phase of a whole service affects.
constexpr double smallPromptWeight = 0.01; ///< Of a prompt that tolerates more than those before, at each event.
constexpr double minTolerableSlowness = 1.2; ///< Slowness below this is within the estimates' error.

double msOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::array<double, 3> endsAndMedian(const std::vector<double> &sorted)
{
    return {sorted.front(), sorted[sorted.size() / 2], sorted.back()};
}

/// Updates the slowness that all of a service's prompts tolerate, the largest ones above all.
void updateTolerable(double &tolerable, double ofPrompt)
{
    const bool isLeast = tolerable == 0 || ofPrompt < tolerable;
    tolerable
        = std::max(minTolerableSlowness, isLeast ? ofPrompt : tolerable + smallPromptWeight * (ofPrompt - tolerable));
}

CapacitySpread spreadOf(std::vector<double> slownesses, std::vector<double> limits)
{
    std::ranges::sort(slownesses);
    std::ranges::sort(limits);
    return {endsAndMedian(slownesses), endsAndMedian(limits)};
}

} // namespace

void CapacityLearner::onTick(Instant now)
{
    const auto before = std::exchange(m_context.lastTickAt, now);
    if (before != Instant{} && now - before > maxTickInterval)
        m_context.stalledAt = now;
}

/// Returns false for brittle services: their places are dealt to nodes, and choices by speed would lend more of them.
bool CapacityLearner::learnsCapacityOf(const std::string &service) const
{
    return m_context.hasAdaptiveCapacity && !m_context.upstreams.brittleness(service).refusalsPerSecond;
}

/// Returns true if the loop has not run at some time from @p since on.
bool CapacityLearner::wasStalled(Instant since, Instant now) const
{
    return m_context.stalledAt > since
           || (m_context.lastTickAt != Instant{} && now - m_context.lastTickAt > maxTickInterval);
}

void CapacityLearner::onFirstEvent(const LearntCall &call, const CallSend &send, Instant now)
{
    const auto *upstream = m_context.upstreams.find(send.instance);
    if (!upstream || call.isResumed || call.promptTokens <= 0 || send.inFlightAtSend >= upstream->record.slots)
        return;
    const auto *copy = upstream->residency.find(call.target);
    const auto since = send.sentAt - interferenceTime;
    if (!copy || copy->usableAt >= since)
        return;
    auto &speed = m_context.speeds[call.service];
    if (upstream->prompts.sum(now - since, now) <= call.promptTokens)
        speed.onFirstEvent(call.promptTokens, now - send.sentAt, send.slownessAtSend, now);
    else
        speed.onQueuedFirstEvent(call.promptTokens, send.prefillBacklogAtSend, now - send.sentAt, send.slownessAtSend,
                                 now);
}

void CapacityLearner::onEvent(const LearntCall &call, CallSend &send, Duration pause, Instant now)
{
    const auto before = std::exchange(send.pauses[0], send.pauses[1]);
    const auto last = std::exchange(send.pauses[1], pause);
    auto *upstream = m_context.upstreams.find(send.instance);
    if (!upstream || before == Duration{})
        return;
    upstream->lastEventAt = now;
    upstream->tokensPerEvent = call.tokensPerEvent;
    // The pause before the last event of a stream is left out, as that event may hold fewer tokens than others.
    const auto mean = (before + last) / 2;
    notePause(*upstream, mean, call.tokensPerEvent, now);
    m_context.speeds[call.service].onPause(mean, call.tokensPerEvent, now);
    if (learnsCapacityOf(call.service) && !wasStalled(now - last - pause, now))
        learnCapacity(call, *upstream, last + pause, now);
}

/// Learns from two consecutive events that took @p time together.
void CapacityLearner::learnCapacity(const LearntCall &call, Upstream &upstream, Duration time, Instant now)
{
    const auto speed = m_context.speeds[call.service].speed();
    const double stepsMs = 2 * speed.stepMs * std::max(1U, call.tokensPerEvent);
    const auto &prompts = upstream.prompts;
    // Prompts that were sent shortly before the first event may have been processed before or after it.
    const double tokens = std::max(0.0, prompts.sum(time + promptTransit, now) - prompts.sum({}, now));
    const double share = stepsMs / (stepsMs + tokens / speed.promptTokensPerMs);
    const double stepMs = msOf(time) / (2 * std::max(1U, call.tokensPerEvent));
    upstream.capacity.addOwn(stepMs * share, stepMs, pauseWeight, now);
    if (call.longestPause > Duration{} && call.promptTokens > 0)
        updateTolerable(m_context.tolerableSlowness[call.service],
                        stallFraction * msOf(call.longestPause)
                            / (stepsMs / 2 + call.promptTokens / speed.promptTokensPerMs));
    adjustLimit(upstream, now);
}

/// Takes the silence of streams as a sample if it shows that the engine is slower than it was.
void CapacityLearner::noteOverdue(Upstream &upstream, Instant now)
{
    if (upstream.lastEventAt == Instant{} || !upstream.capacity.isKnown(now) || wasStalled(upstream.lastEventAt, now))
        return;
    const auto speed = m_context.speeds[upstream.record.service].speed();
    const double overdue = overdueSlowness(upstream, speed, now);
    if (overdue > overdueRatio * upstream.capacity.slowness(speed.stepMs, upstream.step.value(), now))
        upstream.capacity.addOwn(overdue * speed.stepMs, overdue * speed.stepMs, 1, now);
}

void CapacityLearner::onPause(const LearntCall &call, const CallSend &send, Duration pause, Instant now)
{
    if (call.longestPause > Duration{} && send.peer.empty() && send.slownessAtSend < slowEngineThreshold)
        m_context.paceMargins[call.service].onPause(pause, call.longestPause, now);
}

void CapacityLearner::onStream(const LearntCall &call, const CallSend &send, Instant now)
{
    m_context.speeds[call.service].onStream(now - send.sentAt, now);
}

void CapacityLearner::onAnswer(const LearntCall &call, const CallSend &send, Instant now)
{
    m_context.speeds[call.service].onAnswer(now - send.sentAt, now);
    auto *upstream = m_context.upstreams.find(send.instance);
    if (!upstream || !learnsCapacityOf(call.service) || wasStalled(send.sentAt, now))
        return;
    const auto &speed = m_context.speeds[call.service];
    if (const double uncrowdedMs = speed.uncrowdedAnswerMs(); uncrowdedMs > 0)
        m_context.tolerableSlowness[call.service]
            = std::max(minTolerablePlainSlowness, tolerablePlainSlowness * uncrowdedMs / speed.speed().answerMs);
    const double answerMs = msOf(now - send.sentAt);
    upstream->capacity.addOwn(answerMs, answerMs, 1, now);
    adjustLimit(*upstream, now);
}

void CapacityLearner::onNotice(const StepNotice &notice, Instant now)
{
    auto *upstream = m_context.upstreams.find(notice.instance);
    if (!upstream)
        return;
    if (notice.stepMs > 0)
        noteStep(*upstream, notice.stepMs, now);
    if (!learnsCapacityOf(upstream->record.service) || notice.recent.weight <= 0)
        return;
    upstream->capacity.addReported(notice.recent, notice.age, now);
    adjustLimit(*upstream, now);
}

double CapacityLearner::tolerableSlowness(const std::string &service) const
{
    const auto it = m_context.tolerableSlowness.find(service);
    return it == m_context.tolerableSlowness.end() ? 0 : it->second;
}

void CapacityLearner::adjustLimit(Upstream &upstream, Instant now)
{
    const auto &service = upstream.record.service;
    const double tolerable = tolerableSlowness(service);
    if (tolerable <= 0)
        return;
    const auto speed = m_context.speeds[service].speed();
    upstream.capacity.adjustLimit(slownessNow(upstream, speed, now) / tolerable, upstream.inFlight(),
                                  std::max(1U, upstream.record.slots), now);
}

void addStep(NodeReport &digest, Upstream &upstream, Instant now)
{
    const bool hasOwnSamples = std::exchange(upstream.ownStepSamples, 0) > 0;
    const auto recent = upstream.capacity.takeReport(now);
    if (hasOwnSamples || recent)
        digest.steps.push_back({upstream.record.instance, hasOwnSamples ? upstream.step.learnt() : 0,
                                recent.value_or(Estimates::CapacityReport{}),
                                recent ? now - upstream.capacity.lastOwnAt() : Duration{}});
}

void CapacityLearner::addNews(NodeReport &report, Instant now)
{
    for (auto &[instance, upstream] : m_context.upstreams.all()) {
        if (report.steps.size() >= maxNewsSteps)
            return;
        noteOverdue(upstream, now);
        if (upstream.capacity.hasNews())
            addStep(report, upstream, now);
    }
}

std::vector<std::string> takeLimitChanges(UpstreamTable &table, Instant now)
{
    std::vector<std::string> changed;
    for (auto &[instance, upstream] : table.all()) {
        const double slots = std::max(1U, upstream.record.slots);
        const double limit = upstream.usableSlots(now);
        const double logged = upstream.loggedLimit > 0 ? upstream.loggedLimit : slots;
        if (changed.size() >= maxLoggedLimits || std::abs(limit - logged) < loggedLimitChange * slots
            || now - upstream.limitLoggedAt < limitLogInterval)
            continue;
        upstream.loggedLimit = static_cast<unsigned>(limit);
        upstream.limitLoggedAt = now;
        changed.push_back(instance);
    }
    return changed;
}

std::map<std::string, CapacitySpread> capacitySpreads(const CallContext &context, Instant now)
{
    std::map<std::string, std::array<std::vector<double>, 2>> figures;
    for (const auto &[instance, upstream] : context.upstreams.all()) {
        const auto speed = context.speeds.find(upstream.record.service);
        if (speed == context.speeds.end() || !upstream.capacity.isKnown(now))
            continue;
        auto &[slownesses, limits] = figures[upstream.record.service];
        slownesses.push_back(slownessNow(upstream, speed->second.speed(), now));
        limits.push_back(static_cast<double>(upstream.usableSlots(now)) / std::max(1U, upstream.record.slots));
    }
    std::map<std::string, CapacitySpread> spreads;
    for (const auto &[service, lists] : figures)
        spreads[service] = spreadOf(lists[0], lists[1]);
    return spreads;
}

} // namespace Gypsumtally::Gateway
