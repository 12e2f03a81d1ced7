#include "gateway/reachability.h"

#include "support/table.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using std::chrono::milliseconds;

namespace
{

constexpr Instant start{std::chrono::hours{1}};
constexpr int stepMs = 5;
constexpr int tickMs = 50;
constexpr int avoidanceMs = 700; ///< Time for which a node avoids an upstream that has not answered.

enum class Mode { Refuse, Reset, Hang, LiveOnes };

struct Cut {
    int fromMs;
    int untilMs;
    unsigned nodes; ///< The first ones.
    unsigned firstUpstream;
    unsigned upstreams;
    Mode mode;
};

/// Upstreams that answer nobody for a time, and then all requests that were not given up.
struct Silence {
    int fromMs;
    int untilMs;
    unsigned firstUpstream;
    unsigned upstreams;
};

/// Nodes that use upstreams in virtual time, and exchange their reports by datagrams.
class Fleet
{
public:
    Fleet(unsigned nodes, unsigned upstreams, int useMs)
        : m_nodes(nodes)
        , m_upstreams(upstreams)
        , m_useMs(useMs)
    {
        for (unsigned node = 0; node < nodes; ++node) {
            for (unsigned i = 0; i < upstreams; ++i)
                m_nodes[node].reach.onProcess(process(i), serviceOf(i), start);
        }
    }

    std::vector<Cut> cuts;
    std::vector<Silence> silences;
    std::map<unsigned, int> crashes; ///< Time by upstream.
    unsigned lostDatagramsOf10 = 0;
    unsigned idleFrom = ~0U; ///< Nodes from here on send no requests.
    bool isOrdering = false; ///< Node 0 sends orders, which silent upstreams answer too.
    bool isStreaming = false; ///< Node 0 has streams that go on while their upstreams answer nothing new.

    UpstreamProcess process(unsigned upstream) const
    {
        return {"u" + std::to_string(upstream), 7};
    }

    static const char *serviceOf(unsigned upstream)
    {
        return upstream < 3 ? "plain" : "model";
    }

    static std::string name(unsigned node)
    {
        return "n" + std::to_string(node);
    }

    Reachability &reach(unsigned node)
    {
        return m_nodes[node].reach;
    }

    /// Replaces the process of @p node.
    void restart(unsigned node)
    {
        m_nodes[node] = {};
        for (unsigned i = 0; i < m_upstreams; ++i)
            m_nodes[node].reach.onProcess(process(i), serviceOf(i), now());
    }

    Instant now() const
    {
        return start + milliseconds{m_ms};
    }

    void runUntil(int ms)
    {
        for (; m_ms < ms; m_ms += stepMs) {
            deliver();
            for (unsigned node = 0; node < m_nodes.size(); ++node) {
                if (node < idleFrom)
                    useUpstreams(node);
                if (node == 0 && (isOrdering || isStreaming) && m_ms % tickMs == 0)
                    receiveElse();
                exchange(node);
            }
        }
    }

    /// Returns the number of pairs of a node and an upstream that count as cut off although no cut separates them.
    unsigned falseCuts()
    {
        unsigned count = 0;
        eachPair([&](unsigned node, unsigned upstream) {
            count += !cutOf(node, upstream) && m_nodes[node].reach.isCutOff(process(upstream).instance, now());
        });
        return count;
    }

    unsigned missedCuts()
    {
        unsigned count = 0;
        eachPair([&](unsigned node, unsigned upstream) {
            count += cutOf(node, upstream) && !m_nodes[node].reach.isCutOff(process(upstream).instance, now());
        });
        return count;
    }

    unsigned probes = 0;
    unsigned reports = 0;

private:
    struct Pending {
        int atMs;
        std::function<void()> task;
    };

    struct Node {
        Reachability reach;
        std::map<unsigned, int> busyUntil; ///< By upstream.
        std::set<unsigned> broken; ///< Upstreams with open connections that the cut has reset.
    };

    template<typename Visit>
    void eachPair(Visit &&visit) const
    {
        for (unsigned node = 0; node < m_nodes.size(); ++node) {
            for (unsigned upstream = 0; upstream < m_upstreams; ++upstream)
                visit(node, upstream);
        }
    }

