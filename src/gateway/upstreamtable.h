#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"
#include "estimates/stepestimate.h"
#include "gateway/keptadapters.h"
#include "gateway/promptwindow.h"
#include "gateway/residency.h"
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

/// What an upstream process says of itself in the platform's registry.
struct UpstreamRecord {
    std::string instance; ///< Names one upstream; may come again after a restart.
    std::string service;
    Http::Endpoint endpoint;
    std::string failureDomain;
    unsigned slots = 1; ///< Requests that it works on at once.
    bool draining = false; ///< Takes no new requests.
    std::int64_t startedAt = 0; ///< Tells processes of one instance apart; 0 if it is not stated.
    std::vector<ListedTarget> targets; ///< What it holds.
    std::set<std::string> storedModels; ///< Base models that it can load without the weight store.
};

/// What this node knows of one upstream.
struct Upstream {
    static constexpr Duration outcomeHalfLife
        = std::chrono::seconds{3}; ///< A restarted or mended one is tried again soon.

    UpstreamRecord record;
    Residency residency;
    KeptAdapters kept; ///< As holders of orders have told.
    unsigned ownInFlight = 0; ///< Requests of this node that it is working on.
    unsigned peersInFlight = 0; ///< Those of other nodes, as they last said.
    PromptWindow prompts; ///< Of all nodes.
    double failureRatio = 0; ///< Decayed share of failed requests, 0 to 1.
    DecayedRate outcomes{outcomeHalfLife}; ///< Of requests, which the ratio rests on.
    Estimates::StepEstimate step; ///< In ms, for a token of a stream.
    unsigned ownSteps = 0; ///< What this node has learnt it from since it told others.
    Instant waitingSince{}; ///< Since when a request waits and no byte of any response has come.
    bool isLeaving = false; ///< Has said so in an answer, whatever its record says.
    bool toldLeaving = false; ///< To this node, which tells others.
    Instant turnedAwayUntil{}; ///< Wants no requests from this node until then.
    Instant avoidUntil{}; ///< Takes no new requests while others can, for instance after a refused connection.

    /// Whether this node may send it requests.
    bool takesRequests(Instant now) const
    {
        return staysInService() && now >= turnedAwayUntil;
    }

    /// Whether it serves on, as far as is known.
    bool staysInService() const
    {
        return !record.draining && !isLeaving;
    }

    /// Returns the requests of all nodes that it is working on.
    unsigned inFlight() const
    {
        return ownInFlight + peersInFlight;
    }
};

/// Which report of which node something is from: reports may overtake each other.
struct ReportStamp {
    std::string node;
    std::int64_t startedAt = 0; ///< Of the node's process.
    std::uint64_t sequence = 0; ///< Grows with each report of a process.
};

/// The upstreams that may get requests, from the registry's records. Knows that records which lapsed while the
/// registry was away come back. Not thread-safe; does no I/O.
class UpstreamTable
{
public:
    /// A record was written. Returns whether the upstream is a new process.
    bool onRecord(const UpstreamRecord &record, Instant now);

    /// A record was removed.
    void onRemoved(const std::string &instance, Instant now);

    /// The registry was read whole: what is not in @p instances has no record.
    void onSnapshot(const std::set<std::string> &instances, Instant now);

    /// The registry does not answer.
    void onRegistryLost(Instant now);

    /// The registry answers again.
    void onRegistryBack(Instant now);

    /// When the registry last told of an upstream.
    Instant lastHeard() const
    {
        return m_lastHeard;
    }

    /// Removes what is still without a record after the registry's return. To be called several times a second.
    void sweep(Instant now);

    /// Returns the upstream, or null if it is gone.
    Upstream *find(const std::string &instance);

    std::map<std::string, Upstream> &all()
    {
        return m_upstreams;
    }

    const std::map<std::string, Upstream> &all() const
    {
        return m_upstreams;
    }

    /// The upstream's present process has told somebody that it leaves, and is remembered for that beyond its record.
    /// Returns whether that is news.
    bool markLeaving(const std::string &instance);

    /// Takes in how many requests another node has at work at upstreams. It has none at those that it does not name.
    void onPeerLoads(const ReportStamp &stamp, const std::map<std::string, unsigned> &inFlight);

    /// Takes in how many requests another node has at work at one upstream; what it said of others stands.
    void onPeerLoad(const ReportStamp &stamp, const std::string &instance, unsigned inFlight);

    /// The node is not heard any more: what it had at work is not counted.
    void forgetPeer(const std::string &node);

private:
    bool mayHaveLapsed(Instant now) const;

    std::map<std::string, Upstream> m_upstreams;
    struct PeerLoad {
        unsigned inFlight = 0;
        std::uint64_t sequence = 0; ///< Of the report that told it.
    };

    struct Peer {
        std::int64_t startedAt = 0;
        std::uint64_t wholeSequence = 0; ///< Of the last report that told of all upstreams.
        std::map<std::string, PeerLoad> loads; ///< By upstream.
    };

    Peer *peerOf(const ReportStamp &stamp);
    void setLoad(Peer &peer, const std::string &instance, PeerLoad load);

    std::unordered_map<std::string, Peer> m_peers; ///< By node.
    struct LeftProcess {
        std::int64_t startedAt = 0;
        Http::Endpoint endpoint;

        friend bool operator==(const LeftProcess &, const LeftProcess &) = default;
    };

    std::map<std::string, LeftProcess> m_left; ///< Processes that have said that they leave, by instance.
    std::set<std::string> m_lapsed; ///< Without a record, since perhaps only the registry was away.
    bool m_registryLost = true;
    Instant m_registryBack{};
    Instant m_lastHeard{};
};

} // namespace Gypsumtally::Gateway
