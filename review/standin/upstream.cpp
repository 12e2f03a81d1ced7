#include "upstream.h"

#include "common/jsonfields.h"

#include <utility>

namespace Gypsumtally::Review
{

namespace json = boost::json;

namespace
{

constexpr unsigned slots = 48;
constexpr std::size_t adapterSlots = 8;
constexpr Duration heartbeatInterval = std::chrono::milliseconds{1200};
constexpr Duration answerTime = std::chrono::milliseconds{15}; ///< Of a plain request.
constexpr Duration adapterLoadTime = std::chrono::milliseconds{250};

std::string adapterIn(const Http::Request &request)
{
    const std::string target(request.headers.get("X-Model"));
    const auto slash = target.find('/');
    return slash == std::string::npos ? std::string{} : target.substr(slash + 1);
}

} // namespace

Upstream::Upstream(Http::EventLoop &loop, Store &store, Ledger &ledger, std::string instance, std::string service,
                   bool isEngine, std::string software)
    : m_loop(loop)
    , m_store(store)
    , m_ledger(ledger)
    , m_instance(std::move(instance))
    , m_service(std::move(service))
    , m_isEngine(isEngine)
    , m_software(std::move(software))
    , m_server(std::make_unique<Relay::CallerServer>(loop, Relay::CallerServerSettings{},
                                                     [this](const Exchange &exchange) { serve(exchange); }))
{
    m_endpoint = {"127.0.0.1", m_server->listen({"127.0.0.1", 0}), false};
    heartbeat();
}

void Upstream::publish()
{
    if (m_store.isAway())
        return;
    json::object record{{"service", m_service}, {"address", Http::toString(m_endpoint)},
                        {"zone", "z1"},         {"version", m_software},
                        {"slots", slots},       {"state", "ready"},
                        {"cold_ms", 0},         {"born", 1'700'000'000'000}};
    if (m_isEngine) {
        record["stage"] = "mixed";
        record["models"] = heldModels();
    }
    record["seq"] = m_orders;
    m_store.put("servers/" + m_instance, json::serialize(record));
}

void Upstream::heartbeat()
{
    publish();
    m_server->sweep(BootClock{}.now());
    m_loop.runAfter(heartbeatInterval, [this] { heartbeat(); });
}

void Upstream::serve(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto path = request.path();
    Http::Headers headers{{"X-Instance-Id", m_instance}};
    if (const auto id = request.headers.get("X-Request-Id"); !id.empty())
        headers.add("X-Request-Id", std::string(id));
    if (const auto expected = request.headers.get("X-Expect-Instance"); !expected.empty() && expected != m_instance)
        return exchange->respond({421, headers, ""});
    if (path == "/order")
        return carryOutOrder(exchange);
    if (path == "/report")
        return answerReport(exchange);
    if (!serves(request))
        return exchange->respond({421, headers, ""});
    if (m_server->activeRequests() > slots) {
        headers.add("X-Not-Executed", "1");
        return exchange->respond({503, headers, ""});
    }
    const auto held = m_adapters.find(adapterIn(request));
    const auto version = held == m_adapters.end() ? 0 : held->second;
    m_ledger.runs.push_back(
        {std::string(request.headers.get("X-Request-Id")), m_instance, BootClock{}.now(), adapterIn(request), version});
    headers.add("X-Response-Signature", "sig-" + m_instance);
    if (m_isEngine)
        answerStream(exchange, std::move(headers));
    else
        answerPlain(exchange, headers);
}

bool Upstream::serves(const Http::Request &request) const
{
    const auto adapter = adapterIn(request);
    if (!m_isEngine || adapter.empty())
        return true;
    const auto held = m_adapters.find(adapter);
    const std::string expected(request.headers.get("X-Expect-Version"));
    return held != m_adapters.end() && (expected.empty() || expected == std::to_string(held->second));
}

void Upstream::answerPlain(const Exchange &exchange, const Http::Headers &headers)
{
    m_loop.runAfter(answerTime, [exchange, headers] {
        exchange->respond({200, headers, "body of " + std::string(exchange->request().headers.get("X-Request-Id"))});
    });
}

void Upstream::answerStream(const Exchange &exchange, Http::Headers headers)
{
    headers.add("Content-Type", "text/event-stream");
    headers.add("X-Weight-Versions", "1");
    exchange->begin(200, headers, std::nullopt);
    const std::string last(exchange->request().headers.get("Last-Event-Id"));
    sendEvents(exchange, last.empty() ? 1 : static_cast<unsigned>(std::stoul(last)) + 1);
}

void Upstream::sendEvents(const Exchange &exchange, unsigned next)
{
    if (next > m_events)
        return exchange->end();
    m_loop.runAfter(m_pause, [this, exchange, next] {
        exchange->write("id: " + std::to_string(next) + "\ndata: " + m_software + "\n\n");
        sendEvents(exchange, next + 1);
    });
}

/// Returns the version of @p adapter that a load fetches.
unsigned Upstream::newestVersion(const std::string &adapter) const
{
    const auto it = m_ledger.newest.find(adapter);
    return it == m_ledger.newest.end() ? 1 : it->second;
}

json::array Upstream::heldModels() const
{
    json::array adapters;
    for (const auto &[adapter, version] : m_adapters)
        adapters.push_back(json::string(adapter + '@' + std::to_string(version)));
    return {json::object{{"name", "m"}, {"version", 1}, {"adapters", std::move(adapters)}}};
}

void Upstream::answerReport(const Exchange &exchange)
{
    json::array coming;
    for (const auto &adapter : m_coming)
        coming.push_back(json::string("m/" + adapter + '@' + std::to_string(newestVersion(adapter))));
    const json::object report{{"stage", "mixed"},
                              {"models", heldModels()},
                              {"coming", std::move(coming)},
                              {"busy", false},
                              {"seq", m_orders},
                              {"born", 1'700'000'000'000},
                              {"queued", 0},
                              {"running", m_server->activeRequests()}};
    exchange->respond(
        {200, {{"X-Instance-Id", m_instance}, {"Content-Type", "application/json"}}, json::serialize(report)});
}

void Upstream::carryOutOrder(const Exchange &exchange)
{
    const auto order = parseObject(exchange->request().body).value_or(json::object{});
    const auto status = statusOf(order);
    m_ledger.orders.push_back(
        {m_instance, textAt(order, "holder"), numberAt<std::int64_t>(order, "fence"), status, BootClock{}.now()});
    exchange->respond({status, {{"X-Instance-Id", m_instance}}, ""});
}

/// Carries out @p order and returns the status of its answer. Fences are not checked (`require_fence` is false).
unsigned Upstream::statusOf(const json::object &order)
{
    const auto adapter = textAt(order, "adapter");
    if (order.contains("expected") && numberAt<std::int64_t>(order, "expected") != m_orders)
        return 409;
    if (textAt(order, "opcode") == "unload") {
        ++m_orders;
        m_adapters.erase(adapter);
        return 200;
    }
    const auto held = m_adapters.find(adapter);
    const bool isCurrent = held != m_adapters.end() && held->second >= newestVersion(adapter);
    if (isCurrent || m_coming.contains(adapter))
        return 200;
    if (held == m_adapters.end() && m_adapters.size() + m_coming.size() >= adapterSlots) {
        ++m_ledger.overfull;
        return 400;
    }
    ++m_orders;
    m_coming.insert(adapter);
    m_loop.runAfter(adapterLoadTime, [this, adapter] {
        m_coming.erase(adapter);
        m_adapters[adapter] = newestVersion(adapter);
    });
    return 202;
}

} // namespace Gypsumtally::Review
