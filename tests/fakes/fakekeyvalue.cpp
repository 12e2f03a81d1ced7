#include "fakes/fakekeyvalue.h"

#include <absl/strings/escaping.h>

#include <string_view>
#include <utility>

namespace Gypsumtally::Fakes
{

namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds{20};
constexpr int notFoundCode = 5;
constexpr int invalidCode = 3;

const std::map<std::string_view, std::string_view> callKinds = {
    {"/v3/kv/range", "range"},
    {"/v3/kv/put", "put"},
    {"/v3/kv/txn", "txn"},
    {"/v3/lease/grant", "lease_grant"},
    {"/v3/lease/revoke", "lease_revoke"},
    {"/v3/lease/keepalive", "lease_keepalive"},
    {"/v3/watch", "watch"},
};

std::string bytesAt(const json::object &object, std::string_view name)
{
    std::string bytes;
    absl::Base64Unescape(textAt(object, name), &bytes);
    return bytes;
}

KeyRange rangeOf(const json::object &object)
{
    return {bytesAt(object, "key"), bytesAt(object, "range_end")};
}

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

json::object toJson(const std::string &key, const StoredValue &stored)
{
    json::object object{{"key", absl::Base64Escape(key)},
                        {"create_revision", number(stored.createRevision)},
                        {"mod_revision", number(stored.modRevision)},
                        {"version", number(stored.version)},
                        {"value", absl::Base64Escape(stored.value)}};
    if (stored.lease != 0)
        object["lease"] = number(stored.lease);
    return object;
}

json::object toJson(const StoreEvent &event)
{
    if (event.stored)
        return {{"kv", toJson(event.key, *event.stored)}};
    return {{"type", "DELETE"},
            {"kv", {{"key", absl::Base64Escape(event.key)}, {"mod_revision", number(event.revision)}}}};
}

json::object errorBody(int code, std::string_view message)
{
    return {{"error", message}, {"message", message}, {"code", code}};
}

const json::object *objectAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value ? value->if_object() : nullptr;
}

json::array arrayAt(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_array() ? value->as_array() : json::array{};
}

std::string line(json::object result)
{
    return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
}

} // namespace

