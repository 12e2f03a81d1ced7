#include "load/gypsumtallypolicy.h"

namespace Gypsumtally::Load
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration keyValueTime = milliseconds{4};
constexpr Duration keyValueRetry = seconds{5};
constexpr Duration storeRetry = milliseconds{350};

} // namespace

void GypsumtallyPolicy::apply(EngineNumber engine, const SchedulerActions &actions)
{
    for (const auto &action : actions)
        std::visit([&](const auto &a) { apply(engine, a); }, action);
}

void GypsumtallyPolicy::apply(EngineNumber engine, const DispatchCall &action)
{
    m_fleet.start(engine, *m_fleet.find(action.call));
}

void GypsumtallyPolicy::apply(EngineNumber engine, const RequestLoad &action)
{
    const auto broker = brokerOf(engine);
    const auto travel = m_fleet.hop(m_fleet.engines[engine].region, regionOfBroker(broker));
    m_fleet.events.after(travel, [this, engine, broker, action] {
        m_brokers[broker]->ask({m_engines[engine].id, action.adapter, action.priority}, m_fleet.events.now());
        pumpBroker(broker);
    });
}

void GypsumtallyPolicy::apply(EngineNumber engine, const WithdrawLoad &action)
{
    const auto travel = m_fleet.hop(m_fleet.engines[engine].region, regionOfBroker(brokerOf(engine)));
    m_fleet.events.after(travel, [this, engine, action] {
        for (auto &broker : m_brokers)
            broker->withdraw(m_engines[engine].id, action.adapter);
    });
}

void GypsumtallyPolicy::apply(EngineNumber number, const LoadAdapter &action)
{
    auto &engine = m_engines[number];
    const auto adapter = numberOf(action.adapter);
    const auto broker = brokerOf(number);
    if (engine.givenUp.contains(adapter) && m_fleet.keyValueDown()) {
        m_brokers[broker]->finished(engine.id, action.adapter);
        engine.scheduler->loadDenied(action.adapter, keyValueRetry, m_fleet.events.now());
        return;
    }
    engine.givenUp.erase(adapter);
    m_fleet.load(number, adapter, [this, number, broker, action, epoch = engine.epoch](LoadOutcome outcome) {
        auto &target = m_engines[number];
        if (outcome == LoadOutcome::Lost || target.epoch != epoch)
            return;
        const auto now = m_fleet.events.now();
        if (outcome == LoadOutcome::Loaded) {
            m_brokers[broker]->finished(target.id, action.adapter);
            target.scheduler->loaded(action.adapter, now);
        } else {
            m_brokers[broker]->refused(target.id, action.adapter, storeRetry, now);
            target.scheduler->loadDenied(action.adapter, storeRetry, now);
        }
        pump(number);
        pumpBroker(broker);
    });
}

void GypsumtallyPolicy::apply(EngineNumber number, const EvictAdapter &action)
{
    m_fleet.events.after(2 * m_fleet.deployment().domainHop, [this, number, action, epoch = m_engines[number].epoch] {
        if (m_engines[number].epoch != epoch)
            return;
        m_fleet.evict(number, numberOf(action.adapter));
        m_engines[number].scheduler->evicted(action.adapter, m_fleet.events.now());
        pump(number);
    });
}

void GypsumtallyPolicy::apply(EngineNumber number, const GiveUpAdapter &action)
{
    const auto adapter = numberOf(action.adapter);
    m_engines[number].pendingGiveUps.insert(adapter);
    m_fleet.events.after(keyValueTime, [this, number, adapter, action, epoch = m_engines[number].epoch] {
        auto &engine = m_engines[number];
        if (engine.epoch != epoch)
            return;
        engine.pendingGiveUps.erase(adapter);
        if (m_fleet.keyValueDown()) {
            engine.scheduler->giveUpFailed(action.adapter, keyValueRetry, m_fleet.events.now());
        } else {
            engine.givenUp.insert(adapter);
            engine.scheduler->givenUp(action.adapter, m_fleet.events.now());
        }
        pump(number);
    });
}

void GypsumtallyPolicy::apply(EngineNumber engine, const RejectCall &action)
{
    const bool elsewhere = action.failure.code == ErrorCode::Overloaded
                           || action.failure.code == ErrorCode::PlatformUnavailable
                           || action.failure.code == ErrorCode::UpstreamLost;
    m_fleet.events.after(Duration{0}, [this, engine, id = action.call, elsewhere] { refused(engine, id, elsewhere); });
}

void GypsumtallyPolicy::pumpBroker(std::size_t number)
{
    auto &broker = *m_brokers[number];
    const auto now = m_fleet.events.now();
    for (const auto &ticket : broker.grants(now)) {
        const auto engine = engineOf(ticket.upstream);
        const auto travel = m_fleet.hop(m_fleet.engines[engine].region, regionOfBroker(number));
        m_fleet.events.after(travel, [this, engine, adapter = ticket.adapter] {
            m_engines[engine].scheduler->loadGranted(adapter, m_fleet.events.now());
            pump(engine);
        });
    }
    const auto wake = broker.nextWake(now);
    auto &planned = m_brokerWake[number];
    if (!wake || (planned && *planned <= *wake && *planned > now))
        return;
    planned = std::max(*wake, now + milliseconds{1});
    m_fleet.events.after(*planned - now, [this, number] { pumpBroker(number); });
}

std::size_t GypsumtallyPolicy::brokerOf(EngineNumber engine) const
{
    return m_fleet.connected(m_fleet.engines[engine].region, 0) ? 0 : 1;
}

std::uint32_t GypsumtallyPolicy::regionOfBroker(std::size_t broker) const
{
    return broker == 0 ? 0 : m_fleet.deployment().regions - 1;
}

} // namespace Gypsumtally::Load
