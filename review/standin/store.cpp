#include "store.h"

#include "common/base64.h"
#include "common/jsonfields.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Gypsumtally::Review
{

namespace json = boost::json;

namespace
{

constexpr Duration sweepInterval = std::chrono::milliseconds{20};
constexpr Duration answerTime = std::chrono::milliseconds{4};
constexpr Duration rewriteDelay = std::chrono::milliseconds{100};
constexpr std::string_view keepPath = "/kv-keep/";
constexpr std::string_view endPath = "/kv-lease-end/";

std::int64_t numberIn(const std::string &text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

Store::Store(Http::EventLoop &loop)
    : m_loop(loop)
    , m_server(std::make_unique<Relay::CallerServer>(loop, Relay::CallerServerSettings{},
                                                     [this](const Exchange &exchange) { serve(exchange); }))
{
    m_endpoint = {"127.0.0.1", m_server->listen({"127.0.0.1", 0}), false};
    sweep();
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    m_external[key] = value;
    ++m_state.revision;
    write(key, encodeBase64(value), 0);
    answerWatches(BootClock{}.now());
    return m_state.revision;
}

std::int64_t Store::remove(const std::string &key)
{
    m_external[key] = std::nullopt;
    ++m_state.revision;
    erase(key);
    answerWatches(BootClock{}.now());
    return m_state.revision;
}

void Store::saveCopy()
{
    m_copy = m_state;
    const auto now = BootClock{}.now();
    for (auto &[id, lease] : m_copy->leases)
        lease.left = lease.end - now;
}

void Store::goAway()
{
    m_isAway = true;
    for (const auto &watch : std::exchange(m_watches, {}))
        watch.exchange->abort();
    for (const auto &call : std::exchange(m_calls, {})) {
        if (const auto exchange = call.lock())
            exchange->abort();
    }
}

void Store::restore()
{
    m_state = *m_copy;
    const auto now = BootClock{}.now();
    for (auto &[id, lease] : m_state.leases)
        lease.end = now + lease.left;
    ++m_era;
    m_isAway = false;
    m_loop.runAfter(rewriteDelay, [this] { writeExternal(); });
}

/// Writes again what operators and upstreams have written and the copy lacks.
void Store::writeExternal()
{
    for (const auto &[key, value] : m_external) {
        const auto item = m_state.items.find(key);
        const bool isPresent = item != m_state.items.end();
        const bool isSame = value ? isPresent && item->second.value == encodeBase64(*value) : !isPresent;
        if (isSame)
            continue;
        ++m_state.revision;
        if (value)
            write(key, encodeBase64(*value), 0);
        else
            erase(key);
    }
    answerWatches(BootClock{}.now());
}

void Store::answer(const Exchange &exchange, unsigned status, const json::object &body)
{
    exchange->respond(
        {status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}}, json::serialize(body)});
}

void Store::serve(const Exchange &exchange)
{
    if (m_isAway)
        return exchange->abort();
    std::erase_if(m_calls, [](const auto &call) { return call.expired(); });
    m_calls.emplace_back(exchange);
    m_loop.runAfter(answerTime, [this, exchange] {
        if (m_isAway)
            return;
        const std::string path(exchange->request().path());
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
    });
}

void Store::readRange(const Exchange &exchange)
{
    const auto prefix = exchange->request().query("prefix");
    json::array items;
    for (const auto &[key, item] : m_state.items) {
        if (key.starts_with(prefix))
            items.push_back(json::object{{"key", key},
                                         {"value", item.value},
                                         {"revision", item.revision},
                                         {"created_rev", item.createdRevision},
                                         {"lease", item.lease}});
    }
    answer(exchange, 200, {{"items", std::move(items)}, {"more_pages", false}, {"as_of", m_state.revision}});
}

void Store::startWatch(const Exchange &exchange)
{
    const auto &request = exchange->request();
    const auto wait = std::chrono::milliseconds{numberIn(request.query("wait_ms"))};
    const Watch watch{exchange, request.query("prefix"), numberIn(request.query("after")), BootClock{}.now() + wait};
    if (watch.after > m_state.revision)
        return answer(exchange, 410);
    if (answerWatch(watch))
        return;
    m_watches.push_back(watch);
    if (onWatchWaits)
        onWatchWaits(watch.prefix);
}

/// Answers the watch if there are events for it. Returns true if there were.
bool Store::answerWatch(const Watch &watch)
{
    json::array events;
    for (const auto &event : m_state.events) {
        if (event.revision > watch.after && event.key.starts_with(watch.prefix))
            events.push_back(event.row);
    }
    if (events.empty())
        return false;
    answer(watch.exchange, 200, {{"events", std::move(events)}, {"as_of", m_state.revision}});
    if (onWatchAnswered)
        onWatchAnswered(watch.prefix);
    return true;
}

void Store::answerWatches(Instant now)
{
    std::vector<Watch> waiting = std::exchange(m_watches, {});
    for (const auto &watch : waiting) {
        if (answerWatch(watch))
            continue;
        if (now < watch.until) {
            m_watches.push_back(watch);
            continue;
        }
        answer(watch.exchange, 200, {{"events", json::array{}}, {"as_of", m_state.revision}});
        if (onWatchAnswered)
            onWatchAnswered(watch.prefix);
    }
}

void Store::transact(const Exchange &exchange)
{
    const auto body = parseObject(exchange->request().body).value_or(json::object{});
    bool holds = true;
    json::array current;
    eachObjectAt(body, "expected", [&](const json::object &row) {
        const auto key = textAt(row, "key");
        const auto item = m_state.items.find(key);
        const auto revision = item == m_state.items.end() ? 0 : item->second.revision;
        holds = holds && revision == numberAt<std::int64_t>(row, "revision");
        json::object shown{{"key", key}, {"revision", revision}};
        if (item != m_state.items.end())
            shown["value"] = item->second.value;
        current.push_back(std::move(shown));
    });
    if (!holds)
        return answer(exchange, 412, {{"items", std::move(current)}});
    bool hasLeases = true;
    eachObjectAt(body, "puts", [&](const json::object &row) {
        const auto lease = numberAt<std::int64_t>(row, "lease");
        hasLeases = hasLeases && (lease == 0 || m_state.leases.contains(lease));
    });
    if (!hasLeases)
        return answer(exchange, 404);
    ++m_state.revision;
    eachObjectAt(body, "puts", [&](const json::object &row) {
        write(textAt(row, "key"), textAt(row, "value"), numberAt<std::int64_t>(row, "lease"));
    });
    for (const auto &key : textsAt(body, "remove"))
        erase(key);
    answer(exchange, 200, {{"revision", m_state.revision}});
    answerWatches(BootClock{}.now());
}

void Store::grantLease(const Exchange &exchange)
{
    const auto body = parseObject(exchange->request().body).value_or(json::object{});
    const auto ms = std::max<std::int64_t>(1000, numberAt<std::int64_t>(body, "ttl_ms"));
    const Duration ttl = std::chrono::milliseconds{ms};
    m_state.leases[++m_lastLease] = {ttl, {}, BootClock{}.now() + ttl};
    answer(exchange, 200, {{"lease", m_lastLease}, {"ttl_ms", ms}});
}

void Store::keepLease(const Exchange &exchange, std::int64_t id)
{
    const auto lease = m_state.leases.find(id);
    if (lease == m_state.leases.end())
        return answer(exchange, 404);
    lease->second.end = BootClock{}.now() + lease->second.ttl;
    answer(exchange, 200, {{"ttl_ms", lease->second.ttl.count() / 1000}});
}

void Store::endLease(std::int64_t id)
{
    if (m_state.leases.erase(id) == 0)
        return;
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_state.items) {
        if (item.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_state.revision;
    for (const auto &key : keys)
        erase(key);
    answerWatches(BootClock{}.now());
}

void Store::write(const std::string &key, const std::string &encoded, std::int64_t lease)
{
    auto &item = m_state.items[key];
    const auto revision = m_state.revision;
    item = {encoded, revision, item.createdRevision == 0 ? revision : item.createdRevision, lease};
    m_state.events.push_back({key,
                              {{"key", key},
                               {"value", encoded},
                               {"revision", revision},
                               {"created_rev", item.createdRevision},
                               {"lease", lease}},
                              revision});
}

void Store::erase(const std::string &key)
{
    const auto revision = m_state.revision;
    if (m_state.items.erase(key) > 0)
        m_state.events.push_back({key, {{"key", key}, {"revision", revision}, {"tombstone", true}}, revision});
}

void Store::sweep()
{
    const auto now = BootClock{}.now();
    if (!m_isAway) {
        std::vector<std::int64_t> ended;
        for (const auto &[id, lease] : m_state.leases) {
            if (lease.end < now)
                ended.push_back(id);
        }
        for (const auto id : ended)
            endLease(id);
        answerWatches(now);
        m_server->sweep(now);
    }
    m_loop.runAfter(sweepInterval, [this] { sweep(); });
}

} // namespace Gypsumtally::Review
