#include "gateway/gatewaymessage.h"

#include "common/jsonfields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace Gypsumtally::Gateway
{

namespace json = boost::json;

namespace
{

constexpr std::size_t maxWaitingCounts = 40; ///< In one report: four services with all urgencies.
constexpr Duration maxContactAge = std::chrono::minutes{1}; ///< Greater ages are not valid.

json::object addressToJson(const NodeAddress &address)
{
    return {{"node", address.node},
            {"domain", address.failureDomain},
            {"region", address.region},
            {"callers", Http::toString(address.callers)},
            {"peers", Http::toString(address.peers)},
            {"started", address.startedAt},
            {"capacity", address.capacity}};
}

NodeAddress addressFrom(const json::object &object)
{
    NodeAddress address{textAt(object, "node"),
                        textAt(object, "domain"),
                        textAt(object, "region"),
                        Http::parseEndpoint(textAt(object, "callers")),
                        Http::parseEndpoint(textAt(object, "peers")),
                        numberAt<std::int64_t>(object, "started"),
                        numberAt<double>(object, "capacity")};
    return address;
}

bool isWhole(const NodeAddress &address)
{
    return !address.node.empty() && address.callers.port != 0 && address.peers.port != 0;
}

json::array demandsToJson(const std::vector<TargetDemand> &demands)
{
    json::array array;
    for (const auto &demand : demands) {
        json::array row{demand.service, demand.target, demand.requests};
        for (const auto &instance : demand.unfit)
            row.push_back(json::string(instance));
        array.push_back(std::move(row));
    }
    return array;
}

std::string textIn(const json::array &row, std::size_t index)
{
    return index < row.size() && row[index].is_string() ? std::string(row[index].get_string()) : std::string{};
}

template<typename Number>
Number numberIn(const json::array &row, std::size_t index)
{
    return index < row.size() ? numberFrom<Number>(row[index]).value_or(Number{}) : Number{};
}

// Figures beyond these bounds are cut, so that sums of them do not overflow.
constexpr double maxFigure = 1e9;
constexpr unsigned maxCount = 1'000'000;
constexpr Duration maxTime = std::chrono::hours{24};
constexpr double maxSum = 1e15; ///< Of tokens; a double holds whole numbers up to it. Greater ones are not valid.

double figureIn(const json::array &row, std::size_t index)
{
    return std::clamp(numberIn<double>(row, index), -maxFigure, maxFigure);
}

unsigned countIn(const json::array &row, std::size_t index)
{
    return std::min(numberIn<unsigned>(row, index), maxCount);
}

Duration bounded(Duration time)
{
    return std::clamp<Duration>(time, -maxTime, maxTime);
}

Duration durationIn(const json::array &row, std::size_t index)
{
    return bounded(Duration{numberIn<Duration::rep>(row, index)});
}

/// Calls @p visit with each element of array @p name that is itself an array; ignores others and a missing array.
template<typename Visit>
void eachRow(const json::object &object, std::string_view name, Visit &&visit)
{
    const auto *array = arrayAt(object, name);
    if (!array)
        return;
    for (const auto &value : *array) {
        if (const auto *row = value.if_array())
            visit(*row);
    }
}

json::array noticesToJson(const std::vector<PlacementNotice> &notices)
{
    json::array array;
    for (const auto &each : notices)
        array.push_back({each.instance, each.target, each.version, each.dropped, each.usableIn.count()});
    return array;
}

std::vector<PlacementNotice> noticesFrom(const json::object &object, std::string_view name)
{
    std::vector<PlacementNotice> notices;
    eachRow(object, name, [&](const json::array &row) {
        notices.push_back({textIn(row, 0), textIn(row, 1), numberIn<std::uint64_t>(row, 2),
                           row.size() > 3 && row[3].is_bool() && row[3].get_bool(), durationIn(row, 4)});
    });
    return notices;
}

std::vector<TargetDemand> demandsFrom(const json::object &object, std::string_view name)
{
    std::vector<TargetDemand> demands;
    eachRow(object, name, [&](const json::array &row) {
        TargetDemand demand{textIn(row, 0), textIn(row, 1), std::max(0.0, figureIn(row, 2)), {}};
        for (std::size_t i = 3; i < row.size(); ++i)
            demand.unfit.push_back(textIn(row, i));
        demands.push_back(std::move(demand));
    });
    return demands;
}

/// Returns the instance, the start of its process, and an array for each suspect: its fingerprint and its parts.
json::array crashToJson(const CrashReport &crash)
{
    json::array row{crash.process.instance, crash.process.startedAt};
    for (const auto &suspect : crash.suspects) {
        json::array entry{suspect.fingerprint};
        for (const auto part : suspect.parts)
            entry.push_back(part);
        row.push_back(std::move(entry));
    }
    return row;
}

CrashReport crashFrom(const json::array &row)
{
    CrashReport crash{{textIn(row, 0), numberIn<std::int64_t>(row, 1)}, {}};
    for (std::size_t i = 2; i < row.size() && crash.suspects.size() < CrashLedger::maxSuspects; ++i) {
        const auto *entry = row[i].if_array();
        if (!entry)
            continue;
        CrashSuspect suspect{numberIn<std::uint64_t>(*entry, 0), {}};
        for (std::size_t part = 1; part < entry->size(); ++part)
            suspect.parts.push_back(numberIn<std::uint64_t>(*entry, part));
        crash.suspects.push_back(std::move(suspect));
    }
    return crash;
}

json::array causesToJson(const std::vector<CrashCause> &causes)
{
    json::array array;
    for (const auto &cause : causes)
        array.push_back(json::string(toText(cause)));
    return array;
}

std::vector<CrashCause> causesFrom(const json::object &object, std::string_view name)
{
    std::vector<CrashCause> causes;
    for (const auto &text : textsAt(object, name)) {
        if (const auto cause = parseCrashCause(text))
            causes.push_back(*cause);
    }
    return causes;
}

json::array streamsToJson(const std::vector<StreamOrigin> &streams)
{
    json::array rows;
    for (const auto &stream : streams)
        rows.push_back({stream.id, stream.service, stream.version});
    return rows;
}

std::vector<StreamOrigin> streamsFrom(const json::object &object, std::string_view name)
{
    std::vector<StreamOrigin> streams;
    eachRow(object, name, [&](const json::array &row) {
        streams.push_back({numberIn<StreamId>(row, 0), textIn(row, 1), textIn(row, 2)});
    });
    return streams;
}

/// Adds what @p report says of the processes that the node reaches or fails to reach.
void addReach(json::object &object, const NodeReport &report)
{
    if (!report.reach.services)
        object["no_service"] = true;
    if (!report.reach.engines)
        object["no_engines"] = true;
    if (!report.failedReach.empty()) {
        json::array rows;
        for (const auto &[process, isQuestion] : report.failedReach)
            rows.push_back({process.instance, process.startedAt, isQuestion});
        object["failed_reach"] = std::move(rows);
    }
    if (!report.contacts.empty()) {
        json::array rows;
        for (const auto &[process, age] : report.contacts)
            rows.push_back({process.instance, process.startedAt, age.count()});
        object["contacts"] = std::move(rows);
    }
    if (!report.hasCutOff)
        return;
    json::array rows;
    for (const auto &process : report.cutOff)
        rows.push_back({process.instance, process.startedAt});
    object["unreached"] = std::move(rows);
}

/// Calls @p take with the process in each row of array @p name, and with the row, up to the limit of a report.
template<typename Take>
void eachProcess(const json::object &object, std::string_view name, Take &&take)
{
    std::size_t count = 0;
    eachRow(object, name, [&](const json::array &row) {
        UpstreamProcess process{textIn(row, 0), numberIn<std::int64_t>(row, 1)};
        if (!process.instance.empty() && ++count <= Reachability::maxReported)
            take(std::move(process), row);
    });
}

void readReach(const json::object &object, NodeReport &report)
{
    report.reach.services = !flagAt(object, "no_service");
    report.reach.engines = !flagAt(object, "no_engines");
    eachProcess(object, "failed_reach", [&](UpstreamProcess process, const json::array &row) {
        const bool isQuestion = row.size() > 2 && row[2].is_bool() && row[2].get_bool();
        report.failedReach.push_back({std::move(process), isQuestion});
    });
    eachProcess(object, "contacts", [&](UpstreamProcess process, const json::array &row) {
        const Duration age{numberIn<std::int64_t>(row, 2)};
        if (row.size() > 2 && row[2].is_int64() && age >= Duration{} && age <= maxContactAge)
            report.contacts.push_back({std::move(process), age});
    });
    report.hasCutOff = arrayAt(object, "unreached") != nullptr;
    eachProcess(object, "unreached",
                [&](UpstreamProcess process, const json::array &) { report.cutOff.push_back(std::move(process)); });
}

/// Adds the sums that are charged to organisations. Whole ones are written as integers, which are shorter.
void addSpent(json::object &object, const std::map<std::string, double> &spent)
{
    if (spent.empty())
        return;
    json::array rows;
    for (const auto &[organisation, sum] : spent) {
        const auto whole = toWhole<std::int64_t>(sum);
        rows.push_back({organisation, whole ? json::value(*whole) : json::value(sum)});
    }
    object["spent"] = std::move(rows);
}

std::map<std::string, double> spentFrom(const json::object &object)
{
    std::map<std::string, double> spent;
    eachRow(object, "spent", [&](const json::array &row) {
        const double sum = row.size() > 1 ? numberFrom<double>(row[1]).value_or(-1) : -1;
        auto organisation = textIn(row, 0);
        if (!organisation.empty() && sum >= 0 && sum <= maxSum)
            spent[std::move(organisation)] = sum;
    });
    return spent;
}

/// Rounds to three decimal places to save bytes in the datagram.
double rounded(double figure)
{
    return std::round(figure * 1000) / 1000;
}

json::array waitingToJson(const std::vector<Scheduling::WaitingCount> &counts)
{
    json::array rows;
    for (const auto &[service, urgency, calls] : counts) {
        if (rows.size() < maxWaitingCounts)
            rows.push_back({service, urgency, calls});
    }
    return rows;
}

std::vector<Scheduling::WaitingCount> waitingFrom(const json::object &object)
{
    std::vector<Scheduling::WaitingCount> counts;
    eachRow(object, "waiting", [&](const json::array &row) {
        const auto none = Scheduling::urgencyCount;
        const auto urgency = row.size() > 2 ? numberFrom<unsigned>(row[1]).value_or(none) : none;
        auto service = textIn(row, 0);
        if (urgency < none && !service.empty() && counts.size() < maxWaitingCounts)
            counts.push_back({std::move(service), urgency, countIn(row, 2)});
    });
    return counts;
}

json::object reportToJson(const NodeReport &report)
{
    json::object object{{"sequence", report.sequence}, {"open", report.takesCallers}};
    if (report.holdsVersions)
        object["holds_versions"] = true;
    if (!report.reachesStore)
        object["cut_off"] = true;
    if (report.operatorRevision > 0)
        object["operator_revision"] = report.operatorRevision;
    if (report.from.callers.port != 0)
        object["from"] = addressToJson(report.from);
    else
        object["from"] = json::object{{"node", report.from.node}, {"started", report.from.startedAt}};
    if (!report.ordering.empty())
        object["ordering"] = json::value_from(report.ordering);
    if (!report.released.empty()) {
        json::array rows;
        for (const auto &released : report.released)
            rows.push_back({released.shard, released.term, released.sinceLastOrder.count()});
        object["released"] = std::move(rows);
    }
    if (report.hasInFlight) {
        json::array rows;
        for (const auto &[instance, requests] : report.inFlight)
            rows.push_back({instance, requests});
        object["in_flight"] = std::move(rows);
    }
    if (!report.changedInFlight.empty()) {
        json::array rows;
        for (const auto &[instance, requests] : report.changedInFlight)
            rows.push_back({instance, requests});
        object["changed_in_flight"] = std::move(rows);
    }
    if (!report.steps.empty()) {
        json::array steps;
        for (const auto &step : report.steps) {
            if (step.recent.weight <= 0) {
                steps.push_back({step.instance, rounded(step.stepMs)});
                continue;
            }
            steps.push_back({step.instance, rounded(step.stepMs), rounded(step.recent.ms), rounded(step.recent.weight),
                             step.age.count()});
        }
        object["steps"] = std::move(steps);
    }
    if (!report.speeds.empty()) {
        json::array speeds;
        for (const auto &[service, speed] : report.speeds)
            speeds.push_back({service, rounded(speed.stepMs), rounded(speed.promptTokensPerMs), rounded(speed.streamMs),
                              rounded(speed.answerMs)});
        object["speeds"] = std::move(speeds);
    }
    if (!report.sends.empty()) {
        json::array rows;
        for (const auto &send : report.sends) {
            json::array row{send.instance, static_cast<std::int64_t>(send.tokens), send.in.count()};
            if (send.requests != 0)
                row.push_back(send.requests);
            rows.push_back(std::move(row));
        }
        object["prompts"] = std::move(rows);
    }
    if (!report.crashes.empty()) {
        json::array crashes;
        for (const auto &crash : report.crashes)
            crashes.push_back(crashToJson(crash));
        object["crashes"] = std::move(crashes);
    }
    if (!report.acquittals.empty()) {
        json::array rows;
        for (const auto &[cause, age] : report.acquittals)
            rows.push_back({toText(cause), age.count()});
        object["acquittals"] = std::move(rows);
    }
    if (!report.proposals.empty())
        object["proposals"] = causesToJson(report.proposals);
    if (!report.lifted.empty())
        object["lifted"] = causesToJson(report.lifted);
    if (!report.verdicts.empty()) {
        json::array rows;
        for (const auto &verdict : report.verdicts)
            rows.push_back({toText(verdict.cause), verdict.crashes, verdict.requests, verdict.decidedAt, verdict.node});
        object["verdicts"] = std::move(rows);
    }
    if (!report.departures.empty()) {
        json::array departures;
        for (const auto &process : report.departures)
            departures.push_back({process.instance, process.startedAt});
        object["departures"] = std::move(departures);
    }
    if (!report.turnedAway.empty()) {
        json::array rows;
        for (const auto &[process, time] : report.turnedAway)
            rows.push_back({process.instance, process.startedAt, time.count()});
        object["turned_away"] = std::move(rows);
    }
    if (!report.limits.empty()) {
        json::array rows;
        for (const auto &[process, perSecond, age, earlierSends] : report.limits)
            rows.push_back({process.instance, process.startedAt, age.count(),
                            perSecond ? json::value(*perSecond) : json::value(), earlierSends});
        object["limits"] = std::move(rows);
    }
    if (!report.brittleness.empty()) {
        json::array rows;
        for (const auto &[service, refusals, age] : report.brittleness)
            rows.push_back({service, age.count(), refusals ? json::value(*refusals) : json::value()});
        object["brittle"] = std::move(rows);
    }
    if (!report.brokenStreams.empty())
        object["broken_streams"] = streamsToJson(report.brokenStreams);
    addReach(object, report);
    if (!report.placements.empty())
        object["placements"] = noticesToJson(report.placements);
    addSpent(object, report.spent);
    if (!report.waiting.empty())
        object["waiting"] = waitingToJson(report.waiting);
    return object;
}

std::optional<NodeReport> reportFrom(const json::object &object)
{
    const auto *from = objectAt(object, "from");
    if (!from)
        return std::nullopt;
    NodeReport report;
    report.from = addressFrom(*from);
    const bool hasAddress = from->contains("callers") || from->contains("peers");
    if (report.from.node.empty() || (hasAddress && !isWhole(report.from)))
        return std::nullopt;
    report.sequence = numberAt<std::uint64_t>(object, "sequence");
    report.takesCallers = flagAt(object, "open");
    report.reachesStore = !flagAt(object, "cut_off");
    report.operatorRevision = numberAt<Revision>(object, "operator_revision");
    report.holdsVersions = flagAt(object, "holds_versions");
    if (const auto *ordering = arrayAt(object, "ordering")) {
        for (const auto &shard : *ordering) {
            if (shard.is_int64())
                report.ordering.push_back(static_cast<unsigned>(shard.get_int64()));
        }
    }
    eachRow(object, "released", [&](const json::array &row) {
        report.released.push_back({numberIn<unsigned>(row, 0), numberIn<std::uint64_t>(row, 1), durationIn(row, 2)});
    });
    report.hasInFlight = arrayAt(object, "in_flight") != nullptr;
    eachRow(object, "in_flight", [&](const json::array &row) { report.inFlight[textIn(row, 0)] = countIn(row, 1); });
    eachRow(object, "changed_in_flight",
            [&](const json::array &row) { report.changedInFlight[textIn(row, 0)] = countIn(row, 1); });
    eachRow(object, "steps", [&](const json::array &row) {
        report.steps.push_back(
            {textIn(row, 0), figureIn(row, 1), {figureIn(row, 2), figureIn(row, 3)}, durationIn(row, 4)});
    });
    eachRow(object, "speeds", [&](const json::array &row) {
        report.speeds.push_back(
            {textIn(row, 0), {figureIn(row, 1), figureIn(row, 2), figureIn(row, 3), figureIn(row, 4)}});
    });
    eachRow(object, "prompts", [&](const json::array &row) {
        report.sends.push_back(
            {textIn(row, 0), figureIn(row, 1), durationIn(row, 2), std::clamp(numberIn<int>(row, 3), -1, 1)});
    });
    eachRow(object, "limits", [&](const json::array &row) {
        LimitNotice notice{{textIn(row, 0), numberIn<std::int64_t>(row, 1)}, {}, durationIn(row, 2)};
        if (row.size() > 3 && row[3].is_number()) {
            const auto limit = numberFrom<double>(row[3]);
            if (!limit || *limit < 0)
                return;
            notice.perSecond = std::min(*limit, maxFigure);
        }
        notice.earlierSends = countIn(row, 4);
        report.limits.push_back(std::move(notice));
    });
    eachRow(object, "brittle", [&](const json::array &row) {
        BrittlenessNotice notice{textIn(row, 0), {}, Duration{numberIn<std::int64_t>(row, 1)}};
        if (row.size() > 2 && row[2].is_number())
            notice.refusalsPerSecond = numberIn<unsigned>(row, 2);
        report.brittleness.push_back(std::move(notice));
    });
    eachRow(object, "crashes", [&](const json::array &row) { report.crashes.push_back(crashFrom(row)); });
    eachRow(object, "acquittals", [&](const json::array &row) {
        if (const auto cause = parseCrashCause(textIn(row, 0)))
            report.acquittals.push_back({*cause, durationIn(row, 1)});
    });
    report.proposals = causesFrom(object, "proposals");
    report.lifted = causesFrom(object, "lifted");
    eachRow(object, "verdicts", [&](const json::array &row) {
        if (const auto cause = parseCrashCause(textIn(row, 0)))
            report.verdicts.push_back({*cause, numberIn<std::uint32_t>(row, 1), numberIn<std::uint32_t>(row, 2),
                                       numberIn<std::int64_t>(row, 3), textIn(row, 4)});
    });
    eachRow(object, "departures", [&](const json::array &row) {
        report.departures.push_back({textIn(row, 0), numberIn<std::int64_t>(row, 1)});
    });
    eachRow(object, "turned_away", [&](const json::array &row) {
        report.turnedAway.push_back({{textIn(row, 0), numberIn<std::int64_t>(row, 1)}, durationIn(row, 2)});
    });
    report.brokenStreams = streamsFrom(object, "broken_streams");
    readReach(object, report);
    report.placements = noticesFrom(object, "placements");
    report.spent = spentFrom(object);
    report.waiting = waitingFrom(object);
    return report;
}

json::object updateToJson(const RegistryUpdate &update)
{
    const auto &delta = update.delta;
    json::array changes;
    for (const auto &change : delta.changes) {
        json::array row{change.revision, change.key};
        if (change.value)
            row.push_back(json::string(*change.value));
        changes.push_back(std::move(row));
    }
    json::object object{{"view", nameOf(update.view)},
                        {"after", delta.after},
                        {"revision", delta.revision},
                        {"changes", std::move(changes)}};
    if (delta.age)
        object["age"] = delta.age->count();
    if (update.era != 0)
        object["era"] = update.era;
    return object;
}

std::optional<RegistryUpdate> updateFrom(const json::object &object)
{
    const auto view = valueOf<RegistryView>(textAt(object, "view"));
    if (!view)
        return std::nullopt;
    RegistryDelta delta{numberAt<Revision>(object, "after"), {}, numberAt<Revision>(object, "revision"), {}};
    if (delta.after < 0 || delta.revision < delta.after || delta.revision > maxRevision)
        return std::nullopt;
    if (object.contains("age"))
        delta.age = std::max(Duration{}, bounded(Duration{numberAt<Duration::rep>(object, "age")}));
    bool isWhole = true;
    eachRow(object, "changes", [&](const json::array &row) {
        KeyChange change{textIn(row, 1), {}, numberIn<Revision>(row, 0)};
        if (row.size() > 2)
            change.value = textIn(row, 2);
        isWhole = isWhole && (row.size() <= 2 || row[2].is_string());
        delta.changes.push_back(std::move(change));
    });
    if (!isWhole)
        return std::nullopt;
    return RegistryUpdate{*view, std::move(delta), numberAt<StoreEra>(object, "era")};
}

} // namespace

std::string encode(const NodeAddress &address)
{
    return json::serialize(addressToJson(address));
}

std::optional<NodeAddress> decodeNodeAddress(std::string_view text)
{
    const auto object = parseObject(text);
    if (!object)
        return std::nullopt;
    auto address = addressFrom(*object);
    return isWhole(address) ? std::optional(std::move(address)) : std::nullopt;
}

void advance(NodeReport &report, Duration time)
{
    for (auto &send : report.sends)
        send.in -= time;
    for (auto &released : report.released)
        released.sinceLastOrder += time;
    for (auto &turnedAway : report.turnedAway)
        turnedAway.time = std::max(Duration{}, turnedAway.time - time);
    for (auto &limit : report.limits)
        limit.age += time;
    for (auto &brittleness : report.brittleness)
        brittleness.age += time;
    for (auto &contact : report.contacts)
        contact.age += time;
    for (auto &step : report.steps)
        step.age += time;
    for (auto &placement : report.placements)
        placement.usableIn = std::max(Duration{}, placement.usableIn - time);
}

std::string encode(const GatewayMessage &message)
{
    json::object object{{"sender", message.sender}};
    if (message.forwardScope != ForwardScope::None)
        object["onward"] = nameOf(message.forwardScope);
    json::array reports;
    for (const auto &report : message.reports)
        reports.push_back(reportToJson(report));
    object["reports"] = std::move(reports);
    if (!message.used.empty())
        object["used"] = demandsToJson(message.used);
    if (message.shard != 0)
        object["shard"] = message.shard;
    if (!message.wanted.empty())
        object["wanted"] = demandsToJson(message.wanted);
    if (!message.missing.empty())
        object["missing"] = noticesToJson(message.missing);
    if (!message.found.empty())
        object["found"] = noticesToJson(message.found);
    if (!message.begunStreams.empty())
        object["begun_streams"] = streamsToJson(message.begunStreams);
    json::array registry;
    for (const auto &update : message.registry)
        registry.push_back(updateToJson(update));
    if (!registry.empty())
        object["registry"] = std::move(registry);
    return json::serialize(object);
}

void applySendNotice(UpstreamTable &table, const std::string &node, const SendNotice &notice, Instant now)
{
    auto *upstream = table.find(notice.instance);
    if (!upstream)
        return;
    const auto at = now + notice.in;
    if (notice.tokens != 0)
        upstream->prompts.add(notice.tokens, at, now);
    if (notice.requests > 0)
        upstream->sends.add(node, at, now);
    else if (notice.requests < 0)
        upstream->sends.remove(node, at);
}

std::optional<GatewayMessage> decodeGatewayMessage(std::string_view text)
{
    const auto parsed = parseObject(text);
    if (!parsed)
        return std::nullopt;
    const auto &object = *parsed;
    GatewayMessage message;
    message.sender = textAt(object, "sender");
    if (message.sender.empty())
        return std::nullopt;
    message.forwardScope = valueOf<ForwardScope>(textAt(object, "onward")).value_or(ForwardScope::None);
    eachObjectAt(object, "reports", [&](const json::object &each) {
        if (auto report = reportFrom(each))
            message.reports.push_back(std::move(*report));
    });
    message.used = demandsFrom(object, "used");
    message.shard = numberAt<unsigned>(object, "shard");
    message.wanted = demandsFrom(object, "wanted");
    message.missing = noticesFrom(object, "missing");
    message.found = noticesFrom(object, "found");
    message.begunStreams = streamsFrom(object, "begun_streams");
    eachObjectAt(object, "registry", [&](const json::object &each) {
        if (auto update = updateFrom(each))
            message.registry.push_back(std::move(*update));
    });
    return message;
}

} // namespace Gypsumtally::Gateway
