#include "gateway/callcontext.h"

namespace Gypsumtally::Gateway
{

void CallContext::recordStatement(const UpstreamProcess &process, const UpstreamStatement &statement, Instant now,
                                  Instant sentAt)
{
    const auto effect = applyStatement(upstreams, process, statement, now, sentAt);
    const bool hasEffect = effect.leaves || effect.turnedAwayFor > Duration{} || effect.changesLimit;
    if (onStatement && (hasEffect || !statement.unreadable.empty()))
        onStatement(process, effect, statement.unreadable);
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

} // namespace Gypsumtally::Gateway