    std::optional<Mode> cutOf(unsigned node, unsigned upstream) const
    {
        for (const auto &cut : cuts) {
            if (m_ms >= cut.fromMs && m_ms < cut.untilMs && node < cut.nodes && upstream >= cut.firstUpstream
                && upstream < cut.firstUpstream + cut.upstreams)
                return cut.mode;
        }
        return std::nullopt;
    }

    /// Returns the end of the silence of @p upstream; 0 if it answers.
    int silentUntil(unsigned upstream) const
    {
        int until = 0;
        for (const auto &silence : silences) {
            if (m_ms >= silence.fromMs && m_ms < silence.untilMs && upstream >= silence.firstUpstream
                && upstream < silence.firstUpstream + silence.upstreams)
                until = std::max(until, silence.untilMs);
        }
        return until;
    }

    bool isCrashed(unsigned upstream) const
    {
        const auto it = crashes.find(upstream);
        return it != crashes.end() && m_ms >= it->second;
    }

    void after(int ms, std::function<void()> task)
    {
        m_pending.push_back({m_ms + ms, std::move(task)});
    }

    void deliver()
    {
        for (std::size_t i = 0; i < m_pending.size();) {
            if (m_pending[i].atMs > m_ms) {
                ++i;
                continue;
            }
            const auto task = std::move(m_pending[i].task);
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(i));
            task();
        }
    }

    void useUpstreams(unsigned node)
    {
        for (unsigned upstream = 0; upstream < m_upstreams; ++upstream) {
            auto &busyUntil = m_nodes[node].busyUntil[upstream];
            const bool isDue = (m_ms + 7 * static_cast<int>(node + 3 * upstream)) / stepMs % (m_useMs / stepMs) == 0;
            if (!isDue || m_ms < busyUntil || m_nodes[node].reach.isCutOff(process(upstream).instance, now()))
                continue;
            busyUntil = m_ms + connect(node, upstream, false);
        }
    }

    /// Receives what silent upstreams bring to node 0: answers to orders and events of streams that had begun.
    void receiveElse()
    {
        for (unsigned upstream = 0; upstream < m_upstreams; ++upstream) {
            if (isCrashed(upstream) || cutOf(0, upstream))
                continue;
            if (isOrdering)
                reach(0).onContact(process(upstream), now(), now(), ContactKind::Order);
            if (isStreaming)
                reach(0).onContact(process(upstream), now(), start);
        }
    }

    /// Returns how long the connection takes.
    int connect(unsigned node, unsigned upstream, bool isProbe)
    {
        const auto mode = isCrashed(upstream) ? std::optional(Mode::Refuse) : cutOf(node, upstream);
        const auto sentAt = now();
        if (const int until = silentUntil(upstream); until > 0 && !mode)
            return awaitSilent(node, upstream, until - m_ms, isProbe);
        if (!mode) {
            m_nodes[node].broken.erase(upstream);
            after(stepMs, [=, this] {
                endProbe(node, upstream, isProbe, sentAt);
                reach(node).onContact(process(upstream), now(), sentAt);
            });
            return 0;
        }
        if (*mode == Mode::LiveOnes && !isProbe)
            reach(node).onContact(process(upstream), now(), start);
        const bool isReset = *mode == Mode::Reset && !isProbe && m_nodes[node].broken.insert(upstream).second;
        const auto unconnected = *mode == Mode::Hang ? ReachFailure::Unanswered : ReachFailure::NotConnected;
        const auto failure = isReset ? ReachFailure::Broken : unconnected;
        const int ms = *mode == Mode::Hang ? (isProbe ? 500 : 300) : stepMs;
        after(ms, [=, this] {
            endProbe(node, upstream, isProbe, sentAt);
            reach(node).onFailure(process(upstream), now(), failure);
        });
        return ms;
    }

    void endProbe(unsigned node, unsigned upstream, bool isProbe, Instant sentAt)
    {
        if (isProbe)
            reach(node).onProbeEnded(process(upstream), sentAt);
    }

    /// Waits for an upstream that goes on in @p silentMs. Returns the time for which it then gets no other request.
    int awaitSilent(unsigned node, unsigned upstream, int silentMs, bool isProbe)
    {
        const int patienceMs = isProbe ? 500 : 300;
        const int ms = std::min(patienceMs, silentMs + stepMs);
        after(ms, [=, this, sentAt = now()] {
            endProbe(node, upstream, isProbe, sentAt);
            if (silentMs < patienceMs)
                reach(node).onContact(process(upstream), now(), sentAt);
            else
                reach(node).onFailure(process(upstream), now(),
                                      isProbe ? ReachFailure::Unanswered : ReachFailure::Silent);
        });
        return silentMs < patienceMs ? ms : ms + avoidanceMs;
    }

