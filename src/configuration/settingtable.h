#pragma once

#include "configuration/fleetsettings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace Gypsumtally
{

/// A pointer to the value of a setting; the alternative is the type of the setting.
using SettingSlot = std::variant<double *, std::uint64_t *, Duration *, bool *>;

/// The smallest and largest allowed value of a setting, in its own unit; durations are in microseconds.
struct SettingBounds {
    double min = 0;
    double max = 0;
};

/// The key, bounds and storage of a setting of the fleet's configuration.
struct SettingDescriptor {
    std::string_view key; ///< Dotted, for example `weights.load_stall`.
    SettingBounds bounds;
    DimensionSet exceptions; ///< The dimensions that an exception which sets this key may match.
    SettingSlot (*slot)(FleetSettings &settings);
    std::string_view meaning;
};

/// Returns all settings in the order of FleetConfiguration::canonicalText(). Thread-safe.
std::span<const SettingDescriptor> settingTable();

/// Returns the setting with @p key, or null. Thread-safe.
const SettingDescriptor *findSetting(std::string_view key);

/// Parses @p text into the setting's field of @p settings; returns an empty string, or a description of the allowed
/// values. Thread-safe.
std::string assignSetting(const SettingDescriptor &setting, const std::string &text, FleetSettings &settings);

/// Returns the value of a setting in the form that assignSetting() parses. Thread-safe.
std::string formatSetting(const SettingDescriptor &setting, const FleetSettings &settings);

} // namespace Gypsumtally
