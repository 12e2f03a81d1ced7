#pragma once

namespace Gypsumtally::Estimates
{

/// Learns how fast engines read prompts, from the time to the first event of prompts of different sizes: the slope of
/// that time, whatever a request waits for besides. Older samples count for less. Not thread-safe; does no I/O.
class PromptSpeed
{
public:
    PromptSpeed();

    /// A prompt of @p tokens that met no other prompt had its first event after @p ms.
    void add(double tokens, double ms);

    /// Returns the learnt speed; a usual one while there are few samples.
    double tokensPerMs() const;

    /// Returns how many samples were taken in.
    unsigned samples() const
    {
        return m_samples;
    }

private:
    double slope() const;
    void addWeighted(double tokens, double ms, double weight);

    double m_weight = 0;
    double m_tokens = 0;
    double m_ms = 0;
    double m_tokensSquared = 0;
    double m_tokensMs = 0;
    unsigned m_samples = 0;
};

} // namespace Gypsumtally::Estimates
