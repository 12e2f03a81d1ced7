#include "fakes/fakeengine.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

namespace Gypsumtally::Fakes
{

namespace
{

constexpr Duration usualLoadTime = std::chrono::milliseconds{250};
constexpr std::size_t loadsAtFullSpeed = 8;
constexpr std::size_t defaultTokens = 16;
constexpr std::string_view crashMarker = "CRASH-ENGINE";

std::uint64_t hashOf(std::string_view text, std::uint64_t state = 14695981039346656037ULL)
{
    for (const unsigned char character : text)
        state = (state ^ character) * 1099511628211ULL;
    return state;
}

std::string hexadecimal(std::uint64_t value)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

std::string promptOf(const json::object &body, bool chat)
{
    if (!chat)
        return textAt(body, "prompt");
    const auto *messages = body.if_contains("messages");
    std::string prompt;
    if (!messages || !messages->is_array())
        return prompt;
    for (const auto &message : messages->as_array()) {
        if (message.is_object())
            prompt += textAt(message.as_object(), "role") + ':' + textAt(message.as_object(), "content") + '\n';
    }
    return prompt;
}

json::array names(const auto &container, auto nameOf)
{
    json::array list;
    for (const auto &item : container)
        list.emplace_back(nameOf(item));
    return list;
}

} // namespace

std::string tokenText(std::string_view model, std::string_view prompt, std::size_t index)
{
    const auto hash = hashOf(std::to_string(index), hashOf(prompt, hashOf(model)));
    return hexadecimal(hash).substr(8) + ' ';
}

std::string answerText(std::string_view model, std::string_view prompt, std::size_t count)
{
    std::string text;
    for (std::size_t index = 0; index < count; ++index)
        text += tokenText(model, prompt, index);
    return text;
}

Duration loadTime(std::size_t inFlight)
{
    return usualLoadTime * static_cast<std::int64_t>(std::max(inFlight, loadsAtFullSpeed))
           / static_cast<std::int64_t>(loadsAtFullSpeed);
}

FakeEngine::FakeEngine(Http::EventLoop &loop, Journal &journal, EngineOptions options)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(std::move(options))
    , m_client(loop)
{
    std::random_device entropy;
    m_incarnation = hexadecimal((std::uint64_t{entropy()} << 32U) | entropy());
    m_journal.record("boot", {{"incarnation", m_incarnation}, {"fencing", m_options.fencing}});
    recordCounts();
}

void FakeEngine::handle(const Http::Request &request, ResponderPointer responder)
{
    const auto path = request.path();
    if (path == "/v1/completions" || path == "/v1/chat/completions")
        complete(request, std::move(responder), path == "/v1/chat/completions");
    else if (path == "/v1/load_lora_adapter" || path == "/v1/unload_lora_adapter")
        order(request, std::move(responder));
    else if (path == "/v1/cancel")
        cancel(request, *responder);
    else if (path == "/v1/load")
        responder->respond(jsonResponse(200, laggedReport()));
    else
        responder->respond(refusal(404, "unknown_route"));
}

void FakeEngine::complete(const Http::Request &request, ResponderPointer responder, bool chat)
{
    const auto body = parseObject(request.body);
    auto run = std::make_shared<Run>();
    run->id = textAt(body, "request_id");
    run->model = textAt(body, "model");
    run->prompt = promptOf(body, chat);
    run->priority = integerAt(body, "priority");
    run->streamed = body.contains("stream") && body.at("stream") == json::value(true);
    run->next = run->streamed ? static_cast<std::size_t>(integerAt(body, "resume_from")) : 0;
    run->end = static_cast<std::size_t>(integerAt(body, "max_tokens", defaultTokens));
    run->chat = chat;
    if (!m_loaded.contains(run->model)) {
        m_journal.record("refused", {{"request_id", run->id}, {"model", run->model}, {"code", "not_loaded"}});
        responder->respond(refusal(404, "not_loaded"));
        return;
    }
    if (m_waiting.size() >= m_options.maxWaiting) {
        responder->respond(refusal(503, "engine_busy", {{"Retry-After", "1"}}));
        return;
    }
    run->responder = std::move(responder);
    run->responder->onGone([left = std::weak_ptr(run)] {
        if (const auto running = left.lock())
            running->callerGone = true;
    });
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), run,
                                        [](const auto &a, const auto &b) { return a->priority < b->priority; });
    m_waiting.insert(place, std::move(run));
    startRuns();
}

void FakeEngine::startRuns()
{
    while (!m_waiting.empty() && m_running.size() < m_options.maxRunning) {
        const auto run = m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        start(run);
    }
    recordCounts();
    if (m_ticking || m_running.empty())
        return;
    m_ticking = true;
    m_loop.runAfter(m_options.tokenInterval, [this] { tick(); });
}

