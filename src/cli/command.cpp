#include "cli/command.h"

#include "peer/controlclient.h"
#include "peer/peerkeys.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <ostream>

namespace Gypsumtally
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

/// Connect and idle timeouts. The idle timeout exceeds KeeperOptions::applyTimeout, the time in which a daemon answers
/// a change.
const Http::RequestOptions callTimeouts{std::chrono::seconds{2}, std::chrono::seconds{15}, true};

ExitCode exitCodeOf(ControlErrorCode code)
{
    switch (code) {
    case ControlErrorCode::Forbidden:
        return ExitCode::Forbidden;
    case ControlErrorCode::Unavailable:
    case ControlErrorCode::Unreachable:
        return ExitCode::Unavailable;
    case ControlErrorCode::Lost:
        return ExitCode::Unknown;
    default:
        return ExitCode::Failed;
    }
}

const Command *findCommand(const Arguments &words, std::size_t &used)
{
    const Command *found = nullptr;
    for (const auto &command : commandTable()) {
        const std::string name = command.name;
        const bool isTwoWords = name.find(' ') != std::string::npos;
        if (isTwoWords && words.size() >= 2 && name == words[0] + ' ' + words[1]) {
            used = 2;
            return &command;
        }
        if (!isTwoWords && !words.empty() && name == words[0]) {
            used = 1;
            found = &command;
        }
    }
    return found;
}

std::string joined(const Arguments &words)
{
    std::string text;
    for (const auto &word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

Result<ExitCode> dispatch(const CommandContext &context, const Arguments &words)
{
    std::size_t used = 0;
    const auto *command = findCommand(words, used);
    if (command == nullptr) {
        const std::string given = words.empty() ? "no command was given" : "unknown command '" + joined(words) + "'";
        return leaf::new_error(CommandError{ExitCode::Usage, given + "; 'gypsumtally help' lists the commands"});
    }
    const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(used), words.end());
    if (arguments.size() < command->minArguments || arguments.size() > command->maxArguments) {
        return leaf::new_error(CommandError{ExitCode::Usage, std::string("usage: gypsumtally ") + command->name + ' '
                                                                 + command->arguments});
    }
    return command->run(context, arguments);
}

} // namespace

CommandContext::CommandContext(CommandOptions options, std::ostream &out, std::ostream &err)
    : m_options(std::move(options))
    , m_out(out)
    , m_err(err)
{
}

void CommandContext::writeJson(const json::value &value) const
{
    m_out << json::serialize(value) << '\n';
}

std::string toJsonText(const json::value &value)
{
    return json::serialize(value);
}

Result<Http::Endpoint> CommandContext::server() const
{
    auto endpoint = Http::parseEndpoint(m_options.server);
    if (endpoint.port == 0)
        return leaf::new_error(
            CommandError{ExitCode::Usage, "--server must be IP:PORT, not '" + m_options.server + "'"});
    return endpoint;
}

Result<std::string> CommandContext::token() const
{
    if (m_options.tokenFile.empty())
        return leaf::new_error(CommandError{ExitCode::Usage, "--token-file must name the file of the operator token"});
    const auto keys = PeerKeys::load({m_options.tokenFile});
    if (!keys)
        return leaf::new_error(CommandError{ExitCode::Usage, "--token-file: " + toString(keys.problems.front())});
    return keys.value->keyToSend();
}

Result<json::value> CommandContext::call(const std::string &method, const json::value &params) const
{
    BOOST_LEAF_AUTO(endpoint, server());
    return callAt(endpoint, method, params);
}

Result<json::value> CommandContext::callAt(const Http::Endpoint &endpoint, const std::string &method,
                                           const json::value &params) const
{
    BOOST_LEAF_AUTO(key, token());
    auto reply = callControl(endpoint, key, method, params, callTimeouts);
    if (const auto *error = std::get_if<ControlError>(&reply)) {
        const auto message = Http::toString(endpoint) + ": " + method + ": " + error->message;
        return leaf::new_error(CommandError{exitCodeOf(error->code), message}, error->code);
    }
    return std::get<json::value>(std::move(reply));
}

ExitCode runCommand(const CommandOptions &options, const Arguments &words, std::ostream &out, std::ostream &err)
{
    const CommandContext context(options, out, err);
    const auto report = [&](const CommandError &error) {
        err << "gypsumtally: " << error.message << '\n';
        return error.code;
    };
    return leaf::try_handle_all([&]() -> Result<ExitCode> { return dispatch(context, words); }, report,
                                [&] {
                                    return report({ExitCode::Failed, "unexpected internal error"});
                                });
}

} // namespace Gypsumtally
