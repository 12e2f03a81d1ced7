#include "ownership/history.h"

#include <map>

namespace Gypsumtally::Testing
{

namespace
{

std::string at(const HistoryEvent &event)
{
    return " at " + std::to_string(event.time.time_since_epoch().count()) + " us";
}

class HistoryChecker
{
public:
    explicit HistoryChecker(Instant healed)
        : m_healed(healed)
    {
    }

    std::string check(const HistoryEvent &event)
    {
        switch (event.kind) {
        case HistoryKind::Dispatched:
            m_open.emplace(event.request, *event.adapter);
            return {};
        case HistoryKind::Served:
            if (event.time >= m_healed)
                m_served.insert(*event.adapter);
            return {};
        case HistoryKind::Ended:
            m_open.erase(event.request);
            return {};
        case HistoryKind::Evicted:
            return checkEviction(event);
        case HistoryKind::Written:
            return checkRecord(event);
        }
        return {};
    }

    std::string checkProgress(const std::vector<AdapterVersion> &adapters) const
    {
        for (const auto &adapter : adapters) {
            if (!m_served.contains(adapter))
                return toModelName(adapter) + " was not served after all faults had ended";
        }
        if (m_record && !m_record->predecessors.empty())
            return "a predecessor is still listed after all faults had ended";
        return {};
    }

private:
    std::string checkEviction(const HistoryEvent &event) const
    {
        for (const auto &[request, adapter] : m_open) {
            if (adapter == *event.adapter)
                return event.sender + " evicted " + toModelName(adapter) + " during request " + request + at(event);
        }
        return {};
    }

    std::string checkRecord(const HistoryEvent &event)
    {
        const std::optional<EngineRecord> previous = std::exchange(m_record, event.record);
        const bool isChange = !previous || previous->incarnation != m_record->incarnation;
        const Epoch expected = (previous ? previous->epoch : 0) + (isChange ? 1 : 0);
        return m_record->epoch == expected ? std::string{} : "epoch " + std::to_string(m_record->epoch) + at(event);
    }

    Instant m_healed;
    std::map<std::string, AdapterVersion> m_open;
    std::set<AdapterVersion> m_served;
    std::optional<EngineRecord> m_record;
};

} // namespace

std::string checkHistory(const History &history, Instant healed, const std::vector<AdapterVersion> &adapters)
{
    HistoryChecker checker(healed);
    for (const auto &event : history) {
        if (std::string fault = checker.check(event); !fault.empty())
            return fault;
    }
    return checker.checkProgress(adapters);
}

} // namespace Gypsumtally::Testing
