#include "settings/settings.h"

#include "yaml/filereader.h"
#include "yaml/mapreader.h"

namespace Gypsumtally
{

namespace
{

constexpr Bounds<std::uint64_t> headerBytesBounds{1024, 1024 * 1024};
constexpr Bounds<std::uint64_t> bodyBytesBounds{1024, 1024 * 1024 * 1024};
constexpr Bounds<std::uint64_t> connectionBounds{1, 1'000'000};
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

void readLimits(MapReader &reader, Http::ServerLimits &limits)
{
    reader.scalar("header_bytes", Presence::Optional, limits.maxHeaderBytes, headerBytesBounds);
    reader.scalar("body_bytes", Presence::Optional, limits.maxBodyBytes, bodyBytesBounds);
    reader.scalar("connections", Presence::Optional, limits.maxConnections, connectionBounds);
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
    reader.map("limits", Presence::Optional, [&](MapReader &map) { readLimits(map, settings.limits); });
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
