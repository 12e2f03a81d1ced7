#pragma once

#include "gateway/adapterplacer.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// Probabilities of injected faults: per order, or per engine and step for restarts.
struct EngineFaults {
    double lostAnswers = 0; ///< The order is carried out, but its answer is lost.
    double lateOrders = 0; ///< Not answered; carried out seconds later if the counter still matches.
    double restarts = 0; ///< 0.0002 is one restart in 25 s.
};

/// Demand for adapters.
struct AdapterDemand {
    unsigned adapters = 40; ///< Number of adapters; the default is below the number of slots.
    double requestsPerStep = 0.1; ///< 0.1 is 20 requests per second.
    unsigned spareSlots = 2; ///< Value of PlacerSettings::spareSlots.
};

/// Simulates an AdapterPlacer with engines that behave as in the platform's data sheet, in virtual time: orders carry
/// an expected counter, reports lag, and loads take time. Counts orders that would overfill an engine, and requests
/// that were served or timed out.
class PlacementHistory
{
public:
    PlacementHistory(const EngineFaults &faults, std::uint64_t seed, const AdapterDemand &demand = {});

    void run(Duration time);
    void restartAll();

    /// Sets the fraction of requests, 0 to 1, that ask for the hot adapter.
    void setHotShare(double share)
    {
        m_hotShare = share;
    }

    void declareHotVersion(std::uint64_t version);

    /// Returns the number of loads ordered on engines without a free adapter slot.
    unsigned overfilled() const
    {
        return m_overfilled;
    }

    /// Returns the fraction of requests whose adapter was loaded within two seconds.
    double servedShare() const;

    unsigned heldAdapters() const;
    unsigned hotCopies(std::uint64_t minVersion = 0) const;

private:
    struct Held {
        std::uint64_t version = 1;
        Instant loaded{};
    };

    struct State {
        std::uint64_t orders = 0;
        bool hasModel = false;
        std::map<std::string, Held> adapters;
    };

    struct Engine {
        State state;
        std::int64_t startedAt = 1;
        Instant modelAt{}; ///< End of the base model load; zero if none was ordered.
        std::vector<std::pair<Instant, Gateway::EngineOrder>> lateOrders;
        std::vector<std::pair<Instant, State>> recentStates; ///< Recent states, which lagging reports may show.
    };

    struct Answer {
        Instant at{};
        Gateway::EngineOrder order;
        Gateway::OrderOutcome outcome = Gateway::OrderOutcome::Unknown;
    };

    struct Waiting {
        std::string target;
        Instant since{};
    };

    bool chance(double probability);
    void step();
    void stepEngine(Engine &engine);
    void perform(const Gateway::PlacerActions &actions);
    Gateway::OrderOutcome carryOut(Engine &engine, const Gateway::EngineOrder &order);
    void answerInspection(const std::string &instance);
    void issueRequests();
    bool isHeld(const std::string &target) const;
    void listEngines();

    EngineFaults m_faults;
    AdapterDemand m_demand;
    std::mt19937_64 m_random;
    Gateway::AdapterPlacer m_placer;
    Instant m_now{std::chrono::seconds{100}};
    std::map<std::string, Engine> m_engines;
    std::vector<Answer> m_answers;
    std::vector<std::pair<Instant, std::string>> m_inspections;
    std::vector<Waiting> m_waiting;
    double m_hotShare = 0;
    unsigned m_overfilled = 0;
    unsigned m_served = 0;
    unsigned m_timedOut = 0;
};

} // namespace Gypsumtally::Testing
