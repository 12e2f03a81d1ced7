#pragma once

#include "common/jsonfields.h"
#include "gateway/adapterplacer.h"
#include "gateway/callcontext.h"
#include "gateway/gatewaylog.h"
#include "gateway/gatewaymessage.h"
#include "gateway/orderlease.h"
#include "gateway/ordershard.h"
#include "gateway/orderterm.h"
#include "gateway/registryfollower.h"
#include "http/eventloop.h"
#include "relay/upstreamclient.h"
#include "report/metrics.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Encodes orders and inspections for engines and decodes their answers. Implementations are stateless.
template<typename D>
concept OrderDialect = requires(const EngineOrder &order, const std::string &text, std::uint64_t fence, unsigned status,
                                const Http::ResponseHead &head)
{
    {
        D::writeOrder(order, text, fence)
        } -> std::same_as<Http::Request>;
    {
        D::readOutcome(status)
        } -> std::same_as<OrderOutcome>;
    {
        D::writeInspection(text)
        } -> std::same_as<Http::Request>;
    {
        D::readReport(text)
        } -> std::same_as<std::optional<EngineReport>>;
    {
        D::readStatement(head)
        } -> std::same_as<UpstreamStatement>;
};

/// Keys of a shard's lease in the store.
struct OrderKeys {
    std::string holder; ///< Record of the holder, bound to its lease.
    std::string term; ///< Durable record of the last term, from which a new holder reads its predecessor.
};

/// Acquires the order lease of one shard when it is free. While this node holds it, places adapters and sends orders
/// to engines. Must only be used on the event loop's thread.
template<OrderDialect Dialect, GatewayStore Store>
class PlacementController
{
public:
    PlacementController(Http::EventLoop &loop, Store &store, CallContext &context, GatewayLog &log, Metrics &metrics,
                        OrderHolder self, unsigned shard, OrderKeys keys, OrderLeaseSettings leaseSettings)
        : m_loop(loop)
        , m_store(store)
        , m_context(context)
        , m_log(log)
        , m_metrics(metrics)
        , m_self(std::move(self))
        , m_shard(shard)
        , m_keys(std::move(keys))
        , m_lease(leaseSettings)
        , m_client(loop)
    {
    }

    /// Sets the local address of connections to engines.
    void connectFrom(const Http::Endpoint &local)
    {
        m_client.connectFrom(local);
    }

    /// Sets how long this node waits before it tries to acquire a vacant lease, unless it was the last holder, which
    /// does not wait. The delay differs between nodes, so that they do not all try at once.
    void setAcquireDelay(Duration delay)
    {
        m_acquireDelay = delay;
    }

    /// Sets the sizes of the shards that have an active holder; these shards load copies in turn.
    void setShardSizes(const ShardSizes &sizes)
    {
        m_shardSizes = sizes;
    }

    /// Sets whether this node reaches at least half of the shard's engines. Otherwise it does not acquire the lease,
    /// and gives it up after a while.
    void setReachesEngines(bool reachesEngines)
    {
        m_reachesEngines = reachesEngines;
    }

    /// Sets the storeFactor() of an earlier holder, which the placer starts with when this node acquires the lease.
    void restoreStoreFactor(double factor)
    {
        m_initialStoreFactor = factor;
    }

    /// Returns the AdapterPlacer::storeFactor() of this node; 0 if it is not ordering or has learnt nothing.
    double storeFactor() const
    {
        return isOrdering() ? m_placer.storeFactor() : 0;
    }

    /// Sets the callback that broadcasts placement updates to all nodes.
    void onPlacementUpdates(std::function<void(const std::vector<PlacementUpdate> &)> task)
    {
        m_onUpdates = std::move(task);
    }

    /// Sets the callback that sends copies to the node @c requester, which requested them.
    void onCopiesFound(std::function<void(const std::string &requester, const std::vector<PlacementUpdate> &)> task)
    {
        m_onFound = std::move(task);
    }

    /// Sets the callback for when this node stops ordering; released() then returns the data for its successor.
    void onReleased(std::function<void()> task)
    {
        m_onReleased = std::move(task);
    }

