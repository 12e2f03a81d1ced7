#include "gateway/promptwindow.h"

#include "support/table.h"

#include <vector>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant now{std::chrono::seconds{100}};
constexpr Duration span = std::chrono::milliseconds{300};
constexpr double limit = 1000;

Instant after(int ms)
{
    return now + std::chrono::milliseconds{ms};
}

struct Prompt {
    int at;
    double tokens;
};

struct RoomCase {
    std::vector<Prompt> prompts;
    double tokens;
    int from;
    int earliestSendAt;
};

const RoomCase rooms[] = {
    {{}, 500, 0, 0},
    {{}, 5000, 0, 0}, // Over the limit, but admitted as the only prompt.
    {{{-100, 600}}, 400, 0, 0},
    {{{-100, 600}}, 500, 0, 200},
    {{{-300, 600}}, 500, 0, 0},
    {{{-200, 600}, {-100, 600}}, 300, 0, 100},
    {{{-200, 600}, {-100, 600}}, 500, 0, 200},
    {{{100, 600}}, 500, 0, 400}, // Announced prompts count as well.
    {{{400, 600}}, 500, 0, 0},
    {{{400, 600}}, 500, 200, 700},
    {{{-100, 600}, {250, 600}}, 500, 0, 550},
    {{{-100, 5000}}, 10, 0, 200},
};

} // namespace

TABLE_TEST(PromptWindow, earliestSendRespectsLimit, rooms)
{
    PromptWindow window;
    for (const auto &prompt : row.prompts)
        window.add(prompt.tokens, after(prompt.at), now);
    cr_assert(window.earliestSendAt(row.tokens, limit, span, after(row.from)) == after(row.earliestSendAt));
}

namespace
{

struct BacklogCase {
    std::vector<Prompt> prompts;
    double backlog; ///< Backlog in tokens, at a speed of 10 tokens/ms.
};

const BacklogCase backlogs[] = {
    {{}, 0},
    {{{0, 500}}, 500},
    {{{-20, 500}}, 300},
    {{{-80, 500}}, 0},
    {{{-80, 500}, {-10, 500}}, 400}, // Idle between the prompts.
    {{{-80, 1000}, {-10, 500}}, 700}, // Busy throughout.
    {{{50, 500}}, 0}, // Announced, not sent yet.
    {{{-80, 1000}, {-80, -1000}, {-10, 500}}, 400}, // Withdrawn.
};

} // namespace

TABLE_TEST(PromptWindow, computesPrefillBacklog, backlogs)
{
    PromptWindow window;
    for (const auto &prompt : row.prompts)
        window.add(prompt.tokens, after(prompt.at), now);
    cr_assert_float_eq(window.prefillBacklog(10, now), row.backlog, 1e-6);
}

Test(PromptWindow, sumsRecentAndAnnounced)
{
    PromptWindow window;
    window.add(1, after(-400), now);
    window.add(2, after(-200), now);
    window.add(4, after(200), now);
    cr_assert_eq(window.sum(span, now), 6);
    cr_assert_eq(window.sum(span, after(450)), 4);
}

Test(PromptWindow, acceptsOutOfOrderRecords)
{
    PromptWindow window;
    window.add(600, after(200), now);
    window.add(600, after(-100), now);
    cr_assert(window.earliestSendAt(500, limit, span, now) == after(500));
}
