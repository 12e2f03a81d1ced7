#include "node/controlapi.h"

#include "membership/drainrecord.h"
#include "peer/controlmessages.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace Gypsumtally
{

namespace json = boost::json;

namespace
{

std::string stateOf(const Membership &membership, const NodeRecord &node)
{
    return membership.isDrained(node.id.value) ? "draining" : std::string(nameOf(node.state));
}

std::string stateOf(const UpstreamMember &member)
{
    if (member.vm.leaving)
        return "leaving";
    return member.drained ? "draining" : "live";
}

} // namespace

ControlApi::ControlApi(ControlContext context)
    : m_context(std::move(context))
{
    addPeerMethods();
    addConfigurationMethods();
    addFleetMethods();
    addQuarantineMethods();
}

void ControlApi::handle(const ControlArrived &event)
{
    const auto role = event.isOperator ? ControlRole::Operator : ControlRole::Peer;
    m_server.call(event.body, role, [this, id = event.id](std::string body) {
        m_context.io.emit(ReplyWhole{id, {200, {{"Content-Type", "application/json"}}, std::move(body)}});
    });
}

void ControlApi::addPeerMethods()
{
    m_server.addImmediate(deliverMethod, ControlRole::Peer, [this](const json::value &params) -> ControlReply {
        const auto batch = decodeBatch(params);
        if (!batch)
            return ControlError{ControlErrorCode::InvalidParams, "not a batch of messages"};
        m_context.deliver(*batch);
        return json::value(true);
    });
    m_server.addImmediate(ControlMethod::configAnnounce, ControlRole::Peer,
                          [this](const json::value &params) -> ControlReply {
                              const auto announcement = fromJson<VersionAnnouncement>(params);
                              m_context.configuration.peerVersion(announcement.node, announcement.version);
                              return toJson(VersionAnnouncement{m_context.membership.self().id,
                                                                m_context.configuration.keeper().record().version});
                          });
    m_server.addImmediate(ControlMethod::configFetch, ControlRole::Peer, [this](const json::value &) -> ControlReply {
        const auto &record = m_context.configuration.keeper().record();
        return toJson(EncodedConfiguration{record.version == 0 ? std::string{} : record.encode()});
    });
}

void ControlApi::addConfigurationMethods()
{
    m_server.addImmediate(ControlMethod::configGet, ControlRole::Operator, [this](const json::value &) -> ControlReply {
        const auto &keeper = m_context.configuration.keeper();
        return toJson(ConfigurationView{keeper.record().version, keeper.versionInForce(), keeper.record().text,
                                        keeper.rejection()});
    });
    m_server.addImmediate(ControlMethod::configHistory, ControlRole::Operator,
                          [this](const json::value &) -> ControlReply {
                              return toJson(ConfigurationHistory{m_context.configuration.keeper().record().history});
                          });
    m_server.add(ControlMethod::configApply, ControlRole::Operator,
                 [this](const json::value &params, const ControlServer::Answer &answer) {
                     m_context.configuration.apply(fromJson<ApplyRequest>(params),
                                                   [answer](const ApplyResult &result) { answer(toJson(result)); });
                 });
}

void ControlApi::addFleetMethods()
{
    m_server.addImmediate(ControlMethod::status, ControlRole::Operator,
                          [this](const json::value &) -> ControlReply { return toJson(status()); });
    m_server.addImmediate(ControlMethod::explain, ControlRole::Operator,
                          [this](const json::value &params) -> ControlReply {
                              return toJson(explain(fromJson<ExplainRequest>(params).adapter));
                          });
    m_server.add(ControlMethod::drain, ControlRole::Operator,
                 [this](const json::value &params, const ControlServer::Answer &answer) {
                     drain(fromJson<DrainRequest>(params).target, answer);
                 });
    m_server.addImmediate(
        ControlMethod::reportBurn, ControlRole::Operator,
        [this](const json::value &) -> ControlReply { return toJson(m_context.burn.counts(m_context.io.now())); });
}

void ControlApi::addQuarantineMethods()
{
    m_server.addImmediate(ControlMethod::quarantineList, ControlRole::Operator,
                          [this](const json::value &) -> ControlReply {
                              QuarantineList list;
                              for (const auto &content : m_context.quarantine.list()) {
                                  list.entries.push_back({toText(content.fingerprint), content.upstreams});
                              }
                              return toJson(list);
                          });
    m_server.addImmediate(
        ControlMethod::quarantineClear, ControlRole::Operator, [this](const json::value &params) -> ControlReply {
            const auto requested = fromJson<QuarantineClearRequest>(params).fingerprint;
            QuarantineClearResult result;
            for (const auto &content : m_context.quarantine.list()) {
                const bool isRequested = requested.empty() || toText(content.fingerprint) == requested;
                if (isRequested && m_context.calls.clearQuarantined(content.fingerprint))
                    ++result.cleared;
            }
            if (!requested.empty() && result.cleared == 0)
                return ControlError{ControlErrorCode::NotFound, requested + " is not quarantined"};
            return toJson(result);
        });
}

FleetStatus ControlApi::status() const
{
    const auto &membership = m_context.membership;
    FleetStatus status;
    status.node = membership.self().id;
    status.keyValueReachable = m_context.hasStore();
    status.configurationVersion = m_context.configuration.keeper().versionInForce();
    status.adaptersKnown = m_context.calls.catalogueSize();
    for (const auto &[id, node] : membership.nodes()) {
        const auto state = m_context.peerStates.find(id);
        const auto version = id == membership.self().id            ? status.configurationVersion
                             : state == m_context.peerStates.end() ? 0
                                                                   : state->second.configurationVersion;
        status.nodes.push_back({id, node.region, node.failureDomain, node.incarnation, toString(node.callers),
                                toString(node.peers), stateOf(membership, node), version});
    }
    for (const auto &[id, member] : membership.upstreams())
        status.upstreams.push_back(statusOf(member));
    for (const auto &upstream : status.upstreams)
        status.adaptersLoaded += upstream.adapters.size();
    return status;
}

UpstreamStatus ControlApi::statusOf(const UpstreamMember &member) const
{
    UpstreamStatus status;
    status.upstream = member.vm.id;
    status.kind = nameOf(member.vm.role);
    status.region = member.vm.region;
    status.address = toString(member.vm.endpoint);
    status.state = stateOf(member);
    status.fencingChecked = m_context.checksFencing(member.vm);
    if (const auto *entry = m_context.hints.find(member.vm.id)) {
        status.owner = entry->hint.owner;
        status.epoch = entry->hint.epoch;
        status.slots = entry->hint.slots;
        status.running = entry->hint.running;
        status.waiting = entry->hint.waiting;
        for (const auto digest : entry->hint.loaded)
            status.adapters.push_back(m_context.calls.adapterName(digest));
    }
    return status;
}

AdapterExplanation ControlApi::explain(const std::string &adapter) const
{
    AdapterExplanation explanation;
    explanation.adapter = adapter;
    const auto model = parseModelName(adapter);
    if (!model) {
        explanation.reasons.emplace_back("The name is not BASE/ADAPTER@VERSION.");
        return explanation;
    }
    const auto digest = digestOf(*model);
    explanation.isKnown = m_context.calls.isInCatalogue(adapter);
    explanation.home = m_context.router.homeOf(digest);
    for (const auto *entry : m_context.hints.engines(model->base)) {
        const auto &hint = entry->hint;
        const bool isLoaded = std::ranges::find(hint.loaded, digest) != hint.loaded.end();
        const bool isLoading = std::ranges::find(hint.loading, digest) != hint.loading.end();
        if (isLoaded || isLoading)
            explanation.placements.push_back(
                {hint.upstream, hint.owner, isLoaded ? "loaded" : "loading", hint.running, hint.waiting});
    }
    explanation.waiting = m_context.calls.waitingFor(*model);
    if (!explanation.isKnown)
        explanation.reasons.emplace_back("The weight store's catalogue does not list it.");
    if (explanation.placements.empty())
        explanation.reasons.emplace_back("No engine holds it: it is loaded when a request names it, and "
                                         + explanation.home.value + " chooses the engine.");
    else
        explanation.reasons.emplace_back("Requests go to the engine that holds it with the shortest wait, in the "
                                         "caller's region unless the wait there costs more than the bytes.");
    return explanation;
}

void ControlApi::drain(const std::string &target, const ControlServer::Answer &answer)
{
    const auto &membership = m_context.membership;
    if (!membership.node({target}) && !membership.upstream({target})) {
        answer(ControlError{ControlErrorCode::NotFound, "no node or upstream is called " + target});
        return;
    }
    if (membership.isDrained(target)) {
        answer(toJson(progressOf(target)));
        return;
    }
    KeyTransaction transaction;
    transaction.puts.push_back({drainKey(target), target, KeyLifetime::Durable});
    m_context.io.store(transaction, [this, target, answer](const KeyReply &reply) {
        if (reply.outcome == KeyOutcome::Applied)
            answer(toJson(progressOf(target)));
        else
            answer(ControlError{ControlErrorCode::Unavailable,
                                "the key-value service did not confirm the write; ask again"});
    });
}

DrainProgress ControlApi::progressOf(const std::string &target) const
{
    DrainProgress progress;
    progress.target = target;
    if (const auto *entry = m_context.hints.find({target})) {
        progress.requestsLeft = entry->hint.running + entry->hint.waiting;
    } else if (NodeId{target} == m_context.membership.self().id) {
        progress.requestsLeft = m_context.calls.active();
    } else if (const auto state = m_context.peerStates.find({target}); state != m_context.peerStates.end()) {
        progress.requestsLeft = state->second.calls;
    }
    const bool isDrained = m_context.membership.isDrained(target);
    progress.isFinished = isDrained && progress.requestsLeft == 0;
    progress.message = progress.isFinished ? "nothing runs there any more" : "finishing what it has";
    return progress;
}

} // namespace Gypsumtally
