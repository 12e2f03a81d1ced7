#include "cli/command.h"
#include "cli/commands.h"

#include <boost/leaf.hpp>

#include <ostream>
#include <sstream>

namespace Gypsumtally
{

const std::vector<Command> &commandTable()
{
    static const std::vector<Command> table{
        {"config check", "FILE", 1, 1, "Checks a configuration file without a daemon.",
         "gypsumtally config check fleet.yaml", Commands::configCheck},
        {"config plan", "FILE", 1, 1, "Shows what a file would change.", "gypsumtally config plan fleet.yaml",
         Commands::configPlan},
        {"config apply", "FILE", 1, 1, "Applies a file; --wait blocks until it is in force on all live nodes.",
         "gypsumtally config apply fleet.yaml --wait --reason='more room for bulk work'", Commands::configApply},
        {"config show", "", 0, 0, "Prints the current configuration as submitted.",
         "gypsumtally config show > fleet.yaml", Commands::configShow},
        {"config history", "", 0, 0, "Lists the last changes.", "gypsumtally config history", Commands::configHistory},
        {"status", "", 0, 0, "Shows nodes, upstreams, owners and the configuration version of each node.",
         "gypsumtally status --output=json", Commands::status},
        {"explain", "ADAPTER", 1, 1, "Shows where an adapter is placed, why, and how many requests wait for it.",
         "gypsumtally explain llama/roster@3", Commands::explain},
        {"explain request", "ID LOG...", 2, 200,
         "Shows the events of a request and their possible causes from node logs.",
         "gypsumtally explain request 9c41d07be2a35f68 node-*.log", Commands::explainRequest},
        {"drain", "NODE|UPSTREAM", 1, 1, "Stops new work on a node or upstream; --wait blocks until none is left.",
         "gypsumtally drain engine-7 --wait", Commands::drain},
        {"quarantine list", "", 0, 0, "Lists requests that crashed upstreams.", "gypsumtally quarantine list",
         Commands::quarantineList},
        {"quarantine clear", "FINGERPRINT|all", 1, 1, "Removes one or all requests from quarantine.",
         "gypsumtally quarantine clear 9f3c0a7712ab44de", Commands::quarantineClear},
        {"report burn", "", 0, 0, "Reports service-level burn over all nodes; --html=FILE writes a page with plots.",
         "gypsumtally report burn --html=burn.html", Commands::reportBurn},
        {"report loss", "LOG...", 1, 200, "Counts late, refused and failed requests in gateway logs by cause.",
         "gypsumtally report loss gateway-*.log", Commands::reportLoss},
        {"ask", "MODEL PROMPT", 2, 2, "Asks a model; --server is a callers address here.",
         "gypsumtally ask llama/roster@3 'Who is on shift?' --server=127.0.0.1:8080", Commands::ask},
        {"completion", "bash", 1, 1, "Prints a completion script.", "source <(gypsumtally completion bash)",
         Commands::completion},
        {"help", "[COMMAND]", 0, 2, "Shows the help for a command, or lists all commands.",
         "gypsumtally help config apply", Commands::help},
    };
    return table;
}

std::string helpText(const std::string &name)
{
    std::ostringstream text;
    for (const auto &command : commandTable()) {
        if (name != command.name)
            continue;
        text << "usage: gypsumtally " << command.name << ' ' << command.arguments << "\n\n  " << command.summary
             << "\n\nexample:\n  " << command.example << '\n';
        return text.str();
    }
    text << "usage: gypsumtally COMMAND [--server=IP:PORT] [--token-file=FILE] [--output=text|json]\n\n";
    for (const auto &command : commandTable()) {
        const auto usage = std::string(command.name) + ' ' + command.arguments;
        text << "  " << usage << std::string(usage.size() < 34 ? 34 - usage.size() : 1, ' ') << command.summary << '\n';
    }
    text << "\nexit status: 0 success, 1 refused or not found, 2 invalid usage or file, 3 another change was applied "
            "first,\n"
            "4 unreachable and nothing done, 5 may have been done (run it again), 6 --wait timed out, 7 token "
            "refused\n";
    return text.str();
}

std::string bashCompletion()
{
    std::string first;
    std::string second;
    for (const auto &command : commandTable()) {
        const std::string name = command.name;
        const auto space = name.find(' ');
        const auto word = name.substr(0, space);
        if (first.find(' ' + word) == std::string::npos)
            first += ' ' + word;
        if (space != std::string::npos)
            second += "        " + word + ") words=\"$words " + name.substr(space + 1) + "\" ;;&\n";
    }
    return "_gypsumtally() {\n"
           "    local current=${COMP_WORDS[COMP_CWORD]} words=\"\"\n"
           "    local flags=\"--server= --token-file= --output= --wait --timeout= --base= --author= --reason= --html= "
           "--class= --customer=\"\n"
           "    if [[ $current == -* ]]; then\n"
           "        compopt -o nospace\n"
           "        COMPREPLY=($(compgen -W \"$flags\" -- \"$current\"))\n"
           "        return\n"
           "    fi\n"
           "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "        COMPREPLY=($(compgen -W \""
           + first.substr(1)
           + "\" -- \"$current\"))\n"
             "        return\n"
             "    fi\n"
             "    case ${COMP_WORDS[1]} in\n"
           + second
           + "        completion) words=bash ;;\n"
             "    esac\n"
             "    if [ \"$COMP_CWORD\" -eq 2 ] && [ -n \"$words\" ]; then\n"
             "        COMPREPLY=($(compgen -W \"$words\" -- \"$current\"))\n"
             "    else\n"
             "        COMPREPLY=($(compgen -f -- \"$current\"))\n"
             "    fi\n"
             "}\n"
             "complete -F _gypsumtally gypsumtally\n";
}

namespace Commands
{

Result<ExitCode> help(const CommandContext &context, const Arguments &arguments)
{
    std::string name;
    for (const auto &word : arguments)
        name += (name.empty() ? "" : " ") + word;
    context.out() << helpText(name);
    return ExitCode::Success;
}

Result<ExitCode> completion(const CommandContext &context, const Arguments &arguments)
{
    if (arguments[0] != "bash")
        return boost::leaf::new_error(
            CommandError{ExitCode::Usage, "unsupported shell '" + arguments[0] + "'; supported: bash"});
    context.out() << bashCompletion();
    return ExitCode::Success;
}

} // namespace Commands

} // namespace Gypsumtally
