#pragma once

#include "common/clock.h"
#include "common/identifiers.h"
#include "common/modelname.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// Identifies a request to an upstream; unique within one owner.
using RequestNumber = std::uint64_t;

/// The state of an engine as reported by `GET /v1/load`.
struct EngineReport {
    std::string engineIncarnation; ///< Identifies one run of the engine's process.
    Instant asOf{}; ///< No part of the report is older: the time of the query minus the engine's reporting lag.
    std::size_t slots = 0; ///< Number of adapter slots.
    std::vector<AdapterVersion> loaded;
    std::vector<AdapterVersion> loading;
    std::size_t otherAdapters = 0; ///< Slots used by adapters whose name is not of the form BASE/ADAPTER@VERSION.
    std::vector<std::string> running; ///< The `request_id` of each running or queued request.
};

/// Returns the `request_id` sent to an engine for request @p number of process @p incarnation. Thread-safe.
std::string engineRequestId(const Incarnation &incarnation, RequestNumber number);

/// Returns true if @p engineRequestId was sent by the process @p incarnation. Thread-safe.
bool wasSentBy(std::string_view engineRequestId, const Incarnation &incarnation);

} // namespace Gypsumtally
