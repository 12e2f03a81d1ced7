#include "gateway/dissemination.h"

#include "support/table.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr std::size_t domains = 6;

/// A simulated fleet in which all messages are delivered without delay and in order.
class Fleet
{
public:
    /// @p capacityOf returns the capacity of each node, by its index.
    explicit Fleet(
        std::size_t size, const std::function<double(std::size_t)> &capacityOf = [](std::size_t) { return 1.0; })
    {
        for (std::size_t i = 0; i < size; ++i)
            m_nodes.push_back(std::make_unique<Node>(addressOf(i, capacityOf(i))));
        for (auto &node : m_nodes) {
            for (const auto &other : m_nodes)
                node->members.onReport(reportOf(other->members.self(), 1), start);
        }
    }

    /// Broadcasts a prompt notice from node number @p from and delivers messages until none is in transit.
    void broadcast(std::size_t from)
    {
        auto report = reportOf(m_nodes[from]->members.self(), ++m_sequence);
        report.sends.push_back({"e", 1});
        m_nodes[from]->dissemination.add(report, m_now);
        flush(*m_nodes[from]);
        while (!m_inTransit.empty()) {
            const auto [target, message] = m_inTransit.front();
            m_inTransit.pop_front();
            deliver(target, message);
        }
    }

    void stop(std::size_t node)
    {
        m_nodes[node]->stopped = true;
    }

    /// Delivers a report of every running node to all nodes.
    void reportAll(Instant now)
    {
        ++m_sequence;
        m_now = now;
        for (auto &node : m_nodes) {
            for (const auto &other : m_nodes) {
                if (!other->stopped)
                    node->members.onReport(reportOf(other->members.self(), m_sequence), now);
            }
        }
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    std::size_t promptsReceivedBy(std::size_t node) const
    {
        return m_nodes[node]->prompts;
    }

    std::size_t sentBy(std::size_t node) const
    {
        return m_nodes[node]->sent;
    }

    double capacityOf(std::size_t node) const
    {
        return m_nodes[node]->members.self().capacity;
    }

    bool isRunning(std::size_t node) const
    {
        return !m_nodes[node]->stopped;
    }

    std::size_t maxSentByOne() const
    {
        const auto node = std::ranges::max_element(m_nodes, {}, [](const auto &each) { return each->sent; });
        return (*node)->sent;
    }

    std::size_t relay(std::size_t domain, std::size_t rank) const
    {
        const auto relays = m_nodes[0]->members.relaysOf("d" + std::to_string(domain), 1, m_now);
        const auto found = std::ranges::find_if(
            m_nodes, [&](const auto &node) { return node->members.self().node == relays[rank].node; });
        return static_cast<std::size_t>(found - m_nodes.begin());
    }

private:
    struct Node {
        explicit Node(const NodeAddress &address)
            : members(address)
        {
        }

        MemberTable members;
        Dissemination dissemination;
        std::size_t prompts = 0;
        std::size_t sent = 0;
        bool stopped = false;
    };

    static NodeAddress addressOf(std::size_t index, double capacity)
    {
        const auto domain = "d" + std::to_string(index % domains);
        const auto ip = "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1);
        return {"n" + std::to_string(index), domain, domain, {ip, 80, false}, {ip, 90, false}, 1, capacity};
    }

    static NodeReport reportOf(const NodeAddress &address, std::uint64_t sequence)
    {
        NodeReport report;
        report.from = address;
        report.sequence = sequence;
        return report;
    }

    void flush(Node &node)
    {
        for (const auto &delivery : node.dissemination.flush(node.members, m_now)) {
            node.sent += delivery.targets.size();
            for (const auto &target : delivery.targets)
                m_inTransit.emplace_back(target.node, delivery.message);
        }
    }

    void deliver(const std::string &target, const GatewayMessage &message)
    {
        const auto node
            = std::ranges::find_if(m_nodes, [&](const auto &each) { return each->members.self().node == target; });
        if ((*node)->stopped)
            return;
        for (const auto &report : message.reports) {
            if (report.from.node != target)
                (*node)->prompts += report.sends.size();
        }
        (*node)->dissemination.onMessage(message, m_now);
        flush(**node);
    }

    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<std::pair<std::string, GatewayMessage>> m_inTransit;
    std::uint64_t m_sequence = 1;
    Instant m_now = start;
};

struct SizeCase {
    std::size_t nodes;
    std::size_t mostSent; ///< Maximum of datagrams by one node for one report: to its domain and to each other one.
};

const SizeCase sizes[] = {{1, 0}, {2, 1}, {9, 8}, {17, 16}, {18, 7}, {69, 17}, {300, 55}, {1000, 172}};

} // namespace

