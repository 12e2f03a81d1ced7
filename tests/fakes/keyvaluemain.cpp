#include "fakes/fakekeyvalue.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 picks a free port.");
ABSL_FLAG(std::string, journal_file, "", "File to which journal events are appended as they happen; empty for none.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the generator that picks the replies to lose.");
ABSL_FLAG(double, lose_reply, 0, "Probability that a call takes effect but its reply is lost.");
ABSL_FLAG(std::int64_t, progress_ms, 5000, "Interval between progress notifications of a watch, in milliseconds.");

int main(int argc, char **argv)
{
    using namespace Gypsumtally;
    absl::ParseCommandLine(argc, argv);
    Http::EventLoop loop;
    Fakes::Journal journal(absl::GetFlag(FLAGS_journal_file));
    Fakes::FakeKeyValue fake(loop, journal,
                             {absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_lose_reply),
                              std::chrono::milliseconds{absl::GetFlag(FLAGS_progress_ms)}});
    return Fakes::serve(loop, fake, journal, absl::GetFlag(FLAGS_listen));
}
