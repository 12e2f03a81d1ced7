#include "gateway/residency.h"

#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Gateway;

namespace
{

constexpr Instant start{std::chrono::seconds{100}};

Instant after(int milliseconds)
{
    return start + std::chrono::milliseconds{milliseconds};
}

} // namespace

Test(Residency, staleListAfterLoad)
{
    Residency residency;
    residency.onLoading("m/a", 0, after(250), start);
    residency.onListed({{"m", 1}}, after(600));
    cr_assert(residency.find("m/a"));
    residency.onListed({{"m", 1}}, after(4000));
    cr_assert_not(residency.find("m/a"));
}

Test(Residency, staleListAfterDrop)
{
    Residency residency;
    residency.onListed({{"m/a", 1}}, start);
    residency.onDropped("m/a", after(10));
    residency.onListed({{"m/a", 1}}, after(600));
    cr_assert_not(residency.find("m/a"));
    residency.onListed({{"m/a", 1}}, after(4000));
    cr_assert(residency.find("m/a"));
}

Test(Residency, staleListAfterNewVersion)
{
    Residency residency;
    residency.onListed({{"m/a", 1}}, start);
    residency.onLoading("m/a", 2, after(250), start);
    residency.onListed({{"m/a", 1}}, after(600));
    cr_assert_eq(residency.find("m/a")->version, 2U);
}

// Guards against requests sent too early: a list from before an unload made a target that was loading again count as
// usable at once, and the engine rejected the requests.
Test(Residency, staleListDuringReload)
{
    Residency residency;
    residency.onListed({{"m/a", 1}}, start);
    residency.onDropped("m/a", after(10));
    residency.onLoading("m/a", 0, after(400), after(150));
    residency.onListed({{"m/a", 1}}, after(200));
    cr_assert(residency.find("m/a")->usableAt == after(400));
    cr_assert(residency.find("m/a")->loadedByOrder);
    residency.onListed({{"m/a", 1}}, after(4000));
    cr_assert_not(residency.find("m/a")->loadedByOrder);
}
