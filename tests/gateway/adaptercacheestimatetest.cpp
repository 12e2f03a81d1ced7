#include "gateway/adaptercacheestimate.h"

#include "support/table.h"

#include <string>

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

std::string target(int number)
{
    return "m/a" + std::to_string(number);
}

} // namespace

Test(AdapterCacheEstimate, containsHeldAdapters)
{
    AdapterCacheEstimate kept;
    for (int i = 0; i < 500; ++i)
        kept.onHeld(target(i));
    cr_assert(kept.contains(target(0)));
    cr_assert_not(kept.contains(target(500)));
}

Test(AdapterCacheEstimate, evictsLeastRecentlyHeld)
{
    AdapterCacheEstimate kept;
    for (int i = 0; i < 100; ++i)
        kept.onHeld(target(i));
    kept.onHeld(target(0)); // Held again, so it is no longer the least recent one.
    kept.onCacheMiss();
    cr_assert(kept.contains(target(0)));
    cr_assert_not(kept.contains(target(1)));
    cr_assert(kept.contains(target(99)));
}

Test(AdapterCacheEstimate, minimumCapacity)
{
    AdapterCacheEstimate kept;
    for (int i = 0; i < 100; ++i)
        kept.onHeld(target(i));
    for (int i = 0; i < 20; ++i)
        kept.onCacheMiss();
    cr_assert(kept.contains(target(99)));
    cr_assert(kept.contains(target(70)));
    cr_assert_not(kept.contains(target(60)));
}

Test(AdapterCacheEstimate, independentCopies)
{
    AdapterCacheEstimate kept;
    kept.onHeld(target(1));
    auto copy = kept;
    copy.onHeld(target(2));
    copy.onHeld(target(1));
    cr_assert(copy.contains(target(2)));
    cr_assert_not(kept.contains(target(2)));
}
