#include "gatewayfleet/adapterversions.h"

#include <algorithm>

namespace Gypsumtally::GatewayFleet
{

namespace
{

constexpr Duration versionBound = std::chrono::seconds{5}; ///< From a declaration until no older version may serve.

} // namespace

void AdapterVersions::declare(const std::string &adapter, unsigned version, Instant now)
{
    m_declarations[adapter].push_back({version, now});
}

unsigned AdapterVersions::newest(const std::string &adapter) const
{
    const auto it = m_declarations.find(adapter);
    return it == m_declarations.end() ? 1 : it->second.back().version;
}

void AdapterVersions::onRun(const std::string &id, const std::string &adapter, unsigned version, Instant now)
{
    const auto it = m_declarations.find(adapter);
    if (it == m_declarations.end())
        return;
    const bool isOld = std::ranges::any_of(it->second, [&](const Declaration &each) {
        return each.version > version && now - std::max(each.at, m_calmSince) > versionBound;
    });
    if (isOld)
        m_violations.push_back(id + " began on version " + std::to_string(version) + " of " + adapter + " of which "
                               + std::to_string(it->second.back().version) + " is declared");
}

void AdapterVersions::excuse(Instant until)
{
    m_calmSince = std::max(m_calmSince, until);
}

} // namespace Gypsumtally::GatewayFleet
