#pragma once

#include "configuration/fleetsettings.h"
#include "configuration/servicedeclaration.h"
#include "yaml/problem.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Gypsumtally
{

/// A setting and the value that an exception assigns to it.
struct SettingOverride {
    std::string key;
    std::string value; ///< Formatted as in FleetConfiguration::canonicalText().
};

/// Settings that have other values for matching subjects, and the reason for them.
struct FleetException {
    std::string reason; ///< Never empty.
    std::map<Dimension, std::string> match; ///< The values that a subject must have; never empty.
    std::vector<SettingOverride> overrides; ///< Sorted in the order of settingTable().

    /// Returns true if the exception applies to @p subject.
    bool matches(const Subject &subject) const;

    /// Returns the match as text, for example `customer=colombo,region=south`; unique within a configuration.
    std::string identity() const;
};

/// The fleet's configuration: defaults, exceptions and plain services. Immutable.
class FleetConfiguration
{
public:
    /// Creates a configuration of the built-in defaults, without exceptions and services.
    FleetConfiguration() = default;

    /// Parses YAML; @p file is the file name in reported problems. Thread-safe.
    static Parsed<FleetConfiguration> parse(const std::string &text, const std::string &file);

    const FleetSettings &defaults() const
    {
        return m_defaults;
    }

    /// Returns the exceptions in file order. If several set the same key for a subject, the last one applies.
    const std::vector<FleetException> &exceptions() const
    {
        return m_exceptions;
    }

    const std::vector<ServiceDeclaration> &services() const
    {
        return m_services;
    }

    /// Returns the plain service with @p name, or null. Thread-safe.
    const ServiceDeclaration *service(std::string_view name) const;

    /// Returns all settings, including those left at their default, as YAML that parse() reads as an equal
    /// configuration. Equal configurations have equal canonical texts. Thread-safe.
    std::string canonicalText() const;

    /// Returns the values of all settings by a path that includes the exception or service. Thread-safe.
    std::map<std::string, std::string> flatten() const;

private:
    FleetSettings m_defaults;
    std::vector<FleetException> m_exceptions;
    std::vector<ServiceDeclaration> m_services;
};

/// A setting that differs between two configurations.
struct SettingChange {
    std::string key;
    std::optional<std::string> before; ///< Not set if the setting was added.
    std::optional<std::string> after; ///< Not set if the setting was removed.

    friend bool operator==(const SettingChange &, const SettingChange &) = default;
};

/// Returns the settings that differ between @p before and @p after, sorted by key. Thread-safe.
std::vector<SettingChange> difference(const FleetConfiguration &before, const FleetConfiguration &after);

/// Returns one line for each change: `+ key: value`, `- key: value` or `~ key: before -> after`. Thread-safe.
std::string toString(const std::vector<SettingChange> &changes);

/// Resolves the settings of subjects and caches them by combination of exceptions. Not thread-safe; each thread needs
/// its own.
class SettingsResolver
{
public:
    /// Creates a resolver for @p configuration. Precondition: it is not null.
    explicit SettingsResolver(std::shared_ptr<const FleetConfiguration> configuration);

    /// Returns the settings of @p subject; the reference is valid for the lifetime of this object. The cost grows with
    /// the number of exceptions that share a value with the subject, not with the number of all exceptions.
    const FleetSettings &resolve(const Subject &subject);

    const FleetConfiguration &configuration() const
    {
        return *m_configuration;
    }

private:
    using ExceptionNumbers = std::vector<std::size_t>;

    const FleetSettings &combination(const ExceptionNumbers &numbers);

    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::array<std::unordered_map<std::string, ExceptionNumbers>, dimensionCount> m_index;
    std::map<ExceptionNumbers, std::unique_ptr<const FleetSettings>> m_combinations;
};

} // namespace Gypsumtally
