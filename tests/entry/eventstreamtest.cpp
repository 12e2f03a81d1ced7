#include "entry/eventstream.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

const std::string whole = "data: {\"token\":0}\n\ndata: {\"token\":1}\n\ndata: [DONE]\n\n";

const std::size_t pieceSizes[] = {1, 2, 7, 1000};

} // namespace

TABLE_TEST(EventStream, splitsEventsAcrossPieces, pieceSizes)
{
    EventStream stream;
    std::string joined;
    for (std::size_t at = 0; at < whole.size(); at += row) {
        for (const auto &item : stream.feed(std::string_view(whole).substr(at, row)))
            joined += item.text;
    }
    cr_assert_eq(joined, whole);
    cr_assert_eq(stream.tokens(), 2);
    cr_assert(stream.isDone());
}

Test(EventStream, distinguishesErrorFromToken)
{
    EventStream stream;
    const auto items = stream.feed("data: {\"error\":{}}\n\n");
    cr_assert_eq(items.size(), 1);
    cr_assert_eq(items[0].kind, EventStream::Kind::Error);
    cr_assert_not(stream.isDone());
}