TABLE_TEST(Dissemination, deliversReportsExactlyOnce, sizes)
{
    for (const std::size_t from : {std::size_t{0}, row.nodes / 2, row.nodes - 1}) {
        Fleet fleet(row.nodes);
        fleet.broadcast(from);
        for (std::size_t node = 0; node < fleet.size(); ++node)
            cr_assert_eq(fleet.promptsReceivedBy(node), node == from ? 0U : 1U, "node %zu of %zu", node, row.nodes);
        cr_assert_leq(fleet.maxSentByOne(), row.mostSent);
    }
}

Test(Dissemination, relayLossCostsHalfUntilDetected)
{
    Fleet fleet(69);
    const auto dead = fleet.relay(1, 0);
    fleet.stop(dead);
    const auto listener = fleet.relay(1, 1);
    for (int i = 0; i < 10; ++i)
        fleet.broadcast(0);
    cr_assert_eq(fleet.promptsReceivedBy(listener), 5U);

    fleet.reportAll(start + std::chrono::seconds{10});
    for (int i = 0; i < 10; ++i)
        fleet.broadcast(0);
    cr_assert_eq(fleet.promptsReceivedBy(listener), 15U);
}

namespace
{

/// A fleet in which a few nodes of each failure domain have many times the capacity of the others.
struct MixedCase {
    const char *name;
    std::size_t nodes;
    std::size_t large; ///< Of each domain.
    double smallCapacity;
    std::size_t away; ///< Large nodes of each domain that are away.
};

const MixedCase mixedFleets[] = {
    {"none away", 78, 2, 0.1, 0},          {"one of two away", 78, 2, 0.1, 1}, {"both away", 78, 2, 0.1, 2},
    {"one of three away", 198, 3, 0.2, 1}, {"all three away", 198, 3, 0.2, 3},
};

constexpr double largeCapacity = 2;
constexpr double allowedShare = 2; ///< Of what a node sends, over its share of the running capacity of its domain.

} // namespace

/// Guards against small nodes whose links the reports of the fleet fill while large ones restart.
TABLE_TEST(Dissemination, nodesRelayByCapacity, mixedFleets)
{
    Fleet fleet(row.nodes,
                [&](std::size_t node) { return node < row.large * domains ? largeCapacity : row.smallCapacity; });
    const auto away = row.away * domains;
    for (std::size_t node = 0; node < away; ++node)
        fleet.stop(node);
    fleet.reportAll(start + std::chrono::seconds{10});
    constexpr std::size_t rounds = 3;
    for (std::size_t i = 0; i < rounds * row.nodes; ++i) {
        if (fleet.isRunning(i % row.nodes))
            fleet.broadcast(i % row.nodes);
    }
    std::array<double, domains> capacity{};
    std::array<double, domains> sent{};
    for (std::size_t node = 0; node < row.nodes; ++node) {
        capacity[node % domains] += fleet.isRunning(node) ? fleet.capacityOf(node) : 0;
        sent[node % domains] += static_cast<double>(fleet.sentBy(node));
    }
    for (std::size_t node = row.large * domains; node < row.nodes; ++node) {
        const auto domain = node % domains;
        const double share = fleet.capacityOf(node) / capacity[domain];
        cr_assert_leq(static_cast<double>(fleet.sentBy(node)), allowedShare * share * sent[domain],
                      "%s: node %zu has sent %zu of %.0f, %.3f of the capacity", row.name, node, fleet.sentBy(node),
                      sent[domain], share);
        cr_assert_eq(fleet.promptsReceivedBy(node), rounds * (row.nodes - away - 1), "%s: node %zu", row.name, node);
    }
}

