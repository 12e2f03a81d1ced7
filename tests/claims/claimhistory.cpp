#include "claimhistory.h"

#include <algorithm>

namespace Gypsumtally::Testing
{
namespace
{

constexpr std::size_t bookings = 12;
constexpr std::uint64_t usualFingerprint = 1;
constexpr seconds faultSpan{60};
constexpr seconds retryWindow{15}; ///< Time from the first sending in which callers retry a booking.
constexpr seconds maxFreeze{8};
constexpr seconds settleSpan{20};
constexpr milliseconds callerTimeout{1500};
constexpr milliseconds tickInterval{50};

} // namespace

ClaimHistory::ClaimHistory(std::uint64_t seed, const ClaimPolicy &policy)
    : m_policy(policy)
    , m_simulation(seed)
    , m_store(m_simulation)
    , m_calm(m_simulation.now() + faultSpan)
{
    // The claim window covers retries within the retention minus the longest freeze and the maximum delay of a reply.
    m_policy.retention = retryWindow + maxFreeze + seconds{2};
}

std::string ClaimHistory::run()
{
    const auto end = m_calm + settleSpan;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        restart(node);
        keepTicking(node, tickInterval, end);
    }
    planFaults();
    for (std::size_t i = 0; i < bookings; ++i) {
        m_bookings.push_back({"k" + std::to_string(i)});
        m_simulation.after(m_simulation.between(Duration{0}, faultSpan), [this, i] {
            send(i);
            if (m_simulation.chance(0.3))
                send(i);
        });
    }
    m_simulation.run(end);
    checkEnd();
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        keepTicking(node, seconds{1}, end + 4 * m_policy.retention);
    m_simulation.run(end + 4 * m_policy.retention);
    require(m_store.store.values().size() <= 1, "expired claims were left in the store");
    return m_violation;
}

void ClaimHistory::restart(std::size_t node)
{
    auto &restarted = m_nodes[node];
    ++restarted.run;
    restarted.frozenUntil = m_simulation.now();
    restarted.incarnation = Incarnation{std::to_string(++m_incarnations)};
    restarted.keeper = std::make_unique<ClaimKeeper>(restarted.incarnation, m_policy);
}

Instant ClaimHistory::clockOf(const Node &node) const
{
    return m_simulation.now() - node.clockLag;
}

void ClaimHistory::deliver(std::size_t node, const Event &event)
{
    auto &receiver = m_nodes[node];
    if (receiver.frozenUntil > m_simulation.now()) {
        m_simulation.after(receiver.frozenUntil - m_simulation.now(), [this, node, event, run = receiver.run] {
            if (m_nodes[node].run == run)
                deliver(node, event);
        });
        return;
    }
    ClaimActions actions;
    event(receiver, actions);
    perform(node, actions);
}

void ClaimHistory::perform(std::size_t node, const ClaimActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *decision = std::get_if<ClaimDecision>(&action)) {
            onDecision(node, *decision);
            continue;
        }
        const auto &call = std::get<KeyCall>(action);
        m_store.call(call, [this, node, tag = call.tag, run = m_nodes[node].run](const KeyReply &reply) {
            if (m_nodes[node].run != run)
                return;
            deliver(node, [this, tag, reply](Node &receiver, ClaimActions &next) {
                receiver.keeper->onReply(tag, reply, clockOf(receiver), next);
            });
        });
    }
}

void ClaimHistory::keepTicking(std::size_t node, Duration interval, Instant end)
{
    deliver(node, [this](Node &receiver, ClaimActions &actions) { receiver.keeper->tick(clockOf(receiver), actions); });
    if (m_simulation.now() + interval <= end)
        m_simulation.after(interval, [this, node, interval, end] { keepTicking(node, interval, end); });
}

void ClaimHistory::plan(Duration least, Duration most, const std::function<void()> &begin,
                        const std::function<void()> &end)
{
    const auto length = m_simulation.between(least, most);
    const auto start = m_simulation.between(Duration{0}, faultSpan - length);
    m_simulation.after(start, begin);
    m_simulation.after(start + length, end);
}

