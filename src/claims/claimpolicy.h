#pragma once

#include "common/clock.h"

#include <cstddef>

namespace Gypsumtally
{

/// Switches for the safeguards of ClaimKeeper. Only tests change them: they disable one at a time to show that the
/// history checker detects the resulting violation.
struct ClaimSafeguards {
    bool durableBeforeDispatch = true; ///< Grants only after the claim is written.
    bool createIfAbsent = true; ///< Creates a claim only if there is none.
    bool settleLostReplies = true; ///< After a lost reply, grants only once the claim is read back as its own.
    bool freeOnlyNotRun = true; ///< Releases a claim only if its call did not run.
    bool neverTakeOver = true; ///< Leaves the claims of ended incarnations unchanged.
    bool lookBack = true; ///< Also reads the claim in the previous bucket.
    bool fenceWindow = true; ///< Creates claims only in the bucket that is current in the store.
    bool compareFingerprint = true; ///< Replays an answer only to an identical request.
};

/// Settings of ClaimKeeper.
struct ClaimPolicy {
    Duration retention = std::chrono::hours{1}; ///< A claim is kept for at least this and at most about twice as long.
    Duration claimTimeout = std::chrono::milliseconds{500}; ///< Maximum wait of a call for its claim.
    Duration sendInterval = std::chrono::milliseconds{25}; ///< Minimum interval between groups of writes.
    Duration retryInterval = std::chrono::milliseconds{50}; ///< Delay after a failed group of writes.
    std::size_t maxGroupWrites = 40; ///< Maximum writes per transaction.
    std::size_t maxGroupsInFlight = 4; ///< Maximum transactions in flight.
    std::size_t maxGroupBytes = 512 * 1024; ///< Maximum bytes of answers per transaction, unless it has one write.
    std::size_t maxAnswerBytes = 16 * 1024; ///< Maximum bytes of an answer body that is kept for replay.
    std::size_t maxClaims = 20'000; ///< Maximum claims in memory; further calls are refused.
    Duration unavailableRetryAfter = std::chrono::seconds{1}; ///< Retry delay sent if a claim can't be made durable.
    Duration inProgressRetryAfter = std::chrono::milliseconds{500}; ///< Retry delay sent while an attempt is running.
    ClaimSafeguards safeguards;
};

} // namespace Gypsumtally
