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

/// The calls that a node makes to a key-value service. Replies arrive asynchronously, on the caller's thread.
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

/// HTTP client of the platform's key-value service. Use only on the event loop's thread.
class KeyValueClient
{
public:
    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t leases = 0;
        std::uint64_t watches = 0;
    };

    /// Creates a client that uses one of @p endpoints and moves on to the next one after a failure. Precondition:
    /// @p endpoints is not empty.
    KeyValueClient(Http::EventLoop &loop, std::vector<Http::Endpoint> endpoints, Duration timeout);

    /// Sends @p call once. A lost reply is reported as Unknown; the client does not retry.
    void call(const KeyCall &call, LeaseId lease, std::function<void(KeyReply)> onReply);

    /// Reads all keys from @p first up to @p end, exclusive.
    void readRange(std::string_view first, std::string_view end, std::function<void(KeyReply)> onReply);

    /// Requests a lease. Reports its id, or nothing on failure.
    void grantLease(std::int64_t ttlSeconds, std::function<void(std::optional<LeaseId>)> onLease);

    /// Renews a lease. Reports the seconds left, 0 if the lease has expired, nothing if no reply arrived.
    void keepAlive(LeaseId lease, std::function<void(std::optional<std::int64_t>)> onTimeLeft);

    /// Revokes a lease. The service deletes its keys at once.
    void revoke(LeaseId lease);

    /// Watches the keys from @p first up to @p end, exclusive, from revision @p from on. @p onEnd is called once when
    /// the connection of the watch ends.
    Http::Client::Token watch(std::string_view first, std::string_view end, Revision from,
                              std::function<void(WatchMessage)> onMessage, const std::function<void()> &onEnd);

    void cancel(Http::Client::Token watch);

    const Counters &counters() const;

private:
    void post(std::string path, std::string body, std::function<void(std::optional<std::string>, bool sent)> onDone);

    Http::Client m_client;
    std::vector<Http::Endpoint> m_endpoints;
    std::size_t m_endpointIndex = 0;
    Duration m_timeout;
    Counters m_counters;
};

static_assert(KeyValueStore<KeyValueClient>);

} // namespace Gypsumtally
