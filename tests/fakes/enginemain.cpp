#include "fakes/fakeengine.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address and port to listen on; port 0 picks a free port.");
ABSL_FLAG(std::string, journal_file, "", "File to which journal events are appended as they happen; empty for none.");
ABSL_FLAG(std::string, base, "base", "The base model.");
ABSL_FLAG(std::size_t, slots, 4, "Adapter slots.");
ABSL_FLAG(std::size_t, max_running, 16, "Maximum number of requests in a batch.");
ABSL_FLAG(std::int64_t, token_interval_ms, 5, "Inter-token latency of a request, in milliseconds.");
ABSL_FLAG(bool, fencing, true, "Reject orders with a stale fencing token.");
ABSL_FLAG(bool, crash_on_prompt, false, "Exit when a request with CRASH-ENGINE in its prompt starts.");
ABSL_FLAG(std::string, weight_store, "", "Address and port of the weight store; empty for none.");
ABSL_FLAG(std::int64_t, report_lag_ms, 200, "Age of the counts in the load report, in milliseconds.");

int main(int argc, char **argv)
{
    using namespace Gypsumtally;
    absl::ParseCommandLine(argc, argv);
    Fakes::EngineOptions options;
    options.base = absl::GetFlag(FLAGS_base);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.maxRunning = absl::GetFlag(FLAGS_max_running);
    options.tokenInterval = std::chrono::milliseconds{absl::GetFlag(FLAGS_token_interval_ms)};
    options.fencing = absl::GetFlag(FLAGS_fencing);
    options.crashOnPrompt = absl::GetFlag(FLAGS_crash_on_prompt);
    if (const auto store = absl::GetFlag(FLAGS_weight_store); !store.empty())
        options.weightStore = Http::parseEndpoint(store);
    options.reportLag = std::chrono::milliseconds{absl::GetFlag(FLAGS_report_lag_ms)};
    Http::EventLoop loop;
    Fakes::Journal journal(absl::GetFlag(FLAGS_journal_file));
    Fakes::FakeEngine fake(loop, journal, std::move(options));
    return Fakes::serve(loop, fake, journal, absl::GetFlag(FLAGS_listen));
}
