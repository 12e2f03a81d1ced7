#include "platform/orderdialect.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;
using Platform::OrderDialect;

namespace
{

struct OrderCase {
    EngineOrder order;
    const char *body;
};

const OrderCase orders[] = {
    {{1, "i-1", OrderKind::Load, "m", 0, 2}, R"({"opcode":"load","model":"m","expected":2,"holder":"n","fence":41})"},
    {{1, "i-1", OrderKind::Load, "m/a3", 0, 2},
     R"({"opcode":"load","model":"m","expected":2,"holder":"n","fence":41,"adapter":"a3"})"},
    {{1, "i-1", OrderKind::Load, "m/a3", 5, 2},
     R"({"opcode":"load","model":"m","expected":2,"holder":"n","fence":41,"adapter":"a3","version":5})"},
    {{1, "i-1", OrderKind::Unload, "m/a3", 0, 2},
     R"({"opcode":"unload","model":"m","expected":2,"holder":"n","fence":41,"adapter":"a3"})"},
};

struct OutcomeCase {
    unsigned status;
    OrderOutcome outcome;
};

const OutcomeCase outcomes[] = {
    {202, OrderOutcome::Started}, {200, OrderOutcome::Done},    {409, OrderOutcome::Conflict},
    {412, OrderOutcome::Refused}, {421, OrderOutcome::Refused}, {400, OrderOutcome::Refused},
    {500, OrderOutcome::Unknown}, {0, OrderOutcome::Unknown},
};

} // namespace

TABLE_TEST(OrderDialect, writesOrders, orders)
{
    const auto request = OrderDialect::writeOrder(row.order, "n", 41);
    cr_assert_eq(request.body, std::string(row.body));
    cr_assert_eq(request.headers.get("X-Expect-Instance"), std::string("i-1"));
}

TABLE_TEST(OrderDialect, readsOutcomes, outcomes)
{
    cr_assert(OrderDialect::readOutcome(row.status) == row.outcome);
}

Test(OrderDialect, readsReports)
{
    const auto report = OrderDialect::readReport(
        R"({"models":[{"name":"m","version":1,"adapters":["a1@2"]}],"coming":["m/a7@1"],"busy":true,"seq":9})");
    cr_assert(report.has_value());
    cr_assert_eq(report->orders, 9U);
    cr_assert(report->busy);
    cr_assert_eq(report->held.size(), 2U);
    cr_assert_eq(report->coming.front().target, std::string("m/a7"));
    cr_assert_not(OrderDialect::readReport("{}").has_value());
}

namespace
{

struct CounterCase {
    const char *counter;
    bool isReport;
};

const CounterCase counters[] = {
    {"0", true},
    {"9", true},
    {"9.0", true},
    {"-1", false},
    {"-1.0", false},
    {"1.5", false},
    {"1e300", false},
    {"1e999", false},
    {"100000000000000000000000000000", false},
    {R"("9")", false},
    {"null", false},
    {"[9]", false},
    {"18446744073709551616.0", false},
};

} // namespace

/// Guards against a report whose counter is taken as 0, so that no order fits the engine any more.
TABLE_TEST(OrderDialect, takesReportsWithCounterOnly, counters)
{
    const auto report
        = OrderDialect::readReport(R"({"models":[],"busy":false,"seq":)" + std::string(row.counter) + "}");
    cr_assert_eq(report.has_value(), row.isReport, "%s", row.counter);
}