    /// Records that another node has stopped ordering.
    void onReleasedByOther(const ReleasedOrders &released)
    {
        m_lease.onReleased(released);
    }

    /// Returns the data that a successor needs, for as long as one may have to wait for this node; nothing if this node
    /// holds the lease or lost it longer ago than that.
    std::optional<ReleasedOrders> released(Instant now) const
    {
        if (m_held || m_lostAt == Instant{} || now - m_lostAt > m_lease.settings().ttl + m_lease.settings().handover)
            return std::nullopt;
        return m_lease.released();
    }

    /// Returns the node of the latest term record received from the store, or an empty string.
    const std::string &lastHolder() const
    {
        return m_lastTerm.holder.node;
    }

    /// Records the era of the store. A later one than before ends the lease and forgets the records: the store may have
    /// lost both, and the lease's ID may be given to another one.
    void setEra(StoreEra era)
    {
        const bool wasRestored = m_era != 0 && era != m_era;
        m_era = era;
        if (!wasRestored)
            return;
        if (m_held)
            loseLease("the store has come back from an older copy");
        ++m_attempts;
        m_acquiring = false;
        m_leaseId = 0;
        m_recordKnown = false;
        m_holder.reset();
        m_lastTerm = {};
    }

    /// Records that the store has @p value, or nothing, at the term's key.
    void onTermRecord(const std::optional<std::string> &value, Revision revision)
    {
        m_lastTerm = decodeOrderTerm(value, revision);
    }

    /// Records that the store has @p value, or nothing, at the holder's key. Acquires or loses the lease accordingly.
    void onHolderRecord(const std::optional<std::string> &value, Revision revision)
    {
        m_holder.reset();
        if (!m_recordKnown)
            m_vacantSince = BootClock{}.now() + initialAcquireDelay;
        else if (!value && m_recordRevision != 0)
            m_vacantSince = BootClock{}.now();
        m_recordKnown = true;
        m_recordRevision = value ? revision : 0;
        if (!value) {
            if (m_held && revision > m_heldRevision)
                loseLease("the store has removed the holder record");
            return;
        }
        const auto object = parseObject(*value);
        if (!object)
            return;
        m_holder = OrderHolder{textAt(*object, "node"), numberAt<std::int64_t>(*object, "started")};
        const auto now = BootClock{}.now();
        const bool isSelf = *m_holder == m_self;
        // The last attempt succeeded, but its answer was lost. Ignores records of earlier attempts, whose lease may
        // have ended, and terms that this node gave up, whose release has been sent.
        const bool isLastAttempt = isSelf && numberAt<StoreLease>(*object, "lease") == m_leaseId;
        if (isLastAttempt && !m_lease.isHeld(now) && m_nextTerm.number > m_lostTerm && !m_acquiring)
            startTerm(revision, m_acquireSent, now);
        else if (!isSelf && m_lease.isHeld(now))
            loseLease("another node holds the lease");
    }

    /// Returns true if this node may send orders now.
    bool isOrdering() const
    {
        return m_lease.mayOrder(BootClock{}.now());
    }

    /// Returns true if this node may still hold the lease.
    bool isHolder() const
    {
        return m_lease.isHeld(BootClock{}.now());
    }

    /// Records that requests on the node @p requester wait for a target.
    void onWanted(const TargetDemand &wanted, const std::string &requester)
    {
        if (!isHolder())
            return;
        m_requesters[wanted.target][requester] = BootClock{}.now();
        m_placer.onWanted(wanted.service, wanted.target, static_cast<unsigned>(wanted.requests), wanted.unfit,
                          BootClock{}.now());
        schedulePlan();
    }

    /// Records that @p requests requests for @p target were sent or are still in flight.
    void onUsed(const std::string &service, const ModelTarget &target, double requests)
    {
        if (isHolder())
            m_placer.onUsed(service, target, requests, BootClock{}.now());
    }

    /// Records that an engine rejected a request for @p target because it does not hold it.
    void onMissing(const std::string &instance, const ModelTarget &target)
    {
        if (isHolder())
            m_placer.onMissing(instance, target, BootClock{}.now());
    }

