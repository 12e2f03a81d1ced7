#pragma once

#include "gateway/callcontext.h"
#include "gateway/crashdetector.h"
#include "gateway/dialect.h"
#include "relay/upstreamclient.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Outcome of asking an upstream for its start time.
enum class ProcessCheck {
    Same, ///< The process of the record answered.
    Another,
    NoAnswer, ///< None, or one without a start time: the process may be silent or full, and still be the same.
};

/// Finds out what has become of upstream processes: whether they have crashed when exchanges break there, and whether
/// they are still those of their records. Loop's thread only.
template<CallDialect Dialect, Relay::ExchangeClient Client>
class UpstreamMonitor
{
public:
    /// Time after which a process that was asked for its state counts as not answering.
    static constexpr Duration livenessTimeout = std::chrono::milliseconds{500};

    UpstreamMonitor(Client &client, CallContext &context)
        : m_client(client)
        , m_context(context)
    {
    }

    /// Finds out whether @p process, at which an exchange broke, has crashed. @p suspect is the request, or nothing if
    /// its answer had been going on; @p isEngine is false for a worker of a plain service.
    void onBroken(const UpstreamProcess &process, std::optional<CrashSuspect> suspect, bool isEngine, Instant now)
    {
        const auto *upstream = m_context.upstreams.find(process.instance);
        if (!upstream || !upstream->staysInService() || upstream->record.startedAt != process.startedAt)
            return; // It has left, which ends its requests whatever they are.
        const bool isCheckDue = m_detector.onBroken(process, std::move(suspect), now);
        // Plain services have no state to ask for, and an upstream that limits its requests may count the question.
        if (isEngine && !upstream->limitsRequests()) {
            if (isCheckDue)
                checkLiveness(process, upstream->record.endpoint);
        } else if (m_detector.isSimultaneous(process, now)) {
            onCrashed(process.instance, now);
        } else if (isCheckDue) {
            checkConnection(process, now);
        }
    }

    /// Reports the crash of an upstream if exchanges broke there recently, as it is presumed to be the cause.
    void onCrashed(const std::string &instance, Instant now)
    {
        const auto report = m_detector.onCrash(instance, now);
        if (!report)
            return;
        avoid(instance, now);
        if (m_context.hasPeers)
            m_unconfirmed.push_back({*report, now});
        else
            publish(*report, now);
    }

    /// Probes upstreams of which this node has no contact, and reports the crashes of those that no other node has had
    /// contact with since. Call it several times per second.
    void sweep(Instant now)
    {
        if (m_context.hasPeers || !m_context.reach.cutOff().empty()) {
            for (const auto &process : m_context.reach.takeProbes(now))
                probe(process);
        }
        repeatConnectionChecks(now);
        std::erase_if(m_unconfirmed, [&](const UnconfirmedCrash &crash) {
            const auto &process = crash.report.process;
            const bool isRefuted = m_context.reach.hasAnsweredPeerSince(process, crash.at)
                                   || m_context.reach.isCutOff(process.instance, now);
            if (!isRefuted && now - crash.at < Reachability::evidenceTime)
                return false;
            if (!isRefuted)
                publish(crash.report, now);
            else if (m_context.onCrashRefuted)
                m_context.onCrashRefuted(crash.report);
            return true;
        });
    }

    /// Asks the process of @p upstream for its start time, and calls @p onResult with whether it is the one of the
    /// record. Avoids the upstream for a while if it is not known to be.
    void verify(const Upstream &upstream, std::function<void(ProcessCheck)> onResult)
    {
        const UpstreamProcess process{upstream.record.instance, upstream.record.startedAt};
        const auto endpoint = upstream.record.endpoint;
        countQuestion(process.instance, BootClock{}.now());
        const auto onState = [this, process, sentAt = BootClock{}.now(),
                              onResult = std::move(onResult)](const Relay::WholeResponse &response) {
            recordAnswer(process, response, sentAt);
            const auto result = resultOf(response, process);
            if (result != ProcessCheck::Same)
                avoid(process.instance, BootClock{}.now());
            onResult(result);
        };
        m_client.fetch({endpoint, process.instance}, Dialect::writeLivenessCheck(process.instance), onState,
                       checkOptions());
    }

