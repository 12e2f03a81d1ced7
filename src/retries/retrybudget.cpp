#include "retries/retrybudget.h"

#include <algorithm>

namespace Gypsumtally
{

RetryBudget::RetryBudget(const RetryBudgetPolicy &policy)
    : m_policy(policy)
{
}

void RetryBudget::onFirstAttempt(const std::string &key, Instant now)
{
    if (m_buckets.contains(key))
        store(key, available(key, now) + m_policy.ratio, now);
}

bool RetryBudget::tryTake(const std::string &key, Instant now)
{
    const double before = available(key, now);
    if (before < 1.0)
        return false;
    store(key, before - 1.0, now);
    return true;
}

double RetryBudget::available(const std::string &key, Instant now) const
{
    const auto bucket = m_buckets.find(key);
    if (bucket == m_buckets.end())
        return m_policy.capacity;
    const std::chrono::duration<double> elapsed = now - bucket->second.updated;
    const double refilled = bucket->second.available + elapsed.count() * m_policy.refillPerSecond;
    return std::min(m_policy.capacity, refilled);
}

void RetryBudget::store(const std::string &key, double available, Instant now)
{
    if (available >= m_policy.capacity)
        m_buckets.erase(key);
    else
        m_buckets.insert_or_assign(key, Bucket{available, now});
}

} // namespace Gypsumtally
