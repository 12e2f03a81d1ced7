#pragma once

#include "common/clock.h"

#include <deque>

namespace Gypsumtally::Gateway
{

/// A sliding window of the prompt tokens that all nodes have sent to one engine, or have announced to send. An engine
/// processes prompts (prefill) in the same steps that generate the tokens of running streams, so that too many prompt
/// tokens at once stall every stream. Not thread-safe.
class PromptWindow
{
public:
    /// Records that a node sends @p tokens at @p at, which may be after @p now. A negative number withdraws a record.
    void add(double tokens, Instant at, Instant now);

    /// Returns the tokens sent within the last @p span before @p now, plus all announced for later.
    double sum(Duration span, Instant now) const;

    /// Returns the prefill backlog at @p now: the tokens sent by then that an engine has not processed yet if it
    /// processes @p tokensPerMs in the order in which they were sent. Tokens announced for later do not count.
    /// Precondition: @p tokensPerMs is positive.
    double prefillBacklog(double tokensPerMs, Instant now) const;

    /// Returns the earliest time, not before @p from, at which a prompt of @p tokens keeps the sum of every @p span
    /// within @p limit. A prompt larger than @p limit is admitted where no other is within @p span of it.
    Instant earliestSendAt(double tokens, double limit, Duration span, Instant from) const;

private:
    struct Entry {
        Instant at{};
        double tokens = 0;
    };

    double maxSumAround(Instant at, Duration span) const;

    std::deque<Entry> m_entries; ///< Sent in the last second or announced, ordered by time.
};

} // namespace Gypsumtally::Gateway
