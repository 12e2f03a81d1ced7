#include "cli/command.h"

#include "cli/fakedaemon.h"
#include "support/table.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace Gypsumtally;
using namespace Gypsumtally::Testing;

namespace
{

const char *const firstText = "defaults: {retries: {budget: 0.1}}\n";
const char *const nextText = "defaults: {retries: {budget: 0.2}}\n";

/// A temporary file that the destructor removes.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
        : m_name("/tmp/gypsumtally-XXXXXX")
    {
        close(mkstemp(m_name.data()));
        std::ofstream(m_name) << content;
    }

    ~TemporaryFile()
    {
        std::remove(m_name.c_str());
    }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
};

struct Outcome {
    ExitCode code;
    std::string out;
    std::string err;
};

Outcome run(const CommandOptions &options, const Arguments &words)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto code = runCommand(options, words, out, err);
    return {code, out.str(), err.str()};
}

struct Case {
    const char *name;
    Arguments words; ///< FILE stands for a file with @p text.
    const char *text;
    DaemonFaults faults;
    void (*adjust)(CommandOptions &options);
    ExitCode code;
    const char *out;
    const char *err;
};

void unchanged(CommandOptions &)
{
}

void wait(CommandOptions &options)
{
    options.wait = true;
}

void waitBriefly(CommandOptions &options)
{
    options.wait = true;
    options.timeout = std::chrono::milliseconds{1};
}

void json(CommandOptions &options)
{
    options.output = OutputFormat::Json;
}

void baseZero(CommandOptions &options)
{
    options.base = 0;
}

void wrongToken(CommandOptions &options)
{
    options.tokenFile = "/proc/self/comm"; // Too short for a key.
}

void noServer(CommandOptions &options)
{
    options.server = "localhost";
}

/// Cases that run while version 1 is in force.
const Case cases[] = {
    {"check", {"config", "check", "FILE"}, nextText, {}, unchanged, ExitCode::Success, "good, 0 exceptions", ""},
    {"check invalid file",
     {"config", "check", "FILE"},
     "defaults:\n  retry: 1\n",
     {},
     unchanged,
     ExitCode::Usage,
     "",
     ":2: defaults.retry: unknown key; allowed here: "},
    {"plan",
     {"config", "plan", "FILE"},
     nextText,
     {},
     unchanged,
     ExitCode::Success,
     "~ defaults.retries.budget: 0.1 -> 0.2\n1 changes from version 1",
     ""},
    {"apply",
     {"config", "apply", "FILE"},
     nextText,
     {},
     unchanged,
     ExitCode::Success,
     "~ defaults.retries.budget: 0.1 -> 0.2",
     "version 2 was accepted"},
    {"apply json",
     {"config", "apply", "FILE"},
     nextText,
     {},
     json,
     ExitCode::Success,
     R"("outcome":"applied","version":2)",
     ""},
    {"apply unchanged file",
     {"config", "apply", "FILE"},
     firstText,
     {},
     unchanged,
     ExitCode::Success,
     "",
     "nothing to change"},
    {"apply invalid file",
     {"config", "apply", "FILE"},
     "defaults: 1",
     {},
     unchanged,
     ExitCode::Usage,
     "",
     "must be a map"},
    {"apply and wait",
     {"config", "apply", "FILE"},
     nextText,
     {.laggingStatusReplies = 1},
     wait,
     ExitCode::Success,
     "",
     "waiting for entry-2\nversion 2 is in force on all live nodes"},
    {"wait timeout",
     {"config", "apply", "FILE"},
     nextText,
     {.laggingStatusReplies = 1000000},
     waitBriefly,
     ExitCode::TimedOut,
     "",
     "version 2 was accepted, but is not yet in force on entry-2"},
    {"conflicting change",
     {"config", "apply", "FILE"},
     nextText,
     {},
     baseZero,
     ExitCode::Conflict,
     "",
     "what your file would change now:\n~ defaults.retries.budget: 0.1 -> 0.2"},
    {"lost reply",
     {"config", "apply", "FILE"},
     nextText,
     {.lostApplyReplies = 1},
     unchanged,
     ExitCode::Success,
     "",
     "retrying with change id"},
    {"show", {"config", "show"}, "", {}, unchanged, ExitCode::Success, firstText, ""},
    {"history", {"config", "history"}, "", {}, unchanged, ExitCode::Success, "ana", ""},
    {"status",
     {"status"},
     "",
     {},
     unchanged,
     ExitCode::Success,
     "engine-7  engine  south   live   entry-1  4      checked",
     ""},
    {"status json", {"status"}, "", {}, json, ExitCode::Success, R"("failure_domain":"south-a")", ""},
    {"explain", {"explain", "llama/roster@3"}, "", {}, unchanged, ExitCode::Success, "- hot", ""},
    {"explain unknown", {"explain", "llama/x@1"}, "", {}, unchanged, ExitCode::Failed, "not in the catalogue", ""},
    {"drain", {"drain", "engine-7"}, "", {}, wait, ExitCode::Success, "engine-7: drained", ""},
    {"drain unknown",
     {"drain", "engine-8"},
     "",
     {},
     unchanged,
     ExitCode::Failed,
     "",
     "no node or upstream is called engine-8"},
    {"quarantine list",
     {"quarantine", "list"},
     "",
     {},
     unchanged,
     ExitCode::Success,
     "9f3c         engine-1, engine-2",
     ""},
    {"quarantine clear", {"quarantine", "clear", "9f3c"}, "", {}, unchanged, ExitCode::Success, "1 cleared", ""},
    {"quarantine clear unknown", {"quarantine", "clear", "9f3d"}, "", {}, unchanged, ExitCode::Failed, "0 cleared", ""},
    {"burn", {"report", "burn"}, "", {}, unchanged, ExitCode::Success, "over 1 node(s)", "not counted: entry-2"},
    {"burn json", {"report", "burn"}, "", {}, json, ExitCode::Success, R"("burn_rate":0)", ""},
    {"ask", {"ask", "llama/roster@3", "Who?"}, "", {}, unchanged, ExitCode::Success, "Nimal and Kamala\n", ""},
    {"ask with truncated stream",
     {"ask", "llama/roster@3", "Who?"},
     "",
     {.streamIsCut = true},
     unchanged,
     ExitCode::Failed,
     "Nimal and ",
     "verdict may-have-run"},
    {"help",
     {"help", "config", "apply"},
     "",
     {},
     unchanged,
     ExitCode::Success,
     "usage: gypsumtally config apply FILE",
     ""},
    {"completion", {"completion", "bash"}, "", {}, unchanged, ExitCode::Success, "config) words=\"$words apply\"", ""},
    {"unknown", {"config", "chek"}, "", {}, unchanged, ExitCode::Usage, "", "unknown command 'config chek'"},
    {"missing argument", {"explain"}, "", {}, unchanged, ExitCode::Usage, "", "usage: gypsumtally explain ADAPTER"},
    {"invalid token", {"status"}, "", {}, wrongToken, ExitCode::Usage, "", "at least 16 characters"},
    {"invalid server", {"status"}, "", {}, noServer, ExitCode::Usage, "", "--server must be IP:PORT"},
};

