#include "configuration/configurationkeeper.h"

#include <algorithm>

namespace Gypsumtally
{

using namespace ConfigurationActions;

namespace
{

constexpr std::size_t recentVersions = 4;
constexpr int failedPollDivisor = 4; ///< Divides the poll interval after a failed read.

} // namespace

ConfigurationKeeper::ConfigurationKeeper(KeeperOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    m_recent.emplace_front(0, std::make_shared<const FleetConfiguration>());
}

void ConfigurationKeeper::start(Instant now, ConfigurationActionList &actions)
{
    actions.emplace_back(Install{0, m_recent.front().second});
    poll(now, actions);
    announce(actions, m_options.fanout);
    m_nextGossip = now + jittered(m_options.gossipInterval);
}

void ConfigurationKeeper::setPeers(std::vector<NodeId> peers)
{
    m_peers = std::move(peers);
}

void ConfigurationKeeper::onTick(Instant now, ConfigurationActionList &actions)
{
    if (now >= m_nextPoll && m_pollTag == 0)
        poll(now, actions);
    if (now >= m_nextGossip) {
        announce(actions, 1);
        m_nextGossip = now + jittered(m_options.gossipInterval);
    }
    std::erase_if(m_fetches, [now](const auto &fetch) { return fetch.second <= now; });
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &apply : waiting) {
        if (now >= apply.deadline)
            answer(apply, apply.mayBeWritten ? ApplyOutcome::Unknown : ApplyOutcome::Unavailable, actions);
        else if (now >= apply.nextRead)
            read(apply, Phase::Resolving, actions);
        else
            m_waiting.push_back(apply);
    }
}

Instant ConfigurationKeeper::nextDeadline() const
{
    auto next = std::min(m_nextPoll, m_nextGossip);
    for (const auto &apply : m_waiting)
        next = std::min({next, apply.nextRead, apply.deadline});
    return next;
}

void ConfigurationKeeper::onKeyReply(std::uint64_t tag, const KeyReply &reply, Instant now,
                                     ConfigurationActionList &actions)
{
    if (tag == m_pollTag) {
        m_pollTag = 0;
        const auto stored = reply.outcome == KeyOutcome::Applied ? decodeStored(reply.values) : std::nullopt;
        m_known |= stored.has_value();
        if (stored)
            adopt(stored->record, actions);
        else
            m_nextPoll = now + jittered(pollInterval() / failedPollDivisor);
        return;
    }
    const auto found = m_applies.find(tag);
    if (found == m_applies.end())
        return;
    auto apply = std::move(found->second);
    m_applies.erase(found);
    if (apply.phase == Phase::Writing)
        onWritten(std::move(apply), reply, now, actions);
    else
        onRead(std::move(apply), reply, now, actions);
}

void ConfigurationKeeper::onWatched(const KeyValue &value, Instant, ConfigurationActionList &actions)
{
    if (const auto stored = decodeStored({value}))
        adopt(stored->record, actions);
}

void ConfigurationKeeper::onPeerVersion(const NodeId &peer, ConfigurationVersion version, Instant now,
                                        ConfigurationActionList &actions)
{
    if (!m_options.guards.useGossip)
        return;
    if (version == m_record.version && version > 0)
        m_known = true;
    if (version <= m_record.version && m_options.guards.onlyHigherVersions)
        return;
    if (m_fetches.try_emplace(peer, now + m_options.fetchTimeout).second)
        actions.emplace_back(FetchFromPeer{peer});
}

void ConfigurationKeeper::onPeerRecord(const NodeId &peer, const std::string &encoded, Instant,
                                       ConfigurationActionList &actions)
{
    m_fetches.erase(peer);
    const auto record = ConfigurationRecord::decode(encoded);
    if (!record)
        return;
    m_known = true;
    adopt(*record, actions);
}

void ConfigurationKeeper::onFetchFailed(const NodeId &peer)
{
    m_fetches.erase(peer);
}

