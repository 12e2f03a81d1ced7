#pragma once

#include "common/clock.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The fleet's bound on requests that reach a service beyond the first send of each.
struct RetryBound {
    double ratio = 0.2; ///< Extra sends for each request.
    double slack = 0; ///< Extra sends that are allowed besides, over the whole fleet.
    Duration window = std::chrono::seconds{10};
    unsigned nodes = 1; ///< How many nodes share the slack.
};

/// This node's share of the bound, kept in a sliding window for each service, so that the fleet stays within it
/// even when no node hears of another. Not thread-safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryBound &bound);

    /// Sets how many nodes share the slack.
    void setNodes(unsigned nodes);

    /// Replaces the bound; what was sent within the window counts on.
    void setBound(const RetryBound &bound);

    /// Counts a caller's request for @p service.
    void onRequest(const std::string &service, Instant now);

    /// Counts an extra send and returns true, or returns false if there is none left.
    bool tryTake(const std::string &service, Instant now);

    /// Returns the services that had requests.
    std::vector<std::string> services() const;

    /// Returns how many extra sends are left at @p now.
    double left(const std::string &service, Instant now);

private:
    struct Account {
        std::deque<Instant> requests;
        std::deque<Instant> extras;
    };

    Account &current(const std::string &service, Instant now);

    RetryBound m_bound;
    std::unordered_map<std::string, Account> m_accounts;
};

} // namespace Gypsumtally::Gateway
