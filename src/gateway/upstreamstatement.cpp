#include "gateway/upstreamstatement.h"

#include "gateway/upstreamroom.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Duration maxTurnAway = std::chrono::hours{1}; ///< Longer times are assumed to be errors and capped.
/// Longest time for which an upstream is avoided because it applies backpressure to another node. Short, as that may
/// not apply to this node.
constexpr Duration maxHint = std::chrono::seconds{2};
/// Time for which a brittle upstream that is full gets no requests: longer than the second in which its refusals count.
constexpr Duration fullPause = std::chrono::milliseconds{1100};
/// Time without any statement after which answers end a service's brittleness.
constexpr Duration brittlenessTtl = std::chrono::seconds{1};

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

bool recordBrittleness(UpstreamTable &table, const std::string &service, const std::optional<unsigned> &stated,
                       Instant now, Instant sentAt)
{
    const auto known = table.brittleness(service);
    const bool isWeaker = known.refusalsPerSecond && (!stated || *stated > *known.refusalsPerSecond);
    if (isWeaker && sentAt <= known.asOf + brittlenessTtl)
        return false;
    if (!stated && !known.refusalsPerSecond)
        return false;
    return applyBrittleness(table, service, {stated, isWeaker ? sentAt : now});
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
    const auto &service = upstream->record.service;
    effect.changesBrittleness = recordBrittleness(table, service, statement.refusalsPerSecond, now, sentAt);
    if (statement.isFull && table.brittleness(service).refusalsPerSecond) {
        if (now >= upstream->backpressureUntil)
            effect.turnedAwayFor = std::max(effect.turnedAwayFor, fullPause);
        upstream->backpressureUntil = std::max(upstream->backpressureUntil, now + fullPause);
        noteFull(*upstream, upstream->inFlight() - std::min(1U, upstream->inFlight()), now);
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

bool applyBrittleness(UpstreamTable &table, const std::string &service, const Brittleness &brittleness)
{
    const auto known = table.brittleness(service);
    if (brittleness.asOf < known.asOf)
        return false;
    table.setBrittleness(service, brittleness);
    return brittleness.refusalsPerSecond != known.refusalsPerSecond;
}

bool applyDeparture(UpstreamTable &table, const UpstreamProcess &process)
{
    return findProcess(table, process) && table.markLeaving(process.instance);
}

void applyTurnedAwayHint(UpstreamTable &table, const UpstreamProcess &process, Duration time, Instant now)
{
    auto *upstream = findProcess(table, process);
    if (!upstream)
        return;
    const auto until = now + std::min(time, maxHint);
    if (!table.brittleness(upstream->record.service).refusalsPerSecond) {
        upstream->avoidUntil = std::max(upstream->avoidUntil, until);
        return;
    }
    upstream->backpressureUntil = std::max(upstream->backpressureUntil, until);
    noteFull(*upstream, upstream->inFlight(), now);
}

} // namespace Gypsumtally::Gateway
