#include "configuration/keeperhistory.h"

#include <algorithm>

namespace Gypsumtally::Testing
{

using namespace std::chrono_literals;
using namespace ConfigurationActions;

namespace
{

constexpr Duration activeTime = 60s;
constexpr Duration quietTime = 20s;
constexpr Duration sampleInterval = 100ms;
constexpr Duration callTimeout = 500ms;
constexpr double messageLossProbability = 0.1;
constexpr double staleReadProbability = 0.1;
constexpr double replyLossProbability = 0.08;
constexpr double lateWriteProbability = 0.08;
constexpr double crashProbability = 0.08;

NodeId nodeName(std::size_t node)
{
    return {"entry-" + std::to_string(node)};
}

std::size_t nodeNumber(const NodeId &node)
{
    return std::stoul(node.value.substr(6));
}

} // namespace

KeeperHistory::KeeperHistory(std::uint64_t seed, ConfigurationGuards guards)
    : m_random(seed)
    , m_guards(guards)
    , m_nodes(3 + randomBelow(4))
{
}

HistoryReport KeeperHistory::run()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        startNode(node);
    planFaults();
    while (!m_events.empty() && m_report.violation.empty()) {
        const auto next = m_events.begin();
        m_now = next->first;
        const auto task = std::move(next->second);
        m_events.erase(next);
        if (m_now > Instant{activeTime + quietTime})
            break;
        task();
    }
    if (m_report.violation.empty())
        checkEnd();
    m_report.accepted = static_cast<unsigned>(m_accepted.size());
    m_report.refused = static_cast<unsigned>(m_refused.size());
    return m_report;
}

void KeeperHistory::at(Duration delay, std::function<void()> task)
{
    m_events.emplace(m_now + delay, std::move(task));
}

void KeeperHistory::atNode(std::size_t node, Duration delay, std::function<void(ConfigurationActionList &)> task)
{
    at(delay, [this, node, generation = m_nodes[node].generation, task = std::move(task)] {
        if (m_nodes[node].generation != generation || !m_nodes[node].keeper)
            return;
        ConfigurationActionList actions;
        task(actions);
        perform(node, actions);
    });
}

Duration KeeperHistory::randomDuration(Duration min, Duration max)
{
    return Duration{std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(m_random)};
}

bool KeeperHistory::chance(double probability)
{
    return std::bernoulli_distribution(m_quiet ? 0 : probability)(m_random);
}

std::size_t KeeperHistory::randomBelow(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

std::optional<std::size_t> KeeperHistory::randomLiveNode()
{
    std::vector<std::size_t> live;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes[node].keeper)
            live.push_back(node);
    }
    return live.empty() ? std::nullopt : std::optional{live[randomBelow(live.size())]};
}

void KeeperHistory::planFaults()
{
    for (std::size_t i = 0, outages = randomBelow(4); i < outages; ++i) {
        const auto begin = randomDuration(0s, activeTime - 10s);
        at(begin, [this] { m_outage = true; });
        at(begin + randomDuration(1s, 10s), [this] { m_outage = false; });
    }
    for (std::size_t i = 0, restarts = randomBelow(8); i < restarts; ++i) {
        const auto node = randomBelow(m_nodes.size());
        const auto begin = randomDuration(0s, activeTime - 10s);
        at(begin, [this, node] { stopNode(node); });
        at(begin + randomDuration(100ms, 5s), [this, node] { startNode(node); });
    }
    for (std::size_t i = 0, edits = 4 + randomBelow(12); i < edits; ++i)
        at(randomDuration(0s, activeTime - 10s), [this] { beginEdit(); });
    for (Duration when{}; when < activeTime + quietTime; when += sampleInterval)
        at(when, [this] { sampleLag(); });
    at(activeTime, [this] {
        m_outage = false;
        m_quiet = true;
    });
}

void KeeperHistory::startNode(std::size_t node)
{
    auto &self = m_nodes[node];
    if (self.keeper)
        return;
    KeeperOptions options;
    options.seed = m_random();
    options.guards = m_guards;
    self = Node{std::make_unique<ConfigurationKeeper>(options), self.generation + 1, 0, {}, {}};
    std::vector<NodeId> peers;
    for (std::size_t other = 0; other < m_nodes.size(); ++other) {
        if (other != node)
            peers.push_back(nodeName(other));
    }
    self.keeper->setPeers(std::move(peers));
    ConfigurationActionList actions;
    self.keeper->start(m_now, actions);
    perform(node, actions);
    tick(node);
}

void KeeperHistory::stopNode(std::size_t node)
{
    m_nodes[node].keeper.reset();
    ++m_nodes[node].generation;
}

void KeeperHistory::tick(std::size_t node)
{
    atNode(node, 50ms, [this, node](ConfigurationActionList &actions) {
        m_nodes[node].keeper->onTick(m_now, actions);
        tick(node);
    });
}

