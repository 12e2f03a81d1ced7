#include "gateway/promptwindow.h"
#include "scheduling/waitingqueue.h"

#include "support/table.h"

#include <array>
#include <memory>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using namespace Gypsumtally::Scheduling;

namespace
{

constexpr Duration tick = std::chrono::milliseconds{10};
constexpr Duration pause = std::chrono::milliseconds{300};
constexpr Duration objective = std::chrono::milliseconds{600};
constexpr Duration patience = std::chrono::milliseconds{3000};
constexpr double limit = 4800; ///< Tokens that the engine can process within a pause.

/// A kind of request, by its part of the tokens that are offered.
struct Kind {
    unsigned urgency = 0;
    double tokens = 0;
    double part = 0;
};

struct MixCase {
    const char *name;
    unsigned nodes;
    std::array<Kind, 3> kinds; ///< The first one is the most urgent; the last one is of the largest requests.
    double urgentInTime; ///< Fraction of the first kind that is to be in time.
};

const MixCase mixes[] = {
    {"few urgent requests", 1, {{{1, 650, 0.2}, {4, 650, 0.4}, {4, 1460, 0.4}}}, 0.9},
    {"few urgent requests at 5 nodes", 5, {{{1, 650, 0.2}, {4, 650, 0.4}, {4, 1460, 0.4}}}, 0.9},
    {"many urgent requests", 1, {{{1, 650, 0.4}, {4, 650, 0.3}, {4, 1460, 0.3}}}, 0.8},
    {"many urgent requests at 5 nodes", 5, {{{1, 650, 0.4}, {4, 650, 0.3}, {4, 1460, 0.3}}}, 0.8},
    {"large urgent requests", 1, {{{1, 1460, 0.3}, {4, 650, 0.4}, {4, 1460, 0.3}}}, 0.8},
    {"large urgent requests at 5 nodes", 5, {{{1, 1460, 0.3}, {4, 650, 0.4}, {4, 1460, 0.3}}}, 0.65},
};

struct Call {
    std::size_t kind = 0;
    Instant arrival{};
};

struct Counts {
    double arrived = 0;
    double served = 0;
    double inTime = 0;
};

struct Node {
    CapacityReserve reserve;
    WaitingQueue<const Call *> queue{reserve};
    std::vector<std::unique_ptr<Call>> calls;
    std::uint64_t sequence = 0;

    void end(const Call *call, Instant now)
    {
        queue.end(call, now);
        std::erase_if(calls, [&](const auto &each) { return each.get() == call; });
    }
};

void exchangeReports(std::vector<Node> &nodes, Instant now)
{
    for (auto &from : nodes) {
        const auto waiting = from.reserve.tellWaiting(now);
        ++from.sequence;
        for (auto &to : nodes) {
            if (&to != &from)
                to.reserve.onPeerWaiting("n" + std::to_string(&from - nodes.data()), 1, from.sequence, waiting, now);
        }
    }
}

/// Offers the calls that wait at @p node to the engine.
void serve(const MixCase &mix, Node &node, PromptWindow &window, std::array<Counts, 3> &counts, Instant now)
{
    node.queue.report(now);
    for (const auto *call : node.queue.inOrder(now)) {
        const auto &[urgency, tokens, part] = mix.kinds[call->kind];
        const double share = node.reserve.share("s", urgency, tokens, mix.nodes, now, [] { return 0.5; });
        const double usual = node.reserve.isBelowOthers("s", urgency, mix.nodes, now)
                                 ? node.reserve.usualPrompt("s", urgency, now)
                                 : 0;
        const auto sendAt = window.earliestSendAt(std::max(tokens, usual), share * limit, pause, now);
        if (sendAt - call->arrival > patience) {
            node.reserve.onRefused("s", urgency, now);
            node.end(call, now);
        } else if (sendAt - now <= pause || !node.reserve.isShared("s", now)) {
            window.add(tokens, sendAt, now);
            node.reserve.onStarted("s", urgency, tokens, now);
            ++counts[call->kind].served;
            counts[call->kind].inTime += sendAt - call->arrival <= objective ? 1 : 0;
            node.end(call, now);
        }
    }
}

/// Returns what becomes of calls that nodes send to one engine at twice its speed.
std::array<Counts, 3> play(const MixCase &mix)
{
    std::array<Counts, 3> counts;
    std::mt19937 random{1};
    PromptWindow window;
    std::vector<Node> nodes(mix.nodes);
    const Instant begin{std::chrono::seconds{100}};
    for (auto now = begin; now < begin + std::chrono::seconds{30}; now += tick) {
        for (std::size_t kind = 0; kind < mix.kinds.size(); ++kind) {
            const auto &[urgency, tokens, part] = mix.kinds[kind];
            const double perTick = 2 * part * limit / tokens * tick / pause;
            for (auto left = std::poisson_distribution<unsigned>(perTick)(random); left > 0; --left) {
                auto &node = nodes[random() % nodes.size()];
                node.calls.push_back(std::make_unique<Call>(Call{kind, now}));
                node.queue.begin(node.calls.back().get(),
                                 {"s", {urgency, now + objective - pause, now + patience}, now}, true, now);
                node.reserve.onArrived("s", urgency, tokens, now);
                ++counts[kind].arrived;
            }
        }
        if ((now - begin) % std::chrono::milliseconds{400} == Duration{})
            exchangeReports(nodes, now);
        for (std::size_t i = 0; i < nodes.size(); ++i)
            serve(mix, nodes[(i + static_cast<std::size_t>((now - begin) / tick)) % nodes.size()], window, counts, now);
    }
    return counts;
}

} // namespace

/// Guards against urgent prompts that find the pace taken, and large prompts that never fit between small ones.
TABLE_TEST(PromptShare, leavesRoomForUrgentAndLargePrompts, mixes)
{
    const auto [urgent, small, large] = play(row);
    cr_log_info("%s: in time %.3f, %.3f, %.3f; served %.3f, %.3f, %.3f", row.name, urgent.inTime / urgent.arrived,
                small.inTime / small.arrived, large.inTime / large.arrived, urgent.served / urgent.arrived,
                small.served / small.arrived, large.served / large.arrived);
    const double served
        = (urgent.served + small.served + large.served) / (urgent.arrived + small.arrived + large.arrived);
    cr_assert_geq(urgent.inTime / urgent.arrived, row.urgentInTime, "%s", row.name);
    cr_assert_geq(urgent.inTime / urgent.arrived, small.inTime / small.arrived, "%s", row.name);
    const double others = (small.served + large.served) / (small.arrived + large.arrived);
    cr_assert_geq(others, served / 4, "%s: %f of %f", row.name, others, served);
    cr_assert_geq(large.served / large.arrived, others / 2, "%s: %f of %f", row.name, large.served / large.arrived,
                  others);
}