    /// Records that @p version of an adapter was declared.
    void onVersionDeclared(const ModelTarget &target, std::uint64_t version)
    {
        m_placer.onVersionDeclared(target, version);
    }

    /// Renews or acquires the lease, then plans and sends orders. Must be called several times per second.
    void tick(Instant now)
    {
        m_client.sweep(now);
        if (m_held && !m_lease.isHeld(now))
            loseLease("it was not renewed in time");
        if (m_reachesEngines)
            m_reachedAt = now;
        else if (m_held && now - m_reachedAt >= maxCutTime)
            release("this node is cut off from most engines of the shard");
        if (m_held) {
            if (now - m_renewSent >= m_lease.settings().renewalValidity / renewalsPerValidity)
                renew(now);
            if (!m_lease.mayOrder(now))
                cancelOrders();
            if (m_lease.isSettled(now))
                recordSettled();
            expireRequesters(now);
            plan();
        } else if (!m_stopping && m_reachesEngines) {
            acquire(now);
        }
    }

    /// Stops ordering and ends the lease, so that another node can take over.
    void stop()
    {
        m_stopping = true;
        if (m_held)
            release("the node is stopping");
    }

private:
    /// Delay until a new node has received messages from other nodes.
    static constexpr Duration initialAcquireDelay = std::chrono::milliseconds{900};
    /// Time for which a holder that is cut off from most engines keeps the lease. A successor has to wait for longer
    /// from the last order on, so that brief cuts cost no more than they last.
    static constexpr Duration maxCutTime = std::chrono::seconds{1};
    static constexpr Duration acquireInterval = std::chrono::milliseconds{400};
    /// More than 18 round trips of 16 ms between regions. An engine gets no other order while one is in flight.
    static constexpr Duration orderTimeout = std::chrono::milliseconds{300};
    static constexpr Duration inspectionTimeout = std::chrono::milliseconds{1000};
    static constexpr int renewalsPerValidity = 3; ///< The lease survives two lost answers in a row.
    /// Time allowed for the store's watch to report the write.
    static constexpr Duration settledRetryInterval = std::chrono::seconds{1};
    static constexpr Duration planDelay = std::chrono::milliseconds{5};
    static constexpr Duration requesterTtl = std::chrono::seconds{2}; ///< Equals how long requests wait for a load.
    static constexpr unsigned orderUnsentTimeoutMs = 1000;

    void release(const std::string &reason)
    {
        loseLease(reason);
        m_store.endLease(m_leaseId);
    }

    void acquire(Instant now)
    {
        const bool isOwn = m_holder && m_holder->node == m_self.node;
        const bool wasHolder = lastHolder() == m_self.node;
        if (!m_recordKnown || m_acquiring || now - m_acquireSent < acquireInterval || (m_holder && !isOwn)
            || (!isOwn && !wasHolder && now - m_vacantSince < m_acquireDelay))
            return;
        m_acquiring = true;
        m_acquireSent = now;
        m_nextTerm = termAfter(m_lastTerm, m_self, m_era);
        m_predecessor = predecessorOf(m_lastTerm, m_self, m_era);
        const auto holderRevision = m_recordRevision; // Revision at which no other node held the lease.
        const auto termRevision = m_lastTerm.revision;
        const auto attempt = ++m_attempts;
        m_store.grantLease(m_lease.settings().ttl, [this, attempt, holderRevision, termRevision](auto lease) {
            if (attempt != m_attempts)
                return; // The store has come back from an older copy.
            if (!lease) {
                m_acquiring = false;
                return;
            }
            m_leaseId = *lease;
            const auto holder
                = boost::json::object{{"node", m_self.node}, {"started", m_self.startedAt}, {"lease", *lease}};
            KeyTransaction transaction;
            transaction.compares = {{m_keys.holder, holderRevision}, {m_keys.term, termRevision}};
            transaction.puts = {{m_keys.holder, boost::json::serialize(holder), KeyLifetime::NodeLease},
                                {m_keys.term, encode(m_nextTerm), KeyLifetime::Durable}};
            m_store.transact(transaction, *lease, [this, attempt](const KeyReply &reply) {
                if (attempt != m_attempts)
                    return;
                m_acquiring = false;
                if (reply.outcome == KeyOutcome::Applied)
                    startTerm(reply.revision, m_acquireSent, BootClock{}.now());
            });
        });
    }

