#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"
#include "quarantine/crashrecord.h"
#include "quarantine/quarantinepolicy.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally
{

/// A crash record and the times between which the crash happened, on this node's clock.
struct SeenCrash {
    CrashRecord record;
    Revision revision = 0; ///< Revision of the stored record; 0 until it has been read from the key-value service.
    Instant earliest{}; ///< The crash happened no earlier than this.
    Instant firstSeen{}; ///< When this node first added the crash, which happened no later than this.
};

/// Assessment of a fingerprint by the crashes so far.
enum class Suspicion {
    None,
    Suspect, ///< It was running on an upstream that crashed; it must run in isolation next.
    Pending, ///< It crashed an upstream in isolation too recently to rule out crashes with a common cause.
    Poison, ///< It crashes upstreams.
};

/// Crashes of upstreams that this node has recorded or read, and the assessment of requests by them. Not thread-safe.
class CrashEvidence
{
public:
    explicit CrashEvidence(const QuarantinePolicy &policy);
    CrashEvidence(CrashEvidence &&) = default;
    CrashEvidence &operator=(CrashEvidence &&) = default;

    /// Sets the time for which a crash counts, and the number of inconclusive isolated crashes that suffice for
    /// Suspicion::Poison.
    void setLimits(Duration evidenceLifetime, std::uint32_t inconclusiveLimit)
    {
        m_policy.evidenceLifetime = evidenceLifetime;
        m_policy.inconclusiveLimit = inconclusiveLimit;
    }

    /// Adds the crash stored under @p key, which happened between @p earliest and @p now. Only updates the revision if
    /// the crash has been added before.
    void add(const std::string &key, CrashRecord record, Revision revision, Instant earliest, Instant now);

    /// Drops the crashes that were read from the key-value service and have been removed from it since. @p keys
    /// contains the records that are stored now, by key.
    void retain(const std::map<std::string, CrashRecord> &keys);

    /// Records that a request with @p fingerprint completed at @p now: crashes first seen until then no longer count
    /// against it.
    void onCompleted(Fingerprint fingerprint, Instant now);

    /// Records that an operator cleared @p fingerprint: stored crashes with a lower revision than @p revision no longer
    /// count against it.
    void onCleared(Fingerprint fingerprint, Revision revision);

    /// Returns true if onCompleted() was called for @p fingerprint and the completion is still remembered.
    bool hasCompleted(Fingerprint fingerprint) const
    {
        return m_completed.contains(fingerprint);
    }

    /// Returns the number of separate crash events that @p fingerprint is a suspect of.
    std::uint32_t rankOf(Fingerprint fingerprint, Instant now) const;

    /// Returns the assessment of @p fingerprint. @p viewTime is the time up to which the crashes recorded by all nodes
    /// have been read.
    Suspicion assess(Fingerprint fingerprint, Instant now, Instant viewTime) const;

    /// Returns the upstreams that crashed while they ran @p fingerprint, one entry for each crash that counts.
    std::vector<UpstreamId> upstreamsOf(Fingerprint fingerprint, Instant now) const;

    /// Returns the failure domains in which a crash was first seen within the burst window before @p now.
    std::set<FailureDomainId> recentDomains(Instant now) const;

    /// Returns the fingerprints that are suspects of more than one crash, in ascending order.
    std::vector<Fingerprint> repeatedSuspects() const;

    /// Returns all crashes, by the keys of their records.
    const std::map<std::string, SeenCrash> &crashes() const
    {
        return m_crashes;
    }

private:
    /// A crash and one of its suspects.
    struct Occurrence {
        const SeenCrash *crash;
        const CrashSuspect *suspect;

        /// Returns true if the request was already a suspect when it was dispatched, and the upstream ran no other
        /// content.
        bool isIsolated() const
        {
            return suspect->rank > 0 && crash->record.suspects.size() == 1;
        }
    };

    void reindex();

    /// Returns the crashes that count against @p fingerprint.
    std::vector<Occurrence> occurrencesOf(Fingerprint fingerprint, Instant now) const;

    /// Returns true if the crash may have another cause than the suspect.
    bool isInconclusive(const Occurrence &occurrence) const;

    /// Returns true if at least inconclusiveLimit separate events have just one suspect in common. Counts only crashes
    /// with cause ProcessEnded whose suspect had not completed before.
    bool isOnlyCommonSuspect(const std::vector<Occurrence> &occurrences) const;

    QuarantinePolicy m_policy;
    std::map<std::string, SeenCrash> m_crashes;
    std::unordered_map<Fingerprint, std::vector<Occurrence>> m_occurrences;
    std::unordered_map<Fingerprint, Instant> m_completed; ///< Last completion of each remembered fingerprint.
    std::vector<Fingerprint> m_completedOrder; ///< Ring buffer of the keys of m_completed, in order of insertion.
    std::size_t m_nextCompleted = 0; ///< Index of the next key to evict from the full ring buffer.
    std::unordered_map<Fingerprint, Revision> m_cleared; ///< Revision at which each fingerprint was cleared.
};

} // namespace Gypsumtally