    void exchange(unsigned node)
    {
        auto &reach = m_nodes[node].reach;
        const bool isTick = (m_ms + stepMs * static_cast<int>(node)) % tickMs == 0;
        const auto failures = reach.takeFailures(now());
        if (!failures.empty())
            send(node, [=, this](unsigned to) {
                std::set<std::string> peers;
                for (unsigned other = 0; other < m_nodes.size(); ++other) {
                    if (other != to)
                        peers.insert(name(other));
                }
                for (const auto &failed : failures)
                    this->reach(to).onPeerFailure(name(node), failed, name(to), peers, now());
            });
        if (!isTick)
            return;
        const auto answers = reach.takeAnswers(now());
        if (!answers.empty())
            send(node, [=, this](unsigned to) {
                for (const auto &[process, age] : answers)
                    this->reach(to).onPeerContact(name(node), process, now() - age);
            });
        for (const auto &each : reach.takeProbes(now())) {
            ++probes;
            connect(node, static_cast<unsigned>(std::stoul(each.instance.substr(1))), true);
        }
        if ((m_ms / tickMs) % 6 == 0) {
            const auto cutOff = reach.cuts();
            reports -= 1; // Part of a digest.
            send(node, [=, this](unsigned to) { this->reach(to).onPeerCuts(name(node), cutOff, now()); });
        }
        reach.takeChanges();
    }

    void send(unsigned node, const std::function<void(unsigned)> &task)
    {
        ++reports;
        for (unsigned to = 0; to < m_nodes.size(); ++to) {
            if (to == node || ++m_datagrams * 7 % 10 < lostDatagramsOf10)
                continue;
            after(10, [=] { task(to); });
        }
    }

    std::vector<Node> m_nodes;
    unsigned m_upstreams;
    int m_useMs;
    int m_ms = 0;
    unsigned m_datagrams = 0;
    std::deque<Pending> m_pending;
};

struct CutCase {
    const char *name;
    unsigned nodes;
    unsigned upstreams;
    int useMs; ///< Interval between requests of a node to one upstream.
    Cut cut;
    int shownMs; ///< Time from the cut by which all pairs must be known as cut off.
    unsigned lostDatagramsOf10 = 0;
};

const CutCase cutCases[] = {
    {"all upstreams refuse three of nine nodes", 9, 15, 100, {1000, 6000, 3, 0, 15, Mode::Refuse}, 400},
    {"all upstreams reset three of nine nodes", 9, 15, 100, {1000, 6000, 3, 0, 15, Mode::Reset}, 500},
    {"all upstreams hang for three of nine nodes", 9, 15, 100, {1000, 6000, 3, 0, 15, Mode::Hang}, 800},
    {"six of nine nodes", 9, 15, 100, {1000, 6000, 6, 0, 15, Mode::Refuse}, 400},
    {"eight of nine nodes, lost datagrams", 9, 15, 100, {1000, 6000, 8, 0, 15, Mode::Hang}, 1100, 3},
    {"one upstream", 9, 15, 100, {1000, 6000, 1, 4, 1, Mode::Refuse}, 400},
    {"some upstreams", 9, 15, 100, {1000, 6000, 2, 4, 4, Mode::Hang}, 800},
    {"one service", 9, 15, 100, {1000, 6000, 2, 0, 3, Mode::Reset}, 500},
    {"open connections live", 9, 15, 100, {1000, 6000, 2, 0, 15, Mode::LiveOnes}, 500},
    {"requests are rare", 9, 15, 1500, {1000, 8000, 3, 0, 15, Mode::Refuse}, 2000},
    {"half of 100 nodes", 100, 30, 200, {1000, 5000, 50, 0, 30, Mode::Refuse}, 600},
    {"one of 100 nodes", 100, 30, 400, {1000, 5000, 1, 0, 30, Mode::Hang}, 900},
};

} // namespace

