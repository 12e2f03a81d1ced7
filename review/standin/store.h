#pragma once

#include "http/eventloop.h"
#include "relay/callerserver.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally::Review
{

/// A stand-in for the platform's metadata store: items, leases, watches, transactions and eras, in memory. It differs
/// from the one of tests/gatewayfleet in that it can come back from an older copy. Use only on the event loop's thread.
class Store
{
public:
    explicit Store(Http::EventLoop &loop);

    const Http::Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// Writes @p value at @p key, as operators and upstreams do, and returns the revision. After a restore they write
    /// again what the copy lacks. Precondition: the store is not away.
    std::int64_t put(const std::string &key, const std::string &value);

    /// Removes @p key, as upstreams or the platform do. Precondition: the store is not away.
    std::int64_t remove(const std::string &key);

    /// Keeps a copy of the current state.
    void saveCopy();

    /// Closes all connections without an answer, and accepts no call until restore() or comeBack().
    void goAway();

    /// Comes back as it was.
    void comeBack()
    {
        m_isAway = false;
    }

    /// Comes back from the copy, in the next era. Operators and upstreams then write again what the copy lacks.
    void restore();

    std::int64_t revision() const
    {
        return m_state.revision;
    }

    bool isAway() const
    {
        return m_isAway;
    }

    /// Called with each answer to a watch of a prefix, just after it was written.
    std::function<void(const std::string &prefix)> onWatchAnswered;

    /// Called with each watch that has to wait for events.
    std::function<void(const std::string &prefix)> onWatchWaits;

private:
    using Exchange = std::shared_ptr<Relay::CallerExchange>;

    struct Item {
        std::string value; ///< Base64.
        std::int64_t revision = 0;
        std::int64_t createdRevision = 0;
        std::int64_t lease = 0;
    };

    struct Event {
        std::string key;
        boost::json::object row;
        std::int64_t revision = 0;
    };

    struct Lease {
        Duration ttl{};
        Duration left{}; ///< In a copy.
        Instant end{};
    };

    /// What a copy holds.
    struct State {
        std::map<std::string, Item> items;
        std::deque<Event> events;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 1;
    };

    struct Watch {
        Exchange exchange;
        std::string prefix;
        std::int64_t after = 0;
        Instant until{};
    };

    void answer(const Exchange &exchange, unsigned status, const boost::json::object &body = {});
    void serve(const Exchange &exchange);
    void readRange(const Exchange &exchange);
    void startWatch(const Exchange &exchange);
    void transact(const Exchange &exchange);
    void grantLease(const Exchange &exchange);
    void keepLease(const Exchange &exchange, std::int64_t id);
    void endLease(std::int64_t id);
    void write(const std::string &key, const std::string &encoded, std::int64_t lease);
    void erase(const std::string &key);
    void writeExternal();
    bool answerWatch(const Watch &watch);
    void answerWatches(Instant now);
    void sweep();

    Http::EventLoop &m_loop;
    std::unique_ptr<Relay::CallerServer> m_server;
    Http::Endpoint m_endpoint;
    State m_state;
    std::optional<State> m_copy;
    std::map<std::string, std::optional<std::string>> m_external; ///< Last writes of operators and upstreams.
    std::vector<Watch> m_watches;
    std::vector<std::weak_ptr<Relay::CallerExchange>> m_calls; ///< That wait for their answer.
    std::int64_t m_lastLease = 0;
    std::int64_t m_era = 1;
    bool m_isAway = false;
};

} // namespace Gypsumtally::Review
