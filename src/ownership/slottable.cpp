#include "ownership/slottable.h"

#include <algorithm>

namespace Gypsumtally
{

SlotTable::SlotTable(Incarnation self, Duration lateBytesBound, Detail::Safeguards guards)
    : m_self(std::move(self))
    , m_lateBytesBound(lateBytesBound)
    , m_guards(guards)
{
}

void SlotTable::engineReported(EngineReport report)
{
    if (m_report && report.asOf < m_report->asOf)
        return;
    const bool isSameEngine = m_report && m_report->engineIncarnation == report.engineIncarnation;
    if (m_report && !isSameEngine)
        m_previousEngineSeen = m_report->asOf;
    m_report = std::move(report);
    updateResidency(isSameEngine);
    std::erase_if(m_orders, [this](const auto &entry) { return isOrderSettled(entry.second); });
    std::erase_if(m_requests, [this](const auto &entry) { return isRequestSettled(entry.first, entry.second); });
}

RequestNumber SlotTable::beginRequest(std::optional<AdapterVersion> adapter)
{
    m_requests.emplace(m_nextRequest, SentRequest{std::move(adapter), std::nullopt, false});
    return m_nextRequest++;
}

void SlotTable::endRequest(RequestNumber number, SendOutcome outcome, Instant now)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    const bool isOver = outcome != SendOutcome::Unknown && outcome != SendOutcome::Cut;
    if (isOver || !m_guards.lostRequestsCount) {
        m_requests.erase(found);
        return;
    }
    found->second.endedAt = now;
    found->second.answerBegan = outcome == SendOutcome::Cut;
}

OrderId SlotTable::beginOrder(OrderKind kind, const AdapterVersion &adapter)
{
    m_orders.emplace(m_nextOrder, Order{kind, adapter, std::nullopt});
    return m_nextOrder++;
}

void SlotTable::endOrder(OrderId id, SendOutcome outcome, Instant now)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end())
        return;
    Order &order = found->second;
    if (outcome == SendOutcome::Unknown || outcome == SendOutcome::Cut) {
        order.endedAt = now;
        return;
    }
    if (outcome == SendOutcome::Done)
        m_residency.insert_or_assign(order.adapter, Residency{order.kind == OrderKind::Load, now});
    m_orders.erase(found);
}

bool SlotTable::hasReport() const
{
    return m_report.has_value();
}

bool SlotTable::isLoaded(const AdapterVersion &adapter) const
{
    const auto found = m_residency.find(adapter);
    return found != m_residency.end() && found->second.isLoaded;
}

std::vector<AdapterVersion> SlotTable::loaded() const
{
    std::vector<AdapterVersion> adapters;
    for (const auto &[adapter, residency] : m_residency) {
        if (residency.isLoaded)
            adapters.push_back(adapter);
    }
    return adapters;
}

std::size_t SlotTable::freeSlots() const
{
    if (!m_report)
        return 0;
    std::size_t used = m_report->otherAdapters + loaded().size();
    for (const auto &adapter : m_report->loading)
        used += !isLoaded(adapter);
    for (const auto &[id, order] : m_orders) {
        const bool isReported = std::ranges::count(m_report->loading, order.adapter) != 0;
        used += order.kind == OrderKind::Load && !isLoaded(order.adapter) && !isReported;
    }
    return used < m_report->slots ? m_report->slots - used : 0;
}

bool SlotTable::hasRequest(const AdapterVersion &adapter) const
{
    return std::ranges::any_of(m_requests, [&](const auto &entry) { return entry.second.adapter == adapter; });
}

bool SlotTable::hasOrder(OrderKind kind, const AdapterVersion &adapter) const
{
    return std::ranges::any_of(
        m_orders, [&](const auto &entry) { return entry.second.kind == kind && entry.second.adapter == adapter; });
}

bool SlotTable::isOrderOpen(const AdapterVersion &adapter) const
{
    return std::ranges::any_of(
        m_orders, [&](const auto &entry) { return entry.second.adapter == adapter && !entry.second.endedAt; });
}

bool SlotTable::isFinished() const
{
    return m_requests.empty() && m_orders.empty();
}

bool SlotTable::isFinished(const Incarnation &incarnation, Instant goneAt) const
{
    if (!m_guards.goneWaitsForEngine)
        return true;
    if (!m_report || !isSettled(goneAt))
        return false;
    return std::ranges::none_of(m_report->running, [&](const auto &id) { return wasSentBy(id, incarnation); });
}

/// Returns true if the last report is from a time at which nothing sent over a connection that closed at @p endedAt
/// could still take effect.
bool SlotTable::isSettled(Instant endedAt) const
{
    // The connection led to the engine's previous process or an earlier one and ended with it.
    if (m_previousEngineSeen && endedAt <= *m_previousEngineSeen)
        return true;
    return m_report->asOf >= endedAt + m_lateBytesBound;
}

bool SlotTable::isRunning(RequestNumber number) const
{
    return std::ranges::count(m_report->running, engineRequestId(m_self, number)) != 0;
}

bool SlotTable::isRequestSettled(RequestNumber number, const SentRequest &request) const
{
    if (!request.endedAt || isRunning(number))
        return false;
    return isSettled(*request.endedAt) || (request.answerBegan && m_report->asOf >= *request.endedAt);
}

bool SlotTable::isOrderSettled(const Order &order) const
{
    if (!order.endedAt)
        return false;
    // A load that arrives late evicts nothing. A report after its end shows whether it uses a slot, which is enough.
    return order.kind == OrderKind::Load ? m_report->asOf >= *order.endedAt : isSettled(*order.endedAt);
}

void SlotTable::updateResidency(bool isSameEngine)
{
    std::erase_if(m_residency,
                  [&](const auto &entry) { return !isSameEngine || entry.second.since <= m_report->asOf; });
    for (const auto &adapter : m_report->loaded)
        m_residency.try_emplace(adapter, Residency{true, m_report->asOf});
}

} // namespace Gypsumtally
