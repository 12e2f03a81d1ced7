#pragma once

#include "common/clock.h"

#include <cstddef>
#include <cstdint>

namespace Gypsumtally
{

/// Safeguards of Quarantine. Only tests turn one off, to check that their invariants then fail.
struct QuarantineSafeguards {
    bool isolateSuspects = true; ///< Run a suspect only on an upstream without other work.
    bool requireIsolation = true; ///< Quarantine only for crashes of upstreams that ran nothing else.
    bool separateEvents = true; ///< Count crashes that may have a common cause as one event.
    bool discountCorrelated = true; ///< Treat crashes near others in the same failure domain as inconclusive.
    bool clearCompleted = true; ///< Discount crashes before a request with the same content completed.
    bool shareRecords = true; ///< Share crashes and quarantined requests with other nodes.
};

/// Settings of Quarantine.
struct QuarantinePolicy {
    Duration burstWindow = std::chrono::seconds{2}; ///< Crashes within this time may have a common cause.
    Duration refreshInterval = std::chrono::seconds{1}; ///< Time between reads of the shared records.
    Duration freshness = std::chrono::milliseconds{100}; ///< Maximum age of the shared records for running a suspect.
    Duration outageAfter = std::chrono::milliseconds{1500}; ///< Age of the records from which freshness is waived.
    Duration retryInterval = std::chrono::milliseconds{200}; ///< Delay before retrying a failed write.
    /// Time after which other nodes write a quarantine that the crash's recorder has not written.
    Duration takeoverDelay = std::chrono::seconds{5};
    Duration evidenceLifetime = std::chrono::hours{1}; ///< Time for which a crash counts.
    std::uint32_t inconclusiveLimit = 3; ///< Number of inconclusive isolated crashes that suffice for a quarantine.
    std::size_t maxSuspects = 256; ///< Maximum number of suspects in a crash record.
    std::size_t maxCompleted = 16'384; ///< Maximum number of fingerprints whose last completion is remembered.
    QuarantineSafeguards safeguards;
};

} // namespace Gypsumtally
