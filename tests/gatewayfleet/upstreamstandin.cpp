#include "gatewayfleet/upstreamstandin.h"

#include "common/jsonfields.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace json = boost::json;

namespace
{

constexpr unsigned eventsOfStream = 6;
constexpr unsigned eventsBeforeBreak = 2;
constexpr Duration heartbeatInterval = std::chrono::milliseconds{1000};
constexpr Duration recordLifetime = std::chrono::milliseconds{1500}; ///< Of the record of a process that has crashed.
constexpr Duration pathSweepInterval = std::chrono::milliseconds{10};
constexpr Duration longPause = std::chrono::milliseconds{800}; ///< Between the events of a long stream.
constexpr Duration longWork = std::chrono::seconds{5}; ///< The longest request for long work.
constexpr std::string_view workPath = "/work/";
constexpr std::string_view limitHeader = "Server-Limit";
constexpr std::string_view limitField = "Server-Limit: ";
constexpr Duration crashDownTime = std::chrono::seconds{2}; ///< After a request has crashed it.

/// Returns the node that has sent a request. Callers choose ids of the form `NODE:NUMBER`, as each knows its node.
std::string nodeOf(const std::string &id)
{
    return id.substr(0, id.find(':'));
}

std::string textOf(double limit)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3g", limit);
    return text;
}

double limitFrom(std::string_view text)
{
    return std::strtod(std::string(text).c_str(), nullptr);
}

/// Returns the adapter that the request names, or an empty string.
std::string adapterOf(const Http::Request &request)
{
    const std::string target(request.headers.get("X-Model"));
    return target.substr(target.find('/') + 1);
}

} // namespace

UpstreamStandIn::UpstreamStandIn(Http::EventLoop &loop, StoreStandIn &store, const std::string &instance,
                                 const std::string &service, bool isEngine, unsigned seed, CrashingParts &crashingParts,
                                 AdapterVersions &versions, const Paths &paths)
    : m_loop(loop)
    , m_store(store)
    , m_name(instance)
    , m_service(service)
    , m_isEngine(isEngine)
    , m_crashingParts(crashingParts)
    , m_versions(versions)
    , m_paths(paths)
    , m_random(seed)
{
    startProcess();
    sendHeartbeats();
    sweepPaths();
}

void UpstreamStandIn::sweepPaths()
{
    if (m_proxy)
        m_proxy->sweep();
    m_loop.runAfter(pathSweepInterval, [this] { sweepPaths(); });
}

void UpstreamStandIn::silence(Duration time)
{
    if (m_proxy)
        m_proxy->silence(time);
}

/// Records the limits that answers state on their way to the node at @p address.
void UpstreamStandIn::onAnswerPassed(const std::string &address, std::string_view bytes)
{
    for (auto at = bytes.find(limitField); at != std::string_view::npos; at = bytes.find(limitField, at)) {
        at += limitField.size();
        limits.onDelivered(BootClock{}.now(), limitFrom(bytes.substr(at, bytes.find("\r\n", at) - at)), address);
    }
}

void UpstreamStandIn::sendHeartbeats()
{
    if (m_server)
        publish();
    m_loop.runAfter(heartbeatInterval, [this] { sendHeartbeats(); });
}

void UpstreamStandIn::startProcess()
{
    m_instance = m_processes == 0 || behaviour.keepsInstance ? m_name : m_name + "-" + std::to_string(m_processes);
    if (m_processes > 0) {
        m_pastLimits.push_back(std::exchange(limits, {}));
        limits.onStated(BootClock{}.now(), behaviour.limit);
    }
    ++m_processes;
    m_software = behaviour.software;
    m_adapters.clear();
    m_orders = 1;
    m_server = std::make_unique<Relay::CallerServer>(m_loop, Relay::CallerServerSettings{},
                                                     [this](const Exchange &exchange) { serve(exchange); });
    m_proxy = std::make_unique<PathProxy>(
        m_loop, m_paths, m_name, Http::Endpoint{"127.0.0.1", m_server->listen({"127.0.0.1", 0}), false},
        [this](const std::string &address, std::string_view bytes) { onAnswerPassed(address, bytes); });
    m_endpoint = m_proxy->endpoint();
    publish();
}

void UpstreamStandIn::crash(Duration downTime)
{
    if (!m_server)
        return;
    endProcess();
    m_loop.runAfter(downTime, [this] { startProcess(); });
}

void UpstreamStandIn::retire(Duration time)
{
    m_isDraining = true;
    publish();
    m_loop.runAfter(time, [this] { endProcess(); });
}

