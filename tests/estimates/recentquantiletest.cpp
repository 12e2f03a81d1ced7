#include "estimates/recentquantile.h"

#include "support/table.h"

#include <cmath>
#include <limits>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

struct PauseCase {
    double before; ///< Time per token in the first half, in ms.
    double after; ///< Time per token in the second half, in ms.
    double promptShare; ///< Fraction of pauses that are lengthened by prompts.
};

const PauseCase pauses[] = {{10, 10, 0},   {10, 10, 0.5},  {2.5, 2.5, 0.5}, {40, 40, 0.5},    {10, 40, 0},
                            {40, 10, 0.5}, {10, 2.5, 0.5}, {5, 12, 0.6},    {4.43, 4.43, 0.6}};

constexpr double tolerance = 0.15;
constexpr Instant now{std::chrono::seconds{100}};
constexpr int samplesToLearn = 100;

} // namespace

TABLE_TEST(RecentQuantile, followsUndisturbedPauses, pauses)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> any(0, 1);
        RecentQuantile tracker(0.12, 32, std::chrono::seconds{4});
        for (const double step : {row.before, row.after}) {
            for (int i = 0; i < samplesToLearn; ++i)
                tracker.add(step * (1 + 0.03 * any(random)) + (any(random) < row.promptShare ? 100 * any(random) : 0),
                            now);
            cr_assert(std::abs(tracker.value() / step - 1) < tolerance, "seed %u: %f of %f", seed, tracker.value(),
                      step);
        }
    }
}

Test(RecentQuantile, isRobustAgainstOutliers)
{
    RecentQuantile tracker(0.5, 24, std::chrono::seconds{4});
    for (int i = 0; i < 100; ++i)
        tracker.add(10, now);
    tracker.add(1e12, now);
    cr_assert_eq(tracker.value(), 10);
}

Test(RecentQuantile, dropsOldSamples)
{
    RecentQuantile tracker(0.5, 24, std::chrono::seconds{4});
    for (int i = 0; i < 24; ++i)
        tracker.add(10, now);
    cr_assert_eq(tracker.value(), 10);
    tracker.add(40, now + std::chrono::seconds{5});
    cr_assert_eq(tracker.value(), 40);
    cr_assert_eq(tracker.samples(), 1U);
}

namespace
{

const double invalidSamples[] = {0, -1, std::nan(""), std::numeric_limits<double>::infinity()};

} // namespace

TABLE_TEST(RecentQuantile, ignoresInvalidSamples, invalidSamples)
{
    RecentQuantile tracker(0.5, 24, std::chrono::seconds{4});
    tracker.add(row, now);
    cr_assert_eq(tracker.value(), 0);
    tracker.add(7, now);
    tracker.add(row, now);
    cr_assert_eq(tracker.value(), 7);
    cr_assert_eq(tracker.samples(), 1U);
}
