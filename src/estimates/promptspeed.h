#pragma once

namespace Gypsumtally::Estimates
{

/// Estimates the prefill speed of engines by linear regression of the time to first event on the number of prompt
/// tokens processed until then. Constant delays only affect the intercept, not the slope. Older samples decay
/// exponentially. Not thread-safe; does no I/O.
class PromptSpeed
{
public:
    /// Starts from a prior of @p expected tokens per ms. Precondition: @p expected is positive.
    explicit PromptSpeed(double expected = usualTokensPerMs);

    /// Adds a sample: the first event of a request came @p ms after the request was sent. Until then its engine
    /// processed @p tokens prompt tokens, of which @p own belong to the request and the rest to prompts queued before
    /// it. That rest is an estimate, so the sample's weight is the square of own / tokens, at most 1. Ignores a sample
    /// with a figure that is not positive, or with a time that is not finite.
    void add(double tokens, double own, double ms);

    /// Returns the estimated speed in prompt tokens per ms. With few samples it stays close to the prior.
    double tokensPerMs() const
    {
        return m_tokensPerMs;
    }

    /// Returns the number of samples added, without ignored ones.
    unsigned samples() const
    {
        return m_samples;
    }

private:
    static constexpr double usualTokensPerMs = 20; ///< Typical of a large model on current accelerators.

    double slope() const;
    void addWeighted(double tokens, double ms, double weight);

    double m_expected;
    double m_tokensPerMs; ///< Changes by a bounded factor per sample, as a run of a few samples may be far off.
    double m_weight = 0;
    double m_tokens = 0;
    double m_ms = 0;
    double m_tokensSquared = 0;
    double m_tokensMs = 0;
    unsigned m_samples = 0;
};

} // namespace Gypsumtally::Estimates
