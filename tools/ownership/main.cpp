#include "ownership/simulation.h"
#include "ownership/upstreamowner.h"
#include "support/fakekeyvalue.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;
using namespace std::chrono_literals;

namespace
{

/// A strategy to ensure that no adapter is evicted while a request is using it.
struct Strategy {
    const char *name;
    std::size_t spare; ///< Number of adapters to give up in advance.
    std::size_t refillBelow; ///< More adapters are given up when fewer than this number are left.
    bool recordsEvictions; ///< Only adapters given up in the ownership record are evicted.
    Duration takeOverWait; ///< Delay of a takeover if the former owner does not respond.
};

struct Scenario {
    const char *name;
    Duration keyValueHop;
    Duration outage; ///< Duration of the key-value service's outage, which starts at `disturbedAt`.
    bool hasTakeover; ///< A new owner takes over at `disturbedAt`.
    Duration formerUnresponsive; ///< Time from `disturbedAt` during which the former owner answers no release request.
};

const Strategy strategies[] = {
    {"2 given up in advance", 2, 2, true, 0s},
    {"4 given up in advance", 4, 4, true, 0s},
    {"4 in advance, given up in pairs", 4, 3, true, 0s},
    {"record written before each eviction", 0, 0, true, 0s},
    {"10 s lease, takeover after expiry", 0, 0, false, 10s},
    {"fencing token checked by the engine", 0, 0, false, 0s},
};

const Scenario scenarios[] = {
    {"steady, hop 2 ms", 2ms, 0s, false, 0s},
    {"steady, hop 100 ms", 100ms, 0s, false, 0s},
    {"outage of 20 s", 2ms, 20s, false, 0s},
    {"hand-over", 2ms, 0s, true, 0s},
    {"former owner frozen for 20 s", 2ms, 0s, true, 20s},
};

constexpr std::size_t slots = 8;
constexpr std::size_t adapterCount = 200;
constexpr Duration loadTime = 250ms;
constexpr Duration engineHop = 2ms;
constexpr Duration meanInterval = 667ms; ///< Between two requests for a random adapter.
constexpr Instant disturbedAt = Instant{} + 60s;
constexpr Duration disturbance = 20s;
constexpr Instant end = Instant{} + 120s;

class Trial
{
public:
    Trial(const Strategy &strategy, const Scenario &scenario, std::uint64_t seed)
        : m_strategy(strategy)
        , m_scenario(scenario)
        , m_simulation(seed)
    {
        m_former = makeOwner("node0");
        m_owner = m_former.get();
        act([this](auto &actions) { m_owner->acquire(m_simulation.now(), actions); });
        tick();
        m_simulation.at(Instant{} + 1s, [this] { requestAdapter(); });
        if (scenario.hasTakeover)
            m_simulation.at(disturbedAt, [this] { takeOver(); });
    }

    void run()
    {
        m_simulation.runUntil(end);
        std::ranges::sort(m_waits);
        Duration sum{};
        for (const auto wait : m_waits)
            sum += wait;
        const auto ms = [](Duration duration) { return static_cast<double>(duration.count()) / 1000; };
        std::printf("| %s | %s | %zu | %.2f | %.0f | %.0f | %.0f | %zu |\n", m_scenario.name, m_strategy.name,
                    m_waits.size(), static_cast<double>(m_calls) / static_cast<double>(m_loads),
                    ms(sum / static_cast<Duration::rep>(std::max<std::size_t>(m_waits.size(), 1))),
                    ms(m_waits[m_waits.size() * 99 / 100]), ms(m_waits.back()), m_queue.size());
    }

private:
    struct PendingLoad {
        AdapterVersion adapter;
        Instant since;
    };

    std::unique_ptr<UpstreamOwner> makeOwner(const char *node)
    {
        Detail::Safeguards guards;
        guards.evictOnlyGivenUp = m_strategy.recordsEvictions;
        return std::make_unique<UpstreamOwner>(UpstreamId{"engine"}, UpstreamKind::Engine, Predecessor{{node}, {node}},
                                               OwnershipSettings{}, guards);
    }

    template<typename Event>
    void act(Event event)
    {
        OwnershipActions actions;
        event(actions);
        perform(*m_owner, actions);
    }

