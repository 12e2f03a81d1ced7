#include "gateway/fleetestimates.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

namespace
{

constexpr double noteworthyRatio = 1.25; ///< After a restart, nodes relearn smaller changes within a second.

bool isSignificantChange(double current, double stored)
{
    return current > 0 && (current > noteworthyRatio * stored || stored > noteworthyRatio * current);
}

} // namespace

bool isWorthStoring(const FleetEstimates &current, const FleetEstimates &stored)
{
    if (isSignificantChange(current.storeFactor, stored.storeFactor))
        return true;
    return std::ranges::any_of(current.speeds, [&](const auto &item) {
        const auto &[service, speed] = item;
        const auto known = stored.speeds.find(service);
        const auto before = known == stored.speeds.end() ? Estimates::EstimatedSpeed{0, 0, 0, 0} : known->second;
        return isSignificantChange(speed.stepMs, before.stepMs)
               || isSignificantChange(speed.promptTokensPerMs, before.promptTokensPerMs)
               || isSignificantChange(speed.streamMs, before.streamMs)
               || isSignificantChange(speed.answerMs, before.answerMs);
    });
}

std::string encode(const FleetEstimates &estimates)
{
    json::array speeds;
    for (const auto &[service, speed] : estimates.speeds)
        speeds.push_back(json::object{{"service", service},
                                      {"step_ms", speed.stepMs},
                                      {"prompt_tokens_per_ms", speed.promptTokensPerMs},
                                      {"stream_ms", speed.streamMs},
                                      {"answer_ms", speed.answerMs}});
    return json::serialize(json::object{{"store_factor", estimates.storeFactor}, {"speeds", std::move(speeds)}});
}

std::optional<FleetEstimates> decodeFleetEstimates(std::string_view text)
{
    const auto object = parseObject(text);
    if (!object || !arrayAt(*object, "speeds"))
        return std::nullopt;
    FleetEstimates estimates;
    estimates.storeFactor = std::max(0.0, numberAt<double>(*object, "store_factor"));
    eachObjectAt(*object, "speeds", [&](const json::object &speed) {
        const auto figure = [&](std::string_view name) { return std::max(0.0, numberAt<double>(speed, name)); };
        estimates.speeds[textAt(speed, "service")]
            = {figure("step_ms"), figure("prompt_tokens_per_ms"), figure("stream_ms"), figure("answer_ms")};
    });
    return estimates;
}

} // namespace Gypsumtally::Gateway