void ConfigurationKeeper::apply(std::uint64_t request, ApplyRequest change, Instant now,
                                ConfigurationActionList &actions)
{
    PendingApply pending;
    pending.request = request;
    pending.change = std::move(change);
    pending.deadline = now + m_options.applyTimeout;
    auto parsed = FleetConfiguration::parse(pending.change.text, "configuration");
    if (pending.change.changeId.empty())
        parsed = {std::nullopt, {{"configuration", 0, "change_id", "must not be empty"}}};
    if (!parsed) {
        actions.emplace_back(
            AnswerApply{request, {ApplyOutcome::Invalid, m_record.version, std::move(parsed.problems), {}, {}, {}}});
        return;
    }
    read(std::move(pending), Phase::Reading, actions);
}

std::optional<ConfigurationKeeper::StoredRecord>
ConfigurationKeeper::decodeStored(const std::vector<KeyValue> &values) const
{
    const auto *value = findKey(values, configurationKey);
    if (value == nullptr)
        return StoredRecord{};
    auto record = ConfigurationRecord::decode(value->value);
    if (!record)
        return std::nullopt;
    return StoredRecord{value->modRevision, std::move(*record)};
}

void ConfigurationKeeper::adopt(const ConfigurationRecord &record, ConfigurationActionList &actions)
{
    if (record.version == m_record.version || record.version == 0)
        return;
    if (record.version < m_record.version && m_options.guards.onlyHigherVersions)
        return;
    m_record = record;
    announce(actions, m_options.fanout);
    auto parsed = FleetConfiguration::parse(record.text, "configuration version " + std::to_string(record.version));
    m_rejection = std::move(parsed.problems);
    if (!parsed)
        return;
    m_inForce = record.version;
    m_recent.emplace_front(record.version, std::make_shared<const FleetConfiguration>(std::move(*parsed.value)));
    if (m_recent.size() > recentVersions)
        m_recent.pop_back();
    actions.emplace_back(Install{m_inForce, m_recent.front().second});
}

void ConfigurationKeeper::announce(ConfigurationActionList &actions, std::size_t count)
{
    if (!m_options.guards.useGossip)
        return;
    std::vector<NodeId> chosen;
    std::ranges::sample(m_peers, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), m_random);
    for (auto &peer : chosen)
        actions.emplace_back(AnnounceToPeer{std::move(peer), m_record.version});
}

std::uint64_t ConfigurationKeeper::call(std::variant<KeyTransaction, KeyRead> operation,
                                        ConfigurationActionList &actions)
{
    actions.emplace_back(CallKeyValue{{++m_lastTag, std::move(operation)}});
    return m_lastTag;
}

void ConfigurationKeeper::poll(Instant now, ConfigurationActionList &actions)
{
    m_nextPoll = now + jittered(pollInterval());
    if (m_options.guards.pollStore)
        m_pollTag = call(KeyRead{configurationKey, false}, actions);
}

void ConfigurationKeeper::read(PendingApply apply, Phase phase, ConfigurationActionList &actions)
{
    apply.phase = phase;
    const auto tag = call(KeyRead{configurationKey, false}, actions);
    m_applies.emplace(tag, std::move(apply));
}

void ConfigurationKeeper::write(PendingApply apply, const StoredRecord &stored, ConfigurationActionList &actions)
{
    const auto &change = apply.change;
    const auto version = std::max(change.baseVersion, stored.record.version) + 1;
    ConfigurationRecord record{version, change.text, stored.record.history};
    record.history.insert(record.history.begin(),
                          {version, change.changeId, change.author, change.reason, change.submittedAtMs});
    if (record.history.size() > configurationHistoryLength)
        record.history.resize(configurationHistoryLength);
    auto encoded = record.encode();
    if (encoded.size() > maxConfigurationBytes) {
        answerTooLarge(apply, encoded.size(), actions);
        return;
    }
    KeyTransaction transaction;
    if (m_options.guards.compareRevision)
        transaction.compares.push_back({configurationKey, stored.modRevision});
    transaction.puts.push_back({configurationKey, std::move(encoded), KeyLifetime::Durable});
    apply.phase = Phase::Writing;
    apply.comparedRevision = stored.modRevision;
    apply.written = std::move(record);
    const auto tag = call(std::move(transaction), actions);
    m_applies.emplace(tag, std::move(apply));
}

