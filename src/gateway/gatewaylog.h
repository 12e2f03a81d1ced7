#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "logging/logging.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Gypsumtally::Gateway
{

/// What a gateway writes lines about.
enum class GatewayEvent {
    Started,
    Stopping,
    Stopped,
    StoreLost,
    StoreBack,
    PeersLost,
    PeersFound,
    SettingsRead,
    ConfigurationInForce,
    BadDocument,
    UpstreamFound,
    UpstreamLeaving,
    UpstreamGone,
    UpstreamTurnsAway,
    BadHeader,
    OrderLeaseTaken,
    OrderLeaseLost,
    OrderSent,
    EngineInspected,
    OrderFailed,
    VersionDeclared,
    Refused,
    SendFailed,
    NotRunByUpstream,
    BrokenOff,
    Answered,
    LoopLate,
    SpeedLearnt,
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::GatewayEvent, 28> enumNames<Gateway::GatewayEvent>{{
    {Gateway::GatewayEvent::Started, "started"},
    {Gateway::GatewayEvent::Stopping, "stopping"},
    {Gateway::GatewayEvent::Stopped, "stopped"},
    {Gateway::GatewayEvent::StoreLost, "store_lost"},
    {Gateway::GatewayEvent::StoreBack, "store_back"},
    {Gateway::GatewayEvent::PeersLost, "peers_lost"},
    {Gateway::GatewayEvent::PeersFound, "peers_found"},
    {Gateway::GatewayEvent::SettingsRead, "settings_read"},
    {Gateway::GatewayEvent::ConfigurationInForce, "configuration_in_force"},
    {Gateway::GatewayEvent::BadDocument, "bad_document"},
    {Gateway::GatewayEvent::UpstreamFound, "upstream_found"},
    {Gateway::GatewayEvent::UpstreamLeaving, "upstream_leaving"},
    {Gateway::GatewayEvent::UpstreamGone, "upstream_gone"},
    {Gateway::GatewayEvent::UpstreamTurnsAway, "upstream_turns_away"},
    {Gateway::GatewayEvent::BadHeader, "bad_header"},
    {Gateway::GatewayEvent::OrderLeaseTaken, "order_lease_taken"},
    {Gateway::GatewayEvent::OrderLeaseLost, "order_lease_lost"},
    {Gateway::GatewayEvent::OrderSent, "order_sent"},
    {Gateway::GatewayEvent::EngineInspected, "engine_inspected"},
    {Gateway::GatewayEvent::OrderFailed, "order_failed"},
    {Gateway::GatewayEvent::VersionDeclared, "version_declared"},
    {Gateway::GatewayEvent::Refused, "request_refused"},
    {Gateway::GatewayEvent::SendFailed, "send_failed"},
    {Gateway::GatewayEvent::NotRunByUpstream, "not_run_by_upstream"},
    {Gateway::GatewayEvent::BrokenOff, "answer_broken_off"},
    {Gateway::GatewayEvent::Answered, "answered"},
    {Gateway::GatewayEvent::LoopLate, "loop_late"},
    {Gateway::GatewayEvent::SpeedLearnt, "speed_learnt"},
}};

} // namespace Gypsumtally

namespace Gypsumtally::Gateway
{

/// Writes a gateway's log: every change of what it believes, and of decisions on requests at most so many lines a
/// second of one kind; how many were left out is written with the next line of that kind. Loop's thread only.
class GatewayLog
{
public:
    explicit GatewayLog(const Logging &log);

    /// Writes about the process or its view of others.
    void note(GatewayEvent event, const std::vector<LogField> &fields = {});

    /// Whether what detail() writes is wanted.
    bool isDetailed() const
    {
        return m_log.level() == LogLevel::Debug;
    }

    /// Writes about a request that was served; only at debug level.
    void detail(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields);

    /// Writes about one request.
    void decision(GatewayEvent event, const std::string &requestId, std::vector<LogField> fields);

private:
    struct Window {
        Instant since{};
        unsigned lines = 0;
        std::uint64_t omitted = 0;
    };

    const Logging &m_log;
    std::array<Window, enumNames<GatewayEvent>.size()> m_windows{};
};

} // namespace Gypsumtally::Gateway
