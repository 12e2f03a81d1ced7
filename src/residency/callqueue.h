#pragma once

#include "common/call.h"
#include "common/clock.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Gypsumtally
{

/// Settings of CallQueue.
struct QueueSettings {
    std::size_t maxCalls = 256; ///< Capacity of the queue.
    /// Wait after which a call rises by one class, indexed by its own class. Urgent calls don't age.
    std::array<Duration, 3> ageing{std::chrono::seconds{2}, std::chrono::seconds{5}, std::chrono::seconds{20}};
    double agedFraction = 0.2; ///< Fraction of dispatches granted to aged calls even while urgent calls wait.
    double fairQuantum = 2000; ///< Tokens by which customers may differ before dispatch order corrects it.
};

/// Service received by one customer, in the virtual time of fair queueing.
struct CustomerShare {
    double served = 0; ///< Virtual time in tokens.
    std::uint32_t waiting = 0; ///< Number of waiting calls.
};

/// A queued call and the share of its customer.
struct WaitingCall {
    CallAttributes call;
    CustomerShare *share = nullptr;
};

/// The calls that wait for one adapter, by service class.
struct AdapterQueue {
    std::array<std::deque<WaitingCall>, 3> byClass;
    std::uint32_t size = 0;
};

/// Bounded queue of the calls that wait for one engine, by adapter and service class. Not thread-safe.
class CallQueue
{
public:
    using Adapters = std::unordered_map<AdapterVersion, AdapterQueue>;

    explicit CallQueue(QueueSettings settings);

    /// Applies changed settings; waiting calls stay queued.
    void setSettings(const QueueSettings &settings);

    /// Returns true if the queue is at capacity.
    bool full() const;
    std::size_t size() const;
    const Adapters &adapters() const;

    /// Returns the queue of an adapter, or nullptr if no call waits for it.
    const AdapterQueue *find(const AdapterVersion &adapter) const;

    /// Adds a call. Precondition: call.model is set and no call with this id is waiting.
    void push(const CallAttributes &call);

    /// Removes a call and returns it, or nothing if it is not waiting.
    std::optional<CallAttributes> remove(CallId call);

    /// Removes and returns the newest call of the lowest waiting class, if that class is below @p serviceClass.
    std::optional<CallAttributes> shedBelow(ServiceClass serviceClass);

    /// Removes and returns the calls whose deadline has passed.
    std::vector<CallAttributes> expired(Instant now);

    /// Removes and returns the next call to dispatch among those for adapters that @p dispatchable accepts.
    std::optional<CallAttributes> next(const std::function<bool(const AdapterVersion &)> &dispatchable, Instant now);

    /// Returns the number of waiting calls of @p serviceClass and of higher classes.
    std::size_t ahead(ServiceClass serviceClass) const;

    /// Returns the earliest deadline of the waiting calls, or nothing if none has one.
    std::optional<Instant> nextDeadline() const;

private:
    /// The queue that holds a waiting call.
    struct Position {
        AdapterVersion adapter;
        ServiceClass serviceClass;
    };
    /// Sort key of a waiting call; see precedes().
    struct Rank {
        int level = 0; ///< Service class after ageing; the lowest goes first, -1 ahead of urgent calls.
        double served = 0; ///< The customer's service in units of fairQuantum; the lowest goes first.
        std::uint32_t group = 0; ///< Calls waiting for the same adapter; the largest goes first.
        Instant arrival{};
        CallId call = 0;
        bool aged = false;
    };

    Rank rankOf(const AdapterQueue &queue, const WaitingCall &waiting, Instant now) const;
    static bool precedes(const Rank &first, const Rank &second);
    /// Drops the shares of customers without waiting calls if there are more shares than waiting calls plus
    /// maxIdleShares.
    void pruneShares();

    QueueSettings m_settings;
    Adapters m_adapters;
    std::unordered_map<CallId, Position> m_positions;
    std::set<std::pair<Instant, CallId>> m_deadlines;
    std::unordered_map<CustomerId, CustomerShare> m_shares;
    std::array<std::size_t, 3> m_counts{};
    double m_servedFloor = 0; ///< Virtual time at which a customer that was idle starts.
    double m_agedCredit = 0; ///< Dispatches earned by aged calls, at most 1; one of them costs 1.
};

} // namespace Gypsumtally
