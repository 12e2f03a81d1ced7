#include "platform/statementheaders.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

struct StatementCase {
    unsigned status;
    Http::Headers headers;
    bool isLeaving;
    std::optional<int> turnsAwayForMs;
    std::size_t unreadable;
    std::optional<double> requestLimit{};
    std::optional<unsigned> refusalsPerSecond{};
};

const StatementCase statements[] = {
    {200, {}, false, {}, 0},
    {200, {{"Server-Leaving", "1"}}, true, {}, 0},
    {503, {{"server-leaving", "1"}, {"X-Not-Executed", "1"}}, true, {}, 0},
    {421, {{"Server-Leaving", "1"}, {"X-Instance-Id", "i-2"}}, true, {}, 0},
    {200, {{"Server-Leaving", "0"}}, false, {}, 0},
    {200, {{"Server-Leaving", "yes"}}, true, {}, 1},
    {200, {{"Server-Leaving", ""}}, true, {}, 1},
    {503, {{"Retry-After", "0.2"}}, false, 200, 0},
    {503, {{"Retry-After", "3"}}, false, 3000, 0},
    {429, {{"Retry-After", "3"}}, false, 3000, 0},
    {503, {{"Retry-After", "600"}}, false, 600'000, 0},
    {503, {{"Retry-After", "0"}}, false, 0, 0},
    {200, {{"Retry-After", "3"}}, false, {}, 0}, // Counts only with status 429 or 503.
    {503, {{"Retry-After", "1e300"}}, false, 1'000'000'000, 0},
    {503, {{"Retry-After", "1e999"}}, false, 1'000'000'000, 0},
    {503, {{"Retry-After", "inf"}}, false, 1'000'000'000, 0},
    {503, {{"Retry-After", "nan"}}, false, 1000, 1},
    {503, {{"Retry-After", "-5"}}, false, 1000, 1},
    {503, {{"Retry-After", "-1e999"}}, false, 1000, 1},
    {503, {{"Retry-After", "soon"}}, false, 1000, 1},
    {503, {{"Retry-After", "3s"}}, false, 1000, 1},
    {503, {{"Retry-After", ""}}, false, 1000, 1},
    {503, {{"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"}}, false, 1000, 1},
    {503, {{"Retry-After", "x"}, {"Server-Leaving", "x"}}, true, 1000, 2},
    {200, {{"Server-Limit", "2.2"}}, false, {}, 0, 2.2},
    {500, {{"server-limit", "40"}}, false, {}, 0, 40},
    {503, {{"Server-Limit", "0"}, {"Retry-After", "3"}}, false, 3000, 0, 0},
    {200, {{"Server-Limit", "1e999"}}, false, {}, 0, 1e6},
    {200, {{"Server-Limit", "-1"}}, false, {}, 1, 1},
    {200, {{"Server-Limit", "nan"}}, false, {}, 1, 1},
    {200, {{"Server-Limit", ""}}, false, {}, 1, 1},
    {200, {{"Server-Limit", "2 a second"}}, false, {}, 1, 1},
    {200, {{"Server-Brittle", "4"}}, false, {}, 0, {}, 4},
    {503, {{"server-brittle", "0"}}, false, {}, 0, {}, 0},
    {200, {{"Server-Brittle", "2.7"}}, false, {}, 0, {}, 2},
    {200, {{"Server-Brittle", "1e999"}}, false, {}, 0, {}, 1'000'000},
    {200, {{"Server-Brittle", "-1"}}, false, {}, 1, {}, 0},
    {200, {{"Server-Brittle", "yes"}}, false, {}, 1, {}, 0},
    {200, {{"Server-Brittle", ""}}, false, {}, 1, {}, 0},
};

} // namespace

TABLE_TEST(StatementHeaders, readsStatements, statements)
{
    const auto statement = Platform::readStatement({row.status, row.headers, {}});
    cr_assert_eq(statement.isLeaving, row.isLeaving);
    cr_assert_eq(statement.turnsAwayFor.has_value(), row.turnsAwayForMs.has_value());
    if (row.turnsAwayForMs)
        cr_assert(*statement.turnsAwayFor == std::chrono::milliseconds{*row.turnsAwayForMs});
    cr_assert_eq(statement.unreadable.size(), row.unreadable);
    cr_assert(statement.requestLimit == row.requestLimit);
    cr_assert(statement.refusalsPerSecond == row.refusalsPerSecond);
    cr_assert_eq(statement.instance, std::string(row.headers.get("X-Instance-Id")));
}
