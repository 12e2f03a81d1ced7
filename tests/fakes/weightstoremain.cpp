#include "fakes/fakeweightstore.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 picks a free port.");
ABSL_FLAG(std::string, journal_file, "", "File to which journal events are appended as they happen; empty for none.");
ABSL_FLAG(std::string, base, "base", "The base model.");
ABSL_FLAG(std::size_t, adapters, 10, "Number of adapters; they are named BASE/adapter-K@1.");
ABSL_FLAG(double, loads_per_second, 0, "Rate limit of weight fetches per second; 0 for none.");

int main(int argc, char **argv)
{
    using namespace Gypsumtally;
    absl::ParseCommandLine(argc, argv);
    Http::EventLoop loop;
    Fakes::Journal journal(absl::GetFlag(FLAGS_journal_file));
    Fakes::FakeWeightStore fake(
        loop, journal,
        {absl::GetFlag(FLAGS_base), absl::GetFlag(FLAGS_adapters), absl::GetFlag(FLAGS_loads_per_second)});
    return Fakes::serve(loop, fake, journal, absl::GetFlag(FLAGS_listen));
}