namespace
{

constexpr Duration heldFor = std::chrono::milliseconds{400};

/// A report with times that are relative to when it was made.
NodeReport timedReport(const NodeAddress &from)
{
    NodeReport report;
    report.from = from;
    report.sequence = 1;
    report.sends = {{"e", 1, std::chrono::milliseconds{300}, 1}};
    report.limits = {{{"e", 1}, 2.0, std::chrono::milliseconds{100}, 0}};
    report.brittleness = {{"s", 2U, std::chrono::milliseconds{100}}};
    report.contacts = {{{"e", 1}, std::chrono::milliseconds{100}}};
    report.turnedAway = {{{"e", 1}, std::chrono::milliseconds{500}}};
    report.released = {{0, 1, std::chrono::milliseconds{100}}};
    report.placements = {{"e", "m/a", 1, false, std::chrono::milliseconds{500}}};
    return report;
}

struct HoldCase {
    const char *name;
    bool isForwarded; ///< Has come from another node.
    bool isMerged; ///< With a later report of the process.
};

const HoldCase holds[] = {
    {"own", false, false}, {"own, merged", false, true}, {"forwarded", true, false}, {"forwarded, merged", true, true}};

} // namespace

/// Guards against reports whose times count from their arrival although they were held on the way.
TABLE_TEST(Dissemination, heldReportsKeepTheirTimes, holds)
{
    const NodeAddress self{"n0", "d", "d", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1};
    const NodeAddress peer{"n1", "d", "d", {"10.0.0.2", 80, false}, {"10.0.0.2", 90, false}, 1};
    MemberTable members(self);
    members.onReport(timedReport(peer), start);
    Dissemination dissemination;
    const auto hold = [&](const NodeReport &report, Instant now) {
        if (!row.isForwarded)
            return dissemination.add(report, now);
        GatewayMessage message;
        message.forwardScope = ForwardScope::OwnDomain;
        message.reports = {report};
        dissemination.onMessage(message, now);
    };
    const auto from = row.isForwarded ? peer : self;
    hold(timedReport(from), start);
    if (row.isMerged) {
        NodeReport later;
        later.from = from;
        later.sequence = 2;
        hold(later, start + heldFor / 2);
    }
    const auto deliveries = dissemination.flush(members, start + heldFor);
    cr_assert_eq(deliveries.size(), 1U, "%s", row.name);
    const auto &sent = deliveries.front().message.reports.front();
    using std::chrono::milliseconds;
    cr_assert_eq(sent.sends.front().in, Duration{milliseconds{-100}}, "%s", row.name);
    cr_assert_eq(sent.limits.front().age, Duration{milliseconds{500}}, "%s", row.name);
    cr_assert_eq(sent.brittleness.front().age, Duration{milliseconds{500}}, "%s", row.name);
    cr_assert_eq(sent.contacts.front().age, Duration{milliseconds{500}}, "%s", row.name);
    cr_assert_eq(sent.turnedAway.front().time, Duration{milliseconds{100}}, "%s", row.name);
    cr_assert_eq(sent.released.front().sinceLastOrder, Duration{milliseconds{500}}, "%s", row.name);
    cr_assert_eq(sent.placements.front().usableIn, Duration{milliseconds{100}}, "%s", row.name);
}

Test(Dissemination, mergesReportsOfOneProcess)
{
    MemberTable members({"n0", "d", "d", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1});
    NodeReport peer;
    peer.from = {"n1", "d", "d", {"10.0.0.2", 80, false}, {"10.0.0.2", 90, false}, 1};
    peer.sequence = 1;
    members.onReport(peer, start);
    Dissemination dissemination;
    NodeReport report;
    report.from = members.self();
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        report.sequence = sequence;
        report.takesCallers = sequence < 3;
        report.sends = {{"e", static_cast<double>(sequence)}};
        dissemination.add(report, start);
    }
    const auto deliveries = dissemination.flush(members, start);
    cr_assert_eq(deliveries.size(), 1U);
    const auto &sent = deliveries.front().message.reports;
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(sent.front().sends.size(), 3U);
    cr_assert_eq(sent.front().sequence, 3U);
    cr_assert_not(sent.front().takesCallers);
    cr_assert(dissemination.isEmpty());
}

