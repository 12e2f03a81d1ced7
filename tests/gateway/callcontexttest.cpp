#include "gateway/callcontext.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant declared{std::chrono::seconds{100}};

struct VersionCase {
    const char *target;
    int millisecondsLater;
    std::uint64_t least;
};

const VersionCase versions[] = {
    {"m/other", 9000, 0},
    {"m/a", 500, 0}, // The older version serves while the new one is loaded.
    // Requests may queue in an engine for seconds, and must start on the new version within 5 s of its declaration.
    {"m/a", 2000, 2},
    {"m/a", 9000, 2},
};

} // namespace

TABLE_TEST(CallContext, olderVersionsServeBriefly, versions)
{
    CallContext context;
    context.declared["m/a"] = {2, declared};
    cr_assert_eq(context.minVersion(row.target, declared + std::chrono::milliseconds{row.millisecondsLater}),
                 row.least);
}
