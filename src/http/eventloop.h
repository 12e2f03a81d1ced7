#pragma once

#include "common/clock.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace Gypsumtally::Http
{

/// Runs the I/O, timers and signal handlers of one thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs handlers on the calling thread until stop() is called. Precondition: no other thread runs this loop.
    void run();

    /// Makes run() return as soon as the running handler ends. Thread-safe.
    void stop();

    /// Runs @p task on the loop's thread. Thread-safe.
    void post(std::function<void()> task);

    /// Runs @p task on the loop's thread after @p delay. Call only on the loop's thread or before run().
    void runAfter(Duration delay, std::function<void()> task);

    /// Runs @p task once on the loop's thread when the process receives SIGTERM or SIGINT. Call only before run().
    void onTerminate(std::function<void()> task);

    /// Runs @p task on the loop's thread at each SIGHUP, the signal to reload the settings. Call at most once.
    void onHangUp(std::function<void()> task);

    boost::asio::io_context &context();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Gypsumtally::Http
