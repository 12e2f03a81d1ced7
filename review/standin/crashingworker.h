#pragma once

#include "store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::Review
{

/// What all workers of a service have begun to run, and when they crashed.
struct WorkerLedger {
    struct Run {
        std::string id;
        std::string instance;
        std::string path;
        Instant at{};
    };

    struct Crash {
        std::string instance;
        Instant at{};
    };

    std::vector<Run> runs;
    std::vector<Crash> crashes;
};

/// A stand-in for a sound worker of a plain service, which certain requests crash. A crash resets its channels and
/// closes its port; it starts again under a new id. Use only on the event loop's thread.
class CrashingWorker
{
public:
    /// @p crashingPath is the path of the requests that crash the worker soon after it has begun to run them.
    CrashingWorker(Http::EventLoop &loop, Store &store, WorkerLedger &ledger, std::string name, std::string service,
                   std::string crashingPath);
    ~CrashingWorker();

private:
    struct Channel;

    void start();
    void publish();
    void heartbeat();
    void accept();
    void read(const std::shared_ptr<Channel> &channel);
    void serve(const std::shared_ptr<Channel> &channel, const Http::Request &request);
    void reply(const std::shared_ptr<Channel> &channel, const std::string &status, const std::string &id);
    void crash();
    /// Calls @p task after @p delay unless the worker has crashed meanwhile.
    void runAfter(Duration delay, std::function<void()> task);

    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Gypsumtally::Review
