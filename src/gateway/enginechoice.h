#pragma once

#include "estimates/servicespeed.h"
#include "gateway/upstreamtable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The region of each failure domain.
using Regions = std::map<std::string, std::string>;

/// Returns the region of @p failureDomain; a domain that is not in @p regions is a region of its own. Thread-safe.
const std::string &regionOf(const std::string &failureDomain, const Regions &regions);

/// What keeps prompts from stalling the streams of an engine.
struct PromptPace {
    Duration longestPause{}; ///< Of a stream, between two events; zero: not bounded.
    unsigned tokensPerEvent = 1;
    double share = 1; ///< Of what the engine can read in such a pause.
};

/// Returns how many times longer than the engines of its service @p upstream takes for each step, as far as was learnt;
/// below 1 for a faster one. Thread-safe.
double slownessOf(const Upstream &upstream, const Estimates::Speed &speed);

/// Returns how many prompt tokens an engine can read within @c longestPause beside its streams, without one of them
/// pausing longer. Thread-safe.
double tokensWithinPause(const PromptPace &pace, const Estimates::Speed &speed, double slowness);

/// What a request needs of an upstream.
struct UpstreamDemand {
    std::string service;
    ModelTarget target; ///< Empty for a plain service.
    std::uint64_t leastVersion = 0; ///< Copies of an older version do not serve; 0 for any.
    std::string failureDomain; ///< Of this node.
    const Regions *regions = nullptr; ///< Null: not known.
    std::vector<std::string> excluded; ///< Upstreams that have failed this request.
    double promptTokens = 0;
    PromptPace pace;
    Estimates::Speed speed; ///< Of the service.
};

struct UpstreamChoice {
    std::string instance;
    std::uint64_t version = 0; ///< Of the copy that will serve; 0 if it is not known.
    Instant usableAt{}; ///< When the copy's load ends; in the past for one that is there.
    Instant sendAt{}; ///< When the engine can read the prompt beside its streams; not before @c usableAt.
    bool isFull = false; ///< Nobody knows when the upstream will have room.
    double score = 0; ///< Expected time to a first event, in ms, as far as load decides it.
};

/// What a way to an upstream counts, beside its load.
struct DistanceCost {
    double crossDomainMs = 3; ///< What a way to another failure domain counts.
    /// What a way to another region counts: 16 ms there and back, and billed bytes worth 2% of a stream's benefit.
    double crossRegionMs = 40;
    double plainCrossRegionMs = 14; ///< Of a plain service, whose answers are short and urgent.
};

/// Returns the upstream that will answer soonest, or nothing if none can serve. Balances by load, distance, and what
/// was seen to fail or to be slow. Thread-safe.
std::optional<UpstreamChoice> chooseUpstream(const UpstreamTable &table, const UpstreamDemand &demand, Instant now,
                                             const DistanceCost &cost = {});

/// Whether any upstream of @p service takes requests of this node. Thread-safe.
bool hasUpstream(const UpstreamTable &table, const std::string &service, Instant now);

/// Returns when the first upstream of @p service takes requests again that wants none at present; nothing if there is
/// no such one. Thread-safe.
std::optional<Instant> nextReturn(const UpstreamTable &table, const std::string &service, Instant now);

/// Returns the part of the slots of @p service's upstreams that is taken, from 0 to 1 and beyond. Thread-safe.
double utilisationOf(const UpstreamTable &table, const std::string &service, Instant now);

/// Returns the upstreams that have a copy of @p target and cannot serve it at present: they have no room, or want no
/// requests of this node. Thread-safe.
std::vector<std::string> holdersWithoutRoom(const UpstreamTable &table, const ModelTarget &target, Instant now);

/// Counts how a request ended at @p upstream, for its failure ratio.
void noteOutcome(Upstream &upstream, bool failed, Instant now);

/// Counts the time between two events of a stream, of @p tokensPerEvent each, for the upstream's speed.
void notePause(Upstream &upstream, Duration pause, unsigned tokensPerEvent, Instant now);

/// Takes in the time for a token that another node has learnt.
void noteStep(Upstream &upstream, double stepMs, Instant now);

} // namespace Gypsumtally::Gateway