void UpstreamStandIn::endProcess()
{
    m_lastBreak = BootClock{}.now();
    m_server->stopAccepting();
    for (const auto &each : std::exchange(m_exchanges, {})) {
        if (const auto exchange = each.lock())
            exchange->abort();
    }
    m_server.reset();
    m_proxy.reset();
    m_loop.runAfter(recordLifetime, [this, instance = m_instance, process = m_processes] {
        if (m_processes == process || m_instance != instance)
            m_store.remove("servers/" + instance);
    });
}

/// Crashes if the prompt of the request has a part that crashes engines. Returns true if it does.
bool UpstreamStandIn::crashAt(const Exchange &exchange)
{
    const auto part = m_crashingParts.partIn(exchange->request());
    if (!part || !m_server)
        return part.has_value();
    m_crashingParts.onCrash(*part, BootClock{}.now());
    crash(crashDownTime);
    return true;
}

void UpstreamStandIn::setLimit(std::optional<double> limit)
{
    behaviour.limit = limit ? std::optional(limitFrom(textOf(*limit))) : std::nullopt;
    limits.onStated(BootClock{}.now(), behaviour.limit);
}

std::vector<std::string> UpstreamStandIn::limitViolations() const
{
    auto violations = limits.violations();
    for (const auto &past : m_pastLimits)
        std::ranges::move(past.violations(), std::back_inserter(violations));
    return violations;
}

void UpstreamStandIn::writeLimits(std::ostream &stream, Duration logOffset) const
{
    for (const auto &past : m_pastLimits) {
        past.write(stream, logOffset);
        stream << "the process has ended\n";
    }
    limits.write(stream, logOffset);
}

void UpstreamStandIn::publish()
{
    json::object record{{"service", m_service},
                        {"address", Http::toString(m_endpoint)},
                        {"zone", "a"},
                        {"version", m_software},
                        {"slots", slots},
                        {"state", m_isDraining ? "draining" : "ready"},
                        {"cold_ms", 0},
                        {"seq", m_orders},
                        {"born", 1000 + m_processes}};
    if (m_isEngine)
        record["models"] = heldModels();
    m_store.put("servers/" + m_instance, json::serialize(record));
}

bool UpstreamStandIn::chance(double ratio)
{
    return std::uniform_real_distribution<>{}(m_random) < ratio;
}

Http::Headers UpstreamStandIn::headersFor(const Http::Request &request) const
{
    Http::Headers headers{{"X-Instance-Id", m_instance}};
    if (const auto id = request.headers.get("X-Request-Id"); !id.empty())
        headers.add("X-Request-Id", std::string(id));
    if (behaviour.refusalsBorne)
        headers.add("Server-Brittle", std::to_string(*behaviour.refusalsBorne));
    if (behaviour.limit)
        headers.add(std::string(limitHeader), textOf(*behaviour.limit));
    return headers;
}

void UpstreamStandIn::serve(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto now = BootClock{}.now();
    const auto path = request.path();
    if (path == "/order") {
        const auto body = parseObject(request.body).value_or(json::object{});
        limits.onArrival(now, textAt(body, "holder"), "order");
        return carryOutOrder(exchange);
    }
    const std::string id(request.headers.get("X-Request-Id"));
    limits.onArrival(now, nodeOf(id), request.method + " " + std::string(path) + " " + id);
    if (path == "/report")
        return answerReport(exchange);
    if (const auto part = m_crashingParts.partIn(request))
        m_crashingParts.onArrival(*part, nodeOf(std::string(request.headers.get("X-Request-Id"))), now);
    auto headers = headersFor(request);
    if (!serves(request))
        return exchange->respond({421, headers, ""});
    if (m_server->activeRequests() > slots + behaviour.waitingRoom)
        return refuseFull(exchange);
    ++m_runs[std::string(request.headers.get("X-Request-Id"))];
    checkIdentity(request);
    m_exchanges.emplace_back(exchange);
    std::erase_if(m_exchanges, [](const auto &each) { return each.expired(); });
    if (adapterOf(request).empty())
        answerPlain(exchange);
    else
        answerStream(exchange);
}

void UpstreamStandIn::checkIdentity(const Http::Request &request)
{
    const std::string id(request.headers.get("X-Request-Id"));
    if (request.headers.contains("Authorization"))
        m_identityViolations.push_back(id + " stated its key");
    if (request.headers.get("X-Tenant") != behaviour.organisation)
        m_identityViolations.push_back(id + " named organisation " + std::string(request.headers.get("X-Tenant")));
}

