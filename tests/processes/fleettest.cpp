#include "processes/fleet.h"

#include "processes/waiting.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace Gypsumtally;
using namespace Gypsumtally::Processes;

namespace
{

FleetOptions withoutDaemons()
{
    FleetOptions options;
    options.daemons = 0;
    options.engines = 1;
    return options;
}

/// Returns an error description, or an empty string on success. A failed assertion would abort the test without killing
/// the child processes.
std::string killAndRestart()
{
    Fleet fleet(withoutDaemons());
    auto &engine = *fleet.engines().front();
    const auto load = [&] {
        Http::Request request{"POST", "/v1/load_lora_adapter", {}, R"({"lora_name":"base/adapter-0@1"})"};
        const auto result = Http::fetch(engine.endpoint(), std::move(request));
        return result.response && result.response->status == 200;
    };
    if (!load())
        return "the adapter was not loaded";
    engine.process().kill();
    if (load())
        return "the engine still answers after it was killed";
    engine.start();
    if (!eventually(load))
        return "the adapter was not loaded after a restart at the same address";
    engine.process().signal(SIGTERM);
    if (engine.process().wait(waitTimeout) != 0)
        return "the engine did not exit with status 0";
    std::size_t loads = 0;
    for (const auto &event : engine.journal())
        loads += Fakes::textAt(event, "event") == "loaded" ? 1 : 0;
    return loads == 2 ? "" : "the journal does not contain the loads of both runs";
}

} // namespace

Test(Fleet, processKeepsAddressAndJournalAfterKill)
{
    const auto problem = killAndRestart();
    cr_assert(problem.empty(), "%s", problem.c_str());
}
