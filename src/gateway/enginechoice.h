#pragma once

#include "estimates/servicespeed.h"
#include "gateway/upstreamroom.h"
#include "gateway/upstreamtable.h"
#include "gateway/waittimes.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The region of each failure domain.
using Regions = std::map<std::string, std::string>;

/// Returns the region of @p failureDomain; a domain that is not in @p regions is a region of its own. Thread-safe.
const std::string &regionOf(const std::string &failureDomain, const Regions &regions);

/// Time from the announcement of a prompt until its engine may begin to process it.
inline constexpr Duration promptTransit = std::chrono::milliseconds{60};

/// Part of the longest pause that a prompt may use with the streams' next event, as the engine may be slower than it is
/// known to be.
inline constexpr double stallFraction = 0.8;

/// The limits on prompts that keep them from stalling the streams of an engine.
struct PromptPace {
    Duration longestPause{}; ///< Longest pause of a stream between two events; zero: not bounded.
    unsigned tokensPerEvent = 1;
    double share = 1; ///< Fraction to use of the prompt tokens that the engine can process in such a pause.
};

/// Returns the estimated duration of a step of @p upstream relative to the engines of its service: above 1 for a slower
/// one, below 1 for a faster one, and 1 without an estimate. Thread-safe.
double slownessOf(const Upstream &upstream, const Estimates::Speed &speed);

/// Returns the same by the samples of about the last second, or the duration of answers relative to @p speed for an
/// upstream of a plain service. Without such samples, returns slownessOf(). Thread-safe.
double slownessNow(const Upstream &upstream, const Estimates::Speed &speed, Instant now);

/// Returns slownessNow(), or more if streams of this node have been without an event for longer than that explains.
/// Thread-safe.
double expectedSlowness(const Upstream &upstream, const Estimates::Speed &speed, Instant now);

/// Returns a lower bound of the slowness of @p upstream from the time for which all streams of this node there have
/// been without an event; 0 if there are none. Thread-safe.
double overdueSlowness(const Upstream &upstream, const Estimates::Speed &speed, Instant now);

/// Returns the number of prompt tokens that an engine can process within @c longestPause without any of its streams
/// pausing for longer. Thread-safe.
double tokensWithinPause(const PromptPace &pace, const Estimates::Speed &speed, double slowness);

/// The requirements of a request that decide which upstream can serve it, and how soon.
struct UpstreamDemand {
    std::string service;
    ModelTarget target; ///< Empty for a plain service.
    std::uint64_t minVersion = 0; ///< Oldest version of the adapter that may serve; 0 if any may.
    std::string failureDomain; ///< This node's.
    const Regions *regions = nullptr; ///< Null if regions are not known.
    std::vector<std::string> excluded; ///< Instances that have failed this request.
    double promptTokens = 0;
    PromptPace pace;
    Estimates::Speed speed; ///< The service's.
    std::string node{}; ///< This node.
    double limitShare = 1; ///< Fraction of upstreams' request limits that the nodes in contact with this one may use.
    const std::string *softwareVersion = nullptr; ///< The upstream's must be this one; null if any may serve.
    std::set<std::string> heldVersions{}; ///< Software versions that may not serve.
    Instant wantedBy = Instant::max(); ///< Time by which the first event serves the caller best.
    Instant latestSend = Instant::max(); ///< Upstreams that limit their requests are skipped if they are free later.
    bool isBehindCut = false; ///< Only upstreams that this node is cut off from, which serve the request of a peer.
    /// What the service states of being brittle: requests are sent only where there is room, see roomFor().
    std::optional<unsigned> refusalsPerSecond{};
    NodeRank rank{}; ///< This node's.
    double usualTokens
        = 0; ///< A smaller prompt is sent where one of this size would fit, so that it leaves those room.
    double slotShare = 1; ///< Fraction of an engine's slots that the request may use, see usableSlots().
    std::uint64_t spreadSeed = 0; ///< Spreads requests over the upstreams of a brittle service.
};

/// The upstream selected for a request.
struct UpstreamChoice {
    std::string instance;
    std::uint64_t version = 0; ///< Adapter version of the copy that will serve; 0 if it is not known.
    Instant usableAt{}; ///< End of the copy's load; in the past if it is loaded already.
    Instant sendAt{}; ///< Time to send: the engine has room for the prompt beside its streams; not before @c usableAt.
    bool isFull = false; ///< The upstream has no free slot, and it is not known when it will have one.
    bool isLimited = false; ///< The upstream limits its requests, so that the send has to be scheduled.
    bool isLent = false; ///< Uses a place of another node at a brittle upstream, so that the send has to be announced.
    bool isSuspect = false; ///< The upstream does not respond, or is avoided after a failure.
    double score = 0; ///< Expected time to first event by load and distance, plus penalties, in ms; lower is better.
};

/// The cost of distance to an upstream, in ms to be added to its score.
struct DistanceCost {
    double crossDomainMs = 3; ///< To another failure domain of the same region.
    /// To another region: 16 ms of round trip, and billed bytes worth 2% of a stream's benefit.
    double crossRegionMs = 40;
    double plainCrossRegionMs = 14; ///< To another region for a plain service, whose answers are short and urgent.
};

