#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "common/identifiers.h"
#include "http/message.h"
#include "relay/requestlimits.h"
#include "yaml/problem.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

template<>
inline constexpr EnumTable<LogLevel, 4> enumNames<LogLevel>{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

enum class LogFormat {
    Text,
    Json, ///< A JSON object per line.
};

template<>
inline constexpr EnumTable<LogFormat, 2> enumNames<LogFormat>{{
    {LogFormat::Text, "text"},
    {LogFormat::Json, "json"},
}};

/// The names of the TLS files of a listener or of connections between nodes.
struct TlsFiles {
    std::string certificate;
    std::string key;
    std::string authority; ///< CA certificates that verify the other side's certificates; empty to require none.
};

/// The address on which a listener accepts connections and the address that it publishes.
struct ListenerSettings {
    Http::Endpoint listen;
    Http::Endpoint advertise; ///< Address that others connect to; @p listen by default.
};

/// The addresses of the platform's services.
struct PlatformSettings {
    std::vector<Http::Endpoint> keyValue; ///< Endpoints of the key-value service, tried in turn.
    Http::Endpoint vmList;
    Http::Endpoint weightStore;
};

/// What the process may use of its VM.
struct MachineSettings {
    std::size_t callersMemoryBytes = 0; ///< Limit in bytes for all that is held on behalf of callers.
    std::size_t peersMemoryBytes = 0; ///< The same for peers and operators.
    std::optional<std::size_t> maxDescriptors; ///< File descriptors; the process's own limit by default.
};

/// The settings of a single daemon. Settings shared by all nodes are in FleetConfiguration.
struct Settings {
    NodeId node;
    RegionId region;
    FailureDomainId failureDomain;
    ListenerSettings callers;
    ListenerSettings peers;
    PlatformSettings platform;
    std::vector<std::string> peerKeyFiles; ///< The first key signs; all keys are accepted.
    std::string operatorTokenFile;
    Relay::RequestLimits requestLimits;
    std::size_t maxConnections = 4096; ///< Of each listener.
    MachineSettings machine;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    Duration leaseTtl = std::chrono::seconds{10};
    std::optional<TlsFiles> callersTls;
    std::optional<TlsFiles> peersTls;
};

/// Parses the text of a settings file; @p file is the file name in reported problems. Thread-safe.
Parsed<Settings> parseSettings(const std::string &text, const std::string &file);

/// Reads and parses a settings file. Thread-safe; blocks on file I/O.
Parsed<Settings> loadSettings(const std::string &file);

} // namespace Gypsumtally
