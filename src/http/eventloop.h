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

/// The I/O and timers of one duty's thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs handlers on the calling thread until stop(). Precondition: no other thread runs this loop.
    void run();

    /// Makes run() return soon. Thread-safe.
    void stop();

    /// Runs @p task on the loop's thread. Thread-safe.
    void post(std::function<void()> task);

    /// Runs @p task on the loop's thread after @p delay. Loop's thread only, or before run().
    void runAfter(Duration delay, std::function<void()> task);

    /// Runs @p task on the loop's thread when the process gets SIGTERM or SIGINT. Before run() only.
    void onTerminate(std::function<void()> task);

    /// Runs @p task in the loop at each hang-up signal, with which settings are to be read anew. Call at most once.
    void onHangUp(std::function<void()> task);

    boost::asio::io_context &context();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Gypsumtally::Http
