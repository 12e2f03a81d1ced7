#include "gateway/capacitylearner.h"

#include "support/table.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

/// How the nodes know the engines' speeds.
enum class Knowledge {
    Lasting, ///< By the lasting estimates alone, as with `adaptive_capacity: false`.
    Learnt,
    Exact, ///< As of the moment of each decision; the bound for what a choice can do without foresight.
};

/// The load per engine is that of khuree-bnpl-grown: 3.9 streams per second, two thirds of them of 1,460 + 174 tokens
/// and one of 646 + 72.
struct FleetCase {
    const char *name;
    unsigned nodes;
    unsigned engines;
    double slowFactor; ///< Of an engine in a slow phase.
    Duration sound; ///< Mean time between slow phases of an engine.
    unsigned knee; ///< Number of requests from which each further one adds kneeSlope to the step time; 0: none.
    double streamsPerEngine; ///< Per second.
};

constexpr unsigned slots = 12;
constexpr unsigned copies = 8; ///< Of each adapter.
constexpr double stepMs = 6.8;
constexpr double tokensPerMs = 22.1;
constexpr unsigned tokensPerEvent = 6;
constexpr double kneeSlope = 0.35;
constexpr Duration slowPhase = std::chrono::milliseconds{1200};
constexpr Duration longestPause = std::chrono::milliseconds{300};
constexpr Duration objective = std::chrono::milliseconds{1000};
constexpr Duration deadline = std::chrono::seconds{10};
constexpr Duration tick = std::chrono::milliseconds{2};
constexpr Duration reportDelay = std::chrono::milliseconds{25};
constexpr Duration digestInterval = std::chrono::milliseconds{400};
constexpr Duration runTime = std::chrono::seconds{12};
constexpr Duration warmUp = std::chrono::seconds{2};
constexpr Instant start{std::chrono::seconds{100}};

std::string engineName(unsigned index)
{
    return "e" + std::to_string(100 + index);
}

struct Stream {
    unsigned node = 0;
    LearntCall call;
    CallSend send;
    Instant arrival{};
    unsigned tokens = 0; ///< Left to generate.
    double unreadTokens = 0; ///< Of the prompt.
    double progress = 0; ///< Tokens of the next event.
    Instant lastEventAt{};
    Duration longest{};
    Duration firstEvent{};
};

struct Engine {
    double usual = 1; ///< Slowness outside slow phases.
    Instant slowFrom{};
    std::vector<std::shared_ptr<Stream>> streams;
    unsigned sends = 0;
};

struct Outcome {
    unsigned ended = 0;
    unsigned paused = 0; ///< Of these, with a pause over longestPause.
    unsigned late = 0; ///< Or with a late first event.
    unsigned refused = 0;
    double pausedShare() const
    {
        return static_cast<double>(paused) / std::max(1U, ended);
    }
    double lateShare() const
    {
        return static_cast<double>(late + refused) / std::max(1U, ended + refused);
    }
};

/// Engines that process prompts before the tokens of their streams, and nodes that choose among them as a forwarder
/// does.
class Fleet
{
public:
    Fleet(const FleetCase &load, Knowledge knowledge, unsigned seed)
        : m_load(load)
        , m_knowledge(knowledge)
        , m_adapters(load.engines / 2)
        , m_random(seed)
        , m_contexts(load.nodes)
        , m_engines(load.engines)
    {
        std::uniform_real_distribution<double> usual(0.85, 1.15);
        for (auto &engine : m_engines) {
            engine.usual = usual(m_random);
            engine.slowFrom = start + nextSound();
        }
        for (unsigned node = 0; node < load.nodes; ++node)
            setUp(m_contexts[node], node);
    }

