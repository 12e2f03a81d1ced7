#pragma once

#include "common/call.h"
#include "common/clock.h"
#include "common/identifiers.h"
#include "residency/policyweights.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Gypsumtally
{

/// The priority of a load. Ordered by service class, then by waiting calls and age.
struct LoadPriority {
    ServiceClass serviceClass = ServiceClass::Bulk; ///< The highest class among the waiting calls.
    std::uint32_t waiters = 0; ///< Number of waiting calls.
    Instant oldest{}; ///< Arrival of the oldest waiting call, on the clock of the process that holds this.
    bool foreseen = false; ///< A prefetch: no call waits for it yet, and it is granted only from spare rate.
};

/// A load that waits for a grant to read from the weight store.
struct LoadTicket {
    UpstreamId upstream;
    AdapterVersion adapter;
    LoadPriority priority;
};

/// Settings of LoadBroker.
struct LoadBrokerSettings {
    double loadsPerSecond = 3; ///< Rate limit of the weight store.
    Duration margin = std::chrono::milliseconds{30}; ///< Added to each token's period; absorbs jitter of grants.
    std::size_t maxTickets = 4096; ///< Limit of waiting tickets.
    std::uint32_t maxInFlight = 8; ///< Limit of loads in flight; more loads would slow each other down.
    double reservedFraction = 0.34; ///< Fraction of the rate reserved for urgent tickets while few tickets wait.
    std::size_t reservedBelow = 4; ///< Number of waiting tickets from which nothing is reserved.
    double prefetchFraction = 0.25; ///< Fraction of the rate available to prefetches.
    PolicyWeights weights{};
    Duration ageing = std::chrono::seconds{20}; ///< Wait after which a ticket counts as aged.
    double agedFraction = 0.25; ///< Fraction of grants for aged tickets even while tickets of higher classes wait.
};

/// Limits loads to the rate of the weight store with a token bucket; each token is returned one period after its use.
/// The role needs no mutual exclusion: two brokers at once only cause the store to refuse loads. Not thread-safe; does
/// no I/O.
class LoadBroker
{
public:
    explicit LoadBroker(LoadBrokerSettings settings = {});

    /// Adds a ticket, or updates the priority of a waiting one. Returns false if the limit of tickets is reached.
    bool ask(LoadTicket ticket, Instant now);

    /// Removes a ticket, or ends a grant that will not be used. Does nothing if there is neither.
    void withdraw(const UpstreamId &upstream, const AdapterVersion &adapter);

    /// Removes all tickets and loads in flight of an upstream.
    void forget(const UpstreamId &upstream);

    /// Records the end of a granted load, successful or not.
    void finished(const UpstreamId &upstream, const AdapterVersion &adapter);

    /// Records that the store refused a granted load. Nothing is granted before @p retryAfter has passed.
    void refused(const UpstreamId &upstream, const AdapterVersion &adapter, Duration retryAfter, Instant now);

    /// Grants the tickets that may be loaded now, removes them from the waiting ones and returns them.
    std::vector<LoadTicket> grants(Instant now);

    /// Returns the earliest time at which grants() may return a ticket, or nothing if no ticket waits.
    std::optional<Instant> nextWake(Instant now);

    /// Returns the number of waiting tickets.
    std::size_t waiting() const;

private:
    struct Entry {
        LoadTicket ticket;
        Instant requestedAt{};
    };
    /// A granted load that has not ended.
    struct InFlight {
        UpstreamId upstream;
        AdapterVersion adapter;
        Instant until{}; ///< Time at which it is assumed lost.
    };

    void refillTokens(Instant now);
    bool hasToken(const Entry &entry, Instant now) const;
    std::size_t capacity() const;
    Duration tokenPeriod() const;
    /// Returns the sort key of a ticket; the highest is granted first.
    double urgency(const Entry &entry, Instant now) const;
    bool isAged(const Entry &entry, Instant now) const;
    std::vector<Entry>::iterator best(Instant now);
    void release(const UpstreamId &upstream, const AdapterVersion &adapter);

    LoadBrokerSettings m_settings;
    std::vector<Entry> m_entries;
    std::deque<Instant> m_used; ///< Time at which each token in use was taken, oldest first.
    std::vector<InFlight> m_inFlight;
    Instant m_blockedUntil{};
    double m_agedCredit = 0; ///< Grants earned by aged tickets, at most 1; one of them costs 1.
};

} // namespace Gypsumtally
