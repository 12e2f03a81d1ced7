#pragma once

#include "common/clock.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// State that an upstream announces in the headers of any answer.
struct UpstreamStatement {
    std::string instance; ///< Instance that made the statement; empty if not stated.
    bool isLeaving = false; ///< Accepts no new requests any more.
    std::optional<Duration> turnsAwayFor; ///< Time during which it applies backpressure to this node.
    std::vector<std::string> unreadable; ///< Headers with invalid values.
    /// Requests per second that it accepts from all nodes together; nothing if it states no limit.
    std::optional<double> requestLimit{};
    /// Refusals in a second for want of room that it bears; nothing if it does not state to be brittle.
    std::optional<unsigned> refusalsPerSecond{};
    bool isFull = false; ///< Refuses the request for want of room.

    friend bool operator==(const UpstreamStatement &, const UpstreamStatement &) = default;
};

/// Change that a statement caused.
struct StatementEffect {
    bool leaves = false; ///< The departure of the upstream is new.
    Duration turnedAwayFor{}; ///< Zero if it was already applying backpressure or does not do so.
    bool changesLimit = false; ///< The upstream's request limit is new, has another value or has ended.
    bool changesBrittleness = false; ///< The same for the brittleness of its service.
};

/// Applies @p statement from the answer to a request that was sent to @p process at @p sentAt. Ignores it if another
/// instance made it or if a new process has replaced @p process. Answers may overtake each other, so a request limit is
/// raised or ended only by the answer to a request that was sent after the limit was last stated; with the default
/// @p sentAt by none. Brittleness ends likewise, a while after any upstream of the service has last stated it. A
/// brittle upstream that refuses a request for want of room gets none for more than a second.
StatementEffect applyStatement(UpstreamTable &table, const UpstreamProcess &process, const UpstreamStatement &statement,
                               Instant now, Instant sentAt = {});

/// Records the request limit of @p process unless a later statement is known. Returns true if its value changes; a
/// value that is known already does not renew its time, as nodes repeat to each other what they know.
bool applyRequestLimit(UpstreamTable &table, const UpstreamProcess &process, const RequestLimit &limit);

/// Records what is known of the brittleness of @p service unless a later statement is known. Returns true if its value
/// changes.
bool applyBrittleness(UpstreamTable &table, const std::string &service, const Brittleness &brittleness);

/// Records that @p process has announced its departure to another node. Returns true if it was not recorded before.
bool applyDeparture(UpstreamTable &table, const UpstreamProcess &process);

/// Records that @p process applies backpressure to another node for @p time; this node then prefers other upstreams,
/// for a limited time. If the service is brittle, it sends nothing there meanwhile.
void applyTurnedAwayHint(UpstreamTable &table, const UpstreamProcess &process, Duration time, Instant now);

} // namespace Gypsumtally::Gateway
