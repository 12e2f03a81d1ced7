#include "gateway/crashledger.h"

#include "support/table.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Instant start{std::chrono::hours{1}};
constexpr Duration settled = seconds{1}; ///< Longer than a decision takes to settle.

CrashCause request(std::uint64_t id)
{
    return {CauseKind::Request, id};
}

CrashCause part(std::uint64_t id)
{
    return {CauseKind::PromptPart, id};
}

/// A crash of one engine, as one node reports it, or a success.
struct Step {
    int atMs;
    const char *engine; ///< Null for a success.
    std::vector<CrashSuspect> requests;
};

struct EvidenceCase {
    const char *name;
    std::vector<Step> steps;
    std::vector<CrashCause> blocked;
};

constexpr std::uint64_t first = 0xaa; ///< Part of all prompts.
constexpr std::uint64_t bad = 0xbad;
constexpr std::uint64_t worse = 0xbadd;

const EvidenceCase evidence[] = {
    {"nothing", {}, {}},
    {"one crash", {{0, "a", {{1, {bad}}}}}, {}},
    {"two crashes", {{0, "a", {{1, {bad}}}}, {1000, "b", {{2, {bad}}}}}, {}},
    {"one crash that many nodes report",
     {{0, "a", {{1, {bad}}}}, {10, "a", {{2, {bad}}}}, {1000, "a", {{3, {bad}}}}, {1010, "a", {{4, {bad}}}}},
     {}},
    {"three crashes at different times",
     {{0, "a", {{1, {bad}}}}, {1000, "b", {{2, {bad}}}}, {2000, "c", {{3, {bad}}}}},
     {part(bad)}},
    {"four crashes at once, of another cause",
     {{0, "a", {{1, {bad}}}}, {10, "b", {{2, {bad}}}}, {20, "c", {{3, {bad}}}}, {30, "d", {{4, {bad}}}}},
     {}},
    {"five crashes at once",
     {{0, "a", {{1, {bad}}}},
      {10, "b", {{2, {bad}}}},
      {20, "c", {{3, {bad}}}},
      {30, "d", {{4, {bad}}}},
      {40, "e", {{5, {bad}}}}},
     {part(bad)}},
    {"one request that is sent again",
     {{0, "a", {{1, {bad}}}}, {1000, "b", {{1, {bad}}}}, {2000, "c", {{1, {bad}}}}},
     {request(1)}},
    {"a request without parts", {{0, "a", {{1, {}}}}, {1000, "b", {{1, {}}}}, {2000, "c", {{1, {}}}}}, {request(1)}},
    {"a part and a request that was sent again with it",
     {{0, "a", {{1, {bad}}}}, {1000, "b", {{1, {bad}}}}, {2000, "c", {{1, {bad}}}}, {3500, "d", {{2, {bad}}}}},
     {request(1), part(bad)}},
    {"a part served before each crash",
     {{0, nullptr, {{9, {first}}}},
      {10, "a", {{1, {first}}}},
      {990, nullptr, {{9, {first}}}},
      {1000, "b", {{2, {first}}}},
      {1990, nullptr, {{9, {first}}}},
      {2000, "c", {{3, {first}}}}},
     {}},
    {"a part served after the crashes",
     {{0, "a", {{1, {first}}}},
      {1000, "b", {{2, {first}}}},
      {2000, "c", {{3, {first}}}},
      {2100, nullptr, {{9, {first}}}}},
     {}},
    {"a part that once was served and crashes upstreams now",
     {{0, nullptr, {{9, {bad}}}},
      {5000, "a", {{1, {bad}}}},
      {6000, "b", {{2, {bad}}}},
      {7000, "c", {{3, {bad}}}},
      {8000, "d", {{4, {bad}}}},
      {9000, "e", {{5, {bad}}}}},
     {part(bad)}},
    {"a part that was served a while before",
     {{0, nullptr, {{9, {bad}}}}, {5000, "a", {{1, {bad}}}}, {6000, "b", {{2, {bad}}}}, {7000, "c", {{3, {bad}}}}},
     {}},
    {"others that were running at the crashes",
     {{0, "a", {{1, {first, 0x50, bad}}, {2, {first, 0x51}}}},
      {1000, "b", {{3, {first, 0x51, bad}}, {4, {first, 0x50}}}},
      {1500, nullptr, {{9, {first, 0x52}}}},
      {2000, "c", {{5, {first, 0x52, bad}}, {6, {first, 0x50}}}}},
     {part(bad)}},
    {"others at all crashes but one",
     {{0, "a", {{1, {bad}}, {11, {0x50}}}},
      {1000, "b", {{2, {bad}}, {12, {0x50}}}},
      {2000, "c", {{3, {bad}}, {13, {0x50}}}},
      {2200, "d", {{4, {bad}}}}},
     {part(bad)}},
    {"others that another node reports, after the verdict too",
     {{0, "a", {{1, {bad}}}},
      {1000, "b", {{2, {bad}}}},
      {2000, "c", {{3, {bad}}}},
      {2500, "a", {{11, {0x50}}}},
      {2600, "b", {{12, {0x50}}}},
      {3500, "d", {{4, {bad}}, {13, {0x50}}}},
      {3600, "d", {{14, {0x50}}}},
      {3900, "e", {{15, {0x50}}}}},
     {part(bad)}},
    {"the last of two parts that are always together",
     {{0, "a", {{1, {0x50, bad}}}}, {1000, "b", {{2, {0x50, bad}}}}, {2000, "c", {{3, {0x50, bad}}}}},
     {part(bad)}},
    {"two parts at once",
     {{0, "a", {{1, {bad}}}},
      {300, "b", {{2, {worse}}}},
      {1000, "c", {{3, {bad}}}},
      {1300, "d", {{4, {worse}}}},
      {2000, "e", {{5, {bad}}}},
      {2300, "f", {{6, {worse}}}}},
     {part(bad), part(worse)}},
    {"crashes that are too old", {{0, "a", {{1, {bad}}}}, {1000, "b", {{2, {bad}}}}, {660000, "c", {{3, {bad}}}}}, {}},
};

