#pragma once

#include "http/eventloop.h"
#include "relay/callerserver.h"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// A stand-in for the platform's store: items with revisions, leases and watches, in memory. Use only on the event
/// loop's thread.
class StoreStandIn
{
public:
    explicit StoreStandIn(Http::EventLoop &loop);

    const Http::Endpoint &endpoint() const
    {
        return m_endpoint;
    }

    /// Writes @p value at @p key, as operators and upstreams do.
    void put(const std::string &key, const std::string &value);

    /// Removes @p key.
    void remove(const std::string &key);

    /// Makes all calls fail with status 503, or ends that.
    void setDown(bool isDown);

    /// Returns the number of calls so far.
    unsigned calls() const
    {
        return m_calls;
    }

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

    struct Watch {
        Exchange exchange;
        std::string prefix;
        std::int64_t after = 0;
        Instant until{};
    };

    struct Lease {
        Duration ttl{};
        Instant end{};
    };

    void serve(const Exchange &exchange);
    void readRange(const Exchange &exchange);
    void startWatch(const Exchange &exchange);
    void transact(const Exchange &exchange);
    void grantLease(const Exchange &exchange);
    void keepLease(const Exchange &exchange, std::int64_t id);
    void endLease(std::int64_t id);
    void write(const std::string &key, const std::string &encoded, std::int64_t lease);
    void erase(const std::string &key);
    bool answerWatch(const Watch &watch) const;
    void answerWatches(Instant now);
    void sweep();

    Http::EventLoop &m_loop;
    Relay::CallerServer m_server;
    Http::Endpoint m_endpoint;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::vector<Watch> m_watches;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    bool m_isDown = false;
    unsigned m_calls = 0;
};

} // namespace Gypsumtally::GatewayFleet
