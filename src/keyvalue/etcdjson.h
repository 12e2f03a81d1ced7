#pragma once

#include "common/keyvalue.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// A lease's number at the key-value service; 0 is none.
using LeaseId = std::int64_t;

/// One change that a watch tells of. A deleted key has no value.
struct StoreChange {
    KeyValue entry;
    bool deleted = false;
};

/// One message of a watch.
struct WatchMessage {
    Revision revision = 0;
    bool created = false;
    bool cancelled = false; ///< The watch has ended, for example because its start was compacted away.
    std::vector<StoreChange> changes;
};

/// The JSON form of etcd v3's calls. All functions are pure and thread-safe.
namespace EtcdJson
{

/// Returns the key just after all keys that start with @p prefix. Precondition: @p prefix is not empty.
std::string prefixEnd(std::string prefix);

std::string rangeRequest(const KeyRead &read);
std::string rangeRequest(std::string_view first, std::string_view end);

/// Writes a transaction; puts that go with the node's lease name @p lease.
std::string transactionRequest(const KeyTransaction &transaction, LeaseId lease);

/// Watches the keys from @p first up to @p end, from revision @p from on.
std::string watchRequest(std::string_view first, std::string_view end, Revision from);

std::string grantRequest(std::int64_t ttlSeconds);
std::string leaseRequest(LeaseId lease);

/// Reads the reply to a range or transaction call; nothing if it is not one.
std::optional<KeyReply> parseReply(std::string_view body);

std::optional<WatchMessage> parseWatchMessage(std::string_view line);

/// Reads the reply to a grant; nothing on failure.
std::optional<LeaseId> parseGrant(std::string_view body);

/// Reads the reply to a keep-alive: the seconds left, 0 if the lease has expired, nothing on failure.
std::optional<std::int64_t> parseKeepAlive(std::string_view body);

} // namespace EtcdJson

} // namespace Gypsumtally
