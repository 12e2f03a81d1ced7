#pragma once

#include "common/clock.h"
#include "common/verdict.h"
#include "http/client.h"
#include "http/message.h"
#include "ownership/enginereport.h"
#include "ownership/ownershipaction.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Gypsumtally
{

/// Contents of an engine's answer to `GET /v1/load`.
struct EngineStatus {
    EngineReport report;
    std::uint32_t running = 0; ///< Number of requests that the report lists as running.
    std::uint32_t waiting = 0; ///< Number of requests queued at the engine.
    std::uint32_t maxRunning = 0; ///< Maximum number of requests that it runs at once; 0 if it reports none.
    bool checksFencing = false; ///< The engine rejects orders with an outdated fencing token.
};

/// Parses an engine's load report. Returns nothing if @p body is not a JSON object with an incarnation. @p asOf is
/// stored as EngineReport::asOf. Thread-safe.
std::optional<EngineStatus> parseEngineStatus(std::string_view body, Instant asOf);

/// Returns the HTTP request that sends an order to load or unload an adapter, with the epoch as its fencing token.
/// Thread-safe.
Http::Request orderRequest(const SendOrder &order);

/// Returns the HTTP request that cancels the engine's request @p requestId. Thread-safe.
Http::Request cancelRequest(const std::string &requestId);

/// Result of an order.
struct OrderResult {
    SendOutcome outcome = SendOutcome::Unknown;
    bool isUnknownAdapter = false; ///< The weight store does not hold the adapter; retrying is useless.
    bool isStoreBusy = false; ///< The weight store refused the load because of its rate limit.
    Duration retryAfter{}; ///< From the Retry-After header of a refusal; 0 if there is none.
};

/// Parses an engine's complete answer to an order. Thread-safe.
OrderResult parseOrderResult(unsigned status, const Http::Headers &headers, std::string_view body);

/// Returns the outcome of an order that failed without a complete answer. Thread-safe.
SendOutcome outcomeOf(const Http::TransportFailure &failure);

/// Converts an upstream's complete error answer to a failure. Its verdict is NotRun if the answer states
/// with an error code that the request did not start, otherwise MayHaveRun. Thread-safe.
Failure parseEngineError(unsigned status, std::string_view body);

} // namespace Gypsumtally
