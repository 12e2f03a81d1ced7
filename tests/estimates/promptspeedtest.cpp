#include "estimates/promptspeed.h"

#include "support/table.h"

#include <cmath>
#include <random>

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

struct PromptCase {
    double tokensPerMs;
    double firstMs; ///< Constant part of the time to the first event.
    double meanTokens; ///< Mean of the exponentially distributed prompt sizes.
    double outliers; ///< Fraction of samples that take a second longer.
};

const PromptCase prompts[]
    = {{20, 50, 1100, 0}, {5, 50, 1100, 0},  {10, 120, 1100, 0},  {40, 30, 800, 0},    {80, 20, 1100, 0},
       {38, 45, 630, 0},  {38, 45, 1800, 0}, {20, 50, 490, 0.03}, {40, 30, 1100, 0.03}};

constexpr double tolerance = 0.15;
constexpr int samplesToLearn = 400;

} // namespace

TABLE_TEST(PromptSpeed, learnsWithinFourHundredPrompts, prompts)
{
    double sum = 0;
    constexpr unsigned seeds = 20;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        std::mt19937 random(seed);
        std::exponential_distribution<double> size(1 / row.meanTokens);
        std::uniform_real_distribution<double> any(0, 1);
        PromptSpeed speed;
        for (int i = 0; i < samplesToLearn; ++i) {
            const double tokens = 10 + size(random);
            const double late = any(random) < row.outliers ? 1000 : 10 * any(random);
            speed.add(tokens, tokens, row.firstMs + tokens / row.tokensPerMs + late);
        }
        sum += std::log(speed.tokensPerMs() / row.tokensPerMs);
    }
    cr_assert_lt(std::abs(sum / seeds), tolerance, "%f times", std::exp(sum / seeds));
}

Test(PromptSpeed, followsSpeedChanges)
{
    PromptSpeed speed;
    std::mt19937 random(1);
    std::exponential_distribution<double> size(1 / 1000.0);
    for (const double tokensPerMs : {40.0, 10.0, 40.0}) {
        for (int i = 0; i < samplesToLearn; ++i) {
            const double tokens = size(random);
            speed.add(tokens, tokens, 40 + tokens / tokensPerMs);
        }
        cr_assert_lt(std::abs(std::log(speed.tokensPerMs() / tokensPerMs)), tolerance, "%f", speed.tokensPerMs());
    }
}

Test(PromptSpeed, staysNearPriorForEqualSizes)
{
    PromptSpeed speed;
    const double before = speed.tokensPerMs();
    for (int i = 0; i < 1000; ++i)
        speed.add(1000, 1000, 500);
    cr_assert(speed.tokensPerMs() > before / 2 && speed.tokensPerMs() < before * 2, "%f", speed.tokensPerMs());
}

namespace
{

struct InvalidSample {
    double tokens;
    double ms;
};

const InvalidSample invalidSamples[] = {{0, 10}, {-5, 10}, {10, 0}, {10, -1}, {10, std::nan("")}, {10, INFINITY}};

} // namespace

TABLE_TEST(PromptSpeed, ignoresInvalidSamples, invalidSamples)
{
    PromptSpeed speed;
    const double before = speed.tokensPerMs();
    speed.add(row.tokens, row.tokens, row.ms);
    cr_assert_eq(speed.tokensPerMs(), before);
    cr_assert_eq(speed.samples(), 0U);
}
