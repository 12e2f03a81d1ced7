#pragma once

#include "common/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Gypsumtally
{

/// Settings of RetryBudget.
struct RetryBudgetPolicy {
    double ratio = 0.1; ///< Retries added by each first attempt.
    double capacity = 10.0; ///< Maximum number of retries that can accumulate; each budget starts with it.
    double refillPerSecond = 0.1; ///< Retries added per second, so that rare callers get some too.
};

/// Token buckets that bound retries to a fraction of first attempts, one for each customer or upstream. A bucket takes
/// no memory while it is full. Not thread-safe.
class RetryBudget
{
public:
    /// Preconditions: no setting is negative; the capacity is at least 1.
    explicit RetryBudget(const RetryBudgetPolicy &policy);

    /// Adds the retries that a first attempt earns to the budget of @p key.
    void onFirstAttempt(const std::string &key, Instant now);

    /// Takes one retry from the budget of @p key. Returns false, and takes nothing, if less than one is left.
    bool tryTake(const std::string &key, Instant now);

    /// Returns the number of retries left in the budget of @p key; it may be fractional.
    double available(const std::string &key, Instant now) const;

    /// Returns the number of budgets that are stored because they were not full when last changed.
    std::size_t size() const
    {
        return m_buckets.size();
    }

private:
    struct Bucket {
        double available;
        Instant updated;
    };

    void store(const std::string &key, double available, Instant now);

    RetryBudgetPolicy m_policy;
    std::unordered_map<std::string, Bucket> m_buckets;
};

} // namespace Gypsumtally
