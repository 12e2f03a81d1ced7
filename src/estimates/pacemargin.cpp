#include "estimates/pacemargin.h"

#include <algorithm>

namespace Gypsumtally::Estimates
{

void PaceMargin::onPause(Duration pause, Duration allowed, Instant now)
{
    if (pause <= allowed || pause > maxPromptPauseRatio * allowed || now - m_updated < burstSpan)
        return;
    m_share = std::max(minShare, share(now) * reduction);
    m_updated = now;
}

double PaceMargin::share(Instant now) const
{
    return std::min(1.0, m_share + recoveryPerSecond * std::chrono::duration<double>(now - m_updated).count());
}

} // namespace Gypsumtally::Estimates
