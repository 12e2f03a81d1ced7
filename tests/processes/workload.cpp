#include "processes/workload.h"

#include "fakes/fakeserver.h"
#include "processes/waiting.h"

#include <random>
#include <string_view>

namespace Gypsumtally::Processes
{

namespace json = boost::json;

namespace
{

constexpr std::string_view eventStart = "data: ";

Http::RequestOptions requestOptions()
{
    Http::RequestOptions options;
    options.idleTimeout = 2 * waitTimeout; // Exceeds the deadline of the daemons, so that their error is received.
    options.mayReuseConnection = false;
    return options;
}

std::string errorCode(const json::object &body)
{
    const auto *error = body.if_contains("error");
    return error && error->is_object() ? Fakes::textAt(error->as_object(), "code") : std::string();
}

std::string textOf(const json::object &body)
{
    const auto *choices = body.if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty())
        return {};
    return Fakes::textAt(choices->as_array().front().as_object(), "text");
}

void readStream(const std::string &body, CallResult &result)
{
    for (std::size_t at = 0; (at = body.find(eventStart, at)) != std::string::npos;) {
        at += eventStart.size();
        const auto line = body.substr(at, body.find('\n', at) - at);
        if (line == "[DONE]") {
            result.isComplete = result.code.empty();
            continue;
        }
        const auto event = Fakes::parseObject(line);
        result.text += textOf(event);
        if (const auto code = errorCode(event); !code.empty()) {
            result.code = code;
            result.verdict = Fakes::textAt(event.at("error").as_object(), "verdict");
        }
    }
}

void readResponse(const Http::Response &response, CallResult &result)
{
    result.status = response.status;
    result.verdict = response.headers.get("Gypsumtally-Verdict");
    const bool isStream = response.headers.get("Content-Type").starts_with("text/event-stream");
    if (isStream) {
        readStream(response.body, result);
        return;
    }
    const auto body = Fakes::parseObject(response.body);
    result.text = textOf(body);
    result.code = errorCode(body);
    result.isComplete = response.status == 200;
}

CallResult exchange(const Http::Endpoint &entry, Http::Request request)
{
    CallResult result;
    const auto answer = Http::fetch(entry, std::move(request), requestOptions());
    if (answer.response) {
        readResponse(*answer.response, result);
        return result;
    }
    result.sent = answer.failure.sent;
    result.reason = answer.failure.reason;
    return result;
}

} // namespace

CallResult send(const Http::Endpoint &entry, const ModelCall &call)
{
    const json::object body{
        {"model", call.model}, {"prompt", call.prompt}, {"max_tokens", call.tokens}, {"stream", call.streamed}};
    auto result = exchange(entry, {"POST", "/v1/completions", {}, json::serialize(body)});
    result.model = call;
    return result;
}

CallResult send(const Http::Endpoint &entry, const Booking &call)
{
    Http::Headers headers{{"Idempotency-Key", call.key}, {"Gypsumtally-Idempotent", "false"}};
    auto result = exchange(entry, {"POST", "/v1/services/booking" + call.path, std::move(headers), "{}"});
    result.booking = call;
    return result;
}

void Results::add(CallResult result)
{
    const std::lock_guard lock(m_mutex);
    m_completeCount += result.isComplete ? 1 : 0;
    m_results.push_back(std::move(result));
}

std::vector<CallResult> Results::all() const
{
    const std::lock_guard lock(m_mutex);
    return m_results;
}

Workload::Workload(std::vector<Http::Endpoint> entries, WorkloadOptions options, Results &results)
    : m_entries(std::move(entries))
    , m_options(options)
    , m_results(results)
    , m_excluded(m_entries.size())
{
    for (std::size_t caller = 0; caller < options.callers; ++caller)
        m_threads.emplace_back([this, caller] { call(caller); });
}

Workload::~Workload()
{
    stop();
}

void Workload::stop()
{
    m_stopped = true;
    m_threads.clear();
}

void Workload::awaitCompleteAnswers(std::size_t more) const
{
    const auto wanted = m_results.completeCount() + more;
    waitUntil(std::to_string(more) + " further complete answers", [&] { return m_results.completeCount() >= wanted; });
}

void Workload::excludeEntry(std::size_t entry)
{
    m_excluded[entry] = true;
}

std::size_t Workload::chooseEntry(std::uint64_t random) const
{
    for (std::size_t step = 0; step < m_entries.size(); ++step) {
        const auto entry = (random + step) % m_entries.size();
        if (!m_excluded[entry])
            return entry;
    }
    return 0;
}

void Workload::call(std::size_t caller)
{
    std::mt19937_64 random(m_options.seed * 1000 + caller);
    for (std::size_t number = 0; !m_stopped; ++number) {
        const auto name = std::to_string(m_options.seed) + '-' + std::to_string(caller) + '-' + std::to_string(number);
        auto entry = chooseEntry(random());
        if (std::bernoulli_distribution{m_options.bookings}(random)) {
            const Booking booking{"/shift", name};
            for (int attempt = 0; attempt < 2; ++attempt) {
                auto result = send(m_entries[entry], booking);
                result.entry = entry;
                const bool again = !result.isComplete;
                m_results.add(std::move(result));
                if (!again)
                    break;
                entry = chooseEntry(entry + 1);
            }
            continue;
        }
        const auto adapter = random() % m_options.adapters;
        auto result = send(m_entries[entry], ModelCall{"base/adapter-" + std::to_string(adapter) + "@1", name,
                                                       m_options.tokens, (random() & 1U) != 0});
        result.entry = entry;
        m_results.add(std::move(result));
    }
}

} // namespace Gypsumtally::Processes
