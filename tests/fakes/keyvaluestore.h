#pragma once

#include "common/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Fakes
{

/// A stored value with the metadata that etcd keeps for each key.
struct StoredValue {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0; ///< Number of writes since the key was created.
    std::int64_t lease = 0; ///< Id of the attached lease, or 0.
};

/// A write as it is reported to watches.
struct StoreEvent {
    std::int64_t revision = 0;
    std::string key;
    std::optional<StoredValue> stored; ///< Empty for a delete.
};

/// The keys in [first, end). An empty `end` means the single key `first`; the end "\0" means all keys from `first` on.
struct KeyRange {
    std::string first;
    std::string end;

    bool contains(const std::string &key) const;
};

/// The in-memory state of an etcd-like store. Not thread-safe.
class KeyValueStore
{
public:
    using Entries = std::map<std::string, StoredValue>;

    std::int64_t revision() const
    {
        return m_revision;
    }

    /// Returns the value at @p key, or nullptr.
    const StoredValue *find(const std::string &key) const;

    /// Returns the entries in @p range, sorted by key.
    std::vector<Entries::const_iterator> select(const KeyRange &range) const;

    /// Writes a key in the open transaction. Precondition: @p lease is 0 or the id of a granted lease.
    void put(const std::string &key, std::string value, std::int64_t lease);

    /// Deletes the keys in @p range in the open transaction and returns their number.
    std::int64_t remove(const KeyRange &range);

    /// Commits the open transaction. All its writes get the next revision.
    void commit();

    /// Grants a lease and returns its id. If @p id is 0, the store assigns one.
    std::int64_t grant(std::int64_t id, Duration ttl, Instant now);

    /// Renews a lease and returns its time to live, or nothing if there is no such lease.
    std::optional<Duration> keepAlive(std::int64_t id, Instant now);

    /// Revokes a lease and deletes its keys. Returns false if there is no such lease.
    bool revoke(std::int64_t id);

    bool hasLease(std::int64_t id) const
    {
        return m_leases.contains(id);
    }

    std::size_t leaseCount() const
    {
        return m_leases.size();
    }

    /// Revokes the leases that have expired by @p now.
    void expire(Instant now);

    /// Returns the events of keys in @p range whose revision is at least @p from.
    std::vector<StoreEvent> eventsSince(const KeyRange &range, std::int64_t from) const;

    /// Discards all events up to the current revision.
    void compact();

    std::int64_t compactRevision() const
    {
        return m_compactRevision;
    }

private:
    struct Lease {
        Duration ttl{};
        Instant expires{};
        std::set<std::string> keys;
    };

    void detach(const std::string &key, std::int64_t lease);

    Entries m_entries;
    std::vector<StoreEvent> m_events;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_compactRevision = 0;
    std::int64_t m_lastLease = 7000;
    bool m_written = false;
};

} // namespace Gypsumtally::Fakes
