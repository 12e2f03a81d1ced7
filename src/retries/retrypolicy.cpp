#include "retries/retrypolicy.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{
namespace
{

/// Returns true if an attempt at another upstream may succeed.
bool isTransient(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NotOwner:
    case ErrorCode::UpstreamRefused:
    case ErrorCode::UpstreamFailed:
    case ErrorCode::UpstreamLost:
    case ErrorCode::AdapterLoadFailed:
        return true;
    default:
        return false;
    }
}

/// Returns true if the caller may succeed by sending the same request again later.
bool isRetryableLater(ErrorCode code)
{
    return isTransient(code) || code == ErrorCode::Overloaded || code == ErrorCode::NoUpstream
           || code == ErrorCode::Stopping || code == ErrorCode::PlatformUnavailable;
}

/// Returns true if the attempt was only redirected to another owner, which costs no upstream any work.
bool isRedirect(const Failure &failure)
{
    return failure.code == ErrorCode::NotOwner && failure.verdict == Verdict::NotRun;
}

} // namespace

RetryPolicy::RetryPolicy(const RetrySettings &settings, const RetryBudgetPolicy &budget, std::uint64_t seed)
    : m_settings(settings)
    , m_budget(budget)
    , m_random(seed)
{
}

void RetryPolicy::onFirstAttempt(const CallAttributes &call, Instant now)
{
    m_budget.onFirstAttempt(call.customer.value, now);
}

RetryDecision RetryPolicy::onFailure(const CallAttributes &call, RetryHistory &history, const FailedAttempt &attempt,
                                     Instant now)
{
    const auto &failure = attempt.failure;
    ++history.attempts;
    history.verdict
        = m_settings.safeguards.combineVerdicts ? combine(history.verdict, failure.verdict) : failure.verdict;
    if (!attempt.upstream.empty() && !isRedirect(failure))
        history.excluded.push_back(attempt.upstream);
    if (!mayRepeat(call, history, failure))
        return giveUp(call, history, failure, now);
    const auto delay = nextDelay(history, failure);
    if (!hasTime(call, delay, now))
        return giveUp(call, history, failure, now);
    const bool isWithinBudget
        = isRedirect(failure) || !m_settings.safeguards.useBudget || m_budget.tryTake(call.customer.value, now);
    if (!isWithinBudget)
        return giveUp(call, history, failure, now);
    return Retry{history.excluded, delay, m_settings.safeguards.resumeStreams ? history.tokensDelivered : 0};
}

bool RetryPolicy::mayRepeat(const CallAttributes &call, const RetryHistory &history, const Failure &failure) const
{
    if (!isTransient(failure.code) || history.attempts >= m_settings.maxAttempts || history.bodyStarted)
        return false;
    return call.idempotent || failure.verdict == Verdict::NotRun || !m_settings.safeguards.checkIdempotent;
}

Duration RetryPolicy::nextDelay(const RetryHistory &history, const Failure &failure)
{
    if (isRedirect(failure))
        return Duration::zero();
    const unsigned doublings = std::min(history.attempts - 1, 16U);
    const auto most = std::min(m_settings.maxDelay, m_settings.firstDelay * (1U << doublings));
    return Duration{static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(most.count() + 1))};
}

bool RetryPolicy::hasTime(const CallAttributes &call, Duration delay, Instant now) const
{
    return !m_settings.safeguards.checkDeadline || !call.deadline
           || now + delay + m_settings.minRunTime <= *call.deadline;
}

GiveUp RetryPolicy::giveUp(const CallAttributes &call, const RetryHistory &history, Failure failure, Instant now) const
{
    failure.verdict = history.verdict;
    if (call.deadline && now >= *call.deadline)
        failure.code = ErrorCode::DeadlineExceeded;
    const bool mayRetry = call.idempotent || history.verdict == Verdict::NotRun;
    if (!mayRetry || !isRetryableLater(failure.code))
        failure.retryAfter.reset();
    else if (!failure.retryAfter)
        failure.retryAfter = m_settings.retryAfter;
    return {std::move(failure)};
}

} // namespace Gypsumtally
