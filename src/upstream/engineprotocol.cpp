#include "upstream/engineprotocol.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

constexpr unsigned httpOk = 200;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpTooManyRequests = 429;

/// HTTP statuses that, together with an error code in the body, mean that a request did not start.
constexpr std::array<unsigned, 5> refusalStatuses{404, 409, 412, 429, 503};

void parseAdapters(const std::vector<std::string> &names, std::vector<AdapterVersion> &adapters, std::size_t &others)
{
    for (const auto &name : names) {
        if (auto adapter = parseModelName(name))
            adapters.push_back(std::move(*adapter));
        else
            ++others;
    }
}

std::string errorCodeIn(std::string_view body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *inner = object ? object->if_contains("error") : nullptr;
    return inner && inner->is_object() ? textAt(inner->as_object(), "code") : std::string{};
}

Duration retryAfterIn(const Http::Headers &headers)
{
    const auto text = headers.get("Retry-After");
    double seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::optional<EngineStatus> parseEngineStatus(std::string_view body, Instant asOf)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    const auto *object = error ? nullptr : value.if_object();
    if (!object || textAt(*object, "incarnation").empty())
        return std::nullopt;
    EngineStatus status;
    status.report.engineIncarnation = textAt(*object, "incarnation");
    status.report.asOf = asOf;
    status.report.slots = numberAt<std::uint32_t>(*object, "slots");
    parseAdapters(textsAt(*object, "adapters"), status.report.loaded, status.report.otherAdapters);
    parseAdapters(textsAt(*object, "loading"), status.report.loading, status.report.otherAdapters);
    status.report.running = textsAt(*object, "running");
    status.running = static_cast<std::uint32_t>(status.report.running.size());
    status.waiting = numberAt<std::uint32_t>(*object, "waiting");
    status.maxRunning = numberAt<std::uint32_t>(*object, "max_running");
    status.checksFencing = flagAt(*object, "fencing");
    return status;
}

Http::Request orderRequest(const SendOrder &order)
{
    const auto *path = order.kind == OrderKind::Load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter";
    return {"POST",
            path,
            {{"Content-Type", "application/json"}, {"X-Fencing-Token", std::to_string(order.epoch)}},
            json::serialize(json::object{{"lora_name", toModelName(order.adapter)}})};
}

Http::Request cancelRequest(const std::string &requestId)
{
    return {"POST",
            "/v1/cancel",
            {{"Content-Type", "application/json"}},
            json::serialize(json::object{{"request_id", requestId}})};
}

OrderResult parseOrderResult(unsigned status, const Http::Headers &headers, std::string_view body)
{
    OrderResult end;
    if (status == httpOk) {
        end.outcome = SendOutcome::Done;
        return end;
    }
    const auto code = errorCodeIn(body);
    if (code.empty() || std::ranges::find(refusalStatuses, status) == refusalStatuses.end())
        return end;
    end.outcome = SendOutcome::Refused;
    end.isUnknownAdapter = status == httpNotFound && code == "unknown_adapter";
    end.isStoreBusy = status == httpTooManyRequests;
    end.retryAfter = retryAfterIn(headers);
    return end;
}

SendOutcome outcomeOf(const Http::TransportFailure &failure)
{
    return failure.sent ? SendOutcome::Unknown : SendOutcome::NotSent;
}

Failure parseEngineError(unsigned status, std::string_view body)
{
    const auto code = errorCodeIn(body);
    const bool isRefusal = !code.empty() && std::ranges::find(refusalStatuses, status) != refusalStatuses.end();
    const auto message = "the upstream answered " + std::to_string(status) + (code.empty() ? "" : ' ' + code);
    if (isRefusal)
        return {Verdict::NotRun, ErrorCode::UpstreamRefused, message, std::nullopt};
    return {Verdict::MayHaveRun, ErrorCode::UpstreamFailed, message, std::nullopt};
}

} // namespace Gypsumtally
