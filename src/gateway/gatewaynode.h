#pragma once

#include "budget/connectionlimit.h"
#include "common/jsonfields.h"
#include "gateway/callforwarder.h"
#include "gateway/crashquarantine.h"
#include "gateway/dissemination.h"
#include "gateway/fleetestimates.h"
#include "gateway/gatewaysettings.h"
#include "gateway/linkbudget.h"
#include "gateway/membertable.h"
#include "gateway/peerlink.h"
#include "gateway/placementcontroller.h"
#include "gateway/reachreport.h"
#include "gateway/registryviews.h"
#include "gateway/stopschedule.h"
#include "gateway/streamrecords.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The reason why a document of the operators or a record of an upstream is not valid.
struct BadDocument {
    std::string reason;
};

/// A new version of an adapter, as announced by the operators.
struct VersionDeclaration {
    ModelTarget target;
    std::uint64_t version = 0;
};

/// The document at one of the operators' keys, or std::monostate if the gateway does not use the key.
using OperatorDocument = std::variant<std::monostate, TrafficPolicy, VersionDeclaration, BadDocument>;

/// The location of a caller that queries the nodes to connect to; each part may be empty.
struct EntryQuery {
    std::string region;
    std::string failureDomain;
};

/// The platform adapter: how calls, orders and documents are encoded, and the client of the store.
template<typename P>
concept GatewayPlatform
    = CallDialect<typename P::Calls> && OrderDialect<typename P::Orders> && GatewayStore<typename P::Store> && requires(
        const std::string &text, const Http::Request &request, const std::vector<Http::Endpoint> &endpoints,
        Duration ttl, typename P::Store &store, const std::function<void(StoreEra)> &onEra,
        const std::function<void(const std::string &)> &onUnreadableEra)
{
    /// Called with each later era that an answer states, and the first one, before the answer is passed on.
    store.onEra(onEra);
    store.onUnreadableEra(onUnreadableEra);
    {
        P::operatorPrefix()
        } -> std::convertible_to<std::string>;
    {
        P::upstreamPrefix()
        } -> std::convertible_to<std::string>;
    {
        P::readOperatorDocument(text, text)
        } -> std::same_as<OperatorDocument>;
    {
        P::readUpstream(text, text)
        } -> std::same_as<std::variant<UpstreamRecord, BadDocument>>;
    {
        P::readEntryQuery(request)
        } -> std::same_as<EntryQuery>;
    {
        P::writeEntries(endpoints, ttl)
        } -> std::same_as<Http::Response>;
};

/// One gateway process: serves callers, forwards their requests, orders loads on engines and exchanges reports with the
/// other nodes. Everything runs on one event loop.
template<GatewayPlatform Platform>
class GatewayNode
{
public:
    GatewayNode(const GatewaySettings &settings, const Logging &logging)
        : m_settings(settings)
        , m_log(logging)
        , m_memory(Budget::MemoryLimits{settings.callerMemoryBytes})
        , m_store(m_loop, settings.store)
        , m_address{settings.node,  settings.failureDomain, settings.region,  settings.callers,
                    settings.peers, wallMilliseconds(),     settings.capacity}
        , m_members(m_address)
        , m_quarantine(
              m_store, m_context, m_log, m_metrics, quarantinePrefix(), [this] { return report(); },
              [this](NodeReport notice) { broadcast(std::move(notice)); })
        , m_streams(m_store, m_context, m_log, streamKeys(),
                    [this](const std::vector<StreamOrigin> &streams) { return sendToRecorder(streams); })
        , m_forwarder(m_loop, m_context, m_log, m_metrics)
        , m_callers(m_loop, callerSettings(), [this](auto exchange) { m_forwarder.accept(exchange); })
        , m_relayed(m_loop, relayedCallSettings(callerSettings()),
                    [this](auto exchange) { m_forwarder.acceptRelayed(exchange, isReady()); })
        , m_readiness(m_loop, auxiliarySettings(maxProbes, probeShare),
                      [this](auto exchange) { answerReadiness(*exchange); })
        , m_entries(m_loop, auxiliarySettings(maxEntryQueries, entryShare),
                    [this](auto exchange) { answerEntries(*exchange); })
        , m_metricsServer(m_loop, auxiliarySettings(maxProbes, probeShare),
                          [this](auto exchange) { answerMetrics(*exchange); })
        , m_peers(m_loop, settings.peers, [this](const GatewayMessage &message) { onMessage(message); })
        , m_linkBudget(settings.linkBytesPerSecond)
        , m_registry(m_loop, m_store, settings.drainBound, {Platform::operatorPrefix(), operatorObserver()},
                     {Platform::upstreamPrefix(), upstreamObserver()}, {ownPrefix(), ownObserver()},
                     jitterFactorOf(settings.node),
                     [this](const RegistryUpdate &update, bool isOverdue) { publishUpdate(update, isOverdue); })
    {
        m_callers.onUnanswered([this](const Relay::UnansweredRequest &request) { noteUnanswered("callers", request); });
        m_relayed.onUnanswered([this](const Relay::UnansweredRequest &request) { noteUnanswered("peers", request); });
        m_memory.onShort([this] { m_loop.post([this] { shed(); }); });
        m_store.onEra([this](StoreEra era) { onStoreEra(era); });
        m_store.onUnreadableEra([this](const std::string &text) {
            m_log.decision(GatewayEvent::BadHeader, "store", {{"header", "Store-Era"}, {"value", text}});
        });
        m_context.node = settings.node;
        m_forwarder.connectFrom(settings.connectFrom);
        m_context.failureDomain = settings.failureDomain;
        m_context.regions = settings.regions;
        m_context.maxBufferedAnswerBytes = settings.answerBufferBytes;
        m_context.memory = &m_memory;
        m_context.reservesCapacity = settings.urgentReserve;
        m_context.allowance = RetryAllowance(retryBound(settings));
        m_context.hasAdaptiveCapacity = settings.adaptiveCapacity;
        m_context.crashes = CrashLedger(settings.node);
        m_context.maxRelayedCalls = static_cast<std::size_t>(relayedCallsPerCapacity * settings.capacity);
        m_context.relayPeers = [this] { return m_members.relayPeers(BootClock{}.now()); };
        m_context.isPeerLive = [this](const std::string &node) { return m_members.isLive(node, BootClock{}.now()); };
        m_context.lastUnheard
            = [this](Instant time) { return m_members.lastUnheard(time, StreamVersions::cutOffTime); };
        m_context.onStreamBroken = [this](const StreamOrigin &stream) {
            auto notice = report();
            notice.brokenStreams.push_back(stream);
            broadcast(std::move(notice));
        };
        m_context.onStreamWanted
            = [this] { m_streams.read([this] { m_loop.post([this] { m_forwarder.onPlacement(); }); }); };
        m_context.onReachChange = [this](const ReachChange &change) { handleReachChange(change); };
        m_context.onReachFailure = [this] { shareReachSoon(); };
        m_context.onCrashRefuted = [this](const CrashReport &crash) {
            m_log.note(GatewayEvent::CrashRefuted,
                       {{"upstream", crash.process.instance}, {"suspects", std::to_string(crash.suspects.size())}});
        };
        m_context.onLoadRequested = [this](const std::string &service, const ModelTarget &target,
                                           const std::vector<std::string> &unfit, unsigned attempt) {
            requestLoad({service, target, 1, unfit}, attempt);
        };
        m_context.onSend = [this](const SendNotice &send) {
            auto notice = report();
            notice.sends.push_back(send);
            addLoad(notice, send.instance);
            CapacityLearner(m_context).addNews(notice, BootClock{}.now());
            broadcast(std::move(notice));
        };
        m_context.onLoadChanged = [this](const std::string &instance) {
            auto notice = report();
            addLoad(notice, instance);
            CapacityLearner(m_context).addNews(notice, BootClock{}.now());
            broadcast(std::move(notice));
        };
        m_context.onMissing
            = [this](const std::string &instance, const ModelTarget &target) { sendMissing(instance, target); };
        m_context.onStatement
            = [this](const UpstreamProcess &process, const StatementEffect &effect,
                     const std::vector<std::string> &unreadable) { handleStatement(process, effect, unreadable); };
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            m_orders.push_back(std::make_unique<Orders>(m_loop, m_store, m_context, m_log, m_metrics,
                                                        OrderHolder{settings.node, m_address.startedAt}, shard,
                                                        orderKeys(shard), leaseSettings(settings)));
            m_orders.back()->connectFrom(settings.connectFrom);
            m_orders.back()->onReleased([this] {
                auto notice = report();
                addReleases(notice, BootClock{}.now());
                broadcast(std::move(notice));
            });
            m_orders.back()->onPlacementUpdates(
                [this](const std::vector<PlacementUpdate> &updates) { broadcastPlacements(updates); });
            m_orders.back()->onCopiesFound(
                [this](const std::string &requester, const std::vector<PlacementUpdate> &updates) {
                    sendFound(requester, updates);
                });
        }
    }

    /// Reloads the settings with @p read on each SIGHUP. Call before run().
    void reloadSettingsWith(std::function<Parsed<GatewaySettings>()> read)
    {
        m_loop.onHangUp([this, read = std::move(read)] { reloadSettings(read()); });
    }

    /// Serves callers and returns when a graceful stop has ended.
    void run()
    {
        m_callers.listen(m_settings.callers);
        m_relayed.listen(m_settings.peers);
        m_readiness.listen(m_settings.readiness);
        m_entries.listen(m_settings.entries);
        if (m_settings.metrics)
            m_metricsServer.listen(*m_settings.metrics);
        m_loop.onTerminate([this] { stop(); });
        m_registry.start();
        registerSelf();
        tick();
        digest();
        m_log.note(GatewayEvent::Started,
                   {{"callers", Http::toString(m_settings.callers)}, {"store", Http::toString(m_settings.store)}});
        m_loop.run();
        const auto &counts = m_forwarder.stopCounts();
        m_log.note(GatewayEvent::Stopped, {{"active", std::to_string(activeRequests())},
                                           {"accepted", std::to_string(counts.accepted)},
                                           {"sent", std::to_string(counts.sent)},
                                           {"refused", std::to_string(counts.refused)},
                                           {"cut", std::to_string(counts.cut)}});
    }

