#pragma once

#include "common/keyvalue.h"
#include "http/client.h"
#include "keyvalue/etcdjson.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Gypsumtally
{

/// What the node asks of a key-value service. Replies come later, on the caller's thread.
template<typename T>
concept KeyValueStore = requires(T &store, const KeyCall &call, std::function<void(KeyReply)> onReply,
                                 std::int64_t seconds, std::function<void(std::optional<LeaseId>)> onLease,
                                 LeaseId lease, std::function<void(std::optional<std::int64_t>)> onTimeLeft)
{
    store.call(call, lease, onReply);
    store.grantLease(seconds, onLease);
    store.keepAlive(lease, onTimeLeft);
    store.revoke(lease);
};

/// The platform's key-value service over HTTP. Loop's thread only.
class KeyValueClient
{
public:
    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t leases = 0;
        std::uint64_t watches = 0;
    };

    /// Precondition: @p endpoints is not empty; the next one is tried after a failure.
    KeyValueClient(Http::EventLoop &loop, std::vector<Http::Endpoint> endpoints, Duration timeout);

    /// Sends @p call once; a lost reply is reported as Unknown and never tried again here.
    void call(const KeyCall &call, LeaseId lease, std::function<void(KeyReply)> onReply);

    /// Reads all keys from @p first up to @p end.
    void readRange(std::string_view first, std::string_view end, std::function<void(KeyReply)> onReply);

    void grantLease(std::int64_t ttlSeconds, std::function<void(std::optional<LeaseId>)> onLease);

    /// Reports the seconds left; 0 for an expired lease; nothing if there was no answer.
    void keepAlive(LeaseId lease, std::function<void(std::optional<std::int64_t>)> onTimeLeft);

    /// Gives a lease back; its keys go at once.
    void revoke(LeaseId lease);

    /// Watches keys from @p first up to @p end from revision @p from on. @p onEnd is called once when the watch breaks.
    Http::Client::Token watch(std::string_view first, std::string_view end, Revision from,
                              std::function<void(WatchMessage)> onMessage, const std::function<void()> &onEnd);

    void cancel(Http::Client::Token watch);

    const Counters &counters() const;

private:
    void post(std::string path, std::string body, std::function<void(std::optional<std::string>, bool sent)> onDone);

    Http::Client m_client;
    std::vector<Http::Endpoint> m_endpoints;
    std::size_t m_next = 0;
    Duration m_timeout;
    Counters m_counters;
};

static_assert(KeyValueStore<KeyValueClient>);

} // namespace Gypsumtally
