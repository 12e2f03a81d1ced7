#include "estimates/pacemargin.h"

#include <algorithm>

namespace Gypsumtally::Estimates
{

void PaceMargin::onPause(Duration pause, Duration allowed, Instant now)
{
    if (pause <= allowed || pause > mostByPrompts * allowed || now - m_updated < together)
        return;
    m_share = std::max(leastShare, share(now) * reduction);
    m_updated = now;
}

double PaceMargin::share(Instant now) const
{
    return std::min(1.0, m_share + recoveryPerSecond * std::chrono::duration<double>(now - m_updated).count());
}

} // namespace Gypsumtally::Estimates
