#include "peerprotocol/peermessage.h"

#include "support/table.h"

#include <boost/json.hpp>

#include <limits>

using namespace Gypsumtally;

namespace
{

const AdapterVersion adapter{"b", "a", "1"};

UpstreamHint fullHint()
{
    UpstreamHint hint;
    hint.upstream = {"e1"};
    hint.owner = {"n1"};
    hint.epoch = 7;
    hint.sequence = 9;
    hint.region = {"south"};
    hint.base = "b";
    hint.slots = 8;
    hint.freeSlots = 2;
    hint.loaded = {std::numeric_limits<std::uint64_t>::max(), 3};
    hint.leaving = true;
    return hint;
}

const PeerMessage messages[] = {
    HintMessage{fullHint()},
    ReleaseAsk{{"e1"}, {"run"}, 4},
    ReleaseAnswer{{"e1"}, {"run"}, 4, true, true},
    LoadAsk{{"e1"}, adapter, ServiceClass::Urgent, 3, Duration{250}, true},
    LoadDone{{"e1"}, adapter, LoadEnd::Refused, Duration{1000}},
    LoadGrant{{"e1"}, adapter},
    PlaceAsk{5, adapter, ServiceClass::Bulk, {"south"}, {{"e2"}, {"e3"}}},
    PlaceAnswer{5, {"e1"}, {"n1"}},
};

const char *const badBatches[] = {"7", "[]", R"({"messages":3})", "{}", R"({"messages":[],"from":1})"};

} // namespace

TABLE_TEST(PeerMessage, roundTrips, messages)
{
    const PeerBatch batch{{"n0"}, {"run0"}, {3, 4}, {row}};
    const auto text = encodeBatch(batch);
    const auto read = decodeBatch(boost::json::parse(text));
    cr_assert(read.has_value());
    cr_assert_eq(read->from.value, std::string("n0"));
    cr_assert_eq(read->messages.size(), 1);
    cr_assert_eq(read->messages[0].index(), row.index());
    cr_assert_eq(encodeBatch(*read), text);
}

TABLE_TEST(PeerMessage, rejectsInvalidBatches, badBatches)
{
    cr_assert_not(decodeBatch(boost::json::parse(row)).has_value());
}

Test(PeerMessage, skipsInvalidMessages)
{
    const auto batch = decodeBatch(boost::json::parse(
        R"({"from":"n","incarnation":"i","messages":[{"kind":"later"},{"kind":"place_answer","call":1},7,{"kind":"load_grant","adapter":"bad"}]})"));
    cr_assert_eq(batch->messages.size(), 1);
}
