#pragma once

#include "ownership/enginereport.h"
#include "ownership/history.h"
#include "ownership/ownershipaction.h"
#include "ownership/simulation.h"

#include <map>
#include <set>

namespace Gypsumtally::Testing
{

/// Fake engine that carries out every eviction order without checks of its own.
class EngineFake
{
public:
    static constexpr Duration loadTime = std::chrono::milliseconds(250);
    static constexpr Duration maxReportAge = std::chrono::milliseconds(100); ///< Maximum age of a report.

    EngineFake(Simulation &simulation, History &history, std::size_t slots, bool checksToken);

    /// Starts a new engine process with empty slots; ends the requests of the old one.
    void restart();

    /// Executes an order; calls @p done with its outcome.
    void order(const SendOrder &order, const std::string &sender, std::function<void(SendOutcome)> done);

    /// Executes a request that runs for @p duration; calls @p done with its outcome.
    void request(const std::string &id, const AdapterVersion &adapter, Duration duration,
                 std::function<void(SendOutcome)> done);

    /// Returns a report that is at most maxReportAge old.
    const EngineReport &report() const;

    const std::string &incarnation() const;

private:
    void takeSnapshot();
    void endRequest(const std::string &id);

    Simulation &m_simulation;
    History &m_history;
    std::size_t m_slots;
    bool m_checksToken;
    Epoch m_token = 0;
    std::uint64_t m_starts = 0;
    std::string m_incarnation;
    std::set<AdapterVersion> m_loaded;
    std::set<AdapterVersion> m_loading;
    std::map<std::string, AdapterVersion> m_running;
    EngineReport m_snapshot;
};

} // namespace Gypsumtally::Testing
