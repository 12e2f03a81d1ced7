#include "node/nodecore.h"

#include "entry/failureresponse.h"
#include "membership/drainrecord.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

constexpr Duration refreshInterval = std::chrono::milliseconds{250};
constexpr Duration hintInterval = std::chrono::milliseconds{200};
constexpr Duration registrationRetry = std::chrono::milliseconds{500};
constexpr Duration handoverTimeout = std::chrono::seconds{10};
constexpr Duration heartbeatInterval = std::chrono::seconds{1};
constexpr Duration listingLag = std::chrono::seconds{1}; ///< Time until other nodes no longer list a stopping node.

std::uint64_t seedOf(const Incarnation &incarnation)
{
    return std::hash<std::string>{}(incarnation.value);
}

KeeperOptions keeperOptions(const NodeRecord &self)
{
    KeeperOptions options;
    options.seed = seedOf(self.incarnation);
    return options;
}

std::unique_ptr<RetryPolicy> retryPolicy(const NodeRecord &self, const FleetSettings &settings)
{
    RetryBudgetPolicy budget;
    budget.ratio = settings.retryBudget;
    budget.capacity = std::max(1.0, static_cast<double>(settings.retryBurst));
    return std::make_unique<RetryPolicy>(RetrySettings{}, budget, seedOf(self.incarnation));
}

PolicyWeights weightsOf(const FleetSettings &settings)
{
    return {settings.loadStallWeight, settings.batchEfficiencyWeight};
}

Http::Response jsonResponse(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

NodeCore::NodeCore(NodeOptions options)
    : m_membership(options.self)
    , m_peers(m_io, m_membership, std::move(options.peerKey),
              [this] {
                  return PeerState{m_configuration.keeper().versionInForce(), m_calls.active()};
              })
    , m_router(options.self.id, options.self.region)
    , m_claims(options.self.incarnation, ClaimPolicy{})
    , m_retries(retryPolicy(options.self, FleetSettings{}))
    , m_quarantine(options.self.incarnation, QuarantinePolicy{})
    , m_engines(m_io, m_membership, m_peers,
                {[this](CallId call, const std::string &requestId) { return m_calls.dispatch(call, requestId); },
                 [this](CallId call, const Failure &failure) { m_calls.rejected(call, failure); },
                 [this](const UpstreamId &upstream) { m_calls.upstreamLost(upstream); }})
    , m_calls({m_io, m_membership, m_hints, m_router, m_admission, m_claims, m_retries, m_quarantine, m_peers,
               [this](const UpstreamId &upstream) { return m_engines.find(upstream); },
               [this](Call &call) { applyConfiguration(call); }},
              [this](const CallEnd &end) { callEnded(end); })
    , m_configuration(
          m_io, m_membership, m_peers, keeperOptions(options.self),
          [this](ConfigurationVersion version, const auto &configuration) { installed(version, configuration); })
    , m_control({m_io, m_membership, m_hints, m_router, m_engines, m_calls, m_quarantine, m_configuration, m_burn,
                 m_peerStates, [this](const Vm &vm) { return settingsOf(vm).fencingChecked; },
                 [this] { return m_hasStore; }, [this](const PeerBatch &batch) { deliver(batch); }})
{
    m_peers.onSilent([this](const NodeId &node) { m_calls.peerSilent(node); });
    m_router.setMembers({options.self.id});
    installed(0, std::make_shared<FleetConfiguration>());
    m_configuration.start();
}

void NodeCore::handle(NodeEvent event, Instant now)
{
    m_io.setNow(now);
    std::visit([this](auto &each) { on(std::move(each)); }, event);
    m_peers.flush();
}

void NodeCore::tick(Instant now)
{
    m_io.setNow(now);
    m_calls.tick();
    m_engines.tick();
    m_configuration.tick();
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + refreshInterval;
        m_engines.removeIdle();
        m_hints.expire(now);
    }
    if (now >= m_nextHints) {
        m_nextHints = now + hintInterval;
        broadcastHints();
    }
    if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + heartbeatInterval;
        m_peers.sendHeartbeats();
    }
    if (m_hasLease && !m_registered && !m_registering && now >= m_nextRegistration)
        registerSelf();
    finishStopping();
    m_peers.flush();
}

