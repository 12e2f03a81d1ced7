#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gypsumtally
{

/// The version of the configuration, increased by each change; 0 means that none was ever applied.
using ConfigurationVersion = std::uint64_t;

/// The key of the configuration in the key-value service.
inline constexpr const char *configurationKey = "/gypsumtally/configuration";

/// The maximum size of an encoded record in bytes, set by the platform's limit on the size of a value.
inline constexpr std::size_t maxConfigurationBytes = 1'000'000;

/// The maximum number of changes in the history of a record.
inline constexpr std::size_t configurationHistoryLength = 64;

/// An accepted change of the configuration.
struct ConfigurationChange {
    ConfigurationVersion version = 0; ///< The version that the change created.
    std::string id; ///< Chosen by the operator's tool; never reused.
    std::string author;
    std::string reason;
    std::int64_t submittedAtMs = 0; ///< Unix time in milliseconds on the operator's machine; informational only.

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

/// The value stored at configurationKey.
struct ConfigurationRecord {
    ConfigurationVersion version = 0;
    std::string text; ///< The YAML text as submitted by the operator.
    std::vector<ConfigurationChange> history; ///< Newest first; the first entry created this version.

    /// Returns the change with @p id, or null if it was never accepted or has left the history.
    const ConfigurationChange *find(std::string_view id) const;

    /// Returns the record as JSON. Thread-safe.
    std::string encode() const;

    /// Parses the output of encode(); returns std::nullopt for any other text. Thread-safe.
    static std::optional<ConfigurationRecord> decode(const std::string &encoded);
};

} // namespace Gypsumtally