void ConfigurationKeeper::onRead(PendingApply apply, const KeyReply &reply, Instant now,
                                 ConfigurationActionList &actions)
{
    const auto stored = reply.outcome == KeyOutcome::Applied ? decodeStored(reply.values) : std::nullopt;
    if (stored) {
        adopt(stored->record, actions);
        continueApply(std::move(apply), *stored, now, actions);
    } else if (apply.mayBeWritten) {
        retryLater(std::move(apply), now, actions);
    } else {
        answer(apply, ApplyOutcome::Unavailable, actions);
    }
}

void ConfigurationKeeper::onWritten(PendingApply apply, const KeyReply &reply, Instant now,
                                    ConfigurationActionList &actions)
{
    const auto stored = reply.outcome == KeyOutcome::Conflict ? decodeStored(reply.values) : std::nullopt;
    if (reply.outcome == KeyOutcome::Applied) {
        adopt(apply.written, actions);
        answerApplied(apply, apply.written.version, actions);
    } else if (stored) {
        adopt(stored->record, actions);
        continueApply(std::move(apply), *stored, now, actions);
    } else if (reply.outcome == KeyOutcome::Unknown && m_options.guards.resolveUnknownByRead) {
        apply.mayBeWritten = true;
        read(std::move(apply), Phase::Resolving, actions);
    } else if (apply.mayBeWritten) {
        retryLater(std::move(apply), now, actions);
    } else {
        answer(apply, ApplyOutcome::Unavailable, actions);
    }
}

void ConfigurationKeeper::continueApply(PendingApply apply, const StoredRecord &stored, Instant now,
                                        ConfigurationActionList &actions)
{
    const auto *own = stored.record.find(apply.change.changeId);
    if (own == nullptr) // The read may be stale while a peer sent a newer record.
        own = m_record.find(apply.change.changeId);
    if (own != nullptr && m_options.guards.findOwnChange)
        answerApplied(apply, own->version, actions);
    else if (apply.mayBeWritten)
        resolveLostReply(std::move(apply), stored, now, actions);
    else
        writeIfBaseMatches(std::move(apply), stored, now, actions);
}

void ConfigurationKeeper::resolveLostReply(PendingApply apply, const StoredRecord &stored, Instant now,
                                           ConfigurationActionList &actions)
{
    if (stored.modRevision < apply.comparedRevision) {
        retryLater(std::move(apply), now, actions);
    } else if (stored.modRevision > apply.comparedRevision) {
        // The compare of the lost write can't succeed any more. If the key still holds the base version, that compare
        // used a stale revision, so the write was never applied.
        if (stored.record.version == apply.change.baseVersion)
            apply.mayBeWritten = false;
        writeIfBaseMatches(std::move(apply), stored, now, actions);
    } else if (m_options.guards.repeatLostWrite) {
        // Both writes have the same compare, so whichever is applied first makes the other fail.
        write(std::move(apply), stored, actions);
    } else {
        answer(apply, ApplyOutcome::Unavailable, actions);
    }
}

void ConfigurationKeeper::writeIfBaseMatches(PendingApply apply, const StoredRecord &stored, Instant now,
                                             ConfigurationActionList &actions)
{
    const auto base = apply.change.baseVersion;
    const bool isAbsent = stored.modRevision == 0;
    const bool isBase = isAbsent ? base == m_record.version : base == stored.record.version;
    if (isBase || !m_options.guards.checkBaseVersion)
        write(std::move(apply), stored, actions);
    else if (base < stored.record.version)
        answerConflict(apply, stored, actions);
    else if (base < m_record.version)
        answerConflict(apply, {0, m_record}, actions);
    else
        retryLater(std::move(apply), now, actions);
}

