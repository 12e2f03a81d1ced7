#pragma once

#include "common/clock.h"
#include "common/identifiers.h"
#include "common/keyvalue.h"
#include "configuration/configurationrecord.h"
#include "configuration/fleetconfiguration.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Gypsumtally
{

/// A request by an operator to replace the configuration.
struct ApplyRequest {
    std::string changeId; ///< Unique for each change; a retry reuses it.
    ConfigurationVersion baseVersion = 0; ///< The version that the change is based on.
    std::string author;
    std::string reason;
    std::int64_t submittedAtMs = 0;
    std::string text;
    bool isRepeated = false; ///< An earlier attempt may have been written, possibly through another node.
};

/// The outcome of an ApplyRequest.
enum class ApplyOutcome {
    Applied,
    Conflict, ///< Another change was applied first; nothing was written.
    Invalid, ///< The text is not a valid configuration; nothing was written.
    Unavailable, ///< The key-value service is unreachable; nothing was written.
    Unknown, ///< The change may have been written; retry it with the same change id.
};

template<>
inline constexpr EnumTable<ApplyOutcome, 5> enumNames<ApplyOutcome>{{
    {ApplyOutcome::Applied, "applied"},
    {ApplyOutcome::Conflict, "conflict"},
    {ApplyOutcome::Invalid, "invalid"},
    {ApplyOutcome::Unavailable, "unavailable"},
    {ApplyOutcome::Unknown, "unknown"},
}};

/// The answer to an ApplyRequest.
struct ApplyResult {
    ApplyOutcome outcome = ApplyOutcome::Unknown;
    ConfigurationVersion version = 0; ///< Created by the change if applied, else the current one; 0 if unknown.
    std::vector<Problem> problems; ///< The problems found in an invalid text.
    std::vector<ConfigurationChange> changesSince; ///< On conflict: the changes after the base version, newest first.
    std::vector<SettingChange> settingsSince; ///< On conflict: changes since the base version, if it is cached.
    std::vector<SettingChange> settingsWanted; ///< On conflict: changes from the current version to the text.
};

/// Actions that the owner of a ConfigurationKeeper must execute.
namespace ConfigurationActions
{

/// Sends a call to the key-value service; the reply must be passed to onKeyReply().
struct CallKeyValue {
    KeyCall call;
};

/// Puts a configuration in force. The versions of successive actions increase.
struct Install {
    ConfigurationVersion version = 0;
    std::shared_ptr<const FleetConfiguration> configuration;
};

/// Sends this node's version to a peer; the version in the peer's reply must be passed to onPeerVersion().
struct AnnounceToPeer {
    NodeId peer;
    ConfigurationVersion version = 0;
};

/// Requests a peer's encoded record; the reply must be passed to onPeerRecord(), a failure to onFetchFailed().
struct FetchFromPeer {
    NodeId peer;
};

/// Delivers the result of the apply() call with the same request number.
struct AnswerApply {
    std::uint64_t request = 0;
    ApplyResult result;
};

} // namespace ConfigurationActions

using ConfigurationAction = std::variant<ConfigurationActions::CallKeyValue, ConfigurationActions::Install,
                                         ConfigurationActions::AnnounceToPeer, ConfigurationActions::FetchFromPeer,
                                         ConfigurationActions::AnswerApply>;
using ConfigurationActionList = std::vector<ConfigurationAction>;

/// Safeguards of ConfigurationKeeper. Only tests disable one, to verify that they detect its absence.
struct ConfigurationGuards {
    bool onlyHigherVersions = true;
    bool compareRevision = true;
    bool checkBaseVersion = true;
    bool resolveUnknownByRead = true;
    bool repeatLostWrite = true; ///< Repeat a lost write that a read did not return; it may still be applied.
    bool findOwnChange = true; ///< Search the history for the change id before reporting a conflict.
    bool useGossip = true;
    bool pollStore = true;
};

/// Timing and gossip options of a ConfigurationKeeper.
struct KeeperOptions {
    Duration pollInterval = std::chrono::seconds{2}; ///< Minimum time between reads of the key, before jitter.
    double fleetPollsPerSecond = 4; ///< Maximum rate of reads of the key by all nodes together.
    Duration gossipInterval = std::chrono::seconds{1}; ///< Time between announcements to a random peer.
    std::size_t fanout = 3; ///< Number of peers that are notified at once of a new version.
    Duration fetchTimeout = std::chrono::milliseconds{1500}; ///< Time until a peer may be asked for a record again.
    Duration resolveInterval = std::chrono::milliseconds{300}; ///< Time between reads after a lost reply.
    Duration applyTimeout = std::chrono::seconds{10}; ///< Time after which an apply() is no longer retried.
    std::uint64_t seed = 0; ///< Seed for the choice of peers and for jitter; different on each node.
    ConfigurationGuards guards;
};

/// Keeps the configuration of one node at the highest version received and executes operators' changes. Performs no
/// I/O: events are passed in with their time, and resulting actions are appended to a list. Not thread-safe.
class ConfigurationKeeper
{
public:
    explicit ConfigurationKeeper(KeeperOptions options);

    /// Installs the built-in defaults and requests the configuration from the store. Must be called once, before any
    /// other event.
    void start(Instant now, ConfigurationActionList &actions);

    /// Sets the live peers, excluding this node.
    void setPeers(std::vector<NodeId> peers);

    /// Performs all work that is due. Must be called at nextDeadline() or every few hundred milliseconds.
    void onTick(Instant now, ConfigurationActionList &actions);

    /// Returns the time at which onTick() next has work to do.
    Instant nextDeadline() const;

    /// Handles the reply to a CallKeyValue.
    void onKeyReply(std::uint64_t tag, const KeyReply &reply, Instant now, ConfigurationActionList &actions);

    /// Handles a write of configurationKey that a watch reported. A watch is optional: polling and gossip suffice.
    void onWatched(const KeyValue &value, Instant now, ConfigurationActionList &actions);

    /// Handles a peer's version, from its announcement or from its reply to one.
    void onPeerVersion(const NodeId &peer, ConfigurationVersion version, Instant now, ConfigurationActionList &actions);

    /// Handles a peer's encoded record, which is empty if the peer has none.
    void onPeerRecord(const NodeId &peer, const std::string &encoded, Instant now, ConfigurationActionList &actions);

    /// Handles the failure of a FetchFromPeer.
    void onFetchFailed(const NodeId &peer);

    /// Starts an operator's change; the result follows as an AnswerApply with the same @p request.
    void apply(std::uint64_t request, ApplyRequest change, Instant now, ConfigurationActionList &actions);

    /// Returns the version in force on this node.
    ConfigurationVersion versionInForce() const
    {
        return m_inForce;
    }

    /// Returns the newest record received, which is also the one sent to peers; an empty record of version 0 if there
    /// is none.
    const ConfigurationRecord &record() const
    {
        return m_record;
    }

    /// Returns true once the key-value service or a peer has reported the current state of the configuration. Until
    /// then the node should not report itself ready.
    bool isKnown() const
    {
        return m_known;
    }

    /// Returns the problems because of which the newest record is not in force on this node; empty if it is in force.
    /// For example, an older daemon may not support a setting.
    const std::vector<Problem> &rejection() const
    {
        return m_rejection;
    }

private:
    enum class Phase {
        Reading,
        Writing,
        Resolving, ///< A read after a lost reply is in flight.
        Waiting, ///< No call is in flight; the key will be read again at nextRead.
    };

    struct PendingApply {
        std::uint64_t request = 0;
        ApplyRequest change;
        Phase phase = Phase::Reading;
        Revision comparedRevision = 0;
        ConfigurationRecord written; ///< The record of the last write.
        bool mayBeWritten = false;
        Instant deadline;
        Instant nextRead;
    };

    /// The state of the key in the key-value service.
    struct StoredRecord {
        Revision modRevision = 0; ///< 0 if the key is absent.
        ConfigurationRecord record;
    };

    std::optional<StoredRecord> decodeStored(const std::vector<KeyValue> &values) const;
    void adopt(const ConfigurationRecord &record, ConfigurationActionList &actions);
    void announce(ConfigurationActionList &actions, std::size_t count);
    std::uint64_t call(std::variant<KeyTransaction, KeyRead> operation, ConfigurationActionList &actions);
    void poll(Instant now, ConfigurationActionList &actions);
    void read(PendingApply apply, Phase phase, ConfigurationActionList &actions);
    void write(PendingApply apply, const StoredRecord &stored, ConfigurationActionList &actions);
    void onRead(PendingApply apply, const KeyReply &reply, Instant now, ConfigurationActionList &actions);
    void onWritten(PendingApply apply, const KeyReply &reply, Instant now, ConfigurationActionList &actions);
    /// Continues the change after a read or a conflict returned @p stored.
    void continueApply(PendingApply apply, const StoredRecord &stored, Instant now, ConfigurationActionList &actions);
    void resolveLostReply(PendingApply apply, const StoredRecord &stored, Instant now,
                          ConfigurationActionList &actions);
    void writeIfBaseMatches(PendingApply apply, const StoredRecord &stored, Instant now,
                            ConfigurationActionList &actions);
    void retryLater(PendingApply apply, Instant now, ConfigurationActionList &actions);
    void answer(const PendingApply &apply, ApplyOutcome outcome, ConfigurationActionList &actions);
    void answerApplied(const PendingApply &apply, ConfigurationVersion version, ConfigurationActionList &actions);
    void answerTooLarge(const PendingApply &apply, std::size_t bytes, ConfigurationActionList &actions);
    void answerConflict(const PendingApply &apply, const StoredRecord &stored, ConfigurationActionList &actions);
    Duration pollInterval() const;
    Duration jittered(Duration interval);
    std::shared_ptr<const FleetConfiguration> recentVersion(ConfigurationVersion version) const;

    KeeperOptions m_options;
    std::mt19937_64 m_random;
    std::vector<NodeId> m_peers;
    ConfigurationRecord m_record;
    ConfigurationVersion m_inForce = 0;
    std::vector<Problem> m_rejection;
    bool m_known = false;
    std::deque<std::pair<ConfigurationVersion, std::shared_ptr<const FleetConfiguration>>> m_recent;
    std::uint64_t m_lastTag = 0;
    std::uint64_t m_pollTag = 0; ///< Tag of the poll in flight; 0 if there is none.
    Instant m_nextPoll;
    Instant m_nextGossip;
    std::map<NodeId, Instant> m_fetches; ///< Deadlines of the fetches in flight.
    std::map<std::uint64_t, PendingApply> m_applies; ///< Changes by the tag of their call in flight.
    std::vector<PendingApply> m_waiting; ///< Changes in Phase::Waiting.
};

} // namespace Gypsumtally
