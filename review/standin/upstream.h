#pragma once

#include "store.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Review
{

/// A request that an upstream has run.
struct Run {
    std::string id;
    std::string instance;
    Instant at{};
    std::string adapter; ///< Empty for a plain service or a base model.
    unsigned version = 0; ///< Of the adapter.
};

/// An order that an upstream has received.
struct Order {
    std::string instance;
    std::string holder;
    std::int64_t fence = 0;
    unsigned status = 0;
    Instant at{};
};

/// What all upstreams have run and been ordered, in the order of arrival.
struct Ledger {
    std::vector<Run> runs;
    std::vector<Order> orders;
    std::map<std::string, unsigned> newest; ///< Versions of adapters in the weight store, where not 1.
    unsigned overfull = 0; ///< Orders to load more than the upstream has places for; a real one crashes.
};

/// A stand-in for a sound upstream, an engine or a worker of a plain service. Use only on the event loop's thread.
class Upstream
{
public:
    Upstream(Http::EventLoop &loop, Store &store, Ledger &ledger, std::string instance, std::string service,
             bool isEngine, std::string software);

    /// Sets the length of the streams that begin from now on.
    void setStream(unsigned events, Duration pause)
    {
        m_events = events;
        m_pause = pause;
    }

    /// Returns where it listens.
    std::string address() const
    {
        return Http::toString(m_endpoint);
    }

    const std::string &instance() const
    {
        return m_instance;
    }

private:
    using Exchange = std::shared_ptr<Relay::CallerExchange>;

    void serve(const Exchange &exchange);
    void answerPlain(const Exchange &exchange, const Http::Headers &headers);
    void answerStream(const Exchange &exchange, Http::Headers headers);
    void sendEvents(const Exchange &exchange, unsigned next);
    void answerReport(const Exchange &exchange);
    void carryOutOrder(const Exchange &exchange);
    unsigned statusOf(const boost::json::object &order);
    bool serves(const Http::Request &request) const;
    unsigned newestVersion(const std::string &adapter) const;
    boost::json::array heldModels() const;
    void publish();
    void heartbeat();

    Http::EventLoop &m_loop;
    Store &m_store;
    Ledger &m_ledger;
    std::string m_instance;
    std::string m_service;
    bool m_isEngine;
    std::string m_software; ///< Version, which its record names.
    std::unique_ptr<Relay::CallerServer> m_server;
    Http::Endpoint m_endpoint;
    std::map<std::string, unsigned> m_adapters; ///< Versions of those that are loaded.
    std::set<std::string> m_coming; ///< That are being loaded.
    std::int64_t m_orders = 0;
    unsigned m_events = 6; ///< Of a stream.
    Duration m_pause = std::chrono::milliseconds{15}; ///< Between the events of a stream.
};

} // namespace Gypsumtally::Review
