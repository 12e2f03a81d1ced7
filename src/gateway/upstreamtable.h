#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"
#include "estimates/stepestimate.h"
#include "estimates/upstreamcapacity.h"
#include "gateway/adaptercacheestimate.h"
#include "gateway/promptwindow.h"
#include "gateway/residency.h"
#include "gateway/sendschedule.h"
#include "http/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Record that an upstream process publishes in the platform's registry.
struct UpstreamRecord {
    std::string instance; ///< Identifies one upstream; may be reused after a restart.
    std::string service;
    Http::Endpoint endpoint;
    std::string failureDomain;
    unsigned slots = 1; ///< Number of requests that it processes concurrently.
    bool draining = false; ///< Accepts no new requests.
    std::int64_t startedAt = 0; ///< Distinguishes successive processes of one instance; 0 if not stated.
    std::vector<ListedTarget> targets; ///< Models and adapters that it holds.
    std::set<std::string> storedModels; ///< Base models that it can load without the weight store.
    std::string softwareVersion; ///< Streams go on only at the version that began them; may be empty.
};

/// A process of an upstream.
struct UpstreamProcess {
    std::string instance;
    std::int64_t startedAt = 0; ///< 0 if unknown.

    friend auto operator<=>(const UpstreamProcess &, const UpstreamProcess &) = default;
};

/// The limit on its requests that an upstream states, or its absence.
struct RequestLimit {
    std::optional<double> perSecond; ///< Requests per second from all nodes together; nothing if they are not limited.
    Instant asOf{}; ///< Latest time at which the upstream is known to have stated this.
};

/// The statement of a service's upstreams that they are brittle, or its absence.
struct Brittleness {
    /// An upstream fails if it refuses more requests of all nodes for want of room in a second; nothing if the service
    /// is not brittle.
    std::optional<unsigned> refusalsPerSecond;
    Instant asOf{}; ///< Latest time at which an upstream is known to have stated this.
};

/// State of one upstream as seen by this node.
struct Upstream {
    /// Short, so that a restarted or repaired upstream is retried soon.
    static constexpr Duration outcomeHalfLife = std::chrono::seconds{3};

    UpstreamRecord record;
    Residency residency;
    AdapterCacheEstimate cachedAdapters; ///< Adapters that it likely caches, from order lease holders' notices.
    unsigned ownInFlight = 0; ///< In-flight requests from this node.
    unsigned peersInFlight = 0; ///< In-flight requests from other nodes, as last reported by them.
    PromptWindow prompts; ///< Prompts from all nodes.
    double failureRatio = 0; ///< Decayed fraction of failed requests, 0 to 1.
    DecayedRate outcomes{outcomeHalfLife}; ///< Decayed number of requests behind failureRatio.
    Estimates::StepEstimate step; ///< Inter-token latency in ms.
    Estimates::UpstreamCapacity capacity; ///< Without samples if adaptive capacity is off.
    /// Last event of any stream of this node that goes on there; Instant{} after the end of any of its requests.
    Instant lastEventAt{};
    unsigned tokensPerEvent = 1; ///< Of these streams.
    unsigned loggedLimit = 0; ///< Last logged usableSlots(); 0 if none was logged.
    Instant limitLoggedAt{};
    unsigned ownStepSamples = 0; ///< Samples of this node in the estimate since it was last sent to other nodes.
    Instant waitingSince{}; ///< Since when a request has been waiting without any byte of any response arriving.
    bool isLeaving = false; ///< An answer has announced its departure, regardless of its record.
    bool isCutOff = false; ///< This node does not reach it, while others do.
    bool announcedLeaving = false; ///< It announced its departure to this node, which notifies the others.
    Instant backpressureUntil{}; ///< Must get no requests from this node until then.
    RequestLimit requestLimit;
    SendSchedule sends; ///< Requests from all nodes while it limits them or is brittle.
    Instant refusedAt{}; ///< When it last refused a request for want of room while its service was brittle.
    unsigned roomAtRefusal = 0; ///< Number of requests that it was presumed to have room for then.
    /// Until then, gets new requests only if no other upstream can take them, for example after a refused connection.
    Instant avoidUntil{};

    /// Returns true if this node may send it requests.
    bool takesRequests(Instant now) const
    {
        return staysInService() && !isCutOff && now >= backpressureUntil;
    }

    /// Returns true if it limits the requests of all nodes together.
    bool limitsRequests() const
    {
        return requestLimit.perSecond.has_value();
    }

    /// Returns true if it is neither draining nor has announced its departure.
    bool staysInService() const
    {
        return !record.draining && !isLeaving;
    }

    /// Returns the number of requests that it handles well at once: its slots, or fewer if it was slow with them.
    unsigned usableSlots(Instant now) const
    {
        return capacity.limit(record.slots > 0 ? record.slots : 1, now);
    }

