#include "ownership/fakes.h"

namespace Gypsumtally::Testing
{

EngineFake::EngineFake(Simulation &simulation, History &history, std::size_t slots, bool checksToken)
    : m_simulation(simulation)
    , m_history(history)
    , m_slots(slots)
    , m_checksToken(checksToken)
{
    restart();
    takeSnapshot();
}

void EngineFake::restart()
{
    m_incarnation = "engine" + std::to_string(++m_starts);
    m_loaded.clear();
    m_loading.clear();
    m_token = 0;
    while (!m_running.empty())
        endRequest(m_running.begin()->first);
    m_snapshot = {m_incarnation, m_simulation.now(), m_slots, {}, {}, 0, {}};
}

void EngineFake::order(const SendOrder &order, const std::string &sender, std::function<void(SendOutcome)> done)
{
    if (m_checksToken && order.epoch < m_token)
        return done(SendOutcome::Refused);
    m_token = std::max(m_token, order.epoch);
    if (order.kind == OrderKind::Unload) {
        if (m_loaded.erase(order.adapter) == 0)
            return done(SendOutcome::Refused);
        m_history.push_back({HistoryKind::Evicted, m_simulation.now(), {}, order.adapter, {}, sender});
        return done(SendOutcome::Done);
    }
    const bool isFull = m_loaded.size() + m_loading.size() >= m_slots;
    if (isFull || m_loaded.contains(order.adapter) || !m_loading.insert(order.adapter).second)
        return done(SendOutcome::Refused);
    m_simulation.after(loadTime, [this, order, done = std::move(done), incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return done(SendOutcome::Unknown);
        m_loading.erase(order.adapter);
        m_loaded.insert(order.adapter);
        done(SendOutcome::Done);
    });
}

void EngineFake::request(const std::string &id, const AdapterVersion &adapter, Duration duration,
                         std::function<void(SendOutcome)> done)
{
    m_running.emplace(id, adapter);
    if (!m_loaded.contains(adapter)) {
        endRequest(id);
        return done(SendOutcome::Refused);
    }
    m_simulation.after(duration, [this, id, adapter, done = std::move(done), incarnation = m_incarnation] {
        if (incarnation != m_incarnation)
            return done(SendOutcome::Unknown);
        m_history.push_back({HistoryKind::Served, m_simulation.now(), id, adapter, {}, {}});
        endRequest(id);
        done(SendOutcome::Done);
    });
}

const EngineReport &EngineFake::report() const
{
    return m_snapshot;
}

const std::string &EngineFake::incarnation() const
{
    return m_incarnation;
}

void EngineFake::takeSnapshot()
{
    m_snapshot = {m_incarnation,
                  m_simulation.now(),
                  m_slots,
                  {m_loaded.begin(), m_loaded.end()},
                  {m_loading.begin(), m_loading.end()},
                  0,
                  {}};
    for (const auto &[id, adapter] : m_running)
        m_snapshot.running.push_back(id);
    m_simulation.after(maxReportAge, [this] { takeSnapshot(); });
}

void EngineFake::endRequest(const std::string &id)
{
    const auto found = m_running.find(id);
    m_history.push_back({HistoryKind::Ended, m_simulation.now(), id, found->second, {}, {}});
    m_running.erase(found);
}

} // namespace Gypsumtally::Testing