void KeeperHistory::perform(std::size_t node, const ConfigurationActionList &actions)
{
    for (const auto &action : actions)
        std::visit([&](const auto &one) { performOne(node, one); }, action);
}

void KeeperHistory::performOne(std::size_t node, const CallKeyValue &action)
{
    const auto answer = [this, node, tag = action.call.tag](Duration delay, KeyReply reply) {
        atNode(node, delay, [this, node, tag, reply = std::move(reply)](ConfigurationActionList &actions) {
            m_nodes[node].keeper->onKeyReply(tag, reply, m_now, actions);
        });
    };
    if (m_outage) {
        const bool wasSent = chance(0.5);
        answer(wasSent ? callTimeout : Duration{5ms}, {wasSent ? KeyOutcome::Unknown : KeyOutcome::Unavailable, 0, {}});
        if (wasSent && chance(0.5))
            at(randomDuration(callTimeout, 8s), [this, call = action.call] { execute(call); });
        return;
    }
    if (chance(lateWriteProbability)) {
        answer(callTimeout, {KeyOutcome::Unknown, 0, {}});
        at(randomDuration(callTimeout, 5s), [this, call = action.call] { execute(call); });
        return;
    }
    at(randomDuration(1ms, chance(0.05) ? Duration{400ms} : Duration{5ms}), [this, answer, call = action.call] {
        auto reply = execute(call);
        if (chance(replyLossProbability))
            answer(callTimeout, {KeyOutcome::Unknown, 0, {}});
        else
            answer(randomDuration(1ms, 5ms), std::move(reply));
    });
}

KeyReply KeeperHistory::execute(const KeyCall &call)
{
    m_revision += static_cast<Revision>(randomBelow(3));
    const auto *transaction = std::get_if<KeyTransaction>(&call.operation);
    if (transaction == nullptr)
        return readKey();
    const Revision present = m_writes.empty() ? 0 : m_writes.back().revision;
    for (const auto &compare : transaction->compares) {
        if (compare.modRevision == present)
            continue;
        KeyReply reply{KeyOutcome::Conflict, m_revision, {}};
        if (!m_writes.empty())
            reply.values.push_back({configurationKey, m_writes.back().value, present});
        return reply;
    }
    m_writes.push_back({++m_revision, transaction->puts.front().value});
    return {KeyOutcome::Applied, m_revision, {}};
}

KeyReply KeeperHistory::readKey()
{
    KeyReply reply{KeyOutcome::Applied, m_revision, {}};
    if (m_writes.empty())
        return reply;
    const auto age = chance(staleReadProbability) ? randomBelow(std::min<std::size_t>(m_writes.size() + 1, 4)) : 0;
    if (age < m_writes.size()) {
        const auto &write = m_writes[m_writes.size() - 1 - age];
        reply.values.push_back({configurationKey, write.value, write.revision});
    }
    return reply;
}

void KeeperHistory::performOne(std::size_t node, const Install &action)
{
    auto &self = m_nodes[node];
    if (action.version < self.installed)
        fail("node " + std::to_string(node) + " reverted from version " + std::to_string(self.installed) + " to "
             + std::to_string(action.version));
    self.installed = action.version;
    std::erase_if(self.lag, [&](const auto &entry) { return entry.first <= action.version; });
}

void KeeperHistory::performOne(std::size_t node, const AnnounceToPeer &action)
{
    if (chance(messageLossProbability))
        return;
    const auto peer = nodeNumber(action.peer);
    atNode(peer, randomDuration(500us, 10ms), [this, node, peer, action](ConfigurationActionList &actions) {
        m_nodes[peer].keeper->onPeerVersion(nodeName(node), action.version, m_now, actions);
        if (chance(messageLossProbability))
            return;
        const auto version = m_nodes[peer].keeper->record().version;
        atNode(node, randomDuration(500us, 10ms), [this, node, peer, version](ConfigurationActionList &more) {
            m_nodes[node].keeper->onPeerVersion(nodeName(peer), version, m_now, more);
        });
    });
}

void KeeperHistory::performOne(std::size_t node, const FetchFromPeer &action)
{
    const auto peer = nodeNumber(action.peer);
    if (chance(messageLossProbability)) {
        if (chance(0.5))
            atNode(node, 1s, [this, node, action](auto &) { m_nodes[node].keeper->onFetchFailed(action.peer); });
        return;
    }
    atNode(peer, randomDuration(500us, 10ms), [this, node, peer](ConfigurationActionList &) {
        const auto encoded = m_nodes[peer].keeper->record().encode();
        atNode(node, randomDuration(500us, 1s), [this, node, peer, encoded](ConfigurationActionList &actions) {
            m_nodes[node].keeper->onPeerRecord(nodeName(peer), encoded, m_now, actions);
        });
    });
}

