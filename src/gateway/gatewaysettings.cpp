#include "gateway/gatewaysettings.h"

#include "yaml/filereader.h"
#include "yaml/mapreader.h"

#include <algorithm>

namespace Gypsumtally::Gateway
{

namespace
{

constexpr Bounds<Duration> shortTimes{std::chrono::milliseconds{1}, std::chrono::minutes{10}};
constexpr Bounds<double> ratios{0, 10};
constexpr Bounds<double> counts{0, 1'000'000};
constexpr double bytesPerMb = 1024 * 1024;
/// Share of the machine's memory that callers may take together. The allocator may keep as much again after small
/// blocks were freed; the rest is for the process itself.
constexpr double callerMemoryShare = 1.0 / 3;
constexpr Bounds<double> callerMemory{2, 1'000'000};
/// Share of a core that gives capacity 1, as at the platform's first two sites.
constexpr double referenceCpuShare = 0.25;
constexpr double bytesPerMbit = 125'000;
constexpr double minLinkMbps = 1;
constexpr double minCapacity = 0.01; ///< Nodes divide by it.
constexpr double referenceLinkMbps = 100; ///< Link rate that gives capacity 1.

void readRegions(MapReader &reader, GatewaySettings &settings)
{
    for (const auto &entry : reader.node()) {
        const auto domain = entry.first.Scalar();
        reader.scalar(domain, Presence::Required, settings.regions[domain]);
    }
}

void readListeners(MapReader &reader, GatewaySettings &settings)
{
    reader.scalar("callers", Presence::Required, settings.callers);
    reader.scalar("readiness", Presence::Required, settings.readiness);
    reader.scalar("entries", Presence::Required, settings.entries);
    reader.scalar("peers", Presence::Required, settings.peers);
    Http::Endpoint metrics;
    reader.scalar("metrics", Presence::Optional, metrics);
    if (metrics.port != 0)
        settings.metrics = metrics;
}

void readRetries(MapReader &reader, GatewaySettings &settings)
{
    reader.scalar("ratio", Presence::Optional, settings.retryRatio, ratios);
    reader.scalar("slack", Presence::Optional, settings.retrySlack, counts);
    reader.scalar("window", Presence::Optional, settings.retryWindow, shortTimes);
}

void readMachine(MapReader &reader, GatewaySettings &settings)
{
    double cpuShare = referenceCpuShare;
    double linkMbps = referenceLinkMbps;
    reader.scalar("cpu_share", Presence::Optional, cpuShare, counts);
    reader.scalar("link_mbps", Presence::Optional, linkMbps, counts);
    double memoryMb = 4 * static_cast<double>(settings.answerBufferBytes) / bytesPerMb;
    reader.scalar("memory_mb", Presence::Optional, memoryMb, counts);
    settings.answerBufferBytes = static_cast<std::size_t>(memoryMb * bytesPerMb / 4);
    double callerMemoryMb = callerMemoryShare * memoryMb;
    reader.scalar("caller_memory_mb", Presence::Optional, callerMemoryMb, callerMemory);
    settings.callerMemoryBytes = static_cast<std::size_t>(std::max(callerMemoryMb, callerMemory.min) * bytesPerMb);
    double descriptors = 0;
    reader.scalar("max_descriptors", Presence::Optional, descriptors, counts);
    if (descriptors > 0)
        settings.maxDescriptors = static_cast<std::size_t>(descriptors);
    settings.linkBytesPerSecond = bytesPerMbit * std::max(linkMbps, minLinkMbps);
    settings.capacity = std::max(minCapacity, std::min(cpuShare / referenceCpuShare, linkMbps / referenceLinkMbps));
}

void readSettings(MapReader &reader, GatewaySettings &settings)
{
    reader.scalar("node", Presence::Required, settings.node);
    reader.scalar("failure_domain", Presence::Required, settings.failureDomain);
    reader.scalar("region", Presence::Required, settings.region);
    reader.map("regions", Presence::Optional, [&](MapReader &map) { readRegions(map, settings); });
    reader.scalar("drain_bound", Presence::Optional, settings.drainBound, shortTimes);
    reader.map("listen", Presence::Required, [&](MapReader &map) { readListeners(map, settings); });
    reader.scalar("store", Presence::Required, settings.store);
    reader.scalar("connect_from", Presence::Optional, settings.connectFrom);
    reader.map("machine", Presence::Optional, [&](MapReader &map) { readMachine(map, settings); });
    reader.scalar("urgent_reserve", Presence::Optional, settings.urgentReserve);
    reader.scalar("order_handover", Presence::Optional, settings.orderHandover, shortTimes);
    reader.scalar("stop_grace", Presence::Optional, settings.stopGrace, shortTimes);
    reader.scalar("entry_ttl", Presence::Optional, settings.entryTtl, shortTimes);
    reader.scalar("adaptive_capacity", Presence::Optional, settings.adaptiveCapacity);
    reader.map("retries", Presence::Optional, [&](MapReader &map) { readRetries(map, settings); });
    reader.map("log", Presence::Optional, [&](MapReader &map) {
        map.scalar("level", Presence::Optional, settings.logLevel);
        map.scalar("format", Presence::Optional, settings.logFormat);
    });
}

} // namespace

GatewaySettings applyReloadable(GatewaySettings running, const GatewaySettings &read)
{
    running.regions = read.regions;
    running.drainBound = read.drainBound;
    running.stopGrace = read.stopGrace;
    running.entryTtl = read.entryTtl;
    running.answerBufferBytes = read.answerBufferBytes;
    running.callerMemoryBytes = read.callerMemoryBytes;
    running.retryRatio = read.retryRatio;
    running.retrySlack = read.retrySlack;
    running.retryWindow = read.retryWindow;
    return running;
}

Parsed<GatewaySettings> parseGatewaySettings(const std::string &text, const std::string &file)
{
    GatewaySettings settings;
    ProblemLog log{file, {}};
    readDocument(text, log, [&](MapReader &reader) { readSettings(reader, settings); });
    if (!log.problems.empty())
        return {std::nullopt, std::move(log.problems)};
    return {std::move(settings), {}};
}

Parsed<GatewaySettings> loadGatewaySettings(const std::string &file)
{
    return parseFile(file, parseGatewaySettings);
}

} // namespace Gypsumtally::Gateway
