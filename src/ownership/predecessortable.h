#pragma once

#include "ownership/enginerecord.h"
#include "ownership/ownershipaction.h"
#include "ownership/slottable.h"

#include <optional>
#include <vector>

namespace Gypsumtally
{

/// The earlier owners whose requests and orders the current owner waits for. Not thread-safe.
class PredecessorTable
{
public:
    /// @p releaseInterval is the interval between release calls to one predecessor.
    explicit PredecessorTable(Duration releaseInterval);

    /// Starts waiting for @p predecessors on behalf of the owner at @p epoch.
    void start(const std::vector<Predecessor> &predecessors, Epoch epoch);

    /// Records a predecessor's answer to the release call for @p newEpoch. Ignores answers for other epochs.
    void releaseAnswered(const Incarnation &incarnation, Epoch newEpoch, bool isFinished);

    /// Removes the process @p incarnation, which is finished.
    void finished(const Incarnation &incarnation);

    /// Records that the process @p incarnation has ended or that its VM no longer exists.
    void gone(const Incarnation &incarnation, Instant now);

    /// Removes the ended processes of which, according to @p slots, nothing can still take effect at the upstream.
    void settleGone(const SlotTable &slots);

    /// Appends the release calls that are due.
    void tick(Instant now, OwnershipActions &actions);

    /// Returns the predecessors not confirmed to be finished, in the record's order.
    std::vector<Predecessor> unfinished() const;

private:
    struct Entry {
        Predecessor predecessor;
        Instant nextReleaseCall{}; ///< When the next release call is due.
        std::optional<Instant> goneAt; ///< When its process was found to have ended.
    };

    Duration m_releaseInterval;
    Epoch m_epoch = 0;
    std::vector<Entry> m_entries;
};

} // namespace Gypsumtally
