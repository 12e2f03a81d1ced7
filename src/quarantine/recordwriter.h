#pragma once

#include "common/clock.h"
#include "common/keyvalue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// Conditional write or removal of a record.
struct RecordWrite {
    std::optional<std::string> value; ///< Absent to remove the key.
    Revision revision = 0; ///< Revision that the key must have; 0 if it must not exist.
};

/// Writes independent records by compare-and-swap, several per transaction. Retries each write until it has taken
/// effect or the key has another revision than it requires. Not thread-safe.
class RecordWriter
{
public:
    explicit RecordWriter(Duration retryInterval)
        : m_retryInterval(retryInterval)
    {
    }

    /// Queues a write of @p key; replaces one that is queued and not yet sent.
    void write(const std::string &key, RecordWrite write);

    /// Returns true if a write of @p key is queued or in flight.
    bool isWriting(const std::string &key) const
    {
        return m_waiting.contains(key) || m_sent.contains(key);
    }

    /// Returns the next transaction to send, or nothing if no write is queued, another transaction is in flight or the
    /// retry interval has not passed. The reply must be passed to onReply().
    std::optional<KeyTransaction> next(Instant now);

    /// Processes the reply to the transaction that next() returned last, and queues the writes that must be retried.
    void onReply(const KeyReply &reply, Instant now);

private:
    Duration m_retryInterval;
    std::map<std::string, RecordWrite> m_waiting;
    std::map<std::string, RecordWrite> m_sent;
    Instant m_notBefore{};
};

} // namespace Gypsumtally
