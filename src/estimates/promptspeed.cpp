#include "estimates/promptspeed.h"

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Estimates
{

namespace
{

constexpr double priorFirstMs = 50; ///< Assumed time to the first event of an empty prompt.
constexpr double priorPromptTokens = 1000;
constexpr double priorWeight = 3; ///< Weight of each of the two prior samples, which decay like measured ones.
constexpr double maxDecaySamples = 100; ///< Time constant of the exponential decay, in samples.
constexpr double minDecaySamples = 20; ///< Time constant before the first sample; it grows by one with each sample.
constexpr double maxOutlierRatio = 2; ///< Samples are clamped to the predicted time times or divided by this factor.
constexpr double minMsPerToken = 0.001;
constexpr double maxMsPerToken = 2;
/// Ridge regularisation of the slope, as a fraction of the squared mean prompt size. Keeps the slope near the expected
/// one while all prompts have nearly the same size.
constexpr double ridgeFraction = 0.02;
constexpr double maxIncrease = 1.05; ///< Largest factor by which one sample can raise the speed.
constexpr double maxDecrease = 0.9; ///< Smallest factor by which one sample can lower the speed.

} // namespace

PromptSpeed::PromptSpeed(double expected)
    : m_expected(expected)
    , m_tokensPerMs(expected)
{
    addWeighted(0, priorFirstMs, priorWeight);
    addWeighted(priorPromptTokens, priorFirstMs + priorPromptTokens / expected, priorWeight);
}

void PromptSpeed::add(double tokens, double own, double ms)
{
    if (!(tokens > 0) || !(own > 0) || !(ms > 0) || !std::isfinite(ms))
        return;
    const double expected = m_ms / m_weight + slope() * (tokens - m_tokens / m_weight);
    // Noise in the number of tokens biases a least-squares slope towards zero, so uncertain samples weigh less.
    const double weight = std::pow(std::min(1.0, own / tokens), 2);
    const double kept = 1 - weight / std::min(maxDecaySamples, minDecaySamples + m_samples);
    for (auto *sum : {&m_weight, &m_tokens, &m_ms, &m_tokensSquared, &m_tokensMs})
        *sum *= kept;
    addWeighted(tokens, std::clamp(ms, expected / maxOutlierRatio, expected * maxOutlierRatio), weight);
    ++m_samples;
    m_tokensPerMs = std::clamp(1 / slope(), m_tokensPerMs * maxDecrease, m_tokensPerMs * maxIncrease);
}

void PromptSpeed::addWeighted(double tokens, double ms, double weight)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_ms += weight * ms;
    m_tokensSquared += weight * tokens * tokens;
    m_tokensMs += weight * tokens * ms;
}

double PromptSpeed::slope() const
{
    const double meanTokens = m_tokens / m_weight;
    const double meanMs = m_ms / m_weight;
    const double ridge = ridgeFraction * meanTokens * meanTokens;
    const double variance = m_tokensSquared / m_weight - meanTokens * meanTokens;
    const double covariance = m_tokensMs / m_weight - meanTokens * meanMs;
    return std::clamp((covariance + ridge / m_expected) / (variance + ridge), minMsPerToken, maxMsPerToken);
}

} // namespace Gypsumtally::Estimates