/// Returns the upstream with the lowest score, or nothing if none can serve. Scores combine load, distance, speed, and
/// penalties for upstreams that fail requests or don't respond. Thread-safe.
std::optional<UpstreamChoice> chooseUpstream(const UpstreamTable &table, const UpstreamDemand &demand, Instant now,
                                             const DistanceCost &cost = {});

/// Returns why a request that is to be sent as in @p choice, later than @p now, waits. Thread-safe.
WaitCause causeOf(const UpstreamChoice &choice, Instant now);

/// Returns true if a refusal of @p upstream probably means that its load of @p target has not ended yet. Thread-safe.
bool isStillLoading(const Upstream &upstream, const ModelTarget &target, Instant now);

/// Returns the number of slots of @p upstream that requests for @p target with @p share of them may use; at least one.
/// Requests of plain services, whose target is empty, use all that it states. Thread-safe.
unsigned usableSlots(const Upstream &upstream, const ModelTarget &target, double share, Instant now);

/// Returns true if an upstream of @p service that accepts requests has a free slot for requests for @p target with @p
/// share of its slots. Thread-safe.
bool hasFreeSlot(const UpstreamTable &table, const std::string &service, const ModelTarget &target, double share,
                 Instant now);

/// Returns true if the prompts that are recorded at @p upstream until now would make its streams pause for longer than
/// @p pace allows, by its recent samples; false without any. For a reserved prompt that is due to be sent. Thread-safe.
bool wouldStall(const Upstream &upstream, const PromptPace &pace, const Estimates::Speed &speed, Instant now);

/// Returns true if any upstream of @p service accepts requests of this node; of those of @p softwareVersion only, if it
/// is not null. Thread-safe.
bool hasUpstream(const UpstreamTable &table, const std::string &service, Instant now,
                 const std::string *softwareVersion = nullptr);

/// The upstreams of a service that stay in service, by what keeps requests of this node from them.
struct UpstreamCounts {
    unsigned open = 0; ///< Accept requests and respond.
    unsigned suspect = 0; ///< Do not respond, or are avoided after a failure.
    unsigned cutOff = 0; ///< This node is cut off from them.
    unsigned limiting = 0; ///< Apply backpressure to this node or limit their requests.
};

/// Returns the counts for the service of @p demand; of its software version only, if it names one. Thread-safe.
UpstreamCounts countUpstreams(const UpstreamTable &table, const UpstreamDemand &demand, Instant now);

/// Returns the upstreams of @p service that have another software version than @p softwareVersion. Thread-safe.
std::vector<std::string> upstreamsOfOtherSoftware(const UpstreamTable &table, const std::string &service,
                                                  const std::string &softwareVersion);

/// Returns the earliest time at which an upstream of @p service that now applies backpressure accepts requests again;
/// nothing if no upstream applies backpressure. Considers those of @p softwareVersion only, if it is not null.
/// Thread-safe.
std::optional<Instant> endOfBackpressure(const UpstreamTable &table, const std::string &service, Instant now,
                                         const std::string *softwareVersion = nullptr);

/// Returns true if an upstream of @p service that accepts requests could load @p target now: one that does not limit
/// its requests, or one that does and is free for an order. Considers those of @p softwareVersion only, if it is not
/// null. Thread-safe.
bool canLoad(const UpstreamTable &table, const std::string &service, const ModelTarget &target, double limitShare,
             Instant now, const std::string *softwareVersion = nullptr);

/// Returns the earliest time at which an upstream of @p service that limits its requests is free; nothing if none
/// does. Considers those of @p softwareVersion only, if it is not null. Thread-safe.
std::optional<Instant> endOfRequestLimit(const UpstreamTable &table, const std::string &service, double limitShare,
                                         Instant now, const std::string *softwareVersion = nullptr);

/// Returns the requests in flight per usable slot of the upstreams of @p service that accept requests: 1 if all are
/// taken or there are none, more if requests queue. Thread-safe.
double utilisationOf(const UpstreamTable &table, const std::string &service, Instant now);

/// Returns the number of this node's requests in flight at the upstreams of @p service. Thread-safe.
unsigned ownInFlightOf(const UpstreamTable &table, const std::string &service);

/// Returns the upstreams that hold a copy of @p target but cannot serve it now, because all their usable slots are
/// taken, they apply backpressure to this node, they limit their requests, or this node is cut off from them.
/// Thread-safe.
std::vector<std::string> saturatedEngines(const UpstreamTable &table, const ModelTarget &target, Instant now);

/// Updates the failure ratio of @p upstream with the outcome of a request.
void noteOutcome(Upstream &upstream, bool failed, Instant now);

/// Updates the step estimate of @p upstream with the time between two events of a stream, of @p tokensPerEvent each.
void notePause(Upstream &upstream, Duration pause, unsigned tokensPerEvent, Instant now);

/// Updates the step estimate of @p upstream with the one that another node reports, in ms for each token.
void noteStep(Upstream &upstream, double stepMs, Instant now);

} // namespace Gypsumtally::Gateway
