#pragma once

#include "common/clock.h"

#include <deque>

namespace Gypsumtally::Gateway
{

/// The prompt tokens that all nodes have sent to an engine of late, or are about to send. Prompts are read in the same
/// steps that make the tokens of running streams, so that too many at once stall every stream. Not thread-safe.
class PromptWindow
{
public:
    /// A node sends @p tokens at @p at, which may be to come.
    void add(double tokens, Instant at, Instant now);

    /// Returns the tokens since @p span before @p now, those to come included.
    double sum(Duration span, Instant now) const;

    /// Returns the tokens that an engine which reads @p tokensPerMs has not read yet at @p now, in the order in which
    /// they were sent. Those to come do not count. Precondition: @p tokensPerMs is positive.
    double unread(double tokensPerMs, Instant now) const;

    /// Returns the first time from @p from on at which @p tokens more keep the sum of each @p span within @p limit. One
    /// prompt alone is always let in where a span has no other.
    Instant roomAt(double tokens, double limit, Duration span, Instant from) const;

private:
    struct Entry {
        Instant at{};
        double tokens = 0;
    };

    double mostBeside(Instant at, Duration span) const;

    std::deque<Entry> m_entries; ///< Of the last second and to come, by time.
};

} // namespace Gypsumtally::Gateway
