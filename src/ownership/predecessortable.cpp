#include "ownership/predecessortable.h"

namespace Gypsumtally
{

PredecessorTable::PredecessorTable(Duration releaseInterval)
    : m_releaseInterval(releaseInterval)
{
}

void PredecessorTable::start(const std::vector<Predecessor> &predecessors, Epoch epoch)
{
    m_epoch = epoch;
    m_entries.clear();
    for (const auto &predecessor : predecessors)
        m_entries.push_back({predecessor, {}, std::nullopt});
}

void PredecessorTable::releaseAnswered(const Incarnation &incarnation, Epoch newEpoch, bool isFinished)
{
    // An answer for an earlier epoch does not cover what the process did as a later owner.
    if (newEpoch == m_epoch && isFinished)
        finished(incarnation);
}

void PredecessorTable::finished(const Incarnation &incarnation)
{
    std::erase_if(m_entries, [&](const Entry &entry) { return entry.predecessor.incarnation == incarnation; });
}

void PredecessorTable::gone(const Incarnation &incarnation, Instant now)
{
    for (auto &entry : m_entries) {
        if (entry.predecessor.incarnation == incarnation && !entry.goneAt)
            entry.goneAt = now;
    }
}

void PredecessorTable::settleGone(const SlotTable &slots)
{
    std::erase_if(m_entries, [&](const Entry &entry) {
        return entry.goneAt && slots.isFinished(entry.predecessor.incarnation, *entry.goneAt);
    });
}

void PredecessorTable::tick(Instant now, OwnershipActions &actions)
{
    for (auto &entry : m_entries) {
        if (entry.goneAt || now < entry.nextReleaseCall)
            continue;
        entry.nextReleaseCall = now + m_releaseInterval;
        actions.push_back(AskRelease{entry.predecessor.node, entry.predecessor.incarnation, m_epoch});
    }
}

std::vector<Predecessor> PredecessorTable::unfinished() const
{
    std::vector<Predecessor> predecessors;
    for (const auto &entry : m_entries)
        predecessors.push_back(entry.predecessor);
    return predecessors;
}

} // namespace Gypsumtally