    void runUntil(Instant end)
    {
        std::exponential_distribution<double> gap(m_load.streamsPerEngine * m_load.engines);
        for (; m_now < end; m_now += tick) {
            while (!m_events.empty() && m_events.begin()->first <= m_now)
                m_events.extract(m_events.begin()).mapped()();
            for (; m_nextArrival <= m_now; m_nextArrival += Duration{static_cast<int>(gap(m_random) * 1e6)})
                arrive();
            for (unsigned index = 0; index < m_load.engines; ++index)
                advance(index);
            for (unsigned node = 0; node < m_load.nodes; ++node) {
                if ((m_now - start) / tick % (digestInterval / tick) == node * 7 % (digestInterval / tick))
                    digest(node);
            }
        }
    }

    Outcome outcome;

    Engine &engine(unsigned index)
    {
        return m_engines[index];
    }

    /// Returns the slowness that a node assumes of an engine.
    double assumed(unsigned node, unsigned index)
    {
        auto &context = m_contexts[node];
        return slownessNow(*context.upstreams.find(engineName(index)), context.speeds["s"].speed(), m_now);
    }

private:
    void setUp(CallContext &context, unsigned node)
    {
        context.node = "n" + std::to_string(node);
        context.hasAdaptiveCapacity = m_knowledge == Knowledge::Learnt;
        context.onSend = [](const SendNotice &) {};
        context.speeds["s"].restoreStored({stepMs, tokensPerMs, 1000, 15});
        for (unsigned index = 0; index < m_load.engines; ++index) {
            UpstreamRecord record;
            record.instance = engineName(index);
            record.service = "s";
            record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index), false};
            record.slots = slots;
            for (unsigned copy = 0; copy < copies / 2; ++copy)
                record.targets.push_back({"m/a" + std::to_string((index + copy * 5) % m_adapters), 1});
            context.upstreams.onRecord(record, start - std::chrono::seconds{1});
        }
    }

    Duration nextSound()
    {
        std::exponential_distribution<double> sound(1 / std::chrono::duration<double>(m_load.sound).count());
        return Duration{static_cast<std::int64_t>(sound(m_random) * 1e6)};
    }

    double slownessAt(unsigned index)
    {
        const auto &engine = m_engines[index];
        const double crowd = m_load.knee > 0 && engine.streams.size() > m_load.knee
                                 ? 1 + kneeSlope * static_cast<double>(engine.streams.size() - m_load.knee)
                                 : 1;
        return engine.usual * crowd * (m_now >= engine.slowFrom ? m_load.slowFactor : 1);
    }

    void arrive()
    {
        const auto arrived = std::make_shared<Stream>();
        auto &stream = *arrived;
        stream.node = static_cast<unsigned>(m_random() % m_load.nodes);
        const bool isLong = m_random() % 3 > 0;
        stream.call = {"s",
                       "m/a" + std::to_string(m_random() % m_adapters),
                       isLong ? 1460.0 : 646.0,
                       false,
                       longestPause,
                       tokensPerEvent};
        stream.tokens = isLong ? 174 : 72;
        stream.unreadTokens = stream.call.promptTokens;
        stream.arrival = m_now;
        plan(arrived);
    }

    void plan(const std::shared_ptr<Stream> &planned)
    {
        auto &stream = *planned;
        auto &context = m_contexts[stream.node];
        if (m_knowledge == Knowledge::Exact) {
            for (unsigned index = 0; index < m_load.engines; ++index) {
                auto &capacity = context.upstreams.find(engineName(index))->capacity;
                capacity = {};
                const double ms = slownessAt(index) * context.speeds["s"].speed().stepMs;
                capacity.addOwn(ms, ms, 1e6, m_now);
            }
        }
        UpstreamDemand demand{"s", stream.call.target, 0, "", nullptr, {}, stream.call.promptTokens, {}, {}};
        demand.pace = {longestPause, tokensPerEvent, 1};
        demand.speed = context.speeds["s"].speed();
        demand.latestSend = stream.arrival + deadline / 2;
        demand.spreadSeed = m_random();
        demand.wantedBy = stream.arrival + objective;
        const auto choice = chooseUpstream(context.upstreams, demand, m_now);
        if (!choice || choice->sendAt > demand.latestSend) {
            outcome.refused += isCounted(stream) ? 1 : 0;
            return;
        }
        if (choice->isFull)
            return at(choice->sendAt, [this, planned] { plan(planned); });
        announce(stream.node, {choice->instance, stream.call.promptTokens, choice->sendAt - m_now, 0});
        if (choice->sendAt <= m_now)
            return send(planned, choice->instance);
        at(choice->sendAt, [this, planned, instance = choice->instance, demand]() mutable {
            auto &stream = *planned;
            auto &known = m_contexts[stream.node];
            auto *upstream = known.upstreams.find(instance);
            demand.speed = known.speeds["s"].speed();
            if (upstream->inFlight() < upstream->usableSlots(m_now)
                && !wouldStall(*upstream, demand.pace, demand.speed, m_now))
                return send(planned, instance);
            announce(stream.node, {instance, -stream.call.promptTokens, {}, 0});
            plan(planned);
        });
    }

    void send(const std::shared_ptr<Stream> &sent, const std::string &instance)
    {
        auto &stream = *sent;
        auto *upstream = m_contexts[stream.node].upstreams.find(instance);
        stream.send.instance = instance;
        stream.send.sentAt = m_now;
        stream.send.inFlightAtSend = upstream->inFlight();
        const auto speed = m_contexts[stream.node].speeds["s"].speed();
        stream.send.slownessAtSend = slownessNow(*upstream, speed, m_now);
        stream.send.prefillBacklogAtSend
            = std::max(stream.call.promptTokens,
                       upstream->prompts.prefillBacklog(speed.promptTokensPerMs / stream.send.slownessAtSend, m_now));
        ++upstream->ownInFlight;
        auto &engine = m_engines[static_cast<unsigned>(std::stoi(instance.substr(1))) - 100];
        ++engine.sends;
        engine.streams.push_back(sent);
    }

    /// Records a prompt at its node at once, and at the others after the delay of reports.
    void announce(unsigned node, const SendNotice &notice)
    {
        auto &context = m_contexts[node];
        context.announceSend(notice, m_now);
        NodeReport report;
        report.sends.push_back(notice);
        report.changedInFlight[notice.instance] = context.upstreams.find(notice.instance)->ownInFlight + 1;
        CapacityLearner(context).addNews(report, m_now);
        deliver(node, std::move(report));
    }

    void digest(unsigned node)
    {
        NodeReport report;
        report.hasInFlight = true;
        for (auto &[instance, upstream] : m_contexts[node].upstreams.all()) {
            if (upstream.ownInFlight > 0)
                report.inFlight[instance] = upstream.ownInFlight;
            addStep(report, upstream, m_now);
        }
        report.speeds.push_back({"s", m_contexts[node].speeds["s"].learnt()});
        deliver(node, std::move(report));
    }

    void deliver(unsigned from, NodeReport report)
    {
        report.sequence = ++m_sequence;
        const auto sentAt = m_now;
        at(m_now + reportDelay, [this, from, sentAt, report = std::move(report)] {
            for (unsigned node = 0; node < m_load.nodes; ++node) {
                if (node != from)
                    receive(m_contexts[node], m_contexts[from].node, report, m_now - sentAt);
            }
        });
    }

    void receive(CallContext &context, const std::string &from, const NodeReport &report, Duration age)
    {
        const ReportStamp stamp{from, 1, report.sequence};
        if (report.hasInFlight)
            context.upstreams.onPeerLoads(stamp, report.inFlight);
        for (const auto &[instance, count] : report.changedInFlight)
            context.upstreams.onPeerLoad(stamp, instance, count);
        for (auto notice : report.sends) {
            notice.in -= age;
            applySendNotice(context.upstreams, from, notice, m_now);
        }
        for (const auto &notice : report.speeds)
            context.speeds["s"].onPeerReport(notice.speed);
        for (auto notice : report.steps) {
            notice.age += age;
            CapacityLearner(context).onNotice(notice, m_now);
        }
    }

    void advance(unsigned index)
    {
        auto &engine = m_engines[index];
        if (m_now > engine.slowFrom + slowPhase)
            engine.slowFrom = m_now + nextSound();
        const double slowness = slownessAt(index);
        double ms = std::chrono::duration<double, std::milli>(tick).count();
        for (const auto &stream : engine.streams) {
            const double read = std::min(stream->unreadTokens, ms * tokensPerMs / slowness);
            stream->unreadTokens -= read;
            ms -= read * slowness / tokensPerMs;
        }
        for (const auto &running : engine.streams) {
            auto &stream = *running;
            if (stream.unreadTokens <= 0)
                stream.progress += ms / (slowness * stepMs);
            const auto due = std::min(tokensPerEvent, stream.tokens);
            if (stream.progress < due)
                continue;
            stream.progress -= due;
            stream.tokens -= due;
            onEvent(stream);
        }
        std::erase_if(engine.streams, [](const auto &stream) { return stream->tokens == 0; });
    }

    void onEvent(Stream &stream)
    {
        auto &context = m_contexts[stream.node];
        CapacityLearner learner(context);
        if (stream.lastEventAt == Instant{}) {
            stream.firstEvent = m_now - stream.arrival;
            learner.onFirstEvent(stream.call, stream.send, m_now);
        } else {
            stream.longest = std::max(stream.longest, m_now - stream.lastEventAt);
            learner.onEvent(stream.call, stream.send, m_now - stream.lastEventAt, m_now);
        }
        stream.lastEventAt = m_now;
        if (stream.tokens > 0)
            return;
        --context.upstreams.find(stream.send.instance)->ownInFlight;
        auto *upstream = context.upstreams.find(stream.send.instance);
        upstream->lastEventAt = {};
        if (upstream->inFlight() + 1 >= 0.75 * upstream->usableSlots(m_now)) {
            NodeReport report;
            report.changedInFlight[stream.send.instance] = upstream->ownInFlight;
            learner.addNews(report, m_now);
            deliver(stream.node, std::move(report));
        }
        if (!isCounted(stream))
            return;
        ++outcome.ended;
        outcome.paused += stream.longest > longestPause ? 1 : 0;
        outcome.late += stream.longest > longestPause || stream.firstEvent > objective ? 1 : 0;
    }

    static bool isCounted(const Stream &stream)
    {
        return stream.arrival > start + warmUp;
    }

    void at(Instant time, std::function<void()> action)
    {
        m_events.emplace(std::max(time, m_now + tick), std::move(action));
    }

    FleetCase m_load;
    Knowledge m_knowledge;
    unsigned m_adapters;
    std::mt19937 m_random;
    std::vector<CallContext> m_contexts;
    std::vector<Engine> m_engines;
    std::multimap<Instant, std::function<void()>> m_events;
    std::uint64_t m_sequence = 0;
    Instant m_now = start;
    Instant m_nextArrival = start;
};

