#include "residency/loadbroker.h"

#include "support/table.h"

#include <random>

using namespace Gypsumtally;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const Instant start{seconds{1000}};

LoadTicket ticket(int number, LoadPriority priority = {})
{
    return {{"e" + std::to_string(number % 4)}, {"base", "a" + std::to_string(number), "1"}, priority};
}

} // namespace

Test(LoadBroker, ordersByClassThenWaitersThenAge)
{
    LoadBroker broker{{.loadsPerSecond = 1}};
    broker.ask(ticket(1, {.serviceClass = ServiceClass::Bulk, .waiters = 1}), start);
    broker.ask(ticket(2, {.serviceClass = ServiceClass::Bulk, .waiters = 3}), start);
    broker.ask(ticket(3, {.serviceClass = ServiceClass::Urgent, .waiters = 1}), start);
    broker.ask(ticket(4, {.waiters = 0, .foreseen = true}), start);
    const int order[] = {3, 2, 1, 4};
    Instant now = start;
    for (const int expected : order) {
        const auto granted = broker.grants(now);
        cr_assert_eq(granted.size(), 1);
        cr_assert_eq(granted[0].adapter, ticket(expected).adapter);
        now = broker.nextWake(now).value_or(now);
    }
}

// Under a constant backlog of urgent tickets, a bulk ticket is granted soon after it counts as aged.
Test(LoadBroker, grantsAgedBulkUnderUrgentLoad)
{
    LoadBroker broker{{.loadsPerSecond = 1}};
    broker.ask(ticket(1, {.serviceClass = ServiceClass::Bulk, .waiters = 1}), start);
    Instant now = start;
    Instant served{};
    for (int i = 2; served == Instant{} && i < 100; ++i) {
        broker.ask(ticket(2 * i, {.serviceClass = ServiceClass::Urgent, .waiters = 1}), now);
        broker.ask(ticket(2 * i + 1, {.serviceClass = ServiceClass::Urgent, .waiters = 1}), now);
        for (const auto &granted : broker.grants(now)) {
            broker.finished(granted.upstream, granted.adapter);
            if (granted.adapter == ticket(1).adapter)
                served = now;
        }
        now += milliseconds{1100};
    }
    cr_assert(served >= start + seconds{20} && served <= start + seconds{30});
}

Test(LoadBroker, limitsPrefetchesToTheirFraction)
{
    LoadBroker broker{{.loadsPerSecond = 4}};
    for (int i = 0; i < 4; ++i)
        broker.ask(ticket(i, {.foreseen = true}), start);
    cr_assert_eq(broker.grants(start).size(), 1);
    broker.ask(ticket(9, {.serviceClass = ServiceClass::Bulk, .waiters = 1}), start);
    cr_assert_eq(broker.grants(start).size(), 1);
    broker.ask(ticket(10, {.serviceClass = ServiceClass::Urgent, .waiters = 1}), start);
    broker.ask(ticket(11, {.serviceClass = ServiceClass::Urgent, .waiters = 1}), start);
    cr_assert_eq(broker.grants(start).size(), 2);
}

Test(LoadBroker, backsOffAfterRefusalByStore)
{
    LoadBroker broker;
    broker.ask(ticket(1), start);
    broker.ask(ticket(2), start);
    const auto granted = broker.grants(start);
    broker.refused(granted[0].upstream, granted[0].adapter, seconds{2}, start);
    broker.ask(granted[0], start);
    cr_assert(broker.grants(start + seconds{1}).empty());
    cr_assert_eq(broker.grants(start + seconds{2}).size(), 1);
}

namespace
{

struct Rate {
    double loadsPerSecond;
    std::uint32_t seed;
};

const Rate rates[] = {{1, 1}, {3, 2}, {3, 3}, {4, 4}, {3.5, 5}, {100, 6}};

} // namespace

// No window of one second may contain more grants than the rate limit allows.
TABLE_TEST(LoadBroker, neverExceedsRateLimit, rates)
{
    std::mt19937 random{row.seed};
    LoadBroker broker{{.loadsPerSecond = row.loadsPerSecond, .maxInFlight = 1000}};
    std::vector<Instant> grants;
    Instant now = start;
    for (int i = 0; i < 5000; ++i) {
        now += milliseconds{random() % 50};
        broker.ask(ticket(i, {.serviceClass = static_cast<ServiceClass>(random() % 3), .waiters = 1}), now);
        for (const auto &granted : broker.grants(now)) {
            grants.push_back(now);
            broker.finished(granted.upstream, granted.adapter);
        }
    }
    const auto allowed = static_cast<std::size_t>(row.loadsPerSecond);
    for (std::size_t i = allowed; i < grants.size(); ++i)
        cr_assert(grants[i] - grants[i - allowed] >= seconds{1});
    const double elapsed = std::chrono::duration<double>(now - start).count();
    cr_assert(static_cast<double>(grants.size()) >= 0.9 * std::min(static_cast<double>(allowed), 39.0) * elapsed);
}