TABLE_TEST(Reachability, showsACutAndItsEnd, cutCases)
{
    Fleet fleet(row.nodes, row.upstreams, row.useMs);
    fleet.cuts = {row.cut};
    fleet.lostDatagramsOf10 = row.lostDatagramsOf10;
    fleet.runUntil(row.cut.fromMs);
    cr_assert_eq(fleet.reports + fleet.probes, 0U, "%s: a calm fleet pays", row.name);
    fleet.runUntil(row.cut.fromMs + row.shownMs);
    cr_assert_eq(fleet.missedCuts(), 0U, "%s: %u missed", row.name, fleet.missedCuts());
    cr_assert_eq(fleet.falseCuts(), 0U, "%s: %u wrong", row.name, fleet.falseCuts());
    const auto probes = fleet.probes;
    fleet.runUntil(row.cut.untilMs);
    const double seconds = (row.cut.untilMs - row.cut.fromMs - row.shownMs) / 1000.0;
    cr_assert_leq(fleet.probes - probes, row.cut.nodes * (3 * seconds + 1), "%s: %u probes", row.name,
                  fleet.probes - probes);
    cr_assert_eq(fleet.missedCuts(), 0U, "%s: %u missed at the end", row.name, fleet.missedCuts());
    fleet.runUntil(row.cut.untilMs + 1000);
    cr_assert_eq(fleet.falseCuts(), 0U, "%s: %u remain", row.name, fleet.falseCuts());
}

struct OutageCase {
    const char *name;
    unsigned nodes;
    std::vector<Cut> cuts;
    std::map<unsigned, int> crashes;
};

const OutageCase outages[] = {
    {"one node", 1, {{1000, 6000, 1, 0, 15, Mode::Refuse}}, {}},
    {"all nodes are cut off from all upstreams", 9, {{1000, 6000, 9, 0, 15, Mode::Refuse}}, {}},
    {"all nodes are cut off, hanging", 9, {{1000, 6000, 9, 0, 15, Mode::Hang}}, {}},
    {"all nodes are cut off from one upstream", 9, {{1000, 6000, 9, 2, 1, Mode::Hang}}, {}},
    {"an upstream crashes", 9, {}, {{4, 1000}}},
    {"an upstream crashes in a fleet of 100 nodes", 100, {}, {{4, 1000}}},
    {"five upstreams crash one after the other", 9, {}, {{2, 1000}, {4, 1200}, {5, 1400}, {7, 2000}, {8, 2500}}},
};

TABLE_TEST(Reachability, takesNoOutageForACut, outages)
{
    Fleet fleet(row.nodes, 15, 50);
    fleet.cuts = row.cuts;
    fleet.crashes = row.crashes;
    for (int ms = 1000; ms < 5000; ms += 50) {
        fleet.runUntil(ms);
        for (unsigned node = 0; node < row.nodes; ++node)
            cr_assert(fleet.reach(node).cutOff().empty(), "%s: node %u at %d ms", row.name, node, ms);
    }
}

namespace
{

struct SilenceCase {
    const char *name;
    unsigned nodes;
    int useMs; ///< Interval between requests of a node to one upstream.
    std::vector<Silence> silences;
    unsigned lostDatagramsOf10 = 0;
    bool takesOrders = false; ///< Silent upstreams answer orders.
    bool continuesStreams = false; ///< Silent upstreams go on with streams that they had begun.
};

const SilenceCase silenceCases[] = {
    {"one upstream", 9, 100, {{1000, 2700, 4, 1}}},
    {"one upstream, requests are rare", 9, 1500, {{1000, 2700, 4, 1}}},
    {"all upstreams", 9, 100, {{1000, 2700, 0, 15}}},
    {"all upstreams, one after the other",
     9,
     100,
     {{1000, 2200, 0, 3}, {1000, 2310, 3, 4}, {1100, 2450, 7, 2}, {1150, 2700, 9, 4}, {1200, 3100, 13, 2}}},
    {"silences in series", 9, 100, {{1000, 2250, 0, 6}, {2440, 4210, 0, 15}, {4300, 5900, 2, 11}}},
    {"silences that overlap", 9, 100, {{1000, 2250, 0, 6}, {1500, 3300, 3, 12}, {3000, 5400, 0, 12}}},
    {"short silences in quick succession", 9, 50, {{1000, 1800, 0, 15}, {1850, 2650, 0, 15}, {2700, 3500, 0, 15}}},
    {"lost datagrams", 9, 100, {{1000, 2250, 0, 6}, {2440, 4210, 0, 15}}, 3},
    {"thirty nodes", 30, 100, {{1000, 2250, 0, 6}, {2440, 4210, 0, 15}}},
    {"orders are answered", 9, 100, {{1000, 2250, 0, 6}, {2440, 4210, 0, 15}}, 0, true},
    {"orders are answered, requests are rare", 9, 1500, {{1000, 3250, 0, 15}}, 0, true},
    {"streams go on", 9, 100, {{1000, 2700, 0, 15}}, 0, false, true},
    {"streams go on, requests are rare", 9, 1500, {{1000, 2700, 0, 15}}, 0, false, true},
};

} // namespace

