#pragma once

#include "common/clock.h"
#include "common/enumtable.h"
#include "http/message.h"

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// The exit status of `gypsumtally`; docs/CONTROL.md lists them for scripts.
enum class ExitCode {
    Success = 0,
    Failed = 1, ///< The daemon refused the call, or the object does not exist.
    Usage = 2, ///< Invalid arguments, or an invalid file.
    Conflict = 3, ///< Another change was applied first.
    Unavailable = 4, ///< The daemon or the platform is unreachable; nothing was done.
    Unknown = 5, ///< The operation may have been done; run the command again.
    TimedOut = 6, ///< Done, but the condition of --wait was not reached within --timeout.
    Forbidden = 7, ///< The token was not accepted.
};

enum class OutputFormat {
    Text,
    Json,
};

template<>
inline constexpr EnumTable<OutputFormat, 2> enumNames<OutputFormat>{{
    {OutputFormat::Text, "text"},
    {OutputFormat::Json, "json"},
}};

/// The reason why a command failed; the LEAF error object of this package.
struct CommandError {
    ExitCode code = ExitCode::Failed;
    std::string message;
};

template<typename T>
using Result = boost::leaf::result<T>;

/// The values of the command-line flags.
struct CommandOptions {
    std::string server = "127.0.0.1:8081"; ///< A daemon's address for peers; for `ask` its address for callers.
    std::string tokenFile;
    OutputFormat output = OutputFormat::Text;
    bool wait = false;
    Duration timeout = std::chrono::seconds{30};
    std::optional<std::uint64_t> base; ///< The version that a change must be based on; the current one if not set.
    std::string author;
    std::string reason;
    std::string html; ///< The file for the HTML page of `report burn`.
    std::string serviceClass;
    std::string customer;
};

/// The options, output streams and daemon connection of a command. Not thread-safe.
class CommandContext
{
public:
    CommandContext(CommandOptions options, std::ostream &out, std::ostream &err);

    const CommandOptions &options() const
    {
        return m_options;
    }

    /// Returns the stream for results.
    std::ostream &out() const
    {
        return m_out;
    }

    /// Returns the stream for progress and errors.
    std::ostream &err() const
    {
        return m_err;
    }

    bool isJson() const
    {
        return m_options.output == OutputFormat::Json;
    }

    /// Writes a JSON value on one line to out().
    void writeJson(const boost::json::value &value) const;

    /// Returns the address of the daemon that --server names, or an error if it is invalid.
    Result<Http::Endpoint> server() const;

    /// Calls a control method of the daemon that --server names.
    Result<boost::json::value> call(const std::string &method, const boost::json::value &params) const;

    /// Calls a control method of another daemon with the same token.
    Result<boost::json::value> callAt(const Http::Endpoint &endpoint, const std::string &method,
                                      const boost::json::value &params) const;

private:
    Result<std::string> token() const;

    CommandOptions m_options;
    std::ostream &m_out;
    std::ostream &m_err;
};

using Arguments = std::vector<std::string>;

/// A command of the tool.
struct Command {
    const char *name; ///< One or two words, separated by a space.
    const char *arguments;
    std::size_t minArguments;
    std::size_t maxArguments;
    const char *summary;
    const char *example;
    Result<ExitCode> (*run)(const CommandContext &context, const Arguments &arguments);
};

/// Returns all commands. Thread-safe.
const std::vector<Command> &commandTable();

/// Runs the command that @p words name, writes errors to @p err and returns the exit status. Thread-safe if concurrent
/// calls use separate streams.
ExitCode runCommand(const CommandOptions &options, const Arguments &words, std::ostream &out, std::ostream &err);

/// Returns the help for @p command, or an overview of all commands if no command has that name. Thread-safe.
std::string helpText(const std::string &command);

/// Returns a completion script for bash. Thread-safe.
std::string bashCompletion();

/// Returns @p value as JSON text. Thread-safe.
std::string toJsonText(const boost::json::value &value);

} // namespace Gypsumtally
