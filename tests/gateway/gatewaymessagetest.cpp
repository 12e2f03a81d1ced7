#include "gateway/gatewaymessage.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

GatewayMessage example()
{
    GatewayMessage message;
    message.from = {"n1", "d1", "r1", {"10.0.0.1", 80, false}, {"10.0.0.1", 90, false}, 1234567890123};
    message.takesCallers = true;
    message.ordering = {0, 3};
    message.hasLoads = true;
    message.loads["e1"] = {3, 1200};
    message.used = {{"s", "m/a", 2, {}}};
    message.wanted = {{"s", "m/b", 1, {"e1"}}};
    message.crashes = {{0xfedcba9876543210, "e1"}};
    message.placements = {{"e1", "m/a", 2, false, std::chrono::milliseconds{250}}, {"e2", "m/b", 0, true, {}}};
    return message;
}

const char *const malformed[] = {"", "[]", "{", "{}", R"({"from":{}})", R"({"from":{"node":7}})", R"({"from":"n"})"};

} // namespace

Test(GatewayMessage, survivesTheWay)
{
    const auto read = decodeGatewayMessage(encode(example()));
    cr_assert(read.has_value());
    cr_assert(read->from == example().from);
    cr_assert(read->ordering == example().ordering);
    cr_assert_eq(read->loads.at("e1").inFlight, 3U);
    cr_assert_eq(read->used.front().target, std::string("m/a"));
    cr_assert_eq(read->wanted.front().target, std::string("m/b"));
    cr_assert_eq(read->wanted.front().unfit.size(), 1U);
    cr_assert(read->crashes == example().crashes);
    cr_assert_eq(read->placements.size(), 2U);
    cr_assert_eq(read->placements[0].version, 2U);
    cr_assert(read->placements[0].usableIn == std::chrono::milliseconds{250});
    cr_assert(read->placements[1].dropped);
}

Test(GatewayMessage, mayLeaveOutTheAddress)
{
    auto message = example();
    message.from = {};
    message.from.node = "n1";
    message.from.startedAt = 7;
    const auto read = decodeGatewayMessage(encode(message));
    cr_assert(read && read->from == message.from);
}

TABLE_TEST(GatewayMessage, refusesWhatIsNoMessage, malformed)
{
    cr_assert_not(decodeGatewayMessage(row).has_value());
}
