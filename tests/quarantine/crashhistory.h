#pragma once

#include "quarantine/quarantine.h"
#include "support/simulation.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// Seeded simulation: three nodes run innocent, popular and crashing requests on twelve engines in three failure
/// domains, while engines, VMs, racks, nodes and the key-value service fail.
class CrashHistory
{
public:
    CrashHistory(std::uint64_t seed, const QuarantinePolicy &policy);

    /// Runs the simulation. Returns the first violated invariant, or an empty string.
    std::string run();

    /// Returns the number of crashes that the crashing request caused.
    unsigned poisonCrashes() const
    {
        return m_poisonCrashes;
    }

    /// Returns the number of innocent requests that were quarantined because the engine's process crashed for an
    /// unrelated reason while it ran them in isolation. Such a crash cannot be distinguished from one that they caused.
    std::size_t falsePositives() const
    {
        return m_falsePositives.size();
    }

    /// Returns the number of key-value writes per engine crash.
    double writesPerCrash() const
    {
        return static_cast<double>(m_store.store.writes()) / std::max(1U, m_crashes);
    }

private:
    struct Node {
        std::unique_ptr<Quarantine> quarantine;
        int run = 0;
    };

    struct Engine {
        bool isUp = true;
        bool isReserved = false; ///< Runs one request in isolation.
        int run = 0;
        std::map<CallId, Fingerprint> running;
    };

    struct Request {
        Fingerprint fingerprint;
        bool isDone = false;
        Instant waitingSince{};
    };

    static std::size_t ownerOf(std::size_t engine);
    static FailureDomainId domainOf(std::size_t engine);

    void restart(std::size_t node);
    void perform(std::size_t node, const std::vector<KeyCall> &calls);
    void keepTicking(std::size_t node);
    void planLoad();
    void planFaults();
    void send(CallId call);
    void scheduleRetry(CallId call, Duration delay);
    std::optional<std::size_t> choose(const Quarantine &entry, Placement placement, bool mayStillWait);
    bool isRunningPoison(std::size_t node) const;
    void dispatch(CallId call, std::size_t engine, std::uint32_t rank);
    void end(CallId call, std::size_t engine);
    void crash(std::size_t engine, CrashCause cause, bool isUnrelated);
    void loseRack();
    void onRefused(CallId call, const Failure &failure);
    void checkEnd();
    void require(bool holds, const std::string &what);

    QuarantinePolicy m_policy;
    Simulation m_simulation;
    FaultyKeyValue m_store;
    std::array<Node, 3> m_nodes;
    std::array<Engine, 12> m_engines;
    std::vector<Request> m_requests;
    std::set<Fingerprint> m_falsePositives;
    /// Requests during whose isolated run the engine's process crashed for an unrelated reason.
    std::set<Fingerprint> m_crashedInIsolation;
    unsigned m_poisonCrashes = 0;
    unsigned m_crashes = 0;
    unsigned m_overlapping = 0; ///< Copies of the crashing request dispatched by a node that was running another.
    unsigned m_faults = 0;
    int m_incarnations = 0;
    Instant m_loadEnd; ///< End of load and faults.
    std::string m_violation; ///< First violated invariant; empty if there is none.
};

} // namespace Gypsumtally::Testing
