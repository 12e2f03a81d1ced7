#include "configuration/settingtable.h"

#include "yaml/mapreader.h"

#include <charconv>

namespace Gypsumtally
{

namespace
{

using enum Dimension;

constexpr DimensionSet fleetWide{};
constexpr DimensionSet byRequest{Customer, Adapter, Base, Region};
constexpr DimensionSet byCustomer{Customer, Region};
constexpr DimensionSet byUpstream{Base, Region, Upstream};

constexpr double hourMicroseconds = 3600e6;
constexpr double dayMicroseconds = 24 * hourMicroseconds;

template<auto Member>
SettingSlot member(FleetSettings &settings)
{
    return &(settings.*Member);
}

template<ServiceClass Class, auto Member>
SettingSlot classMember(FleetSettings &settings)
{
    return &(settings.classes[static_cast<std::size_t>(Class)].*Member);
}

constexpr SettingBounds deadlineBounds{1e3, dayMicroseconds};
constexpr SettingBounds shareBounds{0.5, 0.99999};
constexpr SettingBounds weightBounds{0, 1000};

constexpr std::string_view deadlineMeaning = "deadline of a request that gives none";
constexpr std::string_view latencyMeaning = "latency within which a request counts as good";
constexpr std::string_view shareMeaning = "share of requests that must be good";

using Fleet = FleetSettings;
using Class = ClassSettings;

constexpr std::array<SettingDescriptor, 22> table{{
    {"weights.load_stall", weightBounds, byUpstream, member<&Fleet::loadStallWeight>, "cost of waiting for a load"},
    {"weights.batch_efficiency", weightBounds, byUpstream, member<&Fleet::batchEfficiencyWeight>,
     "cost of a batch that is not full"},
    {"classes.urgent.deadline", deadlineBounds, byRequest, classMember<ServiceClass::Urgent, &Class::deadline>,
     deadlineMeaning},
    {"classes.urgent.objective_latency", deadlineBounds, fleetWide,
     classMember<ServiceClass::Urgent, &Class::objectiveLatency>, latencyMeaning},
    {"classes.urgent.objective_share", shareBounds, fleetWide,
     classMember<ServiceClass::Urgent, &Class::objectiveShare>, shareMeaning},
    {"classes.standard.deadline", deadlineBounds, byRequest, classMember<ServiceClass::Standard, &Class::deadline>,
     deadlineMeaning},
    {"classes.standard.objective_latency", deadlineBounds, fleetWide,
     classMember<ServiceClass::Standard, &Class::objectiveLatency>, latencyMeaning},
    {"classes.standard.objective_share", shareBounds, fleetWide,
     classMember<ServiceClass::Standard, &Class::objectiveShare>, shareMeaning},
    {"classes.bulk.deadline", deadlineBounds, byRequest, classMember<ServiceClass::Bulk, &Class::deadline>,
     deadlineMeaning},
    {"classes.bulk.objective_latency", deadlineBounds, fleetWide,
     classMember<ServiceClass::Bulk, &Class::objectiveLatency>, latencyMeaning},
    {"classes.bulk.objective_share", shareBounds, fleetWide, classMember<ServiceClass::Bulk, &Class::objectiveShare>,
     shareMeaning},
    {"limits.customer_queue",
     {1, 1e6},
     byCustomer,
     member<&Fleet::customerQueue>,
     "open requests of one customer on one node"},
    {"limits.engine_concurrency",
     {1, 1e5},
     byUpstream,
     member<&Fleet::engineConcurrency>,
     "requests in flight at one engine"},
    {"retries.budget", {0, 1}, fleetWide, member<&Fleet::retryBudget>, "retries as a share of requests"},
    {"retries.burst", {0, 1e5}, fleetWide, member<&Fleet::retryBurst>, "retries allowed before the budget limits them"},
    {"claims.retention",
     {60e6, 30 * dayMicroseconds},
     fleetWide,
     member<&Fleet::claimRetention>,
     "how long an idempotency key is remembered"},
    {"upstreams.fencing_checked",
     {0, 1},
     byUpstream,
     member<&Fleet::fencingChecked>,
     "whether the upstream refuses an old fencing token"},
    {"weight_store.loads_per_second",
     {0.01, 1e5},
     fleetWide,
     member<&Fleet::loadsPerSecond>,
     "loads that the weight store allows, over the fleet"},
    {"regions.kibibyte_price",
     {0, 10e6},
     DimensionSet{Region},
     member<&Fleet::transferCostPerKibibyte>,
     "wait in the caller's region that costs as much as sending a KiB to another region"},
    {"entries.cache", {1e6, 600e6}, fleetWide, member<&Fleet::entryCache>, "how long callers may cache /v1/entries"},
    {"quarantine.crash_lifetime",
     {1e6, dayMicroseconds},
     fleetWide,
     member<&Fleet::crashLifetime>,
     "how long a crash counts against a request"},
    {"quarantine.doubtful_crashes",
     {1, 100},
     fleetWide,
     member<&Fleet::inconclusiveCrashes>,
     "isolated crashes that quarantine a request, even if each may have another cause"},
}};

Bounds<std::uint64_t> countBounds(SettingBounds bounds)
{
    return {static_cast<std::uint64_t>(bounds.min), static_cast<std::uint64_t>(bounds.max)};
}

Bounds<Duration> durationBounds(SettingBounds bounds)
{
    return {Duration{static_cast<std::int64_t>(bounds.min)}, Duration{static_cast<std::int64_t>(bounds.max)}};
}

struct Assign {
    const std::string &text;
    SettingBounds bounds;

    std::string operator()(double *value) const
    {
        return convertScalar(text, *value, Bounds<double>{bounds.min, bounds.max});
    }

    std::string operator()(std::uint64_t *value) const
    {
        return convertScalar(text, *value, countBounds(bounds));
    }

    std::string operator()(Duration *value) const
    {
        return convertScalar(text, *value, durationBounds(bounds));
    }

    std::string operator()(bool *value) const
    {
        return convertScalar(text, *value);
    }
};

struct Format {
    std::string operator()(const double *value) const
    {
        std::array<char, 32> buffer{};
        const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), *value);
        return {buffer.data(), result.ptr};
    }

    std::string operator()(const std::uint64_t *value) const
    {
        return std::to_string(*value);
    }

    std::string operator()(const Duration *value) const
    {
        return toString(*value);
    }

    std::string operator()(const bool *value) const
    {
        return *value ? "true" : "false";
    }
};

} // namespace

std::span<const SettingDescriptor> settingTable()
{
    return table;
}

const SettingDescriptor *findSetting(std::string_view key)
{
    for (const auto &setting : table) {
        if (setting.key == key)
            return &setting;
    }
    return nullptr;
}

std::string assignSetting(const SettingDescriptor &setting, const std::string &text, FleetSettings &settings)
{
    return std::visit(Assign{text, setting.bounds}, setting.slot(settings));
}

std::string formatSetting(const SettingDescriptor &setting, const FleetSettings &settings)
{
    auto copy = settings;
    return std::visit(Format{}, setting.slot(copy));
}

} // namespace Gypsumtally