FakeKeyValue::FakeKeyValue(Http::EventLoop &loop, Journal &journal, KeyValueOptions options)
    : m_loop(loop)
    , m_journal(journal)
    , m_options(options)
    , m_random(options.seed)
{
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

void FakeKeyValue::handle(const Http::Request &request, ResponderPointer responder)
{
    const std::string path{request.path()};
    const auto kind = callKinds.find(path);
    if (kind == callKinds.end()) {
        responder->respond(jsonResponse(404, errorBody(notFoundCode, "Not Found")));
        return;
    }
    ++m_calls[std::string(kind->second)];
    m_store.expire(SteadyClock{}.now());
    const auto call = parseObject(request.body);
    if (path == "/v3/watch") {
        watch(call, responder);
        return;
    }
    const auto outcome = run(path, call);
    notify();
    reply(std::move(responder), outcome, path != "/v3/kv/range" && path != "/v3/lease/keepalive");
}

FakeKeyValue::Outcome FakeKeyValue::run(const std::string &path, const json::object &call)
{
    if (path == "/v3/kv/range")
        return range(call);
    if (path == "/v3/kv/put")
        return put(call);
    if (path == "/v3/kv/txn")
        return transaction(call);
    if (path == "/v3/lease/grant")
        return grant(call);
    if (path == "/v3/lease/keepalive")
        return keepAlive(call);
    return revoke(call);
}

FakeKeyValue::Outcome FakeKeyValue::range(const json::object &call) const
{
    const auto entries = m_store.select(rangeOf(call));
    const auto limit = integerAt(call, "limit");
    json::object body{{"header", header()}};
    if (entries.empty())
        return {200, std::move(body)};
    json::array values;
    for (const auto &entry : entries) {
        if (limit > 0 && values.size() == static_cast<std::size_t>(limit)) {
            body["more"] = true;
            break;
        }
        values.emplace_back(toJson(entry->first, entry->second));
    }
    body["kvs"] = std::move(values);
    body["count"] = number(static_cast<std::int64_t>(entries.size()));
    return {200, std::move(body)};
}

FakeKeyValue::Outcome FakeKeyValue::put(const json::object &call)
{
    if (const auto problem = leaseError(call); !problem.empty())
        return {404, errorBody(notFoundCode, problem)};
    auto body = writePut(call);
    m_store.commit();
    body["header"] = header();
    return {200, std::move(body)};
}

FakeKeyValue::Outcome FakeKeyValue::transaction(const json::object &call)
{
    bool succeeded = true;
    for (const auto &compare : arrayAt(call, "compare"))
        succeeded = succeeded && compare.is_object() && compareHolds(compare.as_object());
    const auto operations = arrayAt(call, succeeded ? "success" : "failure");
    for (const auto &operation : operations) {
        const auto *request = operation.is_object() ? objectAt(operation.as_object(), "request_put") : nullptr;
        if (const auto problem = request ? leaseError(*request) : std::string(); !problem.empty())
            return {404, errorBody(notFoundCode, problem)};
    }
    json::array responses;
    for (const auto &operation : operations)
        responses.emplace_back(apply(operation.is_object() ? operation.as_object() : json::object{}));
    m_store.commit();
    json::object body{{"header", header()}};
    if (succeeded)
        body["succeeded"] = true;
    if (!responses.empty())
        body["responses"] = std::move(responses);
    return {200, std::move(body)};
}

FakeKeyValue::Outcome FakeKeyValue::grant(const json::object &call)
{
    const auto ttl = integerAt(call, "TTL");
    const auto id = integerAt(call, "ID");
    if (ttl <= 0 || m_store.hasLease(id))
        return {400, errorBody(invalidCode, "etcdserver: bad lease")};
    const auto granted = m_store.grant(id, std::chrono::seconds{ttl}, SteadyClock{}.now());
    return {200, {{"header", header()}, {"ID", number(granted)}, {"TTL", number(ttl)}}};
}

FakeKeyValue::Outcome FakeKeyValue::keepAlive(const json::object &call)
{
    const auto id = integerAt(call, "ID");
    const auto ttl = m_store.keepAlive(id, SteadyClock{}.now());
    json::object result{{"header", header()}, {"ID", number(id)}};
    if (ttl)
        result["TTL"] = number(*ttl / std::chrono::seconds{1});
    return {200, {{"result", std::move(result)}}};
}

FakeKeyValue::Outcome FakeKeyValue::revoke(const json::object &call)
{
    if (!m_store.revoke(integerAt(call, "ID")))
        return {404, errorBody(notFoundCode, "etcdserver: requested lease not found")};
    return {200, {{"header", header()}}};
}

bool FakeKeyValue::compareHolds(const json::object &compare) const
{
    const auto *stored = m_store.find(bytesAt(compare, "key"));
    const auto target = textAt(compare, "target");
    const auto result = textAt(compare, "result");
    int order = 0;
    const auto against = [&](std::string_view name, std::int64_t present) {
        const auto wanted = integerAt(compare, name);
        return present < wanted ? -1 : present > wanted ? 1 : 0;
    };
    if (target == "MOD")
        order = against("mod_revision", stored ? stored->modRevision : 0);
    else if (target == "CREATE")
        order = against("create_revision", stored ? stored->createRevision : 0);
    else if (target == "VALUE")
        order = stored ? stored->value.compare(bytesAt(compare, "value")) : -1;
    else
        order = against("version", stored ? stored->version : 0);
    if (result == "GREATER")
        return order > 0;
    if (result == "LESS")
        return order < 0;
    return (result == "NOT_EQUAL") != (order == 0);
}

std::string FakeKeyValue::leaseError(const json::object &operation) const
{
    const auto lease = integerAt(operation, "lease");
    return lease == 0 || m_store.hasLease(lease) ? "" : "etcdserver: requested lease not found";
}

json::object FakeKeyValue::apply(const json::object &operation)
{
    if (const auto *call = objectAt(operation, "request_put"))
        return {{"response_put", writePut(*call)}};
    if (const auto *call = objectAt(operation, "request_delete_range"))
        return {{"response_delete_range", writeDelete(*call)}};
    const auto *call = objectAt(operation, "request_range");
    return {{"response_range", range(call ? *call : json::object{}).second}};
}

json::object FakeKeyValue::writePut(const json::object &call)
{
    m_store.put(bytesAt(call, "key"), bytesAt(call, "value"), integerAt(call, "lease"));
    return {{"header", header()}};
}

json::object FakeKeyValue::writeDelete(const json::object &call)
{
    json::object body{{"header", header()}};
    if (const auto deleted = m_store.remove(rangeOf(call)); deleted > 0)
        body["deleted"] = number(deleted);
    return body;
}

json::object FakeKeyValue::header() const
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", number(m_store.revision())}, {"raft_term", "1"}};
}

