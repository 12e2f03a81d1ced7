#include "budget/allocator.h"
#include "daemon/daemon.h"
#include "settings/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <string>

ABSL_FLAG(std::string, settings, "", "path of the node's YAML settings file; see docs/CONFIGURATION.md");
ABSL_FLAG(bool, check, false, "validate the settings file and exit");

namespace
{

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage("serves LoRA adapters: gypsumtallyd --settings=FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    const auto file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::fprintf(stderr, "gypsumtallyd: --settings=FILE is required\n");
        return exitUsage;
    }
    const auto settings = Gypsumtally::loadSettings(file);
    if (!settings) {
        std::fprintf(stderr, "%s\n", Gypsumtally::toString(settings.problems).c_str());
        return exitUsage;
    }
    if (settings.value->callersTls || settings.value->peersTls) {
        std::fprintf(stderr, "%s: tls: this version does not support TLS; remove the section\n", file.c_str());
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        std::printf("%s: good\n", file.c_str());
        return 0;
    }
    Gypsumtally::Budget::limitKeptMemory();
    return Gypsumtally::runDaemon(*settings.value);
}
