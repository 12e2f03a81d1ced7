#pragma once

#include "common/call.h"
#include "common/clock.h"
#include "common/enumtable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Gypsumtally
{

/// The properties of a subject that an exception can match.
enum class Dimension {
    Customer,
    Adapter,
    Base,
    Region,
    Upstream,
};

inline constexpr std::size_t dimensionCount = 5;

template<>
inline constexpr EnumTable<Dimension, dimensionCount> enumNames<Dimension>{{
    {Dimension::Customer, "customer"},
    {Dimension::Adapter, "adapter"},
    {Dimension::Base, "base"},
    {Dimension::Region, "region"},
    {Dimension::Upstream, "upstream"},
}};

/// A set of dimensions.
class DimensionSet
{
public:
    constexpr DimensionSet() = default;
    constexpr DimensionSet(std::initializer_list<Dimension> members)
    {
        for (const auto member : members)
            m_bits |= 1U << static_cast<unsigned>(member);
    }

    constexpr bool contains(Dimension dimension) const
    {
        return (m_bits >> static_cast<unsigned>(dimension) & 1U) != 0;
    }

private:
    unsigned m_bits = 0;
};

/// The request or upstream for which settings are resolved. Fields that do not apply are empty.
struct Subject {
    std::string_view customer;
    std::string_view adapter; ///< Name of the adapter without base and version.
    std::string_view base;
    std::string_view region;
    std::string_view upstream;

    constexpr std::string_view operator[](Dimension dimension) const
    {
        const std::array<std::string_view, dimensionCount> values{customer, adapter, base, region, upstream};
        return values[static_cast<std::size_t>(dimension)];
    }
};

/// The deadline and the service-level objective of a class of service.
struct ClassSettings {
    Duration deadline{}; ///< Deadline of a request whose caller gives none.
    Duration objectiveLatency{}; ///< A request counts as good if it succeeds within this time.
    double objectiveShare = 0.95; ///< Share of requests that must be good, from 0 to 1.
};

/// The values of all settings of the fleet's configuration for one subject.
struct FleetSettings {
    double loadStallWeight = 1; ///< Cost of a second of waiting for a load, relative to batchEfficiencyWeight.
    double batchEfficiencyWeight = 1; ///< Cost of a batch that is not full, relative to loadStallWeight.
    std::array<ClassSettings, 3> classes{{
        {std::chrono::seconds{10}, std::chrono::milliseconds{760}, 0.95},
        {std::chrono::seconds{60}, std::chrono::seconds{5}, 0.95},
        {std::chrono::hours{1}, std::chrono::minutes{10}, 0.95},
    }};
    std::uint64_t customerQueue = 256; ///< Maximum number of open requests of one customer on one node.
    std::uint64_t engineConcurrency = 32; ///< Maximum number of requests in flight at one engine.
    double retryBudget = 0.1; ///< Maximum number of retries as a share of requests.
    std::uint64_t retryBurst = 10; ///< Number of retries allowed before retryBudget limits them.
    Duration claimRetention = std::chrono::hours{1}; ///< Retention time of an idempotency key.
    bool fencingChecked = false; ///< True if the upstream rejects a stale fencing token.
    double loadsPerSecond = 3; ///< Maximum rate of loads from the weight store, for the whole fleet.
    Duration transferCostPerKibibyte
        = std::chrono::milliseconds{4}; ///< Wait that costs as much as a KiB to another region.
    Duration entryCache = std::chrono::seconds{5}; ///< Time for which callers may cache `/v1/entries`.
    Duration crashLifetime = std::chrono::hours{1}; ///< Time for which a crash counts as evidence against a request.
    std::uint64_t inconclusiveCrashes
        = 3; ///< Isolated crashes that quarantine a request despite other possible causes.

    /// Returns the settings of @p serviceClass.
    const ClassSettings &of(ServiceClass serviceClass) const
    {
        return classes[static_cast<std::size_t>(serviceClass)];
    }
};

} // namespace Gypsumtally
