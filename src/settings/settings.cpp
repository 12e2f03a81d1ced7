#include "settings/settings.h"

#include "yaml/filereader.h"
#include "yaml/mapreader.h"

#include <algorithm>

namespace Gypsumtally
{

namespace
{

constexpr Bounds<std::uint64_t> headerBytesBounds{1024, 1024 * 1024};
constexpr std::uint64_t minBodyBytes = 1024;
constexpr Bounds<std::uint64_t> connectionBounds{1, 1'000'000};
constexpr Bounds<std::uint64_t> memoryBounds{64, 1'000'000}; ///< In MB.
constexpr Bounds<std::uint64_t> callerMemoryBounds{2, 1'000'000}; ///< In MB.
constexpr Bounds<std::uint64_t> descriptorBounds{264, 1'000'000};
constexpr std::uint64_t defaultMemoryMb = 260;
constexpr std::size_t bytesPerMb = 1024 * 1024;
/// Part of the VM's memory that callers, peers and operators may take together. The allocator may keep as much again
/// after small blocks were freed; the rest is for the process itself.
constexpr std::uint64_t callerMemoryDivisor = 3;
/// Part of that memory for peers and operators, so that a crowd of callers leaves them theirs.
constexpr std::size_t peersMemoryDivisor = 3;
/// Body in progress over the memory of a listener: it is held twice, and a quarter is for small requests.
constexpr std::size_t memoryPerBody = 3;
constexpr Bounds<Duration> leaseTtlBounds{std::chrono::seconds{2}, std::chrono::minutes{5}};

void readListener(MapReader &reader, ListenerSettings &listener)
{
    reader.scalar("listen", Presence::Required, listener.listen);
    listener.advertise = listener.listen;
    reader.scalar("advertise", Presence::Optional, listener.advertise);
}

void readPlatform(MapReader &reader, PlatformSettings &platform)
{
    reader.list("key_value", Presence::Required, platform.keyValue);
    reader.scalar("vm_list", Presence::Required, platform.vmList);
    reader.scalar("weight_store", Presence::Required, platform.weightStore);
}

void setCallerMemory(MachineSettings &machine, std::uint64_t megabytes)
{
    const auto bytes = megabytes * bytesPerMb;
    machine.peersMemoryBytes = bytes / peersMemoryDivisor;
    machine.callersMemoryBytes = bytes - machine.peersMemoryBytes;
}

std::size_t largestBody(const MachineSettings &machine)
{
    return machine.peersMemoryBytes / memoryPerBody;
}

void readMachine(MapReader &reader, MachineSettings &machine)
{
    auto memoryMb = defaultMemoryMb;
    reader.scalar("memory_mb", Presence::Optional, memoryMb, memoryBounds);
    auto callerMemoryMb = memoryMb / callerMemoryDivisor;
    reader.scalar("caller_memory_mb", Presence::Optional, callerMemoryMb, callerMemoryBounds);
    setCallerMemory(machine, callerMemoryMb);
    std::uint64_t descriptors = 0;
    reader.scalar("max_descriptors", Presence::Optional, descriptors, descriptorBounds);
    if (descriptors > 0)
        machine.maxDescriptors = descriptors;
}

/// Reads the limits on requests. A body is no larger than the memory of either listener allows, so that a single
/// request within the limits is served. Precondition: the machine's settings were read.
void readLimits(MapReader &reader, Settings &settings)
{
    auto &limits = settings.requestLimits;
    reader.scalar("header_bytes", Presence::Optional, limits.headerBytes, headerBytesBounds);
    reader.scalar("body_bytes", Presence::Optional, limits.bodyBytes,
                  Bounds<std::uint64_t>{minBodyBytes, largestBody(settings.machine)});
    reader.scalar("connections", Presence::Optional, settings.maxConnections, connectionBounds);
}

void readTls(MapReader &reader, std::optional<TlsFiles> &files, Presence authority)
{
    files.emplace();
    reader.scalar("certificate", Presence::Required, files->certificate);
    reader.scalar("key", Presence::Required, files->key);
    reader.scalar("ca", authority, files->authority);
}

void readSettings(MapReader &reader, Settings &settings)
{
    reader.scalar("node", Presence::Required, settings.node.value);
    reader.scalar("region", Presence::Required, settings.region.value);
    reader.scalar("failure_domain", Presence::Required, settings.failureDomain.value);
    reader.map("callers", Presence::Required, [&](MapReader &map) { readListener(map, settings.callers); });
    reader.map("peers", Presence::Required, [&](MapReader &map) { readListener(map, settings.peers); });
    reader.map("platform", Presence::Required, [&](MapReader &map) { readPlatform(map, settings.platform); });
    reader.list("peer_key_files", Presence::Required, settings.peerKeyFiles);
    reader.scalar("operator_token_file", Presence::Required, settings.operatorTokenFile);
    setCallerMemory(settings.machine, defaultMemoryMb / callerMemoryDivisor);
    reader.map("machine", Presence::Optional, [&](MapReader &map) { readMachine(map, settings.machine); });
    settings.requestLimits.bodyBytes = std::min(settings.requestLimits.bodyBytes, largestBody(settings.machine));
    reader.map("limits", Presence::Optional, [&](MapReader &map) { readLimits(map, settings); });
    reader.map("log", Presence::Optional, [&](MapReader &map) {
        map.scalar("level", Presence::Optional, settings.logLevel);
        map.scalar("format", Presence::Optional, settings.logFormat);
    });
    reader.scalar("lease_ttl", Presence::Optional, settings.leaseTtl, leaseTtlBounds);
    reader.map("tls", Presence::Optional, [&](MapReader &map) {
        map.map("callers", Presence::Optional,
                [&](MapReader &side) { readTls(side, settings.callersTls, Presence::Optional); });
        map.map("peers", Presence::Optional,
                [&](MapReader &side) { readTls(side, settings.peersTls, Presence::Required); });
    });
}

} // namespace

Parsed<Settings> parseSettings(const std::string &text, const std::string &file)
{
    Settings settings;
    ProblemLog log{file, {}};
    readDocument(text, log, [&](MapReader &reader) { readSettings(reader, settings); });
    if (!log.problems.empty())
        return {std::nullopt, std::move(log.problems)};
    return {std::move(settings), {}};
}

Parsed<Settings> loadSettings(const std::string &file)
{
    return parseFile(file, parseSettings);
}

} // namespace Gypsumtally
