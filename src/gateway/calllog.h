#pragma once

#include "common/verdict.h"
#include "gateway/call.h"
#include "logging/logging.h"

#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

// Fields of log lines about calls. None states a key. Thread-safe.

/// Returns @p time in ms.
std::string toMs(Duration time);

/// Returns true if the caller got the first event of a stream too late, or the stream has paused for too long.
bool isLate(const Call &call);

/// Returns the fields of a stream that was served whole.
std::vector<LogField> answeredFields(const Call &call, Instant now);

/// Returns the fields of a send that goes on with a stream. Precondition: the caller has an event of it.
std::vector<LogField> resumedFields(const Call &call);

/// Returns the fields of a begun answer that breaks off.
std::vector<LogField> brokenOffFields(const Call &call, const std::string &reason);

/// Returns the fields of a call that the end of the process cuts.
std::vector<LogField> cutFields(const Call &call, Instant now);

/// Returns the fields of a refusal or failure.
std::vector<LogField> refusedFields(const Call &call, unsigned status, ErrorCode code, const std::string &reason,
                                    Instant now);

/// Adds which stream the call takes up and at which software version, and which upstreams that leaves it.
void addPlaces(std::vector<LogField> &fields, const Call &call, const UpstreamCounts &counts);

/// Adds the version of the configuration that decides on requests, and for how long it has been in force. @p routes is
/// null if there is none.
void addConfiguration(std::vector<LogField> &fields, const RouteTable *routes, Instant configuredAt, Instant now);

/// Adds how long the call has waited, by cause.
void addWaits(std::vector<LogField> &fields, const Call &call);

} // namespace Gypsumtally::Gateway
