#pragma once

#include "common/clock.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Hash of a request's path, query and body. A request that is sent again under a new id keeps its fingerprint.
using Fingerprint = std::uint64_t;

/// The observation that a request was running at an upstream that crashed.
struct CrashReport {
    Fingerprint fingerprint = 0;
    std::string instance; ///< Identifies the crash: the upstream's instance and a time slot of 3 s.

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// Counts, over all nodes, the upstreams that crashed while they ran a request, so that a request that crashes every
/// upstream that runs it is blocked. Not thread-safe.
class CrashLedger
{
public:
    /// Records a report of another node.
    void add(const CrashReport &report, Instant now);

    /// Records an observation of this node, which recent() then returns for dissemination.
    void addOwn(const CrashReport &report, Instant now);

    /// Returns true if the request has crashed so many upstreams that it must not be sent again.
    bool isBlocked(Fingerprint fingerprint) const;

    /// Returns the number of upstreams that crashed while they ran the request.
    std::size_t crashCount(Fingerprint fingerprint) const;

    /// Returns this node's own reports that others may not have received yet, namely those not older than @p age, and
    /// removes the older ones. Leaves out the reports of other nodes: if nodes repeated each other's reports, these
    /// would circulate forever.
    std::vector<CrashReport> recent(Instant now, Duration age);

private:
    struct Entry {
        std::set<std::string> instances;
        Instant lastReport{}; ///< Time of the last report.
    };

    struct OwnReport {
        CrashReport report;
        Instant at{};
    };

    bool insert(const CrashReport &report, Instant now);
    void evictOld(Instant now);

    std::deque<OwnReport> m_own; ///< Ordered by time.
    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace Gypsumtally::Gateway
