#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "gateway/waittimes.h"
#include "logging/logging.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// The events that a gateway logs.
enum class GatewayEvent {
    Started,
    Stopping,
    Stopped,
    StoreLost,
    StoreBack,
    StoreRestored,
    PeersLost,
    PeersFound,
    ReachLost,
    ReachFound,
    SettingsRead,
    ConfigurationInForce,
    BadDocument,
    UpstreamFound,
    UpstreamLeaving,
    UpstreamGone,
    UpstreamTurnsAway,
    UpstreamLimitsRequests,
    ServiceBrittle,
    UpstreamCrashed,
    CrashRefuted,
    CauseBlocked,
    CauseUnblocked,
    BadHeader,
    OrderLeaseTaken,
    OrderLeaseLost,
    OrderSent,
    EngineInspected,
    OrderFailed,
    VersionDeclared,
    Refused,
    SendFailed,
    SendHeld,
    NotRunByUpstream,
    BrokenOff,
    StreamResumed,
    StreamUnknown,
    CallRelayed,
    RelayedCallReceived,
    Answered,
    LoopLate,
    SpeedLearnt,
    LimitLearnt,
    CallersUnanswered,
    RequestUnanswered,
    CutByExit,
    RolesChanged,
    LinkLoad,
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::GatewayEvent, 48> enumNames<Gateway::GatewayEvent>{{
    {Gateway::GatewayEvent::Started, "started"},
    {Gateway::GatewayEvent::Stopping, "stopping"},
    {Gateway::GatewayEvent::Stopped, "stopped"},
    {Gateway::GatewayEvent::StoreLost, "store_lost"},
    {Gateway::GatewayEvent::StoreBack, "store_back"},
    {Gateway::GatewayEvent::StoreRestored, "store_restored"},
    {Gateway::GatewayEvent::PeersLost, "peers_lost"},
    {Gateway::GatewayEvent::PeersFound, "peers_found"},
    {Gateway::GatewayEvent::ReachLost, "reach_lost"},
    {Gateway::GatewayEvent::ReachFound, "reach_found"},
    {Gateway::GatewayEvent::SettingsRead, "settings_read"},
    {Gateway::GatewayEvent::ConfigurationInForce, "configuration_in_force"},
    {Gateway::GatewayEvent::BadDocument, "bad_document"},
    {Gateway::GatewayEvent::UpstreamFound, "upstream_found"},
    {Gateway::GatewayEvent::UpstreamLeaving, "upstream_leaving"},
    {Gateway::GatewayEvent::UpstreamGone, "upstream_gone"},
    {Gateway::GatewayEvent::UpstreamTurnsAway, "upstream_turns_away"},
    {Gateway::GatewayEvent::UpstreamLimitsRequests, "upstream_limits_requests"},
    {Gateway::GatewayEvent::ServiceBrittle, "service_brittle"},
    {Gateway::GatewayEvent::UpstreamCrashed, "upstream_crashed"},
    {Gateway::GatewayEvent::CrashRefuted, "crash_refuted"},
    {Gateway::GatewayEvent::CauseBlocked, "cause_blocked"},
    {Gateway::GatewayEvent::CauseUnblocked, "cause_unblocked"},
    {Gateway::GatewayEvent::BadHeader, "bad_header"},
    {Gateway::GatewayEvent::OrderLeaseTaken, "order_lease_taken"},
    {Gateway::GatewayEvent::OrderLeaseLost, "order_lease_lost"},
    {Gateway::GatewayEvent::OrderSent, "order_sent"},
    {Gateway::GatewayEvent::EngineInspected, "engine_inspected"},
    {Gateway::GatewayEvent::OrderFailed, "order_failed"},
    {Gateway::GatewayEvent::VersionDeclared, "version_declared"},
    {Gateway::GatewayEvent::Refused, "request_refused"},
    {Gateway::GatewayEvent::SendFailed, "send_failed"},
    {Gateway::GatewayEvent::SendHeld, "send_held"},
    {Gateway::GatewayEvent::NotRunByUpstream, "not_run_by_upstream"},
    {Gateway::GatewayEvent::BrokenOff, "answer_broken_off"},
    {Gateway::GatewayEvent::StreamResumed, "stream_resumed"},
    {Gateway::GatewayEvent::StreamUnknown, "stream_unknown"},
    {Gateway::GatewayEvent::CallRelayed, "call_relayed"},
    {Gateway::GatewayEvent::RelayedCallReceived, "relayed_call_received"},
    {Gateway::GatewayEvent::Answered, "answered"},
    {Gateway::GatewayEvent::LoopLate, "loop_late"},
    {Gateway::GatewayEvent::SpeedLearnt, "speed_learnt"},
    {Gateway::GatewayEvent::LimitLearnt, "limit_learnt"},
    {Gateway::GatewayEvent::CallersUnanswered, "callers_unanswered"},
    {Gateway::GatewayEvent::RequestUnanswered, "request_unanswered"},
    {Gateway::GatewayEvent::CutByExit, "cut_by_exit"},
    {Gateway::GatewayEvent::RolesChanged, "roles_changed"},
    {Gateway::GatewayEvent::LinkLoad, "link_load"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// The log of a gateway. Writes every change of the process's state and of its view of other processes. Limits lines
/// about decisions on single requests to a rate per event, and writes the number of suppressed lines with the next line
/// of that event. Loop's thread only.
class GatewayLog
{
public:
    explicit GatewayLog(const Logging &log);

    /// Writes a line about the process or its view of others, without a rate limit.
    void note(GatewayEvent event, const std::vector<LogField> &fields = {});

    /// Returns true if detail() writes lines.
    bool isDetailed() const
    {
        return m_log.level() == LogLevel::Debug;
    }

    /// Writes a line about a request that was served; only at debug level and without a rate limit.
    void detail(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields);

    /// Writes a line about a decision on one request, unless the event's rate limit is exceeded.
    void decision(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields);

private:
    struct Window {
        Instant since{};
        unsigned lines = 0;
        std::uint64_t suppressed = 0;
    };

    const Logging &m_log;
    std::array<Window, enumNames<GatewayEvent>.size()> m_windows{};
};

/// Returns the first of @p names with commas between them, for one field of a line. Thread-safe.
std::string joined(const std::vector<std::string> &names);

} // namespace Gypsumtally::Gateway
