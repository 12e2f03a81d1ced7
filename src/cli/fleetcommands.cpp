#include "cli/commands.h"
#include "cli/texttable.h"
#include "peer/controlmessages.h"
#include "peer/controlreply.h"
#include "report/burnreport.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <fstream>
#include <ostream>
#include <thread>

namespace Gypsumtally::Commands
{

namespace json = boost::json;
namespace leaf = boost::leaf;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr Duration drainPollInterval = std::chrono::seconds{1};

template<Described T>
Result<T> ask(const CommandContext &context, const char *method, const json::value &params = json::object{})
{
    BOOST_LEAF_AUTO(reply, context.call(method, params));
    return fromJson<T>(reply);
}

void writeNodes(std::ostream &out, const FleetStatus &status)
{
    TextTable table({"NODE", "REGION", "DOMAIN", "STATE", "CONFIG", "CALLERS", "PEERS"});
    for (const auto &node : status.nodes) {
        table.add({node.node.value, node.region.value, node.failureDomain.value, node.state,
                   std::to_string(node.configurationVersion), node.callersAddress, node.peersAddress});
    }
    table.write(out);
}

void writeUpstreams(std::ostream &out, const FleetStatus &status)
{
    TextTable table(
        {"UPSTREAM", "KIND", "REGION", "STATE", "OWNER", "EPOCH", "FENCING", "ADAPTERS", "RUNNING", "WAITING"});
    for (const auto &upstream : status.upstreams) {
        table.add({upstream.upstream.value, upstream.kind, upstream.region.value, upstream.state,
                   upstream.owner.empty() ? "-" : upstream.owner.value, std::to_string(upstream.epoch),
                   upstream.fencingChecked ? "checked" : "ignored",
                   std::to_string(upstream.adapters.size()) + '/' + std::to_string(upstream.slots),
                   std::to_string(upstream.running), std::to_string(upstream.waiting)});
    }
    table.write(out);
}

void writeExplanation(std::ostream &out, const AdapterExplanation &explanation)
{
    out << explanation.adapter << (explanation.isKnown ? "" : " (not in the catalogue)") << '\n';
    if (!explanation.home.empty())
        out << "home node: " << explanation.home.value << '\n';
    out << "waiting for a load: " << explanation.waiting << "\n\n";
    TextTable table({"UPSTREAM", "OWNER", "STATE", "RUNNING", "WAITING"});
    for (const auto &place : explanation.placements) {
        table.add({place.upstream.value, place.owner.value, place.state, std::to_string(place.running),
                   std::to_string(place.waiting)});
    }
    table.write(out);
    for (const auto &reason : explanation.reasons)
        out << "- " << reason << '\n';
}

void writeDrain(const CommandContext &context, const DrainProgress &progress)
{
    if (context.isJson()) {
        context.writeJson(toJson(progress));
        return;
    }
    context.out() << progress.target << ": "
                  << (progress.isFinished ? "drained" : std::to_string(progress.requestsLeft) + " requests left")
                  << (progress.message.empty() ? "" : "; " + progress.message) << std::endl;
}

/// Merges the counts of all live nodes and writes the names of those that did not answer to the error stream.
Result<BurnCounts> collectBurn(const CommandContext &context)
{
    BOOST_LEAF_AUTO(status, ask<FleetStatus>(context, ControlMethod::status));
    BurnCounts total;
    for (const auto &node : status.nodes) {
        const auto isAnswered = leaf::try_handle_all(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(reply, context.callAt(Http::parseEndpoint(node.peersAddress), ControlMethod::reportBurn,
                                                      json::object{}));
                merge(total, fromJson<BurnCounts>(reply));
                return true;
            },
            [&](const CommandError &error) {
                context.err() << "not counted: " << node.node.value << ": " << error.message << '\n';
                return false;
            },
            [] { return false; });
        static_cast<void>(isAnswered);
    }
    if (total.nodes == 0)
        return leaf::new_error(CommandError{ExitCode::Unavailable, "no node returned its counts"});
    return total;
}

} // namespace