TABLE_TEST(Reachability, takesNoSilenceForACut, silenceCases)
{
    Fleet fleet(row.nodes, 15, row.useMs);
    fleet.silences = row.silences;
    fleet.lostDatagramsOf10 = row.lostDatagramsOf10;
    fleet.isOrdering = row.takesOrders;
    fleet.isStreaming = row.continuesStreams;
    for (int ms = 1000; ms < 8000; ms += 10) {
        fleet.runUntil(ms);
        cr_assert_eq(fleet.falseCuts(), 0U, "%s: %u wrong at %d ms", row.name, fleet.falseCuts(), ms);
    }
}

Test(Reachability, showsACutWhereOnlyOrdersAreAnswered)
{
    Fleet fleet(9, 15, 100);
    fleet.idleFrom = 2;
    fleet.isOrdering = true;
    fleet.cuts = {{1000, 6000, 3, 0, 8, Mode::Hang}};
    fleet.runUntil(3000);
    for (unsigned node = 0; node < 2; ++node)
        cr_assert_eq(fleet.reach(node).cutOff().size(), 8U, "node %u", node);
}

Test(Reachability, tellsACutBesideASilence)
{
    Fleet fleet(9, 15, 100);
    fleet.cuts = {{1000, 6000, 3, 0, 8, Mode::Hang}};
    fleet.silences = {{1200, 2900, 5, 10}};
    fleet.runUntil(4000);
    cr_assert_eq(fleet.missedCuts(), 0U, "%u missed", fleet.missedCuts());
    fleet.runUntil(7000);
    cr_assert_eq(fleet.falseCuts(), 0U, "%u remain", fleet.falseCuts());
}

Test(Reachability, tellsACrashBesideACut)
{
    Fleet fleet(9, 15, 50);
    fleet.cuts = {{1000, 6000, 3, 0, 15, Mode::Refuse}};
    fleet.crashes = {{9, 2000}};
    fleet.runUntil(4000);
    for (unsigned node = 3; node < 9; ++node)
        cr_assert(fleet.reach(node).cutOff().empty(), "node %u", node);
    for (unsigned node = 3; node < 9; ++node)
        cr_assert_not(fleet.reach(node).hasAnsweredPeerSince(fleet.process(9), start + milliseconds{2000}));
}

Test(Reachability, restartsBehindACut)
{
    Fleet fleet(9, 15, 100);
    fleet.cuts = {{1000, 9000, 2, 0, 15, Mode::Refuse}};
    fleet.runUntil(3000);
    fleet.restart(0);
    fleet.runUntil(3400);
    cr_assert_eq(fleet.missedCuts(), 0U, "%u", fleet.missedCuts());
}

Test(Reachability, followsCutsInSeries)
{
    Fleet fleet(9, 15, 100);
    for (int from = 1000; from < 9000; from += 2000)
        fleet.cuts.push_back({from, from + 1000, from / 2000 + 2U, 0, 15, Mode::Refuse});
    for (int from = 1000; from < 9000; from += 2000) {
        fleet.runUntil(from + 400);
        cr_assert_eq(fleet.missedCuts(), 0U, "at %d ms: %u", from, fleet.missedCuts());
        fleet.runUntil(from + 2000);
        cr_assert_eq(fleet.falseCuts(), 0U, "at %d ms: %u", from, fleet.falseCuts());
    }
}

Test(Reachability, asksIdlePeersToProbe)
{
    Fleet fleet(9, 3, 100);
    fleet.idleFrom = 1;
    fleet.cuts = {{1000, 9000, 1, 0, 3, Mode::Refuse}};
    fleet.runUntil(1400);
    cr_assert_eq(fleet.missedCuts(), 0U, "%u", fleet.missedCuts());
    cr_assert_leq(fleet.probes, 3U * 2 + 2);
}