constexpr unsigned seeds = 2;
/// Share of streams that pause because slow phases show only in the pauses that they cause.
constexpr double maxLearningLoss = 0.08;
constexpr double maxRatioToLasting = 0.75;
constexpr double maxOverloadLoss = 0.1;
constexpr double maxFurtherLoss = 0.01; ///< Share of streams that are late or refused, but don't pause.

Outcome outcomeOf(const FleetCase &load, Knowledge knowledge)
{
    Outcome sum;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(load, knowledge, seed);
        fleet.runUntil(start + runTime);
        sum.ended += fleet.outcome.ended;
        sum.paused += fleet.outcome.paused;
        sum.late += fleet.outcome.late;
        sum.refused += fleet.outcome.refused;
    }
    return sum;
}

const FleetCase fleets[] = {
    {"one node, slow phases", 1, 24, 2, std::chrono::seconds{4}, 0, 3.9},
    {"89 nodes, slow phases", 89, 140, 2, std::chrono::seconds{4}, 0, 3.9},
    {"15 nodes, slow from half the slots", 15, 24, 1, std::chrono::seconds{4}, slots / 2, 3.6},
};

/// Loads that the engines cannot serve in time, whatever the nodes know.
const FleetCase overloads[] = {
    {"steady, 10 streams per second", 15, 24, 1, std::chrono::seconds{4}, 0, 10},
    {"slow phases, 7 streams per second", 15, 24, 2, std::chrono::seconds{4}, 0, 7},
    {"slow from half the slots, 4.5 streams per second", 15, 24, 1, std::chrono::seconds{4}, slots / 2, 4.5},
};

} // namespace

