#pragma once

#include "http/eventloop.h"
#include "processes/untrustedcallers.h"

#include <cstdint>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace Gypsumtally::Processes
{

/// Sends crowds of untrusted callers to listeners of daemons, drawn by seed, on a thread of its own until it is
/// destroyed. Not thread-safe.
class CrowdThread
{
public:
    /// Precondition: @p listeners is not empty.
    CrowdThread(std::vector<Http::Endpoint> listeners, std::uint64_t seed);
    ~CrowdThread();
    CrowdThread(const CrowdThread &) = delete;
    CrowdThread &operator=(const CrowdThread &) = delete;

private:
    void sendNext();

    const std::vector<Http::Endpoint> m_listeners;
    std::mt19937_64 m_random;
    unsigned m_count = 0; ///< Crowds so far.
    Http::EventLoop m_loop;
    std::vector<std::unique_ptr<UntrustedCallers>> m_crowds; ///< The oldest ones leave first.
    std::jthread m_thread;
};

} // namespace Gypsumtally::Processes
