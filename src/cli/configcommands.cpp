#include "cli/commands.h"
#include "cli/texttable.h"
#include "configuration/fleetconfiguration.h"
#include "peer/controlmessages.h"
#include "peer/controlreply.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <chrono>
#include <ctime>
#include <fstream>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace Gypsumtally::Commands
{

namespace json = boost::json;
namespace leaf = boost::leaf;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr Duration retryInterval = std::chrono::milliseconds{500};

struct LocalFile {
    std::string text;
    FleetConfiguration configuration;
};

Result<LocalFile> readFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        return leaf::new_error(CommandError{ExitCode::Usage, file + ": cannot be read"});
    std::ostringstream text;
    text << stream.rdbuf();
    auto parsed = FleetConfiguration::parse(text.str(), file);
    if (!parsed)
        return leaf::new_error(CommandError{ExitCode::Usage, "the file has problems\n" + toString(parsed.problems)});
    return LocalFile{text.str(), std::move(*parsed.value)};
}

Result<ConfigurationView> currentConfiguration(const CommandContext &context)
{
    BOOST_LEAF_AUTO(reply, context.call(ControlMethod::configGet, json::object{}));
    return fromJson<ConfigurationView>(reply);
}

Result<std::vector<SettingChange>> plannedChanges(const ConfigurationView &view, const FleetConfiguration &wanted)
{
    if (view.version == 0)
        return difference(FleetConfiguration{}, wanted);
    const auto now = FleetConfiguration::parse(view.text, "version " + std::to_string(view.version));
    if (!now) {
        return leaf::new_error(
            CommandError{ExitCode::Failed, "this tool can't parse the current version\n" + toString(now.problems)});
    }
    return difference(*now.value, wanted);
}

std::string randomId()
{
    std::random_device device;
    std::ostringstream id;
    id << std::hex;
    for (int i = 0; i < 4; ++i)
        id << device();
    return id.str();
}

std::string timeText(std::int64_t unixMs)
{
    const std::time_t seconds = unixMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return buffer.data();
}

void writeChanges(std::ostream &out, const std::vector<ConfigurationChange> &changes)
{
    TextTable table({"VERSION", "TIME", "AUTHOR", "CHANGE", "REASON"});
    for (const auto &change : changes)
        table.add(
            {std::to_string(change.version), timeText(change.submittedAtMs), change.author, change.id, change.reason});
    table.write(out);
}

ApplyRequest makeRequest(const CommandContext &context, const LocalFile &file, ConfigurationVersion base)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return {randomId(),
            base,
            context.options().author,
            context.options().reason,
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
            file.text,
            false};
}

/// Sends the change and retries it under the same change id while its outcome is unknown, until --timeout has passed.
Result<ApplyResult> submit(const CommandContext &context, ApplyRequest request)
{
    const auto deadline = Clock::now() + context.options().timeout;
    while (true) {
        auto result = leaf::try_handle_some(
            [&]() -> Result<ApplyResult> {
                BOOST_LEAF_AUTO(reply, context.call(ControlMethod::configApply, toJson(request)));
                return fromJson<ApplyResult>(reply);
            },
            [&](leaf::match<ControlErrorCode, ControlErrorCode::Lost, ControlErrorCode::Unreachable> code,
                const CommandError &error) -> Result<ApplyResult> {
                if (code.matched == ControlErrorCode::Unreachable && !request.isRepeated)
                    return leaf::new_error(error, code.matched);
                return ApplyResult{};
            });
        if (!result || result->outcome != ApplyOutcome::Unknown || Clock::now() >= deadline)
            return result;
        request.isRepeated = true;
        context.err() << "the reply was lost; retrying with change id " << request.changeId << '\n';
        std::this_thread::sleep_for(retryInterval);
    }
}

Result<std::vector<std::string>> nodesBehind(const CommandContext &context, ConfigurationVersion version)
{
    BOOST_LEAF_AUTO(reply, context.call(ControlMethod::status, json::object{}));
    std::vector<std::string> behind;
    for (const auto &node : fromJson<FleetStatus>(reply).nodes) {
        if (node.configurationVersion < version)
            behind.push_back(node.node.value);
    }
    return behind;
}

Result<ExitCode> waitUntilInForce(const CommandContext &context, ConfigurationVersion version)
{
    const auto deadline = Clock::now() + context.options().timeout;
    while (true) {
        BOOST_LEAF_AUTO(behind, nodesBehind(context, version));
        if (behind.empty()) {
            context.err() << "version " << version << " is in force on all live nodes\n";
            return ExitCode::Success;
        }
        std::string names;
        for (const auto &name : behind)
            names += ' ' + name;
        if (Clock::now() >= deadline) {
            return leaf::new_error(CommandError{ExitCode::TimedOut, "version " + std::to_string(version)
                                                                        + " was accepted, but is not yet in force on"
                                                                        + names});
        }
        context.err() << "waiting for" << names << '\n';
        std::this_thread::sleep_for(retryInterval);
    }
}

