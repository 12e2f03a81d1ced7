#include "gatewayfleet/configurationprobes.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::GatewayFleet;

namespace
{

struct Probe {
    std::uint64_t version;
    int sentMs; ///< From the write of version 1; version 2 is written at 10 s.
    bool wasInForce;
    bool isInTouch = true;
};

struct ProbeCase {
    const char *name;
    std::vector<Probe> probes;
    std::size_t violations;
};

const ProbeCase probeCases[] = {
    {"in force in time", {{1, 2600, true}, {2, 12600, true}, {1, 12600, false}}, 0},
    {"not yet in force", {{2, 12400, false}, {1, 12400, true}}, 0},
    {"late", {{2, 12600, false}}, 1},
    {"the older one too long", {{1, 12600, true}}, 1},
    {"late, out of touch", {{2, 12600, false, false}, {1, 12600, true, false}}, 0},
    {"back to the older one", {{2, 10500, true}, {1, 11000, true}}, 1},
    {"back, out of touch", {{2, 10500, true, false}, {1, 11000, true, false}}, 1},
    {"answers that overtake each other", {{2, 10500, true}, {1, 10600, true}}, 0},
};

} // namespace

TABLE_TEST(ConfigurationProbes, judgesByTheRules, probeCases)
{
    const Instant start{std::chrono::seconds{100}};
    ConfigurationProbes probes;
    probes.onWritten(1, start);
    probes.onWritten(2, start + std::chrono::seconds{10});
    for (const auto &probe : row.probes) {
        const auto sentAt = start + std::chrono::milliseconds{probe.sentMs};
        probes.onAnswer({"n1", start}, probe.version, sentAt, probe.wasInForce, probe.isInTouch,
                        sentAt + std::chrono::milliseconds{20});
    }
    cr_assert_eq(probes.violations().size(), row.violations, "%s", row.name);
}
