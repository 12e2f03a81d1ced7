#include "daemon/daemon.h"

#include "budget/connectionlimit.h"
#include "budget/memorybudget.h"
#include "daemon/corelink.h"
#include "daemon/exchangerunner.h"
#include "daemon/platformclient.h"
#include "daemon/requestserver.h"
#include "http/eventloop.h"
#include "logging/logging.h"
#include "node/nodecore.h"
#include "peer/peerkeys.h"

#include <array>
#include <memory>
#include <random>
#include <sys/resource.h>
#include <system_error>
#include <thread>
#include <vector>

namespace Gypsumtally
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds{5};
constexpr Duration idleTickInterval = std::chrono::milliseconds{10};
/// Shares of the descriptors; the rest is for connections to upstreams, peers and the platform.
constexpr double callersShare = 0.5;
constexpr double peersShare = 0.25;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

Incarnation newIncarnation()
{
    std::random_device source;
    const auto value = (static_cast<std::uint64_t>(source()) << 32U) | source();
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return {text.data()};
}

NodeRecord recordOf(const Settings &settings)
{
    return {
        settings.node,          newIncarnation(), settings.callers.advertise, settings.peers.advertise, settings.region,
        settings.failureDomain, NodeState::Live};
}

std::size_t connectionsOf(const Settings &settings, double share)
{
    rlimit limit{};
    auto descriptors = settings.machine.maxDescriptors;
    if (!descriptors && ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        descriptors = limit.rlim_cur;
    return Budget::connectionLimit(settings.maxConnections, descriptors, share);
}

/// The memory of all clients bounds the unsent answers of one.
ListenerLimits listenerLimits(const Settings &settings, double share, std::size_t memoryBytes)
{
    return {settings.requestLimits, connectionsOf(settings, share), memoryBytes};
}

LogLevel toLogLevel(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return LogLevel::Debug;
    case Severity::Info:
        return LogLevel::Info;
    case Severity::Warning:
        return LogLevel::Warning;
    case Severity::Error:
        return LogLevel::Error;
    }
    return LogLevel::Info;
}

/// The threads of a node and the rings between them.
class Daemon
{
public:
    Daemon(const Settings &settings, PeerKeys peerKeys, PeerKeys operatorTokens)
        : m_log(settings.logLevel, settings.logFormat, settings.node.value)
        , m_peerKeys(std::move(peerKeys))
        , m_operatorTokens(std::move(operatorTokens))
        , m_callersMemory(Budget::MemoryLimits{settings.machine.callersMemoryBytes})
        , m_peersMemory(Budget::MemoryLimits{settings.machine.peersMemoryBytes})
        , m_core({recordOf(settings), [this] { return m_peerKeys.keyToSend(); }})
        , m_callersLink(
              m_callersLoop, m_coreLoop, [this] { take(m_callersLink); },
              [this] { m_callersLink.actions().drain([this](NodeAction action) { performForCallers(action); }); })
        , m_peersLink(
              m_peersLoop, m_coreLoop, [this] { take(m_peersLink); },
              [this] { m_peersLink.actions().drain([this](NodeAction action) { performForPeers(action); }); })
        , m_upstreamsLink(
              m_upstreamsLoop, m_coreLoop, [this] { take(m_upstreamsLink); },
              [this] {
                  m_upstreamsLink.actions().drain(
                      [this](NodeAction action) { m_upstreams.perform(std::move(action)); });
              })
        , m_platformLink(
              m_platformLoop, m_coreLoop, [this] { take(m_platformLink); },
              [this] {
                  m_platformLink.actions().drain([this](NodeAction action) { m_platform.perform(std::move(action)); });
              })
        , m_callers(m_callersLoop, RequestServer::Audience::Callers,
                    listenerLimits(settings, callersShare, settings.machine.callersMemoryBytes), m_callersMemory,
                    m_callersLink.eventOutbox(), {})
        , m_peersServer(m_peersLoop, RequestServer::Audience::Peers,
                        listenerLimits(settings, peersShare, settings.machine.peersMemoryBytes), m_peersMemory,
                        m_peersLink.eventOutbox(), [this](std::string_view token) { return bearerOf(token); })
        , m_peersClient(m_peersLoop, m_peersLink.eventOutbox())
        , m_upstreams(m_upstreamsLoop, m_upstreamsLink.eventOutbox())
        , m_platform(m_platformLoop, settings, m_platformLink.eventOutbox())
    {
        m_callers.listen(settings.callers.listen);
        m_peersServer.listen(settings.peers.listen);
    }

    void run()
    {
        m_platformLoop.post([this] { m_platform.start(); });
        m_callersLoop.onTerminate([this] { m_callersLink.eventOutbox().send(StopRequested{}); });
        m_coreLoop.runAfter(tickInterval, [this] { tick(); });
        m_log.log(LogLevel::Info, "started", {{"incarnation", m_core.membership().self().incarnation.value}});
        {
            const std::jthread callers([this] { m_callersLoop.run(); });
            const std::jthread peers([this] { m_peersLoop.run(); });
            const std::jthread upstreams([this] { m_upstreamsLoop.run(); });
            const std::jthread platform([this] { m_platformLoop.run(); });
            m_coreLoop.run();
        }
        m_log.log(LogLevel::Info, "stopped", {});
    }

private:
    /// Returns the owner of @p token. Runs on the peers' thread without a lock, since the keys never change.
    Bearer bearerOf(std::string_view token) const
    {
        if (m_operatorTokens.accepts(token))
            return Bearer::Operator;
        return m_peerKeys.accepts(token) ? Bearer::Peer : Bearer::Nobody;
    }