void FakeEngine::start(const RunPointer &run)
{
    if (run->callerGone) {
        m_journal.record("dropped", {{"request_id", run->id}, {"model", run->model}});
        return;
    }
    if (!m_loaded.contains(run->model)) {
        m_journal.record("refused", {{"request_id", run->id}, {"model", run->model}, {"code", "not_loaded"}});
        run->responder->respond(refusal(404, "not_loaded"));
        return;
    }
    m_journal.record(
        "start", {{"request_id", run->id}, {"model", run->model}, {"prompt", run->prompt}, {"resume_from", run->next}});
    if (m_options.crashOnPrompt && run->prompt.find(crashMarker) != std::string::npos) {
        m_journal.record("crash", {{"request_id", run->id}});
        std::_Exit(1);
    }
    if (run->streamed)
        run->responder->begin(200, {{"Content-Type", "text/event-stream"}});
    m_running.push_back(run);
}

void FakeEngine::tick()
{
    m_ticking = false;
    const auto batch = m_running;
    for (const auto &run : batch) {
        if (run->callerGone)
            finish(*run, "gone");
        else if (run->next < run->end)
            emitToken(*run);
        if (run->responder && run->next >= run->end)
            finish(*run, "done");
    }
    removeEndedRuns();
    startRuns();
}

void FakeEngine::emitToken(Run &run)
{
    const auto text = tokenText(run.model, run.prompt, run.next);
    run.text += text;
    if (run.streamed) {
        json::object choice{{"index", 0}, {"text", text}};
        if (run.chat)
            choice["delta"] = {{"content", text}};
        const json::object event{{"choices", json::array{std::move(choice)}}, {"token", run.next}};
        run.responder->write("data: " + json::serialize(event) + "\n\n");
    }
    ++run.next;
}

void FakeEngine::finish(Run &run, std::string_view how)
{
    m_journal.record("end", {{"request_id", run.id}, {"model", run.model}, {"tokens", run.next}, {"how", how}});
    const auto responder = std::exchange(run.responder, nullptr);
    if (how != "done")
        return;
    if (run.streamed) {
        responder->write("data: [DONE]\n\n");
        responder->end();
        return;
    }
    json::object choice{{"index", 0}, {"text", run.text}, {"finish_reason", "length"}};
    if (run.chat)
        choice["message"] = {{"role", "assistant"}, {"content", run.text}};
    responder->respond(jsonResponse(200, {{"id", run.id},
                                          {"object", run.chat ? "chat.completion" : "text_completion"},
                                          {"model", run.model},
                                          {"choices", json::array{std::move(choice)}},
                                          {"usage", {{"completion_tokens", run.next}}}}));
}

void FakeEngine::removeEndedRuns()
{
    std::erase_if(m_running, [](const RunPointer &run) { return run->responder == nullptr; });
    std::erase_if(m_waiting, [](const RunPointer &run) { return run->responder == nullptr; });
}

void FakeEngine::cancel(const Http::Request &request, Http::Responder &responder)
{
    const auto id = textAt(parseObject(request.body), "request_id");
    for (const auto &run : m_waiting) {
        if (run->id == id) {
            m_journal.record("dropped", {{"request_id", run->id}, {"model", run->model}});
            std::exchange(run->responder, nullptr)->respond(refusal(409, "cancelled"));
        }
    }
    for (const auto &run : m_running) {
        if (run->id == id)
            cancelRun(*run);
    }
    removeEndedRuns();
    startRuns();
    responder.respond(jsonResponse(200, {}));
}

void FakeEngine::cancelRun(Run &run)
{
    const auto responder = run.responder;
    finish(run, "cancelled");
    if (run.streamed)
        responder->end();
    else
        responder->respond(refusal(500, "cancelled"));
}

void FakeEngine::order(const Http::Request &request, ResponderPointer responder)
{
    if (m_dropOrders > 0) {
        --m_dropOrders;
        return;
    }
    m_loop.runAfter(m_orderDelay, [this, request, responder = std::move(responder)] {
        const auto name = textAt(parseObject(request.body), "lora_name");
        if (rejectStaleToken(request, name, *responder))
            return;
        const auto token = integerAt({{"token", request.headers.get("X-Fencing-Token")}}, "token");
        if (request.path() == "/v1/load_lora_adapter")
            load(name, token, responder);
        else
            unload(name, token, *responder);
    });
}

bool FakeEngine::rejectStaleToken(const Http::Request &request, const std::string &name, Http::Responder &responder)
{
    const auto token = integerAt({{"token", request.headers.get("X-Fencing-Token")}}, "token");
    if (!m_options.fencing || token >= m_fencingToken) {
        m_fencingToken = std::max(token, m_fencingToken);
        return false;
    }
    m_journal.record("fenced",
                     {{"order", request.path()}, {"model", name}, {"token", token}, {"seen", m_fencingToken}});
    responder.respond(refusal(412, "stale_fencing_token"));
    return true;
}

