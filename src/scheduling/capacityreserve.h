#pragma once

#include "common/clock.h"
#include "common/decayedrate.h"
#include "scheduling/urgency.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gypsumtally::Scheduling
{

/// The demand for each service by urgency, as this node observes it and others report it. Decides which fraction of an
/// engine's slots and of its prompt pace less urgent calls may use while the service is short of capacity, so that
/// urgent ones find room. Not thread-safe; does no I/O.
class CapacityReserve
{
public:
    /// Wait for capacity from which a call is evidence of a shortage. A prompt often waits for less behind another one.
    static constexpr Duration minDelay = std::chrono::milliseconds{100};
    static constexpr Duration reportLifetime = std::chrono::seconds{1}; ///< Validity of a peer's report.
    /// Every class may use this part of the capacity; above the quarter that callers need, as prompts fill it unevenly.
    static constexpr double minShare = 0.35;

    /// Records that a call of this node arrived, with the tokens in its prompt.
    void onArrived(const std::string &service, unsigned urgency, double promptTokens, Instant now);

    /// Records that a call is sent to an upstream for the first time, with the tokens in its prompt and its answer.
    void onStarted(const std::string &service, unsigned urgency, double tokens, Instant now);

    /// Records that a call has waited for capacity for @p waited until @p now, when it was sent or refused.
    void onWaited(const std::string &service, unsigned urgency, Duration waited, Instant now);

    /// Records that a call was refused for want of capacity.
    void onRefused(const std::string &service, unsigned urgency, Instant now);

    /// Replaces the counts of the calls that wait at this node for capacity, for minDelay at least, and drops reports
    /// of other nodes that have expired. To be called several times a second.
    void setWaiting(std::vector<WaitingCount> counts, Instant now);

    /// Replaces the counts that another node last reported, unless those are of a later report of the same process.
    void onPeerWaiting(const std::string &node, std::int64_t startedAt, std::uint64_t sequence,
                       std::vector<WaitingCount> counts, Instant now);

    /// Returns the fraction of the capacity of @p service that a call of @p urgency with @p tokens may use, from
    /// minShare to 1. It is 1 for the most urgent class, and for all while capacity is not short. A large call yields
    /// less, as it would never fit between small ones. @p utilisation returns the requests in flight per slot of the
    /// service; @p nodes is the number of live nodes, this one included.
    template<typename Utilisation>
    double share(const std::string &service, unsigned urgency, double tokens, unsigned nodes, Instant now,
                 Utilisation &&utilisation) const
    {
        const auto demand = demandAbove(service, urgency, nodes, now);
        if (demand.reserve <= negligibleReserve || isStarving(service, urgency, now))
            return 1;
        const double shortage = demand.shortage >= 1 ? 1 : std::max(demand.shortage, shortageAt(utilisation()));
        const double bySize = std::min(1.0, demand.meanTokens / std::max(1.0, tokens));
        return 1 - shortage * std::min(demand.reserve, 1 - minShare) * bySize;
    }

    /// Returns true if calls more urgent than @p urgency are in demand. @p nodes is the number of live nodes, this one
    /// included.
    bool isBelowOthers(const std::string &service, unsigned urgency, unsigned nodes, Instant now) const;

    /// Returns true if calls of @p urgency yield to more urgent ones: such calls are in demand, and the class does not
    /// starve. @p nodes is the number of live nodes, this one included.
    bool yields(const std::string &service, unsigned urgency, unsigned nodes, Instant now) const;

    /// Returns the prompt tokens of the calls of @p urgency that have arrived lately, averaged over their tokens: the
    /// size of the call that a token belongs to on average. 0 if none has arrived.
    double usualPrompt(const std::string &service, unsigned urgency, Instant now) const;

    /// Returns true if calls of several urgencies are in demand.
    bool isShared(const std::string &service, Instant now) const;

    /// Returns true if calls of @p urgency start so much less often than all calls of the service that they may not
    /// yield any more.
    bool isStarving(const std::string &service, unsigned urgency, Instant now) const;

    /// Returns the shortest time until a call of @p urgency may be sent behind @p callsAhead others of this node. Zero
    /// without solid evidence: for the most urgent class in demand, and if the node has sent few calls lately.
    Duration earliestTurn(const std::string &service, unsigned urgency, unsigned callsAhead, unsigned nodes,
                          Instant now) const;

    /// Returns the calls that wait at this node if other nodes should be told with the next report: a class has begun
    /// to wait, or was last told long ago. Returns nothing otherwise.
    std::vector<WaitingCount> takeNews(Instant now);

    /// Returns the calls that wait at this node, to be told now.
    const std::vector<WaitingCount> &tellWaiting(Instant now);

private:
    /// Half-life of what is observed of demand: a few requests at each of many nodes, but short enough to follow a
    /// change of load.
    static constexpr Duration demandHalfLife = std::chrono::seconds{2};
    /// Half-life of the counts for isStarving(), which compares shares of served requests.
    static constexpr Duration servedHalfLife = std::chrono::seconds{4};
    /// Reserve below which a class counts as the most urgent one in demand.
    static constexpr double negligibleReserve = 0.02;
    /// Age of what other nodes were told from which it is repeated, before it expires there.
    static constexpr Duration repeatInterval = reportLifetime / 2;

    /// One urgency class of a service.
    struct UrgencyClass {
        DecayedRate starts{demandHalfLife};
        DecayedRate tokens{demandHalfLife}; ///< Of the calls in @c starts.
        DecayedRate delayed{demandHalfLife}; ///< Calls that have waited for capacity for minDelay.
        DecayedRate arrived{servedHalfLife};
        DecayedRate prompts{servedHalfLife}; ///< Prompt tokens of the calls in @c arrived.
        DecayedRate promptSquares{servedHalfLife}; ///< Sum of their squares.
        DecayedRate served{servedHalfLife};
    };
    using Classes = std::array<UrgencyClass, urgencyCount>;

    struct PeerReport {
        std::int64_t startedAt = 0;
        std::uint64_t sequence = 0;
        Instant receivedAt{};
        std::vector<WaitingCount> counts;
    };

    /// The demand of the classes above another one.
    struct Demand {
        double reserve = 0; ///< Part of the capacity that it needs; 1 or more if it needs all.
        double shortage = 0; ///< 0 if these classes have not waited; 1 if they wait much.
        double meanTokens = 1; ///< Of the calls of these and all less urgent classes that have started lately.
    };

    static double shortageAt(double utilisation);
    Demand demandAbove(const std::string &service, unsigned urgency, unsigned nodes, Instant now) const;
    std::array<double, urgencyCount> waitingCalls(const std::string &service, unsigned nodes) const;
    void countAtPeers(const std::vector<WaitingCount> &counts, double sign);
    void expire(Instant now);

    std::map<std::string, Classes> m_services;
    std::vector<WaitingCount> m_waiting;
    bool m_hasNews = false; ///< A class has begun to wait since the last report.
    Instant m_toldAt{};
    std::map<std::string, PeerReport> m_peers; ///< By node.
    std::map<std::string, std::array<double, urgencyCount>> m_atPeers; ///< Sums of their counts, by service.
};

} // namespace Gypsumtally::Scheduling
