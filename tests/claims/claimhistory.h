#pragma once

#include "claims/claimkeeper.h"
#include "support/simulation.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Gypsumtally::Testing
{

/// Simulation of one seeded history: callers send and retry bookings through three nodes that share a key-value
/// service. Nodes and service fail in turn. Every begin, answer and effect at the upstream is recorded and checked.
class ClaimHistory
{
public:
    ClaimHistory(std::uint64_t seed, const ClaimPolicy &policy);

    /// Runs the history and returns a description of the first violation, or an empty string.
    std::string run();

    /// Returns the number of decisions by outcome.
    const std::map<ClaimOutcome, std::size_t> &outcomes() const
    {
        return m_outcomes;
    }

private:
    struct Node {
        std::unique_ptr<ClaimKeeper> keeper;
        Incarnation incarnation;
        int run = 0; ///< Number of starts.
        Instant frozenUntil{};
        Duration clockLag{}; ///< Lag of the node's clock behind simulated time.
    };

    struct Booking {
        std::string key;
        Instant firstSent{};
        int sendings = 0;
        bool isSettled = false;
        bool mayHaveRun = false; ///< The caller was answered MayHaveRun.
    };

    struct Attempt {
        std::size_t booking;
        std::size_t node;
        std::uint64_t fingerprint;
        int run; ///< The node's `run` when it was sent.
        Instant began{};
        int decisions = 0;
        bool isAnswered = false;
        bool answeredNotRun = false; ///< The caller was answered NotRun.
    };

    /// An execution at the upstream.
    struct Effect {
        CallId attempt;
        std::uint64_t fingerprint;
        StoredAnswer answer;
    };

    using Event = std::function<void(Node &, ClaimActions &)>;

    void restart(std::size_t node);
    void deliver(std::size_t node, const Event &event);
    void perform(std::size_t node, const ClaimActions &actions);
    Instant clockOf(const Node &node) const;
    void keepTicking(std::size_t node, Duration interval, Instant end);

    void planFaults();
    void plan(Duration least, Duration most, const std::function<void()> &begin, const std::function<void()> &end);
    void freeze(std::size_t node);

    void send(std::size_t booking);
    void scheduleRetry(std::size_t booking, Duration delay);
    void onDecision(std::size_t node, const ClaimDecision &decision);
    void dispatch(std::size_t node, CallId call);
    void finish(std::size_t node, CallId call, Verdict verdict, const StoredAnswer &answer);
    void answer(CallId call, Verdict verdict, Duration retryAfter);
    void checkReplay(const Attempt &attempt, const StoredAnswer &answer);
    void checkEnd();
    void require(bool holds, const std::string &what);

    ClaimPolicy m_policy;
    Simulation m_simulation;
    FaultyKeyValue m_store;
    std::array<Node, 3> m_nodes;
    std::vector<Booking> m_bookings;
    std::vector<Attempt> m_attempts;
    std::map<std::string, std::vector<Effect>> m_effects;
    std::map<ClaimOutcome, std::size_t> m_outcomes;
    Instant m_calm; ///< End of the faults.
    int m_incarnations = 0;
    std::string m_violation;
};

} // namespace Gypsumtally::Testing
