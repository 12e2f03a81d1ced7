#include "gateway/fleetestimates.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

const FleetEstimates stored{{{"s", {4.5, 38, 900, 15}}}, 2};

struct ChangeCase {
    FleetEstimates current;
    bool isWorthStoring;
};

const ChangeCase changes[] = {
    {stored, false},
    {{{{"s", {4.6, 40, 950, 14}}}, 2.1}, false},
    {{{{"s", {4.5, 38, 900, 15}}}, 3}, true},
    {{{{"s", {4.5, 20, 900, 15}}}, 2}, true},
    {{{{"s", {9, 38, 900, 15}}}, 2}, true},
    {{{{"s", {0, 0, 0, 0}}}, 0}, false}, // No estimates.
    {{{{"t", {4.5, 38, 900, 15}}}, 2}, true}, // A new service.
    {{{}, 2}, false},
};

const char *const strangeTexts[] = {"", "{}", "[]", "{\"speeds\":3}", "not json"};

} // namespace

TABLE_TEST(FleetEstimates, storesOnlyLargeChanges, changes)
{
    cr_assert_eq(isWorthStoring(row.current, stored), row.isWorthStoring);
}

Test(FleetEstimates, encodingRoundTrip)
{
    const auto read = decodeFleetEstimates(encode(stored));
    cr_assert(read.has_value());
    cr_assert(read->speeds == stored.speeds);
    cr_assert_eq(read->storeFactor, stored.storeFactor);
}

Test(FleetEstimates, invalidFiguresBecomeUnknown)
{
    const auto read = decodeFleetEstimates(R"({"store_factor":-1,"speeds":[{"service":"s","step_ms":"x"}, 7]})");
    cr_assert(read.has_value());
    cr_assert_eq(read->storeFactor, 0);
    cr_assert(read->speeds.at("s") == Estimates::EstimatedSpeed({0, 0, 0, 0}));
}

TABLE_TEST(FleetEstimates, rejectsInvalidText, strangeTexts)
{
    cr_assert_not(decodeFleetEstimates(row).has_value());
}
