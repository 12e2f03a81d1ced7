#include "common/modelname.h"

#include "support/table.h"

using namespace Gypsumtally;

namespace
{

struct Case {
    const char *text;
    bool valid;
};

const Case cases[] = {
    {"llama/roster@3", true},
    {"llama-8b/kandy.audit_1@2026-11", true},
    {"llama/roster", false},
    {"roster@3", false},
    {"/roster@3", false},
    {"llama/@3", false},
    {"llama/roster@", false},
    {"llama/ro ster@3", false},
    {"llama/a/b@3", false},
    {"a@b/c", false},
    {"", false},
};

} // namespace

TABLE_TEST(ModelName, parseAndFormat, cases)
{
    const auto model = parseModelName(row.text);
    cr_assert_eq(model.has_value(), row.valid, "%s", row.text);
    if (model)
        cr_assert_eq(toModelName(*model), std::string(row.text));
}
