#pragma once

#include "common/call.h"
#include "common/decayedrate.h"
#include "common/verdict.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace Gypsumtally
{

/// Settings of Admission.
struct AdmissionSettings {
    std::uint32_t maxOutstanding = 512; ///< Maximum number of calls in flight on this node, over all classes.
    /// Fraction of maxOutstanding up to which calls of a class are admitted: urgent, standard, bulk.
    std::array<double, 3> classFractions{1.0, 0.85, 0.7};
    /// Fraction of maxOutstanding that is reserved for each class, so that none starves.
    std::array<double, 3> reservedFractions{0.1, 0.1, 0.2};
    double fairShareThreshold = 0.5; ///< Fraction of a class's bound in flight from which fair shares are enforced.
    double shareSlack = 1.25; ///< Factor by which a customer may exceed an equal share.
    Duration activeTime = std::chrono::seconds{10}; ///< Time after its last call for which a customer is active.
    Duration minRetryAfter = std::chrono::milliseconds{250};
    Duration maxRetryAfter = std::chrono::seconds{30};
};

/// Admission control of a node: admits or refuses each call without queueing it. Bounds the calls in flight by class,
/// and enforces fair shares among customers under load. Not thread-safe; does no I/O.
class Admission
{
public:
    explicit Admission(AdmissionSettings settings = {});

    /// Admits the call and counts it as in flight, or returns the reason for refusing it: a Failure with verdict NotRun
    /// and a retryAfter.
    std::optional<Failure> admit(const CallAttributes &call, Instant now);

    /// Removes an admitted call from those in flight. Call it once for every admitted call, whatever its outcome.
    /// Ignores unknown calls.
    void finished(CallId call, Instant now);

    /// Sets the maximum number of calls in flight, for example to follow the concurrency of the upstreams.
    void setMaxOutstanding(std::uint32_t calls);

    /// Returns the number of calls in flight.
    std::uint32_t outstanding() const;

    /// Returns the number of calls of @p customer in flight.
    std::uint32_t outstandingOf(const CustomerId &customer) const;

private:
    struct Customer {
        std::uint32_t outstanding = 0;
        Instant lastCall{}; ///< Time of the last call, admitted or not.
    };

    /// A call in flight.
    struct Entry {
        CustomerId customer;
        ServiceClass serviceClass = ServiceClass::Standard;
    };

    double bound(ServiceClass serviceClass) const;
    double reserved(std::size_t index) const;
    double fairShare(ServiceClass serviceClass, Instant now);
    Failure refuse(ErrorCode code, const char *message, double excess, Instant now) const;
    void removeIdle(Instant now);

    AdmissionSettings m_settings;
    std::uint32_t m_outstanding = 0;
    std::unordered_map<CustomerId, Customer> m_customers;
    std::array<std::uint32_t, 3> m_byClass{};
    std::unordered_map<CallId, Entry> m_calls;
    Instant m_lastSweep{};
    DecayedRate m_completions{std::chrono::seconds{5}};
};

} // namespace Gypsumtally