NodeActions NodeCore::take()
{
    return m_io.take();
}

const Membership &NodeCore::membership() const
{
    return m_membership;
}

const CallTable &NodeCore::calls() const
{
    return m_calls;
}

EngineTable &NodeCore::engines()
{
    return m_engines;
}

// Calls and exchanges

void NodeCore::on(CallArrived &&event)
{
    m_calls.arrive(std::move(event));
}

void NodeCore::on(const CallerGone &event)
{
    m_calls.callerGone(event.id);
}

void NodeCore::on(const ExchangeHead &event)
{
    m_io.handle(event);
}

void NodeCore::on(const ExchangePiece &event)
{
    m_io.handle(event);
}

void NodeCore::on(const ExchangeEnded &event)
{
    m_io.handle(event);
}

void NodeCore::on(const ExchangeFailed &event)
{
    m_io.handle(event);
}

void NodeCore::on(const KeyReplied &event)
{
    m_io.handle(event);
}

void NodeCore::callEnded(const CallEnd &end)
{
    const auto &call = end.call;
    const auto &attributes = call.attributes();
    const auto now = m_io.now();
    const std::string outcome(end.failure ? nameOf(end.failure->code) : "ok");
    const std::string verdict(nameOf(end.failure ? end.failure->verdict : Verdict::Ran));
    const std::string serviceClass(nameOf(attributes.serviceClass));
    const auto elapsed = now - attributes.arrival;
    if (!isFromPeer(call.id())) {
        // Errors of the caller don't count against the error budget.
        const bool isCounted = !end.failure || httpStatus(end.failure->code) >= 429;
        const auto answered = call.begun ? call.firstToken - attributes.arrival : elapsed;
        if (isCounted && !call.callerGone)
            m_burn.record(attributes.serviceClass, !end.failure, answered, now);
        m_metrics.add(Metric::Requests, {{"class", serviceClass}, {"verdict", verdict}, {"code", outcome}});
        m_metrics.observe(Metric::RequestSeconds, {{"class", serviceClass}}, elapsed, now);
        if (call.begun)
            m_metrics.observe(Metric::FirstTokenSeconds, {{"class", serviceClass}}, answered, now);
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    m_io.emit(LogEntry{Severity::Info,
                       "call",
                       {{"id", std::to_string(call.id())},
                        {"from", isFromPeer(call.id()) ? "peer" : "caller"},
                        {"target", attributes.model ? toModelName(*attributes.model) : attributes.service},
                        {"customer", attributes.customer.value},
                        {"class", serviceClass},
                        {"upstream", call.upstream.value},
                        {"attempts", std::to_string(call.attempts)},
                        {"outcome", outcome},
                        {"verdict", verdict},
                        {"ms", std::to_string(milliseconds.count())}}});
}

// Queries

void NodeCore::on(const QueryArrived &event)
{
    switch (event.query) {
    case NodeQuery::Entries:
        m_io.emit(ReplyWhole{event.id, jsonResponse(200, entriesBody(event))});
        break;
    case NodeQuery::Ready: {
        const bool isReady = m_hasVms && m_membership.self().state == NodeState::Live;
        m_io.emit(ReplyWhole{
            event.id, {isReady ? 200U : 503U, {{"Content-Type", "text/plain"}}, isReady ? "ready\n" : "not ready\n"}});
        break;
    }
    case NodeQuery::Metrics:
        m_metrics.set(Metric::CallsInFlight, static_cast<double>(m_calls.active()));
        m_metrics.set(Metric::OwnedUpstreams, static_cast<double>(m_engines.owned()));
        m_metrics.set(Metric::ConfigurationVersion, static_cast<double>(m_configuration.keeper().versionInForce()));
        m_metrics.set(Metric::QuarantinedRequests, static_cast<double>(m_quarantine.list().size()));
        m_io.emit(
            ReplyWhole{event.id, {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text(m_io.now())}});
        break;
    }
}

// Listeners

void NodeCore::on(const ListenerLosses &event)
{
    const std::string from = event.isPeers ? "peers" : "callers";
    std::vector<std::pair<std::string, std::string>> fields{{"from", from}};
    for (const auto &loss : event.losses) {
        m_metrics.add(Metric::CallerLosses, {{"from", from}, {"kind", loss.label}}, static_cast<double>(loss.count));
        fields.emplace_back(loss.field, std::to_string(loss.count));
    }
    for (const auto &cause : event.unanswered) {
        m_metrics.add(Metric::UnansweredRequests, {{"from", from}, {"cause", cause.label}},
                      static_cast<double>(cause.count));
        fields.emplace_back(cause.field, std::to_string(cause.count));
    }
    fields.emplace_back("open", std::to_string(event.connections));
    fields.emplace_back("held_bytes", std::to_string(event.heldBytes));
    m_io.emit(LogEntry{Severity::Warning, "callers_unanswered", std::move(fields)});
}

std::string NodeCore::entriesBody(const QueryArrived &query) const
{
    const auto region = query.region.empty() ? m_membership.self().region : query.region;
    json::array entries;
    for (const auto &node : m_membership.entriesFor(region, query.salt)) {
        entries.push_back(json::object{
            {"address", toString(node.callers)}, {"tls", node.callers.tls}, {"region", node.region.value}});
    }
    return json::serialize(
        json::object{{"entries", std::move(entries)},
                     {"cache_seconds", std::chrono::duration_cast<std::chrono::seconds>(m_cacheTime).count()}});
}

// Peers

void NodeCore::on(const ControlArrived &event)
{
    m_control.handle(event);
}

void NodeCore::deliver(const PeerBatch &batch)
{
    m_peerStates[batch.from] = batch.state;
    for (const auto &message : batch.messages)
        deliver(batch.from, message);
}

void NodeCore::deliver(const NodeId &from, const PeerMessage &message)
{
    if (const auto *hint = std::get_if<HintMessage>(&message))
        applyHint(hint->hint);
    else if (const auto *ask = std::get_if<ReleaseAsk>(&message))
        m_engines.handle(from, *ask);
    else if (const auto *answer = std::get_if<ReleaseAnswer>(&message))
        m_engines.handle(*answer);
    else if (const auto *load = std::get_if<LoadAsk>(&message))
        m_engines.broker().handleAsk(from, *load);
    else if (const auto *done = std::get_if<LoadDone>(&message))
        m_engines.broker().handleDone(*done);
    else if (const auto *grant = std::get_if<LoadGrant>(&message))
        m_engines.broker().handleGrant(grant->upstream, grant->adapter);
    else if (const auto *place = std::get_if<PlaceAsk>(&message))
        answerPlace(from, *place);
    else if (const auto *placed = std::get_if<PlaceAnswer>(&message))
        m_calls.placeAnswered(*placed);
}

void NodeCore::answerPlace(const NodeId &from, const PlaceAsk &ask)
{
    CallAttributes call;
    call.id = ask.call;
    call.model = ask.model;
    call.serviceClass = ask.serviceClass;
    call.callerRegion = ask.callerRegion;
    call.arrival = m_io.now();
    const auto route = m_router.route({call, ask.excluded, false, true}, m_hints, m_io.now());
    PlaceAnswer answer{ask.call, {}, {}};
    if (const auto *place = std::get_if<RouteToUpstream>(&route)) {
        answer.upstream = place->upstream;
        answer.owner = place->owner;
    }
    m_peers.send(from, answer);
}

void NodeCore::broadcastHints()
{
    m_engines.broadcastHints([this](const UpstreamHint &hint) { applyHint(hint); });
}

void NodeCore::applyHint(const UpstreamHint &hint)
{
    m_hints.apply(hint, m_io.now());
}

// Platform

void NodeCore::on(const StoreListed &event)
{
    m_membership.applyNodeSnapshot(event.snapshot.values);
    const auto *self = findKey(event.snapshot.values, nodeKey(m_membership.self().id));
    const auto record = self ? decodeNode(self->value) : std::nullopt;
    m_registered = record == m_membership.self();
    for (const auto &entry : event.snapshot.values) {
        if (entry.key.starts_with(engineRecordPrefix))
            m_engines.onRecord(entry);
        else if (entry.key == configurationKey)
            m_configuration.watched(entry);
    }
    drainedListed(event.snapshot.values);
    membershipChanged();
}

void NodeCore::on(const StoreChanged &event)
{
    for (const auto &change : event.changes)
        storeChanged(change);
}

void NodeCore::storeChanged(const StoreChange &change)
{
    if (change.entry.key.starts_with(nodePrefix)) {
        m_membership.nodeChanged(change);
        if (change.deleted && change.entry.key == nodeKey(m_membership.self().id))
            m_registered = false;
        membershipChanged();
    } else if (change.entry.key.starts_with(engineRecordPrefix) && !change.deleted) {
        m_engines.onRecord(change.entry);
    } else if (change.entry.key.starts_with(drainPrefix)) {
        const auto name = change.entry.key.substr(drainPrefix.size());
        if (change.deleted)
            m_drained.erase(name);
        else
            m_drained.insert(name);
        m_membership.setDrained(m_drained);
        membershipChanged();
    } else if (change.entry.key == configurationKey && !change.deleted) {
        m_configuration.watched(change.entry);
    }
}

void NodeCore::drainedListed(const std::vector<KeyValue> &values)
{
    m_drained.clear();
    for (const auto &entry : values) {
        if (entry.key.starts_with(drainPrefix))
            m_drained.insert(entry.key.substr(drainPrefix.size()));
    }
    m_membership.setDrained(m_drained);
}

void NodeCore::on(const StoreConnection &event)
{
    m_hasStore = event.connected;
    m_io.emit(LogEntry{
        event.connected ? Severity::Info : Severity::Warning, event.connected ? "store_connected" : "store_lost", {}});
}

void NodeCore::on(const LeaseTaken &event)
{
    m_hasLease = true;
    m_registered = false;
    m_io.emit(LogEntry{Severity::Info, "lease_taken", {{"lease", std::to_string(event.lease)}}});
    registerSelf();
}

void NodeCore::registerSelf()
{
    const auto &self = m_membership.self();
    m_registering = true;
    KeyTransaction transaction;
    transaction.puts.push_back({nodeKey(self.id), encodeNode(self), KeyLifetime::NodeLease});
    m_io.store(transaction, [this, sent = self](const KeyReply &reply) {
        m_registering = false;
        m_registered = reply.outcome == KeyOutcome::Applied && sent == m_membership.self();
        m_nextRegistration = m_io.now() + registrationRetry;
    });
}

void NodeCore::on(const VmsListed &event)
{
    m_hasVms = true;
    for (const auto &[id, member] : m_membership.upstreams()) {
        const auto listed = std::ranges::find(event.vms, id, &Vm::id);
        const bool isLeaving = listed == event.vms.end() || listed->leaving;
        if (isLeaving && m_leaving.insert(id).second)
            m_calls.vmLost(id, member.vm.failureDomain);
        else if (!isLeaving)
            m_leaving.erase(id);
    }
    m_membership.applyVmList(event.vms);
    m_engines.refresh();
}

void NodeCore::on(const CatalogueListed &event)
{
    m_calls.setCatalogue(event.adapters);
}

void NodeCore::membershipChanged()
{
    std::vector<NodeId> live;
    for (const auto &[id, record] : m_membership.nodes()) {
        if (record.state == NodeState::Live || id == m_membership.self().id)
            live.push_back(id);
    }
    m_router.setMembers(std::move(live));
    m_configuration.membershipChanged();
    m_engines.refresh();
}

// Configuration

void NodeCore::installed(ConfigurationVersion, const std::shared_ptr<const FleetConfiguration> &configuration)
{
    m_resolver = std::make_unique<SettingsResolver>(configuration);
    const auto &settings = configuration->defaults();
    setCacheTime(settings.entryCache);
    m_retries = retryPolicy(m_membership.self(), settings);
    m_claims.setRetention(settings.claimRetention);
    m_quarantine.setLimits(settings.crashLifetime, static_cast<std::uint32_t>(settings.inconclusiveCrashes));
    RouterSettings router;
    router.weights = weightsOf(settings);
    router.transferCostPerKibibyte = settings.transferCostPerKibibyte;
    m_router.setSettings(router);
    LoadBrokerSettings broker;
    broker.weights = weightsOf(settings);
    broker.loadsPerSecond = settings.loadsPerSecond;
    m_engines.broker().setSettings(broker);
    m_engines.setSettings([this](const Vm &vm) { return schedulerSettings(vm); });
    for (const auto &[serviceClass, name] : enumNames<ServiceClass>) {
        const auto &promised = settings.of(serviceClass);
        m_burn.setObjective(serviceClass, {promised.objectiveLatency, promised.objectiveShare});
    }
}

/// Sets the time for which callers may cache addresses. Addresses that callers cached before it was shortened stay
/// valid for the longer time.
void NodeCore::setCacheTime(Duration cacheTime)
{
    if (cacheTime < m_cacheTime)
        m_oldCacheExpiry = m_io.now() + m_cacheTime;
    m_cacheTime = cacheTime;
}

const FleetSettings &NodeCore::settingsOf(const Vm &vm)
{
    return m_resolver->resolve(
        {.customer = {}, .adapter = {}, .base = vm.base, .region = vm.region.value, .upstream = vm.id.value});
}

SchedulerSettings NodeCore::schedulerSettings(const Vm &vm)
{
    const auto &resolved = settingsOf(vm);
    SchedulerSettings settings;
    settings.weights = weightsOf(resolved);
    settings.concurrency = static_cast<std::uint32_t>(resolved.engineConcurrency);
    return settings;
}

void NodeCore::applyConfiguration(Call &call)
{
    auto &attributes = call.parsed.attributes;
    const auto *declared = m_resolver->configuration().service(attributes.service);
    if (declared) {
        const bool mayRepeat = declared->isIdempotent(call.parsed.method, call.parsed.path);
        attributes.idempotent = mayRepeat && (attributes.idempotent || !call.parsed.idempotenceGiven);
    } else if (!attributes.service.empty() && !call.parsed.idempotenceGiven) {
        attributes.idempotent = call.parsed.method == "GET" || call.parsed.method == "HEAD";
    }
    if (isFromPeer(call.id()))
        return;
    Subject subject;
    subject.customer = attributes.customer.value;
    subject.region = attributes.callerRegion.value;
    if (attributes.model) {
        subject.adapter = attributes.model->adapter;
        subject.base = attributes.model->base;
    }
    const auto &settings = m_resolver->resolve(subject);
    call.customerQueue = settings.customerQueue;
    if (!attributes.deadline)
        attributes.deadline = attributes.arrival + settings.of(attributes.serviceClass).deadline;
}

// Stopping

void NodeCore::on(const StopRequested &)
{
    if (m_drainAt)
        return;
    m_drainAt = std::max(m_io.now() + m_cacheTime, m_oldCacheExpiry) + listingLag;
    m_membership.setStopping();
    m_registered = false;
    registerSelf();
    membershipChanged();
    m_io.emit(LogEntry{Severity::Info, "stopping", {}});
}

void NodeCore::finishStopping()
{
    if (!m_drainAt || m_stopped || m_io.now() < *m_drainAt)
        return;
    if (!m_draining) {
        m_draining = true;
        m_io.emit(DrainListeners{});
    }
    const bool hasSuccessor = !m_membership.entriesFor(m_membership.self().region, 0).empty();
    const bool handedOver = m_engines.isFinished() || !hasSuccessor || m_io.now() >= *m_drainAt + handoverTimeout;
    if (m_calls.active() > 0 || !handedOver)
        return;
    m_stopped = true;
    m_io.emit(Stopped{});
}

} // namespace Gypsumtally