namespace
{

const UpstreamProcess process{"u", 7};

struct EvidenceCase {
    const char *name;
    std::function<void(Reachability &)> act;
    bool isCutOff;
    bool isCrashRefuted = false; ///< The failure at 100 ms is not that of a crash.
};

Instant at(int ms)
{
    return start + milliseconds{ms};
}

const EvidenceCase evidence[] = {
    {"a failure", [](Reachability &reach) { reach.onFailure(process, at(100)); }, false},
    {"contact of a peer before the failure",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(90));
     },
     false},
    {"contact of a peer with bytes in transit at the failure",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(115));
     },
     false},
    {"contact of a peer after the failure",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(150));
     },
     true, true},
    {"contact of a peer with an earlier process",
     [](Reachability &reach) {
         reach.onProcess(process, "s", at(0));
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", {"u", 6}, at(150));
     },
     false},
    {"contact of a peer with a process that is not known yet",
     [](Reachability &reach) {
         reach.onProcess(process, "s", at(0));
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", {"u", 8}, at(150));
     },
     false},
    {"one broken exchange",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Broken);
         reach.onPeerContact("n1", process, at(150));
     },
     false, true},
    {"two broken exchanges",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Broken);
         reach.onFailure(process, at(101), ReachFailure::Broken);
         reach.onPeerContact("n1", process, at(150));
     },
     true, true},
    {"broken exchanges far apart",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Broken);
         reach.onPeerContact("n1", process, at(3000));
         reach.onFailure(process, at(4000), ReachFailure::Broken);
     },
     false, true},
    {"a silence without a failed probe",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Silent);
         reach.onFailure(process, at(200), ReachFailure::Silent);
         reach.onPeerContact("n1", process, at(250));
     },
     false, true},
    {"a question without an answer",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.onPeerContact("n1", process, at(250));
         reach.takeProbes(at(1000));
     },
     false, true},
    {"a question that a peer's contact has overtaken",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onPeerContact("n1", process, at(200));
         reach.takeProbes(at(250));
         reach.takeProbes(at(300));
     },
     true, true},
    {"a question that was sent when a peer had contact",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onPeerContact("n1", process, at(160));
         reach.takeProbes(at(250));
         reach.takeProbes(at(300));
     },
     false, true},
    {"an overtaken question whose answer was read late",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onPeerContact("n1", process, at(200));
         reach.takeProbes(at(900));
         reach.onProbeEnded(process, at(150));
         reach.onContact(process, at(901), at(150));
         reach.takeProbes(at(950));
     },
     false, true},
    {"a question that ended before a peer had contact",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onProbeEnded(process, at(150));
         reach.onFailure(process, at(650), ReachFailure::Unanswered);
         reach.onPeerContact("n1", process, at(800));
         reach.takeProbes(at(850));
         reach.takeProbes(at(900));
     },
     false, true},
    {"a question that was not sent, before another failure",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Silent);
         reach.takeProbes(at(150));
         reach.onProbeEnded(process, at(150));
         reach.onContact(process, at(200));
         reach.onPeerContact("n1", process, at(1000));
         reach.onFailure(process, at(3000), ReachFailure::Unanswered);
         reach.takeProbes(at(3050));
         reach.takeProbes(at(3100));
     },
     false, true},
    {"a question whose process has left and come back",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onGone("u", at(160));
         reach.onProbeEnded(process, at(150));
         reach.onProcess(process, "s", at(700));
         reach.onContact(process, at(710));
         reach.onPeerContact("n1", process, at(1000));
         reach.onFailure(process, at(3000), ReachFailure::Unanswered);
         reach.takeProbes(at(3050));
         reach.takeProbes(at(3100));
     },
     false, true},
    {"a stall after a question was overtaken",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onPeerContact("n1", process, at(200));
         reach.takeProbes(at(215));
         reach.takeProbes(at(900));
     },
     false, true},
    {"a second question that is overtaken after the first has ended",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onProbed(process, at(600));
         reach.onProbeEnded(process, at(150));
         reach.onFailure(process, at(650), ReachFailure::Unanswered);
         reach.onPeerContact("n1", process, at(700));
         reach.takeProbes(at(710));
         reach.takeProbes(at(760));
     },
     true, true},
    {"a question whose contact was seen just now",
     [](Reachability &reach) {
         reach.onFailure(process, at(100), ReachFailure::Unanswered);
         reach.takeProbes(at(150));
         reach.onPeerContact("n1", process, at(200));
         reach.takeProbes(at(250));
         reach.takeProbes(at(260));
     },
     false, true},
    {"an answer since",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(150));
         reach.onContact(process, at(200));
     },
     false, true},
    {"an answer to a request of before the failure",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(150));
         reach.onContact(process, at(200), at(90));
     },
     true, true},
    {"a new process",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(150));
         reach.onProcess({"u", 8}, "s", at(200));
     },
     false, true},
    {"a failure of an earlier process",
     [](Reachability &reach) {
         reach.onProcess({"u", 8}, "s", at(0));
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", {"u", 8}, at(150));
     },
     false},
    {"the end of its record",
     [](Reachability &reach) {
         reach.onFailure(process, at(100));
         reach.onPeerContact("n1", process, at(150));
         reach.onGone("u", at(200));
     },
     false, true},
};

} // namespace