/// Guards against estimates that follow an engine too late to keep prompts away from it while it is slow.
TABLE_TEST(CapacityLearner, pausesNearlyAsRarelyAsWithExactKnowledge, fleets)
{
    const auto lasting = outcomeOf(row, Knowledge::Lasting);
    const auto learnt = outcomeOf(row, Knowledge::Learnt);
    const auto exact = outcomeOf(row, Knowledge::Exact);
    cr_assert_leq(learnt.pausedShare(), exact.pausedShare() + maxLearningLoss, "%f and %f", learnt.pausedShare(),
                  exact.pausedShare());
    cr_assert_leq(learnt.pausedShare(), maxRatioToLasting * lasting.pausedShare(), "%f and %f", learnt.pausedShare(),
                  lasting.pausedShare());
    cr_assert_leq(learnt.lateShare(), learnt.pausedShare() + maxFurtherLoss, "%f", learnt.lateShare());
}

/// Guards against limits and penalties that keep requests away from engines when all of them are needed.
TABLE_TEST(CapacityLearner, servesNoLessUnderOverload, overloads)
{
    const auto lasting = outcomeOf(row, Knowledge::Lasting);
    const auto learnt = outcomeOf(row, Knowledge::Learnt);
    cr_assert_leq(learnt.lateShare(), lasting.lateShare() + maxOverloadLoss, "%f and %f", learnt.lateShare(),
                  lasting.lateShare());
    cr_assert_geq(learnt.ended, (1 - maxOverloadLoss) * lasting.ended, "%u and %u", learnt.ended, lasting.ended);
}

