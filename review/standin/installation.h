#pragma once

#include "store.h"
#include "upstream.h"

#include "processes/childprocess.h"
#include "processes/reservedport.h"
#include "processes/temporarydirectory.h"
#include "relay/upstreamclient.h"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::Review
{

/// A caller's request and what it got.
struct Call {
    std::string id;
    std::string node;
    std::string path;
    Instant sentAt{};
    Instant answeredAt{}; ///< Not set if there was no answer yet.
    unsigned status = 0; ///< 0 if there was no whole answer.
};

/// What a caller sends.
struct CallForm {
    std::string method = "GET";
    std::string path = "/read/1";
    Duration timeout = std::chrono::milliseconds{1200};
    std::string model; ///< Empty for a plain service.
};

/// A small installation: real gateway processes before stand-ins of the store and the upstreams, with callers. One
/// event loop runs the stand-ins and the callers. What happens is written to a record.
class Installation
{
public:
    explicit Installation(const std::string &recordFile);
    ~Installation();

    /// Adds an upstream of @p service, of the version @p software.
    Upstream &addUpstream(const std::string &instance, const std::string &service, bool isEngine,
                          const std::string &software = "v1");

    /// Starts a gateway in @p zone that calls the store at @p store.
    std::size_t addGateway(const std::string &zone, const Http::Endpoint &store);

    /// Sends SIGTERM to a gateway, and starts it again when it has ended, as the platform does.
    void restartByTerm(std::size_t gateway);

    /// Stops a gateway as a loss of power does, so that its connections hang, and starts it again after @p time.
    void losePower(std::size_t gateway, Duration time);

    /// Declares @p version of @p adapter, as operators do, and returns the revision of the store's ack.
    std::int64_t declareVersion(const std::string &adapter, unsigned version);

    /// Returns when SIGTERM was last sent to @p gateway; not set if it never was.
    Instant stoppedAt(std::size_t gateway) const
    {
        return m_gateways[gateway].stoppedAt;
    }

    /// Returns the address at which @p gateway takes callers' requests.
    Http::Endpoint callersAddress(std::size_t gateway) const
    {
        return m_gateways[gateway].ports[Callers]->endpoint();
    }

    /// Returns the address at which @p gateway tells callers where to connect.
    Http::Endpoint directoryAddress(std::size_t gateway) const
    {
        return m_gateways[gateway].ports[Entries]->endpoint();
    }

    /// Runs the stand-ins and the callers for @p time.
    void run(Duration time);

    /// Runs until @p holds returns true or @p deadline has passed. Returns false in the latter case.
    bool runUntil(const std::function<bool()> &holds, Duration deadline);

    /// Runs until all gateways are ready. Ends the process with status 2 if they don't become ready.
    void waitUntilReady();

    /// Sends a request now.
    void send(std::size_t gateway, const CallForm &form);

    /// Sends requests of the form that @p next returns to @p gateway, one each @p interval, until stopSending().
    void keepSending(std::size_t gateway, Duration interval, std::function<CallForm()> next);

    void stopSending();

    /// Writes a line to the record, with the time.
    void note(const std::string &text);

    /// Writes all calls, runs and orders to the record.
    void writeLedger();

    /// Ends with status 2, as the case could not run.
    [[noreturn]] void giveUp(const std::string &reason);

    std::int64_t millisecondsOf(Instant at) const;

    Http::EventLoop &loop()
    {
        return m_loop;
    }

    Store &store()
    {
        return m_store;
    }

    const Ledger &ledger() const
    {
        return m_ledger;
    }

    const std::vector<Call> &calls() const
    {
        return m_calls;
    }

    const std::string &nameOf(std::size_t gateway) const
    {
        return m_gateways[gateway].name;
    }

    /// Returns the index of the gateway called @p name. Ends with status 2 if there is none.
    std::size_t gatewayOf(const std::string &name);

private:
    enum Port {
        Callers,
        Readiness,
        Entries,
        Peers,
        Metrics,
        PortCount,
    };

    struct Gateway {
        std::string name;
        std::string zone;
        Http::Endpoint store;
        std::vector<std::unique_ptr<Processes::ReservedPort>> ports;
        std::unique_ptr<Processes::ChildProcess> process;
        bool isExpectedToEnd = false;
        Instant stoppedAt{}; ///< When SIGTERM was last sent.
    };

    void start(Gateway &gateway);
    void startWhenEnded(std::size_t gateway);
    void sendAndRepeat(std::size_t gateway, Duration interval, const std::function<CallForm()> &next,
                       unsigned generation);
    Http::Request requestFor(const CallForm &form, const std::string &id) const;
    void sweep();

    Http::EventLoop m_loop;
    std::ofstream m_record;
    Instant m_begin = BootClock{}.now();
    Processes::TemporaryDirectory m_files;
    Store m_store;
    Ledger m_ledger;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<Gateway> m_gateways;
    Relay::UpstreamClient m_client;
    std::vector<Call> m_calls;
    unsigned m_generation = 0; ///< Ends earlier senders.
};

/// Returns true unless the environment has TROUBLE=0.
bool hasTrouble();

} // namespace Gypsumtally::Review
