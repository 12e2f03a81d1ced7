#include "keyvalue/vmlist.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct Case {
    const char *body;
    bool valid;
    std::size_t vms;
};

const Case cases[] = {
    {R"({"vms":[{"id":"e1","role":"engine","state":"live","address":"127.0.0.1:9","base":"b"}]})", true, 1},
    {R"({"vms":[{"id":"e1","role":"engine","address":"nowhere"},{"id":"e2","role":"?","address":"127.0.0.1:9"}]})",
     true, 0},
    {R"({"vms":[]})", true, 0},
    {R"({"other":[]})", false, 0},
    {"", false, 0},
};

} // namespace

TABLE_TEST(VmList, skipsInvalidEntries, cases)
{
    const auto vms = parseVmList(row.body);
    cr_assert_eq(vms.has_value(), row.valid);
    if (vms)
        cr_assert_eq(vms->size(), row.vms);
}

Test(VmList, readsTheCatalogue)
{
    const auto catalogue = parseCatalogue(R"({"revision":3,"adapters":["b/a@1","b/a@2"]})");
    cr_assert(catalogue.has_value());
    cr_assert_eq(catalogue->adapters.size(), 2);
}
