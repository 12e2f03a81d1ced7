#pragma once

#include "common/clock.h"
#include "http/message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// Prompt parts that crash each engine that begins to write an answer to a request with them, and what engines have
/// seen of such requests.
class CrashingParts
{
public:
    /// Makes @p part crash engines from now on.
    void add(const std::string &part);

    /// Returns the crashing part among those of the prompt of @p request that other requests may share.
    std::optional<std::string> partIn(const Http::Request &request) const;

    /// Records that a request of @p node with @p part has arrived at an engine. Precondition: add() was called for it.
    void onArrival(const std::string &part, const std::string &node, Instant at);

    /// Records that @p part has crashed an engine. Precondition: add() was called for it.
    void onCrash(const std::string &part, Instant at);

    /// Excuses the requests of @p node that arrive between @p from and @p to, as it restarts, freezes or is cut off.
    void excuse(const std::string &node, Instant from, Instant to);

    /// Returns how many engines @p part has crashed.
    std::size_t crashes(const std::string &part) const;

    /// Returns a description of each part with which more than three requests arrived 3 s or more after it had crashed
    /// five engines.
    std::vector<std::string> violations() const;

private:
    struct Arrival {
        std::string node;
        Instant at{};
    };

    struct Record {
        std::vector<Instant> crashes; ///< Ordered by time.
        std::vector<Arrival> arrivals;
    };

    struct Excuse {
        Instant from{};
        Instant to{};
    };

    bool isExcused(const Arrival &arrival) const;

    std::map<std::string, Record> m_parts;
    std::multimap<std::string, Excuse> m_excuses; ///< By node.
};

} // namespace Gypsumtally::GatewayFleet