Result<ExitCode> status(const CommandContext &context, const Arguments &)
{
    BOOST_LEAF_AUTO(status, ask<FleetStatus>(context, ControlMethod::status));
    if (context.isJson()) {
        context.writeJson(toJson(status));
        return ExitCode::Success;
    }
    auto &out = context.out();
    out << "answered by " << status.node.value << "; key-value service "
        << (status.keyValueReachable ? "reachable" : "NOT reachable") << "; configuration version "
        << status.configurationVersion << "; adapters " << status.adaptersLoaded << " loaded of "
        << status.adaptersKnown << "\n\n";
    writeNodes(out, status);
    out << '\n';
    writeUpstreams(out, status);
    return ExitCode::Success;
}

Result<ExitCode> explain(const CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(explanation,
                    ask<AdapterExplanation>(context, ControlMethod::explain, toJson(ExplainRequest{arguments[0]})));
    if (context.isJson())
        context.writeJson(toJson(explanation));
    else
        writeExplanation(context.out(), explanation);
    return explanation.isKnown ? ExitCode::Success : ExitCode::Failed;
}

Result<ExitCode> drain(const CommandContext &context, const Arguments &arguments)
{
    const auto deadline = Clock::now() + context.options().timeout;
    while (true) {
        BOOST_LEAF_AUTO(progress,
                        ask<DrainProgress>(context, ControlMethod::drain, toJson(DrainRequest{arguments[0]})));
        writeDrain(context, progress);
        if (progress.isFinished || !context.options().wait)
            return ExitCode::Success;
        if (Clock::now() >= deadline)
            return leaf::new_error(CommandError{ExitCode::TimedOut, arguments[0] + " is still being drained"});
        std::this_thread::sleep_for(drainPollInterval);
    }
}

Result<ExitCode> quarantineList(const CommandContext &context, const Arguments &)
{
    BOOST_LEAF_AUTO(list, ask<QuarantineList>(context, ControlMethod::quarantineList));
    if (context.isJson()) {
        context.writeJson(toJson(list));
        return ExitCode::Success;
    }
    TextTable table({"FINGERPRINT", "CRASHED UPSTREAMS"});
    for (const auto &entry : list.entries) {
        std::string upstreams;
        for (const auto &upstream : entry.upstreams)
            upstreams += (upstreams.empty() ? "" : ", ") + upstream.value;
        table.add({entry.fingerprint, upstreams});
    }
    table.write(context.out());
    return ExitCode::Success;
}

Result<ExitCode> quarantineClear(const CommandContext &context, const Arguments &arguments)
{
    const QuarantineClearRequest request{arguments[0] == "all" ? std::string{} : arguments[0]};
    BOOST_LEAF_AUTO(result, ask<QuarantineClearResult>(context, ControlMethod::quarantineClear, toJson(request)));
    if (context.isJson())
        context.writeJson(toJson(result));
    else
        context.out() << result.cleared << " cleared\n";
    return result.cleared > 0 || request.fingerprint.empty() ? ExitCode::Success : ExitCode::Failed;
}

Result<ExitCode> reportBurn(const CommandContext &context, const Arguments &)
{
    BOOST_LEAF_AUTO(counts, collectBurn(context));
    const auto report = makeBurnReport(counts);
    if (context.isJson())
        context.writeJson(toJson(report));
    else
        context.out() << toText(report);
    if (context.options().html.empty())
        return ExitCode::Success;
    std::ofstream page(context.options().html);
    page << toHtml(report, counts);
    if (!page.flush())
        return leaf::new_error(CommandError{ExitCode::Failed, context.options().html + ": cannot be written"});
    context.err() << "wrote " << context.options().html << '\n';
    return ExitCode::Success;
}

} // namespace Gypsumtally::Commands
