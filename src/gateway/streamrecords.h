#pragma once

#include "gateway/callcontext.h"
#include "gateway/gatewaylog.h"
#include "gateway/registryfollower.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Returns the representation of @p streams in the store. Thread-safe.
std::string encode(const std::vector<StreamOrigin> &streams);

/// Decodes streams from the store; skips what is not valid. Thread-safe.
std::vector<StreamOrigin> decodeStreamOrigins(std::string_view text);

/// Returns the representation of @p history in the store. Thread-safe.
std::string encode(const SoftwareHistory &history);

/// Decodes a history from the store; nothing if @p text is not a valid one. Thread-safe.
std::optional<SoftwareHistory> decodeSoftwareHistory(std::string_view text);

/// Where the records of streams and software versions lie in the store.
struct StreamRecordKeys {
    std::string history; ///< Prefix of a durable key for each service. Followed by all nodes.
    std::string streams; ///< Prefix of the records of streams, which nodes read only when they need one.
    std::string writer; ///< Makes this process's records of streams unique.
};

/// Keeps in the store, while more than one software version serves, at which one each stream began, so that callers can
/// take streams up after the loss of nodes. One node of each failure domain, its recorder, writes for all of them in
/// batches. Loop's thread only.
template<GatewayStore Store>
class StreamRecords
{
public:
    /// @p send passes streams to the recorder of the failure domain, or returns false if this node is the recorder.
    StreamRecords(Store &store, CallContext &context, GatewayLog &log, StreamRecordKeys keys,
                  std::function<bool(const std::vector<StreamOrigin> &)> send)
        : m_store(store)
        , m_context(context)
        , m_log(log)
        , m_keys(std::move(keys))
        , m_send(std::move(send))
    {
    }

    /// Observes the versions that serve, and writes records that are due. Call several times per second. @p rank is
    /// this node's rank among the live nodes: the first one writes the histories of services.
    void tick(Instant now, std::int64_t wallMs, unsigned rank)
    {
        if (now < m_nextTick)
            return;
        m_nextTick = now + tickInterval;
        observeServing(now);
        m_context.streams.prune(now);
        if (auto begun = m_context.streams.takeUnrecorded(now); !begun.empty() && !m_send(begun))
            record(begun);
        writeStreams(now);
        if (rank == 0)
            writeHistories(now, wallMs);
    }

    /// Observes the versions that serve now, after a change of the registry.
    void observeServing(Instant now)
    {
        std::map<std::string, std::map<std::string, unsigned>> serving;
        for (const auto &[instance, upstream] : m_context.upstreams.all())
            serving[upstream.record.service][upstream.record.softwareVersion] += upstream.staysInService() ? 1 : 0;
        for (const auto &service : m_context.streams.services())
            serving[service];
        for (const auto &[service, versions] : serving)
            m_context.streams.onServing(service, versions, now);
    }

    /// Records streams that another node of the failure domain has begun.
    void record(const std::vector<StreamOrigin> &streams)
    {
        const auto now = BootClock{}.now();
        for (const auto &stream : streams) {
            m_context.streams.learn(stream, now);
            if (m_unwritten.size() < maxUnwritten)
                m_unwritten.push_back(stream);
        }
    }

    /// Reads the records of all failure domains, unless that is being done already. Calls @p onRead if the store
    /// answers.
    void read(std::function<void()> onRead)
    {
        if (std::exchange(m_isReading, true))
            return;
        const auto calledAt = BootClock{}.now();
        m_store.readPrefix(m_keys.streams, [this, calledAt, onRead = std::move(onRead)](const KeyReply &reply) {
            m_isReading = false;
            if (reply.outcome != KeyOutcome::Applied)
                return;
            const auto now = BootClock{}.now();
            for (const auto &value : reply.values) {
                for (const auto &stream : decodeStreamOrigins(value.value))
                    m_context.streams.learn(stream, now, VersionSource::Record);
            }
            m_context.streams.onRecordsRead(calledAt);
            onRead();
        });
    }

    /// Forgets the lease and the histories that were written, as the store has come back from an older copy.
    void onStoreRestored()
    {
        m_lease = 0;
        m_stored.clear();
        m_context.streams.onRecordsLost();
    }

    /// Takes over the histories in a snapshot of the store, by key.
    void onSnapshot(const std::map<std::string, KeyValue> &values, Instant now, std::int64_t wallMs)
    {
        for (auto it = values.lower_bound(m_keys.history); it != values.end() && it->first.starts_with(m_keys.history);
             ++it)
            onStored(it->first, it->second.value, now, wallMs);
    }

