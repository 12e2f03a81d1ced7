#pragma once

#include "processes/fleet.h"
#include "processes/workload.h"

#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Processes
{

/// The record of one run: the results of the callers and the journals of the upstreams.
struct History {
    std::vector<CallResult> results;
    std::vector<json::object> engineEvents;
    std::vector<json::object> serviceEvents;
};

/// Returns the results with the journals of all upstreams, including those whose process has ended.
History readHistory(Fleet &fleet, const Results &results);

/// Returns a description of each violated guarantee:
/// - a call with the verdict "not-run" that ran, or an answer to a call that did not run;
/// - an answer without a verdict;
/// - an answer that is truncated without an error or comes from another adapter, version or prompt;
/// - a booking that ran more than once;
/// - an adapter evicted while a request was using it;
/// - a call that exceeded its deadline;
/// - a call without a response at an entry that is not in @p lossyEntries.
/// Pure function.
std::vector<std::string> violations(const History &history, const std::set<std::size_t> &lossyEntries);

} // namespace Gypsumtally::Processes
