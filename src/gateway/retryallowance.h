#pragma once

#include "common/clock.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The fleet's bound on extra sends: those that reach a service beyond the first send of each request.
struct RetryBound {
    double ratio = 0.2; ///< Extra sends permitted for each request in the window.
    double slack = 0; ///< Extra sends permitted in addition, in each window over the whole fleet.
    Duration window = std::chrono::seconds{10};
    unsigned nodes = 1; ///< Number of nodes that share the slack.
};

/// This node's share of the retry budget, enforced over a sliding window for each service, so that the fleet stays
/// within the bound even if nodes cannot communicate. Not thread-safe.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryBound &bound);

    /// Sets the number of nodes that share the slack; 0 counts as 1.
    void setNodes(unsigned nodes);

    /// Replaces the bound. Requests and extra sends that are recorded already keep counting.
    void setBound(const RetryBound &bound);

    /// Records a caller's request for @p service.
    void onRequest(const std::string &service, Instant now);

    /// Returns true if the allowance permits an extra send.
    bool hasRoom(const std::string &service, Instant now);

    /// Records an extra send and returns true if the allowance permits one; otherwise returns false.
    bool tryTake(const std::string &service, Instant now);

    /// Removes the last extra send, which was not made as its upstream was not connected. Precondition: tryTake()
    /// returned true for it.
    void giveBack(const std::string &service);

    /// Returns the services that have an account, among them all that had requests.
    std::vector<std::string> services() const;

    /// Returns the number of extra sends that are left at @p now; may be negative.
    double left(const std::string &service, Instant now);

private:
    struct Account {
        std::deque<Instant> requests;
        std::deque<Instant> extraSends;
    };

    Account &current(const std::string &service, Instant now);

    RetryBound m_bound;
    std::unordered_map<std::string, Account> m_accounts;
};

} // namespace Gypsumtally::Gateway
