#pragma once

#include "estimates/pacemargin.h"
#include "gateway/crashledger.h"
#include "gateway/enginechoice.h"
#include "gateway/retryallowance.h"
#include "gateway/trafficpolicy.h"
#include "gateway/upstreamstatement.h"
#include "gateway/upstreamtable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace Gypsumtally::Gateway
{

/// A version of an adapter that was declared, and when this node learned of it.
struct DeclaredVersion {
    std::uint64_t version = 0;
    Instant learned{};
};

/// How often and how many of the requests for one target are at work at this node.
struct TargetUse {
    std::string service;
    unsigned inFlight = 0;
    unsigned started = 0; ///< Since the last message to the holder.
};

/// What this node believes when it decides on a request. Loop's thread only.
struct CallContext {
    std::string failureDomain;
    Regions regions;
    std::shared_ptr<const RouteTable> routes; ///< Null until a configuration is known.
    UpstreamTable upstreams;
    std::map<std::string, Estimates::ServiceSpeed> speeds; ///< By service.
    std::map<std::string, Estimates::PaceMargin> paceMargins; ///< By service.
    RetryAllowance allowance{RetryBound{}};
    CrashLedger crashes;
    std::unordered_map<ModelTarget, DeclaredVersion> declared;
    std::unordered_map<ModelTarget, TargetUse> uses;
    std::size_t mostKeptBytes = 64 * 1024 * 1024; ///< Of answers that are kept until they are whole.
    bool mayLoadSoon = false; ///< Some node answers for loads, or this one has not heard yet which one does.
    /// Since when no node answers for loads. It is taken to last for as long again: outages differ by orders of
    /// magnitude.
    Instant noLoadsSince{};
    /// Asks a holder for a load, the @p attempt th time; copies at the engines in @p unfit do not help.
    std::function<void(const std::string &service, const ModelTarget &target, const std::vector<std::string> &unfit,
                       unsigned attempt)>
        onWanted;
    /// Tells the other nodes of a prompt that is sent to an engine, now or in a moment.
    std::function<void(const std::string &instance, double tokens, Duration in)> onPrompt;
    /// Tells the other nodes that a request of this one has ended at an upstream that is short of room.
    std::function<void(const std::string &instance)> onRelieved;
    /// Tells the holder that an engine does not hold a target.
    std::function<void(const std::string &instance, const ModelTarget &target)> onMissing;

    /// Tells the log and the other nodes what a statement of @p process has changed.
    std::function<void(const UpstreamProcess &process, const StatementEffect &effect,
                       const std::vector<std::string> &unreadable)>
        onStatement;

    /// Takes in what the answer to a request to @p process says of it.
    void takeIn(const UpstreamProcess &process, const UpstreamStatement &statement, Instant now);

    /// Returns the oldest version of @p target that may serve at @p now; 0 for any.
    std::uint64_t leastVersion(const ModelTarget &target, Instant now) const;
};

} // namespace Gypsumtally::Gateway