    /// Records in the store, once per term, that no earlier holder can still be ordering.
    void recordSettled()
    {
        const auto now = BootClock{}.now();
        if (m_lastTerm.number != m_lease.term() || !(m_lastTerm.holder == m_self) || m_lastTerm.settled
            || now - m_settledSentAt < settledRetryInterval)
            return;
        m_settledSentAt = now;
        KeyTransaction transaction;
        transaction.compares = {{m_keys.term, m_lastTerm.revision}};
        auto settled = m_lastTerm;
        settled.settled = true;
        transaction.puts = {{m_keys.term, encode(settled), KeyLifetime::Durable}};
        // The watch of the store shows whether the write succeeded.
        m_store.transact(transaction, m_leaseId, [](const KeyReply &) {});
    }

    void startTerm(Revision revision, Instant sent, Instant now)
    {
        if (m_stopping) {
            m_store.endLease(m_leaseId);
            return;
        }
        m_held = true;
        m_heldRevision = revision;
        m_renewSent = sent;
        const auto fence = fenceOf(m_nextTerm, revision);
        m_lease.onAcquired(m_nextTerm.number, fence, sent, now, m_predecessor);
        auto placer = AdapterPlacer{};
        placer.restoreStoreFactor(m_initialStoreFactor);
        for (const auto &[target, declared] : m_context.declared)
            placer.onVersionDeclared(target, declared.newest());
        m_placer = std::move(placer);
        m_log.note(GatewayEvent::OrderLeaseTaken,
                   {{"shard", std::to_string(m_shard)},
                    {"term", std::to_string(m_nextTerm.number)},
                    {"era", std::to_string(m_era)},
                    {"fence", std::to_string(fence)},
                    {"own_predecessor", m_predecessor == Predecessor::Own ? "yes" : "no"}});
    }

    void renew(Instant now)
    {
        m_renewSent = now;
        m_store.renewLease(m_leaseId, [this, now, lease = m_leaseId](std::optional<bool> renewed) {
            if (!m_held || lease != m_leaseId)
                return;
            if (renewed == true)
                m_lease.onRenewed(now);
            else if (renewed == false)
                loseLease("the store has ended the lease");
        });
    }

    void loseLease(const std::string &reason)
    {
        m_held = false;
        m_lostAt = BootClock{}.now();
        m_lostTerm = m_lease.term();
        m_lease.onLost();
        m_requesters.clear();
        cancelOrders();
        m_onReleased();
        m_log.note(GatewayEvent::OrderLeaseLost, {{"shard", std::to_string(m_shard)}, {"reason", reason}});
    }

    void cancelOrders()
    {
        for (const auto &[token, order] : std::exchange(m_pendingOrders, {})) {
            m_client.cancel(token);
            m_placer.onAnswer(order, OrderOutcome::Unknown, BootClock{}.now());
        }
    }

