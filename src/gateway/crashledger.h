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

/// Hash of a request's path, caller and body; equal for one that is sent again under a new id.
using Fingerprint = std::uint64_t;

/// A request was running at an upstream that died.
struct CrashReport {
    Fingerprint fingerprint = 0;
    std::string instance; ///< The upstream process that died.

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// Counts the upstreams that died while they ran a request, over all nodes, so that a request that crashes whatever
/// runs it is stopped. Not thread-safe.
class CrashLedger
{
public:
    /// Takes in a report of another node.
    void add(const CrashReport &report, Instant now);

    /// Takes in what this node has seen, for the others to be told of it.
    void addOwn(const CrashReport &report, Instant now);

    /// Whether the request has taken down so many upstreams that it is not to be sent again.
    bool isBlocked(Fingerprint fingerprint) const;

    /// Returns how many upstreams died while they ran it.
    std::size_t deaths(Fingerprint fingerprint) const;

    /// Returns this node's own reports that others may not have heard yet: those younger than @p age. Reports of others
    /// are theirs to tell, or they would go round for ever.
    std::vector<CrashReport> recent(Instant now, Duration age);

private:
    struct Entry {
        std::set<std::string> instances;
        Instant last{};
    };

    struct OwnReport {
        CrashReport report;
        Instant at{};
    };

    bool insert(const CrashReport &report, Instant now);
    void forgetOld(Instant now);

    std::deque<OwnReport> m_own; ///< By time.
    std::unordered_map<Fingerprint, Entry> m_entries;
};

} // namespace Gypsumtally::Gateway
