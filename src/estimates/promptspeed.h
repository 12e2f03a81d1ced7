#pragma once

namespace Gypsumtally::Estimates
{

/// Learns how fast engines read prompts, from the time to the first event and what was to be read until then: the slope
/// of that time, whatever a request waits for besides. Older samples count for less. Not thread-safe; does no I/O.
class PromptSpeed
{
public:
    /// Reckons with @p expected tokens a ms until samples tell otherwise. Precondition: it is positive.
    explicit PromptSpeed(double expected = usualTokensPerMs);

    /// A request had its first event after @p ms, when its engine had read @p tokens: @p own ones of its prompt and
    /// those of others that came before. How many those still were is an estimate, so that the sample counts for less.
    void add(double tokens, double own, double ms);

    /// Returns the learnt speed; the expected one while there are few samples.
    double tokensPerMs() const
    {
        return m_tokensPerMs;
    }

    /// Returns how many samples were taken in.
    unsigned samples() const
    {
        return m_samples;
    }

private:
    static constexpr double usualTokensPerMs = 20; ///< Of a large model on current accelerators.

    double slope() const;
    void addWeighted(double tokens, double ms, double weight);

    double m_expected;
    double m_tokensPerMs; ///< Follows the samples in steps, as few of them may be far off together.
    double m_weight = 0;
    double m_tokens = 0;
    double m_ms = 0;
    double m_tokensSquared = 0;
    double m_tokensMs = 0;
    unsigned m_samples = 0;
};

} // namespace Gypsumtally::Estimates
