#pragma once

#include "common/clock.h"

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// What one upstream has seen of a request limit: the requests that arrived and the limits that it stated. A limit is
/// in force from its first answer that has left for a node, or from a higher one's or the end's change on.
class RequestLimitRecord
{
public:
    /// Records that the upstream writes answers that state @p limit, in requests per second, from @p at on; nothing if
    /// they state none.
    void onStated(Instant at, std::optional<double> limit);

    /// Records that an answer that states @p limit has left for the node at @p address. It counts for the newest change
    /// to this limit.
    void onDelivered(Instant at, double limit, const std::string &address = {});

    /// Records the arrival of a request of @p node; @p description tells which. Precondition: not before earlier
    /// arrivals.
    void onArrival(Instant at, const std::string &node, const std::string &description = {});

    /// Excuses the requests of @p node that arrive between @p from and @p to, as it restarts, freezes or is cut off.
    void excuse(const std::string &node, Instant from, Instant to);

    /// Returns a description of each window in which more requests arrived than are tolerated: one and a half times
    /// the limits, and 5 more, in every 4 s that end 3 s or more after a limit came into force.
    std::vector<std::string> violations() const;

    /// Returns the requests that arrived between @p from and @p to, divided by what the limits permitted in that time.
    double use(Instant from, Instant to) const;

    /// Writes what was recorded to @p stream, a line each, in order of time. Times are in milliseconds, as in the logs
    /// of the nodes, whose clock is @p logOffset ahead.
    void write(std::ostream &stream, Duration logOffset) const;

private:
    struct Arrival {
        Instant at{};
        std::string node;
        std::string description;
    };

    struct Delivery {
        Instant at{};
        double limit = 0;
        std::string address;
    };

    struct Stated {
        Instant at{};
        std::optional<double> limit;
    };

    struct Excuse {
        Instant from{};
        Instant to{};
    };

    std::vector<Stated> inForce() const;
    static std::optional<Instant> limitedSince(const std::vector<Stated> &limits, Instant at);
    static std::optional<double> permitted(const std::vector<Stated> &limits, Instant from, Instant to);
    bool isExcused(const Arrival &arrival) const;

    std::vector<Arrival> m_arrivals;
    std::vector<Stated> m_stated; ///< Ordered by time.
    std::vector<Delivery> m_deliveries; ///< Ordered by time.
    std::multimap<std::string, Excuse> m_excuses; ///< By node.
};

} // namespace Gypsumtally::GatewayFleet