/// Refuses a request for want of room. A brittle upstream that refuses too many falls over.
void UpstreamStandIn::refuseFull(const Exchange &exchange)
{
    auto headers = headersFor(exchange->request());
    headers.add("X-Not-Executed", "1");
    exchange->respond({503, headers, ""});
    const auto now = BootClock{}.now();
    m_refusals.push_back(now);
    while (now - m_refusals.front() > std::chrono::seconds{1})
        m_refusals.pop_front();
    if (!behaviour.refusalsBorne || m_refusals.size() <= *behaviour.refusalsBorne)
        return;
    ++m_falls;
    m_refusals.clear();
    crash(crashDownTime);
}

void UpstreamStandIn::answerPlain(const Exchange &exchange)
{
    const unsigned status = chance(behaviour.failureRatio) ? 500 : 200;
    const bool isLong = exchange->request().path().starts_with(workPath) && chance(behaviour.longRatio);
    const double part = std::uniform_real_distribution<>{}(m_random);
    const auto time = isLong ? std::chrono::duration_cast<Duration>(part * longWork) : behaviour.answerTime;
    m_loop.runAfter(time, [this, exchange, status] {
        auto headers = headersFor(exchange->request());
        headers.add("X-Response-Signature", "s");
        std::string body(exchange->request().headers.get("X-Request-Id"));
        body.append(behaviour.answerBytes, 'x');
        exchange->respond({status, headers, std::move(body)});
    });
}

void UpstreamStandIn::answerStream(const Exchange &exchange)
{
    auto headers = headersFor(exchange->request());
    headers.add("X-Response-Signature", "s");
    headers.add("Content-Type", "text/event-stream");
    const std::string last(exchange->request().headers.get("Last-Event-Id"));
    const auto begin = static_cast<unsigned>(std::strtoul(last.c_str(), nullptr, 10)) + 1;
    const bool isComplete = !chance(behaviour.breakRatio);
    const auto adapter = adapterOf(exchange->request());
    m_versions.onRun(std::string(exchange->request().headers.get("X-Request-Id")), adapter, m_adapters.at(adapter),
                     BootClock{}.now());
    exchange->begin(200, headers, std::nullopt);
    const auto end = isComplete ? eventsOfStream : std::min(begin + eventsBeforeBreak - 1, eventsOfStream);
    sendEvents(exchange, begin, end, isComplete, chance(behaviour.longRatio) ? longPause : behaviour.answerTime);
}

/// Sends the events from @p next to @p end, and then ends the stream or breaks it off.
void UpstreamStandIn::sendEvents(const Exchange &exchange, unsigned next, unsigned end, bool isComplete, Duration pause)
{
    if (next > end) {
        if (isComplete)
            return exchange->end();
        m_lastBreak = BootClock{}.now();
        return exchange->abort();
    }
    m_loop.runAfter(pause, [this, exchange, next, end, isComplete, pause] {
        if (crashAt(exchange))
            return;
        exchange->write("id: " + std::to_string(next) + "\ndata: " + m_software + "\n\n");
        sendEvents(exchange, next + 1, end, isComplete, pause);
    });
}

json::array UpstreamStandIn::heldModels() const
{
    json::array adapters;
    for (const auto &[adapter, version] : m_adapters)
        adapters.push_back(json::string(adapter + '@' + std::to_string(version)));
    return {json::object{{"name", "m"}, {"version", 1}, {"adapters", std::move(adapters)}}};
}

/// Returns true if it is the instance that the request names, and holds the adapter in the version that it names.
bool UpstreamStandIn::serves(const Http::Request &request) const
{
    if (request.headers.get("X-Expect-Instance") != m_instance)
        return false;
    const auto adapter = adapterOf(request);
    const auto held = m_adapters.find(adapter);
    const auto version = request.headers.get("X-Expect-Version");
    return adapter.empty()
           || (held != m_adapters.end() && (version.empty() || version == std::to_string(held->second)));
}

void UpstreamStandIn::answerReport(const Exchange &exchange)
{
    const json::object report{
        {"models", heldModels()}, {"busy", false}, {"born", 1000 + m_processes}, {"seq", m_orders}};
    auto headers = headersFor(exchange->request());
    headers.add("Content-Type", "application/json");
    exchange->respond({200, headers, json::serialize(report)});
}

void UpstreamStandIn::carryOutOrder(const Exchange &exchange)
{
    const auto body = parseObject(exchange->request().body).value_or(json::object{});
    const auto headers = headersFor(exchange->request());
    if (numberAt<std::int64_t>(body, "expected") != m_orders)
        return exchange->respond({409, headers, ""});
    ++m_orders;
    const auto adapter = textAt(body, "adapter");
    if (textAt(body, "opcode") == "load")
        m_adapters[adapter] = std::max(numberAt<unsigned>(body, "version"), m_versions.newest(adapter));
    else
        m_adapters.erase(adapter);
    exchange->respond({202, headers, ""});
}

} // namespace Gypsumtally::GatewayFleet