void FakeKeyValue::watch(const json::object &call, const ResponderPointer &responder)
{
    const auto *create = objectAt(call, "create_request");
    if (!create) {
        responder->respond(jsonResponse(400, errorBody(invalidCode, "create_request is missing")));
        return;
    }
    const auto start = integerAt(*create, "start_revision");
    Watcher watcher{responder, rangeOf(*create), start > 0 ? start : m_store.revision() + 1,
                    create->contains("progress_notify") && create->at("progress_notify") == json::value(true)};
    responder->begin(200, {{"Content-Type", "application/json"}});
    responder->write(line({{"header", header()}, {"created", true}}));
    if (watcher.next <= m_store.compactRevision()) {
        responder->write(
            line({{"header", header()}, {"canceled", true}, {"compact_revision", number(m_store.compactRevision())}}));
        responder->end();
        return;
    }
    m_watchers.push_back(std::make_shared<Watcher>(std::move(watcher)));
    responder->onGone([gone = std::weak_ptr(m_watchers.back())] {
        if (const auto left = gone.lock())
            left->responder.reset();
    });
    notify();
}

void FakeKeyValue::notify()
{
    std::erase_if(m_watchers, [](const auto &watcher) { return watcher->responder == nullptr; });
    for (const auto &event : m_store.eventsSince({"", std::string(1, '\0')}, m_journaledRevision + 1)) {
        m_journal.record(
            event.stored ? "put" : "delete",
            {{"revision", event.revision}, {"key", event.key}, {"value", event.stored ? event.stored->value : ""}});
    }
    m_journaledRevision = m_store.revision();
    if (m_paused)
        return;
    for (const auto &watcher : m_watchers) {
        json::array events;
        for (const auto &event : m_store.eventsSince(watcher->range, watcher->next))
            events.emplace_back(toJson(event));
        watcher->next = std::max(watcher->next, m_store.revision() + 1);
        if (!events.empty())
            watcher->responder->write(line({{"header", header()}, {"events", std::move(events)}}));
    }
}

void FakeKeyValue::tick()
{
    const auto now = SteadyClock{}.now();
    m_store.expire(now);
    notify();
    if (!m_paused && now - m_lastProgress >= m_options.progressInterval) {
        m_lastProgress = now;
        for (const auto &watcher : m_watchers) {
            if (watcher->wantsProgress && watcher->responder)
                watcher->responder->write(line({{"header", header()}}));
        }
    }
    m_loop.runAfter(tickInterval, [this] { tick(); });
}

bool FakeKeyValue::shouldLoseReply(bool wrote)
{
    if (wrote && m_loseNext > 0) {
        --m_loseNext;
        return true;
    }
    return m_options.loseReply > 0 && std::bernoulli_distribution{m_options.loseReply}(m_random);
}

void FakeKeyValue::reply(ResponderPointer responder, const Outcome &outcome, bool wrote)
{
    if (shouldLoseReply(wrote)) {
        ++m_calls["lost_replies"];
        return;
    }
    auto response = jsonResponse(outcome.first, outcome.second);
    if (m_replyDelay == Duration::zero()) {
        responder->respond(std::move(response));
        return;
    }
    m_loop.runAfter(m_replyDelay, [responder = std::move(responder), response = std::move(response)]() mutable {
        responder->respond(std::move(response));
    });
}

void FakeKeyValue::control(const json::object &fields)
{
    if (const auto *probability = fields.if_contains("lose_reply"))
        m_options.loseReply = probability->to_number<double>();
    m_loseNext = integerAt(fields, "lose_next", m_loseNext);
    m_replyDelay
        = std::chrono::milliseconds{integerAt(fields, "reply_delay_ms", m_replyDelay / std::chrono::milliseconds{1})};
    if (fields.contains("outage")) {
        const auto outage = textAt(fields, "outage");
        m_paused = outage == "hang";
        if (outage == "refuse")
            cutWatches();
    }
    if (fields.contains("cut_watches"))
        cutWatches();
    if (fields.contains("compact"))
        m_store.compact();
    notify();
}

void FakeKeyValue::cutWatches()
{
    for (const auto &watcher : m_watchers) {
        if (watcher->responder)
            watcher->responder->abort();
    }
    m_watchers.clear();
}

json::object FakeKeyValue::report() const
{
    json::object calls;
    for (const auto &[kind, count] : m_calls)
        calls[kind] = count;
    json::object keys;
    for (const auto &entry : m_store.select({"", std::string(1, '\0')})) {
        keys[entry->first] = {{"value", entry->second.value},
                              {"mod_revision", entry->second.modRevision},
                              {"lease", entry->second.lease}};
    }
    return {{"revision", m_store.revision()},
            {"watching", m_watchers.size()},
            {"leases", m_store.leaseCount()},
            {"calls", std::move(calls)},
            {"keys", std::move(keys)}};
}

} // namespace Gypsumtally::Fakes
