#pragma once

#include "common/enumtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// A revision of the platform's key-value service; increases with every write to any key.
using Revision = std::int64_t;

/// Counts how often the platform's key-value service has come back from an older copy, which gives revisions out again;
/// 0 if the service does not state it.
using StoreEra = std::uint64_t;

/// Revisions above this are not valid: JSON carries whole numbers exactly up to 2^53.
inline constexpr Revision maxRevision = Revision{1} << 53;

/// A key with its stored value and the revision of its last write.
struct KeyValue {
    std::string key;
    std::string value;
    Revision modRevision = 0;
};

/// The lifetime of a stored value.
enum class KeyLifetime {
    Durable,
    NodeLease, ///< Deleted when the node's lease ends.
};

/// A condition of a transaction: @p key was last written at @p modRevision, or is absent if that is 0.
struct KeyCompare {
    std::string key;
    Revision modRevision = 0;
};

/// A write of a transaction.
struct KeyPut {
    std::string key;
    std::string value;
    KeyLifetime lifetime = KeyLifetime::Durable;
};

/// An atomic transaction. If all compares hold, all puts and deletes take effect. Otherwise nothing is written and the
/// reply contains the current values of the compared keys.
struct KeyTransaction {
    std::vector<KeyCompare> compares;
    std::vector<KeyPut> puts;
    std::vector<std::string> deletes;
    std::vector<std::string> deletePrefixes{}; ///< Prefixes; all keys that start with one are deleted.
};

/// A read of one key, or, if @p isPrefix is set, of all keys that start with it.
struct KeyRead {
    std::string key;
    bool isPrefix = false;
};

/// A call to the key-value service, requested by code that does no I/O. The reply is returned with the same tag.
struct KeyCall {
    std::uint64_t tag = 0;
    std::variant<KeyTransaction, KeyRead> operation;
};

/// The outcome of a call to the key-value service.
enum class KeyOutcome {
    Applied, ///< All compares held and the writes took effect (or the read was answered).
    Conflict, ///< A compare did not hold; nothing was written.
    Unavailable, ///< The call was never sent; nothing was written.
    Unknown, ///< The reply was lost; the writes may have taken effect. A read resolves this.
};

template<>
inline constexpr EnumTable<KeyOutcome, 4> enumNames<KeyOutcome>{{
    {KeyOutcome::Applied, "applied"},
    {KeyOutcome::Conflict, "conflict"},
    {KeyOutcome::Unavailable, "unavailable"},
    {KeyOutcome::Unknown, "unknown"},
}};

/// The reply to a transaction or a read.
struct KeyReply {
    KeyOutcome outcome = KeyOutcome::Unknown;
    Revision revision = 0; ///< The store's revision of the write if applied, else of the reply; 0 if unknown.
    std::vector<KeyValue> values; ///< Current values of the compared keys on Conflict, of the range on a read.
};

/// Returns the entry of @p key in @p values, or null. Thread-safe.
inline const KeyValue *findKey(const std::vector<KeyValue> &values, const std::string &key)
{
    for (const auto &entry : values) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

} // namespace Gypsumtally
