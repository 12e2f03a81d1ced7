#pragma once

#include "common/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Gypsumtally::GatewayFleet
{

/// The declared versions of adapters, and a check that no request begins on an old one. Loop's thread only.
class AdapterVersions
{
public:
    /// Records that @p version of @p adapter has been declared.
    void declare(const std::string &adapter, unsigned version, Instant now);

    /// Returns the newest declared version of @p adapter; 1 if none has been declared.
    unsigned newest(const std::string &adapter) const;

    /// Records that an engine has begun to run request @p id on @p version of @p adapter.
    void onRun(const std::string &id, const std::string &adapter, unsigned version, Instant now);

    /// Restarts the time after which older versions must not serve: it counts while nothing is disturbed.
    void excuse(Instant until);

    /// Returns a description of each run on an old version.
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    struct Declaration {
        unsigned version = 0;
        Instant at{};
    };

    std::map<std::string, std::vector<Declaration>> m_declarations; ///< By adapter, in ascending order of versions.
    Instant m_calmSince{};
    std::vector<std::string> m_violations;
};

} // namespace Gypsumtally::GatewayFleet
