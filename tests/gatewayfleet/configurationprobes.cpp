#include "gatewayfleet/configurationprobes.h"

#include <algorithm>

namespace Gypsumtally::GatewayFleet
{

void ConfigurationProbes::onWritten(std::uint64_t version, Instant now)
{
    m_writtenAt[version] = now;
    m_newest = std::max(m_newest, version);
}

void ConfigurationProbes::onAnswer(const NodeProcess &process, std::uint64_t version, Instant sentAt, bool wasInForce,
                                   bool isInTouch, Instant now)
{
    const auto text = process.first + ": version " + std::to_string(version);
    const auto ms = [](Duration time) { return std::to_string(time.count() / 1000) + " ms"; };
    auto &seen = m_seen[process];
    if (wasInForce) {
        for (const auto &other : seen) {
            if (other.version > version && sentAt > other.at + rollbackSlack)
                m_violations.push_back(text + " was in force after version " + std::to_string(other.version));
        }
        seen.push_back({version, now});
    }
    if (!isInTouch)
        return;
    ++m_judged;
    const auto next = m_writtenAt.upper_bound(version);
    const bool isReplaced = next != m_writtenAt.end() && sentAt > next->second + inForceTime;
    if (wasInForce && isReplaced)
        m_violations.push_back(text + " was in force " + ms(sentAt - next->second) + " after the next one");
    const auto written = m_writtenAt.at(version);
    const bool mustBeInForce = next == m_writtenAt.end() && sentAt > written + inForceTime;
    if (!wasInForce && mustBeInForce)
        m_violations.push_back(text + " was not in force " + ms(sentAt - written) + " after it was written");
}

} // namespace Gypsumtally::GatewayFleet
