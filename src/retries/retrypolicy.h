#pragma once

#include "common/call.h"
#include "common/verdict.h"
#include "retries/retrybudget.h"

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// Safeguards of RetryPolicy. Only tests turn one off, to check that their invariants then fail.
struct RetrySafeguards {
    bool checkIdempotent = true; ///< Retry a non-idempotent call only if the attempt did not run.
    bool combineVerdicts = true; ///< Answer with the verdict that holds for all attempts together.
    bool resumeStreams = true; ///< Resume a stream after the tokens that the caller has received.
    bool useBudget = true; ///< Retry only within the customer's budget.
    bool checkDeadline = true; ///< Retry only if enough time is left until the deadline.
};

/// Settings of RetryPolicy.
struct RetrySettings {
    unsigned maxAttempts = 4; ///< Including the first attempt.
    Duration firstDelay = std::chrono::milliseconds{10}; ///< Maximum delay before the first retry; doubles with each.
    Duration maxDelay = std::chrono::milliseconds{500}; ///< Maximum delay before any retry.
    Duration minRunTime = std::chrono::milliseconds{50}; ///< Minimum time that must remain for a retry to run.
    Duration retryAfter = std::chrono::seconds{1}; ///< Sent to callers with failures that have no other retryAfter.
    RetrySafeguards safeguards;
};

/// Outcome of one failed attempt at a call.
struct FailedAttempt {
    Failure failure; ///< Verdict and reason of this attempt alone.
    UpstreamId upstream; ///< Empty if none was chosen.
};

/// State of one call across its attempts. Stored by the code that makes the attempts, one for each call.
struct RetryHistory {
    unsigned attempts = 0; ///< Number of failed attempts.
    Verdict verdict = Verdict::NotRun; ///< Verdict that holds for all attempts together.
    std::vector<UpstreamId> excluded; ///< Upstreams that failed and are avoided by the next attempts.
    /// Number of stream tokens delivered to the caller; updated by the code that makes the attempts.
    std::uint32_t tokensDelivered = 0;
    bool bodyStarted = false; ///< The caller has received part of an answer that is not a token stream.
};

/// Decision to make another attempt.
struct Retry {
    std::vector<UpstreamId> excluded; ///< Upstreams to avoid if there is another one.
    Duration delay{}; ///< Backoff before the attempt.
    std::uint32_t resumeFrom = 0; ///< Number of leading tokens to skip, as the caller has received them.
};

/// Decision to answer the caller now with a failure.
struct GiveUp {
    Failure failure;
};

using RetryDecision = std::variant<Retry, GiveUp>;

/// Decides whether a failed attempt is retried: with exponential backoff and full jitter, within a budget for each
/// customer. Not thread-safe.
class RetryPolicy
{
public:
    /// Creates a policy. @p seed seeds the random jitter of delays.
    RetryPolicy(const RetrySettings &settings, const RetryBudgetPolicy &budget, std::uint64_t seed);

    /// Adds the retries that the first attempt at @p call earns to its customer's budget.
    void onFirstAttempt(const CallAttributes &call, Instant now);

    /// Adds @p attempt to @p history and returns the next step. The failure of a GiveUp is to be sent to the caller at
    /// once; its verdict holds for all attempts together. Precondition: no attempt at the call is in flight.
    RetryDecision onFailure(const CallAttributes &call, RetryHistory &history, const FailedAttempt &attempt,
                            Instant now);

private:
    bool mayRepeat(const CallAttributes &call, const RetryHistory &history, const Failure &failure) const;
    Duration nextDelay(const RetryHistory &history, const Failure &failure);
    bool hasTime(const CallAttributes &call, Duration delay, Instant now) const;
    GiveUp giveUp(const CallAttributes &call, const RetryHistory &history, Failure failure, Instant now) const;

    RetrySettings m_settings;
    RetryBudget m_budget;
    std::mt19937_64 m_random;
};

} // namespace Gypsumtally
