#include "configuration/fleetconfiguration.h"

#include "configuration/settingtable.h"
#include "support/table.h"

#include <fstream>
#include <sstream>

using namespace Gypsumtally;
using namespace std::chrono_literals;

namespace
{

std::string example()
{
    std::ifstream stream(EXAMPLES "/fleet.yaml");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

FleetConfiguration parsed(const std::string &text)
{
    auto result = FleetConfiguration::parse(text, "f.yaml");
    cr_assert(result.value.has_value(), "%s", toString(result.problems).c_str());
    return std::move(*result.value);
}

struct BadCase {
    const char *text;
    const char *problems;
};

const BadCase badCases[] = {
    {"services: {}", "f.yaml:1: defaults: is missing"},
    {"defaults:\n  weights: {load_stal: 1}",
     "f.yaml:2: defaults.weights.load_stal: unknown key; allowed here: batch_efficiency, load_stall"},
    {"defaults:\n  weights: {load_stall: -1}",
     "f.yaml:2: defaults.weights.load_stall: '-1' must be a number from 0 to 1000"},
    {"defaults: {weights: 3}", "f.yaml:1: defaults.weights: must be a map of keys and values"},
    {"defaults: {retries: {budget: nan}}", "defaults.retries.budget: 'nan' must be a number"},
    {"defaults: {claims: {retention: 1s}}", "defaults.claims.retention: '1s' must be a time from 1m to 30d"},
    {"defaults: {}\nexceptions:\n  - match: {customer: a}\n    set: {limits: {customer_queue: 9}}",
     "f.yaml:3: exceptions[0].reason: is missing"},
    {"defaults: {}\nexceptions:\n  - reason: ''\n    match: {customer: a}\n    set: {limits: {customer_queue: 9}}",
     "f.yaml:3: exceptions[0].reason: '' must not be empty"},
    {"defaults: {}\nexceptions:\n  - {reason: r, match: {}, set: {}}",
     "f.yaml:3: exceptions[0].match: must name a customer, adapter, base, region or upstream"},
    {"defaults: {}\nexceptions:\n  - reason: r\n    match: {customer: a}\n    set:\n      weight_store: "
     "{loads_per_second: 9}",
     "f.yaml:6: exceptions[0].set.weight_store.loads_per_second: holds for the whole fleet"},
    {"defaults: {}\nexceptions:\n  - reason: r\n    match: {customer: a}\n    set: {upstreams: {fencing_checked: "
     "true}}",
     "exceptions[0].set.upstreams.fencing_checked: can't be set by customer; allowed: base, region, upstream"},
    {"defaults: {}\nexceptions:\n  - {reason: r, match: {region: a}, set: {}}\n  - {reason: r, match: {region: a}, "
     "set: {}}",
     "f.yaml:4: exceptions[1].match: an earlier exception matches the same"},
    {"defaults: {}\nservices: {a b: {calls: [{method: GET, path: /, idempotent: true}]}}",
     "services.a b: a service's name"},
    {"defaults: {}\nservices: {a: {calls: [{method: get, path: '/x/', idempotent: 1}]}}",
     "services.a.calls[0].idempotent: '1' must be true or false"},
    {"defaults: {}\nservices: {a: {calls: [{method: get, path: '/x/', idempotent: true}]}}",
     "services.a.calls[0].path: '/x/' must start with /"},
};

struct ResolveCase {
    Subject subject;
    double loadStall;
    std::uint64_t queue;
    bool fencing;
};

const ResolveCase resolveCases[] = {
    {{}, 3, 256, false},
    {{.customer = "other", .adapter = {}, .base = {}, .region = {}, .upstream = {}}, 3, 256, false},
    {{.customer = "servicio", .adapter = {}, .base = {}, .region = {}, .upstream = {}}, 3, 2048, false},
    {{.customer = {}, .adapter = {}, .base = {}, .region = "south", .upstream = "e1"}, 3, 256, true},
    {{.customer = "servicio", .adapter = "x", .base = "registry", .region = "south", .upstream = {}}, 1, 2048, true},
};

struct CallCase {
    const char *method;
    const char *target;
    bool idempotent;
};

const CallCase callCases[] = {
    {"GET", "/", true},
    {"GET", "/rooms?all", true},
    {"GET", "/book/7", true},
    {"POST", "/book", false},
    {"POST", "/read", true},
    {"POST", "/read/7", true},
    {"POST", "/readers", false},
    {"DELETE", "/rooms", false},
    {"POST", "/read/%2e%2e/book", false},
    {"POST", "//read", true},
    {"POST", "/re%61d", true},
    {"POST", "/read%2", false},
    {"POST", "/read;x", false},
    {"POST", "/read/%252e%252e/book", false},
    {"PUT", "/any", true},
};

} // namespace

TABLE_TEST(FleetConfiguration, problemLocations, badCases)
{
    const auto result = FleetConfiguration::parse(row.text, "f.yaml");
    cr_assert_not(result.value.has_value(), "%s", row.text);
    const auto problems = toString(result.problems);
    cr_assert_neq(problems.find(row.problems), std::string::npos, "%s: %s", row.text, problems.c_str());
}

TABLE_TEST(FleetConfiguration, resolvedSettings, resolveCases)
{
    SettingsResolver resolver(std::make_shared<const FleetConfiguration>(parsed(example())));
    const auto &settings = resolver.resolve(row.subject);
    cr_assert_eq(settings.loadStallWeight, row.loadStall);
    cr_assert_eq(settings.customerQueue, row.queue);
    cr_assert_eq(settings.fencingChecked, row.fencing);
    cr_assert_eq(&settings, &resolver.resolve(row.subject));
}

TABLE_TEST(FleetConfiguration, idempotentCalls, callCases)
{
    const auto configuration = parsed("defaults: {}\nservices:\n  s:\n    calls:\n"
                                      "      - {method: POST, path: /read, idempotent: true}\n"
                                      "      - {method: POST, path: /, idempotent: false}\n"
                                      "      - {method: GET, path: /, idempotent: true}\n"
                                      "      - {method: PUT, path: /any, idempotent: true}\n"
                                      "      - {method: '*', path: /any, idempotent: false}\n");
    cr_assert_eq(configuration.service("s")->isIdempotent(row.method, row.target), row.idempotent, "%s %s", row.method,
                 row.target);
}

Test(FleetConfiguration, canonicalTextRoundTrip)
{
    auto text = example();
    text.replace(text.find("the registry"), 12, "\"a \\\"quoted\\\"\\n\\ttext\" #");
    for (const auto &source : {example(), text, std::string("defaults: {}")}) {
        const auto configuration = parsed(source);
        const auto canonical = configuration.canonicalText();
        const auto again = parsed(canonical);
        cr_assert(difference(configuration, again).empty(), "%s", canonical.c_str());
        cr_assert_eq(again.canonicalText(), canonical);
    }
}

Test(FleetConfiguration, documentedSettings)
{
    std::ostringstream page;
    page << std::ifstream(DOCS "/CONFIGURATION.md").rdbuf();
    for (const auto &setting : settingTable()) {
        const auto row = "| `" + std::string(setting.key) + "` | " + formatSetting(setting, {}) + " | ";
        cr_assert_neq(page.str().find(row), std::string::npos, "no row starts with %s", row.c_str());
    }
}

Test(FleetConfiguration, differencesBySetting)
{
    const auto before = parsed("defaults: {retries: {budget: 0.1}}\nexceptions:\n"
                               "  - {reason: old, match: {customer: a}, set: {limits: {customer_queue: 9}}}\n");
    const auto after = parsed("defaults: {retries: {budget: 0.2}}\nexceptions:\n"
                              "  - {reason: new, match: {customer: a}, set: {classes: {bulk: {deadline: 2h}}}}\n");
    cr_assert_eq(toString(difference(before, after)),
                 std::string("~ defaults.retries.budget: 0.1 -> 0.2\n"
                             "~ exceptions[customer=a] reason: old -> new\n"
                             "+ exceptions[customer=a].classes.bulk.deadline: 2h\n"
                             "- exceptions[customer=a].limits.customer_queue: 9\n"));
}
