#include "estimates/fastestimate.h"

#include "support/table.h"

#include <cmath>
#include <limits>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr Duration gap = std::chrono::milliseconds{25}; ///< Of the events of a few streams.

constexpr double pauseWeight = 0.5;

struct ChangeCase {
    const char *name;
    double from;
    double to;
    int samples; ///< Of the new value, until the estimate is within a tenth of it.
};

const ChangeCase changes[]
    = {{"slower", 10, 27, 6}, {"faster", 27, 10, 6}, {"little slower", 10, 12, 20}, {"out of bounds", 1, 100, 10}};

const double ignored[] = {0, -1, std::numeric_limits<double>::infinity(), std::nan("")};

} // namespace

/// Guards against an estimate that is still the old one when a slow phase of a second has ended.
TABLE_TEST(FastEstimate, followsChanges, changes)
{
    FastEstimate estimate;
    auto now = start;
    for (int i = 0; i < 100; ++i)
        estimate.add(row.from, 1, now += gap);
    for (int i = 0; i < row.samples; ++i)
        estimate.add(row.to, 1, now += gap);
    cr_assert_float_eq(estimate.value(), row.to, 0.1 * row.to, "%f", estimate.value());
}

/// Guards against one sample, such as the pause of a stream whose connection stalled, that makes an engine slow.
Test(FastEstimate, oneOutlierChangesLittle)
{
    FastEstimate estimate;
    auto now = start;
    for (int i = 0; i < 100; ++i)
        estimate.add(10, pauseWeight, now += gap);
    estimate.add(1000, pauseWeight, now += gap);
    cr_assert_lt(estimate.value(), 11.5);
}

TABLE_TEST(FastEstimate, ignoresOddFigures, ignored)
{
    FastEstimate estimate;
    estimate.add(row, 1, start);
    estimate.add(10, row, start);
    cr_assert_eq(estimate.value(), 0);
    cr_assert_eq(estimate.weight(start), 0);
}
