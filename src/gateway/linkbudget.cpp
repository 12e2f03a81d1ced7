#include "gateway/linkbudget.h"

#include <algorithm>
#include <cassert>

namespace Gypsumtally::Gateway
{

LinkBudget::LinkBudget(double linkBytesPerSecond)
    : m_bytesPerSecond(share * linkBytesPerSecond)
{
    assert(linkBytesPerSecond > 0);
}

Duration LinkBudget::take(std::size_t bytes, Instant now)
{
    const auto delay = backlog(now);
    const double seconds = static_cast<double>(bytes) / m_bytesPerSecond;
    m_freeAt = now + delay + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return delay;
}

Duration LinkBudget::backlog(Instant now) const
{
    return std::max(Duration{}, m_freeAt - now);
}

} // namespace Gypsumtally::Gateway
