#include "ownership/enginerecord.h"

#include "support/table.h"

#include <boost/leaf.hpp>

using namespace Gypsumtally;
namespace leaf = boost::leaf;

namespace
{

struct Case {
    const char *text;
    const char *place; ///< Expected RecordError::place.
};

const Case cases[] = {
    {"", ""},
    {"[]", ""},
    {R"({"incarnation":"i","epoch":1,"given_up":[],"predecessors":[]})", "/owner"},
    {R"({"owner":"n","incarnation":7,"epoch":1,"given_up":[],"predecessors":[]})", "/incarnation"},
    {R"({"owner":"n","incarnation":"i","epoch":0,"given_up":[],"predecessors":[]})", "/epoch"},
    {R"({"owner":"n","incarnation":"i","epoch":-1,"given_up":[],"predecessors":[]})", "/epoch"},
    {R"({"owner":"n","incarnation":"i","epoch":1,"predecessors":[]})", "/given_up"},
    {R"({"owner":"n","incarnation":"i","epoch":1,"given_up":["b/a@1","b/a"],"predecessors":[]})", "/given_up/1"},
    {R"({"owner":"n","incarnation":"i","epoch":1,"given_up":[],"predecessors":["p"]})", "/predecessors/0"},
    {R"({"owner":"n","incarnation":"i","epoch":1,"given_up":[],"predecessors":[{"node":"n"}]})",
     "/predecessors/0/incarnation"},
};

std::string errorPlace(const char *text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parseEngineRecord(text));
            return std::string("no error");
        },
        [](const RecordError &error) { return error.place; }, [] { return std::string("another error"); });
}

} // namespace

TABLE_TEST(EngineRecord, reportsPlaceOfError, cases)
{
    cr_assert_eq(errorPlace(row.text), std::string(row.place), "%s", row.text);
}

Test(EngineRecord, roundTrips)
{
    const EngineRecord record{{"n1"}, {"i1"}, 7, {{"b", "a", "1"}, {"b", "a", "2"}}, {{{"n2"}, {"i2"}}}};
    const auto read = parseEngineRecord(toJson(record));
    cr_assert(read && *read == record);
}
