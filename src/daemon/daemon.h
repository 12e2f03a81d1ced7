#pragma once

#include "settings/settings.h"

namespace Gypsumtally
{

/// Runs a node until it has received SIGTERM or SIGINT and finished its calls and handovers. Returns the exit code of
/// the process.
int runDaemon(const Settings &settings);

} // namespace Gypsumtally