    void take(CoreLink &link)
    {
        link.events().drain([this](NodeEvent event) { m_core.handle(std::move(event), m_clock.now()); });
        perform();
    }

    void tick()
    {
        m_core.tick(m_clock.now());
        perform();
        m_coreLoop.runAfter(m_core.calls().active() > 0 ? tickInterval : idleTickInterval, [this] { tick(); });
    }

    void perform()
    {
        for (auto &action : m_core.take())
            std::visit([this](auto &each) { send(std::move(each)); }, action);
    }

    template<typename Reply>
    void send(Reply reply)
    {
        auto &link = isFromPeer(reply.id) ? m_peersLink : m_callersLink;
        link.actionOutbox().send(std::move(reply));
    }

    void send(StartExchange start)
    {
        auto &link = linkTo(start.target);
        link.actionOutbox().send(std::move(start));
    }

    void send(CancelExchange cancel)
    {
        linkTo(cancel.target).actionOutbox().send(cancel);
    }

    void send(CallStore call)
    {
        m_platformLink.actionOutbox().send(std::move(call));
    }

    void send(const LogEntry &note)
    {
        m_log.log(toLogLevel(note.severity), note.event, note.fields);
    }

    void send(DrainListeners)
    {
        m_callersLink.actionOutbox().send(DrainListeners{});
        m_peersLink.actionOutbox().send(DrainListeners{});
    }

    /// Revokes the lease before the threads end, refuses requests that have arrived in part, and leaves time to send
    /// the last answers.
    void send(Stopped)
    {
        constexpr Duration lastAnswersTime = std::chrono::milliseconds{300};
        m_platformLoop.post([this] { m_platform.release(); });
        m_callersLoop.post([this] { m_callers.refuseRest(); });
        m_peersLoop.post([this] {
            m_peersServer.drain();
            m_peersServer.refuseRest();
        });
        m_coreLoop.runAfter(lastAnswersTime, [this] {
            for (auto *loop : {&m_callersLoop, &m_peersLoop, &m_upstreamsLoop, &m_platformLoop, &m_coreLoop})
                loop->stop();
        });
    }

    CoreLink &linkTo(ExchangeTarget target)
    {
        return target == ExchangeTarget::Peer ? m_peersLink : m_upstreamsLink;
    }

    void performForCallers(NodeAction &action)
    {
        if (std::holds_alternative<DrainListeners>(action))
            m_callers.drain();
        else
            m_callers.perform(std::move(action));
    }

    void performForPeers(NodeAction &action)
    {
        const bool isExchange
            = std::holds_alternative<StartExchange>(action) || std::holds_alternative<CancelExchange>(action);
        if (isExchange)
            m_peersClient.perform(std::move(action));
        else if (!std::holds_alternative<DrainListeners>(action))
            m_peersServer.perform(std::move(action));
    }

    SteadyClock m_clock;
    Logging m_log;
    PeerKeys m_peerKeys;
    PeerKeys m_operatorTokens;
    /// Of each listener, as they belong to different threads. They outlive the loops, whose tasks hold connections.
    Budget::MemoryBudget m_callersMemory;
    Budget::MemoryBudget m_peersMemory;
    NodeCore m_core;

    Http::EventLoop m_callersLoop;
    Http::EventLoop m_peersLoop;
    Http::EventLoop m_upstreamsLoop;
    Http::EventLoop m_platformLoop;
    Http::EventLoop m_coreLoop;

    CoreLink m_callersLink;
    CoreLink m_peersLink;
    CoreLink m_upstreamsLink;
    CoreLink m_platformLink;

    RequestServer m_callers;
    RequestServer m_peersServer;
    ExchangeRunner m_peersClient;
    ExchangeRunner m_upstreams;
    PlatformClient m_platform;
};

} // namespace

int runDaemon(const Settings &settings)
{
    auto peerKeys = PeerKeys::load(settings.peerKeyFiles);
    auto operatorTokens = PeerKeys::load({settings.operatorTokenFile});
    if (!peerKeys || !operatorTokens) {
        const auto problems = toString(peerKeys.problems) + toString(operatorTokens.problems);
        std::fprintf(stderr, "%s\n", problems.c_str());
        return exitBadSettings;
    }
    try {
        Daemon daemon(settings, std::move(*peerKeys.value), std::move(*operatorTokens.value));
        daemon.run();
    } catch (const std::system_error &error) {
        std::fprintf(stderr, "gypsumtallyd: %s\n", error.what());
        return exitFailed;
    }
    return 0;
}

} // namespace Gypsumtally