/// Applies the steps to a ledger that decides every 50 ms, as a node does.
void play(CrashLedger &ledger, const std::vector<Step> &steps)
{
    Instant now = start;
    for (const auto &step : steps) {
        for (; now < start + milliseconds{step.atMs}; now += milliseconds{50})
            ledger.decide(now, 0);
        const auto at = start + milliseconds{step.atMs};
        if (step.engine) {
            ledger.add({{step.engine, 7}, step.requests}, at);
            continue;
        }
        for (const auto &each : step.requests) {
            std::vector<CrashCause> causes{request(each.fingerprint)};
            for (const auto id : each.parts)
                causes.push_back(part(id));
            ledger.onSuccess(causes, at - milliseconds{400}, at);
        }
    }
    for (const auto end = now + settled; now < end; now += milliseconds{50})
        ledger.decide(now, 0);
}

struct TextCase {
    const char *text;
    std::optional<CrashCause> cause;
};

const TextCase texts[] = {
    {"prompt-part/5c1e07a2", part(0x5c1e07a2)},
    {"request/ffffffffffffffff", request(0xffffffffffffffff)},
    {"prompt-part/", {}},
    {"prompt-part/xyz", {}},
    {"prompt-part/5c1e07a2 ", {}},
    {"other/1", {}},
    {"1", {}},
    {"", {}},
};

