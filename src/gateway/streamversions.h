#pragma once

#include "common/clock.h"
#include "common/enumtable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Gypsumtally::Gateway
{

/// Identifies a stream: a hash of the id of the request that brought its first event.
using StreamId = std::uint64_t;

/// Returns the identifier of the stream that the request with @p requestId began. Thread-safe.
StreamId streamIdOf(std::string_view requestId);

/// A stream and the software version of the upstream that began it.
struct StreamOrigin {
    StreamId id = 0;
    std::string service;
    std::string version;

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/// How a node knows at which software version a stream began.
enum class VersionSource {
    Begun, ///< The stream began at this node.
    Peer, ///< Another node has told it.
    Record, ///< It is recorded in the store.
    OnlyVersion, ///< No other version has served within a stream's life.
    Derived, ///< No stream of another version can be unknown.
    Relayed, ///< The node that has passed the call on knew it.
};

/// The software versions that have served a service lately, as kept in the store.
struct SoftwareHistory {
    std::set<std::string> serving;
    std::map<std::string, std::int64_t> left; ///< Versions that serve no more, with the time, in ms of the wall clock.
    /// Time from which serving versions were seen, in ms of the wall clock; 0 for long ago. Empty if that is not
    /// stated.
    std::map<std::string, std::int64_t> since = {};

    friend bool operator==(const SoftwareHistory &, const SoftwareHistory &) = default;
};

/// Knows which software versions serve, and at which one each stream may go on: what two versions write does not fit
/// together. Not thread-safe; does no I/O.
class StreamVersions
{
public:
    /// Time for which callers may take up a stream, and for which a version counts after it has left.
    static constexpr Duration streamLifetime = std::chrono::seconds{40};
    /// Time from the first sight of a further version until new streams begin there. All nodes that read the registry
    /// know of it by then; those that do not have a view that is older than maxViewAge.
    static constexpr Duration admissionDelay = std::chrono::seconds{4};
    /// Age of the view of the registry from which a node does not conclude at which version a stream began.
    static constexpr Duration maxViewAge = std::chrono::seconds{2};
    /// Time from the first sight of a further version within which a node that is cut off does not admit it any more,
    /// as its view is too old by the time of the admission; less the time between two of its reports.
    static constexpr Duration cutOffTime = admissionDelay - maxViewAge - std::chrono::milliseconds{500};

    /// Records that all changes of the registry up to @p time have been observed. Call it after onServing().
    void onView(Instant time);

    /// Returns the age of the view of the registry: the time since it was certainly up to date.
    Duration viewAge(Instant now) const;

    /// Records the versions of the upstreams of @p service in the registry, with the number of upstreams of each that
    /// stay in service.
    void onServing(const std::string &service, const std::map<std::string, unsigned> &versions, Instant now);

    /// Records the history of @p service in the store. @p wallMs is the time by the wall clock.
    void onHistory(const std::string &service, const SoftwareHistory &history, Instant now, std::int64_t wallMs);

    /// Returns the history of @p service to be kept in the store.
    SoftwareHistory historyOf(const std::string &service, Instant now, std::int64_t wallMs) const;

    /// Returns the services whose versions have been observed.
    std::vector<std::string> services() const;

    /// Returns true if streams of more than one version of @p service may exist.
    bool isMixed(const std::string &service, Instant now) const;

    /// Returns the versions of @p service that serve and at which new streams may not begin yet.
    std::set<std::string> heldVersions(const std::string &service) const;

    /// Records that a stream of this node has brought its first event.
    void onBegun(const StreamOrigin &stream, Instant now);

    /// Forgets a stream that has ended in order, so that it will not be taken up, or whose version is in doubt.
    void forget(StreamId id);

    /// Records the version of a stream that another node or the store knows, as @p source says.
    void learn(const StreamOrigin &stream, Instant now, VersionSource source = VersionSource::Peer);

    /// Records that the records in the store were read by a call at @p calledAt.
    void onRecordsRead(Instant calledAt);

    /// Records that the store may have lost records of streams, so that unknown ones may have begun at any version.
    void onRecordsLost();

    /// Returns true if the records in the store were read when all streams from before @p arrival were recorded whose
    /// nodes have lived since then.
    bool areRecordsRead(Instant arrival) const;

    /// Returns the version at which stream @p id of @p service may go on; nothing if that is unknown. @p viewAge is the
    /// age of the view of the registry.
    std::optional<std::string> versionFor(StreamId id, const std::string &service, Duration viewAge, Instant now) const;

    /// Returns the only version at which a stream of @p service can have begun that a caller took up at @p arrival and
    /// that no node which has lived since then has recorded; nothing if it can be one of several. @p lastLost is the
    /// last time at which a node may have begun streams that has not been heard from since @p arrival.
    std::optional<std::string> derivedVersion(const std::string &service, Instant arrival, Instant lastLost,
                                              Instant now) const;

    /// Returns how the version of stream @p id of @p service is known; nothing if it is not known by name.
    std::optional<VersionSource> sourceOf(StreamId id) const;

    /// Records that a caller takes up a stream of @p service.
    void onTakenUp(const std::string &service, Instant now);

    /// Returns true if new streams should leave room for those that callers take up, which only the upstreams of one of
    /// several versions can serve.
    bool yieldsToTakeUps(const std::string &service, Instant now) const;

    /// Returns the streams of this node that have begun since the last call and have not ended, of services with more
    /// than one version; all of a service's once a second version appears.
    std::vector<StreamOrigin> takeUnrecorded(Instant now);

    /// Forgets streams that cannot be taken up any more. Call it several times per minute.
    void prune(Instant now);

private:
    void forgetAbsence();

    /// Time from the start of a stream at a live node until its record is in the store, with one call of the store.
    static constexpr Duration recordTime = std::chrono::milliseconds{250};

    struct Version {
        /// When it did not serve yet and had not for a stream's life; Instant::min() if nothing is known of that.
        Instant absentAt = Instant::min();
        Instant firstSeen{};
        Instant lastSeen{};
        bool isServing = false;
        unsigned upstreams = 0; ///< That stay in service.
        bool isEstablished = false; ///< New streams may begin there.
    };

    struct Stream {
        std::string service;
        std::string version;
        Instant until{};
        VersionSource source = VersionSource::Begun;
    };

    std::map<std::string, std::map<std::string, Version>> m_versions; ///< By service and version.
    Instant m_viewAt{}; ///< Time at which the view of the registry was up to date.
    Instant m_recordsReadAt{};
    std::unordered_map<StreamId, Stream> m_streams;
    std::map<std::string, Instant> m_takenUpAt; ///< Last time that a caller took up a stream, by service.
    std::vector<StreamId> m_unrecorded; ///< Own streams that takeUnrecorded() has not returned.
};

} // namespace Gypsumtally::Gateway

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Gateway::VersionSource, 6> enumNames<Gateway::VersionSource>{{
    {Gateway::VersionSource::Begun, "begun-here"},
    {Gateway::VersionSource::Peer, "peer"},
    {Gateway::VersionSource::Record, "record"},
    {Gateway::VersionSource::OnlyVersion, "only-version"},
    {Gateway::VersionSource::Derived, "derived"},
    {Gateway::VersionSource::Relayed, "relayed"},
}};

} // namespace Gypsumtally