    void perform(UpstreamOwner &owner, const OwnershipActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *call = std::get_if<KeyCall>(&action))
                sendKeyCall(owner, *call);
            else if (const auto *order = std::get_if<SendOrder>(&action))
                sendOrder(owner, *order);
            else if (const auto *ask = std::get_if<AskRelease>(&action))
                askRelease(owner, *ask);
        }
    }

    void sendKeyCall(UpstreamOwner &owner, const KeyCall &call)
    {
        const auto now = m_simulation.now();
        ++m_calls;
        if (now >= disturbedAt && now < disturbedAt + m_scenario.outage) {
            m_simulation.after(0s, [this, &owner, call] { reply(owner, call.tag, {KeyOutcome::Unavailable, 0, {}}); });
            return;
        }
        m_simulation.after(m_scenario.keyValueHop, [this, &owner, call] {
            const KeyReply answer = m_keyValue.apply(call);
            m_simulation.after(m_scenario.keyValueHop,
                               [this, &owner, call, answer] { reply(owner, call.tag, answer); });
        });
    }

    void reply(UpstreamOwner &owner, std::uint64_t tag, const KeyReply &answer)
    {
        OwnershipActions actions;
        owner.keyReply(tag, answer, m_simulation.now(), actions);
        perform(owner, actions);
        pump();
    }

    void sendOrder(UpstreamOwner &owner, const SendOrder &order)
    {
        const bool isLoad = order.kind == OrderKind::Load;
        m_evicting += !isLoad;
        m_simulation.after(2 * engineHop + (isLoad ? loadTime : 0s), [this, &owner, order, isLoad] {
            m_evicting -= !isLoad;
            std::erase(m_loaded, order.adapter);
            if (isLoad)
                m_loaded.push_back(order.adapter);
            OwnershipActions actions;
            owner.orderEnded(order.id, SendOutcome::Done, m_simulation.now(), actions);
            perform(owner, actions);
            if (isLoad)
                served(order.adapter);
            pump();
        });
    }

    void askRelease(UpstreamOwner &owner, const AskRelease &ask)
    {
        if (m_simulation.now() < disturbedAt + m_scenario.formerUnresponsive)
            return;
        m_simulation.after(2 * engineHop, [this, &owner, ask] {
            OwnershipActions actions;
            const bool isFinished = m_former->releaseAsked(ask.newEpoch, m_simulation.now(), actions);
            owner.releaseAnswered(ask.incarnation, ask.newEpoch, isFinished, m_simulation.now(), actions);
            perform(owner, actions);
            pump();
        });
    }

    void takeOver()
    {
        m_successor = makeOwner("node1");
        m_owner = m_successor.get();
        // An owner that responds releases its lease, so that its expiry need not be awaited.
        const Duration wait = m_scenario.formerUnresponsive > 0s ? m_strategy.takeOverWait : Duration{};
        m_simulation.after(wait,
                           [this] { act([this](auto &actions) { m_owner->acquire(m_simulation.now(), actions); }); });
    }

    void tick()
    {
        act([this](auto &actions) {
            m_owner->engineReported({"engine", m_simulation.now(), slots, m_loaded, {}, 0, {}}, m_simulation.now(),
                                    actions);
            m_owner->tick(m_simulation.now(), actions);
        });
        pump();
        m_simulation.after(100ms, [this] { tick(); });
    }

    void requestAdapter()
    {
        const AdapterVersion adapter{"base", "a" + std::to_string(m_simulation.below(adapterCount)), "1"};
        const bool isWaiting = std::ranges::count(m_queue, adapter, &PendingLoad::adapter) != 0;
        if (!isWaiting && !std::ranges::count(m_loaded, adapter)
            && !std::ranges::count(m_loading, adapter, &PendingLoad::adapter))
            m_queue.push_back({adapter, m_simulation.now()});
        pump();
        m_simulation.after(m_simulation.between(0s, 2 * meanInterval), [this] { requestAdapter(); });
    }

    /// Starts queued loads, evicts the adapters loaded longest ago to make room for them, and gives up further
    /// adapters.
    void pump()
    {
        if (m_pumping)
            return;
        m_pumping = true;
        act([this](auto &actions) { startLoads(actions); });
        act([this](auto &actions) { startEvictions(actions); });
        m_pumping = false;
    }

    void startLoads(OwnershipActions &actions)
    {
        std::erase_if(m_queue, [&](const PendingLoad &wanted) {
            if (m_owner->isGivenUp(wanted.adapter))
                m_owner->takeBack(wanted.adapter, m_simulation.now(), actions);
            if (!m_owner->load(wanted.adapter, actions))
                return false;
            m_loading.push_back(wanted);
            return true;
        });
    }

    void startEvictions(OwnershipActions &actions)
    {
        const std::size_t available = m_owner->freeSlots() + m_evicting;
        std::size_t shortage = m_queue.size() > available ? m_queue.size() - available : 0;
        const std::vector<AdapterVersion> oldestFirst = m_loaded;
        std::size_t spare = 0;
        for (const auto &adapter : oldestFirst) {
            if (shortage > 0 && m_owner->evict(adapter, actions))
                --shortage;
            else
                spare += m_owner->isGivenUp(adapter);
        }
        const bool isShort = shortage > 0 || spare < m_strategy.refillBelow;
        if (!m_strategy.recordsEvictions || !isShort)
            return;
        std::vector<AdapterVersion> cold;
        for (const auto &adapter : oldestFirst) {
            if (spare + cold.size() < m_strategy.spare + shortage && m_owner->mayGiveUp(adapter, m_simulation.now()))
                cold.push_back(adapter);
        }
        m_owner->giveUp(cold, m_simulation.now(), actions);
    }

    void served(const AdapterVersion &adapter)
    {
        const auto found = std::ranges::find(m_loading, adapter, &PendingLoad::adapter);
        if (found == m_loading.end())
            return;
        ++m_loads;
        const bool isDisturbed = m_scenario.outage > 0s || m_scenario.hasTakeover;
        const bool isInWindow = found->since >= disturbedAt && found->since < disturbedAt + disturbance;
        if (!isDisturbed || isInWindow)
            m_waits.push_back(m_simulation.now() - found->since);
        m_loading.erase(found);
    }

    const Strategy &m_strategy;
    const Scenario &m_scenario;
    Simulation m_simulation;
    std::unique_ptr<UpstreamOwner> m_former;
    std::unique_ptr<UpstreamOwner> m_successor;
    UpstreamOwner *m_owner = nullptr;
    FakeKeyValue m_keyValue;
    std::vector<AdapterVersion> m_loaded; ///< In the order of loading, oldest first.
    std::deque<PendingLoad> m_queue;
    std::vector<PendingLoad> m_loading;
    std::vector<Duration> m_waits;
    std::size_t m_evicting = 0;
    std::size_t m_calls = 0;
    std::size_t m_loads = 0;
    bool m_pumping = false;
};

} // namespace

/// Prints a table with the key-value calls per load and the wait times for loads of each strategy.
int main()
{
    std::puts(
        "| scenario | strategy | loads | key-value calls per load | mean wait, ms | p99, ms | max, ms | not loaded |");
    std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const auto &scenario : scenarios) {
        for (const auto &strategy : strategies)
            Trial(strategy, scenario, 1).run();
    }
}
