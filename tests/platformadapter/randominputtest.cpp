#include "gateway/fleetestimates.h"
#include "gateway/gatewaymessage.h"
#include "gateway/streamrecords.h"
#include "platform/documents.h"
#include "platform/orderdialect.h"

#include "support/table.h"

#include <array>
#include <random>
#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

const std::string record
    = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1","slots":64,"state":"ready",
"cold_ms":0,"models":[{"name":"m","version":1,"adapters":["a1@2","a2"]}],"seq":4,"born":1700000000000,
"at_hand":{"in_memory":[],"on_disk":["m"]}})";
const std::string configuration = R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/",
"kind":"streaming","timeout_ms":30000,"goal_ms":1000,"priority":1,"split":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"attempts":1,"can_resume":true,"gap_target_ms":300}],"services":[{"name":"s1",
"engine":{"slots":64,"stride":3,"models":[{"name":"m","load_s":5.3}],"adapter_slots":20}}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
const std::string declaration = R"({"model":"m","adapter":"a1","version":3})";
const std::string report
    = R"({"models":[{"name":"m","version":1,"adapters":["a1@2"]}],"coming":["m/a7@1"],"busy":true,"seq":9})";
const std::string message
    = R"({"sender":"n","reports":[{"from":{"node":"m","domain":"d","region":"r","callers":"10.0.0.1:80",
"peers":"10.0.0.1:90","started":7,"capacity":0.5},"sequence":17,"open":true,"in_flight":[["u",3]],"steps":[["u",13.2]],
"speeds":[["s",10.2,20.5,1500,0]],"prompts":[["u",1110,40,1]],"limits":[["u",5,30,2.2,4]],"released":[[1,7,-30]],
"placements":[["u","m/a",2,false,250]],"verdicts":[["part/bad",3,2,1700000000000,"n"]]}],"wanted":[["s","m/b",1,"u"]],
"registry":[{"view":"upstreams","after":7,"revision":12,"age":30,"changes":[[8,"servers/a","{}"],[9,"servers/b"]]}]})";

constexpr std::array<const char *, 12> oddParts{
    "1e999",   "-1", "1e300", "100000000000000000000000000000", "null",     "{}",
    "[[[[]]]", "\"", "65536", "9223372036854775808.0",          "\xff\xfe", ""};

/// Returns @p text with a few random bytes or parts replaced.
std::string disturbed(std::string text, std::mt19937_64 &random)
{
    const auto below = [&](std::size_t end) { return std::uniform_int_distribution<std::size_t>{0, end - 1}(random); };
    for (auto changes = 1 + below(4); changes > 0 && !text.empty(); --changes) {
        const auto at = below(text.size());
        switch (below(4)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, 1 + below(12));
            break;
        case 2:
            text.insert(at, oddParts[below(oddParts.size())]);
            break;
        default:
            if (const auto digit = text.find_first_of("0123456789", at); digit != std::string::npos)
                text.replace(digit, text.find_first_not_of("0123456789.", digit) - digit,
                             oddParts[below(oddParts.size())]);
        }
    }
    return text;
}

void checkRecord(const std::string &text)
{
    const auto read = Platform::readUpstream("i-1", text);
    if (const auto *upstream = std::get_if<UpstreamRecord>(&read))
        cr_assert(upstream->slots <= 65536 && upstream->endpoint.port != 0 && upstream->startedAt >= 0, "%s",
                  text.c_str());
}

void checkMessage(const std::string &text)
{
    const auto read = decodeGatewayMessage(text);
    if (!read)
        return;
    for (const auto &each : read->registry)
        cr_assert(each.delta.after >= 0 && each.delta.revision >= each.delta.after, "%s", text.c_str());
    for (const auto &each : read->reports)
        cr_assert((each.from.callers.port == 0) == (each.from.peers.port == 0), "%s", text.c_str());
}

const unsigned seeds[] = {1, 2, 3, 4};
constexpr int inputs = 5000; ///< Per seed.

} // namespace

/// Guards against a process that ends at an entry or a datagram that another writer has spoilt.
TABLE_TEST(RandomInput, readersTakeAnyBytes, seeds)
{
    std::mt19937_64 random(row);
    for (int i = 0; i < inputs; ++i) {
        checkRecord(disturbed(record, random));
        checkMessage(disturbed(message, random));
        Platform::readOperatorDocument("op/config", disturbed(configuration, random));
        Platform::readOperatorDocument("op/version/m.a1", disturbed(declaration, random));
        Platform::OrderDialect::readReport(disturbed(report, random));
        decodeNodeAddress(disturbed(message, random));
        decodeFleetEstimates(disturbed(configuration, random));
        decodeSoftwareHistory(disturbed(declaration, random));
    }
}
