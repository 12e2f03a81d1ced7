#include "fakes/fakeservice.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 picks a free port.");
ABSL_FLAG(std::string, journal_file, "", "File to which journal events are appended as they happen; empty for none.");
ABSL_FLAG(bool, crash_on_request, false, "Exit after running a call with CRASH-SERVICE in its body.");

int main(int argc, char **argv)
{
    using namespace Gypsumtally;
    absl::ParseCommandLine(argc, argv);
    Http::EventLoop loop;
    Fakes::Journal journal(absl::GetFlag(FLAGS_journal_file));
    Fakes::FakeService fake(loop, journal, absl::GetFlag(FLAGS_crash_on_request));
    return Fakes::serve(loop, fake, journal, absl::GetFlag(FLAGS_listen));
}
