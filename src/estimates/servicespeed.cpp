#include "estimates/servicespeed.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Estimates
{

namespace
{

/// Quantile of the pauses that is taken as the step time; pauses during prompt processing are longer.
constexpr double stepQuantile = 0.12;
constexpr double medianQuantile = 0.5;
constexpr std::size_t capacity = 64;
constexpr Duration span = std::chrono::seconds{10};
/// Quantile of answer times that is taken as that of an uncrowded upstream, over a time in which some have been so.
constexpr double uncrowdedQuantile = 0.25;
constexpr Duration uncrowdedSpan = std::chrono::seconds{30};
constexpr std::size_t minReportedSamples = 8; ///< Figures with fewer own samples are not sent to other nodes.
constexpr double reportWeight = 0.1; ///< Weight of one peer's report in the moving average of reported figures.
constexpr double reportedSamples = 8; ///< Number of own samples that a reported time weighs as much as.
/// Number of own samples that the reported prompt speed weighs as much as. Higher, as prompt samples scatter, and the
/// other nodes together have several times as many of them as one node keeps.
constexpr double reportedPromptSamples = 300;
constexpr unsigned maxOwnPromptSamples = 100; ///< Cap on the weight of own prompt samples.
/// Time without a first event of an unqueued prompt after which queued prompts are used as samples too.
constexpr Duration unqueuedPromptTimeout = std::chrono::milliseconds{1500};

double msOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the weighted geometric mean of the figure from own samples and the reported one, or the one that exists,
/// or @p prior if there is neither.
double weightedMean(double own, double samples, double reported, double prior,
                    double reportedWeightInSamples = reportedSamples)
{
    if (samples == 0 || own <= 0)
        return reported > 0 ? reported : prior;
    if (reported <= 0)
        return own;
    return std::exp((samples * std::log(own) + reportedWeightInSamples * std::log(reported))
                    / (samples + reportedWeightInSamples));
}

/// Updates the geometric moving average @p figure with a peer's report; 0 stands for no figure.
void updateAverage(double &figure, double reported)
{
    if (reported > 0 && std::isfinite(reported))
        figure = figure > 0 ? figure * std::pow(reported / figure, reportWeight) : reported;
}

double reportableValue(double value, std::size_t samples)
{
    return samples < minReportedSamples ? 0 : value;
}

} // namespace

bool differs(const Speed &left, const Speed &right, double ratio)
{
    const auto isFar = [&](double one, double other) { return one > ratio * other || other > ratio * one; };
    return isFar(left.stepMs, right.stepMs) || isFar(left.promptTokensPerMs, right.promptTokensPerMs)
           || isFar(left.streamMs, right.streamMs) || isFar(left.answerMs, right.answerMs);
}

ServiceSpeed::ServiceSpeed()
    : m_step(stepQuantile, capacity, span)
    , m_stream(medianQuantile, capacity, span)
    , m_answer(medianQuantile, capacity, span)
    , m_uncrowdedAnswer(uncrowdedQuantile, capacity, uncrowdedSpan)
{
}

void ServiceSpeed::onPause(Duration pause, unsigned tokensPerEvent, Instant now)
{
    m_step.add(msOf(pause) / std::max(1U, tokensPerEvent), now);
}

void ServiceSpeed::onFirstEvent(double promptTokens, Duration time, double slowness, Instant now)
{
    m_unqueuedPromptAt = now;
    m_prompts.add(promptTokens * slowness, promptTokens * slowness, msOf(time));
}

void ServiceSpeed::onQueuedFirstEvent(double promptTokens, double backlogTokens, Duration time, double slowness,
                                      Instant now)
{
    if (now - m_unqueuedPromptAt >= unqueuedPromptTimeout)
        m_prompts.add(backlogTokens * slowness, promptTokens * slowness, msOf(time));
}

void ServiceSpeed::onStream(Duration time, Instant now)
{
    m_stream.add(msOf(time), now);
}

void ServiceSpeed::onAnswer(Duration time, Instant now)
{
    m_answer.add(msOf(time), now);
    m_uncrowdedAnswer.add(msOf(time), now);
}

double ServiceSpeed::uncrowdedAnswerMs() const
{
    return m_uncrowdedAnswer.samples() < minReportedSamples ? 0 : m_uncrowdedAnswer.value();
}

void ServiceSpeed::onPeerReport(const EstimatedSpeed &reported)
{
    updateAverage(m_reported.stepMs, reported.stepMs);
    updateAverage(m_reported.promptTokensPerMs, reported.promptTokensPerMs);
    updateAverage(m_reported.streamMs, reported.streamMs);
    updateAverage(m_reported.answerMs, reported.answerMs);
}

void ServiceSpeed::restoreStored(const EstimatedSpeed &stored)
{
    const auto restore = [](double &figure, double value) {
        if (figure == 0 && std::isfinite(value))
            figure = value;
    };
    if (m_prompts.samples() == 0 && stored.promptTokensPerMs > 0)
        m_prompts = PromptSpeed(stored.promptTokensPerMs);
    restore(m_reported.stepMs, stored.stepMs);
    restore(m_reported.promptTokensPerMs, stored.promptTokensPerMs);
    restore(m_reported.streamMs, stored.streamMs);
    restore(m_reported.answerMs, stored.answerMs);
}

Speed ServiceSpeed::speed() const
{
    return speedWith({});
}

EstimatedSpeed ServiceSpeed::known() const
{
    return speedWith({0, 0, 0, 0});
}

Speed ServiceSpeed::speedWith(const Speed &prior) const
{
    return {
        weightedMean(m_step.value(), static_cast<double>(m_step.samples()), m_reported.stepMs, prior.stepMs),
        weightedMean(m_prompts.tokensPerMs(), std::min(maxOwnPromptSamples, m_prompts.samples()),
                     m_reported.promptTokensPerMs, prior.promptTokensPerMs, reportedPromptSamples),
        weightedMean(m_stream.value(), static_cast<double>(m_stream.samples()), m_reported.streamMs, prior.streamMs),
        weightedMean(m_answer.value(), static_cast<double>(m_answer.samples()), m_reported.answerMs, prior.answerMs)};
}

EstimatedSpeed ServiceSpeed::learnt() const
{
    return {reportableValue(m_step.value(), m_step.samples()),
            reportableValue(m_prompts.tokensPerMs(), m_prompts.samples()),
            reportableValue(m_stream.value(), m_stream.samples()),
            reportableValue(m_answer.value(), m_answer.samples())};
}

} // namespace Gypsumtally::Estimates
