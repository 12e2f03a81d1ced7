#include "settings/settings.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

const std::string minimal = "node: entry-1\n" // line 1
                            "region: north\n"
                            "failure_domain: north-a\n"
                            "callers: {listen: '127.0.0.1:0'}\n"
                            "peers: {listen: '127.0.0.1:8081', advertise: '10.0.0.1:8081'}\n" // line 5
                            "platform:\n"
                            "  key_value: ['127.0.0.1:2379', '127.0.0.1:2378']\n"
                            "  vm_list: 127.0.0.1:2380\n"
                            "  weight_store: 127.0.0.1:2381\n"
                            "peer_key_files: [new.key, old.key]\n" // line 10
                            "operator_token_file: operator.token\n";

struct BadCase {
    const char *name;
    const char *replaced;
    const char *by;
    const char *problems;
};

const BadCase badCases[] = {
    {"unknown key", "node: entry-1", "nodes: 3\nnode: entry-1", "n.yaml:1: nodes: unknown key; allowed here: callers"},
    {"missing key", "region: north\n", "", "n.yaml:1: region: is missing\n"},
    {"missing nested key", "  vm_list: 127.0.0.1:2380\n", "", "n.yaml:7: platform.vm_list: is missing\n"},
    {"host name", "127.0.0.1:2381", "store:2381", "n.yaml:9: platform.weight_store: 'store:2381' must be ADDRESS:PORT"},
    {"no port", "127.0.0.1:2378", "127.0.0.1", "n.yaml:7: platform.key_value[1]: '127.0.0.1' must be ADDRESS:PORT"},
    {"empty list", "[new.key, old.key]", "[]", "n.yaml:10: peer_key_files: must be a list with at least one entry"},
    {"duplicate key", "region: north", "region: north\nregion: south", "n.yaml:3: region: is given twice"},
    {"bad enum", "region: north", "region: north\nlog: {level: loud}",
     "n.yaml:3: log.level: 'loud' must be one of debug info warning error"},
    {"bad duration", "region: north", "region: north\nlease_ttl: 10",
     "n.yaml:3: lease_ttl: '10' must be a time from 2s to 5m"},
    {"body beyond the memory", "region: north", "region: north\nlimits: {body_bytes: 20000000}",
     "n.yaml:3: limits.body_bytes: '20000000' must be"},
    {"too little memory", "region: north", "region: north\nmachine: {memory_mb: 8}",
     "n.yaml:3: machine.memory_mb: '8' must be"},
    {"not YAML", "region: north", "region: [", "not YAML"},
    {"peer TLS without authority", "region: north", "region: north\ntls: {peers: {certificate: c, key: k}}",
     "n.yaml:3: tls.peers.ca: is missing"},
    {"several problems", "region: north\nfailure_domain: north-a", "lease_ttl: 1h",
     "n.yaml:1: region: is missing\nn.yaml:1: failure_domain: is missing\nn.yaml:2: lease_ttl: '1h' must be"},
};

struct MemoryCase {
    const char *lines;
    std::size_t callersMb; ///< Of memory for callers.
    std::size_t peersMb;
    std::size_t bodyBytes; ///< Limit on a body.
};

constexpr std::size_t megabyte = 1024 * 1024;

const MemoryCase memories[] = {
    {"", 57, 28, 4 * megabyte},
    {"machine: {memory_mb: 270}\n", 60, 30, 4 * megabyte},
    {"machine: {memory_mb: 512, caller_memory_mb: 300}\nlimits: {body_bytes: 30000000}\n", 200, 100, 30'000'000},
    {"machine: {memory_mb: 81}\n", 18, 9, 3 * megabyte},
};

} // namespace

/// Guards against limits under which a crowd takes more than the machine has, or a single request is not served.
TABLE_TEST(Settings, memoryOfListeners, memories)
{
    const auto parsed = parseSettings(minimal + row.lines, "n.yaml");
    cr_assert(parsed.value.has_value(), "%s", toString(parsed.problems).c_str());
    const auto &machine = parsed.value->machine;
    cr_assert_eq(machine.callersMemoryBytes >> 20U, row.callersMb, "%zu", machine.callersMemoryBytes);
    cr_assert_eq(machine.peersMemoryBytes >> 20U, row.peersMb, "%zu", machine.peersMemoryBytes);
    cr_assert_eq(parsed.value->requestLimits.bodyBytes, row.bodyBytes, "%zu", parsed.value->requestLimits.bodyBytes);
}

Test(Settings, defaultValues)
{
    const auto parsed = parseSettings(minimal, "n.yaml");
    cr_assert(parsed.value.has_value(), "%s", toString(parsed.problems).c_str());
    cr_assert_eq(parsed.value->callers.advertise.address, std::string("127.0.0.1"));
    cr_assert_eq(parsed.value->peers.advertise.address, std::string("10.0.0.1"));
    cr_assert_eq(parsed.value->platform.keyValue.size(), 2);
    cr_assert_eq(parsed.value->peerKeyFiles.front(), std::string("new.key"));
    cr_assert_eq(parsed.value->leaseTtl, Duration{std::chrono::seconds{10}});
}

Test(Settings, exampleFile)
{
    const auto parsed = loadSettings(EXAMPLES "/node.yaml");
    cr_assert(parsed.value.has_value(), "%s", toString(parsed.problems).c_str());
    cr_assert_eq(parsed.value->logFormat, LogFormat::Json);
}

TABLE_TEST(Settings, problemLocations, badCases)
{
    auto text = minimal;
    const auto at = text.find(row.replaced);
    cr_assert_neq(at, std::string::npos);
    text.replace(at, std::string(row.replaced).size(), row.by);
    const auto parsed = parseSettings(text, "n.yaml");
    cr_assert_not(parsed.value.has_value(), "%s", row.name);
    const auto problems = toString(parsed.problems);
    cr_assert_neq(problems.find(row.problems), std::string::npos, "%s: %s", row.name, problems.c_str());
}
