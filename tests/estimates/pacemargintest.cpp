#include "estimates/pacemargin.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Estimates;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};
constexpr Duration allowed = std::chrono::milliseconds{300};

Instant after(int ms)
{
    return start + std::chrono::milliseconds{ms};
}

struct PauseCase {
    int pause; ///< Length of each stream's pause, in ms.
    int streams; ///< Number of streams that pause at the same time.
    int every; ///< Interval between bursts, in ms.
    double least; ///< Lower bound of the share after a minute.
    double most; ///< Upper bound of the share after a minute.
};

const PauseCase pauses[] = {
    {300, 10, 500, 1, 1}, // Allowed pause.
    {350, 30, 60000, 0.95, 1}, // One burst a minute: the share recovers in between.
    {350, 1, 20000, 0.94, 1}, // Highest burst rate that the recovery offsets.
    {350, 1, 8000, 0.85, 0.95}, {350, 30, 8000, 0.85, 0.95}, // Independent of the number of stalled streams.
    {350, 30, 1000, 0.85, 0.9}, // Lower bound, so that prompts still get through.
    {900, 30, 1000, 1, 1}, // Pause caused by an engine that has become slow.
};

} // namespace

TABLE_TEST(PaceMargin, followsBurstRate, pauses)
{
    PaceMargin margin;
    for (int ms = 0; ms < 60000; ms += row.every) {
        for (int i = 0; i < row.streams; ++i)
            margin.onPause(std::chrono::milliseconds{row.pause}, allowed, after(ms + i % 20));
    }
    const double share = margin.share(after(60000));
    cr_assert(share >= row.least && share <= row.most, "%f", share);
}