void ClaimHistory::planFaults()
{
    const auto node = [this] { return m_simulation.below(m_nodes.size()); };
    for (auto faults = m_simulation.below(6); faults > 0; --faults) {
        switch (m_simulation.below(5)) {
        case 0:
            plan(
                milliseconds{200}, seconds{5}, [this] { m_store.isDown = true; }, [this] { m_store.isDown = false; });
            break;
        case 1:
            plan(
                seconds{1}, seconds{20}, [this] { m_store.lossProbability = 0.4; },
                [this] { m_store.lossProbability = 0; });
            break;
        case 2:
            plan(
                seconds{1}, seconds{5}, [this] { m_store.mostDelay = milliseconds{900}; },
                [this] { m_store.mostDelay = milliseconds{4}; });
            break;
        case 3:
            plan(
                Duration{0}, Duration{0},
                [this, victim = node()] {
                    const auto ended = m_nodes[victim].incarnation;
                    restart(victim);
                    for (auto &other : m_nodes)
                        other.keeper->incarnationEnded(ended);
                },
                [] {});
            break;
        default:
            plan(
                Duration{0}, Duration{0}, [this, victim = node()] { freeze(victim); }, [] {});
        }
    }
}

void ClaimHistory::freeze(std::size_t node)
{
    const auto length = m_simulation.between(milliseconds{100}, maxFreeze);
    auto &frozen = m_nodes[node];
    frozen.frozenUntil = m_simulation.now() + length;
    if (m_simulation.chance(0.5))
        frozen.clockLag += length;
    // The other nodes may consider it ended.
    for (auto &other : m_nodes) {
        if (&other != &frozen)
            other.keeper->incarnationEnded(frozen.incarnation);
    }
}

void ClaimHistory::send(std::size_t booking)
{
    auto &sent = m_bookings[booking];
    if (sent.sendings++ == 0)
        sent.firstSent = m_simulation.now();
    const auto node = m_simulation.below(m_nodes.size());
    const auto call = m_attempts.size();
    const auto fingerprint = usualFingerprint + (m_simulation.chance(0.05) ? 1 : 0);
    m_attempts.push_back({booking, node, fingerprint, m_nodes[node].run});
    m_simulation.after(m_simulation.between(milliseconds{1}, milliseconds{4}),
                       [this, node, call, run = m_nodes[node].run] {
                           if (m_nodes[node].run != run)
                               return;
                           deliver(node, [this, call](Node &receiver, ClaimActions &actions) {
                               CallAttributes attributes;
                               attributes.id = call;
                               attributes.service = "shifts";
                               attributes.idempotencyKey = m_bookings[m_attempts[call].booking].key;
                               attributes.fingerprint = m_attempts[call].fingerprint;
                               receiver.keeper->begin(attributes, clockOf(receiver), actions);
                           });
                       });
    m_simulation.after(callerTimeout, [this, call, booking] {
        if (!std::exchange(m_attempts[call].isAnswered, true))
            scheduleRetry(booking, Duration{0});
    });
}

void ClaimHistory::scheduleRetry(std::size_t booking, Duration delay)
{
    m_simulation.after(delay, [this, booking] {
        if (m_simulation.now() <= m_bookings[booking].firstSent + retryWindow)
            send(booking);
    });
}

void ClaimHistory::onDecision(std::size_t node, const ClaimDecision &decision)
{
    auto &attempt = m_attempts[decision.call];
    require(++attempt.decisions == 1, "two decisions for one call");
    const bool wasFrozen = m_nodes[node].frozenUntil > attempt.began;
    const bool isAtOnce = m_simulation.now() - attempt.began <= m_policy.claimTimeout + tickInterval;
    require(isAtOnce || wasFrozen, "a decision was late");
    ++m_outcomes[decision.outcome];
    if (decision.outcome == ClaimOutcome::Granted) {
        // Dispatch is a separate event, so that the node may freeze or crash before it.
        m_simulation.after(m_simulation.between(Duration{0}, milliseconds{2}),
                           [this, node, call = decision.call, run = m_nodes[node].run] {
                               if (m_nodes[node].run == run)
                                   deliver(node, [this, node, call](Node &, ClaimActions &) { dispatch(node, call); });
                           });
        return;
    }
    if (decision.answer) {
        checkReplay(attempt, *decision.answer);
        answer(decision.call, Verdict::Ran, Duration{0});
        return;
    }
    answer(decision.call, decision.failure->verdict, decision.failure->retryAfter.value_or(milliseconds{300}));
}

