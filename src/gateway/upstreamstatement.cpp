#include "gateway/upstreamstatement.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration maxTurnAway = std::chrono::hours{1}; ///< Longer times are assumed to be errors and capped.
/// Longest time for which an upstream is avoided because it applies backpressure to another node. Short, as that may
/// not apply to this node.
constexpr Duration maxHint = std::chrono::seconds{2};

/// Returns the upstream if it is still the given process, or null.
Upstream *findProcess(UpstreamTable &table, const UpstreamProcess &process)
{
    auto *upstream = table.find(process.instance);
    if (!upstream)
        return nullptr;
    const bool isSame
        = process.startedAt == 0 || upstream->record.startedAt == 0 || process.startedAt == upstream->record.startedAt;
    return isSame ? upstream : nullptr;
}

/// Returns true if @p stated permits more requests than @p known.
bool isHigher(const std::optional<double> &stated, const std::optional<double> &known)
{
    return known && (!stated || *stated > *known);
}

} // namespace

StatementEffect applyStatement(UpstreamTable &table, const UpstreamProcess &process, const UpstreamStatement &statement,
                               Instant now, Instant sentAt)
{
    StatementEffect effect;
    const bool isOther = !statement.instance.empty() && statement.instance != process.instance;
    auto *upstream = isOther ? nullptr : findProcess(table, process);
    if (!upstream)
        return effect;
    if (statement.isLeaving)
        effect.leaves = table.markLeaving(process.instance);
    if (statement.turnsAwayFor && *statement.turnsAwayFor > Duration{}) {
        const auto time = std::min(*statement.turnsAwayFor, maxTurnAway);
        if (now >= upstream->backpressureUntil)
            effect.turnedAwayFor = time;
        upstream->backpressureUntil = std::max(upstream->backpressureUntil, now + time);
    }
    auto &known = upstream->requestLimit;
    if (known.perSecond && statement.requestLimit == known.perSecond)
        known.asOf = now;
    else if (statement.requestLimit != known.perSecond)
        effect.changesLimit = applyRequestLimit(
            table, process, {statement.requestLimit, isHigher(statement.requestLimit, known.perSecond) ? sentAt : now});
    return effect;
}

bool applyRequestLimit(UpstreamTable &table, const UpstreamProcess &process, const RequestLimit &limit)
{
    auto *upstream = findProcess(table, process);
    if (!upstream || limit.asOf < upstream->requestLimit.asOf)
        return false;
    if (limit.perSecond == upstream->requestLimit.perSecond)
        return false;
    if (!upstream->limitsRequests())
        upstream->sends.begin(limit.asOf);
    upstream->requestLimit = limit;
    return true;
}

bool applyDeparture(UpstreamTable &table, const UpstreamProcess &process)
{
    return findProcess(table, process) && table.markLeaving(process.instance);
}

void applyTurnedAwayHint(UpstreamTable &table, const UpstreamProcess &process, Duration time, Instant now)
{
    if (auto *upstream = findProcess(table, process))
        upstream->avoidUntil = std::max(upstream->avoidUntil, now + std::min(time, maxHint));
}

} // namespace Gypsumtally::Gateway