TABLE_TEST(Reachability, judgesByEvidence, evidence)
{
    Reachability reach;
    row.act(reach);
    cr_assert_eq(reach.isCutOff("u", at(4500)), row.isCutOff, "%s", row.name);
    cr_assert_eq(reach.hasAnsweredPeerSince(process, at(100)), row.isCrashRefuted, "%s", row.name);
}

/// The question of a second node was taken as answered with contact from before its failure.
Test(Reachability, answersEachQuestionWithLaterContact)
{
    Reachability reach;
    reach.onContact(process, at(0));
    const std::set<std::string> peers{"n1", "n2"};
    reach.onPeerFailure("n1", {process, true}, "n0", peers, at(100));
    reach.onPeerFailure("n2", {process, true}, "n0", peers, at(180));
    reach.onContact(process, at(170));
    cr_assert(reach.takeAnswers(at(200)) == (std::vector<ReachContact>{{process, milliseconds{30}}}));
    cr_assert(reach.takeProbes(at(300)) == std::vector{process});
    reach.onContact(process, at(305));
    cr_assert(reach.takeAnswers(at(350)) == (std::vector<ReachContact>{{process, milliseconds{45}}}));
    cr_assert(reach.takeAnswers(at(450)).empty());
}

Test(Reachability, probesAnUnconfirmedFailureOnce)
{
    Reachability reach;
    reach.onFailure(process, at(100), ReachFailure::Broken);
    cr_assert(reach.takeProbes(at(110)) == std::vector{process});
    cr_assert(reach.takeProbes(at(700)).empty());
    reach.onContact(process, at(710));
    reach.onFailure(process, at(2000), ReachFailure::Silent);
    reach.onProbed(process, at(2000));
    cr_assert(reach.takeProbes(at(2010)).empty(), "already probed");
}

Test(Reachability, presumesCutsOfUpstreamsThatShowNothing)
{
    Reachability reach;
    for (int i = 0; i < 5; ++i)
        reach.onProcess({"u" + std::to_string(i), 7}, i < 3 ? "a" : "b", at(0));
    const auto cut = [&](const char *instance, int ms) {
        reach.onFailure({instance, 7}, at(ms));
        reach.onPeerContact("n1", {instance, 7}, at(ms + 50));
    };
    cut("u0", 100);
    cr_assert_eq(reach.cutOff().size(), 1U);
    cut("u1", 110);
    cr_assert_eq(reach.cutOff().size(), 5U, "all that shows nothing");
    reach.onContact({"u3", 7}, at(200));
    cr_assert_eq(reach.cutOff().size(), 3U, "those of the other service answer");
    reach.onFailure({"u4", 7}, at(210));
    cr_assert_eq(reach.cutOff().size(), 4U, "one that has only failed");
    reach.onContact({"u0", 7}, at(300));
    cr_assert(reach.cutOff() == std::set<std::string>{"u1"});
    reach.onContact({"u1", 7}, at(310));
    cr_assert(reach.cutOff().empty());
}

Test(Reachability, reportsWhatPeersState)
{
    Reachability reach;
    reach.onPeerCuts("n1", {{"u", 7}}, at(0));
    cr_assert(reach.isPeerCutOff("n1", "u", at(100)));
    cr_assert_not(reach.isPeerCutOff("n2", "u", at(100)));
    cr_assert_not(reach.isPeerCutOff("n1", "v", at(100)));
    cr_assert_not(reach.isPeerCutOff("n1", "u", at(6000)), "not repeated");
    reach.onPeerCuts("n1", {}, at(200));
    cr_assert_not(reach.isPeerCutOff("n1", "u", at(250)));
}