namespace
{

const FleetCase steady{"15 nodes, steady", 15, 24, 1, std::chrono::seconds{4}, 0, 3.9};

/// Returns the streams sent to the first engine and to each on average during the next @p time.
std::pair<double, double> sendsDuring(Fleet &fleet, Instant &now, Duration time)
{
    double before = fleet.engine(0).sends;
    double all = 0;
    for (unsigned index = 0; index < steady.engines; ++index)
        all -= fleet.engine(index).sends;
    fleet.runUntil(now += time);
    for (unsigned index = 0; index < steady.engines; ++index)
        all += fleet.engine(index).sends;
    return {fleet.engine(0).sends - before, all / steady.engines};
}

} // namespace

/// Guards against an engine that is avoided long after it was slow, and against one that is never tried again.
Test(CapacityLearner, returnsToAnEngineWithinThreeSecondsAndNeverStarvesIt)
{
    Fleet fleet(steady, Knowledge::Learnt, 1);
    auto now = start;
    sendsDuring(fleet, now, std::chrono::seconds{3});
    fleet.engine(0).usual = 4;
    int idle = 0; // Half seconds without a request there.
    for (int i = 0; i < 40; ++i) {
        sendsDuring(fleet, now, std::chrono::milliseconds{500});
        idle = fleet.engine(0).streams.empty() ? idle + 1 : 0;
        cr_assert_leq(idle, 8);
    }
    const auto [slowSent, slowAverage] = sendsDuring(fleet, now, std::chrono::seconds{5});
    cr_assert_leq(slowSent, slowAverage / 2, "%f of %f", slowSent, slowAverage);
    fleet.engine(0).usual = 1;
    sendsDuring(fleet, now, std::chrono::seconds{3});
    const auto [sent, average] = sendsDuring(fleet, now, std::chrono::seconds{3});
    cr_assert_geq(sent, average / 2, "%f of %f", sent, average);
    for (unsigned node = 0; node < steady.nodes; ++node)
        cr_assert_leq(fleet.assumed(node, 0), 1.6, "%f", fleet.assumed(node, 0));
}

