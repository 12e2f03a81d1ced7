#include "gateway/streamversions.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Gypsumtally::Gateway
{

namespace
{

/// Time from a take-up in which others are expected: those of one loss of nodes or upstreams come within seconds.
constexpr Duration yieldingTime = std::chrono::seconds{1};
constexpr std::size_t maxStreams = 100000; ///< Further streams are not known, so that they are not taken up.
/// Allowance for clocks of machines that differ or jump.
constexpr std::chrono::milliseconds clockTolerance = std::chrono::seconds{10};

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

StreamId streamIdOf(std::string_view requestId)
{
    return XXH3_64bits(requestId.data(), requestId.size());
}

void StreamVersions::onView(Instant time)
{
    if (time - m_viewAt > maxViewAge)
        forgetAbsence(); // The node was out of step, and may not have heard from others that were lost later.
    m_viewAt = std::max(m_viewAt, time);
}

void StreamVersions::onRecordsLost()
{
    forgetAbsence();
}

void StreamVersions::forgetAbsence()
{
    for (auto &[service, versions] : m_versions) {
        for (auto &[version, seen] : versions)
            seen.absentAt = Instant::min();
    }
}

Duration StreamVersions::viewAge(Instant now) const
{
    return now - m_viewAt;
}

void StreamVersions::onRecordsRead(Instant calledAt)
{
    m_recordsReadAt = std::max(m_recordsReadAt, calledAt);
}

bool StreamVersions::areRecordsRead(Instant arrival) const
{
    return m_recordsReadAt >= arrival + recordTime;
}

void StreamVersions::onServing(const std::string &service, const std::map<std::string, unsigned> &versions, Instant now)
{
    auto &known = m_versions[service];
    const bool isFirst
        = std::ranges::none_of(known, [](const auto &item) { return item.second.firstSeen != Instant{}; });
    for (const auto &[version, upstreams] : versions) {
        const auto [it, isNew] = known.try_emplace(version);
        auto &seen = it->second;
        if (isNew && !isFirst)
            seen.absentAt = m_viewAt;
        if (seen.firstSeen == Instant{})
            seen.firstSeen = now;
        seen.isServing = true;
        if (now - seen.firstSeen >= admissionDelay && viewAge(now) <= maxViewAge)
            seen.isEstablished = true;
        seen.upstreams = upstreams;
        seen.lastSeen = now;
    }
    if (isFirst && !versions.empty()) {
        const auto most = std::ranges::max_element(versions, {}, [](const auto &item) { return item.second; });
        known[most->first].isEstablished = true;
    }
    for (auto &[version, seen] : known) {
        if (!versions.contains(version))
            seen.isServing = false;
    }
    // Without another version that stays, new streams begin at a further one at once.
    const bool hasStaying = std::ranges::any_of(known, [](const auto &item) {
        return item.second.isEstablished && item.second.isServing && item.second.upstreams > 0;
    });
    for (auto &[version, seen] : known) {
        if (seen.isServing && !hasStaying)
            seen.absentAt = Instant::min();
    }
    std::erase_if(known, [now](const auto &item) {
        return !item.second.isServing && now - item.second.lastSeen > streamLifetime;
    });
}

void StreamVersions::onHistory(const std::string &service, const SoftwareHistory &history, Instant now,
                               std::int64_t wallMs)
{
    auto &known = m_versions[service];
    const bool hasView
        = std::ranges::any_of(known, [](const auto &item) { return item.second.firstSeen != Instant{}; });
    for (const auto &version : history.serving) {
        const auto [it, isNew] = known.try_emplace(version);
        auto &seen = it->second;
        if (isNew && hasView)
            seen.absentAt = m_viewAt; // The history is ahead of the view.
        // One that has just joined is written too, and new streams may not begin there yet.
        const auto since = history.since.find(version);
        const bool isOld = since != history.since.end()
                           && std::chrono::milliseconds{wallMs - since->second} >= admissionDelay + clockTolerance;
        seen.isEstablished = seen.isEstablished || isOld || history.serving.size() == 1;
        seen.lastSeen = std::max(seen.lastSeen, now);
    }
    for (const auto &[version, leftMs] : history.left) {
        const std::chrono::milliseconds age{wallMs - leftMs};
        if (!known.contains(version) && age < streamLifetime + clockTolerance)
            known[version].lastSeen = now;
    }
}

SoftwareHistory StreamVersions::historyOf(const std::string &service, Instant now, std::int64_t wallMs) const
{
    SoftwareHistory history;
    const auto it = m_versions.find(service);
    if (it == m_versions.end())
        return history;
    for (const auto &[version, seen] : it->second) {
        if (seen.isServing) {
            history.serving.insert(version);
            history.since.emplace(version, seen.isEstablished ? 0 : wallMs - milliseconds(now - seen.firstSeen));
        } else if (now - seen.lastSeen < streamLifetime) {
            history.left.emplace(version, wallMs - milliseconds(now - seen.lastSeen));
        }
    }
    return history;
}

std::vector<std::string> StreamVersions::services() const
{
    std::vector<std::string> services;
    for (const auto &[service, versions] : m_versions)
        services.push_back(service);
    return services;
}

bool StreamVersions::isMixed(const std::string &service, Instant now) const
{
    const auto it = m_versions.find(service);
    return it != m_versions.end() && std::ranges::count_if(it->second, [now](const auto &item) {
                                         return item.second.isServing || now - item.second.lastSeen < streamLifetime;
                                     }) > 1;
}

std::set<std::string> StreamVersions::heldVersions(const std::string &service) const
{
    std::set<std::string> held;
    bool hasOther = false;
    const auto it = m_versions.find(service);
    if (it == m_versions.end())
        return held;
    for (const auto &[version, seen] : it->second) {
        if (!seen.isServing)
            continue;
        if (seen.isEstablished)
            hasOther = hasOther || seen.upstreams > 0;
        else
            held.insert(version);
    }
    // Without another version that serves, there is nothing to wait for.
    return hasOther ? held : std::set<std::string>{};
}

void StreamVersions::onBegun(const StreamOrigin &stream, Instant now)
{
    if (m_streams.size() >= maxStreams)
        return;
    m_streams[stream.id] = {stream.service, stream.version, now + streamLifetime, VersionSource::Begun};
    m_unrecorded.push_back(stream.id);
}

void StreamVersions::forget(StreamId id)
{
    m_streams.erase(id);
}

void StreamVersions::learn(const StreamOrigin &stream, Instant now, VersionSource source)
{
    if (m_streams.size() < maxStreams)
        m_streams.try_emplace(stream.id, Stream{stream.service, stream.version, now + streamLifetime, source});
}

std::optional<std::string> StreamVersions::versionFor(StreamId id, const std::string &service, Duration viewAge,
                                                      Instant now) const
{
    if (const auto it = m_streams.find(id); it != m_streams.end())
        return it->second.service == service ? std::optional(it->second.version) : std::nullopt;
    const auto known = m_versions.find(service);
    if (known == m_versions.end() || viewAge > maxViewAge || isMixed(service, now))
        return std::nullopt;
    for (const auto &[version, seen] : known->second) {
        if (seen.isServing)
            return version;
    }
    return std::nullopt;
}

std::optional<std::string> StreamVersions::derivedVersion(const std::string &service, Instant arrival, Instant lastLost,
                                                          Instant now) const
{
    const auto known = m_versions.find(service);
    if (known == m_versions.end() || !areRecordsRead(arrival) || viewAge(now) > maxViewAge)
        return std::nullopt;
    const bool canBeTakenUp = lastLost > now - streamLifetime;
    const Version *only = nullptr;
    std::optional<std::string> result;
    for (const auto &[version, seen] : known->second) {
        if (!seen.isServing && now - seen.lastSeen >= streamLifetime)
            continue;
        const bool isKnownToJoin = seen.absentAt != Instant::min();
        if (isKnownToJoin && (!canBeTakenUp || lastLost < seen.absentAt + cutOffTime))
            continue;
        if (std::exchange(only, &seen))
            return std::nullopt;
        result = version;
    }
    return result;
}

std::optional<VersionSource> StreamVersions::sourceOf(StreamId id) const
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? std::nullopt : std::optional(it->second.source);
}

void StreamVersions::onTakenUp(const std::string &service, Instant now)
{
    m_takenUpAt[service] = now;
}

bool StreamVersions::yieldsToTakeUps(const std::string &service, Instant now) const
{
    const auto it = m_takenUpAt.find(service);
    return it != m_takenUpAt.end() && now - it->second < yieldingTime && isMixed(service, now);
}

std::vector<StreamOrigin> StreamVersions::takeUnrecorded(Instant now)
{
    std::vector<StreamOrigin> streams;
    std::erase_if(m_unrecorded, [&](StreamId id) {
        const auto it = m_streams.find(id);
        if (it == m_streams.end())
            return true;
        if (!isMixed(it->second.service, now))
            return false;
        streams.push_back({id, it->second.service, it->second.version});
        return true;
    });
    return streams;
}

void StreamVersions::prune(Instant now)
{
    std::erase_if(m_streams, [now](const auto &item) { return now > item.second.until; });
    std::erase_if(m_unrecorded, [this](StreamId id) { return !m_streams.contains(id); });
}

} // namespace Gypsumtally::Gateway
