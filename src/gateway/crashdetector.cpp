#include "gateway/crashdetector.h"

#include <algorithm>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Exchanges that broke at a process within this time before its crash was detected are attributed to the crash.
constexpr Duration crashWindow = std::chrono::milliseconds{1500};
/// Exchanges that break at one process within this time have a common cause.
constexpr Duration simultaneousTime = std::chrono::milliseconds{150};
constexpr Duration checkInterval = std::chrono::milliseconds{300}; ///< Between two checks of one process.
constexpr std::size_t maxScenes = 512; ///< Number of processes at which old ones are dropped.

} // namespace

bool CrashDetector::onBroken(const UpstreamProcess &process, std::optional<CrashSuspect> suspect, Instant now)
{
    if (m_scenes.size() >= maxScenes)
        std::erase_if(m_scenes, [&](const auto &item) {
            return item.second.breaks.empty() || now - item.second.breaks.back().at > crashWindow;
        });
    auto &scene = m_scenes[process.instance];
    if (scene.startedAt != process.startedAt)
        scene = {process.startedAt, {}, {}};
    std::erase_if(scene.breaks, [&](const Break &each) { return now - each.at > crashWindow; });
    scene.breaks.push_back({std::move(suspect), now});
    if (scene.checkedAt != Instant{} && now - scene.checkedAt < checkInterval)
        return false;
    scene.checkedAt = now;
    return true;
}

bool CrashDetector::isSimultaneous(const UpstreamProcess &process, Instant now) const
{
    const auto it = m_scenes.find(process.instance);
    return it != m_scenes.end() && it->second.startedAt == process.startedAt
           && std::ranges::count_if(it->second.breaks, [&](const Break &each) {
                  return now - each.at < simultaneousTime;
              }) > 1;
}

std::optional<CrashReport> CrashDetector::onCrash(const std::string &instance, Instant now)
{
    const auto it = m_scenes.find(instance);
    if (it == m_scenes.end())
        return std::nullopt;
    CrashReport report{{instance, it->second.startedAt}, {}};
    const auto breaks = std::exchange(it->second.breaks, {});
    bool isRecent = false;
    for (const auto &each : breaks) {
        if (now - each.at > crashWindow)
            continue;
        isRecent = true;
        if (each.suspect && report.suspects.size() < CrashLedger::maxSuspects)
            report.suspects.push_back(*each.suspect);
    }
    return isRecent ? std::optional(std::move(report)) : std::nullopt;
}

} // namespace Gypsumtally::Gateway
