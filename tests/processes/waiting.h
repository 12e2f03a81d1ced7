#pragma once

#include "common/clock.h"

#include <concepts>
#include <stdexcept>
#include <string>
#include <thread>

namespace Gypsumtally::Processes
{

/// Timeout for an expected condition; far longer than any condition takes.
inline constexpr Duration waitTimeout = std::chrono::seconds{60};

/// Polls until @p holds returns true. Returns false if it doesn't before @p deadline has passed.
template<std::predicate Predicate>
bool eventually(Predicate holds, Duration deadline = waitTimeout)
{
    constexpr Duration pause = std::chrono::milliseconds{10};
    const SteadyClock clock;
    const auto end = clock.now() + deadline;
    while (!holds()) {
        if (clock.now() > end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

/// Polls until @p holds returns true. Throws std::runtime_error that names @p what if it doesn't before @p deadline has
/// passed.
template<std::predicate Predicate>
void waitUntil(const std::string &what, Predicate holds, Duration deadline = waitTimeout)
{
    if (!eventually(std::move(holds), deadline))
        throw std::runtime_error("timed out waiting for: " + what);
}

} // namespace Gypsumtally::Processes