CommandOptions optionsFor(const FakeDaemon &daemon, const TemporaryFile &token)
{
    CommandOptions options;
    options.server = daemon.address();
    options.tokenFile = token.name();
    options.author = "ana";
    return options;
}

} // namespace

TABLE_TEST(Command, exitCodeAndOutput, cases)
{
    auto faults = row.faults;
    const FakeDaemon daemon(faults);
    const TemporaryFile token(FakeDaemon::operatorToken);
    auto options = optionsFor(daemon, token);
    const TemporaryFile first(firstText);
    cr_assert_eq(run(options, {"config", "apply", first.name()}).code, ExitCode::Success);
    const TemporaryFile file(row.text);
    auto words = row.words;
    for (auto &word : words)
        word = word == "FILE" ? file.name() : word;
    row.adjust(options);
    const auto outcome = run(options, words);
    cr_assert_eq(outcome.code, row.code, "%s: %d %s", row.name, static_cast<int>(outcome.code), outcome.err.c_str());
    cr_assert_neq(outcome.out.find(row.out), std::string::npos, "%s: %s", row.name, outcome.out.c_str());
    cr_assert_neq(outcome.err.find(row.err), std::string::npos, "%s: %s", row.name, outcome.err.c_str());
}

Test(Command, storeOutage)
{
    const FakeDaemon daemon({.storeIsDown = true});
    const TemporaryFile token(FakeDaemon::operatorToken);
    const TemporaryFile file(nextText);
    const auto outcome = run(optionsFor(daemon, token), {"config", "apply", file.name()});
    cr_assert_eq(outcome.code, ExitCode::Unavailable, "%s", outcome.err.c_str());
    cr_assert_neq(outcome.err.find("nothing was written"), std::string::npos);
}

Test(Command, forbiddenToken)
{
    const FakeDaemon daemon({});
    const TemporaryFile token("some-other-token-0123456789");
    cr_assert_eq(run(optionsFor(daemon, token), {"status"}).code, ExitCode::Forbidden);
}

Test(Command, unreachableDaemon)
{
    const TemporaryFile token(FakeDaemon::operatorToken);
    CommandOptions options;
    options.tokenFile = token.name();
    options.server = "127.0.0.1:1";
    cr_assert_eq(run(options, {"status"}).code, ExitCode::Unavailable);
}

Test(Command, burnReportPage)
{
    const FakeDaemon daemon({});
    const TemporaryFile token(FakeDaemon::operatorToken);
    const TemporaryFile page("");
    auto options = optionsFor(daemon, token);
    options.html = page.name();
    cr_assert_eq(run(options, {"report", "burn"}).code, ExitCode::Success);
    std::ostringstream html;
    html << std::ifstream(page.name()).rdbuf();
    cr_assert_neq(html.str().find("<svg"), std::string::npos);
}
