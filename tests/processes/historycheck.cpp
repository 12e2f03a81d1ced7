#include "processes/historycheck.h"

#include "fakes/fakeengine.h"

#include <algorithm>
#include <map>

namespace Gypsumtally::Processes
{

namespace
{

constexpr std::string_view notRun = "not-run";

std::string describe(const CallResult &result)
{
    const bool isModel = !result.model.prompt.empty();
    return (isModel ? "call " + result.model.prompt : "booking " + result.booking.key) + " at entry "
           + std::to_string(result.entry) + " (status " + std::to_string(result.status) + ", verdict '" + result.verdict
           + "', code '" + result.code + "' " + result.reason + ")";
}

std::map<std::string, std::size_t> countBy(const std::vector<json::object> &events, std::string_view event,
                                           std::string_view field)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &entry : events) {
        if (Fakes::textAt(entry, "event") == event)
            ++counts[Fakes::textAt(entry, field)];
    }
    return counts;
}

void checkAnswer(const CallResult &result, std::vector<std::string> &found)
{
    if (result.status != 200)
        return;
    const auto expected = Fakes::answerText(result.model.model, result.model.prompt, result.model.tokens);
    if (result.isComplete && result.text != expected)
        found.push_back("complete answer does not match its adapter, version and prompt: " + describe(result));
    if (!expected.starts_with(result.text))
        found.push_back("answer contains tokens of another answer: " + describe(result));
    if (!result.isComplete && result.code.empty())
        found.push_back("answer truncated without an error: " + describe(result));
}

void checkModelCall(const CallResult &result, const std::map<std::string, std::size_t> &started,
                    std::vector<std::string> &found)
{
    checkAnswer(result, found);
    if (result.verdict == notRun && started.contains(result.model.prompt))
        found.push_back("verdict 'not-run', but the call ran: " + describe(result));
    if (result.isComplete && !started.contains(result.model.prompt))
        found.push_back("answered, but no engine ran the call: " + describe(result));
}

void checkBookings(const History &history, std::vector<std::string> &found)
{
    const auto ran = countBy(history.serviceEvents, "run", "call");
    for (const auto &[call, times] : ran) {
        if (times > 1)
            found.push_back("booking ran " + std::to_string(times) + " times: " + call);
    }
    std::map<std::string, bool> onlyNotRun;
    for (const auto &result : history.results) {
        if (result.booking.key.empty())
            continue;
        const auto call = result.booking.path + ' ' + result.booking.key;
        if (result.isComplete && !ran.contains(call))
            found.push_back("answered, but no service ran the booking: " + describe(result));
        const auto place = onlyNotRun.try_emplace(call, true).first;
        place->second = place->second && (result.verdict == notRun || !result.sent);
    }
    for (const auto &[call, never] : onlyNotRun) {
        if (never && ran.contains(call))
            found.push_back("only verdicts 'not-run', but the booking ran: " + call);
    }
}

} // namespace

History readHistory(Fleet &fleet, const Results &results)
{
    History history;
    history.results = results.all();
    for (const auto &engine : fleet.engines())
        std::ranges::move(engine->journal(), std::back_inserter(history.engineEvents));
    for (const auto &service : fleet.services())
        std::ranges::move(service->journal(), std::back_inserter(history.serviceEvents));
    return history;
}

std::vector<std::string> violations(const History &history, const std::set<std::size_t> &lossyEntries)
{
    std::vector<std::string> found;
    const auto started = countBy(history.engineEvents, "start", "prompt");
    for (const auto &result : history.results) {
        if (!result.model.prompt.empty())
            checkModelCall(result, started, found);
        if (result.status == 0 && !lossyEntries.contains(result.entry))
            found.push_back("no response from an entry without an injected fault: " + describe(result));
        if (result.code == "deadline_exceeded")
            found.push_back("deadline exceeded: " + describe(result));
        if (result.status != 0 && result.verdict.empty())
            found.push_back("response without a verdict: " + describe(result));
    }
    for (const auto &event : history.engineEvents) {
        if (Fakes::textAt(event, "event") == "violation")
            found.push_back("adapter evicted while a request was using it: " + json::serialize(event));
    }
    checkBookings(history, found);
    return found;
}

} // namespace Gypsumtally::Processes