    /// Avoids the upstream for a while and closes its idle connections.
    void avoid(const std::string &instance, Instant now)
    {
        if (auto *upstream = m_context.upstreams.find(instance)) {
            upstream->avoidUntil = now + avoidanceTime;
            m_client.dropIdle({upstream->record.endpoint, instance});
        }
    }

private:
    /// Time for which an upstream is avoided after a failed connection, a silence, or a crash.
    static constexpr Duration avoidanceTime = std::chrono::milliseconds{600};

    /// Time that a process that crashes may take from the end of its exchanges to that of its listener.
    static constexpr Duration exitTime = std::chrono::milliseconds{300};
    static constexpr Duration connectionCheckInterval = std::chrono::milliseconds{100};

    static ProcessCheck resultOf(const Relay::WholeResponse &response, const UpstreamProcess &process)
    {
        if (response.head.status == 200)
            return Dialect::readStartTime(response.body) == process.startedAt ? ProcessCheck::Same
                                                                              : ProcessCheck::Another;
        const bool isAnother = response.head.status != 0 && Dialect::readReply(response.head).wrongInstance;
        return isAnother ? ProcessCheck::Another : ProcessCheck::NoAnswer;
    }

    static Relay::SendOptions checkOptions()
    {
        Relay::SendOptions options;
        options.connectTimeout = livenessTimeout;
        options.timeout = livenessTimeout;
        options.isAnonymous = true;
        return options;
    }

    /// Counts a question among the requests that the upstream gets, also before it limits them.
    void countQuestion(const std::string &instance, Instant now)
    {
        auto *upstream = m_context.upstreams.find(instance);
        if (!upstream)
            return;
        if (upstream->limitsRequests())
            m_context.announceSend({instance, 0, {}, 1}, now);
        else
            upstream->sends.addUnlimited(now);
    }

    /// Asks an engine at which an exchange broke for its state, and reports its crash if there is no such process.
    void checkLiveness(const UpstreamProcess &process, const Http::Endpoint &endpoint)
    {
        Relay::ExchangeObserver observer;
        const auto &instance = process.instance;
        const auto sentAt = BootClock{}.now();
        observer.onHead = [this, process, sentAt](const Http::ResponseHead &head) {
            m_context.reach.onProbeEnded(process, sentAt);
            if (Dialect::readReply(head).wrongInstance)
                onCrashed(process.instance, BootClock{}.now());
            else
                recordReply(process, head, sentAt);
        };
        observer.onFailure = [this, process, sentAt](const Relay::FailedExchange &failure) {
            const auto now = BootClock{}.now();
            m_context.reach.onProbeEnded(process, sentAt);
            m_context.recordFailure(process, reachFailureOf(failure.isLate), now);
            if (failure.isRefused)
                onCrashed(process.instance, now);
        };
        auto options = checkOptions();
        options.maxIdleAge = {};
        m_context.reach.onProbed(process, sentAt);
        countQuestion(instance, sentAt);
        m_client.send({endpoint, instance}, Dialect::writeLivenessCheck(instance), std::move(observer), options);
    }

    /// Finds out whether this node reaches @p process: asks an engine for its state, and connects to an upstream that
    /// has no state to ask for or may count the question.
    void probe(const UpstreamProcess &process)
    {
        const auto sentAt = BootClock{}.now();
        const auto *upstream = m_context.upstreams.find(process.instance);
        if (!upstream || upstream->record.startedAt != process.startedAt)
            return m_context.reach.onProbeEnded(process, sentAt);
        const Relay::Destination destination{upstream->record.endpoint, process.instance};
        const auto *service = m_context.routes ? m_context.routes->service(upstream->record.service) : nullptr;
        auto options = checkOptions();
        options.maxIdleAge = {};
        if (service && service->engine && !upstream->limitsRequests()) {
            const auto onState = [this, process, sentAt](const Relay::WholeResponse &response) {
                m_context.reach.onProbeEnded(process, sentAt);
                recordAnswer(process, response, sentAt);
            };
            countQuestion(process.instance, sentAt);
            m_client.fetch(destination, Dialect::writeLivenessCheck(process.instance), onState, options);
            return;
        }
        m_client.connect(
            destination,
            [this, process, sentAt](Relay::ConnectResult result) {
                m_context.reach.onProbeEnded(process, sentAt);
                if (result != Relay::ConnectResult::Connected || m_context.reach.hasFailedToConnect(process))
                    recordConnection(process, result, sentAt);
            },
            options);
    }

