#include "gateway/eventsplitter.h"

#include "support/table.h"

using namespace Gypsumtally::Gateway;

namespace
{

struct SplitCase {
    const char *bytes;
    const char *whole;
    std::uint64_t events;
    std::uint64_t lastId; ///< 0: none.
};

const SplitCase splits[] = {
    {"id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n", 1, 1},
    {"id: 1\ndata: x\n\nid: 2\nda", "id: 1\ndata: x\n\n", 1, 1},
    {"id:7\ndata: x\n\nid: 8\ndata: y\n\n", "id:7\ndata: x\n\nid: 8\ndata: y\n\n", 2, 8},
    {"id: 3\r\ndata: x\r\n\r\n", "id: 3\r\ndata: x\r\n\r\n", 1, 3},
    {"x-weight-versions: 2\nid: 4\ndata: x\n\n", "x-weight-versions: 2\nid: 4\ndata: x\n\n", 1, 4},
    {"data: id: 9\n\n", "data: id: 9\n\n", 1, 0},
    {"id: 1", "", 0, 0},
};

} // namespace

TABLE_TEST(EventSplitter, returnsCompleteEvents, splits)
{
    EventSplitter splitter;
    cr_assert_eq(splitter.feed(row.bytes), std::string(row.whole));
    cr_assert_eq(splitter.events(), row.events);
    cr_assert_eq(splitter.lastId().value_or(0), row.lastId);
}

TABLE_TEST(EventSplitter, sameResultByteByByte, splits)
{
    EventSplitter splitter;
    std::string whole;
    for (const char byte : std::string_view(row.bytes))
        whole += splitter.feed({&byte, 1});
    cr_assert_eq(whole, std::string(row.whole));
    cr_assert_eq(splitter.hasPartial(), std::string_view(row.bytes).size() > whole.size());
}

namespace
{

struct OrderCase {
    std::uint64_t last;
    bool isConsecutive;
    const char *bytes;
    const char *whole;
    bool isOutOfOrder;
};

const OrderCase orders[] = {
    {3, true, "id: 4\ndata: x\n\n", "id: 4\ndata: x\n\n", false},
    {3, true, "id: 5\ndata: x\n\n", "", true},
    {3, false, "id: 5\ndata: x\n\n", "id: 5\ndata: x\n\n", false},
    {3, true, "id: 1\ndata: x\n\n", "", true},
    {3, false, "id: 3\ndata: x\n\n", "", true},
    {3, true, "id: 4\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: y\n\n", "id: 4\ndata: x\n\n", true},
    {3, true, "data: x\n\nid: 4\ndata: x\n\n", "data: x\n\nid: 4\ndata: x\n\n", false},
};

} // namespace

/// Guards against events of a second run that repeat or leave out a part of the stream.
TABLE_TEST(EventSplitter, stopsAtEventsOutOfOrder, orders)
{
    EventSplitter splitter;
    splitter.resumeAfter(row.last, row.isConsecutive);
    cr_assert_eq(splitter.feed(row.bytes), std::string(row.whole));
    cr_assert_eq(splitter.isOutOfOrder(), row.isOutOfOrder);
    cr_assert(!row.isOutOfOrder || splitter.feed("id: 9\ndata: z\n\n").empty());
}

Test(EventSplitter, overflowsOnEndlessEvent)
{
    EventSplitter splitter;
    cr_assert_eq(splitter.feed("id: 1\ndata: a\n\nid: 2\n"), std::string("id: 1\ndata: a\n\n"));
    const std::string filler(10000, 'x');
    for (int i = 0; i < 100; ++i)
        cr_assert(splitter.feed(filler).empty());
    cr_assert(splitter.hasOverflowed());
    cr_assert(splitter.hasPartial());
    cr_assert(splitter.feed("\n\nid: 3\ndata: c\n\n").empty(), "bytes after the overflow were not dropped");
    cr_assert_eq(*splitter.lastId(), 1U);
}