void ClaimHistory::dispatch(std::size_t node, CallId call)
{
    struct Ending {
        bool runs;
        Verdict verdict;
    };
    constexpr std::array<Ending, 8> endings{{{true, Verdict::Ran},
                                             {true, Verdict::Ran},
                                             {true, Verdict::Ran},
                                             {true, Verdict::Ran},
                                             {false, Verdict::NotRun},
                                             {false, Verdict::NotRun},
                                             {true, Verdict::MayHaveRun},
                                             {false, Verdict::MayHaveRun}}};
    const auto ending = endings[m_simulation.below(endings.size())];
    const StoredAnswer reply{200, "text/plain", "run " + std::to_string(call)};
    m_simulation.after(m_simulation.between(milliseconds{1}, milliseconds{100}), [=, this, run = m_nodes[node].run] {
        const auto &attempt = m_attempts[call];
        if (ending.runs)
            m_effects[m_bookings[attempt.booking].key].push_back({call, attempt.fingerprint, reply});
        if (m_nodes[node].run == run)
            deliver(node, [=, this](Node &, ClaimActions &) { finish(node, call, ending.verdict, reply); });
    });
}

void ClaimHistory::finish(std::size_t node, CallId call, Verdict verdict, const StoredAnswer &reply)
{
    answer(call, verdict, milliseconds{300});
    deliver(node, [=, this](Node &receiver, ClaimActions &actions) {
        receiver.keeper->finish(call, verdict, reply, clockOf(receiver), actions);
    });
}

void ClaimHistory::answer(CallId call, Verdict verdict, Duration retryAfter)
{
    auto &attempt = m_attempts[call];
    auto &booking = m_bookings[attempt.booking];
    attempt.answeredNotRun = verdict == Verdict::NotRun;
    booking.mayHaveRun |= verdict == Verdict::MayHaveRun;
    booking.isSettled |= verdict == Verdict::Ran;
    if (verdict == Verdict::Ran)
        require(m_effects.contains(booking.key), "answered Ran, but the call did not run");
    if (std::exchange(attempt.isAnswered, true))
        return;
    const double settleProbability = verdict == Verdict::NotRun ? 0 : 0.6;
    if (!m_simulation.chance(settleProbability))
        scheduleRetry(attempt.booking, m_simulation.chance(0.5) ? retryAfter : Duration{0} + milliseconds{1});
}

void ClaimHistory::checkReplay(const Attempt &attempt, const StoredAnswer &answer)
{
    const auto &effects = m_effects[m_bookings[attempt.booking].key];
    const auto isSame
        = [&](const Effect &effect) { return effect.answer == answer && effect.fingerprint == attempt.fingerprint; };
    require(std::ranges::any_of(effects, isSame), "replayed an answer that is not the request's own");
}

void ClaimHistory::checkEnd()
{
    for (const auto &[key, effects] : m_effects) {
        require(effects.size() <= 1, key + " ran more than once");
        for (const auto &effect : effects)
            require(!m_attempts[effect.attempt].answeredNotRun, key + " ran, but was answered NotRun");
    }
    for (const auto &attempt : m_attempts) {
        const bool isDecisionDue = m_nodes[attempt.node].run == attempt.run;
        require(attempt.decisions == 1 || !isDecisionDue, "a call got no decision");
    }
    for (const auto &node : m_nodes)
        require(node.keeper->size() == 0, "a node still holds claims after the faults have ended");
    for (const auto &booking : m_bookings) {
        const bool hadTimeAfterFaults = booking.firstSent + retryWindow > m_calm + seconds{5};
        require(!hadTimeAfterFaults || booking.isSettled || booking.mayHaveRun,
                booking.key + " was only answered NotRun");
    }
}

void ClaimHistory::require(bool holds, const std::string &what)
{
    if (!holds && m_violation.empty())
        m_violation = what;
}

} // namespace Gypsumtally::Testing
