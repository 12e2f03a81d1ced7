#pragma once

#include "gatewayfleet/adapterversions.h"
#include "gatewayfleet/crashingparts.h"
#include "gatewayfleet/pathproxy.h"
#include "gatewayfleet/requestlimitcheck.h"
#include "gatewayfleet/storestandin.h"
#include "http/eventloop.h"
#include "relay/callerserver.h"

#include <boost/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

constexpr unsigned slots = 16; ///< Of each upstream.

/// The behaviour of an UpstreamStandIn. It can change at any time.
struct UpstreamBehaviour {
    Duration answerTime = std::chrono::milliseconds{15}; ///< Of a plain request, and of each event of a stream.
    std::size_t answerBytes = 0; ///< By which the answers to plain requests are longer.
    double longRatio = 0; ///< Of streams and of requests for long work that last several seconds.
    double failureRatio = 0; ///< Of plain requests that are answered with status 500.
    double breakRatio = 0; ///< Of streams that are cut off after their second event.
    std::string software = "v1"; ///< Version of its software, from its next start on.
    bool keepsInstance = false; ///< Starts again under the same instance after a crash.
    /// The brittleness that it states: it falls over if it refuses more requests in a second for want of room.
    std::optional<unsigned> refusalsBorne;
    unsigned waitingRoom = slots; ///< Requests that may wait for a slot.
    std::string organisation; ///< That requests must name; empty: none.
    std::optional<double> limit; ///< The request limit that it states in its answers, in requests per second.
};

/// A stand-in for an engine or a worker of a plain service: publishes its record in the store, answers requests,
/// inspections and orders, and records what it gets. Use only on the event loop's thread.
class UpstreamStandIn
{
public:
    UpstreamStandIn(Http::EventLoop &loop, StoreStandIn &store, const std::string &instance, const std::string &service,
                    bool isEngine, unsigned seed, CrashingParts &crashingParts, AdapterVersions &versions,
                    const Paths &paths);

    /// Crashes: breaks its connections, refuses new ones, and starts again after @p downTime as another process, which
    /// holds no adapters.
    void crash(Duration downTime);

    /// Sends nothing for @p time and then goes on.
    void silence(Duration time);

    /// Announces that it leaves, serves on for @p time, and then ends for good.
    void retire(Duration time);

    /// Changes the request limit that it states; nothing ends it.
    void setLimit(std::optional<double> limit);

    /// Returns how often it has begun to run each request, by id.
    const std::map<std::string, unsigned> &runs() const
    {
        return m_runs;
    }

    /// Returns the violations of the request limits that its processes have stated.
    std::vector<std::string> limitViolations() const;

    /// Writes what its processes have seen of request limits to @p stream; see RequestLimitRecord::write().
    void writeLimits(std::ostream &stream, Duration logOffset) const;

    const std::string &name() const
    {
        return m_name;
    }

    /// Returns how often it has fallen over because it had to refuse too many requests.
    unsigned falls() const
    {
        return m_falls;
    }

    /// Returns true if it accepts new requests.
    bool serves() const
    {
        return m_server && !m_isDraining;
    }

    /// Returns the version of its software.
    const std::string &software() const
    {
        return m_software;
    }

    /// Returns when it has last crashed or broken off a stream.
    Instant lastBreak() const
    {
        return m_lastBreak;
    }

    /// Returns the requests that stated a key, or another organisation than they must.
    const std::vector<std::string> &identityViolations() const
    {
        return m_identityViolations;
    }

    UpstreamBehaviour behaviour;
    RequestLimitRecord limits; ///< Of the current process.

private:
    using Exchange = std::shared_ptr<Relay::CallerExchange>;

    void startProcess();
    void endProcess();
    void onAnswerPassed(const std::string &address, std::string_view bytes);
    void sendHeartbeats();
    void sweepPaths();
    bool crashAt(const Exchange &exchange);
    void refuseFull(const Exchange &exchange);
    void serve(const Exchange &exchange);
    void checkIdentity(const Http::Request &request);
    void answerPlain(const Exchange &exchange);
    void answerStream(const Exchange &exchange);
    void sendEvents(const Exchange &exchange, unsigned next, unsigned end, bool isComplete, Duration pause);
    boost::json::array heldModels() const;
    bool serves(const Http::Request &request) const;
    void answerReport(const Exchange &exchange);
    void carryOutOrder(const Exchange &exchange);
    Http::Headers headersFor(const Http::Request &request) const;
    bool chance(double ratio);
    void publish();

    Http::EventLoop &m_loop;
    StoreStandIn &m_store;
    std::string m_name;
    std::string m_instance; ///< Of the current process.
    std::string m_service;
    bool m_isEngine;
    CrashingParts &m_crashingParts;
    AdapterVersions &m_versions;
    const Paths &m_paths;
    std::string m_software; ///< Of the current process.
    bool m_isDraining = false;
    unsigned m_processes = 0; ///< Number of processes started.
    std::unique_ptr<Relay::CallerServer> m_server; ///< Null while it is down.
    std::unique_ptr<PathProxy> m_proxy; ///< Null while it is down.
    std::vector<std::weak_ptr<Relay::CallerExchange>> m_exchanges; ///< Requests of the current process.
    Http::Endpoint m_endpoint;
    std::mt19937_64 m_random;
    std::map<std::string, unsigned> m_runs;
    std::vector<RequestLimitRecord> m_pastLimits; ///< Of earlier processes.
    std::map<std::string, unsigned> m_adapters; ///< Version of each adapter that it holds.
    std::int64_t m_orders = 1;
    Instant m_lastBreak{};
    std::deque<Instant> m_refusals; ///< For want of room, in the last second.
    unsigned m_falls = 0;
    std::vector<std::string> m_identityViolations;
};

} // namespace Gypsumtally::GatewayFleet