/// Guards against answer times of plain upstreams that are learnt, but don't keep requests from a slow one.
Test(CapacityLearner, plainServiceAvoidsSlowUpstreamAndLimitsCrowdedOne)
{
    CallContext context;
    context.hasAdaptiveCapacity = true;
    CapacityLearner learner(context);
    for (const auto *instance : {"crowded", "sound", "sound2"}) {
        UpstreamRecord record;
        record.instance = instance;
        record.service = "p";
        record.slots = 6;
        context.upstreams.onRecord(record, start);
    }
    const LearntCall call{"p", {}};
    auto *crowded = context.upstreams.find("crowded");
    auto now = start;
    for (; now < start + std::chrono::seconds{2}; now += std::chrono::milliseconds{20}) {
        for (const auto *instance : {"crowded", "sound", "sound2"}) {
            CallSend send;
            send.instance = instance;
            send.sentAt = now - std::chrono::milliseconds{instance == std::string("crowded") ? 60 : 15};
            crowded->ownInFlight = 6;
            learner.onAnswer(call, send, now);
        }
    }
    cr_assert_gt(slownessNow(*crowded, context.speeds["p"].speed(), now), 3);
    cr_assert_leq(crowded->usableSlots(now), 3U);
    cr_assert_eq(context.upstreams.find("sound")->usableSlots(now), 6U);
    crowded->ownInFlight = 0;
    UpstreamDemand demand{"p", {}, 0, "", nullptr, {}, 0, {}, {}};
    demand.speed = context.speeds["p"].speed();
    cr_assert_neq(chooseUpstream(context.upstreams, demand, now)->instance, std::string("crowded"));
    // Another process of the instance is not known to be slow.
    auto successor = crowded->record;
    successor.startedAt = 7;
    context.upstreams.onRecord(successor, now);
    cr_assert_eq(crowded->usableSlots(now), 6U);
    cr_assert_eq(slownessNow(*crowded, demand.speed, now), 1);
}

/// Guards against samples from pauses that a stall of this node has caused.
Test(CapacityLearner, ignoresPausesOfAStalledNode)
{
    CallContext context;
    context.hasAdaptiveCapacity = true;
    CapacityLearner learner(context);
    UpstreamRecord record;
    record.instance = "e";
    record.service = "s";
    record.targets = {{"m/a", 1}};
    context.upstreams.onRecord(record, start);
    CallSend send;
    send.instance = "e";
    const LearntCall call{"s", "m/a", 1460, false, longestPause, tokensPerEvent};
    auto now = start;
    const auto runFor = [&](Duration pause, int events, Duration tickGap) {
        for (int i = 0; i < events; ++i) {
            now += pause;
            if (tickGap <= pause)
                learner.onTick(now);
            learner.onEvent(call, send, pause, now);
        }
    };
    learner.onTick(now);
    runFor(std::chrono::milliseconds{60}, 30, std::chrono::milliseconds{50});
    const double before = slownessNow(*context.upstreams.find("e"), context.speeds["s"].speed(), now);
    runFor(std::chrono::milliseconds{400}, 3, std::chrono::milliseconds{400});
    const double after = slownessNow(*context.upstreams.find("e"), context.speeds["s"].speed(), now);
    cr_assert_leq(after, 1.5 * before, "%f after %f", after, before);
}