private:
    /// The node's work for its failure domain.
    struct Roles {
        bool isRelay = false;
        bool isReader = false;

        friend bool operator==(const Roles &, const Roles &) = default;
    };

    /// The use of the machine's link by messages between nodes, and the connections that were opened over it.
    struct LinkLoad {
        Duration time{};
        PeerBytes sent{};
        PeerBytes received{};
        std::uint64_t dropped = 0;
        Relay::ConnectionCounts connections;
    };

    using Registry = RegistryViews<typename Platform::Store>;
    using Orders = PlacementController<typename Platform::Orders, typename Platform::Store>;

    /// Shares of the descriptors that are not reserved; the rest is for connections to upstreams, peers and the store.
    static constexpr double callerShare = 0.5;
    static constexpr double peerShare = 0.125;
    static constexpr double entryShare = 0.0625;
    static constexpr double probeShare = 0.03125;
    static constexpr std::size_t maxEntryQueries = 256; ///< Connections.
    static constexpr std::size_t maxProbes = 64; ///< Connections of those who ask for the readiness or for metrics.
    static constexpr std::size_t maxAuxiliaryBody = 4096; ///< Of requests that have no body.
    static constexpr unsigned unreadStatus = 429; ///< Tells a peer that a call was refused unread.
    static constexpr Duration tickInterval = std::chrono::milliseconds{50};
    static constexpr Duration reachDelay = std::chrono::milliseconds{3};
    /// Delay of a tick from which it is logged, as it shows a stalled loop or a frozen machine.
    static constexpr Duration lateTickDelay = std::chrono::milliseconds{150};
    static constexpr Duration digestInterval = std::chrono::milliseconds{300};
    /// Digest interval per peer. The product with the number of peers applies if it exceeds digestInterval: larger
    /// fleets send digests less often, so that the traffic that a node receives grows more slowly than the fleet.
    static constexpr Duration digestIntervalPerNode = std::chrono::milliseconds{6};
    /// Longest pause between two reports of a node while organisations have limits. Two of them are sent within the
    /// time after which it would count as not heard, also in large fleets, which send digests less often.
    static constexpr Duration maxReportPause = std::chrono::milliseconds{400};
    /// Delay per rank before a node acquires the vacant lease of a shard. The node that ranks first acquires it after
    /// the minimum delay; the next ones follow if it does not.
    static constexpr Duration acquireDelayPerRank = std::chrono::milliseconds{250};
    static constexpr Duration minAcquireDelay = std::chrono::milliseconds{50};
    /// Further delay of the other nodes while the last holder of a shard's lease reaches the store and most engines and
    /// may acquire it again.
    static constexpr Duration lastHolderHeadStart = std::chrono::milliseconds{800};
    /// Time after which a node that has stopped reporting that it orders a shard no longer counts as its holder.
    static constexpr Duration orderingTimeout = std::chrono::milliseconds{1500};
    /// Number of requests for a load that are sent to one shard's holder before the next shard's holder gets them.
    static constexpr unsigned attemptsPerShard = 3;
    /// Time added to the configured handover between two lease holders, for an order in transit.
    static constexpr Duration handoverSlack = std::chrono::milliseconds{300};
    /// Size in bytes of the records above which they are split into several datagrams.
    static constexpr std::size_t maxUpdateBytes = 16 * 1024;
    /// Maximum size in bytes of the records of one revision; escaped as JSON they still fit a datagram of 64 KB.
    static constexpr std::size_t maxRevisionBytes = 40 * 1024;
    /// TTL of the lease on this node's record in the store. Nodes derive liveness from received reports; the record
    /// only lets new nodes discover the others.
    static constexpr Duration nodeLeaseTtl = std::chrono::seconds{30};
    static constexpr Duration renewInterval = std::chrono::seconds{10};
    static constexpr Duration registrationRetryInterval = std::chrono::milliseconds{400};
    /// Time after the start in which a node does not act as reader: until it has received reports of the others, it
    /// would rank itself first in its failure domain.
    static constexpr Duration joiningTime = std::chrono::milliseconds{1200};
    /// Maximum jitter of the delay before a standby node calls the store, as a fraction of the delay.
    static constexpr double maxJitter = 0.3;
    /// Ratio to the last logged estimate at which the speed of a service is logged again.
    static constexpr double loggedSpeedRatio = 1.3;
    /// Minimum time between two log lines about the speed of one service.
    static constexpr Duration speedLogInterval = std::chrono::seconds{5};
    static constexpr Duration linkLoadInterval = std::chrono::seconds{2}; ///< Between two reports.
    /// Share of the link's rate from which messages between nodes are logged.
    static constexpr double loggedLinkShare = 0.25;
    /// Minimum time between two writes of the estimates to the store, each of which is a billed call.
    static constexpr Duration estimatesInterval = std::chrono::seconds{3};
    /// Longest wait of reports and of changes of the store for the link. Later they would be out of date.
    static constexpr Duration maxLinkWait = std::chrono::seconds{1};
    static constexpr Duration minLinkWait = std::chrono::milliseconds{10}; ///< Shorter ones are left to the kernel.
    static constexpr std::size_t maxDepartures = 64; ///< Maximum number in one digest.
    static constexpr std::size_t maxLimits = 64; ///< Maximum number in one digest.
    /// Time during which digests repeat the end of an upstream's request limit or a service's brittleness.
    static constexpr Duration limitNewsTime = std::chrono::seconds{10};
    /// Fraction of the known nodes that must be live for this node to use all of an upstream's request limit. Otherwise
    /// the others may be alive but cut off from this one, and have a part of the limit.
    static constexpr double liveMajority = 0.5;
    /// The fleet's retry slack is divided into more shares than there are nodes, as nodes that were replaced or
    /// restarted have used a share too, and into at least this many, as a new node has not discovered all others yet.
    static constexpr unsigned minAllowanceShares = 12;
    static constexpr double allowanceSharesPerNode = 1.3;
    /// Limit on the calls of other nodes in progress, on a machine of capacity 1: what a quarter of a core passes on.
    static constexpr double relayedCallsPerCapacity = 200;
    static std::string ownPrefix()
    {
        return "gypsumtally/";
    }

    static std::string nodesPrefix()
    {
        return ownPrefix() + "nodes/";
    }

    static std::string quarantinePrefix()
    {
        return ownPrefix() + "quarantine/";
    }

    StreamRecordKeys streamKeys() const
    {
        return {ownPrefix() + "software/", "gypsumtally-streams/",
                m_address.node + '-' + std::to_string(m_address.startedAt)};
    }

    static std::string estimatesKey()
    {
        return ownPrefix() + "estimates";
    }

    static OrderKeys orderKeys(unsigned shard)
    {
        return {ownPrefix() + "order-holder/" + std::to_string(shard),
                ownPrefix() + "order-term/" + std::to_string(shard)};
    }

    static std::int64_t wallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    static OrderLeaseSettings leaseSettings(const GatewaySettings &settings)
    {
        OrderLeaseSettings lease;
        lease.handover = settings.orderHandover + handoverSlack;
        return lease;
    }

    /// Returns the limit on connections that may take @p share of the descriptors, or @p usual if there are enough.
    std::size_t connectionLimit(std::size_t usual, double share) const
    {
        return Budget::connectionLimit(usual, m_settings.maxDescriptors, share);
    }

    Relay::CallerServerSettings callerSettings()
    {
        Relay::CallerServerSettings server;
        server.maxConnections = connectionLimit(server.maxConnections, callerShare);
        server.memory = &m_memory;
        server.writeRejection = [](const Relay::Rejection &rejection) {
            return Http::Response{rejection.status, refusalHeaders(rejection.retryAfter), rejection.reason + '\n'};
        };
        return server;
    }

    /// Returns the settings of a server that answers from memory.
    Relay::CallerServerSettings auxiliarySettings(std::size_t maxConnections, double share)
    {
        Relay::CallerServerSettings server;
        server.limits.bodyBytes = maxAuxiliaryBody;
        server.maxConnections = connectionLimit(maxConnections, share);
        server.memory = &m_memory;
        return server;
    }

    /// Returns the settings for relayed calls under those for callers: calls have more headers on the way between
    /// nodes, and another status shows the other node that a call was not read.
    Relay::CallerServerSettings relayedCallSettings(Relay::CallerServerSettings settings) const
    {
        settings.limits.headerBytes += relayHeaderBytes;
        settings.maxConnections = connectionLimit(Relay::CallerServerSettings{}.maxConnections, peerShare);
        settings.shedStatus = unreadStatus;
        return settings;
    }

    static RetryBound retryBound(const GatewaySettings &settings)
    {
        return {settings.retryRatio, settings.retrySlack, settings.retryWindow, minAllowanceShares};
    }

    typename Registry::Observer operatorObserver()
    {
        return {[this](const std::vector<KeyValue> &values) {
                    for (const auto &value : values)
                        onOperatorDocument(value.key, value.value, value.modRevision);
                },
                [this](const KeyChange &change) {
                    if (change.value)
                        onOperatorDocument(change.key, *change.value, change.revision);
                },
                {},
                [this](bool reachable) {
                    m_log.note(reachable ? GatewayEvent::StoreBack : GatewayEvent::StoreLost, {{"watch", "operator"}});
                }};
    }

    typename Registry::Observer upstreamObserver()
    {
        return {[this](const std::vector<KeyValue> &values) {
                    std::set<std::string> instances;
                    for (const auto &value : values) {
                        instances.insert(instanceOf(value.key));
                        onUpstreamRecord(value.key, value.value);
                    }
                    m_context.upstreams.onSnapshot(instances, BootClock{}.now());
                },
                [this](const KeyChange &change) {
                    if (change.value)
                        return onUpstreamRecord(change.key, *change.value);
                    const auto instance = instanceOf(change.key);
                    m_context.upstreams.onRemoved(instance, BootClock{}.now());
                    m_forwarder.onUpstreamGone(instance);
                    m_log.note(GatewayEvent::UpstreamGone, {{"upstream", instance}});
                },
                [this] {
                    m_streams.observeServing(BootClock{}.now());
                    m_forwarder.onPlacement();
                },
                [this](bool reachable) {
                    const auto now = BootClock{}.now();
                    m_reachesStore = reachable;
                    if (reachable) {
                        m_context.upstreams.onRegistryBack(now);
                    } else {
                        m_context.upstreams.onRegistryLost(now);
                        m_registry.reconnectOthers();
                    }
                },
                {},
                {},
                {},
                [this](Instant time) { m_context.streams.onView(time); }};
    }

    typename Registry::Observer ownObserver()
    {
        return {[this](const std::vector<KeyValue> &values) {
                    std::vector<NodeAddress> nodes;
                    std::map<std::string, KeyValue> others;
                    for (const auto &value : values) {
                        if (const auto address = decodeNodeAddress(value.value))
                            nodes.push_back(*address);
                        else
                            others.emplace(value.key, value);
                    }
                    m_members.onSnapshot(nodes, BootClock{}.now());
                    for (unsigned shard = 0; shard < orderShards; ++shard)
                        onOrderRecords(shard, others);
                    if (const auto estimates = others.find(estimatesKey()); estimates != others.end())
                        onStoredEstimates(estimates->second.value);
                    m_quarantine.onSnapshot(others, BootClock{}.now());
                    m_streams.onSnapshot(others, BootClock{}.now(), wallMilliseconds());
                    m_loop.post([this] { m_forwarder.onConfiguration(); });
                },
                [this](const KeyChange &change) {
                    const auto now = BootClock{}.now();
                    if (applyOrderRecord(change) || m_quarantine.onChange(change, now)
                        || m_streams.onChange(change, now, wallMilliseconds()))
                        return;
                    if (change.key == estimatesKey())
                        return onStoredEstimates(change.value.value_or(""));
                    if (!change.key.starts_with(nodesPrefix()))
                        return;
                    if (!change.value)
                        return m_members.onUnlisted(change.key.substr(nodesPrefix().size()));
                    if (const auto address = decodeNodeAddress(*change.value))
                        m_members.onListed(*address, BootClock{}.now());
                },
                {},
                {}};
    }

    /// Returns true if this node reads the store for the other nodes of its failure domain.
    bool readsForDomain(Instant now) const
    {
        return m_members.readerOf(m_address.failureDomain, m_reachesStore, now) == m_address;
    }

    ReadRole readRole(Instant now) const
    {
        if (now - m_started < joiningTime)
            return ReadRole::Joining;
        return readsForDomain(now) ? ReadRole::Reader : ReadRole::Standby;
    }

    /// Returns a factor from 1 to 1.3, derived from the name of @p node, so that it differs between nodes.
    static double jitterFactorOf(const std::string &node)
    {
        return 1 + maxJitter * fractionOf(XXH3_64bits(node.data(), node.size()));
    }

    /// Sends @p update, which this node has read from the store, to the nodes of its failure domain if it is their
    /// reader, or if it is a standby and the reader's updates are overdue.
    void publishUpdate(const RegistryUpdate &update, bool isOverdue)
    {
        const auto now = BootClock{}.now();
        const bool standsInForReader = isOverdue && readRole(now) == ReadRole::Standby;
        if (!standsInForReader && !readsForDomain(now))
            return;
        const auto targets = m_members.peersIn(m_address.failureDomain, now);
        if (targets.empty())
            return;
        auto delta = update.delta;
        dropUnusableValues(delta, maxUpdateBytes,
                           [&](const KeyChange &change) { return isUsable(update.view, change); });
        for (auto &part : split(std::move(delta), maxUpdateBytes, maxRevisionBytes))
            sendUpdate({update.view, std::move(part), m_storeEra}, targets, now);
    }

    /// Sends @p update to @p targets as the link bears it, beginning with another one each time. A target whose turn
    /// would come too late calls the store, as it lacks the changes.
    void sendUpdate(RegistryUpdate update, const std::vector<NodeAddress> &targets, Instant now)
    {
        const auto bytes = bytesOf(update.delta);
        auto notice = std::make_shared<GatewayMessage>(message());
        notice->registry.push_back(std::move(update));
        std::vector<NodeAddress> atOnce;
        const auto first = m_updates++;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (m_linkBudget.backlog(now) > maxLinkWait) {
                m_droppedBytes += (targets.size() - i) * bytes;
                break;
            }
            const auto &target = targets[(first + i) % targets.size()];
            const auto delay = m_linkBudget.take(bytes, now);
            if (delay < minLinkWait)
                atOnce.push_back(target);
            else
                m_loop.runAfter(delay, [this, notice, target, now] { sendHeldUpdate(*notice, target, now); });
        }
        m_peers.send(*notice, atOnce);
    }

    /// Sends a message with an update that was made at @p madeAt.
    void sendHeldUpdate(GatewayMessage notice, const NodeAddress &target, Instant madeAt)
    {
        auto &age = notice.registry.front().delta.age;
        if (age)
            *age += BootClock{}.now() - madeAt;
        m_peers.send(notice, {target});
    }

    /// Returns true if the value of @p change, which it must have, means anything to a node.
    static bool isUsable(RegistryView view, const KeyChange &change)
    {
        switch (view) {
        case RegistryView::OperatorDocuments: {
            const auto document = Platform::readOperatorDocument(change.key, *change.value);
            return std::holds_alternative<TrafficPolicy>(document)
                   || std::holds_alternative<VersionDeclaration>(document);
        }
        case RegistryView::UpstreamRecords:
            return std::holds_alternative<UpstreamRecord>(
                Platform::readUpstream(instanceOf(change.key), *change.value));
        case RegistryView::OwnRecords:
            break;
        }
        return change.value->size() <= maxUpdateBytes && parseObject(*change.value).has_value();
    }

    /// Passes the lease records of @p shard in a snapshot of the store, or their absence, to its PlacementController.
    void onOrderRecords(unsigned shard, const std::map<std::string, KeyValue> &records)
    {
        const auto at = [&](const std::string &key) {
            const auto it = records.find(key);
            return it == records.end() ? std::pair{std::optional<std::string>{}, Revision{}}
                                       : std::pair{std::optional(it->second.value), it->second.modRevision};
        };
        const auto [term, termRevision] = at(orderKeys(shard).term);
        m_orders[shard]->onTermRecord(term, termRevision);
        const auto [holder, holderRevision] = at(orderKeys(shard).holder);
        m_orders[shard]->onHolderRecord(holder, holderRevision);
    }

    /// Passes @p change to the shard's PlacementController and returns true if it is of a lease record; otherwise
    /// returns false.
    bool applyOrderRecord(const KeyChange &change)
    {
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            const auto keys = orderKeys(shard);
            if (change.key == keys.term)
                return m_orders[shard]->onTermRecord(change.value, change.revision), true;
            if (change.key == keys.holder)
                return m_orders[shard]->onHolderRecord(change.value, change.revision), true;
        }
        return false;
    }

    static std::string instanceOf(const std::string &key)
    {
        return key.substr(std::string(Platform::upstreamPrefix()).size());
    }

    void onOperatorDocument(const std::string &key, const std::string &value, Revision revision)
    {
        auto document = Platform::readOperatorDocument(key, value);
        if (const auto *bad = std::get_if<BadDocument>(&document)) {
            m_log.decision(GatewayEvent::BadDocument, key, {{"key", key}, {"reason", bad->reason}});
        } else if (auto *policy = std::get_if<TrafficPolicy>(&document)) {
            if (m_context.routes && policy->version <= m_context.routes->policy().version)
                return;
            m_context.configuredAt = BootClock{}.now();
            const auto earliest = m_registry.earliestTimeOf(revision);
            const bool isFirst = earliest == Instant::min(); // It may have been written at any time.
            const auto ageMs = isFirst ? 0 : (m_context.configuredAt - earliest).count() / 1000;
            m_log.note(
                GatewayEvent::ConfigurationInForce,
                {{"version", std::to_string(policy->version)},
                 {"revision", std::to_string(revision)},
                 {"written_within_ms", isFirst ? "unknown" : std::to_string(ageMs)},
                 {"routes", std::to_string(policy->routes.size())},
                 {"organisations", policy->organisations ? std::to_string(policy->organisations->size()) : "none"}});
            m_context.routes = std::make_shared<RouteTable>(std::move(*policy));
            m_context.fleetAllowance.setLimits(limitsOf(m_context.routes->policy()), m_context.configuredAt);
            std::erase_if(m_context.speeds, [&](const auto &item) { return !m_context.routes->service(item.first); });
            auto server = callerSettings();
            const auto &limits = m_context.routes->policy().limits;
            server.limits = {limits.headerBytes, limits.bodyBytes};
            server.headerTimeout = limits.headerTimeout;
            server.idleTimeout = limits.idleTimeout;
            m_callers.setSettings(server);
            server.idleTimeout = Relay::CallerServerSettings{}.idleTimeout;
            m_relayed.setSettings(relayedCallSettings(server));
            m_loop.post([this] { m_forwarder.onConfiguration(); });
        } else if (const auto *declared = std::get_if<VersionDeclaration>(&document)) {
            if (!m_context.declare(declared->target, declared->version, m_registry.earliestTimeOf(revision),
                                   BootClock{}.now()))
                return;
            for (const auto &orders : m_orders)
                orders->onVersionDeclared(declared->target, declared->version);
            m_log.note(GatewayEvent::VersionDeclared,
                       {{"target", declared->target}, {"version", std::to_string(declared->version)}});
        }
    }

    static std::map<std::string, Allowances::Limit> limitsOf(const TrafficPolicy &policy)
    {
        std::map<std::string, Allowances::Limit> limits;
        if (policy.organisations) {
            for (const auto &organisation : *policy.organisations)
                limits.emplace(organisation.name, organisation.limit);
        }
        return limits;
    }

    void onUpstreamRecord(const std::string &key, const std::string &value)
    {
        const auto instance = instanceOf(key);
        const auto record = Platform::readUpstream(instance, value);
        if (const auto *bad = std::get_if<BadDocument>(&record)) {
            m_log.decision(GatewayEvent::BadDocument, key, {{"reason", bad->reason}});
            return;
        }
        const auto &known = std::get<UpstreamRecord>(record);
        const auto *before = m_context.upstreams.find(instance);
        const bool leaves = known.draining && (!before || !before->record.draining);
        if (m_context.upstreams.onRecord(known, BootClock{}.now())) {
            m_forwarder.onUpstreamGone(instance);
            m_context.recordProcess(known, BootClock{}.now());
            m_log.note(GatewayEvent::UpstreamFound, {{"upstream", instance},
                                                     {"service", known.service},
                                                     {"software", known.softwareVersion},
                                                     {"endpoint", Http::toString(known.endpoint)},
                                                     {"targets", std::to_string(known.targets.size())}});
        }
        if (leaves)
            m_log.note(GatewayEvent::UpstreamLeaving, {{"upstream", instance}, {"source", "registry"}});
    }

    /// Logs the @p effect of a statement in an answer of @p process and broadcasts it to the other nodes. Logs the
    /// names of the headers in @p unreadable, whose values were not valid.
    void handleStatement(const UpstreamProcess &process, const StatementEffect &effect,
                         const std::vector<std::string> &unreadable)
    {
        for (const auto &header : unreadable) {
            m_metrics.add(Metric::UpstreamStatements, {{"statement", "unreadable"}});
            m_log.decision(GatewayEvent::BadHeader, process.instance, {{"header", header}});
        }
        auto notice = report();
        if (effect.leaves) {
            m_metrics.add(Metric::UpstreamStatements, {{"statement", "leaving"}});
            m_log.note(GatewayEvent::UpstreamLeaving, {{"upstream", process.instance}, {"source", "answer"}});
            if (auto *upstream = m_context.upstreams.find(process.instance))
                upstream->announcedLeaving = true;
            notice.departures.push_back({process.instance, process.startedAt});
        }
        if (effect.turnedAwayFor > Duration{}) {
            m_metrics.add(Metric::UpstreamStatements, {{"statement", "turned_away"}});
            m_log.decision(GatewayEvent::UpstreamTurnsAway, process.instance,
                           {{"for_ms", std::to_string(effect.turnedAwayFor.count() / 1000)}});
            notice.turnedAway.push_back({process, effect.turnedAwayFor});
        }
        if (auto *upstream = m_context.upstreams.find(process.instance); upstream && effect.changesLimit) {
            m_metrics.add(Metric::UpstreamStatements, {{"statement", "request_limit"}});
            logRequestLimit(*upstream, "answer");
            addLimit(notice, *upstream, BootClock{}.now());
        }
        if (auto *upstream = m_context.upstreams.find(process.instance); upstream && effect.changesBrittleness) {
            m_metrics.add(Metric::UpstreamStatements, {{"statement", "brittle"}});
            logBrittleness(upstream->record.service, process.instance);
            addBrittleness(notice, upstream->record.service, BootClock{}.now());
        }
        if (!notice.departures.empty() || !notice.turnedAway.empty() || !notice.limits.empty()
            || !notice.brittleness.empty())
            broadcast(std::move(notice));
        if (effect.leaves || effect.changesLimit)
            m_loop.post([this] { m_forwarder.onPlacement(); });
    }

    /// Logs the request limit of @p upstream, or its end, as learnt from @p source.
    void logRequestLimit(const Upstream &upstream, const std::string &source)
    {
        const auto &limit = upstream.requestLimit.perSecond;
        m_log.note(GatewayEvent::UpstreamLimitsRequests, {{"upstream", upstream.record.instance},
                                                          {"per_second", limit ? std::to_string(*limit) : "none"},
                                                          {"source", source}});
    }

    /// Logs that an upstream was lost or found, and has waiting calls routed again.
    void handleReachChange(const ReachChange &change)
    {
        const auto ms = [](Duration duration) { return std::to_string(duration.count() / 1000); };
        const auto &instance = change.process.instance;
        if (change.isLost)
            m_log.note(GatewayEvent::ReachLost, {{"upstream", instance},
                                                 {"evidence", std::string(nameOf(change.evidence))},
                                                 {"failure", std::string(nameOf(change.failure))},
                                                 {"failing_ms", ms(change.lasted)},
                                                 {"peer", change.peer},
                                                 {"peer_contact_after_ms", ms(change.peerContactAfter)}});
        else
            m_log.note(GatewayEvent::ReachFound, {{"upstream", instance}, {"lost_ms", ms(change.lasted)}});
        m_loop.post([this] { m_forwarder.onPlacement(); });
    }

    /// Tells the other nodes what they must know now of the upstreams that this one reaches.
    void shareReach(Instant now)
    {
        NodeReport news;
        if (!addReachNews(news, m_context.reach, now))
            return;
        auto notice = report();
        notice.failedReach = std::move(news.failedReach);
        notice.contacts = std::move(news.contacts);
        notice.cutOff = std::move(news.cutOff);
        notice.hasCutOff = news.hasCutOff;
        broadcast(std::move(notice));
    }

    /// Shares the failures of the next few milliseconds at once, as a cut brings many.
    void shareReachSoon()
    {
        if (std::exchange(m_reachScheduled, true))
            return;
        m_loop.runAfter(reachDelay, [this] {
            m_reachScheduled = false;
            shareReach(BootClock{}.now());
        });
    }

    void tickReach(Instant now)
    {
        m_context.hasPeers = m_members.hasLivePeers(now);
        m_context.applyReach(now);
        const auto reach = ownReach();
        m_members.setOwnReach(reach);
        if (std::exchange(m_reach, reach) != reach)
            broadcast(report());
        shareReach(now);
    }

    /// Returns what this node reaches. Counts only engines for which @p counts returns true, if it is set.
    NodeReach ownReach(const std::function<bool(const std::string &instance)> &counts = {}) const
    {
        if (m_context.reach.cutOff().empty())
            return {};
        return reachOf(m_context.upstreams, engineServices(), counts);
    }

    std::set<std::string> engineServices() const
    {
        std::set<std::string> services;
        if (!m_context.routes)
            return services;
        for (const auto &service : m_context.routes->policy().services) {
            if (service.engine)
                services.insert(service.name);
        }
        return services;
    }

    /// Logs the brittleness of @p service, or its end, as learnt from @p source.
    void logBrittleness(const std::string &service, const std::string &source)
    {
        const auto refusals = m_context.upstreams.brittleness(service).refusalsPerSecond;
        m_log.note(GatewayEvent::ServiceBrittle,
                   {{"service", service},
                    {"refusals_per_second", refusals ? std::to_string(*refusals) : "none"},
                    {"source", source}});
    }

    /// Applies the settings that a running process can change. Logs problems, and whether other changes need a restart.
    void reloadSettings(const Parsed<GatewaySettings> &read)
    {
        if (!read)
            return m_log.note(GatewayEvent::SettingsRead,
                              {{"outcome", "refused"}, {"reason", toString(read.problems)}});
        const auto merged = applyReloadable(m_settings, *read.value);
        const bool changed = merged != m_settings;
        m_settings = merged;
        m_context.regions = m_settings.regions;
        m_context.maxBufferedAnswerBytes = m_settings.answerBufferBytes;
        m_memory.setLimits({m_settings.callerMemoryBytes});
        m_context.allowance.setBound(retryBound(m_settings));
        m_log.note(GatewayEvent::SettingsRead, {{"outcome", changed ? "reloaded" : "unchanged"},
                                                {"needs_restart", merged != *read.value ? "yes" : "no"}});
    }

    /// Logs the nodes that are no longer live, and those that are live again, since the last call.
    void logMemberChanges(Instant now)
    {
        auto live = m_members.liveNodes(now);
        const auto logDifference
            = [&](GatewayEvent event, const std::set<std::string> &from, const std::set<std::string> &in) {
                  std::string names;
                  for (const auto &node : from) {
                      if (!in.contains(node))
                          names += (names.empty() ? "" : ",") + node;
                  }
                  if (!names.empty())
                      m_log.note(event, {{"nodes", names}, {"live", std::to_string(live.size())}});
              };
        logDifference(GatewayEvent::PeersLost, m_livePeers, live);
        logDifference(GatewayEvent::PeersFound, live, m_livePeers);
        m_livePeers = std::move(live);
    }

    bool isReady() const
    {
        return m_context.routes && !m_context.awaitsVerdicts && !m_stop;
    }

    void answerReadiness(Relay::CallerExchange &exchange)
    {
        exchange.respond({isReady() ? 200U : 503U, {}, isReady() ? "ready\n" : "not ready\n"});
    }

    void answerEntries(Relay::CallerExchange &exchange)
    {
        const auto query = Platform::readEntryQuery(exchange.request());
        const auto endpoints = m_members.entryPoints(query.region, query.failureDomain, isReady(), BootClock{}.now());
        exchange.respond(Platform::writeEntries(endpoints, m_settings.entryTtl));
    }

    void answerMetrics(Relay::CallerExchange &exchange)
    {
        const auto now = BootClock{}.now();
        const auto age = [&](Instant since) { return std::chrono::duration<double>(now - since).count(); };
        m_metrics.set(Metric::CallsInFlight, static_cast<double>(m_forwarder.activeCalls()));
        if (m_context.routes)
            m_metrics.set(Metric::ConfigurationVersion, static_cast<double>(m_context.routes->policy().version));
        m_metrics.set(Metric::UnreachedUpstreams, static_cast<double>(m_context.reach.cutOff().size()));
        m_metrics.set(Metric::ViewAgeSeconds, age(m_context.upstreams.lastRecordAt()), {{"view", "upstreams"}});
        m_metrics.set(Metric::ViewAgeSeconds, age(m_lastPeerMessage), {{"view", "peers"}});
        for (const auto &service : m_context.allowance.services())
            m_metrics.set(Metric::RetriesLeft, m_context.allowance.left(service, now), {{"service", service}});
        for (const auto &[organisation, use] : m_limitLabels.label(m_context.fleetAllowance.uses(now))) {
            const MetricLabels labels{{"organisation", organisation}};
            m_metrics.set(Metric::OrganisationLimit, use.perSecond, labels);
            m_metrics.set(Metric::OrganisationLevel, use.level, labels);
            m_metrics.set(Metric::OrganisationGranted, use.granted, labels);
            m_metrics.set(Metric::OrganisationRefusals, static_cast<double>(use.refusals), labels);
        }
        for (const auto &[service, spread] : capacitySpreads(m_context, now)) {
            for (std::size_t i = 0; i < spreadNames.size(); ++i) {
                const MetricLabels labels{{"service", service}, {"stat", spreadNames[i]}};
                m_metrics.set(Metric::UpstreamSlowness, spread.slowness[i], labels);
                m_metrics.set(Metric::UpstreamLimit, spread.limits[i], labels);
            }
        }
        exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.text(now)});
    }

    /// Records the era of the store. In a later one than before, the store has lost what was written last, this node's
    /// leases among it, and gives revisions out again.
    void onStoreEra(StoreEra era)
    {
        const auto before = std::exchange(m_storeEra, era);
        for (const auto &orders : m_orders)
            orders->setEra(era);
        if (before == 0)
            return;
        m_log.note(GatewayEvent::StoreRestored, {{"era", std::to_string(era)}, {"before", std::to_string(before)}});
        const auto now = BootClock{}.now();
        m_context.upstreams.onRegistryLost(now);
        m_context.upstreams.onRegistryBack(now); // Entries that the copy lacks are written again soon.
        m_streams.onStoreRestored();
        m_registry.restart();
        m_lease = 0;
        registerSelf();
    }

    /// Writes this node's record under a new lease, in place of an earlier registration.
    void registerSelf()
    {
        if (m_stop)
            return;
        const auto retry = [this, registration = ++m_registrations] {
            m_loop.runAfter(registrationRetryInterval, [this, registration] {
                if (registration == m_registrations)
                    registerSelf();
            });
        };
        m_store.grantLease(nodeLeaseTtl, [this, retry,
                                          registration = m_registrations](std::optional<StoreLease> lease) {
            if (registration != m_registrations)
                return;
            if (!lease)
                return retry();
            m_lease = *lease;
            KeyTransaction transaction;
            transaction.puts.push_back({nodesPrefix() + m_settings.node, encode(m_address), KeyLifetime::NodeLease});
            m_store.transact(transaction, *lease, [this, retry, registration](const KeyReply &reply) {
                if (registration != m_registrations)
                    return;
                if (reply.outcome == KeyOutcome::Applied)
                    return renewLater(registration);
                retry();
            });
        });
    }

    void renewLater(std::uint64_t registration)
    {
        m_loop.runAfter(renewInterval, [this, registration] {
            if (registration == m_registrations)
                renewSelf();
        });
    }

    void renewSelf()
    {
        if (m_stop)
            return;
        m_store.renewLease(m_lease, [this, registration = m_registrations](std::optional<bool> renewed) {
            if (registration != m_registrations)
                return;
            if (renewed == false)
                return registerSelf();
            renewLater(registration);
        });
    }

    void tick()
    {
        const auto now = BootClock{}.now();
        if (m_lastTick != Instant{} && now - m_lastTick > tickInterval + lateTickDelay)
            m_log.note(GatewayEvent::LoopLate, {{"ms", std::to_string((now - m_lastTick).count() / 1000)}});
        m_tickBefore = std::exchange(m_lastTick, now);
        CapacityLearner(m_context).onTick(now);
        m_context.upstreams.sweep(now);
        tickReach(now);
        m_store.sweep(now);
        m_registry.setRole(readRole(now), m_settings.drainBound);
        tickOrders(now);
        const auto shares = allowanceSharesPerNode * static_cast<double>(1 + m_members.peerCount(now));
        m_context.allowance.setNodes(std::max(minAllowanceShares, static_cast<unsigned>(shares)));
        const double live = m_members.liveShare(now);
        m_context.limitShare = live > liveMajority ? 1 : live;
        tickAllowance(now);
        const auto nodes = m_members.liveNodes(now);
        m_context.rank.index = static_cast<unsigned>(std::distance(nodes.begin(), nodes.lower_bound(m_address.node)));
        m_context.rank.count = static_cast<unsigned>(nodes.size()) + 1;
        m_streams.tick(now, wallMilliseconds(), m_members.rankOfSelf(streamKeys().history, now));
        m_quarantine.tick(now, wallMilliseconds(), m_members.rankOfSelf(quarantinePrefix(), now));
        m_forwarder.onVerdicts();
        m_forwarder.sweep(now);
        shed();
        m_callers.sweep(now);
        m_relayed.sweep(now);
        if (++m_ticks % 10 == 0) {
            logMemberChanges(now);
            logRoles(now);
            reportLinkLoad(now);
            reportCallerLosses();
            m_context.reach.retain(
                [this](const std::string &instance) { return m_context.upstreams.find(instance) != nullptr; }, now);
            m_readiness.sweep(now);
            m_metricsServer.sweep(now);
            m_entries.sweep(now);
        }
        if (m_stop)
            continueStop(now);
        m_loop.runAfter(tickInterval, [this] { tick(); });
    }

    /// Sets this node's share of organisations' limits, and reports what it has charged to them if no other report has
    /// done so. The reports of an idle node keep it among those that are heard.
    void tickAllowance(Instant now)
    {
        const std::size_t minKnown = now - m_started < joiningTime ? minAllowanceShares : 1;
        m_context.fleetAllowance.setHeardShare(m_members.heardShare(minKnown, now), now);
        const bool isDue = m_context.fleetAllowance.isLimiting() && now - m_reportedAt >= maxReportPause;
        if (isDue || m_context.fleetAllowance.hasChangedSums())
            broadcast(report());
    }

    /// Makes memory free for callers if it is short.
    void shed()
    {
        m_memory.shed(BootClock{}.now());
    }

    /// Logs and counts the callers' and peers' requests and connections that were closed without an answer.
    void reportCallerLosses()
    {
        reportLosses("callers", m_callers, m_callerLosses);
        reportLosses("peers", m_relayed, m_peerLosses);
    }

    /// Logs and counts the requests and connections that a server has closed without an answer since @p reported.
    void reportLosses(const char *sender, const Relay::CallerServer &server, Relay::CallerLosses &reported)
    {
        if (server.losses() == reported)
            return;
        const auto last = std::exchange(reported, server.losses());
        std::vector<LogField> fields{{"from", sender}};
        for (const auto &[field, label, count] : Relay::callerLossKinds) {
            const auto losses = reported.*count - last.*count;
            fields.emplace_back(field, std::to_string(losses));
            m_metrics.add(Metric::CallerLosses, {{"from", sender}, {"kind", std::string(label)}},
                          static_cast<double>(losses));
        }
        fields.emplace_back("open", std::to_string(server.connections()));
        fields.emplace_back("held_bytes", std::to_string(m_memory.used()));
        m_log.note(GatewayEvent::CallersUnanswered, fields);
    }

    /// Logs and counts a request from @p sender, callers or peers, that ended without a whole answer.
    void noteUnanswered(const char *sender, const Relay::UnansweredRequest &request)
    {
        const std::string cause(nameOf(request.cause));
        m_log.decision(GatewayEvent::RequestUnanswered, request.id,
                       {{"from", sender},
                        {"cause", cause},
                        {"reason", request.reason},
                        {"answering", request.hasBegun ? "yes" : "no"},
                        {"unsent_bytes", std::to_string(request.unsentBytes)},
                        {"after_ms", std::to_string(request.age.count() / 1000)}});
        m_metrics.add(Metric::UnansweredRequests, {{"from", sender}, {"cause", cause}});
    }

    /// Logs whether this node works for its failure domain, if that has changed.
    void logRoles(Instant now)
    {
        const Roles roles{m_dissemination.isRelay(m_members, now), readRole(now) == ReadRole::Reader};
        if (std::exchange(m_roles, roles) != roles)
            m_log.note(GatewayEvent::RolesChanged,
                       {{"relay", roles.isRelay ? "yes" : "no"}, {"reader", roles.isReader ? "yes" : "no"}});
    }

    /// Counts the bytes exchanged with peers and the connections that were opened, and logs them if they take a good
    /// part of the link or connections were not made in time.
    void reportLinkLoad(Instant now)
    {
        if (now - m_linkLoadAt < linkLoadInterval)
            return;
        const auto time = now - std::exchange(m_linkLoadAt, now);
        const auto before = std::exchange(m_peerTraffic, m_peers.traffic());
        const LinkLoad load{time, since(before.sent, m_peerTraffic.sent),
                            since(before.received, m_peerTraffic.received), std::exchange(m_droppedBytes, 0),
                            m_forwarder.takeConnectionCounts()};
        countLinkLoad(load);
        const double capacity = m_settings.linkBytesPerSecond * std::chrono::duration<double>(time).count();
        const auto bytes = static_cast<double>(sumOf(load.sent) + sumOf(load.received));
        if (bytes >= loggedLinkShare * capacity || load.connections.late > 0)
            logLinkLoad(load, capacity);
    }

    void countLinkLoad(const LinkLoad &load)
    {
        const auto addBytes = [this](const char *direction, std::string_view kind, std::uint64_t bytes) {
            m_metrics.add(Metric::PeerBytes, {{"direction", direction}, {"kind", std::string(kind)}},
                          static_cast<double>(bytes));
        };
        for (const auto &[kind, name] : enumNames<PeerMessageKind>) {
            addBytes("out", name, load.sent[static_cast<std::size_t>(kind)]);
            addBytes("in", name, load.received[static_cast<std::size_t>(kind)]);
        }
        addBytes("dropped", nameOf(PeerMessageKind::Registry), load.dropped);
        const auto addConnections = [this](const char *outcome, std::uint64_t count) {
            m_metrics.add(Metric::Connections, {{"outcome", outcome}}, static_cast<double>(count));
        };
        addConnections("opened", load.connections.opened);
        addConnections("late", load.connections.late);
        addConnections("failed", load.connections.failed);
    }

    /// @p capacity is what the link bears in the time of @p load, in bytes.
    void logLinkLoad(const LinkLoad &load, double capacity)
    {
        std::vector<LogField> fields;
        for (const auto &[kind, name] : enumNames<PeerMessageKind>) {
            const auto index = static_cast<std::size_t>(kind);
            fields.emplace_back("sent_" + std::string(name), std::to_string(load.sent[index]));
            fields.emplace_back("received_" + std::string(name), std::to_string(load.received[index]));
        }
        fields.emplace_back("dropped", std::to_string(load.dropped));
        fields.emplace_back("over_ms", std::to_string(load.time.count() / 1000));
        fields.emplace_back("capacity", std::to_string(static_cast<std::uint64_t>(capacity)));
        fields.emplace_back("opened", std::to_string(load.connections.opened));
        fields.emplace_back("late", std::to_string(load.connections.late));
        fields.emplace_back("longest_ms", std::to_string(load.connections.longest.count() / 1000));
        fields.emplace_back("callers", std::to_string(m_callers.connections()));
        m_log.note(GatewayEvent::LinkLoad, fields);
    }

    void tickOrders(Instant now)
    {
        m_shardSizes = shardSizes(now);
        const bool mayLoad = now - m_started < joiningTime
                             || std::ranges::any_of(m_shardSizes, [](unsigned size) { return size > 0; });
        if (m_context.loadOrdersAvailable && !mayLoad)
            m_context.loadOutageSince = now;
        m_context.loadOrdersAvailable = mayLoad;
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            auto &orders = *m_orders[shard];
            const bool wasOrdering = orders.isOrdering();
            orders.setShardSizes(m_shardSizes);
            orders.setReachesEngines(reachesShard(shard));
            orders.setAcquireDelay(acquireDelay(shard, now));
            orders.tick(now);
            if (orders.isOrdering() && !wasOrdering)
                broadcast(report()); // Lets other nodes request loads from the new holder without delay.
        }
    }

    /// Returns true if this node reaches at least half of the engines of @p shard.
    bool reachesShard(unsigned shard) const
    {
        return ownReach([shard](const std::string &instance) { return shardOf(instance) == shard; }).engines;
    }

    /// Returns the time that this node waits before it acquires the vacant lease of @p shard. The last holder is
    /// preferred, as it need not wait for the end of another node's orders.
    Duration acquireDelay(unsigned shard, Instant now) const
    {
        const auto byRank
            = acquireDelayPerRank * m_members.orderRankOfSelf(orderKeys(shard).holder, now) + minAcquireDelay;
        const bool mayReturn = m_members.canOrder(m_orders[shard]->lastHolder(), now);
        return mayReturn ? byRank + lastHolderHeadStart : byRank;
    }

    /// Returns the number of engines of each shard that can receive orders; 0 for a shard without a holder.
    ShardSizes shardSizes(Instant now) const
    {
        ShardSizes sizes{};
        if (!m_context.routes)
            return sizes;
        for (const auto &[instance, upstream] : m_context.upstreams.all()) {
            const auto *service = m_context.routes->service(upstream.record.service);
            if (service && service->engine && upstream.staysInService())
                ++sizes[shardOf(instance)];
        }
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            if (!isOrdered(shard, now))
                sizes[shard] = 0;
        }
        return sizes;
    }

    /// Returns true if this node or a live peer orders the engines of @p shard.
    bool isOrdered(unsigned shard, Instant now) const
    {
        const auto &ordering = m_ordering[shard];
        return m_orders[shard]->isOrdering()
               || (!ordering.node.empty() && now - ordering.lastReportAt < orderingTimeout
                   && m_members.isLive(ordering.node, now));
    }

    /// Returns the peer that last reported that it orders the engines of @p shard; null if none has, if its address is
    /// not known, or if this node orders them.
    const NodeAddress *otherHolder(unsigned shard) const
    {
        const auto &ordering = m_ordering[shard];
        return m_orders[shard]->isOrdering() || ordering.node.empty() ? nullptr : m_members.find(ordering.node);
    }

    /// Returns a report with this node's state and no events. Only digests add the full address.
    NodeReport report()
    {
        NodeReport report;
        report.from.node = m_address.node;
        report.from.startedAt = m_address.startedAt;
        report.sequence = ++m_sequence;
        report.takesCallers = isReady();
        report.reachesStore = m_reachesStore;
        report.reach = m_reach;
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            if (m_orders[shard]->isOrdering())
                report.ordering.push_back(shard);
        }
        report.waiting = m_context.reserve.takeNews(BootClock{}.now());
        return report;
    }

    void addLoad(NodeReport &notice, const std::string &instance)
    {
        if (const auto *upstream = m_context.upstreams.find(instance))
            notice.changedInFlight[instance] = upstream->ownInFlight;
    }

    /// Adds what is known of the request limit of @p upstream, and this node's requests before it began if they have
    /// not been told yet.
    static void addLimit(NodeReport &notice, Upstream &upstream, Instant now)
    {
        notice.limits.push_back({{upstream.record.instance, upstream.record.startedAt},
                                 upstream.requestLimit.perSecond,
                                 now - upstream.requestLimit.asOf,
                                 upstream.limitsRequests() ? upstream.sends.takeEarlier(now) : 0});
    }

    void addBrittleness(NodeReport &notice, const std::string &service, Instant now) const
    {
        const auto known = m_context.upstreams.brittleness(service);
        notice.brittleness.push_back({service, known.refusalsPerSecond, now - known.asOf});
    }

    /// Records the brittleness of a service that another node reports.
    void onPeerBrittleness(const std::string &node, const BrittlenessNotice &notice, Instant now)
    {
        if (applyBrittleness(m_context.upstreams, notice.service, {notice.refusalsPerSecond, now - notice.age}))
            logBrittleness(notice.service, node);
    }

    /// Records the request limit that another node reports. Tells all nodes of this one's earlier requests if it is
    /// new.
    void onPeerLimit(const std::string &node, const LimitNotice &limit, Instant now)
    {
        const bool isChange = applyRequestLimit(m_context.upstreams, limit.process, {limit.perSecond, now - limit.age});
        auto *upstream = m_context.upstreams.find(limit.process.instance);
        if (upstream && upstream->limitsRequests())
            upstream->sends.addEarlier(limit.earlierSends);
        if (!isChange)
            return;
        logRequestLimit(*upstream, node);
        auto notice = report();
        addLimit(notice, *upstream, now);
        if (notice.limits.front().earlierSends > 0)
            broadcast(std::move(notice));
        m_loop.post([this] { m_forwarder.onPlacement(); });
    }

    /// Adds the shards whose lease this node has released recently.
    void addReleases(NodeReport &notice, Instant now) const
    {
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            if (const auto released = m_orders[shard]->released(now))
                notice.released.push_back({shard, released->term, now - released->lastOrderAt});
        }
    }

    /// Sends streams that this node has begun to the node that records them for the failure domain. Returns false if
    /// this is it.
    bool sendToRecorder(const std::vector<StreamOrigin> &streams)
    {
        const auto recorder = m_members.readerOf(m_address.failureDomain, m_reachesStore, BootClock{}.now());
        if (recorder == m_address)
            return false;
        auto notice = message();
        notice.begunStreams = streams;
        m_peers.send(notice, {recorder});
        return true;
    }

    /// Returns an empty message from this node.
    GatewayMessage message() const
    {
        GatewayMessage message;
        message.sender = m_address.node;
        return message;
    }

    /// Sends @p report to all other nodes, with the sums that organisations were charged.
    void broadcast(NodeReport report)
    {
        const auto now = BootClock{}.now();
        report.spent = m_context.fleetAllowance.takeChangedSums(now);
        if (report.isDigest())
            report.spent = m_context.fleetAllowance.ownSums();
        m_reportedAt = now;
        m_dissemination.add(std::move(report), now);
        flushSoon();
    }

    /// Sends pending reports, own and forwarded ones, at once in a small fleet and in batches in a large one.
    void flushSoon()
    {
        if (m_flushScheduled)
            return;
        const auto now = BootClock{}.now();
        const auto pause = m_dissemination.pause(m_members, now);
        if (pause == Duration{})
            return flush();
        m_flushScheduled = true;
        m_loop.runAfter(std::max(pause, std::min(m_linkBudget.backlog(now), maxLinkWait)), [this] {
            m_flushScheduled = false;
            flush();
        });
    }

    void flush()
    {
        const auto now = BootClock{}.now();
        for (const auto &delivery : m_dissemination.flush(m_members, now)) {
            const auto bytes = m_peers.send(delivery.message, delivery.targets);
            if (kindOf(delivery.message) == PeerMessageKind::ForwardedReports)
                m_linkBudget.take(bytes, now);
        }
    }

    void digest()
    {
        const auto now = BootClock{}.now();
        auto digest = report();
        digest.from = m_address;
        digest.operatorRevision = m_registry.newestOperatorChange();
        digest.hasInFlight = true;
        digest.waiting = m_context.reserve.tellWaiting(now);
        digest.holdsVersions = true;
        for (auto &[instance, upstream] : m_context.upstreams.all()) {
            if (upstream.ownInFlight > 0)
                digest.inFlight.emplace(instance, upstream.ownInFlight);
            if (upstream.announcedLeaving && !upstream.record.draining && digest.departures.size() < maxDepartures)
                digest.departures.push_back({instance, upstream.record.startedAt});
            const auto limitAsOf = upstream.requestLimit.asOf;
            const bool isLimitNews
                = upstream.limitsRequests() || (limitAsOf != Instant{} && now - limitAsOf < limitNewsTime);
            if (isLimitNews && digest.limits.size() < maxLimits)
                addLimit(digest, upstream, now);
            addStep(digest, upstream, now);
        }
        for (const auto &[service, brittleness] : m_context.upstreams.allBrittleness()) {
            if (brittleness.refusalsPerSecond || now - brittleness.asOf < limitNewsTime)
                addBrittleness(digest, service, now);
        }
        logSpeeds(now);
        logLimits(now);
        storeEstimates(now);
        for (const auto &[service, speed] : m_context.speeds) {
            if (const auto learnt = speed.learnt(); learnt != Estimates::EstimatedSpeed{0, 0, 0, 0})
                digest.speeds.push_back({service, learnt});
        }
        std::vector<TargetDemand> used;
        for (auto it = m_context.uses.begin(); it != m_context.uses.end();) {
            auto &[target, use] = *it;
            used.push_back({use.service, target, static_cast<double>(use.started), {}});
            for (const auto &orders : m_orders)
                orders->onUsed(use.service, target, use.started);
            use.started = 0;
            it = use.inFlight == 0 ? m_context.uses.erase(it) : std::next(it);
        }
        m_quarantine.addTo(digest, now);
        addCuts(digest, m_context.reach);
        addReleases(digest, now);
        broadcast(std::move(digest));
        sendUse(used);
        for (const auto &node : m_members.silentNodes(now))
            m_context.upstreams.forgetPeer(node);
        const auto byFleet = digestIntervalPerNode * m_members.peerCount(now);
        m_loop.runAfter(std::max<Duration>(digestInterval, byFleet), [this] { this->digest(); });
    }

    void onStoredEstimates(const std::string &value)
    {
        const auto estimates = decodeFleetEstimates(value);
        if (!estimates)
            return;
        m_storedEstimates = *estimates;
        for (const auto &[service, speed] : estimates->speeds)
            m_context.speeds[service].restoreStored(speed);
        for (const auto &orders : m_orders)
            orders->restoreStoreFactor(estimates->storeFactor);
    }

    /// Writes the fleet's estimates to the store if they have changed enough. Only the node that orders the first shard
    /// does so.
    void storeEstimates(Instant now)
    {
        if (!m_orders.front()->isOrdering() || now - m_estimatesSent < estimatesInterval)
            return;
        FleetEstimates estimates;
        estimates.storeFactor = m_orders.front()->storeFactor();
        if (estimates.storeFactor == 0)
            estimates.storeFactor = m_storedEstimates.storeFactor;
        for (const auto &[service, speed] : m_context.speeds) {
            if (const auto known = speed.known(); known != Estimates::EstimatedSpeed{0, 0, 0, 0})
                estimates.speeds.emplace(service, known);
        }
        if (!isWorthStoring(estimates, m_storedEstimates))
            return;
        m_estimatesSent = now;
        KeyTransaction transaction;
        transaction.puts.push_back({estimatesKey(), encode(estimates), KeyLifetime::Durable});
        // The reply is ignored: the watch on the store reports the value once it is written.
        m_store.transact(transaction, 0, [](const KeyReply &) {});
    }

    /// Logs the speed of each service whose estimate has changed by loggedSpeedRatio since it was last logged.
    void logSpeeds(Instant now)
    {
        for (const auto &[service, learnt] : m_context.speeds) {
            const auto speed = learnt.speed();
            auto &logged = m_loggedSpeeds[service];
            if (!differs(speed, logged.speed, loggedSpeedRatio) || now - logged.at < speedLogInterval)
                continue;
            logged = {speed, now};
            m_log.note(GatewayEvent::SpeedLearnt, {{"service", service},
                                                   {"step_ms", std::to_string(speed.stepMs)},
                                                   {"prompt_tokens_per_ms", std::to_string(speed.promptTokensPerMs)},
                                                   {"stream_ms", std::to_string(speed.streamMs)},
                                                   {"answer_ms", std::to_string(speed.answerMs)}});
        }
    }

    /// Logs the upstreams whose learnt limit has changed much.
    void logLimits(Instant now)
    {
        for (const auto &instance : takeLimitChanges(m_context.upstreams, now)) {
            const auto &upstream = *m_context.upstreams.find(instance);
            const auto speed = m_context.speeds[upstream.record.service].speed();
            m_log.note(GatewayEvent::LimitLearnt, {{"upstream", instance},
                                                   {"limit", std::to_string(upstream.usableSlots(now))},
                                                   {"slots", std::to_string(upstream.record.slots)},
                                                   {"slowness", std::to_string(slownessNow(upstream, speed, now))},
                                                   {"in_flight", std::to_string(upstream.inFlight())}});
        }
    }

    /// Sends the use of targets since the last digest to the shards' holders, which place adapters by it.
    void sendUse(const std::vector<TargetDemand> &used)
    {
        std::vector<NodeAddress> holders;
        for (unsigned shard = 0; shard < orderShards; ++shard) {
            const auto *holder = otherHolder(shard);
            if (holder && std::ranges::find(holders, *holder) == holders.end())
                holders.push_back(*holder);
        }
        if (used.empty() || holders.empty())
            return;
        auto notice = message();
        notice.used = used;
        m_peers.send(notice, holders);
    }

    /// Requests a load from the holder of the first shard in the target's order, and from that of the next shard after
    /// each attemptsPerShard attempts.
    void requestLoad(const TargetDemand &wanted, unsigned attempt)
    {
        const auto shards = shardOrder(wanted.target, m_shardSizes);
        if (shards.empty())
            return;
        const auto shard = shards[attempt / attemptsPerShard % shards.size()];
        if (m_orders[shard]->isOrdering()) {
            m_loop.post([this, shard, wanted] { m_orders[shard]->onWanted(wanted, m_address.node); });
            return;
        }
        auto request = message();
        request.shard = shard;
        request.wanted.push_back(wanted);
        if (const auto *holder = otherHolder(shard))
            m_peers.send(request, {*holder});
    }

    void sendMissing(const std::string &instance, const ModelTarget &target)
    {
        const auto shard = shardOf(instance);
        m_orders[shard]->onMissing(instance, target);
        const auto *holder = otherHolder(shard);
        if (!holder)
            return;
        auto notice = message();
        notice.missing.push_back({instance, target, 0, true, {}});
        m_peers.send(notice, {*holder});
    }

    void broadcastPlacements(const std::vector<PlacementUpdate> &updates)
    {
        auto notice = report();
        notice.placements = noticesOf(updates);
        applyPlacements(notice.placements);
        broadcast(std::move(notice));
    }

    void sendFound(const std::string &requester, const std::vector<PlacementUpdate> &updates)
    {
        if (requester == m_address.node)
            return applyPlacements(noticesOf(updates));
        auto answer = message();
        answer.found = noticesOf(updates);
        if (const auto *address = m_members.find(requester))
            m_peers.send(answer, {*address});
    }

    static std::vector<PlacementNotice> noticesOf(const std::vector<PlacementUpdate> &updates)
    {
        const auto now = BootClock{}.now();
        std::vector<PlacementNotice> notices;
        notices.reserve(updates.size());
        for (const auto &each : updates)
            notices.push_back(
                {each.instance, each.target, each.version, each.dropped, std::max(Duration{}, each.usableAt - now)});
        return notices;
    }

    void applyPlacements(const std::vector<PlacementNotice> &placements)
    {
        const auto now = BootClock{}.now();
        for (const auto &each : placements) {
            auto *upstream = m_context.upstreams.find(each.instance);
            if (!upstream)
                continue;
            if (each.dropped) {
                upstream->residency.onDropped(each.target, now);
                continue;
            }
            upstream->residency.onLoading(each.target, each.version, now + each.usableIn, now);
            if (each.version == 0)
                upstream->cachedAdapters.onHeld(each.target);
        }
        if (!placements.empty())
            m_loop.post([this] { m_forwarder.onPlacement(); });
    }

    void onMessage(const GatewayMessage &message)
    {
        const auto now = BootClock{}.now();
        m_lastPeerMessage = now;
        for (const auto &report : message.reports)
            onReport(report, now);
        m_dissemination.onMessage(message, now);
        if (!m_dissemination.isEmpty())
            flushSoon();
        for (const auto &used : message.used) {
            for (const auto &orders : m_orders)
                orders->onUsed(used.service, used.target, used.requests);
        }
        for (const auto &wanted : message.wanted)
            m_orders[message.shard % orderShards]->onWanted(wanted, message.sender);
        for (const auto &missing : message.missing)
            m_orders[shardOf(missing.instance)]->onMissing(missing.instance, missing.target);
        applyPlacements(message.found);
        m_streams.record(message.begunStreams);
        for (const auto &update : message.registry)
            onRegistryUpdate(update);
    }

    /// Applies changes that another node has read, unless it has read them in another era of the store. Those of nodes
    /// that do not state the era count as ones of the known era.
    void onRegistryUpdate(const RegistryUpdate &update)
    {
        if (update.era > m_storeEra)
            m_registry.confirmEra();
        else if (update.era == 0 || update.era == m_storeEra)
            m_registry.onDelta(update, m_tickBefore);
    }

    void onReport(const NodeReport &report, Instant now)
    {
        if (report.from.node == m_address.node)
            return;
        const ReportStamp stamp{report.from.node, report.from.startedAt, report.sequence};
        m_context.fleetAllowance.onPeerSums(
            {report.from.node, report.from.startedAt, report.sequence, report.isDigest(), report.spent}, now);
        const bool isNewest = m_members.onReport(report, now, m_tickBefore);
        applyReachNews(m_context.reach, report, isNewest, m_address.node,
                       report.failedReach.empty() ? std::set<std::string>{} : m_members.liveNodes(now), now);
        m_context.applyReach(now);
        if (isNewest) {
            m_registry.onNewerOperatorChange(report.operatorRevision);
            for (const auto shard : report.ordering) {
                if (shard < orderShards)
                    m_ordering[shard] = {report.from.node, now};
            }
            if (report.hasInFlight)
                m_context.upstreams.onPeerLoads(stamp, report.inFlight);
        }
        if (m_members.isLive(report.from.node, now)) {
            for (const auto &[instance, requests] : report.changedInFlight)
                m_context.upstreams.onPeerLoad(stamp, instance, requests);
        }
        if (report.hasInFlight || !report.waiting.empty())
            m_context.reserve.onPeerWaiting(stamp.node, stamp.startedAt, stamp.sequence, report.waiting, now);
        for (const auto &released : report.released) {
            if (released.shard < orderShards)
                m_orders[released.shard]->onReleasedByOther({released.term, now - released.sinceLastOrder});
        }
        for (const auto &step : report.steps)
            CapacityLearner(m_context).onNotice(step, now);
        for (const auto &estimate : report.speeds) {
            if (m_context.routes && m_context.routes->service(estimate.service))
                m_context.speeds[estimate.service].onPeerReport(estimate.speed);
        }
        for (const auto &send : report.sends)
            applySendNotice(m_context.upstreams, report.from.node, send, now);
        for (const auto &limit : report.limits)
            onPeerLimit(report.from.node, limit, now);
        for (const auto &notice : report.brittleness)
            onPeerBrittleness(report.from.node, notice, now);
        for (const auto &process : report.departures) {
            if (applyDeparture(m_context.upstreams, process))
                m_log.note(GatewayEvent::UpstreamLeaving,
                           {{"upstream", process.instance}, {"source", report.from.node}});
        }
        for (const auto &[process, time] : report.turnedAway)
            applyTurnedAwayHint(m_context.upstreams, process, time, now);
        m_quarantine.onReport(report, now);
        for (const auto &stream : report.brokenStreams)
            m_context.streams.learn(stream, now);
        applyPlacements(report.placements);
    }

    void stop()
    {
        if (m_stop)
            return;
        const auto now = BootClock{}.now();
        const auto earliest = m_tickBefore == Instant{} ? now : m_tickBefore; // The last tick may follow a stall.
        m_stop = StopSchedule(earliest, now, m_settings.stopGrace);
        m_log.note(GatewayEvent::Stopping, {{"active", std::to_string(activeRequests())}});
        for (const auto &orders : m_orders)
            orders->stop();
        m_callers.announceClose();
        m_relayed.announceClose();
        broadcast(report());
        if (m_lease != 0)
            m_store.endLease(m_lease);
        m_forwarder.beginStop(*m_stop);
    }

    std::size_t activeRequests() const
    {
        return m_callers.activeRequests() + m_relayed.activeRequests();
    }

    void continueStop(Instant now)
    {
        if (now < m_stop->earliestExit())
            return;
        if (isDrained() || !m_stop->takesRequests(now, !m_members.relayPeers(now).empty())) {
            m_callers.stopAccepting();
            m_relayed.stopAccepting();
        }
        if (now >= m_stop->endOfCalls())
            endCalls();
        if (!isDrained() && now < m_stop->exitAt())
            return;
        m_callers.reportUnwritten();
        m_relayed.reportUnwritten();
        m_loop.stop();
    }

    bool isDrained() const
    {
        return m_callers.isDrained() && m_relayed.isDrained();
    }

    /// Ends all calls, and refuses requests that have come in part.
    void endCalls()
    {
        m_forwarder.endCalls();
        m_callers.refuseRest();
        m_relayed.refuseRest();
        flush();
    }

    GatewaySettings m_settings;
    GatewayLog m_log;
    Metrics m_metrics;
    Budget::MemoryBudget m_memory; ///< Outlives the loop, whose tasks hold connections.
    Http::EventLoop m_loop;
    typename Platform::Store m_store;
    NodeAddress m_address;
    MemberTable m_members;
    CallContext m_context;
    CrashQuarantine<typename Platform::Store> m_quarantine;
    StreamRecords<typename Platform::Store> m_streams;
    CallForwarder<typename Platform::Calls> m_forwarder;
    std::vector<std::unique_ptr<Orders>> m_orders; ///< Indexed by shard.
    Relay::CallerServer m_callers;
    Relay::CallerLosses m_callerLosses; ///< That were reported.
    Relay::CallerLosses m_peerLosses;
    Relay::CallerServer m_relayed; ///< Calls that other nodes pass on.
    Relay::CallerServer m_readiness;
    Relay::CallerServer m_entries;
    Relay::CallerServer m_metricsServer;
    PeerLink m_peers;
    LinkBudget m_linkBudget;
    Dissemination m_dissemination;
    std::uint64_t m_sequence = 0;
    Instant m_reportedAt{}; ///< When this node's last report was made.
    Allowances::LimitLabels m_limitLabels;
    std::uint64_t m_updates = 0; ///< Number of updates sent; each begins with another node.
    std::uint64_t m_droppedBytes = 0; ///< Of updates since the last report, which the link would not have borne.
    bool m_flushScheduled = false;
    bool m_reachScheduled = false;
    Registry m_registry;
    StoreLease m_lease = 0;
    std::uint64_t m_registrations = 0; ///< Number of registrations; replies to earlier ones than the last are ignored.
    StoreEra m_storeEra = 0;
    struct Ordering {
        std::string node;
        Instant lastReportAt{};
    };

    std::array<Ordering, orderShards> m_ordering; ///< The last peer to report that it orders each shard.
    ShardSizes m_shardSizes{}; ///< 0 for shards without a holder.
    /// True if the store answered the last call for the upstreams' records, the most frequent one.
    bool m_reachesStore = true;
    NodeReach m_reach;
    std::uint64_t m_ticks = 0;
    Instant m_started = BootClock{}.now();
    Instant m_lastTick{};
    /// The tick before the last. What is read now arrived later, also if the process was suspended until the last tick.
    Instant m_tickBefore{};
    Instant m_lastPeerMessage{};
    Roles m_roles; ///< Last logged.
    PeerTraffic m_peerTraffic; ///< Last reported.
    Instant m_linkLoadAt = BootClock{}.now(); ///< Time of the last report.
    struct LoggedSpeed {
        Estimates::Speed speed;
        Instant at{};
    };

    FleetEstimates m_storedEstimates; ///< Last seen in the store.
    Instant m_estimatesSent{};
    std::map<std::string, LoggedSpeed> m_loggedSpeeds; ///< Last logged speed, by service.
    std::set<std::string> m_livePeers; ///< Last logged set of live peers.
    std::optional<StopSchedule> m_stop; ///< Set from SIGTERM on.
};

} // namespace Gypsumtally::Gateway
