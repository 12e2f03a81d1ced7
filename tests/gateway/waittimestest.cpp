#include "gateway/waittimes.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

struct Step {
    int at; ///< In ms.
    std::optional<WaitCause> cause; ///< Begins a wait; nothing ends it.
};

struct WaitCase {
    std::vector<Step> steps;
    int load; ///< Expected total wait, in ms.
    int pace;
};

const WaitCase waits[] = {
    {{}, 0, 0},
    {{{0, WaitCause::Load}}, 0, 0}, // A wait in progress is not counted.
    {{{0, WaitCause::Load}, {30, std::nullopt}}, 30, 0},
    {{{0, WaitCause::Load}, {30, WaitCause::Pace}, {50, std::nullopt}}, 30, 20},
    {{{0, WaitCause::Load}, {30, WaitCause::Load}, {50, std::nullopt}}, 50, 0},
    {{{0, WaitCause::Load}, {30, std::nullopt}, {90, std::nullopt}, {100, WaitCause::Load}, {110, std::nullopt}},
     40,
     0},
};

Instant after(int ms)
{
    return Instant{std::chrono::seconds{5}} + std::chrono::milliseconds{ms};
}

} // namespace

TABLE_TEST(WaitTimes, addsUpByCause, waits)
{
    WaitTimes times;
    for (const auto &[at, cause] : row.steps) {
        if (cause)
            times.begin(*cause, after(at));
        else
            times.end(after(at));
    }
    cr_assert(times.of(WaitCause::Load) == std::chrono::milliseconds{row.load});
    cr_assert(times.of(WaitCause::Pace) == std::chrono::milliseconds{row.pace});
    cr_assert(times.of(WaitCause::Room) == Duration{});
}
