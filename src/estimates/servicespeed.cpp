#include "estimates/servicespeed.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Estimates
{

namespace
{

/// Quantile of the pauses that is taken as the step time; pauses during prompt processing are longer.
constexpr double undisturbedQuantile = 0.12;
constexpr double medianQuantile = 0.5;
constexpr std::size_t capacity = 64;
constexpr Duration span = std::chrono::seconds{10};
constexpr std::size_t fewestSamples = 8; ///< Figures with fewer own samples are not sent to other nodes.
constexpr double toldWeight = 0.1; ///< Weight of one peer's report in the moving average of reported figures.
constexpr double toldSamples = 8; ///< Number of own samples that the reported figures weigh as much as.
/// Same for the prompt speed. It is higher as prompt samples scatter, and the other nodes together have several times
/// as many of them as one node keeps.
constexpr double toldPromptSamples = 300;
constexpr unsigned mostOwnPromptSamples = 100; ///< Cap on the weight of own prompt samples.
/// Time without a first event of an unqueued prompt after which queued prompts are used as samples too.
constexpr Duration lonePromptSpan = std::chrono::milliseconds{1500};

double msOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Returns the weighted geometric mean of the figure from own samples and the reported one, or the one that exists,
/// or @p prior if there is neither.
double combined(double own, double samples, double told, double prior, double toldWeightInSamples = toldSamples)
{
    if (samples == 0 || own <= 0)
        return told > 0 ? told : prior;
    if (told <= 0)
        return own;
    return std::exp((samples * std::log(own) + toldWeightInSamples * std::log(told)) / (samples + toldWeightInSamples));
}

/// Updates the geometric moving average @p figure with a peer's report; 0 stands for no figure.
void approach(double &figure, double told)
{
    if (told > 0 && std::isfinite(told))
        figure = figure > 0 ? figure * std::pow(told / figure, toldWeight) : told;
}

double toldValue(double value, std::size_t samples)
{
    return samples < fewestSamples ? 0 : value;
}

} // namespace

bool differs(const Speed &left, const Speed &right, double ratio)
{
    const auto isFar = [&](double one, double other) { return one > ratio * other || other > ratio * one; };
    return isFar(left.stepMs, right.stepMs) || isFar(left.promptTokensPerMs, right.promptTokensPerMs)
           || isFar(left.streamMs, right.streamMs) || isFar(left.answerMs, right.answerMs);
}

ServiceSpeed::ServiceSpeed()
    : m_step(undisturbedQuantile, capacity, span)
    , m_stream(medianQuantile, capacity, span)
    , m_answer(medianQuantile, capacity, span)
{
}

void ServiceSpeed::onPause(Duration pause, unsigned tokensPerEvent, Instant now)
{
    m_step.add(msOf(pause) / std::max(1U, tokensPerEvent), now);
}

void ServiceSpeed::onFirstEvent(double promptTokens, Duration time, double slowness, Instant now)
{
    m_lonePromptAt = now;
    m_prompts.add(promptTokens * slowness, promptTokens * slowness, msOf(time));
}

void ServiceSpeed::onQueuedFirstEvent(double promptTokens, double unreadTokens, Duration time, double slowness,
                                      Instant now)
{
    if (now - m_lonePromptAt >= lonePromptSpan)
        m_prompts.add(unreadTokens * slowness, promptTokens * slowness, msOf(time));
}

void ServiceSpeed::onStream(Duration time, Instant now)
{
    m_stream.add(msOf(time), now);
}

void ServiceSpeed::onAnswer(Duration time, Instant now)
{
    m_answer.add(msOf(time), now);
}

void ServiceSpeed::onTold(const LearntSpeed &told)
{
    approach(m_told.stepMs, told.stepMs);
    approach(m_told.promptTokensPerMs, told.promptTokensPerMs);
    approach(m_told.streamMs, told.streamMs);
    approach(m_told.answerMs, told.answerMs);
}

void ServiceSpeed::onRemembered(const LearntSpeed &remembered)
{
    const auto takeIn = [](double &figure, double value) {
        if (figure == 0 && std::isfinite(value))
            figure = value;
    };
    if (m_prompts.samples() == 0 && remembered.promptTokensPerMs > 0)
        m_prompts = PromptSpeed(remembered.promptTokensPerMs);
    takeIn(m_told.stepMs, remembered.stepMs);
    takeIn(m_told.promptTokensPerMs, remembered.promptTokensPerMs);
    takeIn(m_told.streamMs, remembered.streamMs);
    takeIn(m_told.answerMs, remembered.answerMs);
}

Speed ServiceSpeed::speed() const
{
    return speedWith({});
}

LearntSpeed ServiceSpeed::known() const
{
    return speedWith({0, 0, 0, 0});
}

Speed ServiceSpeed::speedWith(const Speed &prior) const
{
    return {combined(m_step.value(), static_cast<double>(m_step.samples()), m_told.stepMs, prior.stepMs),
            combined(m_prompts.tokensPerMs(), std::min(mostOwnPromptSamples, m_prompts.samples()),
                     m_told.promptTokensPerMs, prior.promptTokensPerMs, toldPromptSamples),
            combined(m_stream.value(), static_cast<double>(m_stream.samples()), m_told.streamMs, prior.streamMs),
            combined(m_answer.value(), static_cast<double>(m_answer.samples()), m_told.answerMs, prior.answerMs)};
}

LearntSpeed ServiceSpeed::learnt() const
{
    return {toldValue(m_step.value(), m_step.samples()), toldValue(m_prompts.tokensPerMs(), m_prompts.samples()),
            toldValue(m_stream.value(), m_stream.samples()), toldValue(m_answer.value(), m_answer.samples())};
}

} // namespace Gypsumtally::Estimates