void ConfigurationKeeper::retryLater(PendingApply apply, Instant now, ConfigurationActionList &actions)
{
    if (now >= apply.deadline) {
        answer(apply, apply.mayBeWritten ? ApplyOutcome::Unknown : ApplyOutcome::Unavailable, actions);
        return;
    }
    apply.phase = Phase::Waiting;
    apply.nextRead = now + m_options.resolveInterval;
    m_waiting.push_back(std::move(apply));
}

void ConfigurationKeeper::answer(const PendingApply &apply, ApplyOutcome outcome, ConfigurationActionList &actions)
{
    // An earlier attempt at the same change may have been written, so "not written" would be uncertain.
    if (apply.change.isRepeated && outcome == ApplyOutcome::Unavailable)
        outcome = ApplyOutcome::Unknown;
    actions.emplace_back(AnswerApply{apply.request, {outcome, m_record.version, {}, {}, {}, {}}});
}

void ConfigurationKeeper::answerApplied(const PendingApply &apply, ConfigurationVersion version,
                                        ConfigurationActionList &actions)
{
    actions.emplace_back(AnswerApply{apply.request, {ApplyOutcome::Applied, version, {}, {}, {}, {}}});
}

void ConfigurationKeeper::answerTooLarge(const PendingApply &apply, std::size_t bytes, ConfigurationActionList &actions)
{
    const Problem problem{"configuration",
                          0,
                          {},
                          "needs " + std::to_string(bytes) + " bytes; the key-value service holds at most "
                              + std::to_string(maxConfigurationBytes)};
    actions.emplace_back(AnswerApply{apply.request, {ApplyOutcome::Invalid, m_record.version, {problem}, {}, {}, {}}});
}

void ConfigurationKeeper::answerConflict(const PendingApply &apply, const StoredRecord &stored,
                                         ConfigurationActionList &actions)
{
    const auto &history = stored.record.history;
    const auto base = apply.change.baseVersion;
    const bool reachesBase = history.empty() || history.back().version <= base + 1;
    if (!reachesBase && (apply.mayBeWritten || apply.change.isRepeated)) {
        answer(apply, ApplyOutcome::Unknown, actions);
        return;
    }
    ApplyResult result{ApplyOutcome::Conflict, stored.record.version, {}, {}, {}, {}};
    std::ranges::copy_if(history, std::back_inserter(result.changesSince),
                         [base](const auto &change) { return change.version > base; });
    const auto now = FleetConfiguration::parse(stored.record.text, "configuration");
    const auto wanted = FleetConfiguration::parse(apply.change.text, "configuration");
    if (now && wanted)
        result.settingsWanted = difference(*now.value, *wanted.value);
    if (const auto seen = recentVersion(base); now && seen)
        result.settingsSince = difference(*seen, *now.value);
    actions.emplace_back(AnswerApply{apply.request, std::move(result)});
}

std::shared_ptr<const FleetConfiguration> ConfigurationKeeper::recentVersion(ConfigurationVersion version) const
{
    for (const auto &[number, configuration] : m_recent) {
        if (number == version)
            return configuration;
    }
    return nullptr;
}

Duration ConfigurationKeeper::pollInterval() const
{
    const auto shared = static_cast<double>(m_peers.size() + 1) / m_options.fleetPollsPerSecond;
    return std::max(m_options.pollInterval,
                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(shared)));
}

Duration ConfigurationKeeper::jittered(Duration interval)
{
    std::uniform_int_distribution<std::int64_t> spread(interval.count() * 3 / 4, interval.count() * 5 / 4);
    return Duration{spread(m_random)};
}

} // namespace Gypsumtally
