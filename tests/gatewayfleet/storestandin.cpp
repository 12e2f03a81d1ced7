#include "gatewayfleet/storestandin.h"

#include "common/base64.h"
#include "common/jsonfields.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Gypsumtally::GatewayFleet
{

namespace json = boost::json;

namespace
{

constexpr Duration sweepInterval = std::chrono::milliseconds{20};
constexpr std::string_view keepPath = "/kv-keep/";
constexpr std::string_view endPath = "/kv-lease-end/";

void answer(const std::shared_ptr<Relay::CallerExchange> &exchange, unsigned status, const json::object &body = {})
{
    exchange->respond({status, {{"Content-Type", "application/json"}}, json::serialize(body)});
}

std::int64_t numberIn(const std::string &text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

StoreStandIn::StoreStandIn(Http::EventLoop &loop)
    : m_loop(loop)
    , m_server(loop, {}, [this](const Exchange &exchange) { serve(exchange); })
{
    m_endpoint = {"127.0.0.1", m_server.listen({"127.0.0.1", 0}), false};
    sweep();
}

void StoreStandIn::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    write(key, encodeBase64(value), 0);
    answerWatches(BootClock{}.now());
}

void StoreStandIn::remove(const std::string &key)
{
    ++m_revision;
    erase(key);
    answerWatches(BootClock{}.now());
}

void StoreStandIn::setDown(bool isDown)
{
    m_isDown = isDown;
    if (!isDown)
        return;
    for (const auto &watch : std::exchange(m_watches, {}))
        answer(watch.exchange, 503);
}

void StoreStandIn::serve(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const std::string path(request.path());
    ++m_calls;
    if (m_isDown)
        return answer(exchange, 503);
    if (path == "/kv-range")
        return readRange(exchange);
    if (path == "/kv-watch")
        return startWatch(exchange);
    if (path == "/kv-txn")
        return transact(exchange);
    if (path == "/kv-lease")
        return grantLease(exchange);
    if (path.starts_with(keepPath))
        return keepLease(exchange, numberIn(path.substr(keepPath.size())));
    if (path.starts_with(endPath)) {
        endLease(numberIn(path.substr(endPath.size())));
        return answer(exchange, 200);
    }
    answer(exchange, 404);
}

void StoreStandIn::readRange(const Exchange &exchange)
{
    const auto prefix = exchange->request().query("prefix");
    json::array items;
    for (const auto &[key, item] : m_items) {
        if (key.starts_with(prefix))
            items.push_back(json::object{{"key", key},
                                         {"value", item.value},
                                         {"revision", item.revision},
                                         {"created_rev", item.createdRevision},
                                         {"lease", item.lease}});
    }
    answer(exchange, 200, {{"items", std::move(items)}, {"more_pages", false}, {"as_of", m_revision}});
}

void StoreStandIn::startWatch(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto wait = std::chrono::milliseconds{numberIn(request.query("wait_ms"))};
    const Watch watch{exchange, request.query("prefix"), numberIn(request.query("after")), BootClock{}.now() + wait};
    if (!answerWatch(watch))
        m_watches.push_back(watch);
}

/// Answers the watch if there are events for it. Returns true if there were.
bool StoreStandIn::answerWatch(const Watch &watch) const
{
    json::array events;
    for (const auto &event : m_events) {
        if (event.revision > watch.after && event.key.starts_with(watch.prefix))
            events.push_back(event.row);
    }
    if (events.empty())
        return false;
    answer(watch.exchange, 200, {{"events", std::move(events)}, {"as_of", m_revision}});
    return true;
}

void StoreStandIn::answerWatches(Instant now)
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        if (answerWatch(watch))
            return true;
        if (now < watch.until)
            return false;
        answer(watch.exchange, 200, {{"events", json::array{}}, {"as_of", m_revision}});
        return true;
    });
}

void StoreStandIn::transact(const Exchange &exchange)
{
    const auto body = parseObject(exchange->request().body).value_or(json::object{});
    bool holds = true;
    json::array current;
    eachObjectAt(body, "expected", [&](const json::object &row) {
        const auto key = textAt(row, "key");
        const auto item = m_items.find(key);
        const auto revision = item == m_items.end() ? 0 : item->second.revision;
        holds = holds && revision == numberAt<std::int64_t>(row, "revision");
        json::object shown{{"key", key}, {"revision", revision}};
        if (item != m_items.end())
            shown["value"] = item->second.value;
        current.push_back(std::move(shown));
    });
    if (!holds)
        return answer(exchange, 412, {{"items", std::move(current)}});
    bool hasLeases = true;
    eachObjectAt(body, "puts", [&](const json::object &row) {
        const auto lease = numberAt<std::int64_t>(row, "lease");
        hasLeases = hasLeases && (lease == 0 || m_leases.contains(lease));
    });
    if (!hasLeases)
        return answer(exchange, 404);
    ++m_revision;
    eachObjectAt(body, "puts", [&](const json::object &row) {
        write(textAt(row, "key"), textAt(row, "value"), numberAt<std::int64_t>(row, "lease"));
    });
    for (const auto &key : textsAt(body, "remove"))
        erase(key);
    answer(exchange, 200, {{"revision", m_revision}});
    answerWatches(BootClock{}.now());
}

void StoreStandIn::grantLease(const Exchange &exchange)
{
    const auto body = parseObject(exchange->request().body).value_or(json::object{});
    const auto ms = numberAt<std::int64_t>(body, "ttl_ms");
    const Duration ttl = std::chrono::milliseconds{ms};
    m_leases[++m_lastLease] = {ttl, BootClock{}.now() + ttl};
    answer(exchange, 200, {{"lease", m_lastLease}, {"ttl_ms", ms}});
}

void StoreStandIn::keepLease(const Exchange &exchange, std::int64_t id)
{
    const auto lease = m_leases.find(id);
    if (lease == m_leases.end())
        return answer(exchange, 404);
    lease->second.end = BootClock{}.now() + lease->second.ttl;
    answer(exchange, 200, {{"ttl_ms", lease->second.ttl.count() / 1000}});
}

void StoreStandIn::endLease(std::int64_t id)
{
    if (m_leases.erase(id) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    ++m_revision;
    for (const auto &key : keys)
        erase(key);
    answerWatches(BootClock{}.now());
}

void StoreStandIn::write(const std::string &key, const std::string &encoded, std::int64_t lease)
{
    auto &item = m_items[key];
    item = {encoded, m_revision, item.createdRevision == 0 ? m_revision : item.createdRevision, lease};
    m_events.push_back(
        {key, {{"key", key}, {"value", encoded}, {"revision", m_revision}, {"lease", lease}}, m_revision});
}

void StoreStandIn::erase(const std::string &key)
{
    if (m_items.erase(key) > 0)
        m_events.push_back({key, {{"key", key}, {"revision", m_revision}, {"tombstone", true}}, m_revision});
}

void StoreStandIn::sweep()
{
    const auto now = BootClock{}.now();
    std::vector<std::int64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (lease.end < now)
            ended.push_back(id);
    }
    for (const auto id : ended)
        endLease(id);
    answerWatches(now);
    m_loop.runAfter(sweepInterval, [this] { sweep(); });
}

} // namespace Gypsumtally::GatewayFleet
