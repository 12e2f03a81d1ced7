#pragma once

#include "common/identifiers.h"
#include "common/keyvalue.h"
#include "common/verdict.h"
#include "quarantine/crashevidence.h"
#include "quarantine/crashrecord.h"
#include "quarantine/quarantinepolicy.h"
#include "quarantine/recordwriter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally
{

/// Placement of a request as required to contain crashes.
enum class Placement {
    Anywhere,
    Isolated, ///< On an idle upstream that gets no other work meanwhile, or on the least loaded one if none is idle.
              ///< Should be outside crashedDomains() if possible; Router does not check this.
    Wait, ///< A request with the same content is running in isolation, or the shared records are being read; the caller
          ///< must try again soon.
};

/// Request content that is answered without being run.
struct QuarantinedContent {
    Fingerprint fingerprint = 0;
    std::vector<UpstreamId> upstreams; ///< Upstreams that crashed while they ran it.
};

/// Quarantines requests that crash the upstreams that run them.
///
/// Every request that an upstream was running when it crashed becomes a suspect and runs in isolation until a request
/// with its content completes. A suspect that crashes another upstream in isolation is quarantined on all nodes.
/// Crashes that may have another cause are inconclusive and only count together: losses of VMs, crashes near others in
/// the same failure domain, and crashes of content that has completed before. The node that dispatches to an upstream
/// tracks the requests in flight there; crashes and quarantined fingerprints are shared through the key-value service.
///
/// Not thread-safe; every method must be called on the core thread, with a `now` that never decreases.
class Quarantine
{
public:
    Quarantine(Incarnation incarnation, const QuarantinePolicy &policy);

    /// Returns the failure to answer at once instead of running a request, or nothing if it may run. The failure's
    /// verdict is that of this attempt alone.
    std::optional<Failure> check(Fingerprint fingerprint, Instant now) const;

    /// Returns where a request may run. @p forwardedRank is the rank that another node forwarded with it, or 0.
    /// Precondition: check() returned nothing.
    Placement placement(Fingerprint fingerprint, std::uint32_t forwardedRank, Instant now);

    /// Returns the failure domains in which upstreams crashed within the burst window. A suspect should not run there:
    /// its crash would be inconclusive, as the domain may be failing.
    std::set<FailureDomainId> crashedDomains(Instant now) const;

    /// Returns the number of separate crash events that the request is a suspect of. It is sent along when a request is
    /// forwarded to another node.
    std::uint32_t rankOf(Fingerprint fingerprint, Instant now) const;

    /// Records that @p call was dispatched to @p upstream. @p forwardedRank is the rank that another node forwarded
    /// with it, or 0.
    void onDispatched(const UpstreamId &upstream, CallId call, Fingerprint fingerprint, std::uint32_t forwardedRank,
                      Instant now);

    /// Records that @p call ended at @p upstream. @p isComplete is true if its complete answer arrived.
    /// Precondition: the call did not end because the upstream crashed; onCrashed() handles such calls.
    void onEnded(const UpstreamId &upstream, CallId call, bool isComplete, Instant now);

    /// Records that @p upstream crashed with all requests in flight there. Repeated reports of one crash, such as one
    /// for each connection, count once. Appends KeyCalls to @p calls.
    void onCrashed(const UpstreamId &upstream, const FailureDomainId &failureDomain, CrashCause cause, Instant now,
                   std::vector<KeyCall> &calls);

    /// Processes the reply to the KeyCall with @p tag, and appends further KeyCalls to @p calls. Precondition: each
    /// KeyCall gets exactly one reply, with outcome Unknown if none arrived.
    void onReply(std::uint64_t tag, const KeyReply &reply, Instant now, std::vector<KeyCall> &calls);

    /// Does the periodic work: quarantines requests, removes expired records and reads the shared ones. Appends
    /// KeyCalls to @p calls. Must be called several times per second.
    void tick(Instant now, std::vector<KeyCall> &calls);

    /// Sets the time for which a crash counts, and the number of inconclusive isolated crashes that suffice for a
    /// quarantine.
    void setLimits(Duration evidenceLifetime, std::uint32_t inconclusiveLimit);

    /// Returns the quarantined contents as of the last read of the shared records.
    std::vector<QuarantinedContent> list() const;

    /// Lifts the quarantine of @p fingerprint and discounts its crashes so far. Appends KeyCalls to @p calls. Returns
    /// false, and does nothing, if it is not quarantined.
    bool clear(Fingerprint fingerprint, Instant now, std::vector<KeyCall> &calls);

private:
    /// A request in flight.
    struct Running {
        Fingerprint fingerprint;
        std::uint32_t rank; ///< As of its dispatch.
    };

    /// A quarantine record as last read.
    struct Stored {
        QuarantineRecord record;
        Revision revision;
    };

    bool isKnownCrash(const UpstreamId &upstream, CrashCause cause, Instant now) const;

    /// Returns true if the shared records were read recently enough to run a suspect, or if reads have failed for so
    /// long that suspects run without them.
    bool isViewFresh(Instant now) const;
    std::vector<CrashSuspect> suspectsOf(const std::map<CallId, Running> &running) const;
    bool isQuarantined(Fingerprint fingerprint) const;
    void stopRunning(const Running &running);
    void send(Instant now, std::vector<KeyCall> &calls);
    void refresh(Instant now, std::vector<KeyCall> &calls);

    /// Replaces the shared records by those in the reply to a read. Ignores a reply older than the last one.
    void applyRead(const KeyReply &reply, Instant now);

    /// Writes the quarantine records that the crashes call for and that this node is to write.
    void writeQuarantines(Instant now);

    /// Returns true if this node is to write the quarantine record: it recorded one of the crashes, or the recorder has
    /// not written it in time.
    bool isResponsible(Fingerprint fingerprint, Instant now) const;

    /// Removes expired crash records: its own after evidenceLifetime, those of other nodes after twice that time.
    void removeExpired(Instant now);

    Incarnation m_incarnation;
    QuarantinePolicy m_policy;
    CrashEvidence m_evidence;
    RecordWriter m_writer;
    std::map<UpstreamId, std::map<CallId, Running>> m_running;
    std::unordered_map<Fingerprint, std::uint32_t> m_isolated; ///< Number of suspects in flight, by fingerprint.
    std::map<Fingerprint, Stored> m_stored;
    std::set<Fingerprint> m_reported; ///< Quarantines written since the last answered read.
    std::uint64_t m_crashCount = 0;
    std::uint64_t m_lastTag = 0;
    std::optional<std::uint64_t> m_refreshTag;
    std::optional<std::uint64_t> m_writeTag;
    Instant m_refreshSent{};
    Instant m_nextRefresh{};
    bool m_wantsFreshView = false; ///< A suspect waits for the next read of the shared records.
    Instant m_viewTime{}; ///< When the last answered read of the shared records was sent.
    Revision m_readRevision = 0; ///< Store revision of the last answered read.
};

} // namespace Gypsumtally
