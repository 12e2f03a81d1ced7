#pragma once

namespace Gypsumtally::Detail
{

/// Switches for the safeguards of ownership. Production code enables all of them. Tests disable one at a time to show
/// that the history checker detects the resulting violation.
struct Safeguards {
    bool dispatchOutsideGivenUp = true;
    bool evictOnlyGivenUp = true;
    bool requestsEndBeforeGivingUp = true;
    bool ordersSettleBeforeTakingOut = true;
    bool frozenWithPredecessors = true;
    bool predecessorsListed = true;
    bool releaseWaitsForOutstanding = true;
    bool goneWaitsForEngine = true;
    bool lostRequestsCount = true;
    bool lostWritesSettled = true;
    bool compareAndSwap = true;
};

} // namespace Gypsumtally::Detail