void explainConflict(const CommandContext &context, const ApplyResult &result, ConfigurationVersion base)
{
    auto &err = context.err();
    err << "another change was applied first: version " << result.version << " is in force, not " << base << "\n\n";
    writeChanges(err, result.changesSince);
    if (!result.settingsSince.empty())
        err << "\nwhat changed since version " << base << ":\n" << toString(result.settingsSince);
    err << "\nwhat your file would change now:\n"
        << (result.settingsWanted.empty() ? "nothing\n" : toString(result.settingsWanted))
        << "\nnothing was written; update the file, check it with 'config plan' and apply it again\n";
}

Result<ExitCode> reportResult(const CommandContext &context, const ApplyRequest &request, const ApplyResult &result)
{
    switch (result.outcome) {
    case ApplyOutcome::Applied:
        context.err() << "version " << result.version << " was accepted\n";
        return context.options().wait ? waitUntilInForce(context, result.version) : ExitCode::Success;
    case ApplyOutcome::Conflict:
        explainConflict(context, result, request.baseVersion);
        return ExitCode::Conflict;
    case ApplyOutcome::Invalid:
        return leaf::new_error(
            CommandError{ExitCode::Usage, "the daemon refused the file\n" + toString(result.problems)});
    case ApplyOutcome::Unavailable:
        return leaf::new_error(
            CommandError{ExitCode::Unavailable, "the key-value service can't be reached; nothing was written"});
    case ApplyOutcome::Unknown:
        break;
    }
    return leaf::new_error(CommandError{ExitCode::Unknown, "the change may have been written under change id "
                                                               + request.changeId + "; check 'config history'"});
}

} // namespace

Result<ExitCode> configCheck(const CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, readFile(arguments[0]));
    const auto &configuration = file.configuration;
    if (context.isJson()) {
        context.writeJson(json::object{{"exceptions", configuration.exceptions().size()},
                                       {"services", configuration.services().size()}});
    } else {
        context.out() << arguments[0] << ": good, " << configuration.exceptions().size() << " exceptions, "
                      << configuration.services().size() << " services\n";
    }
    return ExitCode::Success;
}

Result<ExitCode> configPlan(const CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, readFile(arguments[0]));
    BOOST_LEAF_AUTO(view, currentConfiguration(context));
    BOOST_LEAF_AUTO(changes, plannedChanges(view, file.configuration));
    if (context.isJson()) {
        context.writeJson(json::object{{"base_version", view.version}, {"changes", toJson(changes)}});
    } else {
        context.out() << toString(changes) << changes.size() << " changes from version " << view.version
                      << "; apply them with --base=" << view.version << '\n';
    }
    return ExitCode::Success;
}

Result<ExitCode> configApply(const CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(file, readFile(arguments[0]));
    BOOST_LEAF_AUTO(view, currentConfiguration(context));
    BOOST_LEAF_AUTO(changes, plannedChanges(view, file.configuration));
    const auto base = context.options().base.value_or(view.version);
    if (changes.empty() && base == view.version && view.version > 0) {
        context.err() << "nothing to change from version " << view.version << '\n';
        return context.options().wait ? waitUntilInForce(context, view.version) : ExitCode::Success;
    }
    const auto request = makeRequest(context, file, base);
    BOOST_LEAF_AUTO(result, submit(context, request));
    if (context.isJson()) {
        auto object = toJson(result).as_object();
        object["change_id"] = request.changeId;
        context.writeJson(object);
    } else if (result.outcome == ApplyOutcome::Applied) {
        context.out() << toString(changes);
    }
    return reportResult(context, request, result);
}

Result<ExitCode> configShow(const CommandContext &context, const Arguments &)
{
    BOOST_LEAF_AUTO(view, currentConfiguration(context));
    if (context.isJson()) {
        context.writeJson(toJson(view));
        return ExitCode::Success;
    }
    if (view.version == 0)
        context.err() << "no configuration was ever applied; the built-in defaults are in force\n";
    context.out() << (view.version == 0 ? FleetConfiguration{}.canonicalText() : view.text);
    if (!view.problems.empty())
        context.err() << "this daemon can't parse version " << view.version << " and keeps version "
                      << view.versionInForce << ":\n"
                      << toString(view.problems);
    return ExitCode::Success;
}

Result<ExitCode> configHistory(const CommandContext &context, const Arguments &)
{
    BOOST_LEAF_AUTO(reply, context.call(ControlMethod::configHistory, json::object{}));
    if (context.isJson())
        context.writeJson(reply);
    else
        writeChanges(context.out(), fromJson<ConfigurationHistory>(reply).changes);
    return ExitCode::Success;
}

} // namespace Gypsumtally::Commands
