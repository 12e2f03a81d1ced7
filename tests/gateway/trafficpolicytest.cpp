#include "gateway/trafficpolicy.h"

#include "support/table.h"

using namespace Gypsumtally::Gateway;

namespace
{

RouteTable table()
{
    TrafficPolicy policy;
    const auto add = [&](const char *name, const char *host, const char *prefix) {
        Route route;
        route.name = name;
        route.host = host;
        route.prefix = prefix;
        policy.routes.push_back(route);
    };
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/");
    return RouteTable(policy);
}

struct MatchCase {
    const char *host;
    const char *path;
    const char *route; ///< Empty: none.
};

const MatchCase matches[] = {
    {"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"a.example", "/x/yy", "short"},
    {"a.example", "/x", ""},        {"b.example", "/x/y/", "other"}, {"c.example", "/x/1", ""},
    {"a.example", "/", ""},
};

} // namespace

TABLE_TEST(RouteTable, matchesLongestPrefix, matches)
{
    const auto routes = table();
    const auto *route = routes.match(row.host, row.path);
    cr_assert_eq(route ? route->name : std::string{}, std::string(row.route));
}

Test(RouteTable, splitsByWeight)
{
    Route route;
    route.services = {{"most", 90}, {"few", 10}};
    int few = 0;
    for (int i = 0; i < 10000; ++i)
        few += chooseService(route, std::to_string(i)) == "few" ? 1 : 0;
    cr_assert(few > 850 && few < 1150, "%d", few);
    cr_assert_eq(chooseService(route, "same"), chooseService(route, "same"));
}
