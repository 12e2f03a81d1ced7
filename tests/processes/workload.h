#pragma once

#include "http/client.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Gypsumtally::Processes
{

/// A model call as sent by a caller. The prompt is unique, so that each journal event of an engine identifies its call.
struct ModelCall {
    std::string model;
    std::string prompt;
    std::size_t tokens = 8;
    bool streamed = false;
};

/// A non-idempotent call of a service.
struct Booking {
    std::string path;
    std::string key;
};

/// The result of a call as received by its caller.
struct CallResult {
    ModelCall model; ///< The prompt is empty if the call is a booking.
    Booking booking;
    std::size_t entry = 0; ///< Index of the entry address to which the call was sent.
    unsigned status = 0; ///< HTTP status; 0 if no complete response arrived.
    std::string verdict;
    std::string code; ///< Error code, if there was an error.
    std::string text; ///< Text of the answer; the concatenated tokens of a stream.
    bool isComplete = false; ///< The response has status 200 and is complete: a stream ended with `[DONE]`.
    bool sent = true; ///< False if certainly no byte of the request was sent.
    std::string reason; ///< Transport error if there was no response.
};

CallResult send(const Http::Endpoint &entry, const ModelCall &call);
CallResult send(const Http::Endpoint &entry, const Booking &call);

/// The results of all calls, in order of completion. Thread-safe.
class Results
{
public:
    void add(CallResult result);
    std::vector<CallResult> all() const;

    /// Returns the number of calls that received a complete answer.
    std::size_t completeCount() const
    {
        return m_completeCount;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<CallResult> m_results;
    std::atomic<std::size_t> m_completeCount = 0;
};

struct WorkloadOptions {
    std::uint64_t seed = 1;
    std::size_t callers = 9;
    std::size_t adapters = 6;
    std::size_t tokens = 8;
    double bookings = 0.2; ///< Fraction of calls that are bookings; each may be retried once at another entry.
};

/// Callers that send model calls and bookings, each on its own thread, until stop(). A caller that receives no complete
/// answer to a booking retries it once with the same idempotency key at another entry.
class Workload
{
public:
    Workload(std::vector<Http::Endpoint> entries, WorkloadOptions options, Results &results);
    ~Workload();
    Workload(const Workload &) = delete;
    Workload &operator=(const Workload &) = delete;

    /// Stops the callers after their current calls.
    void stop();

    /// Waits until @p more further calls have received a complete answer. Throws std::runtime_error on a timeout.
    void awaitCompleteAnswers(std::size_t more) const;

    /// Excludes an entry from further calls, as callers do after receiving an entry list without it.
    void excludeEntry(std::size_t entry);

private:
    void call(std::size_t caller);
    std::size_t chooseEntry(std::uint64_t random) const;

    std::vector<Http::Endpoint> m_entries;
    WorkloadOptions m_options;
    Results &m_results;
    std::vector<std::atomic<bool>> m_excluded;
    std::atomic<bool> m_stopped = false;
    std::vector<std::jthread> m_threads;
};

} // namespace Gypsumtally::Processes