    /// Records whether @p process has accepted a connection.
    void recordConnection(const UpstreamProcess &process, Relay::ConnectResult result, Instant sentAt)
    {
        const auto now = BootClock{}.now();
        if (result == Relay::ConnectResult::Connected)
            m_context.recordContact(process, now, sentAt);
        else
            m_context.recordFailure(process, reachFailureOf(result == Relay::ConnectResult::Late), now);
    }

    static ReachFailure reachFailureOf(bool isLate)
    {
        return isLate ? ReachFailure::Unanswered : ReachFailure::NotConnected;
    }

    /// Connects to an upstream that must not be asked for its state, after an exchange broke there at @p brokenAt, and
    /// reports its crash if no process listens any more.
    void checkConnection(const UpstreamProcess &process, Instant brokenAt)
    {
        const auto *upstream = m_context.upstreams.find(process.instance);
        if (!upstream || upstream->record.startedAt != process.startedAt)
            return;
        const auto sentAt = BootClock{}.now();
        const auto onResult = [this, process, brokenAt, sentAt](Relay::ConnectResult result) {
            const auto now = BootClock{}.now();
            m_context.reach.onProbeEnded(process, sentAt);
            recordConnection(process, result, sentAt);
            if (result == Relay::ConnectResult::Refused)
                onCrashed(process.instance, now);
            else if (result == Relay::ConnectResult::Connected && now - brokenAt < exitTime)
                m_connectionChecks.push_back({process, brokenAt, now + connectionCheckInterval});
        };
        auto options = checkOptions();
        options.maxIdleAge = {};
        m_context.reach.onProbed(process, sentAt);
        m_client.connect({upstream->record.endpoint, process.instance}, onResult, options);
    }

    void repeatConnectionChecks(Instant now)
    {
        for (const auto &check : std::exchange(m_connectionChecks, {})) {
            if (now < check.dueAt)
                m_connectionChecks.push_back(check);
            else
                checkConnection(check.process, check.brokenAt);
        }
    }

    /// Records whether @p process has answered a question for its state.
    void recordAnswer(const UpstreamProcess &process, const Relay::WholeResponse &response, Instant sentAt)
    {
        const auto now = BootClock{}.now();
        if (response.head.status == 0)
            m_context.recordFailure(process, reachFailureOf(response.isLate), now);
        else if (!Dialect::readReply(response.head).wrongInstance)
            recordReply(process, response.head, sentAt);
    }

    /// Records an answer of @p process to a question, and what the process states of itself in it.
    void recordReply(const UpstreamProcess &process, const Http::ResponseHead &head, Instant sentAt)
    {
        const auto now = BootClock{}.now();
        m_context.recordContact(process, now, sentAt);
        auto statement = Dialect::readReply(head).statement;
        statement.isFull = false; // A question needs no room.
        // An answer without an id may be a copy of an earlier one, so that it neither raises nor ends a request limit.
        m_context.recordStatement(process, statement, now);
    }

    void publish(const CrashReport &report, Instant now)
    {
        if (m_context.onCrash)
            m_context.onCrash(report);
        else
            m_context.crashes.addOwn(report, now);
    }

    /// A crash that this node presumes, until other nodes' evidence can have arrived.
    struct UnconfirmedCrash {
        CrashReport report;
        Instant at{};
    };

    /// A further attempt to connect to an upstream at which an exchange broke.
    struct ConnectionCheck {
        UpstreamProcess process;
        Instant brokenAt{};
        Instant dueAt{};
    };

    Client &m_client;
    CallContext &m_context;
    CrashDetector m_detector;
    std::vector<ConnectionCheck> m_connectionChecks;
    std::vector<UnconfirmedCrash> m_unconfirmed;
};

} // namespace Gypsumtally::Gateway
