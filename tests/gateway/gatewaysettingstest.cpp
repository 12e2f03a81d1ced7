#include "gateway/gatewaysettings.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

const std::string good = R"(node: n1
failure_domain: a
region: r
listen:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  entries: 127.0.0.1:3
  peers: 127.0.0.1:4
store: 127.0.0.1:5
order_handover: 3000ms
retries:
  ratio: 0.2
  slack: 58
)";

struct BadCase {
    const char *line; ///< Appended to valid settings.
    const char *problem; ///< Key that the problem names.
};

const BadCase bad[] = {
    {"stop_grace: soon\n", "stop_grace"},
    {"stop_grace: 8\n", "stop_grace"},
    {"unknown: 1\n", "unknown"},
    {"log: {level: loud}\n", "log.level"},
    {"machine: {cpu_share: -1}\n", "machine.cpu_share"},
    {"machine: {caller_memory_mb: 1}\n", "machine.caller_memory_mb"},
    {"machine: {max_descriptors: -1}\n", "machine.max_descriptors"},
};

} // namespace

Test(GatewaySettings, reads)
{
    const auto settings = parseGatewaySettings(good, "f");
    cr_assert(settings, "%s", toString(settings.problems).c_str());
    cr_assert_eq(settings.value->callers.port, 1);
    cr_assert(settings.value->orderHandover == std::chrono::seconds{3});
    cr_assert_not(settings.value->metrics.has_value());
}

TABLE_TEST(GatewaySettings, rejectsInvalidSettings, bad)
{
    const auto settings = parseGatewaySettings(good + row.line, "f");
    cr_assert_not(settings);
    cr_assert_eq(settings.problems.front().key, std::string(row.problem));
    cr_assert(settings.problems.front().line > 0);
}

Test(GatewaySettings, reportsMissingSettings)
{
    const auto settings = parseGatewaySettings("node: n1\n", "f");
    cr_assert_not(settings);
    cr_assert(settings.problems.size() >= 4);
}

namespace
{

struct MachineCase {
    const char *line;
    double capacity;
};

const MachineCase machines[] = {
    {"", 1},
    {"machine: {cpu_share: 0.5, link_mbps: 200}\n", 2},
    {"machine: {cpu_share: 0.5, link_mbps: 10}\n", 0.1},
    {"machine: {cpu_share: 0.125, link_mbps: 1000}\n", 0.5},
};

struct RereadCase {
    const char *line;
    bool changes;
    bool needsRestart;
};

const RereadCase rereads[] = {
    {"", false, false},
    {"stop_grace: 9s\n", true, false},
    {"entry_ttl: 2s\n", true, false},
    {"regions: {a: r}\n", true, false},
    {"machine: {memory_mb: 128}\n", true, false},
    {"machine: {memory_mb: 128, cpu_share: 0.125}\n", true, true},
    {"machine: {cpu_share: 0.125}\n", false, true},
    {"log: {level: debug}\n", false, true},
    {"adaptive_capacity: true\n", false, true},
};

} // namespace

TABLE_TEST(GatewaySettings, capacityByScarcerResource, machines)
{
    cr_assert_eq(parseGatewaySettings(good + row.line, "f").value->capacity, row.capacity);
}

Test(GatewaySettings, answerBufferIsQuarterOfMemory)
{
    const auto settings = parseGatewaySettings(good + std::string("machine: {memory_mb: 160}\n"), "f");
    cr_assert_eq(settings.value->answerBufferBytes, 40U * 1024 * 1024);
}

namespace
{

struct CallerMemoryCase {
    const char *line;
    std::size_t megabytes;
};

const CallerMemoryCase callerMemories[] = {
    {"machine: {memory_mb: 120}\n", 40},
    {"machine: {memory_mb: 120, caller_memory_mb: 50}\n", 50},
    {"machine: {memory_mb: 1}\n", 2},
};

} // namespace

/// Guards against callers that may take all memory of the machine.
TABLE_TEST(GatewaySettings, callersHaveAPartOfTheMemory, callerMemories)
{
    const auto settings = parseGatewaySettings(good + row.line, "f");
    cr_assert_eq(settings.value->callerMemoryBytes, row.megabytes * 1024 * 1024);
    cr_assert_not(settings.value->maxDescriptors.has_value());
}

TABLE_TEST(GatewaySettings, appliesReloadableSettings, rereads)
{
    const auto running = *parseGatewaySettings(good, "f").value;
    const auto read = *parseGatewaySettings(good + row.line, "f").value;
    const auto merged = applyReloadable(running, read);
    cr_assert_eq(merged != running, row.changes);
    cr_assert_eq(merged != read, row.needsRestart);
}
