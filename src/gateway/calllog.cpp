#include "gateway/calllog.h"

namespace Gypsumtally::Gateway
{

namespace
{

/// Returns the node that has passed the call to this one, or an empty string.
std::string originNodeOf(const Call &call)
{
    return call.relayed ? call.relayed->origin : std::string{};
}

} // namespace

std::string toMs(Duration time)
{
    return std::to_string(time.count() / 1000);
}

bool isLate(const Call &call)
{
    return call.firstEvent > call.route.latencyObjective
           || (call.route.longestPause > Duration{} && call.longestPause > call.route.longestPause);
}

std::vector<LogField> answeredFields(const Call &call, Instant now)
{
    std::vector<LogField> fields{{"route", call.route.name},
                                 {"relayed_from", originNodeOf(call)},
                                 {"late", isLate(call) ? "yes" : "no"},
                                 {"target", call.request.target},
                                 {"upstream", call.instance},
                                 {"peer", call.peer},
                                 {"software", call.softwareAtSend},
                                 {"sent_after_ms", toMs(call.sentAt - call.arrival)},
                                 {"first_event_ms", toMs(call.firstEvent)},
                                 {"longest_pause_ms", toMs(call.longestPause)},
                                 {"total_ms", toMs(now - call.arrival)},
                                 {"objective_ms", toMs(call.route.latencyObjective)},
                                 {"urgency", std::to_string(call.urgency)},
                                 {"sends", std::to_string(call.sends)},
                                 {"in_flight", std::to_string(call.inFlightAtSend)},
                                 {"slowness", std::to_string(call.slownessAtSend)},
                                 {"limit", std::to_string(call.limitAtSend)},
                                 {"prompt", std::to_string(static_cast<long>(call.request.promptTokens))},
                                 {"unread", std::to_string(static_cast<long>(call.prefillBacklogAtSend))}};
    addWaits(fields, call);
    return fields;
}

std::vector<LogField> resumedFields(const Call &call)
{
    return {{"resumes", call.request.resumedId},
            {"after_event", std::to_string(*call.lastEvent)},
            {"within_answer", call.answering ? "yes" : "no"},
            {"upstream", call.instance},
            {"software", call.softwareAtSend},
            {"version_from", std::string(nameOf(call.versionSource))}};
}

std::vector<LogField> brokenOffFields(const Call &call, const std::string &reason)
{
    return {{"upstream", call.instance},
            {"relayed_from", originNodeOf(call)},
            {"software", call.softwareAtSend},
            {"reason", reason},
            {"events", std::to_string(call.lastEvent.value_or(0))}};
}

std::vector<LogField> cutFields(const Call &call, Instant now)
{
    return {{"route", call.route.name},
            {"upstream", call.instance},
            {"peer", call.peer},
            {"waiting", call.token == 0 ? "yes" : "no"},
            {"answering", call.answering ? "yes" : "no"},
            {"sent_before_ms", call.sends > 0 ? toMs(now - call.sentAt) : ""},
            {"after_ms", toMs(now - call.arrival)}};
}

std::vector<LogField> refusedFields(const Call &call, unsigned status, ErrorCode code, const std::string &reason,
                                    Instant now)
{
    return {{"status", std::to_string(status)},
            {"code", std::string(nameOf(code))},
            {"reason", reason},
            {"route", call.route.name},
            {"relayed_from", originNodeOf(call)},
            {"target", call.request.target},
            {"upstream", call.instance},
            {"urgency", std::to_string(call.urgency)},
            {"sends", std::to_string(call.sends)},
            {"after_ms", toMs(now - call.arrival)},
            {"verdict", std::string(nameOf(call.verdict))}};
}

void addPlaces(std::vector<LogField> &fields, const Call &call, const UpstreamCounts &counts)
{
    if (call.lastEvent) {
        fields.emplace_back("resumes", call.request.resumedId);
        fields.emplace_back("after_event", std::to_string(*call.lastEvent));
        fields.emplace_back("software", call.streamVersion.value_or("unknown"));
        if (call.streamVersion)
            fields.emplace_back("version_from", std::string(nameOf(call.versionSource)));
    }
    fields.emplace_back("open", std::to_string(counts.open));
    fields.emplace_back("suspect", std::to_string(counts.suspect));
    fields.emplace_back("cut_off", std::to_string(counts.cutOff));
    fields.emplace_back("limiting", std::to_string(counts.limiting));
}

void addConfiguration(std::vector<LogField> &fields, const RouteTable *routes, Instant configuredAt, Instant now)
{
    if (!routes) {
        fields.emplace_back("configuration", "none");
        return;
    }
    fields.emplace_back("configuration", std::to_string(routes->policy().version));
    fields.emplace_back("configuration_age_ms", toMs(now - configuredAt));
}

void addWaits(std::vector<LogField> &fields, const Call &call)
{
    for (const auto &[cause, name] : enumNames<WaitCause>) {
        if (const auto time = call.waits.of(cause); time > Duration{})
            fields.emplace_back("waited_" + std::string(name) + "_ms", toMs(time));
    }
}

} // namespace Gypsumtally::Gateway
