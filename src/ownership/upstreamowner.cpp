#include "ownership/upstreamowner.h"

#include <algorithm>

namespace Gypsumtally
{

UpstreamOwner::UpstreamOwner(const UpstreamId &upstream, UpstreamKind kind, const Predecessor &self,
                             const OwnershipSettings &settings, Detail::Safeguards guards)
    : m_kind(kind)
    , m_guards(guards)
    , m_keeper(engineRecordKey(upstream), self, settings, guards)
    , m_slots(self.incarnation, settings.lateBytesBound, guards)
    , m_predecessors(settings.releaseInterval)
{
}

void UpstreamOwner::acquire(Instant now, OwnershipActions &actions)
{
    m_keeper.setWanted(true);
    advance(now, actions);
}

void UpstreamOwner::handOver()
{
    m_keeper.setWanted(false);
}

void UpstreamOwner::tick(Instant now, OwnershipActions &actions)
{
    advance(now, actions);
}

void UpstreamOwner::keyReply(std::uint64_t tag, const KeyReply &reply, Instant now, OwnershipActions &actions)
{
    if (m_keeper.keyReply(tag, reply, now, actions))
        advance(now, actions);
}

void UpstreamOwner::onRecord(const KeyValue &stored, Instant now, OwnershipActions &actions)
{
    m_keeper.onRecord(stored, now, actions);
    advance(now, actions);
}

bool UpstreamOwner::releaseAsked(Epoch newEpoch, Instant now, OwnershipActions &actions)
{
    m_keeper.supersede(newEpoch, now, actions);
    advance(now, actions);
    if (isOwner())
        return false;
    return isFinished() || !m_guards.releaseWaitsForOutstanding;
}

void UpstreamOwner::releaseAnswered(const Incarnation &incarnation, Epoch newEpoch, bool isFinished, Instant now,
                                    OwnershipActions &actions)
{
    m_predecessors.releaseAnswered(incarnation, newEpoch, isFinished);
    advance(now, actions);
}

void UpstreamOwner::predecessorEnded(const Incarnation &incarnation, Instant now, OwnershipActions &actions)
{
    // A plain service has no slots to protect and doesn't report its running requests.
    if (m_kind == UpstreamKind::Service)
        m_predecessors.finished(incarnation);
    else
        m_predecessors.gone(incarnation, now);
    advance(now, actions);
}

void UpstreamOwner::engineReported(EngineReport report, Instant now, OwnershipActions &actions)
{
    m_slots.engineReported(std::move(report));
    advance(now, actions);
}

void UpstreamOwner::orderEnded(OrderId id, SendOutcome outcome, Instant now, OwnershipActions &actions)
{
    m_slots.endOrder(id, outcome, now);
    advance(now, actions);
}

std::optional<RequestNumber> UpstreamOwner::beginRequest(const std::optional<AdapterVersion> &adapter)
{
    if (!isOwner() || (adapter && !mayDispatch(*adapter)))
        return std::nullopt;
    return m_slots.beginRequest(adapter);
}

void UpstreamOwner::endRequest(RequestNumber number, SendOutcome outcome, Instant now, OwnershipActions &actions)
{
    m_slots.endRequest(number, outcome, now);
    advance(now, actions);
}

bool UpstreamOwner::giveUp(const AdapterVersion &adapter, Instant now, OwnershipActions &actions)
{
    return giveUp(std::vector{adapter}, now, actions) == 1;
}

std::size_t UpstreamOwner::giveUp(const std::vector<AdapterVersion> &adapters, Instant now, OwnershipActions &actions)
{
    std::size_t taken = 0;
    for (const auto &adapter : adapters) {
        if (mayGiveUp(adapter, now))
            taken += m_toGiveUp.insert(adapter).second;
    }
    if (taken > 0)
        advance(now, actions);
    return taken;
}

bool UpstreamOwner::takeBack(const AdapterVersion &adapter, Instant now, OwnershipActions &actions)
{
    if (!mayTakeBack(adapter, now))
        return false;
    m_toTakeBack.insert(adapter);
    advance(now, actions);
    return true;
}

std::optional<OrderId> UpstreamOwner::load(const AdapterVersion &adapter, OwnershipActions &actions)
{
    if (!mayLoad(adapter))
        return std::nullopt;
    const OrderId id = m_slots.beginOrder(OrderKind::Load, adapter);
    actions.push_back(SendOrder{id, OrderKind::Load, adapter, epoch()});
    return id;
}

std::optional<OrderId> UpstreamOwner::evict(const AdapterVersion &adapter, OwnershipActions &actions)
{
    if (!mayEvict(adapter))
        return std::nullopt;
    const OrderId id = m_slots.beginOrder(OrderKind::Unload, adapter);
    actions.push_back(SendOrder{id, OrderKind::Unload, adapter, epoch()});
    return id;
}

bool UpstreamOwner::isOwner() const
{
    return m_keeper.isOwner();
}

Epoch UpstreamOwner::epoch() const
{
    return record().epoch;
}

const EngineRecord &UpstreamOwner::record() const
{
    return m_keeper.record();
}

bool UpstreamOwner::isOrderOpen(const AdapterVersion &adapter) const
{
    return m_slots.isOrderOpen(adapter);
}

bool UpstreamOwner::isLoaded(const AdapterVersion &adapter) const
{
    return m_slots.isLoaded(adapter);
}

std::vector<AdapterVersion> UpstreamOwner::loaded() const
{
    return m_slots.loaded();
}

bool UpstreamOwner::isGivenUp(const AdapterVersion &adapter) const
{
    return m_keeper.mayBeGivenUp(adapter) || m_toGiveUp.contains(adapter);
}

bool UpstreamOwner::mayDispatch(const AdapterVersion &adapter) const
{
    const bool isBlocked = m_guards.dispatchOutsideGivenUp && isGivenUp(adapter);
    return isOwner() && isLoaded(adapter) && !isBlocked;
}

bool UpstreamOwner::mayLoad(const AdapterVersion &adapter) const
{
    const bool isBlocked = m_guards.dispatchOutsideGivenUp && isGivenUp(adapter);
    return isOwner() && freeSlots() > 0 && !isBlocked && !isLoaded(adapter)
           && !m_slots.hasOrder(OrderKind::Load, adapter);
}

bool UpstreamOwner::mayEvict(const AdapterVersion &adapter) const
{
    const bool isSafe = m_keeper.isConfirmedGivenUp(adapter) || !m_guards.evictOnlyGivenUp;
    return isOwner() && isLoaded(adapter) && isSafe && !m_slots.isOrderOpen(adapter);
}

bool UpstreamOwner::mayGiveUp(const AdapterVersion &adapter, Instant now) const
{
    const bool isInUse = m_guards.requestsEndBeforeGivingUp && m_slots.hasRequest(adapter);
    return mayChangeGivenUp(now) && isLoaded(adapter) && !isGivenUp(adapter) && !isInUse;
}

bool UpstreamOwner::mayTakeBack(const AdapterVersion &adapter, Instant now) const
{
    const bool isBeingEvicted = m_guards.ordersSettleBeforeTakingOut && m_slots.hasOrder(OrderKind::Unload, adapter);
    return mayChangeGivenUp(now) && m_keeper.isConfirmedGivenUp(adapter) && !isBeingEvicted;
}

std::size_t UpstreamOwner::freeSlots() const
{
    return m_slots.freeSlots();
}

bool UpstreamOwner::isFrozen() const
{
    return m_guards.frozenWithPredecessors && !m_predecessors.unfinished().empty();
}

bool UpstreamOwner::isFinished() const
{
    return m_slots.isFinished();
}

bool UpstreamOwner::isIdle() const
{
    return !isOwner() && isFinished() && !m_keeper.isWriting();
}

/// Updates the state after an event: starts or ends ownership and appends the calls that are due.
void UpstreamOwner::advance(Instant now, OwnershipActions &actions)
{
    m_keeper.tick(now, actions);
    // An adapter gets no requests while a change that gives it up is pending. So drop changes that can't be written
    // soon, for example while the key-value service is down.
    if (!m_keeper.mayChange(now))
        dropRequestedChanges();
    if (!isOwner())
        return;
    if (m_startedEpoch != epoch())
        startOwnership();
    m_predecessors.settleGone(m_slots);
    m_predecessors.tick(now, actions);
    if (!m_keeper.mayUpdate(now))
        return;
    EngineRecord next = nextRecord();
    dropRequestedChanges();
    if (next != record())
        m_keeper.update(std::move(next), actions);
}

void UpstreamOwner::dropRequestedChanges()
{
    m_toGiveUp.clear();
    m_toTakeBack.clear();
}

void UpstreamOwner::startOwnership()
{
    m_startedEpoch = epoch();
    m_predecessors.start(record().predecessors, epoch());
}

EngineRecord UpstreamOwner::nextRecord() const
{
    EngineRecord next = record();
    next.predecessors = m_predecessors.unfinished();
    if (!isFrozen() && !(m_toGiveUp.empty() && m_toTakeBack.empty()))
        next.givenUp = nextGivenUp();
    return next;
}

std::set<AdapterVersion> UpstreamOwner::nextGivenUp() const
{
    std::set<AdapterVersion> givenUp = m_toGiveUp;
    std::ranges::copy_if(record().givenUp, std::inserter(givenUp, givenUp.end()),
                         [this](const auto &adapter) { return staysGivenUp(adapter); });
    return givenUp;
}

bool UpstreamOwner::staysGivenUp(const AdapterVersion &adapter) const
{
    if (m_guards.ordersSettleBeforeTakingOut && m_slots.hasOrder(OrderKind::Unload, adapter))
        return true;
    return isLoaded(adapter) && !m_toTakeBack.contains(adapter);
}

bool UpstreamOwner::mayChangeGivenUp(Instant now) const
{
    return isOwner() && !isFrozen() && m_keeper.mayChange(now);
}

} // namespace Gypsumtally
