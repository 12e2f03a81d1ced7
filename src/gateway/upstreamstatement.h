#pragma once

#include "common/clock.h"
#include "gateway/upstreamtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// What an upstream says of itself in an answer, whatever it answers.
struct UpstreamStatement {
    std::string instance; ///< Who says so; empty if that is not stated.
    bool isLeaving = false; ///< Takes no new requests any more.
    std::optional<Duration> turnsAwayFor; ///< Wants no requests from this node for so long.
    std::vector<std::string> unreadable; ///< Headers whose values cannot be read.

    friend bool operator==(const UpstreamStatement &, const UpstreamStatement &) = default;
};

/// Which process of an upstream a request was sent to.
struct UpstreamProcess {
    std::string instance;
    std::int64_t startedAt = 0; ///< 0 if it is not known.
};

/// What a statement has changed.
struct StatementEffect {
    bool leaves = false; ///< The upstream was not known to leave.
    Duration turnedAwayFor{}; ///< Zero: it was turning away already, or does not.
};

/// Takes in @p statement of an answer to a request that was sent to @p process, unless another process has made it or
/// has taken the place of that one meanwhile.
StatementEffect applyStatement(UpstreamTable &table, const UpstreamProcess &process, const UpstreamStatement &statement,
                               Instant now);

/// Takes in that @p process has told another node that it leaves. Returns whether that is news.
bool applyDeparture(UpstreamTable &table, const UpstreamProcess &process);

/// Takes in that @p process has turned another node away for @p time: this one tries other upstreams first.
void applyTurnedAwayHint(UpstreamTable &table, const UpstreamProcess &process, Duration time, Instant now);

} // namespace Gypsumtally::Gateway