    void refreshEngines(Instant now)
    {
        std::vector<PlacedEngine> engines;
        std::vector<PlacedModel> models;
        if (!m_context.routes)
            return;
        for (const auto &service : m_context.routes->policy().services) {
            if (!service.engine)
                continue;
            for (const auto &model : service.engine->models)
                models.push_back({service.name, model.name, model.loadTime});
        }
        FleetView fleet;
        const auto all = std::accumulate(m_shardSizes.begin(), m_shardSizes.end(), 0U);
        fleet.storeShare = all == 0 ? 1 : static_cast<double>(m_shardSizes[m_shard]) / all;
        fleet.isNext = [this](const ModelTarget &target, unsigned copies) { return isNext(target, copies); };
        fleet.oldestUsable = [this, now](const ModelTarget &target) { return m_context.minVersion(target, now); };
        std::map<std::string, unsigned> count;
        const auto unlimited = servicesWithUnlimitedEngines(now);
        for (const auto &[instance, upstream] : m_context.upstreams.all()) {
            const auto *service = m_context.routes->service(upstream.record.service);
            if (!service || !service->engine)
                continue;
            const auto load = static_cast<double>(upstream.inFlight());
            const bool takesOrders = mayOrder(upstream, unlimited, now);
            if (takesOrders) {
                fleet.meanLoads[service->name] += load;
                ++count[service->name];
                ++fleet.engines;
            }
            if (needsModelFromStore(upstream, *service->engine))
                fleet.emptyEngines.push_back(instance);
            if (shardOf(instance) != m_shard) {
                if (takesOrders)
                    addCopies(upstream, load, fleet);
                continue;
            }
            engines.push_back({instance, service->name, regionOf(upstream.record.failureDomain, m_context.regions),
                               upstream.record.startedAt, takesOrders, service->engine->adapterSlots,
                               std::max(1U, upstream.record.slots), load, upstream.record.storedModels,
                               &upstream.cachedAdapters});
        }
        for (auto &[service, load] : fleet.meanLoads)
            load /= count[service];
        m_placer.setEngines(engines, models);
        m_placer.setFleetView(std::move(fleet));
    }

    std::set<std::string> servicesWithUnlimitedEngines(Instant now) const
    {
        std::set<std::string> services;
        for (const auto &[instance, upstream] : m_context.upstreams.all()) {
            if (upstream.takesRequests(now) && !upstream.limitsRequests())
                services.insert(upstream.record.service);
        }
        return services;
    }

    /// Returns true if the engine may get orders and inspections. One that limits its requests gets none while others
    /// can load adapters instead, as they count as requests; @p unlimited are the services with such engines.
    bool mayOrder(const Upstream &upstream, const std::set<std::string> &unlimited, Instant now) const
    {
        if (!upstream.takesRequests(now) || !upstream.limitsRequests())
            return upstream.takesRequests(now);
        const double limit = *upstream.requestLimit.perSecond * m_context.limitShare;
        return !unlimited.contains(upstream.record.service) && upstream.sends.nextFree(limit, now) <= now;
    }

    /// Counts an order or inspection among the requests that the engine gets.
    void countSend(Upstream &upstream, const std::string &kind, Instant now)
    {
        if (!upstream.limitsRequests())
            return upstream.sends.addUnlimited(now);
        m_metrics.add(Metric::LimitedSends, {{"kind", kind}});
        m_context.announceSend({upstream.record.instance, 0, {}, 1}, now);
    }

    /// Returns true if the engine holds no base model and can only load one from the weight store.
    static bool needsModelFromStore(const Upstream &upstream, const EngineProfile &profile)
    {
        return upstream.staysInService() && std::ranges::none_of(profile.models, [&](const BaseModel &model) {
                   return upstream.residency.find(model.name) || upstream.record.storedModels.contains(model.name);
               });
    }

    void addCopies(const Upstream &upstream, double load, FleetView &fleet) const
    {
        upstream.residency.forEachCopy([&](const ModelTarget &target, const ResidentCopy &copy) {
            const auto declared = m_context.declared.find(target);
            if (declared != m_context.declared.end() && copy.version < declared->second.newest())
                return;
            auto &copies = fleet.copies[target];
            copies.lightestLoad = copies.count == 0 ? load : std::min(copies.lightestLoad, load);
            ++copies.count;
        });
    }

    /// Returns true if this shard is responsible for loading copy number @p copies + 1 of @p target.
    bool isNext(const ModelTarget &target, unsigned copies) const
    {
        const auto order = shardOrder(target, m_shardSizes);
        return !order.empty() && order[copies % order.size()] == m_shard;
    }

    /// Schedules one plan for all events of the next few milliseconds.
    void schedulePlan()
    {
        if (std::exchange(m_planning, true))
            return;
        m_loop.runAfter(planDelay, [this] {
            m_planning = false;
            plan();
        });
    }

