#include "gateway/callcontext.h"

namespace Gypsumtally::Gateway
{

void CallContext::recordStatement(const UpstreamProcess &process, const UpstreamStatement &statement, Instant now,
                                  Instant sentAt)
{
    const auto effect = applyStatement(upstreams, process, statement, now, sentAt);
    const bool hasEffect
        = effect.leaves || effect.turnedAwayFor > Duration{} || effect.changesLimit || effect.changesBrittleness;
    if (onStatement && (hasEffect || !statement.unreadable.empty()))
        onStatement(process, effect, statement.unreadable);
}

void CallContext::recordProcess(const UpstreamRecord &record, Instant now)
{
    reach.onProcess({record.instance, record.startedAt}, record.service, now);
    applyReach(now);
    if (auto *upstream = upstreams.find(record.instance))
        upstream->isCutOff = reach.isCutOff(record.instance, now);
}

void CallContext::recordFailure(const UpstreamProcess &process, ReachFailure failure, Instant now)
{
    reach.onFailure(process, now, failure);
    applyReach(now);
    if (reach.hasNewFailures() && onReachFailure)
        onReachFailure();
}

void CallContext::recordContact(const UpstreamProcess &process, Instant now, Instant sentAt, ContactKind kind)
{
    reach.onContact(process, now, sentAt, kind);
    applyReach(now);
}

void CallContext::applyReach(Instant now)
{
    for (const auto &change : reach.takeChanges()) {
        auto *upstream = upstreams.find(change.process.instance);
        if (!upstream)
            continue;
        upstream->isCutOff = reach.isCutOff(change.process.instance, now);
        // What failed on the way is no evidence of the upstream.
        upstream->failureRatio = 0;
        upstream->outcomes = DecayedRate{Upstream::outcomeHalfLife};
        upstream->avoidUntil = {};
        if (onReachChange)
            onReachChange(change);
    }
}

void CallContext::announceSend(const SendNotice &notice, Instant now)
{
    applySendNotice(upstreams, node, notice, now);
    onSend(notice);
}

void CallContext::recordSuccess(const std::vector<CrashCause> &causes, Instant sentAt, Instant now)
{
    const auto effects = crashes.onSuccess(causes, sentAt, now);
    if (onSuccess && (!effects.acquittals.empty() || !effects.lifted.empty()))
        onSuccess(effects);
}

bool CallContext::declare(const ModelTarget &target, std::uint64_t version, Instant earliest, Instant now)
{
    return declared[target].declare(version, earliest, now);
}

std::uint64_t CallContext::minVersion(const ModelTarget &target, Instant now) const
{
    const auto it = declared.find(target);
    return it == declared.end() ? 0 : it->second.oldestUsable(now);
}

void CallContext::addConfiguration(std::vector<LogField> &fields, Instant now) const
{
    if (!routes) {
        fields.emplace_back("configuration", "none");
        return;
    }
    fields.emplace_back("configuration", std::to_string(routes->policy().version));
    fields.emplace_back("configuration_age_ms", std::to_string((now - configuredAt).count() / 1000));
}

} // namespace Gypsumtally::Gateway
