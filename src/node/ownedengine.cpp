#include "node/ownedengine.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally
{

namespace
{

constexpr Duration pollInterval = std::chrono::milliseconds{250};
constexpr Duration reportLag = std::chrono::seconds{1}; ///< Maximum age of the state in a load report.
constexpr Duration giveUpTimeout = std::chrono::seconds{3};
constexpr Duration giveUpRetry = std::chrono::milliseconds{500};
constexpr Duration unservableTimeout = std::chrono::seconds{1};
constexpr Duration openOrderTimeout = std::chrono::seconds{3}; ///< Longer than an ordinary load.
constexpr Duration notOwnerRetryAfter = std::chrono::milliseconds{200};
constexpr int pollFailuresUntilLost = 4;
constexpr Http::RequestOptions pollOptions{.connectTimeout = std::chrono::milliseconds{500},
                                           .idleTimeout = std::chrono::seconds{1}};
// The idle timeout includes the wait of a load for the weight store. Connections are not reused, since the engine may
// be closing an idle one.
constexpr Http::RequestOptions orderOptions{
    .connectTimeout = std::chrono::seconds{1}, .idleTimeout = std::chrono::seconds{30}, .mayReuseConnection = false};

Failure notOwner()
{
    return {Verdict::NotRun, ErrorCode::NotOwner, "this node does not own the upstream", notOwnerRetryAfter};
}

} // namespace

OwnedEngine::OwnedEngine(Vm vm, const Predecessor &self, NodeIo &io, const SchedulerSettings &settings,
                         EngineObserver observer)
    : m_vm(std::move(vm))
    , m_self(self)
    , m_io(io)
    , m_observer(std::move(observer))
    , m_owner(m_vm.id, UpstreamKind::Engine, self, OwnershipSettings{})
    , m_scheduler(settings)
{
}

void OwnedEngine::setWanted(bool wanted, bool takesWork)
{
    if (std::exchange(m_takesWork, takesWork) && !takesWork) {
        SchedulerActions rejections;
        m_scheduler.rejectAll(notOwner(), rejections);
        perform(rejections);
    }
    if (m_wanted == wanted)
        return;
    m_wanted = wanted;
    OwnershipActions actions;
    if (wanted)
        m_owner.acquire(m_io.now(), actions);
    else
        m_owner.handOver();
    perform(actions);
}

void OwnedEngine::setVm(const Vm &vm)
{
    m_vm = vm;
}

void OwnedEngine::setSettings(const SchedulerSettings &settings)
{
    m_scheduler.setSettings(settings);
}

void OwnedEngine::submit(const CallAttributes &call, bool isolated)
{
    if (!m_owner.isOwner() || !m_takesWork) {
        m_observer.onReject(call.id, notOwner());
        return;
    }
    m_waiting.emplace(call.id, *call.model);
    if (isolated)
        m_isolated.emplace(call.id, *call.model);
    SchedulerActions actions;
    m_scheduler.add(call, m_io.now(), actions);
    perform(actions);
    pump();
}

bool OwnedEngine::cancelWaiting(CallId call)
{
    m_waiting.erase(call);
    m_isolated.erase(call);
    return m_scheduler.cancel(call);
}

void OwnedEngine::requestEnded(CallId call, SendOutcome outcome)
{
    m_isolated.erase(call);
    const auto found = m_requests.extract(call);
    if (!found)
        return;
    OwnershipActions actions;
    m_owner.endRequest(found.mapped(), outcome, m_io.now(), actions);
    perform(actions);
    m_scheduler.finished(call, m_io.now());
    pump();
}

void OwnedEngine::onRecord(const KeyValue &stored)
{
    OwnershipActions actions;
    m_owner.onRecord(stored, m_io.now(), actions);
    perform(actions);
}

bool OwnedEngine::releaseAsked(Epoch newEpoch)
{
    OwnershipActions actions;
    const bool isFinished = m_owner.releaseAsked(newEpoch, m_io.now(), actions);
    perform(actions);
    return isFinished;
}

void OwnedEngine::releaseAnswered(const Incarnation &asked, Epoch newEpoch, bool isFinished)
{
    OwnershipActions actions;
    m_owner.releaseAnswered(asked, newEpoch, isFinished, m_io.now(), actions);
    perform(actions);
}

void OwnedEngine::predecessorEnded(const Incarnation &incarnation)
{
    OwnershipActions actions;
    m_owner.predecessorEnded(incarnation, m_io.now(), actions);
    perform(actions);
}

void OwnedEngine::loadGranted(const AdapterVersion &adapter)
{
    m_scheduler.loadGranted(adapter, m_io.now());
    pump();
}

void OwnedEngine::prefetch(const AdapterVersion &adapter)
{
    if (!m_owner.isOwner())
        return;
    m_scheduler.prefetch(adapter, m_io.now());
    pump();
}

void OwnedEngine::tick()
{
    OwnershipActions actions;
    m_owner.tick(m_io.now(), actions);
    takeBackWanted(actions);
    perform(actions);
    updateGivingUp();
    rejectUnservable();
    if (m_owner.isOwner())
        pump();
    if (m_io.now() >= m_nextPoll && !m_polling && (m_owner.isOwner() || m_wanted))
        poll();
}

std::optional<Instant> OwnedEngine::nextWake() const
{
    return m_owner.isOwner() ? m_scheduler.nextWake() : std::nullopt;
}

const Vm &OwnedEngine::vm() const
{
    return m_vm;
}

const UpstreamOwner &OwnedEngine::owner() const
{
    return m_owner;
}

bool OwnedEngine::isIdle() const
{
    return !m_wanted && m_owner.isIdle() && m_pendingReplies == 0 && m_requests.empty();
}

UpstreamHint OwnedEngine::hint() const
{
    UpstreamHint hint;
    hint.upstream = m_vm.id;
    hint.owner = m_self.node;
    hint.epoch = m_owner.epoch();
    hint.sequence = ++m_hintSequence;
    hint.region = m_vm.region;
    hint.base = m_vm.base;
    hint.slots = static_cast<std::uint32_t>(m_slots);
    hint.freeSlots = static_cast<std::uint32_t>(m_owner.freeSlots());
    hint.concurrency = m_limiter.limit();
    const auto load = m_scheduler.load();
    hint.running = load.running;
    hint.waiting = load.waiting;
    hint.waitingLoads = load.waitingLoads;
    for (const auto &adapter : m_owner.loaded()) {
        if (m_owner.mayDispatch(adapter))
            hint.loaded.push_back(digestOf(adapter));
    }
    for (const auto &adapter : load.loading)
        hint.loading.push_back(digestOf(adapter));
    hint.leaving = !m_takesWork;
    return hint;
}

void OwnedEngine::perform(OwnershipActions &actions)
{
    for (const auto &action : std::exchange(actions, {})) {
        if (const auto *call = std::get_if<KeyCall>(&action))
            perform(*call);
        else if (const auto *order = std::get_if<SendOrder>(&action))
            perform(*order);
        else if (const auto *ask = std::get_if<AskRelease>(&action))
            m_observer.onAskRelease(*ask);
        else if (std::holds_alternative<OwnershipGained>(action))
            gained();
        else if (std::holds_alternative<OwnershipLost>(action))
            lost();
        else if (const auto *unreadable = std::get_if<RecordUnreadable>(&action))
            m_observer.onLogEvent("ownership_record_unreadable", unreadable->reason);
    }
}

void OwnedEngine::perform(const KeyCall &call)
{
    ++m_pendingReplies;
    m_io.store(call.operation, [this, tag = call.tag](const KeyReply &reply) {
        --m_pendingReplies;
        OwnershipActions actions;
        m_owner.keyReply(tag, reply, m_io.now(), actions);
        perform(actions);
        updateGivingUp();
        pump();
    });
}

void OwnedEngine::perform(const SendOrder &order)
{
    ++m_pendingReplies;
    m_io.fetch(
        ExchangeTarget::Upstream, m_vm.endpoint, orderRequest(order), orderOptions,
        [this, order](unsigned status, const Http::Headers &headers, const std::string &body) {
            --m_pendingReplies;
            orderEnded(order, parseOrderResult(status, headers, body));
        },
        [this, order](const Http::TransportFailure &failure) {
            --m_pendingReplies;
            OrderResult end;
            end.outcome = outcomeOf(failure);
            orderEnded(order, end);
        });
}

void OwnedEngine::orderEnded(const SendOrder &order, const OrderResult &end)
{
    OwnershipActions actions;
    m_owner.orderEnded(order.id, end.outcome, m_io.now(), actions);
    perform(actions);
    const bool isDone = end.outcome == SendOutcome::Done;
    SchedulerActions rejections;
    if (order.kind == OrderKind::Load) {
        m_observer.onLoadDone(order.adapter, end.isStoreBusy ? LoadEnd::Refused : LoadEnd::Finished, end.retryAfter);
        if (isDone)
            m_scheduler.loaded(order.adapter, m_io.now());
        else if (end.isStoreBusy)
            m_scheduler.loadDenied(order.adapter, end.retryAfter, m_io.now());
        else
            m_scheduler.loadFailed(order.adapter, end.isUnknownAdapter, m_io.now(), rejections);
    } else if (isDone) {
        m_scheduler.evicted(order.adapter, m_io.now());
    } else {
        m_scheduler.evictFailed(order.adapter, m_io.now());
    }
    if (!isDone)
        m_observer.onLogEvent("order_failed", std::string(nameOf(order.kind)) + ' ' + toModelName(order.adapter) + ' '
                                                  + std::string(nameOf(end.outcome)));
    perform(rejections);
    pump();
}

void OwnedEngine::gained()
{
    m_observer.onLogEvent("ownership_gained", std::to_string(m_owner.epoch()));
    m_engineIncarnation.clear();
    m_givingUp.clear();
    m_scheduler.setResidents(m_owner.loaded(), m_io.now());
    m_nextPoll = m_io.now();
}

void OwnedEngine::lost()
{
    m_observer.onLogEvent("ownership_lost", std::to_string(m_owner.epoch()));
    SchedulerActions actions;
    m_scheduler.rejectAll(notOwner(), actions);
    perform(actions);
}

bool OwnedEngine::Guard::mayDispatch(const AdapterVersion &adapter) const
{
    if (!engine.m_owner.mayDispatch(adapter))
        return false;
    if (engine.m_isolated.empty())
        return true;
    const auto isFor = [&](const auto &entry) { return entry.second == adapter; };
    return engine.m_requests.empty() && std::ranges::any_of(engine.m_isolated, isFor);
}

bool OwnedEngine::Guard::mayEvict(const AdapterVersion &adapter) const
{
    return engine.m_owner.mayEvict(adapter);
}

bool OwnedEngine::Guard::isLoaded(const AdapterVersion &adapter) const
{
    return engine.m_owner.isLoaded(adapter);
}

std::uint32_t OwnedEngine::Guard::freeSlots() const
{
    return static_cast<std::uint32_t>(engine.m_owner.freeSlots());
}

void OwnedEngine::pump()
{
    if (m_pumping || !m_owner.isOwner())
        return;
    m_pumping = true;
    SchedulerActions actions;
    do {
        actions.clear();
        m_scheduler.pump(Guard{*this}, m_io.now(), actions);
        perform(actions);
    } while (!actions.empty());
    m_pumping = false;
}

void OwnedEngine::perform(SchedulerActions &actions)
{
    for (const auto &action : actions) {
        OwnershipActions orders;
        if (const auto *dispatched = std::get_if<DispatchCall>(&action)) {
            dispatch(dispatched->call);
        } else if (const auto *wanted = std::get_if<RequestLoad>(&action)) {
            m_observer.onLoadWanted(wanted->adapter, wanted->priority);
        } else if (const auto *withdrawn = std::get_if<WithdrawLoad>(&action)) {
            m_observer.onLoadDone(withdrawn->adapter, LoadEnd::Withdrawn, {});
        } else if (const auto *load = std::get_if<LoadAdapter>(&action)) {
            if (!m_owner.load(load->adapter, orders)) {
                m_observer.onLoadDone(load->adapter, LoadEnd::Withdrawn, {});
                m_scheduler.loadDenied(load->adapter, giveUpRetry, m_io.now());
            }
        } else if (const auto *evict = std::get_if<EvictAdapter>(&action)) {
            if (!m_owner.evict(evict->adapter, orders))
                m_scheduler.evictFailed(evict->adapter, m_io.now());
        } else if (const auto *given = std::get_if<GiveUpAdapter>(&action)) {
            giveUp(given->adapter);
        } else if (const auto *rejected = std::get_if<RejectCall>(&action)) {
            reject(*rejected);
        }
        perform(orders);
    }
}

void OwnedEngine::dispatch(CallId call)
{
    const auto waiting = m_waiting.extract(call);
    const auto number = waiting ? m_owner.beginRequest(waiting.mapped()) : std::nullopt;
    if (!number) {
        m_scheduler.finished(call, m_io.now());
        m_observer.onReject(call, notOwner());
        return;
    }
    m_requests.emplace(call, *number);
    if (!m_observer.onDispatch(call, engineRequestId(m_self.incarnation, *number)))
        requestEnded(call, SendOutcome::NotSent);
}

void OwnedEngine::reject(const RejectCall &rejected)
{
    m_waiting.erase(rejected.call);
    m_isolated.erase(rejected.call);
    m_observer.onReject(rejected.call, rejected.failure);
}

void OwnedEngine::giveUp(const AdapterVersion &adapter)
{
    OwnershipActions actions;
    if (m_owner.giveUp(adapter, m_io.now(), actions))
        m_givingUp[adapter] = m_io.now() + giveUpTimeout;
    else
        m_scheduler.giveUpFailed(adapter, giveUpRetry, m_io.now());
    perform(actions);
}

void OwnedEngine::takeBackWanted(OwnershipActions &actions)
{
    for (const auto &[call, adapter] : m_waiting) {
        if (m_owner.isGivenUp(adapter) && !m_owner.isLoaded(adapter) && m_owner.mayTakeBack(adapter, m_io.now()))
            m_owner.takeBack(adapter, m_io.now(), actions);
    }
}

bool OwnedEngine::isUnservable(const AdapterVersion &adapter) const
{
    if (m_owner.isLoaded(adapter))
        return m_owner.isGivenUp(adapter);
    const bool hasNoSlot = m_owner.isFrozen() && m_owner.freeSlots() == 0;
    return m_owner.isGivenUp(adapter) || m_owner.isOrderOpen(adapter) || hasNoSlot;
}

void OwnedEngine::rejectUnservable()
{
    std::map<AdapterVersion, Instant> unservable;
    for (const auto &[call, adapter] : m_waiting) {
        if (!isUnservable(adapter))
            continue;
        const auto previous = m_unservable.find(adapter);
        unservable.emplace(adapter, previous == m_unservable.end() ? m_io.now() : previous->second);
    }
    m_unservable = std::move(unservable);
    SchedulerActions actions;
    for (const auto &[adapter, since] : m_unservable) {
        const auto timeout = m_owner.isOrderOpen(adapter) ? openOrderTimeout : unservableTimeout;
        if (m_io.now() - since >= timeout)
            m_scheduler.rejectWaiters(adapter,
                                      {Verdict::NotRun, ErrorCode::UpstreamRefused,
                                       "the engine can't load the adapter while earlier orders settle",
                                       unservableTimeout},
                                      actions);
    }
    perform(actions);
}

void OwnedEngine::updateGivingUp()
{
    std::erase_if(m_givingUp, [this](const auto &entry) {
        const auto &[adapter, waitUntil] = entry;
        if (m_owner.mayEvict(adapter)) {
            m_scheduler.givenUp(adapter, m_io.now());
            return true;
        }
        if (m_io.now() < waitUntil)
            return false;
        m_scheduler.giveUpFailed(adapter, giveUpRetry, m_io.now());
        return true;
    });
}

void OwnedEngine::poll()
{
    m_polling = true;
    ++m_pendingReplies;
    m_nextPoll = m_io.now() + pollInterval;
    const auto asOf = m_io.now() - reportLag;
    m_io.fetch(
        ExchangeTarget::Upstream, m_vm.endpoint, {"GET", "/v1/load", {}, {}}, pollOptions,
        [this, asOf](unsigned, const Http::Headers &, const std::string &body) {
            m_polling = false;
            --m_pendingReplies;
            if (const auto status = parseEngineStatus(body, asOf))
                polled(*status);
            else
                pollFailed();
        },
        [this](const Http::TransportFailure &) {
            m_polling = false;
            --m_pendingReplies;
            pollFailed();
        });
}

void OwnedEngine::polled(const EngineStatus &status)
{
    m_failedPolls = 0;
    m_observer.onContact(true);
    m_slots = status.report.slots;
    m_limiter.report({status.running, status.waiting, status.maxRunning}, static_cast<std::uint32_t>(m_requests.size()),
                     m_io.now());
    m_scheduler.setConcurrency(m_limiter.limit());
    OwnershipActions actions;
    m_owner.engineReported(status.report, m_io.now(), actions);
    perform(actions);
    if (m_engineIncarnation != status.report.engineIncarnation) {
        m_engineIncarnation = status.report.engineIncarnation;
        m_scheduler.setResidents(m_owner.loaded(), m_io.now());
    }
    updateGivingUp();
    pump();
}

void OwnedEngine::pollFailed()
{
    m_observer.onContact(false);
    if (++m_failedPolls == pollFailuresUntilLost) {
        m_observer.onLogEvent("engine_lost", m_vm.id.value);
        m_observer.onLost();
        SchedulerActions actions;
        m_scheduler.rejectAll({Verdict::NotRun, ErrorCode::NoUpstream, "the upstream does not answer", std::nullopt},
                              actions);
        perform(actions);
    }
}

} // namespace Gypsumtally
