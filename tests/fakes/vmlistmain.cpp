#include "fakes/fakevmlist.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 picks a free port.");
ABSL_FLAG(std::string, journal_file, "", "File to which journal events are appended as they happen; empty for none.");
ABSL_FLAG(std::int64_t, lag_ms, 0, "Time until a change becomes visible, in milliseconds.");

int main(int argc, char **argv)
{
    using namespace Gypsumtally;
    absl::ParseCommandLine(argc, argv);
    Http::EventLoop loop;
    Fakes::Journal journal(absl::GetFlag(FLAGS_journal_file));
    Fakes::FakeVmList fake(loop, journal, std::chrono::milliseconds{absl::GetFlag(FLAGS_lag_ms)});
    return Fakes::serve(loop, fake, journal, absl::GetFlag(FLAGS_listen));
}
