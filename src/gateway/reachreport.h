#pragma once

#include "gateway/gatewaymessage.h"
#include "gateway/reachability.h"

#include <functional>
#include <set>
#include <string>

namespace Gypsumtally::Gateway
{

/// Returns what a node reaches of the upstreams in @p table; those of @p engineServices are engines. Counts only
/// engines for which @p counts returns true, if it is set. Thread-safe.
NodeReach reachOf(const UpstreamTable &table, const std::set<std::string> &engineServices,
                  const std::function<bool(const std::string &instance)> &counts = {});

/// Moves what other nodes must know now from @p reach to @p report. Returns false if there is nothing.
bool addReachNews(NodeReport &report, Reachability &reach, Instant now);

/// Adds all processes that this node is cut off from to a digest.
void addCuts(NodeReport &digest, const Reachability &reach);

/// Applies another node's report to the evidence of @p self. @p isNewest is false for a report that a later one has
/// overtaken; @p peers are the other live nodes.
void applyReachNews(Reachability &reach, const NodeReport &report, bool isNewest, const std::string &self,
                    const std::set<std::string> &peers, Instant now);

} // namespace Gypsumtally::Gateway