    void plan()
    {
        const auto now = BootClock{}.now();
        if (!m_lease.mayOrder(now))
            return;
        refreshEngines(now);
        const auto actions = m_placer.plan(now);
        for (const auto &order : actions.orders)
            sendOrder(order);
        for (const auto &instance : actions.inspections)
            inspect(instance);
        if (!actions.updates.empty())
            m_onUpdates(actions.updates);
        notifyRequesters(actions, now);
    }

    /// Notifies the nodes that requested targets of the copies that exist now.
    void notifyRequesters(const PlacerActions &actions, Instant now)
    {
        std::map<std::string, std::vector<PlacementUpdate>> found;
        const auto find = [&](const PlacementUpdate &update) {
            const auto requesters = m_requesters.find(update.target);
            if (update.dropped || requesters == m_requesters.end())
                return;
            for (const auto &[requester, at] : requesters->second) {
                if (now - at < requesterTtl)
                    found[requester].push_back(update);
            }
        };
        std::ranges::for_each(actions.updates, find);
        std::ranges::for_each(actions.answers, find);
        for (const auto &[requester, updates] : found) {
            for (const auto &each : updates)
                m_requesters.erase(each.target);
            m_onFound(requester, updates);
        }
    }

    void expireRequesters(Instant now)
    {
        std::erase_if(m_requesters, [&](const auto &item) {
            return std::ranges::none_of(item.second,
                                        [&](const auto &requester) { return now - requester.second < requesterTtl; });
        });
    }

    void sendOrder(const EngineOrder &order)
    {
        const auto now = BootClock{}.now();
        auto *upstream = m_context.upstreams.find(order.instance);
        if (!upstream || !m_lease.mayOrder(now)) {
            m_placer.onAnswer(order, OrderOutcome::Conflict, now);
            return;
        }
        m_lease.onOrder(now);
        countSend(*upstream, "order", now);
        Relay::SendOptions options;
        options.timeout = orderTimeout;
        options.unsentBytesTimeoutMs = orderUnsentTimeoutMs;
        options.isAnonymous = true;
        auto token = std::make_shared<Relay::UpstreamClient::Token>(0);
        const UpstreamProcess process{order.instance, upstream->record.startedAt};
        const auto onResponse = [this, order, token, process, now](const Relay::WholeResponse &response) {
            recordReach(process, response, now, ContactKind::Order);
            m_context.recordStatement(process, Dialect::readStatement(response.head), BootClock{}.now());
            const auto unanswered = response.sent ? OrderOutcome::Unknown : OrderOutcome::Conflict;
            onOrderAnswer(order, *token,
                          response.head.status != 0 ? Dialect::readOutcome(response.head.status) : unanswered,
                          response.head.status);
        };
        *token = m_client.fetch({upstream->record.endpoint, order.instance},
                                Dialect::writeOrder(order, m_self.node, m_lease.fence()), onResponse, options);
        m_pendingOrders.emplace(*token, order);
    }

    /// Records whether @p process has answered an order or inspection that was sent at @p sentAt.
    void recordReach(const UpstreamProcess &process, const Relay::WholeResponse &response, Instant sentAt,
                     ContactKind kind)
    {
        const auto now = BootClock{}.now();
        if (response.head.status != 0)
            m_context.recordContact(process, now, sentAt, kind);
        else
            m_context.recordFailure(process, reachFailureOf(response), now);
    }

    static ReachFailure reachFailureOf(const Relay::WholeResponse &response)
    {
        if (response.sent)
            return ReachFailure::Silent;
        return response.isLate ? ReachFailure::Unanswered : ReachFailure::NotConnected;
    }

