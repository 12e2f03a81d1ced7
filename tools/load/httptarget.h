#pragma once

#include "load/results.h"
#include "load/scenario.h"

#include "http/message.h"

#include <cstdint>
#include <vector>

namespace Gypsumtally::Load
{

/// Sends the open-loop load of a scenario to running daemons and waits for the answers. Blocks. The faults of the
/// scenario are not injected. Load stalls are not observable by a client, so the results contain none.
Results runOverHttp(const std::vector<Http::Endpoint> &entries, const Deployment &deployment, const Scenario &scenario,
                    std::uint64_t seed);

} // namespace Gypsumtally::Load
