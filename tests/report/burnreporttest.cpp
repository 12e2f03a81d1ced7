#include "report/burnreport.h"

#include "support/table.h"

#include <random>

using namespace Gypsumtally;
using namespace std::chrono_literals;

namespace
{

constexpr Objective urgentObjective{760ms, 0.95};

BurnCounter makeCounter()
{
    BurnCounter counter;
    counter.setObjective(ServiceClass::Urgent, urgentObjective);
    return counter;
}

const ClassBurn &urgent(const BurnReport &report)
{
    return report.classes.front();
}

struct WindowCase {
    Duration age;
    std::array<std::uint64_t, burnWindowCount> total; ///< Expected counts for one request of that age.
};

const WindowCase windowCases[] = {
    {0s, {1, 1, 1, 1}}, {4min, {1, 1, 1, 1}}, {6min, {0, 1, 1, 1}},  {61min, {0, 0, 1, 1}},
    {7h, {0, 0, 0, 1}}, {72h, {0, 0, 0, 0}},  {1000h, {0, 0, 0, 0}},
};

struct StateCase {
    unsigned badOfHundredLastHour;
    unsigned badOfHundredBefore;
    const char *state;
};

const StateCase stateCases[]
    = {{0, 0, "ok"}, {5, 5, "ok"}, {90, 2, "burning fast"}, {45, 40, "burning"}, {45, 2, "ok"}};

} // namespace

TABLE_TEST(BurnReport, windowExpiry, windowCases)
{
    auto counter = makeCounter();
    const Instant start{100h};
    counter.record(ServiceClass::Urgent, true, 1ms, start);
    const auto report = makeBurnReport(counter.counts(start + row.age));
    for (std::size_t i = 0; i < burnWindowCount; ++i)
        cr_assert_eq(urgent(report).windows[i].total, row.total[i], "window %lu", i);
}

TABLE_TEST(BurnReport, burnStates, stateCases)
{
    auto counter = makeCounter();
    const Instant end{100h};
    for (auto age = Duration{6h - 1s}; age >= 0s; age -= 36s) {
        const auto bad = age < 1h ? row.badOfHundredLastHour : row.badOfHundredBefore;
        for (unsigned i = 0; i < 100; ++i)
            counter.record(ServiceClass::Urgent, i >= bad, 1ms, end - age);
    }
    const auto report = makeBurnReport(counter.counts(end));
    cr_assert_eq(urgent(report).state, std::string(row.state), "%s", toText(report).c_str());
}

Test(BurnReport, lateAnswers)
{
    auto counter = makeCounter();
    for (int i = 0; i < 100; ++i)
        counter.record(ServiceClass::Urgent, true, i < 4 ? 761ms : 760ms, Instant{1h});
    const auto report = makeBurnReport(counter.counts(Instant{1h}));
    cr_assert_float_eq(urgent(report).budgetLeft, 0.2, 1e-9);
    cr_assert_float_eq(urgent(report).windows.front().burnRate, 0.8, 1e-9);
    cr_assert_neq(toText(report).find("budget left 20.0%"), std::string::npos, "%s", toText(report).c_str());
}

Test(BurnReport, mergedNodes)
{
    std::mt19937_64 random(7);
    auto all = makeCounter();
    std::array nodes{makeCounter(), makeCounter(), makeCounter()};
    Instant now{100h};
    for (int i = 0; i < 20000; ++i) {
        now += Duration{random() % 30'000'000};
        const auto serviceClass = static_cast<ServiceClass>(random() % 3);
        const bool succeeded = random() % 10 > 0;
        all.record(serviceClass, succeeded, 1ms, now);
        nodes[random() % nodes.size()].record(serviceClass, succeeded, 1ms, now);
    }
    BurnCounts merged;
    for (const auto &node : nodes)
        merge(merged, fromJson<BurnCounts>(toJson(node.counts(now))));
    const auto expected = all.counts(now);
    cr_assert_eq(merged.nodes, 3);
    for (std::size_t i = 0; i < expected.classes.size(); ++i) {
        for (std::size_t j = 0; j < burnWindowCount; ++j)
            cr_assert_eq(merged.classes[i].windows[j].buckets, expected.classes[i].windows[j].buckets);
    }
    const auto html = toHtml(makeBurnReport(merged), merged);
    std::size_t plots = 0;
    for (auto at = html.find("<svg"); at != std::string::npos; at = html.find("<svg", at + 1))
        ++plots;
    cr_assert_eq(plots, expected.classes.size() * burnWindowCount);
}
