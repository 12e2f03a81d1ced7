#include "node/enginetable.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds{50};
constexpr Duration unchangedHintInterval = std::chrono::seconds{2};

bool isSame(UpstreamHint first, const UpstreamHint &second)
{
    first.sequence = second.sequence;
    return first == second;
}

} // namespace

EngineTable::EngineTable(NodeIo &io, Membership &membership, PeerLinks &peers, EngineCallbacks callbacks)
    : m_io(io)
    , m_membership(membership)
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_broker(io, membership, peers,
               [this](const UpstreamId &upstream, const AdapterVersion &adapter) {
                   if (auto *engine = find(upstream))
                       engine->loadGranted(adapter);
               })
    , m_settings([](const Vm &) { return SchedulerSettings{}; })
{
}

OwnedEngine *EngineTable::find(const UpstreamId &upstream)
{
    const auto found = m_engines.find(upstream);
    return found == m_engines.end() ? nullptr : found->second.get();
}

const std::map<UpstreamId, std::unique_ptr<OwnedEngine>> &EngineTable::engines() const
{
    return m_engines;
}

LoadBrokerRole &EngineTable::broker()
{
    return m_broker;
}

void EngineTable::setSettings(std::function<SchedulerSettings(const Vm &)> settings)
{
    m_settings = std::move(settings);
    for (const auto &[id, engine] : m_engines)
        engine->setSettings(m_settings(engine->vm()));
}

OwnedEngine &EngineTable::add(const Vm &vm)
{
    const auto id = vm.id;
    EngineObserver observer;
    observer.onDispatch = m_callbacks.onDispatch;
    observer.onReject = m_callbacks.onReject;
    observer.onLost = [this, id] { m_callbacks.onLost(id); };
    observer.onAskRelease = [this, id](const AskRelease &ask) { askRelease(id, ask); };
    observer.onLoadWanted = [this, id](const AdapterVersion &adapter, const LoadPriority &priority) {
        m_broker.requestLoad(id, adapter, priority);
    };
    observer.onLoadDone = [this, id](const AdapterVersion &adapter, LoadEnd end, Duration retryAfter) {
        m_broker.reportLoadEnd(id, adapter, end, retryAfter);
    };
    observer.onContact = [this, id](bool reachable) {
        if (reachable)
            m_membership.contactSucceeded(id);
        else
            m_membership.contactFailed(id, m_io.now());
    };
    observer.onLogEvent = [this, id](const std::string &event, const std::string &detail) {
        m_io.emit(LogEntry{Severity::Info, event, {{"upstream", id.value}, {"detail", detail}}});
    };
    const auto &self = m_membership.self();
    auto engine = std::make_unique<OwnedEngine>(vm, Predecessor{self.id, self.incarnation}, m_io, m_settings(vm),
                                                std::move(observer));
    auto &added = *m_engines.emplace(id, std::move(engine)).first->second;
    if (const auto record = m_records.find(id); record != m_records.end())
        added.onRecord(record->second);
    return added;
}

void EngineTable::refresh()
{
    for (const auto &[id, member] : m_membership.upstreams()) {
        if (member.vm.role != VmRole::Engine)
            continue;
        const bool isWanted = m_membership.preferredOwner(member.vm) == m_membership.self().id;
        auto *engine = find(id);
        if (!engine && isWanted)
            engine = &add(member.vm);
        if (!engine)
            continue;
        engine->setVm(member.vm);
        engine->setWanted(isWanted, !member.vm.leaving && !member.drained);
    }
    for (const auto &[id, engine] : m_engines) {
        if (!m_membership.upstream(id))
            engine->setWanted(false, false);
    }
}

void EngineTable::removeIdle()
{
    std::erase_if(m_engines, [](const auto &entry) { return entry.second->isIdle(); });
}

void EngineTable::onRecord(const KeyValue &stored)
{
    const UpstreamId id{stored.key.substr(engineRecordPrefix.size())};
    m_records[id] = stored;
    if (auto *engine = find(id))
        engine->onRecord(stored);
}

void EngineTable::askRelease(const UpstreamId &upstream, const AskRelease &ask)
{
    if (hasEnded(ask)) {
        if (auto *engine = find(upstream))
            engine->predecessorEnded(ask.incarnation);
        return;
    }
    m_peers.send(ask.node, ReleaseAsk{upstream, ask.incarnation, ask.newEpoch});
}

bool EngineTable::hasEnded(const AskRelease &ask) const
{
    const auto *node = m_membership.node(ask.node);
    if (node)
        return node->incarnation != ask.incarnation;
    return m_membership.isEntryGone(ask.node);
}

void EngineTable::handle(const NodeId &from, const ReleaseAsk &ask)
{
    ReleaseAnswer answer{ask.upstream, ask.asked, ask.newEpoch, false, false};
    answer.isEnded = ask.asked != m_membership.self().incarnation;
    if (!answer.isEnded) {
        auto *engine = find(ask.upstream);
        // Even a process with no state for the engine must refuse to act at the epochs that the new owner replaces.
        if (!engine) {
            const auto *member = m_membership.upstream(ask.upstream);
            Vm unlisted;
            unlisted.id = ask.upstream;
            engine = &add(member ? member->vm : unlisted);
        }
        answer.isFinished = engine->releaseAsked(ask.newEpoch);
    }
    m_peers.send(from, answer);
}

void EngineTable::handle(const ReleaseAnswer &answer)
{
    auto *engine = find(answer.upstream);
    if (!engine)
        return;
    if (answer.isEnded)
        engine->predecessorEnded(answer.asked);
    else
        engine->releaseAnswered(answer.asked, answer.newEpoch, answer.isFinished);
}

void EngineTable::tick()
{
    m_broker.tick();
    const auto now = m_io.now();
    const bool isDue = now >= m_nextTick;
    if (isDue)
        m_nextTick = now + tickInterval;
    for (const auto &[id, engine] : m_engines) {
        const auto wake = engine->nextWake();
        if (isDue || (wake && now >= *wake))
            engine->tick();
    }
}

void EngineTable::broadcastHints(const std::function<void(const UpstreamHint &)> &onHint)
{
    for (const auto &[id, engine] : m_engines) {
        if (!engine->owner().isOwner())
            continue;
        auto hint = engine->hint();
        auto &[sent, sentAt] = m_sentHints[id];
        if (isSame(sent, hint) && m_io.now() < sentAt + unchangedHintInterval)
            continue;
        sent = hint;
        sentAt = m_io.now();
        m_peers.broadcast(HintMessage{hint});
        onHint(hint);
    }
}

std::size_t EngineTable::owned() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_engines, [](const auto &entry) { return entry.second->owner().isOwner(); }));
}

bool EngineTable::isFinished() const
{
    for (const auto &[id, engine] : m_engines) {
        if (engine->owner().isOwner() || !engine->owner().isFinished())
            return false;
    }
    return true;
}

} // namespace Gypsumtally