    /// Returns the number of in-flight requests from all nodes.
    unsigned inFlight() const
    {
        return ownInFlight + peersInFlight;
    }
};

/// Origin of a node's report; used to order reports, which may arrive out of order.
struct ReportStamp {
    std::string node;
    std::int64_t startedAt = 0; ///< Start of the node's process.
    std::uint64_t sequence = 0; ///< Increases with each report of a process.
};

/// Table of the upstreams that may get requests, built from registry records. Keeps upstreams whose records expired
/// during a registry outage until their records can have returned. Not thread-safe; does no I/O.
class UpstreamTable
{
public:
    /// Adds or updates an upstream from its record. Returns true if the upstream is a new process.
    bool onRecord(const UpstreamRecord &record, Instant now);

    /// Removes the upstream of a deleted record, or marks it as lapsed around a registry outage.
    void onRemoved(const std::string &instance, Instant now);

    /// Removes, as onRemoved() does, each upstream that is not in @p instances, a full snapshot of the registry.
    void onSnapshot(const std::set<std::string> &instances, Instant now);

    /// Records that the registry does not answer.
    void onRegistryLost(Instant now);

    /// Records that the registry answers again.
    void onRegistryBack(Instant now);

    /// Returns what the upstreams of @p service last stated of being brittle.
    Brittleness brittleness(const std::string &service) const
    {
        const auto it = m_brittleness.find(service);
        return it == m_brittleness.end() ? Brittleness{} : it->second;
    }

    void setBrittleness(const std::string &service, const Brittleness &brittleness)
    {
        m_brittleness[service] = brittleness;
    }

    const std::map<std::string, Brittleness> &allBrittleness() const
    {
        return m_brittleness;
    }

    /// Returns when the last upstream record was received.
    Instant lastRecordAt() const
    {
        return m_lastRecordAt;
    }

    /// Removes lapsed upstreams that still have no record after the registry's return. Must be called several times per
    /// second.
    void sweep(Instant now);

    /// Returns the upstream, or null if it is not in the table.
    Upstream *find(const std::string &instance);

    std::map<std::string, Upstream> &all()
    {
        return m_upstreams;
    }

    const std::map<std::string, Upstream> &all() const
    {
        return m_upstreams;
    }

    /// Records that the upstream's current process has announced its departure to some node. This outlives its record.
    /// Returns true if it was not recorded before.
    bool markLeaving(const std::string &instance);

    /// Sets the number of another node's in-flight requests by upstream; 0 for upstreams that are not listed.
    void onPeerLoads(const ReportStamp &stamp, const std::map<std::string, unsigned> &inFlight);

    /// Sets the number of another node's in-flight requests at one upstream; its numbers at others stay.
    void onPeerLoad(const ReportStamp &stamp, const std::string &instance, unsigned inFlight);

    /// Removes the in-flight requests of a node that no longer reports.
    void forgetPeer(const std::string &node);

private:
    bool mayHaveLapsed(Instant now) const;

    std::map<std::string, Upstream> m_upstreams;
    struct PeerLoad {
        unsigned inFlight = 0;
        std::uint64_t sequence = 0; ///< Sequence of the report that set it.
    };

    struct Peer {
        std::int64_t startedAt = 0;
        std::uint64_t snapshotSequence = 0; ///< Sequence of the last report that covered all upstreams (a snapshot).
        std::map<std::string, PeerLoad> loads; ///< By upstream.
    };

    Peer *peerOf(const ReportStamp &stamp);
    void setLoad(Peer &peer, const std::string &instance, PeerLoad load);

    std::unordered_map<std::string, Peer> m_peers; ///< By node.
    struct ProcessKey {
        std::int64_t startedAt = 0;
        Http::Endpoint endpoint;

        friend bool operator==(const ProcessKey &, const ProcessKey &) = default;
    };

    /// The request limit of a process whose record was removed; it applies again if the record returns.
    struct KeptLimit {
        ProcessKey process;
        RequestLimit limit;
        SendSchedule sends;
    };

    void remove(const std::string &instance);
    void restoreLimit(Upstream &upstream);

    std::map<std::string, Brittleness> m_brittleness; ///< By service, as it outlasts its upstreams' processes.
    std::map<std::string, ProcessKey> m_leftProcesses; ///< Processes that have announced their departure, by instance.
    std::map<std::string, KeptLimit> m_keptLimits; ///< By instance.
    std::set<std::string> m_lapsed; ///< Upstreams whose record may only be missing due to a registry outage.
    bool m_registryLost = true;
    Instant m_registryBackAt{};
    Instant m_lastRecordAt{};
};

} // namespace Gypsumtally::Gateway
