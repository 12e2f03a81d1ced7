#include "keyvalue/keyvalueclient.h"

#include <memory>

namespace Gypsumtally
{

namespace
{

constexpr Duration watchIdleTimeout = std::chrono::hours{1};
constexpr unsigned httpOk = 200;

KeyReply toReply(const std::optional<std::string> &body, bool sent)
{
    if (!body)
        return {sent ? KeyOutcome::Unknown : KeyOutcome::Unavailable, 0, {}};
    const auto reply = EtcdJson::parseReply(*body);
    return reply ? *reply : KeyReply{KeyOutcome::Unknown, 0, {}};
}

} // namespace

KeyValueClient::KeyValueClient(Http::EventLoop &loop, std::vector<Http::Endpoint> endpoints, Duration timeout)
    : m_client(loop)
    , m_endpoints(std::move(endpoints))
    , m_timeout(timeout)
{
}

void KeyValueClient::post(std::string path, std::string body,
                          std::function<void(std::optional<std::string>, bool sent)> onDone)
{
    struct State {
        unsigned status = 0;
        std::string body;
    };
    auto state = std::make_shared<State>();
    auto done = std::make_shared<decltype(onDone)>(std::move(onDone));
    Http::ResponseObserver observer;
    observer.onHead = [state](unsigned status, const Http::Headers &) { state->status = status; };
    observer.onBody = [state](std::string_view piece) { state->body += piece; };
    observer.onEnd = [this, state, done] {
        if (state->status == httpOk) {
            (*done)(std::move(state->body), true);
            return;
        }
        m_endpointIndex = (m_endpointIndex + 1) % m_endpoints.size();
        (*done)(std::nullopt, true);
    };
    observer.onFailure = [this, done](const Http::TransportFailure &failure) {
        m_endpointIndex = (m_endpointIndex + 1) % m_endpoints.size();
        (*done)(std::nullopt, failure.sent);
    };
    Http::Request request{"POST", std::move(path), {{"Content-Type", "application/json"}}, std::move(body)};
    m_client.send(m_endpoints[m_endpointIndex], std::move(request), std::move(observer),
                  {.connectTimeout = m_timeout, .idleTimeout = m_timeout});
}

void KeyValueClient::call(const KeyCall &call, LeaseId lease, std::function<void(KeyReply)> onReply)
{
    const auto done = [onReply = std::move(onReply)](const std::optional<std::string> &body, bool sent) {
        onReply(toReply(body, sent));
    };
    if (const auto *read = std::get_if<KeyRead>(&call.operation)) {
        ++m_counters.reads;
        post("/v3/kv/range", EtcdJson::rangeRequest(*read), done);
        return;
    }
    ++m_counters.writes;
    const auto &transaction = std::get<KeyTransaction>(call.operation);
    post("/v3/kv/txn", EtcdJson::transactionRequest(transaction, lease), done);
}

void KeyValueClient::readRange(std::string_view first, std::string_view end, std::function<void(KeyReply)> onReply)
{
    ++m_counters.reads;
    post("/v3/kv/range", EtcdJson::rangeRequest(first, end),
         [onReply = std::move(onReply)](const std::optional<std::string> &body, bool sent) {
             onReply(toReply(body, sent));
         });
}

void KeyValueClient::grantLease(std::int64_t ttlSeconds, std::function<void(std::optional<LeaseId>)> onLease)
{
    ++m_counters.leases;
    post("/v3/lease/grant", EtcdJson::grantRequest(ttlSeconds),
         [onLease = std::move(onLease)](const std::optional<std::string> &body, bool) {
             onLease(body ? EtcdJson::parseGrant(*body) : std::nullopt);
         });
}

void KeyValueClient::keepAlive(LeaseId lease, std::function<void(std::optional<std::int64_t>)> onTimeLeft)
{
    ++m_counters.leases;
    post("/v3/lease/keepalive", EtcdJson::leaseRequest(lease),
         [onTimeLeft = std::move(onTimeLeft)](const std::optional<std::string> &body, bool) {
             onTimeLeft(body ? EtcdJson::parseKeepAlive(*body) : std::nullopt);
         });
}

void KeyValueClient::revoke(LeaseId lease)
{
    ++m_counters.leases;
    post("/v3/lease/revoke", EtcdJson::leaseRequest(lease), [](const std::optional<std::string> &, bool) {});
}

Http::Client::Token KeyValueClient::watch(std::string_view first, std::string_view end, Revision from,
                                          std::function<void(WatchMessage)> onMessage,
                                          const std::function<void()> &onEnd)
{
    ++m_counters.watches;
    auto partial = std::make_shared<std::string>();
    Http::ResponseObserver observer;
    observer.onBody = [partial, onMessage = std::move(onMessage)](std::string_view piece) {
        *partial += piece;
        for (auto newline = partial->find('\n'); newline != std::string::npos; newline = partial->find('\n')) {
            if (auto message = EtcdJson::parseWatchMessage(std::string_view(*partial).substr(0, newline)))
                onMessage(std::move(*message));
            partial->erase(0, newline + 1);
        }
    };
    observer.onEnd = onEnd;
    observer.onFailure = [this, onEnd](const Http::TransportFailure &) {
        m_endpointIndex = (m_endpointIndex + 1) % m_endpoints.size();
        onEnd();
    };
    Http::Request request{
        "POST", "/v3/watch", {{"Content-Type", "application/json"}}, EtcdJson::watchRequest(first, end, from)};
    return m_client.send(m_endpoints[m_endpointIndex], std::move(request), std::move(observer),
                         {.connectTimeout = m_timeout, .idleTimeout = watchIdleTimeout, .mayReuseConnection = false});
}

void KeyValueClient::cancel(Http::Client::Token watch)
{
    m_client.cancel(watch);
}

const KeyValueClient::Counters &KeyValueClient::counters() const
{
    return m_counters;
}

} // namespace Gypsumtally
