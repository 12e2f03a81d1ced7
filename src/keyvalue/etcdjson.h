#pragma once

#include "common/keyvalue.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// Id of a lease at the key-value service; 0 means no lease.
using LeaseId = std::int64_t;

/// A change reported by a watch. A deleted key has no value.
struct StoreChange {
    KeyValue entry;
    bool deleted = false;
};

/// A message of a watch.
struct WatchMessage {
    Revision revision = 0;
    bool created = false;
    bool cancelled = false; ///< The watch has ended, for example because its start revision was compacted.
    std::vector<StoreChange> changes;
};

/// Encodes and decodes the calls of etcd v3 as JSON. All functions are pure and thread-safe.
namespace EtcdJson
{

/// Returns the first key after all keys that start with @p prefix. Precondition: @p prefix is not empty.
std::string prefixEnd(std::string prefix);

/// Encodes a read of one key or of a prefix.
std::string rangeRequest(const KeyRead &read);

/// Encodes a read of the keys from @p first up to @p end, exclusive, or of @p first alone if @p end is empty.
std::string rangeRequest(std::string_view first, std::string_view end);

/// Encodes a transaction. Puts with the lifetime of the node's lease are attached to @p lease.
std::string transactionRequest(const KeyTransaction &transaction, LeaseId lease);

/// Encodes a watch of the keys from @p first up to @p end, exclusive, from revision @p from on.
std::string watchRequest(std::string_view first, std::string_view end, Revision from);

std::string grantRequest(std::int64_t ttlSeconds);
std::string leaseRequest(LeaseId lease);

/// Decodes the reply to a range or transaction call; returns nothing if it is not one.
std::optional<KeyReply> parseReply(std::string_view body);

std::optional<WatchMessage> parseWatchMessage(std::string_view line);

/// Decodes the reply to a lease grant; returns nothing on failure.
std::optional<LeaseId> parseGrant(std::string_view body);

/// Decodes the reply to a keep-alive. Returns the seconds left, 0 if the lease has expired, nothing on failure.
std::optional<std::int64_t> parseKeepAlive(std::string_view body);

} // namespace EtcdJson

} // namespace Gypsumtally