void FakeEngine::load(const std::string &name, std::int64_t token, ResponderPointer responder)
{
    if (m_loaded.contains(name)) {
        acknowledge(*responder, jsonResponse(200, {}));
        return;
    }
    if (const auto loading = m_loading.find(name); loading != m_loading.end()) {
        loading->second.waiters.push_back(std::move(responder));
        return;
    }
    if (m_loaded.size() + m_loading.size() >= m_options.slots) {
        responder->respond(refusal(409, "no_free_slot"));
        return;
    }
    if (!name.starts_with(m_options.base + '/')) {
        responder->respond(refusal(404, "unknown_adapter"));
        return;
    }
    m_journal.record("load", {{"model", name}, {"token", token}, {"incarnation", m_incarnation}});
    m_loading[name].waiters.push_back(std::move(responder));
    fetchWeights(name);
}

void FakeEngine::fetchWeights(const std::string &name)
{
    if (!m_options.weightStore) {
        m_loop.runAfter(loadTime(m_loading.size()), [this, name] { finishLoad(name, 200); });
        return;
    }
    const auto status = std::make_shared<unsigned>(0);
    Http::Request request;
    request.target = "/v1/weights/" + name;
    Http::ResponseObserver observer;
    observer.onHead = [status](unsigned head, const Http::Headers &) { *status = head; };
    observer.onEnd = [this, name, status] { finishLoad(name, *status); };
    observer.onFailure = [this, name](const Http::TransportFailure &) { finishLoad(name, 503); };
    m_client.send(*m_options.weightStore, std::move(request), std::move(observer));
}

void FakeEngine::finishLoad(const std::string &name, unsigned storeStatus)
{
    const auto waiters = std::move(m_loading[name].waiters);
    m_loading.erase(name);
    if (storeStatus == 200)
        m_loaded.insert(name);
    m_journal.record(storeStatus == 200 ? "loaded" : "load-failed", {{"model", name}, {"status", storeStatus}});
    for (const auto &waiter : waiters) {
        if (storeStatus == 200)
            acknowledge(*waiter, jsonResponse(200, {}));
        else if (storeStatus == 404)
            waiter->respond(refusal(404, "unknown_adapter"));
        else
            waiter->respond(refusal(429, "store_busy", {{"Retry-After", "1"}}));
    }
}

void FakeEngine::unload(const std::string &name, std::int64_t token, Http::Responder &responder)
{
    if (m_loaded.erase(name) == 0) {
        responder.respond(refusal(404, "not_loaded"));
        return;
    }
    m_journal.record("evict", {{"model", name}, {"token", token}, {"incarnation", m_incarnation}});
    for (const auto *runs : {&m_running, &m_waiting}) {
        for (const auto &run : *runs) {
            if (run->model == name && run->responder && !run->callerGone)
                m_journal.record("violation", {{"request_id", run->id}, {"model", name}, {"token", token}});
        }
    }
    acknowledge(responder, jsonResponse(200, {}));
}

void FakeEngine::acknowledge(Http::Responder &responder, Http::Response response)
{
    if (m_loseOrderReplies == 0) {
        responder.respond(std::move(response));
        return;
    }
    --m_loseOrderReplies;
    responder.abort();
}

void FakeEngine::control(const json::object &fields)
{
    using Milliseconds = std::chrono::milliseconds;
    m_dropOrders = integerAt(fields, "drop_orders", m_dropOrders);
    m_loseOrderReplies = integerAt(fields, "lose_order_replies", m_loseOrderReplies);
    m_orderDelay = Milliseconds{integerAt(fields, "order_delay_ms", m_orderDelay / Milliseconds{1})};
    m_options.reportLag = Milliseconds{integerAt(fields, "report_lag_ms", m_options.reportLag / Milliseconds{1})};
    m_options.tokenInterval
        = Milliseconds{integerAt(fields, "token_interval_ms", m_options.tokenInterval / Milliseconds{1})};
}

json::array FakeEngine::runningIds() const
{
    return names(m_running, [](const RunPointer &run) { return run->id; });
}

void FakeEngine::recordCounts()
{
    const auto now = SteadyClock{}.now();
    m_counts.push_back({now, runningIds(), m_waiting.size()});
    while (m_counts.size() > 1 && m_counts[1].at <= now - m_options.reportLag)
        m_counts.pop_front();
}

json::object FakeEngine::laggedReport()
{
    const auto at = SteadyClock{}.now() - m_options.reportLag;
    while (m_counts.size() > 1 && m_counts[1].at <= at)
        m_counts.pop_front();
    return loadReport(m_counts.front().running, m_counts.front().waiting);
}

json::object FakeEngine::loadReport(const json::array &running, std::size_t waiting) const
{
    return {{"incarnation", m_incarnation},
            {"base", m_options.base},
            {"slots", m_options.slots},
            {"max_running", m_options.maxRunning},
            {"adapters", names(m_loaded, [](const std::string &name) { return name; })},
            {"loading", names(m_loading, [](const auto &loading) { return loading.first; })},
            {"running", running},
            {"waiting", waiting},
            {"fencing", m_options.fencing},
            {"fencing_token", m_options.fencing ? m_fencingToken : 0}};
}

json::object FakeEngine::report() const
{
    return loadReport(runningIds(), m_waiting.size());
}

} // namespace Gypsumtally::Fakes