/// Several ledgers that hear of each other after a delay, with losses; digests repeat crash reports.
class LedgerFleet
{
public:
    LedgerFleet(std::size_t nodes, unsigned seed, double loss)
        : m_random(seed)
        , m_loss(loss)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            m_nodes.emplace_back("n" + std::to_string(i));
    }

    void crash(std::size_t node, const CrashReport &report)
    {
        m_nodes[node].addOwn(report, m_now);
        send(node, [this, report](std::size_t to, Instant now) { m_nodes[to].add(report, now); });
    }

    void succeed(std::size_t node, const std::vector<CrashCause> &causes)
    {
        const auto [acquittals, lifted] = m_nodes[node].onSuccess(causes, m_now - milliseconds{500}, m_now);
        tell(node, acquittals);
        for (const auto &cause : lifted)
            tellLifted(node, cause);
    }

    void step()
    {
        m_now += milliseconds{10};
        const auto later = std::partition(m_messages.begin(), m_messages.end(),
                                          [&](const Message &message) { return message.at > m_now; });
        const std::vector<Message> due(later, m_messages.end());
        m_messages.erase(later, m_messages.end());
        for (const auto &message : due)
            message.apply(message.to, m_now);
        ++m_steps;
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            if ((m_steps + node) % 5 == 0)
                tick(node);
            if ((m_steps + node) % 30 == 0) {
                for (const auto &report : m_nodes[node].recent(m_now, seconds{2}))
                    send(node, [this, report](std::size_t to, Instant now) { m_nodes[to].add(report, now); });
                tellVerdicts(node);
            }
        }
    }

    /// Returns true if the node does not send a request with @p causes now.
    bool isHeldAt(std::size_t number, const std::vector<CrashCause> &causes) const
    {
        return m_nodes[number].verdictOn(causes) || m_nodes[number].isUndecided(causes, m_now);
    }

    CrashLedger &node(std::size_t number)
    {
        return m_nodes[number];
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    std::size_t draw(std::size_t limit)
    {
        return m_random() % limit;
    }

private:
    struct Message {
        std::size_t to;
        Instant at;
        std::function<void(std::size_t, Instant)> apply;
    };

    void send(std::size_t from, const std::function<void(std::size_t, Instant)> &apply, Duration delay = {})
    {
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (to != from && std::uniform_real_distribution<>{}(m_random) >= m_loss)
                m_messages.push_back({to, m_now + delay + milliseconds{5 + draw(60)}, apply});
        }
    }

    void tell(std::size_t from, const std::vector<CauseAcquittal> &acquittals)
    {
        for (const auto &each : acquittals)
            send(from, [this, each](std::size_t to, Instant now) {
                if (m_nodes[to].onAcquittal(each, now))
                    tellLifted(to, each.cause);
            });
    }

    /// Tells all other nodes, and again in the next digests.
    void tellLifted(std::size_t from, const CrashCause &cause)
    {
        for (int digest = 0; digest < 6; ++digest)
            send(
                from, [this, cause](std::size_t to, Instant now) { m_nodes[to].lift(cause, now); },
                digest * milliseconds{300});
    }

    void tick(std::size_t node)
    {
        tell(node, m_nodes[node].takeContested(m_now));
        const auto [proposals, verdicts] = m_nodes[node].decide(m_now, 0);
        for (const auto &cause : proposals)
            send(node, [this, cause](std::size_t to, Instant now) { m_nodes[to].onProposal(cause, now); });
        if (!verdicts.empty())
            tellVerdicts(node);
    }

    /// Sends the verdicts that a node has decided, as the store has them only later.
    void tellVerdicts(std::size_t node)
    {
        for (const auto &item : m_nodes[node].verdicts()) {
            const auto &verdict = item.second;
            if (verdict.node != "n" + std::to_string(node))
                continue;
            send(node, [this, verdict](std::size_t to, Instant now) { m_nodes[to].onPeerVerdict(verdict, now); });
        }
    }

    std::mt19937_64 m_random;
    double m_loss;
    std::vector<CrashLedger> m_nodes;
    std::vector<Message> m_messages;
    Instant m_now = start;
    std::uint64_t m_steps = 0;
};

struct FleetCase {
    const char *name;
    std::size_t nodes;
    std::size_t guilty; ///< Number of prompt parts that crash engines.
    int crashEveryMs; ///< By a request with such a part.
    int ordinaryCrashEveryMs; ///< Of two engines at once, by something else; 0 for none.
    double loss; ///< Of messages.
};

const FleetCase fleets[] = {
    {"one part", 9, 1, 700, 0, 0.01},
    {"one part, few requests", 9, 1, 5000, 0, 0.01},
    {"two parts", 9, 2, 400, 0, 0.01},
    {"one part beside ordinary crashes", 9, 1, 700, 900, 0.01},
    {"ordinary crashes only", 9, 0, 700, 500, 0.01},
    {"one part, many lost messages", 9, 1, 700, 900, 0.2},
    {"one part in a large fleet", 100, 1, 700, 1500, 0.01},
};

constexpr unsigned seedsOfFleet = 20;
constexpr int crashTimeMs = 40000;
constexpr int calmMs = 2000; ///< Time in which a node hears that it has blocked a sound part for want of a message.
constexpr std::size_t subjects = 30; ///< Second parts of prompts.
/// Crashes by one part until it is blocked everywhere: the target names five.
constexpr std::size_t mostCrashes = 5;

std::vector<CrashCause> causesOf(const CrashSuspect &suspect)
{
    std::vector<CrashCause> causes{request(suspect.fingerprint)};
    for (const auto id : suspect.parts)
        causes.push_back(part(id));
    return causes;
}

} // namespace

TABLE_TEST(CrashLedger, blocksWhatExplainsTheCrashes, evidence)
{
    CrashLedger ledger("n");
    play(ledger, row.steps);
    std::vector<CrashCause> blocked;
    for (const auto &[cause, verdict] : ledger.verdicts())
        blocked.push_back(cause);
    auto expected = row.blocked;
    std::ranges::sort(expected);
    cr_assert(blocked == expected, "%s: %zu causes are blocked, the first: %s", row.name, blocked.size(),
              blocked.empty() ? "none" : toText(blocked.front()).c_str());
}

TABLE_TEST(CrashLedger, parsesCauses, texts)
{
    cr_assert(parseCrashCause(row.text) == row.cause, "%s", row.text);
    if (row.cause)
        cr_assert_eq(toText(*row.cause), std::string(row.text));
}