    void onOrderAnswer(const EngineOrder &order, Relay::UpstreamClient::Token token, OrderOutcome outcome,
                       unsigned status)
    {
        m_pendingOrders.erase(token);
        if (m_log.isDetailed())
            m_log.detail(GatewayEvent::OrderSent, order.target,
                         {{"upstream", order.instance},
                          {"kind", std::string(nameOf(order.kind))},
                          {"expected", std::to_string(order.expected)},
                          {"used_slots", std::to_string(m_placer.usedSlots(order.instance))},
                          {"status", std::to_string(status)}});
        m_placer.onAnswer(order, outcome, BootClock{}.now());
        m_metrics.add(Metric::Orders, {{"outcome", std::string(nameOf(outcome))}});
        if (outcome != OrderOutcome::Started && outcome != OrderOutcome::Done)
            m_log.decision(GatewayEvent::OrderFailed, order.target,
                           {{"upstream", order.instance},
                            {"kind", std::string(nameOf(order.kind))},
                            {"expected", std::to_string(order.expected)},
                            {"status", std::to_string(status)}});
        schedulePlan();
    }

    void inspect(const std::string &instance)
    {
        auto *upstream = m_context.upstreams.find(instance);
        if (!upstream)
            return m_placer.onReport(instance, std::nullopt, BootClock{}.now());
        const auto now = BootClock{}.now();
        countSend(*upstream, "inspection", now);
        Relay::SendOptions options;
        options.timeout = inspectionTimeout;
        options.isAnonymous = true;
        const UpstreamProcess process{instance, upstream->record.startedAt};
        const auto onResponse = [this, instance, process, now](const Relay::WholeResponse &response) {
            recordReach(process, response, now, ContactKind::Request);
            m_context.recordStatement(process, Dialect::readStatement(response.head), BootClock{}.now());
            const auto report = response.head.status == 200 ? Dialect::readReport(response.body) : std::nullopt;
            if (m_log.isDetailed() && report)
                m_log.detail(GatewayEvent::EngineInspected, instance,
                             {{"orders", std::to_string(report->orders)},
                              {"held", std::to_string(report->held.size())},
                              {"coming", std::to_string(report->coming.size())}});
            m_placer.onReport(instance, report, BootClock{}.now());
        };
        m_client.fetch({upstream->record.endpoint, instance}, Dialect::writeInspection(instance), onResponse, options);
    }

    Http::EventLoop &m_loop;
    Store &m_store;
    CallContext &m_context;
    GatewayLog &m_log;
    Metrics &m_metrics;
    OrderHolder m_self;
    unsigned m_shard;
    OrderKeys m_keys;
    OrderLease m_lease;
    AdapterPlacer m_placer;
    Relay::UpstreamClient m_client;
    std::function<void(const std::vector<PlacementUpdate> &)> m_onUpdates;
    std::function<void(const std::string &, const std::vector<PlacementUpdate> &)> m_onFound;
    std::function<void()> m_onReleased;
    /// Time of the last request, by target and node.
    std::unordered_map<ModelTarget, std::map<std::string, Instant>> m_requesters;
    std::map<Relay::UpstreamClient::Token, EngineOrder> m_pendingOrders;
    OrderTerm m_lastTerm; ///< Latest term record received from the store.
    StoreEra m_era = 0;
    OrderTerm m_nextTerm; ///< Term of the last attempt to acquire the lease.
    std::uint64_t m_attempts = 0; ///< Number of attempts; replies to earlier ones than the last are ignored.
    Revision m_heldRevision = 0; ///< Revision at which the lease was acquired.
    Predecessor m_predecessor = Predecessor::Other; ///< Predecessor of m_nextTerm.
    Instant m_settledSentAt{};
    double m_initialStoreFactor = 0;
    Instant m_lostAt{};
    std::uint64_t m_lostTerm = 0; ///< Latest term that this process held and lost.
    std::optional<OrderHolder> m_holder;
    Duration m_acquireDelay{};
    Instant m_vacantSince{};
    ShardSizes m_shardSizes{};
    Revision m_recordRevision = 0;
    bool m_recordKnown = false;
    StoreLease m_leaseId = 0;
    Instant m_acquireSent{};
    Instant m_renewSent{};
    bool m_acquiring = false;
    bool m_held = false;
    bool m_planning = false;
    bool m_stopping = false;
    bool m_reachesEngines = true;
    Instant m_reachedAt{}; ///< Last time at which it was true.
};

} // namespace Gypsumtally::Gateway
