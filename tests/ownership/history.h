#pragma once

#include "common/clock.h"
#include "ownership/enginerecord.h"

#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// The kind of a recorded event.
enum class HistoryKind {
    Dispatched, ///< An owner decided to send a request.
    Served, ///< The engine completed a request.
    Ended, ///< A request can no longer run.
    Evicted, ///< An order removed an adapter from the engine.
    Written, ///< A record was written.
};

/// A recorded event.
struct HistoryEvent {
    HistoryKind kind = HistoryKind::Dispatched;
    Instant time{};
    std::string request; ///< The request's id at the engine.
    std::optional<AdapterVersion> adapter;
    std::optional<EngineRecord> record;
    std::string sender; ///< The incarnation that dispatched the request or ordered the eviction.
};

using History = std::vector<HistoryEvent>;

/// Returns a description of the first violation in @p history, or an empty string. Invariants: no adapter is evicted
/// between the dispatch and the end of a request on it; each change of owner raises the epoch by one and no other write
/// changes it; after @p healed each of @p adapters is served, and in the end no predecessor is listed.
std::string checkHistory(const History &history, Instant healed, const std::vector<AdapterVersion> &adapters);

} // namespace Gypsumtally::Testing