TABLE_TEST(CrashLedger, allNodesFindThePartsAndNothingElse, fleets)
{
    for (unsigned seed = 1; seed <= seedsOfFleet; ++seed) {
        LedgerFleet fleet(row.nodes, seed, row.loss);
        std::uint64_t lastRequest = 0;
        std::uint64_t engine = 0;
        std::vector<std::size_t> crashes(row.guilty);
        const auto drawSound = [&] { return CrashSuspect{++lastRequest, {first, 0x50 + fleet.draw(subjects)}}; };
        /// A crash takes a few sound requests with it, each reported by the node that had sent it.
        const auto crash = [&](const std::optional<CrashSuspect> &culprit) {
            const UpstreamProcess process{"e" + std::to_string(++engine), 1};
            if (culprit)
                fleet.crash(fleet.draw(fleet.size()), {process, {*culprit}});
            for (std::size_t i = 0; i < 4; ++i)
                fleet.crash(fleet.draw(fleet.size()), {process, {drawSound()}});
        };
        for (int ms = 0; ms < crashTimeMs + calmMs; ms += 10) {
            fleet.step();
            if (ms % 30 == 0)
                fleet.succeed(fleet.draw(fleet.size()), causesOf(drawSound()));
            if (ms >= crashTimeMs)
                continue;
            if (row.ordinaryCrashEveryMs > 0 && ms % row.ordinaryCrashEveryMs == 0) {
                crash({});
                crash({});
            }
            if (row.guilty == 0 || ms % row.crashEveryMs != 0)
                continue;
            const auto which = fleet.draw(row.guilty);
            auto culprit = drawSound();
            culprit.parts.push_back(bad + which);
            const auto sender = fleet.draw(fleet.size());
            if (fleet.isHeldAt(sender, causesOf(culprit)))
                continue;
            ++crashes[which];
            crash(culprit);
        }
        for (std::size_t number = 0; number < fleet.size(); ++number) {
            for (const auto &[cause, verdict] : fleet.node(number).verdicts())
                cr_expect(cause.kind == CauseKind::PromptPart && cause.id >= bad && cause.id < bad + row.guilty,
                          "%s, seed %u: %s is blocked", row.name, seed, toText(cause).c_str());
        }
        for (std::size_t which = 0; which < row.guilty; ++which)
            cr_expect_leq(crashes[which], mostCrashes, "%s, seed %u: %zu crashes", row.name, seed, crashes[which]);
    }
}

Test(CrashLedger, aSuccessLiftsAVerdictUnlessItsRequestWasSentBefore)
{
    CrashLedger ledger("n");
    play(ledger, evidence[4].steps);
    cr_assert(ledger.verdictOn({part(bad)}) != nullptr);
    cr_assert(ledger.onSuccess({part(bad)}, start - seconds{1}, start + seconds{5}).lifted.empty());
    cr_assert(ledger.verdictOn({part(bad)}) != nullptr);
    const auto lifted = ledger.onSuccess({part(bad)}, start + seconds{4}, start + seconds{5}).lifted;
    cr_assert_eq(lifted.size(), 1U);
    cr_assert_null(ledger.verdictOn({part(bad)}));
}

Test(CrashLedger, requestsWaitWhileAVerdictIsUndecided)
{
    CrashLedger ledger("n");
    for (int i = 0; i < 3; ++i)
        ledger.add({{"e" + std::to_string(i), 7}, {{static_cast<std::uint64_t>(i), {bad}}}}, start + seconds{i});
    const auto now = start + seconds{2};
    cr_assert(ledger.isUndecided({part(bad)}, now));
    cr_assert_not(ledger.isUndecided({part(first)}, now));
    cr_assert_not(ledger.isUndecided({part(bad)}, now + seconds{2}));
}

Test(CrashLedger, recentReturnsOwnReportsOnly)
{
    CrashLedger ledger;
    const auto age = seconds{2};
    ledger.addOwn({{"a", 7}, {{5, {}}}}, start);
    ledger.add({{"b", 7}, {{6, {}}}}, start);
    const auto told = ledger.recent(start + seconds{1}, age);
    cr_assert_eq(told.size(), 1U);
    cr_assert_eq(told.front().suspects.front().fingerprint, 5U);
    cr_assert(ledger.recent(start + seconds{5}, age).empty());
}

// Guards against nodes that keep repeating each other's reports: two nodes once treated each report that they exchanged
// as new forever, which saturated their links.
Test(CrashLedger, reportsDoNotCirculateForever)
{
    CrashLedger one;
    CrashLedger two;
    Instant now = start;
    const auto age = seconds{2};
    one.addOwn({{"a", 7}, {{5, {}}}}, now);
    for (int digest = 0; digest < 40; ++digest) {
        for (const auto &report : one.recent(now, age))
            two.add(report, now);
        for (const auto &report : two.recent(now, age))
            one.add(report, now);
        now += milliseconds{300};
    }
    cr_assert(one.recent(now, age).empty());
    cr_assert(two.recent(now, age).empty());
    cr_assert_eq(two.crashCount(request(5)), 1U);
}
