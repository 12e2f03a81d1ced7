#pragma once

#include "gateway/callcontext.h"
#include "gateway/crashdetector.h"
#include "gateway/dialect.h"
#include "relay/upstreamclient.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

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
template<CallDialect Dialect>
class UpstreamMonitor
{
public:
    /// Time after which a process that was asked for its state counts as not answering.
    static constexpr Duration livenessTimeout = std::chrono::milliseconds{500};

    UpstreamMonitor(Relay::UpstreamClient &client, CallContext &context)
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
                checkLiveness(process.instance, upstream->record.endpoint);
        } else if (m_detector.isSimultaneous(process, now)) {
            onCrashed(process.instance, now);
        }
    }

    /// Reports the crash of an upstream if exchanges broke there recently, as it is presumed to be the cause.
    void onCrashed(const std::string &instance, Instant now)
    {
        const auto report = m_detector.onCrash(instance, now);
        if (!report)
            return;
        avoid(instance, now);
        if (m_context.onCrash)
            m_context.onCrash(*report);
        else
            m_context.crashes.addOwn(*report, now);
    }

    /// Asks the process of @p upstream for its start time, and calls @p onResult with whether it is the one of the
    /// record. Avoids the upstream for a while if it is not known to be. Where the upstream limits its requests, the
    /// question counts as one.
    void verify(const Upstream &upstream, std::function<void(ProcessCheck)> onResult)
    {
        const UpstreamProcess process{upstream.record.instance, upstream.record.startedAt};
        const auto endpoint = upstream.record.endpoint;
        if (upstream.limitsRequests())
            m_context.announceSend({process.instance, 0, {}, 1}, BootClock{}.now());
        const auto onState = [this, process, onResult = std::move(onResult)](const Relay::WholeResponse &response) {
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

    /// Asks an engine at which an exchange broke for its state, and reports its crash if there is no such process.
    void checkLiveness(const std::string &instance, const Http::Endpoint &endpoint)
    {
        Relay::ExchangeObserver observer;
        observer.onHead = [this, instance](const Relay::ResponseHead &head) {
            if (Dialect::readReply(head).wrongInstance)
                onCrashed(instance, BootClock{}.now());
        };
        observer.onFailure = [this, instance](const Relay::FailedExchange &failure) {
            if (failure.isRefused)
                onCrashed(instance, BootClock{}.now());
        };
        auto options = checkOptions();
        options.maxIdleAge = {};
        m_client.send({endpoint, instance}, Dialect::writeLivenessCheck(instance), std::move(observer), options);
    }

    Relay::UpstreamClient &m_client;
    CallContext &m_context;
    CrashDetector m_detector;
};

} // namespace Gypsumtally::Gateway