/// Guards against sums of an organisation that are lost, or replaced by older ones, on the way.
Test(Dissemination, keepsNewestSums)
{
    MemberTable members({"n0", "d", "d", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1});
    NodeReport peer;
    peer.from = {"n1", "d", "d", {"10.0.0.2", 80, false}, {"10.0.0.2", 90, false}, 1};
    peer.sequence = 1;
    members.onReport(peer, start);
    Dissemination dissemination;
    NodeReport report;
    report.from = members.self();
    for (const std::uint64_t sequence : {5, 7, 6}) {
        report.sequence = sequence;
        report.spent = {{"all", sequence}, {"o" + std::to_string(sequence), 1}};
        dissemination.add(report, start);
    }
    const auto deliveries = dissemination.flush(members, start);
    const std::map<std::string, double> newest{{"all", 7}, {"o5", 1}, {"o6", 1}, {"o7", 1}};
    cr_assert(deliveries.front().message.reports.front().spent == newest);
}

namespace
{

/// One of two merged reports: full in-flight counts of all upstreams, or the changed count of upstream `e`.
struct LoadPart {
    std::uint64_t sequence;
    bool whole;
    unsigned inFlight;
};

struct MergeCase {
    LoadPart first;
    LoadPart second;
    unsigned inFlight; ///< Count at the receiver of the merged report.
};

const MergeCase mergeCases[] = {
    {{1, false, 1}, {2, false, 2}, 2}, {{2, false, 2}, {1, false, 1}, 2}, {{1, false, 1}, {2, true, 5}, 5},
    {{1, true, 5}, {2, false, 1}, 1},  {{2, false, 1}, {1, true, 5}, 1},  {{2, true, 5}, {1, false, 1}, 5},
};

} // namespace

/// Reports of one process are merged into one, which keeps all events and the newer state.
TABLE_TEST(Dissemination, mergesAllReportFields, mergeCases)
{
    MemberTable members({"n0", "d", "d", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1});
    NodeReport peer;
    peer.from = {"n1", "d", "d", {"10.0.0.2", 80, false}, {"10.0.0.2", 90, false}, 1};
    peer.sequence = 1;
    members.onReport(peer, start);
    Dissemination dissemination;
    for (const auto &part : {row.first, row.second}) {
        NodeReport report;
        report.from = members.self();
        report.sequence = part.sequence;
        report.speeds = {{"s", {}}};
        report.steps = {{"e", 10}};
        report.operatorRevision = part.sequence == 1 ? 7 : 0;
        report.departures = {{"e", 1}};
        report.turnedAway = {{{"e", 1}, std::chrono::seconds{1}}};
        report.hasInFlight = part.whole;
        (part.whole ? report.inFlight : report.changedInFlight)["e"] = part.inFlight;
        dissemination.add(report, start);
    }
    const auto deliveries = dissemination.flush(members, start);
    const auto &sent = deliveries.front().message.reports;
    cr_assert_eq(sent.size(), 1U);
    const auto &report = sent.front();
    cr_assert_eq(report.speeds.size(), 2U);
    cr_assert_eq(report.steps.size(), 2U);
    cr_assert_eq(report.departures.size(), 2U);
    cr_assert_eq(report.turnedAway.size(), 2U);
    cr_assert_eq(report.operatorRevision, 7);

    UpstreamTable table;
    UpstreamRecord record;
    record.instance = "e";
    record.startedAt = 1;
    table.onRecord(record, start);
    const ReportStamp stamp{"n0", 1, report.sequence};
    if (report.hasInFlight)
        table.onPeerLoads(stamp, report.inFlight);
    for (const auto &[instance, requests] : report.changedInFlight)
        table.onPeerLoad(stamp, instance, requests);
    cr_assert_eq(table.find("e")->inFlight(), row.inFlight);
}
