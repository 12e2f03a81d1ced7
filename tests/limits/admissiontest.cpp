#include "limits/admission.h"
#include "limits/concurrencylimiter.h"

#include "support/table.h"

using namespace Gypsumtally;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const Instant start{seconds{1000}};

CallAttributes callOf(CallId id, const char *customer, ServiceClass serviceClass)
{
    CallAttributes call;
    call.id = id;
    call.customer = {customer};
    call.serviceClass = serviceClass;
    return call;
}

std::uint32_t admitted(Admission &admission, CallId firstId, int calls, const char *customer, ServiceClass serviceClass)
{
    std::uint32_t count = 0;
    for (int i = 0; i < calls; ++i) {
        const auto failure = admission.admit(callOf(firstId + i, customer, serviceClass), start);
        count += !failure;
        if (!failure)
            continue;
        cr_assert_eq(failure->verdict, Verdict::NotRun);
        cr_assert(failure->retryAfter >= milliseconds{250} && failure->retryAfter <= seconds{30});
    }
    return count;
}

struct Case {
    ServiceClass serviceClass;
    std::uint32_t bound;
};

const Case cases[] = {{ServiceClass::Urgent, 70}, {ServiceClass::Standard, 70}, {ServiceClass::Bulk, 70}};

} // namespace

TABLE_TEST(Admission, outstandingIsBoundedByClass, cases)
{
    Admission admission{{.maxOutstanding = 100}};
    cr_assert_eq(admitted(admission, 1, 1000, "c", row.serviceClass), row.bound);
    cr_assert_eq(admission.outstanding(), row.bound);
    for (CallId id = 1; id <= 1000; ++id)
        admission.finished(id, start);
    cr_assert_eq(admission.outstanding(), 0);
}

Test(Admission, urgentIsAdmittedWhenBulkIsFull)
{
    Admission admission{{.maxOutstanding = 100}};
    admitted(admission, 1, 1000, "bulk", ServiceClass::Bulk);
    cr_assert_eq(admitted(admission, 2001, 10, "urgent", ServiceClass::Urgent), 10);
}

Test(Admission, noClassStarvesAnother)
{
    Admission admission{{.maxOutstanding = 100}};
    admitted(admission, 1, 1000, "urgent", ServiceClass::Urgent);
    cr_assert_eq(admitted(admission, 2001, 1000, "bulk", ServiceClass::Bulk), 20);
    cr_assert_eq(admitted(admission, 4001, 1000, "standard", ServiceClass::Standard), 10);
    cr_assert_eq(admission.outstanding(), 100);
}

Test(Admission, greedyCustomerIsHeldToFairShare)
{
    Admission admission{{.maxOutstanding = 100, .shareSlack = 1}};
    admitted(admission, 1, 10, "modest", ServiceClass::Urgent);
    admitted(admission, 1001, 1000, "greedy", ServiceClass::Urgent);
    cr_assert_eq(admission.outstandingOf({"greedy"}), 35);
    cr_assert_eq(admitted(admission, 3001, 30, "modest", ServiceClass::Urgent), 25);
    cr_assert_eq(admission.outstandingOf({"modest"}), admission.outstandingOf({"greedy"}));
}

Test(ConcurrencyLimiter, followsLateReports)
{
    ConcurrencyLimiter limiter{{.initial = 8}};
    Instant now = start;
    limiter.report({.running = 8, .waiting = 4, .maxRunning = 16}, 12, now);
    limiter.report({.running = 8, .waiting = 4, .maxRunning = 16}, 12, now + milliseconds{100});
    cr_assert_eq(limiter.limit(), 6);
    for (int i = 0; i < 100; ++i) {
        now += seconds{1};
        limiter.report({.running = limiter.limit(), .maxRunning = 16}, limiter.limit(), now);
    }
    cr_assert_eq(limiter.limit(), 16);
}