void KeeperHistory::performOne(std::size_t node, const AnswerApply &action)
{
    const auto found = m_nodes[node].answers.find(action.request);
    if (found == m_nodes[node].answers.end())
        return;
    const auto respond = std::move(found->second);
    m_nodes[node].answers.erase(found);
    respond(action.result);
}

void KeeperHistory::beginEdit()
{
    const auto node = randomLiveNode();
    if (!node)
        return;
    const auto edit = std::make_shared<Edit>();
    const auto number = std::to_string(++m_lastEdit);
    edit->request.changeId = "change-" + number;
    edit->maxTries = randomBelow(3) == 0 ? 1 : 6;
    edit->request.baseVersion = m_nodes[*node].keeper->versionInForce();
    edit->request.text = "defaults: {limits: {customer_queue: " + number + "}}";
    at(randomDuration(0s, 1s), [this, edit] { submit(edit); });
}

void KeeperHistory::submit(const std::shared_ptr<Edit> &edit)
{
    const auto node = randomLiveNode();
    const auto request = ++m_lastRequest;
    if (edit->isOver || ++edit->tries > edit->maxTries)
        return;
    at(15s, [this, edit, tries = edit->tries] {
        if (tries != edit->tries || edit->isOver)
            return;
        edit->request.isRepeated = true;
        submit(edit);
    });
    if (!node)
        return;
    m_nodes[*node].answers.emplace(request, [this, edit](const ApplyResult &result) { onApplyResult(edit, result); });
    ConfigurationActionList actions;
    m_nodes[*node].keeper->apply(request, edit->request, m_now, actions);
    perform(*node, actions);
    if (chance(crashProbability)) {
        at(randomDuration(0s, 30ms), [this, node = *node] { stopNode(node); });
        at(randomDuration(100ms, 5s), [this, node = *node] { startNode(node); });
    }
}

void KeeperHistory::onApplyResult(const std::shared_ptr<Edit> &edit, const ApplyResult &result)
{
    const auto &id = edit->request.changeId;
    if (edit->isOver)
        return;
    if (result.outcome == ApplyOutcome::Unknown) {
        ++m_report.unknown;
        edit->request.isRepeated = true;
        at(randomDuration(100ms, 2s), [this, edit] { submit(edit); });
        return;
    }
    edit->isOver = true;
    if (result.outcome != ApplyOutcome::Applied) {
        m_refused.push_back(id);
        if (result.outcome == ApplyOutcome::Conflict && (result.changesSince.empty() || result.settingsWanted.empty()))
            fail(id + " got a conflict without the conflicting changes");
        return;
    }
    if (result.version != edit->request.baseVersion + 1)
        fail(id + " was accepted over a change that its operator had not seen");
    m_accepted.emplace(id, result.version);
    for (auto &node : m_nodes) {
        if (node.keeper && node.installed < result.version)
            node.lag.emplace(result.version, Duration{});
    }
}

void KeeperHistory::sampleLag()
{
    ConfigurationVersion accepted = 0;
    for (const auto &[id, version] : m_accepted)
        accepted = std::max(accepted, version);
    const bool isHeld
        = std::ranges::any_of(m_nodes, [&](const auto &node) { return node.keeper && node.installed >= accepted; });
    for (auto &node : m_nodes) {
        if (!node.keeper || node.installed >= accepted)
            continue;
        node.lag.emplace(accepted, Duration{});
        if (m_outage && !isHeld)
            continue;
        for (auto &[version, lag] : node.lag) {
            lag += sampleInterval;
            m_report.longestLag = std::max(m_report.longestLag, lag);
            if (lag > inForceBound)
                fail("version " + std::to_string(version) + " is not in force on a live node after the bound");
        }
    }
}

void KeeperHistory::checkEnd()
{
    std::map<std::string, ConfigurationVersion> written;
    for (const auto &write : m_writes) {
        const auto record = ConfigurationRecord::decode(write.value);
        if (!written.emplace(record->history.front().id, record->version).second)
            fail(record->history.front().id + " was written twice");
    }
    for (const auto &[id, version] : m_accepted) {
        const auto found = written.find(id);
        if (found == written.end() || found->second != version)
            fail(id + " was accepted but not written");
        if (ConfigurationRecord::decode(m_writes.back().value)->find(id) == nullptr)
            fail(id + " was accepted but then lost");
    }
    for (const auto &id : m_refused) {
        if (written.contains(id))
            fail(id + " was refused but written");
    }
    const auto last = m_writes.empty() ? 0 : ConfigurationRecord::decode(m_writes.back().value)->version;
    for (const auto &node : m_nodes) {
        if (node.installed != last)
            fail("a node ends at version " + std::to_string(node.installed) + " of " + std::to_string(last));
    }
}

void KeeperHistory::fail(const std::string &what)
{
    if (m_report.violation.empty())
        m_report.violation = "at " + std::to_string(m_now.time_since_epoch() / 1ms) + " ms: " + what;
}

} // namespace Gypsumtally::Testing
