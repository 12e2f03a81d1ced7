#include "cli/command.h"
#include "yaml/duration.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, server, "127.0.0.1:8081", "a daemon's peers address, IP:PORT; for ask its callers address");
ABSL_FLAG(std::string, token_file, "", "file of the operator token; GYPSUMTALLY_TOKEN_FILE if not given");
ABSL_FLAG(std::string, output, "text", "text for people or json for machines");
ABSL_FLAG(bool, wait, false, "wait until the change is in force or the drain has finished");
ABSL_FLAG(std::string, timeout, "30s", "how long to wait, for example 30s");
ABSL_FLAG(std::string, base, "", "the version that a change must be based on, as printed by 'config plan'");
ABSL_FLAG(std::string, author, "", "author of a change; the user's name if not given");
ABSL_FLAG(std::string, reason, "", "reason for a change");
ABSL_FLAG(std::string, html, "", "file for the page of 'report burn'");
ABSL_FLAG(std::string, class, "", "class of service for ask: urgent, standard or bulk");
ABSL_FLAG(std::string, customer, "", "customer for ask");

namespace
{

using namespace Gypsumtally;

std::string fromEnvironment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string{} : value;
}

/// Replaces dashes in the name of a flag by underscores, so that `--token-file` is accepted.
std::string withUnderscores(std::string argument)
{
    if (argument.starts_with("--")) {
        const auto end = std::find(argument.begin() + 2, argument.end(), '=');
        std::replace(argument.begin() + 2, end, '-', '_');
    }
    return argument;
}

/// Reads the flags into @p options; returns a description of the first invalid flag, or an empty string.
std::string readFlags(CommandOptions &options)
{
    options.server = absl::GetFlag(FLAGS_server);
    options.tokenFile = absl::GetFlag(FLAGS_token_file);
    if (options.tokenFile.empty())
        options.tokenFile = fromEnvironment("GYPSUMTALLY_TOKEN_FILE");
    options.wait = absl::GetFlag(FLAGS_wait);
    options.author = absl::GetFlag(FLAGS_author);
    if (options.author.empty())
        options.author = fromEnvironment("USER");
    options.reason = absl::GetFlag(FLAGS_reason);
    options.html = absl::GetFlag(FLAGS_html);
    options.serviceClass = absl::GetFlag(FLAGS_class);
    options.customer = absl::GetFlag(FLAGS_customer);
    const auto output = valueOf<OutputFormat>(absl::GetFlag(FLAGS_output));
    if (!output)
        return "--output must be text or json";
    options.output = *output;
    const auto timeout = parseDuration(absl::GetFlag(FLAGS_timeout));
    if (!timeout)
        return "--timeout must be a time with a unit, for example 30s";
    options.timeout = *timeout;
    const auto base = absl::GetFlag(FLAGS_base);
    if (base.find_first_not_of("0123456789") != std::string::npos || base.size() > 18)
        return "--base must be a version number";
    if (!base.empty())
        options.base = std::stoull(base);
    return {};
}

} // namespace

int main(int argc, char *argv[])
{
    std::vector<std::string> words(argv, argv + argc);
    std::ranges::transform(words, words.begin(), withUnderscores);
    std::vector<char *> pointers;
    pointers.reserve(words.size());
    for (auto &word : words)
        pointers.push_back(word.data());
    absl::SetProgramUsageMessage(helpText({}));
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags = [](absl::string_view file) { return file.find("cli/main.cpp") != file.npos; };
    absl::SetFlagsUsageConfig(usage);
    const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    CommandOptions options;
    if (const auto problem = readFlags(options); !problem.empty()) {
        std::cerr << "gypsumtally: " << problem << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    const Arguments arguments(rest.begin() + 1, rest.end());
    return static_cast<int>(runCommand(options, arguments, std::cout, std::cerr));
}