    /// Applies @p change and returns true if it is of a history; otherwise returns false.
    bool onChange(const KeyChange &change, Instant now, std::int64_t wallMs)
    {
        if (!change.key.starts_with(m_keys.history))
            return false;
        if (change.value)
            onStored(change.key, *change.value, now, wallMs);
        return true;
    }

private:
    static constexpr Duration tickInterval = std::chrono::milliseconds{45};
    /// Pause between two writes of a recorder for each failure domain, so that all recorders together write at most 20
    /// times a second. Each write is a billed call; streams that are not written yet are lost with all nodes.
    static constexpr Duration writePausePerDomain = std::chrono::milliseconds{50};
    /// TTL of the records' lease; they outlive the streams that began shortly before its replacement.
    static constexpr Duration leaseTtl = std::chrono::seconds{70};
    static constexpr Duration leaseUse = std::chrono::seconds{25}; ///< Time after which another lease is used.
    static constexpr Duration historyPause = std::chrono::milliseconds{500}; ///< Between two writes of histories.
    static constexpr std::size_t maxUnwritten = 20000; ///< In an outage of the store; further ones are not recorded.
    static constexpr std::size_t maxBatch = 5000; ///< Streams in one record, about 150 KB.

    void onStored(const std::string &key, const std::string &text, Instant now, std::int64_t wallMs)
    {
        const auto history = decodeSoftwareHistory(text);
        if (!history)
            return m_log.decision(GatewayEvent::BadDocument, key,
                                  {{"key", key}, {"reason", "not a history of versions"}});
        const auto service = key.substr(m_keys.history.size());
        m_stored[service] = *history;
        m_context.streams.onHistory(service, *history, now, wallMs);
    }

    void writeStreams(Instant now)
    {
        if (m_unwritten.empty() || m_isWriting || now < m_nextWrite)
            return;
        m_isWriting = true;
        m_nextWrite = now + writePausePerDomain * std::max(1, static_cast<int>(m_context.regions.size()));
        if (m_lease != 0 && now - m_leaseSince < leaseUse)
            return writeBatch();
        m_store.grantLease(leaseTtl, [this](std::optional<StoreLease> lease) {
            if (!lease) {
                m_isWriting = false;
                return;
            }
            m_lease = *lease;
            m_leaseSince = BootClock{}.now();
            writeBatch();
        });
    }

    void writeBatch()
    {
        const auto count = std::min(m_unwritten.size(), maxBatch);
        std::vector<StreamOrigin> batch(m_unwritten.begin(), m_unwritten.begin() + static_cast<std::ptrdiff_t>(count));
        m_unwritten.erase(m_unwritten.begin(), m_unwritten.begin() + static_cast<std::ptrdiff_t>(count));
        KeyTransaction transaction;
        transaction.puts.push_back({m_keys.streams + m_keys.writer + '-' + std::to_string(++m_batches), encode(batch),
                                    KeyLifetime::NodeLease});
        m_store.transact(transaction, m_lease, [this, batch = std::move(batch)](const KeyReply &reply) {
            m_isWriting = false;
            if (reply.outcome == KeyOutcome::Applied)
                return;
            m_lease = 0; // It may have ended.
            m_unwritten.insert(m_unwritten.begin(), batch.begin(), batch.end());
        });
    }

    /// Writes the history of each service with more than one version if it differs from the stored one.
    void writeHistories(Instant now, std::int64_t wallMs)
    {
        if (now < m_nextHistoryWrite)
            return;
        for (const auto &service : m_context.streams.services()) {
            const auto history = m_context.streams.historyOf(service, now, wallMs);
            const auto stored = m_stored.find(service);
            const bool isKnown = stored != m_stored.end() && stored->second.serving == history.serving;
            if (isKnown || (stored == m_stored.end() && !m_context.streams.isMixed(service, now)))
                continue;
            m_nextHistoryWrite = now + historyPause;
            KeyTransaction transaction;
            transaction.puts.push_back({m_keys.history + service, encode(history), KeyLifetime::Durable});
            m_store.transact(transaction, 0, [this, service, history](const KeyReply &reply) {
                if (reply.outcome == KeyOutcome::Applied)
                    m_stored[service] = history;
            });
        }
    }

    Store &m_store;
    CallContext &m_context;
    GatewayLog &m_log;
    StreamRecordKeys m_keys;
    std::function<bool(const std::vector<StreamOrigin> &)> m_send;
    std::vector<StreamOrigin> m_unwritten;
    std::map<std::string, SoftwareHistory> m_stored; ///< By service.
    StoreLease m_lease = 0;
    Instant m_leaseSince{};
    Instant m_nextTick{};
    Instant m_nextWrite{};
    Instant m_nextHistoryWrite{};
    std::uint64_t m_batches = 0;
    bool m_isWriting = false;
    bool m_isReading = false;
};

} // namespace Gypsumtally::Gateway
